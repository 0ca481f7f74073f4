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
constexpr double kMostApart = 0.1;  // of a stubs router's figure from a real one's
constexpr Nanos kIdleSpan = 5'000 * kMillisecond;

void showProgress(std::string_view phase, Nanos at) {
    const bool watched = isatty(fileno(stderr)) != 0;
    fmt::print(stderr, "{}{} {} s{}", watched ? "\r" : "", phase, at / 1'000'000'000, watched ? "   " : "\n");
}

void printBroken(const Result& result) {
    for (const std::string& bound : result.broken) fmt::print("broken: {}\n", bound);
}

// Prints both figures and their ratio; whether they are as near as they have to be.
bool compareFigure(const char* name, double real, double stubs) {
    const double ratio = real > 0 ? stubs / real : 0;
    const bool near = std::abs(ratio - 1) <= kMostApart;
    fmt::print("{}: real {:.6g}, hollow {:.6g}, ratio {:.3f}{}\n", name, real, stubs, ratio,
               near ? "" : ", over 10% apart");
    return near;
}

}  // namespace

Command::Command(CLI::App& app) {
    scale_ = app.add_subcommand("scale", "many routers before a list that changes, and what that costs");
    scale_->add_option("file", file_, "the scenario: events and bounds")->required();
    scale_->add_option("--routers", options_.stubRouters, "hollow ones")->check(CLI::Range(0, 100'000));
    scale_->add_option("--real", options_.realRouters, "beside them")->check(CLI::Range(0, 1'000));
    scale_->add_option("--caches", options_.caches, "cache servers")->check(CLI::Range(1, 100'000));
    scale_->add_option("--zones", options_.zones, "1 without it")->check(CLI::Range(1, 1'000));
    scale_->add_option("--changes-per-second", options_.changesPerSecond, "of the list")
        ->check(CLI::Range(0.0, 1'000.0));
    scale_->add_option("--purges-per-second", purgesPerSecond_, "0: nothing carries purges yet");
    scale_->add_option("--distributors", options_.distributors, "0: routers ask discovery itself")
        ->check(CLI::Range(0, 100));
    scale_->add_option("--seconds", seconds_, "that are measured")->check(CLI::Range(0.1, 86'400.0));
    scale_->add_option("--out", options_.folder, "a folder for the run's files")->required();
    scale_->add_option("--seed", options_.seed, "everything drawn follows from it");
    scale_->add_option("--without", options_.without, "a known mistake that has to be found: apply, order");
    scale_->add_option("--compare", compared_, "that many real, then as many hollow routers")
        ->check(CLI::Range(1, 1'000));
    scale_->add_flag("--json", json_, "all figures as JSON instead of the last line");

    discovery_ = app.add_subcommand("scale-discovery", "the discovery of a scale run")->group("");
    discovery_->add_option("--folder", discoveryOptions_.folder)->required();
    discovery_->add_option("--caches", discoveryOptions_.caches);
    discovery_->add_option("--zones", discoveryOptions_.zones);
    discovery_->add_option("--real", discoveryOptions_.realRouters);
    discovery_->add_option("--changes-per-second", discoveryOptions_.changesPerSecond);
    discovery_->add_option("--seed", discoveryOptions_.seed);
    discovery_->add_option("--slow", discoveryOptions_.slow);
    discovery_->add_flag("--tell-older", discoveryOptions_.tellsOlder);
}

std::optional<int> Command::run() {
    if (*discovery_) return serveDiscovery(discoveryOptions_);
    if (*scale_) return runScale();
    return std::nullopt;
}

int Command::runScale() {
    if (purgesPerSecond_ != 0) {
        fmt::print(stderr, "poppyscale_testbed: --purges-per-second {}: no mechanism carries purges yet\n",
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
    options_.length = static_cast<Nanos>(seconds_ * 1e9);
    options_.progress = showProgress;
    if (compared_ > 0) return compare(options_);
    const Result result = runScaleTest(options_);
    printBroken(result);
    fmt::print("{}\n", json_ ? jsonOf(result) : lineOf(result));
    return result.broken.empty() ? kKept : kBroken;
}

// What a router uses without any change is its loop's and not the list's: it is measured apart and taken off.
int Command::compare(const Options& options) {
    struct Side {
        Result day;
        double listProcessorShare = 0;
    };
    const auto playSide = [&](bool real) {
        Options side = options;
        side.realRouters = real ? compared_ : 0;
        side.stubRouters = real ? 0 : compared_;
        side.folder = options.folder + (real ? "/real" : "/hollow");
        Options idle = side;
        idle.folder += "-idle";
        idle.changesPerSecond = 0;
        idle.length = std::max(options.length / 2, kIdleSpan);
        idle.events.clear();
        Side played;
        played.listProcessorShare -= runScaleTest(idle).routerProcessorShare;
        played.day = runScaleTest(side);
        played.listProcessorShare += played.day.routerProcessorShare;
        return played;
    };
    const Side real = playSide(true);
    const Side stubs = playSide(false);
    bool near = compareFigure("control bytes a second of a router", real.day.routerBytesPerSecond,
                              stubs.day.routerBytesPerSecond);
    near &= compareFigure("control messages a second of a router", real.day.routerMessagesPerSecond,
                          stubs.day.routerMessagesPerSecond);
    near &= compareFigure("processor share of the list's handling", real.listProcessorShare,
                          stubs.listProcessorShare);
    for (const Side* side : {&real, &stubs}) printBroken(side->day);
    fmt::print("real: {}\nhollow: {}\n", lineOf(real.day), lineOf(stubs.day));
    return near && real.day.broken.empty() && stubs.day.broken.empty() ? kKept : kBroken;
}

}  // namespace poppyscale::testbed::scale
