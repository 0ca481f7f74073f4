// poppyscale_testbed: a stand-in deployment with load, faults and an audit of every command.
#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <functional>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "testbed/audit/audit.hpp"
#include "testbed/drivers/live/baseline_proxy.hpp"
#include "testbed/drivers/live/interactive.hpp"
#include "testbed/drivers/live/live_run.hpp"
#include "testbed/drivers/live/machines.hpp"
#include "testbed/drivers/simulated/lease_run.hpp"
#include "testbed/drivers/simulated/rollout_run.hpp"
#include "testbed/drivers/simulated/simulated_run.hpp"
#include "testbed/emulator/event_log.hpp"
#include "testbed/emulator/scenario.hpp"
#include "testbed/model_checker/command.hpp"
#include "testbed/report/experiment.hpp"
#include "testbed/report/figures.hpp"
#include "testbed/report/verdict.hpp"
#include "testbed/scale/capacity.hpp"
#include "testbed/scale/command.hpp"
#include "testbed/scale/measure.hpp"
#include "testbed/scale/slopes.hpp"
#include "testbed/soak/command.hpp"

namespace {

using namespace poppyscale;
using namespace poppyscale::testbed;

constexpr int kKept = 0;
constexpr int kBroken = 1;
constexpr int kUsage = 2;
constexpr int kLate = 3;
constexpr const char* kRouter = "build/poppyscale";
constexpr double kLateMost = 0.05;  // of a run's tenths of a second, then it proves nothing

struct Options {
    std::string file;
    std::uint64_t seed = 1;
    double seconds = 0;
    int routers = 0;
    std::string out;
    std::string program;
    std::string ctl, changed;
    bool operated = false;
};

Scenario scenarioFor(const Options& wanted) {
    Scenario s = readScenario(wanted.file);
    if (wanted.seconds > 0) {
        s.length = static_cast<Nanos>(wanted.seconds * 1e9);
        std::erase_if(s.faults, [&](const FaultPlan& f) { return f.at + f.length > s.length; });
    }
    if (wanted.routers > 0) s.routers.count = wanted.routers;
    return s;
}

std::string logPath(const Options& wanted) {
    if (wanted.out.empty()) return "";
    std::filesystem::create_directories(wanted.out);
    return wanted.out + "/log.tsv";
}

// Shown for what takes over five seconds, in whole lines where nobody watches.
std::function<void(Nanos)> progressOf(const Scenario& s) {
    if (s.length <= 5'000 * kMillisecond) return {};
    return [length = s.length, shown = Nanos{0}](Nanos at) mutable {
        const bool watched = isatty(fileno(stderr));
        if (!watched && at - shown < 10'000 * kMillisecond) return;
        shown = at;
        fmt::print(stderr, "{}{} of {} s{}", watched ? "\r" : "", at / 1'000'000'000, length / 1'000'000'000,
                   watched ? "  " : "\n");
    };
}

int runIt(const Options& wanted) {
    const Scenario s = scenarioFor(wanted);
    Verdict judge(kLiveTolerance);
    LiveResult result;
    {
        EventLog ledger(logPath(wanted));
        judge.follow(ledger);
        LiveRunOptions live;
        live.program = wanted.program;
        live.operated = wanted.operated;
        live.ctl = wanted.ctl;
        live.changed = wanted.changed;
        if (!wanted.out.empty()) live.folder = wanted.out;
        live.progress = progressOf(s);
        result = runLive(s, wanted.seed, ledger, live);
    }
    if (wanted.operated) {
        judge.extra("upgrades", result.upgrades);
        judge.extra("upgrades_failed", result.upgradesFailed);
    }
    judge.extra("late_part", result.latePart);
    judge.extra("cpu_s", result.cpuSeconds);
    judge.extra("memory_mb", result.memoryMb);
    const bool kept = judge.close(wanted.out);
    if (result.interrupted) return kBroken;
    if (result.latePart > kLateMost) {
        fmt::print(stderr, "the lab ran late in {:.0f}% of all tenths of a second: this run proves nothing\n",
                   100 * result.latePart);
        return kLate;
    }
    return kept ? kKept : kBroken;
}

int simulateIt(const Options& wanted) {
    const Scenario s = scenarioFor(wanted);
    Verdict judge;
    {
        EventLog ledger(logPath(wanted));
        judge.follow(ledger);
        const SimulatedRunResult result = simulate(s, wanted.seed, ledger, {progressOf(s), {}, {}, {}});
        judge.extra("sim_pace",
                    static_cast<double>(result.length) / 1e9 / std::max(result.wallSeconds, 1e-9));
    }
    return judge.close(wanted.out) ? kKept : kBroken;
}

int rollIt(const RolloutRunOptions& wanted) {
    if (wanted.routers < wanted.machines) throw ScenarioError("fewer routers than machines");
    const RolloutRunResult p = runSimulatedRollout(wanted);
    if (!p.reason.empty()) fmt::print(stderr, "{}\n", p.reason);
    fmt::print(
        "stopped={:d} stage={} harmed={:.6f} went={:d} undone={:d} most={} instances={} after_s={:.1f} "
        "length_s={:.1f}\n",
        p.stopped, p.stage, p.harmed, p.completed, p.rolledBack, p.most, p.instances, p.detectedAfter,
        p.seconds);
    return kKept;
}

int leaseIt(const LeaseRunOptions& wanted) {
    const LeaseRunResult p = runSimulatedLeases(wanted);
    fmt::print(
        "overlaps={} fell={} changes={} acts={} late_refused={} kills={} without={:.6f} p50_s={:.3f} "
        "p99_s={:.3f} "
        "most_s={:.3f} frames_per_second={:.2f} bytes_per_frame={:.0f} cpu_us={:.1f} digest={} "
        "seconds={:.0f} "
        "wall_s={:.1f}\n",
        p.overlaps, p.violations, p.changes, p.acts, p.lateRefused, p.kills, p.without, p.p50, p.p99, p.most,
        p.framesPerSecond, p.bytesPerFrame, p.cpuMicros, p.digest, p.seconds, p.wall);
    const bool kept = p.overlaps == 0 && p.violations == 0;
    fmt::print("verdict: {}\n", kept ? "kept" : "broken: " + p.first);
    return kept ? kKept : kBroken;
}

int printCapacity(const std::string& targetFile, const std::string& slopesFile) {
    try {
        fmt::print("{}", scale::capacityOfFiles(targetFile, slopesFile));
        return kKept;
    } catch (const scale::BadInput& problem) {
        fmt::print(stderr, "{}\n", problem.what());
        return kBroken;
    }
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"poppyscale_testbed: a stand-in deployment with load, faults and an audit of every command"};
    app.require_subcommand(1);
    Options wanted;
    const auto plays = [&](CLI::App* command) {
        command->add_option("file", wanted.file, "the scenario")->required();
        command->add_option("--seed", wanted.seed, "everything drawn follows from it");
        command->add_option("--seconds", wanted.seconds, "instead of the scenario's length");
        command->add_option("--routers", wanted.routers, "instead of the scenario's number")
            ->check(CLI::Range(1, 1000));
        command->add_option("--out", wanted.out, "a folder for the log and the reports");
        return command;
    };
    auto* run = plays(app.add_subcommand("run", "plays a scenario round real routers, on loopback sockets"));
    run->add_option("--program", wanted.program, "the router's command line, build/poppyscale without it");
    run->add_option("--changed", wanted.changed, "the program that a roll of `same` changes to");
    run->add_option("--ctl", wanted.ctl, "poppyctl, for machines; beside the program without it");
    run->add_flag("--operated", wanted.operated, "the program takes --operator, so that it can be upgraded");
    auto* sim =
        plays(app.add_subcommand("sim", "plays a scenario round the decision module, in virtual time"));
    auto* proxy = app.add_subcommand("proxy", "a plain router to compare with, started as the router is");
    BaselinePolicy policy = BaselinePolicy::rendezvous;
    proxy->add_option("--policy", policy, "random, rendezvous, bounded-load or pass-through")
        ->required()
        ->transform(CLI::Transformer(
            std::map<std::string, BaselinePolicy>{{"random", BaselinePolicy::random},
                                                  {"rendezvous", BaselinePolicy::rendezvous},
                                                  {"bounded-load", BaselinePolicy::boundedLoad},
                                                  {"pass-through", BaselinePolicy::passThrough}}));
    auto* faulty = app.add_subcommand("fault-router", "a router that breaks one rule, to prove the audit by");
    BaselineDefect defect = BaselineDefect::none;
    faulty->add_option("rule", defect, "twice, lost, foreign, drain, cold, crash, tells-whole-time, or none")
        ->required()
        ->transform(CLI::Transformer(
            std::map<std::string, BaselineDefect>{{"none", BaselineDefect::none},
                                                  {"twice", BaselineDefect::twice},
                                                  {"lost", BaselineDefect::lost},
                                                  {"foreign", BaselineDefect::foreign},
                                                  {"drain", BaselineDefect::drain},
                                                  {"cold", BaselineDefect::cold},
                                                  {"crash", BaselineDefect::crash},
                                                  {"tells-whole-time", BaselineDefect::tellsWholeTime}}));
    auto* comparing = app.add_subcommand("compare", "plays two routers on the same seeds in turn");
    ComparisonOptions pair;
    std::vector<std::string> files;
    comparing->add_option("--a", pair.a, "a router's command line")->required();
    comparing->add_option("--b", pair.b, "another's")->required();
    comparing->add_option("-n", pair.plays, "plays of each a scenario")->check(CLI::Range(1, 20));
    comparing->add_option("--figure", pair.figure, "what the verdict goes by");
    comparing->add_option("--seconds", wanted.seconds, "instead of the scenarios' lengths");
    comparing->add_option("--routers", wanted.routers, "instead of the scenarios' numbers")
        ->check(CLI::Range(1, 200));
    comparing->add_option("files", files, "the scenarios")->required();
    auto* costing = plays(app.add_subcommand("cost", "CPU a command beside the pass-through proxy's"));
    costing->add_option("--program", wanted.program,
                        "the router's command line, build/poppyscale without it");
    auto* serving = app.add_subcommand("serve", "a deployment to try a router with by hand");
    serving->add_option("file", wanted.file, "the scenario, scenarios/calm.toml without it");
    serving->add_option("--routers", wanted.routers, "one without it")->check(CLI::Range(1, 200));
    serving->add_option("--program", wanted.program,
                        "the router's command line, build/poppyscale without it");
    auto* asking = app.add_subcommand("ask", "asks a router for a key, or writes one");
    std::string address, requestClass;
    std::vector<std::string> words;
    asking->add_option("address", address, "ADDRESS:PORT")->required();
    asking->add_option("words", words, "get KEY, or set KEY VALUE")->required();
    asking->add_option("--verb", requestClass, "read for get, upload for set without it");
    auto* rolling = app.add_subcommand(
        "roll", "a staged change over a fleet in virtual time, by the real coordinator and agents");
    RolloutRunOptions roll;
    std::string harm = "none";
    rolling->add_option("--seed", roll.seed, "everything drawn follows from it");
    rolling->add_option("--harm", harm, "none, declines, silent, slower, connections or presses");
    rolling->add_option("--size", roll.defect.size, "of the harm, as a share")->check(CLI::Range(0.0, 10.0));
    rolling->add_option("--trouble", roll.fault, "cache, zone, burst, origin or drawn: beside the change");
    rolling->add_option("--slow-harm", roll.maxSlowHarm, "of the plan, its default without it")
        ->check(CLI::Range(0.005, 0.5));
    rolling->add_option("--routers", roll.routers, "300 without it")->check(CLI::Range(4, 1000));
    rolling->add_option("--machines", roll.machines, "20 without it")->check(CLI::Range(1, 100));
    rolling->add_flag("--unstaged", roll.unstaged, "all, one after another, and nobody looks");
    rolling->add_flag("--tell", roll.isVerbose, "what is seen and decided");
    auto* exploring = app.add_subcommand("explore", "every order of events on real deciders, up to bounds");
    ExplorationCommand look;
    exploring->add_option("what", look.what, "leases")->required();
    exploring->add_option("--without", look.without, "a guard that is left out, and has to be missed");
    exploring->add_option("--seconds", look.seconds, "40 without it")->check(CLI::Range(1.0, 100'000.0));
    exploring->add_option("--seed", look.seed, "of the random runs");
    auto* leasing =
        app.add_subcommand("leases", "leases of a whole fleet in virtual time, with all that fails");
    LeaseRunOptions leases;
    std::string guard;
    leasing->add_option("--seed", leases.seed, "everything drawn follows from it");
    leasing->add_option("--routers", leases.routers, "300 without it")->check(CLI::Range(10, 2000));
    leasing->add_option("--voters", leases.acceptors, "5 without it")->check(CLI::IsMember({3, 5, 7}));
    leasing->add_option("--leases", leases.leases, "1000 without it")->check(CLI::Range(1, 100'000));
    leasing->add_option("--seconds", leases.seconds, "virtual ones, 600 without it")
        ->check(CLI::Range(30.0, 1e6));
    leasing->add_option("--faults", leases.faults, "all, none, loss, flap, restart or holders")
        ->check(CLI::IsMember({"all", "none", "loss", "flap", "restart", "holders"}));
    leasing->add_option("--without", guard, "a guard that is left out, and has to be missed");
    auto* measuring = app.add_subcommand(
        "measure-module", "what the decision module costs by the number of caches, with a prediction");
    scale::ModuleSeries module;
    measuring->add_option("--caches", module.sizes, "100,200,400,600,775 without it")
        ->delimiter(',')
        ->check(CLI::Range(2, 100'000));
    measuring->add_option("--seeds", module.seeds, "3 without it")->check(CLI::Range(1, 20));
    measuring->add_option("--factor", module.factor, "of the largest size, for the prediction; 4 without it")
        ->check(CLI::Range(0, 20));
    measuring->add_option("--zones", module.options.zones, "10 without it")->check(CLI::Range(1, 1000));
    measuring->add_option("--requests", module.options.requests, "40000 without it")
        ->check(CLI::Range(100, 10'000'000));
    auto* sloping = app.add_subcommand(
        "slopes", "scale runs at growing routers, caches or rate of changes, with a prediction");
    scale::SlopeSeries series;
    double slopeSeconds = 10;
    using scale::Varied;
    sloping->add_option("--what", series.varied, "routers, caches or rate: of list changes")
        ->required()
        ->transform(CLI::Transformer(std::map<std::string, Varied>{
            {"routers", Varied::routers}, {"caches", Varied::caches}, {"rate", Varied::rate}}));
    sloping->add_option("--sizes", series.sizes, "50..250 routers, 150..750 caches, 1..5 a second without it")
        ->delimiter(',')
        ->check(CLI::Range(0.1, 10'000.0));
    sloping->add_option("--seeds", series.seeds, "3 without it")->check(CLI::Range(1, 20));
    sloping->add_option("--factor", series.factor, "of the largest size, for the prediction; 4 without it")
        ->check(CLI::Range(0, 20));
    series.options.stubRouters = 100;
    series.options.caches = 300;
    series.options.zones = 10;
    series.options.changesPerSecond = 1;
    sloping->add_option("--routers", series.options.stubRouters, "100 without it")
        ->check(CLI::Range(1, 10'000));
    sloping->add_option("--caches", series.options.caches, "300 without it")->check(CLI::Range(1, 100'000));
    sloping->add_option("--zones", series.options.zones, "10 without it")->check(CLI::Range(1, 1'000));
    sloping->add_option("--rate", series.options.changesPerSecond, "of list changes a second, 1 without it")
        ->check(CLI::Range(0.0, 1'000.0));
    sloping->add_option("--distributors", series.options.distributors, "0 without it: routers ask discovery")
        ->check(CLI::Range(0, 100));
    sloping->add_option("--seconds", slopeSeconds, "that each run measures, 10 without it")
        ->check(CLI::Range(0.1, 3600.0));
    sloping->add_option("--out", series.options.folder, "a folder for the runs' files")->required();
    auto* capacity = app.add_subcommand("capacity", "what each role costs at a target, beside its budget");
    std::string targetFile = "docs/capacity-target.toml";
    std::string slopesFile = "docs/capacity-slopes.toml";
    capacity->add_option("--target", targetFile, "docs/capacity-target.toml without it");
    capacity->add_option("--slopes", slopesFile, "docs/capacity-slopes.toml without it");
    auto* soaking = app.add_subcommand("soak", "drawn days of overlapping faults round real routers");
    soak::SoakOptions soak;
    soaking->add_option("file", soak.file, "the deployment and load, scenarios/soak.toml without it");
    soaking->add_option("--first", soak.first, "the first seed, 1 without it");
    soaking->add_option("--seeds", soak.seeds, "how many, one without it")->check(CLI::Range(1, 10'000));
    soaking->add_option("--routers", soak.routers, "instead of the scenario's number")
        ->check(CLI::Range(1, 200));
    soaking->add_option("--seconds", soak.seconds, "instead of the scenario's length")
        ->check(CLI::Range(8.0, 3600.0));
    soaking->add_option("--program", soak.program, "the router's command line, build/poppyscale without it");
    soaking->add_option("--out", soak.out, "a folder for each seed's log and reports");
    auto* audit = app.add_subcommand("audit", "judges a log again");
    std::string dir;
    scale::Command scaling(app);
    audit->add_option("dir", dir, "the folder of a run")->required();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? kKept : kUsage;
    }
    try {
        if (const auto code = scaling.run()) return *code;
        if (*comparing) {
            std::vector<Scenario> scenarios;
            for (const auto& file : files)
                scenarios.push_back(
                    scenarioFor({file, 1, wanted.seconds, wanted.routers, "", "", "", "", false}));
            return compare(scenarios, pair) ? kKept : kBroken;
        }
        if (wanted.program.empty()) wanted.program = kRouter;
        if (*run) {
            const bool machines = scenarioFor(wanted).machines.count > 0;
            return machines ? guarded([&] { return runIt(wanted); }) : runIt(wanted);
        }
        if (*costing) return cost(scenarioFor(wanted), wanted.seed, wanted.program, argv[0]), kKept;
        if (*serving) {
            if (wanted.file.empty()) wanted.file = "scenarios/calm.toml";
            wanted.routers = std::max(wanted.routers, 1);
            return serveByHand(scenarioFor(wanted), wanted.program), kKept;
        }
        if (*asking) return fmt::print("{}\n", askByHand(address, words, requestClass)), kKept;
        if (*proxy) return serveProxy(policy, BaselineDefect::none);
        if (*faulty) return serveProxy(BaselinePolicy::rendezvous, defect);
        if (*sim) return simulateIt(wanted);
        if (*rolling) {
            roll.defect.kind = defectNamed(harm);
            return rollIt(roll);
        }
        if (*leasing) {
            if (!guard.empty()) leases.disabledSafeguard = {lease::parseSafeguard(guard)};
            return leaseIt(leases);
        }
        if (*sloping) {
            series.options.length = static_cast<Nanos>(slopeSeconds * 1e9);
            return scale::runSlopes(series, scale::runScaleTest) ? kKept : kBroken;
        }
        if (*capacity) return printCapacity(targetFile, slopesFile);
        if (*measuring) return scale::measureSeries(module) ? kKept : kBroken;
        if (*soaking) {
            if (soak.program.empty()) soak.program = kRouter;
            return soak::run(soak);
        }
        if (*exploring) return explore(look) ? kKept : kBroken;
        if (*audit) return judgeAgain(dir) ? kKept : kBroken;
    } catch (const std::exception& problem) {
        fmt::print(stderr, "poppyscale_testbed: {}\n", problem.what());
        return kUsage;
    }
    return kUsage;
}
