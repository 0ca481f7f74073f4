#include "testbed/scale/command.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string_view>

#include "testbed/emulator/scenario.hpp"
#include "testbed/scale/scenario.hpp"

namespace poppyscale::testbed::scale {
namespace {

constexpr int kKept = 0;
constexpr int kBroken = 1;
constexpr int kUsage = 2;
// The largest accepted relative difference between the figures of stub and real routers.
constexpr double kMaxRelativeDifference = 0.1;
constexpr Nanos kMinIdleLength = 5'000 * kMillisecond;

void showProgress(std::string_view phase, Nanos at) {
    const bool isTerminal = isatty(fileno(stderr)) != 0;
    fmt::print(stderr, "{}{} {} s{}", isTerminal ? "\r" : "", phase, at / 1'000'000'000,
               isTerminal ? "   " : "\n");
}

void printViolations(const Result& result) {
    for (const std::string& violation : result.violations) fmt::print("broken: {}\n", violation);
}

// Prints both figures and their ratio. Returns whether they differ by 10% at most.
bool printComparison(const char* name, double real, double stub) {
    const double ratio = real > 0 ? stub / real : 0;
    const bool isClose = std::abs(ratio - 1) <= kMaxRelativeDifference;
    fmt::print("{}: real {:.6g}, hollow {:.6g}, ratio {:.3f}{}\n", name, real, stub, ratio,
               isClose ? "" : ", over 10% apart");
    return isClose;
}

}  // namespace

Command::Command(CLI::App& app) {
    scale_ = app.add_subcommand(
        "scale", "run many routers against a changing endpoint list and measure what that costs");
    scale_->add_option("file", file_, "scenario file with events and bounds")->required();
    scale_->add_option("--routers", options_.stubRouters, "number of stub routers")
        ->check(CLI::Range(0, 100'000));
    scale_->add_option("--real", options_.realRouters, "number of real routers beside the stub routers")
        ->check(CLI::Range(0, 1'000));
    scale_->add_option("--caches", options_.caches, "number of cache servers in the list")
        ->check(CLI::Range(1, 100'000));
    scale_->add_option("--zones", options_.zones, "number of zones; 1 by default")
        ->check(CLI::Range(1, 1'000));
    scale_->add_option("--changes-per-second", options_.changesPerSecond, "changes of the list per second")
        ->check(CLI::Range(0.0, 1'000.0));
    scale_->add_option("--purges-per-second", purgesPerSecond_, "must be 0: purges are not built");
    scale_
        ->add_option("--distributors", options_.distributors,
                     "number of endpoint distributors; 0: routers poll discovery")
        ->check(CLI::Range(0, 100));
    scale_->add_option("--seconds", seconds_, "length of the measured time in seconds")
        ->check(CLI::Range(0.1, 86'400.0));
    scale_->add_option("--out", options_.folder, "folder for the run's files")->required();
    scale_->add_option("--seed", options_.seed, "seed of all random draws");
    scale_->add_option("--without", options_.defectiveVariant,
                       "defective variant that the run has to detect: apply, order");
    scale_
        ->add_option(
            "--compare", comparedRouters_,
            "run with this many real routers, then with as many stub routers, and compare their costs")
        ->check(CLI::Range(1, 1'000));
    scale_->add_flag("--json", json_, "print all figures as JSON instead of one line of the main ones");

    discovery_ = app.add_subcommand("scale-discovery", "the discovery service of a scale run")->group("");
    discovery_->add_option("--folder", discoveryOptions_.folder)->required();
    discovery_->add_option("--caches", discoveryOptions_.caches);
    discovery_->add_option("--zones", discoveryOptions_.zones);
    discovery_->add_option("--real", discoveryOptions_.realRouters);
    discovery_->add_option("--changes-per-second", discoveryOptions_.changesPerSecond);
    discovery_->add_option("--seed", discoveryOptions_.seed);
    discovery_->add_option("--slow", discoveryOptions_.slow);
    discovery_->add_flag("--tell-older", discoveryOptions_.sendsOlderVersions);
}

std::optional<int> Command::run() {
    if (*discovery_) return serveDiscovery(discoveryOptions_);
    if (*scale_) return runScale();
    return std::nullopt;
}

int Command::runScale() {
    if (purgesPerSecond_ != 0) {
        fmt::print(stderr, "poppyscale_testbed: --purges-per-second {}: must be 0, purges are not built\n",
                   purgesPerSecond_);
        return kUsage;
    }
    try {
        const ScaleScenario scenario = readScaleScenario(file_);
        options_.events = scenario.events;
        options_.bounds = scenario.bounds;
    } catch (const ScenarioError& problem) {
        fmt::print(stderr, "{}\n", problem.what());
        return kBroken;
    }
    options_.measuredDuration = static_cast<Nanos>(seconds_ * 1e9);
    options_.progress = showProgress;
    if (comparedRouters_ > 0) return compareRouterKinds(options_);
    const Result result = runScaleTest(options_);
    printViolations(result);
    fmt::print("{}\n", json_ ? jsonOf(result) : lineOf(result));
    return result.violations.empty() ? kKept : kBroken;
}

// The processor time of a router without list changes is that of its event loop. It is measured in
// a separate run and subtracted, so that only the handling of the list is compared.
int Command::compareRouterKinds(const Options& options) {
    struct Side {
        Result result;
        double listProcessorShare = 0;
    };
    const auto measureSide = [&](bool real) {
        Options side = options;
        side.realRouters = real ? comparedRouters_ : 0;
        side.stubRouters = real ? 0 : comparedRouters_;
        side.folder = options.folder + (real ? "/real" : "/hollow");
        Options idle = side;
        idle.folder += "-idle";
        idle.changesPerSecond = 0;
        idle.measuredDuration = std::max(options.measuredDuration / 2, kMinIdleLength);
        idle.events.clear();
        Side measured;
        measured.listProcessorShare -= runScaleTest(idle).routerProcessorShare;
        measured.result = runScaleTest(side);
        measured.listProcessorShare += measured.result.routerProcessorShare;
        return measured;
    };
    const Side real = measureSide(true);
    const Side stub = measureSide(false);
    bool isClose = printComparison("control bytes a second of a router", real.result.routerBytesPerSecond,
                                   stub.result.routerBytesPerSecond);
    isClose &= printComparison("control messages a second of a router", real.result.routerMessagesPerSecond,
                               stub.result.routerMessagesPerSecond);
    isClose &= printComparison("processor share of the list's handling", real.listProcessorShare,
                               stub.listProcessorShare);
    for (const Side* side : {&real, &stub}) printViolations(side->result);
    fmt::print("real: {}\nhollow: {}\n", lineOf(real.result), lineOf(stub.result));
    return isClose && real.result.violations.empty() && stub.result.violations.empty() ? kKept : kBroken;
}

}  // namespace poppyscale::testbed::scale
