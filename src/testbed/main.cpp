// poppyscale_testbed: an emulated deployment with load, faults and an audit of every request.
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
constexpr const char* kDefaultProgram = "build/poppyscale";
constexpr double kMaxLateShare = 0.05;  // share of a run's tenths of a second; above it the run is void

struct Options {
    std::string file;
    std::uint64_t seed = 1;
    double seconds = 0;
    int routers = 0;
    std::string out;
    std::string program;
    std::string ctlProgram, changedProgram;
    bool acceptsOperatorFile = false;
};

Scenario scenarioFor(const Options& options) {
    Scenario scenario = readScenario(options.file);
    if (options.seconds > 0) {
        scenario.length = static_cast<Nanos>(options.seconds * 1e9);
        std::erase_if(scenario.faults, [&](const FaultPlan& f) { return f.at + f.length > scenario.length; });
    }
    if (options.routers > 0) scenario.routers.count = options.routers;
    return scenario;
}

std::string logPath(const Options& options) {
    if (options.out.empty()) return "";
    std::filesystem::create_directories(options.out);
    return options.out + "/log.tsv";
}

// Shows the progress of runs over 5 s: one line that is rewritten on a terminal, else a line every 10 s.
std::function<void(Nanos)> progressPrinter(const Scenario& scenario) {
    if (scenario.length <= 5'000 * kMillisecond) return {};
    return [length = scenario.length, shown = Nanos{0}](Nanos at) mutable {
        const bool watched = isatty(fileno(stderr));
        if (!watched && at - shown < 10'000 * kMillisecond) return;
        shown = at;
        fmt::print(stderr, "{}{} of {} s{}", watched ? "\r" : "", at / 1'000'000'000, length / 1'000'000'000,
                   watched ? "  " : "\n");
    };
}

int runLiveScenario(const Options& options) {
    const Scenario scenario = scenarioFor(options);
    Verdict verdict(kLiveTolerance);
    LiveResult result;
    {
        EventLog eventLog(logPath(options));
        verdict.observe(eventLog);
        LiveRunOptions live;
        live.program = options.program;
        live.acceptsOperatorFile = options.acceptsOperatorFile;
        live.ctlProgram = options.ctlProgram;
        live.changedProgram = options.changedProgram;
        if (!options.out.empty()) live.folder = options.out;
        live.progress = progressPrinter(scenario);
        result = runLive(scenario, options.seed, eventLog, live);
    }
    if (options.acceptsOperatorFile) {
        verdict.addFigure("upgrades", result.upgrades);
        verdict.addFigure("upgrades_failed", result.upgradesFailed);
    }
    verdict.addFigure("late_part", result.lateShare);
    verdict.addFigure("cpu_s", result.cpuSeconds);
    verdict.addFigure("memory_mb", result.memoryMb);
    const bool kept = verdict.writeReport(options.out);
    if (result.wasInterrupted) return kBroken;
    if (result.lateShare > kMaxLateShare) {
        fmt::print(stderr, "the testbed was late in {:.0f}% of all tenths of a second: this run is void\n",
                   100 * result.lateShare);
        return kLate;
    }
    return kept ? kKept : kBroken;
}

int runSimulation(const Options& options) {
    const Scenario scenario = scenarioFor(options);
    Verdict verdict;
    {
        EventLog eventLog(logPath(options));
        verdict.observe(eventLog);
        const SimulatedRunResult result =
            runSimulation(scenario, options.seed, eventLog, {progressPrinter(scenario), {}, {}, {}});
        verdict.addFigure("sim_pace",
                          static_cast<double>(result.length) / 1e9 / std::max(result.wallSeconds, 1e-9));
    }
    return verdict.writeReport(options.out) ? kKept : kBroken;
}

int runRolloutCommand(const RolloutRunOptions& options) {
    if (options.routers < options.machines) throw ScenarioError("there are fewer routers than machines");
    const RolloutRunResult result = runSimulatedRollout(options);
    if (!result.reason.empty()) fmt::print(stderr, "{}\n", result.reason);
    fmt::print(
        "stopped={:d} stage={} harmed={:.6f} went={:d} undone={:d} most={} instances={} after_s={:.1f} "
        "length_s={:.1f}\n",
        result.stopped, result.stage, result.affectedShare, result.completed, result.rolledBack,
        result.maxChangedCount, result.instances, result.detectionSeconds, result.seconds);
    return kKept;
}

int runLeaseCommand(const LeaseRunOptions& options) {
    const LeaseRunResult result = runSimulatedLeases(options);
    fmt::print(
        "overlaps={} fell={} changes={} acts={} late_refused={} kills={} without={:.6f} p50_s={:.3f} "
        "p99_s={:.3f} most_s={:.3f} frames_per_second={:.2f} bytes_per_frame={:.0f} cpu_us={:.1f} "
        "digest={} seconds={:.0f} wall_s={:.1f}\n",
        result.overlaps, result.fenceViolations, result.actorChanges, result.acts, result.lateActsRejected,
        result.killedHolders, result.unheldShare, result.takeoverP50, result.takeoverP99, result.maxTakeover,
        result.framesPerSecond, result.bytesPerFrame, result.cpuMicros, result.digest, result.seconds,
        result.wallSeconds);
    const bool kept = result.overlaps == 0 && result.fenceViolations == 0;
    fmt::print("verdict: {}\n", kept ? "kept" : "broken: " + result.firstViolation);
    return kept ? kKept : kBroken;
}

int printCapacity(const std::string& targetFile, const std::string& slopesFile) {
    try {
        fmt::print("{}", scale::capacityMarkdownOfFiles(targetFile, slopesFile));
        return kKept;
    } catch (const scale::CapacityInputError& problem) {
        fmt::print(stderr, "{}\n", problem.what());
        return kBroken;
    }
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{
        "poppyscale_testbed: an emulated deployment with load, faults and an audit of every request"};
    app.require_subcommand(1);
    Options options;
    const auto addScenarioOptions = [&](CLI::App* command) {
        command->add_option("file", options.file, "the scenario file")->required();
        command->add_option("--seed", options.seed, "seed of all random draws");
        command->add_option("--seconds", options.seconds, "replaces the scenario's length");
        command->add_option("--routers", options.routers, "replaces the scenario's number of routers")
            ->check(CLI::Range(1, 1000));
        command->add_option("--out", options.out, "folder for the log and the reports");
        return command;
    };
    auto* runCommand = addScenarioOptions(
        app.add_subcommand("run", "runs a scenario with real router processes over loopback sockets"));
    runCommand->add_option("--program", options.program,
                           "the router's command line; default: build/poppyscale");
    runCommand->add_option("--changed", options.changedProgram,
                           "the program that a rollout of the change `same` installs");
    runCommand->add_option("--ctl", options.ctlProgram,
                           "path of poppyctl, for scenarios with machines; default: beside the program");
    runCommand->add_flag("--operated", options.acceptsOperatorFile,
                         "the program takes --operator and supports hot restart");
    auto* simCommand = addScenarioOptions(app.add_subcommand(
        "sim", "runs a scenario with the routing policy in virtual time, without sockets"));
    auto* proxyCommand =
        app.add_subcommand("proxy", "a baseline router to compare with, started like the router");
    BaselinePolicy policy = BaselinePolicy::rendezvous;
    proxyCommand->add_option("--policy", policy, "random, rendezvous, bounded-load or pass-through")
        ->required()
        ->transform(CLI::Transformer(
            std::map<std::string, BaselinePolicy>{{"random", BaselinePolicy::random},
                                                  {"rendezvous", BaselinePolicy::rendezvous},
                                                  {"bounded-load", BaselinePolicy::boundedLoad},
                                                  {"pass-through", BaselinePolicy::passThrough}}));
    auto* faultRouterCommand =
        app.add_subcommand("fault-router", "a router that breaks one rule, to test the audit");
    BaselineDefect defect = BaselineDefect::none;
    faultRouterCommand
        ->add_option("rule", defect, "twice, lost, foreign, drain, cold, crash, tells-whole-time, or none")
        ->required()
        ->transform(CLI::Transformer(std::map<std::string, BaselineDefect>{
            {"none", BaselineDefect::none},
            {"twice", BaselineDefect::duplicateRequest},
            {"lost", BaselineDefect::dropRequest},
            {"foreign", BaselineDefect::fabricateValue},
            {"drain", BaselineDefect::preferDraining},
            {"cold", BaselineDefect::overloadColdCache},
            {"crash", BaselineDefect::crash},
            {"tells-whole-time", BaselineDefect::forwardsFullTimeout}}));
    auto* compareCommand = app.add_subcommand("compare", "runs two routers on the same seeds in turn");
    ComparisonOptions comparison;
    std::vector<std::string> scenarioFiles;
    compareCommand->add_option("--a", comparison.a, "a router's command line")->required();
    compareCommand->add_option("--b", comparison.b, "the other router's command line")->required();
    compareCommand->add_option("-n", comparison.runs, "runs of each router per scenario")
        ->check(CLI::Range(1, 20));
    compareCommand->add_option("--figure", comparison.figure, "the figure that is compared");
    compareCommand->add_option("--seconds", options.seconds, "replaces the scenarios' lengths");
    compareCommand->add_option("--routers", options.routers, "replaces the scenarios' numbers of routers")
        ->check(CLI::Range(1, 200));
    compareCommand->add_option("files", scenarioFiles, "the scenario files")->required();
    auto* costCommand = addScenarioOptions(
        app.add_subcommand("cost", "processor time per request, compared with the pass-through proxy's"));
    costCommand->add_option("--program", options.program,
                            "the router's command line; default: build/poppyscale");
    auto* serveCommand =
        app.add_subcommand("serve", "a deployment without load or faults, to try a router by hand");
    serveCommand->add_option("file", options.file, "the scenario file; default: scenarios/calm.toml");
    serveCommand->add_option("--routers", options.routers, "number of routers, default: 1")
        ->check(CLI::Range(1, 200));
    serveCommand->add_option("--program", options.program,
                             "the router's command line; default: build/poppyscale");
    auto* askCommand = app.add_subcommand("ask", "reads a key from a router, or writes one");
    std::string address, requestClass;
    std::vector<std::string> words;
    askCommand->add_option("address", address, "ADDRESS:PORT")->required();
    askCommand->add_option("words", words, "get KEY, or set KEY VALUE")->required();
    askCommand->add_option("--verb", requestClass, "request class; default: read for get, upload for set");
    auto* rollCommand = app.add_subcommand(
        "roll", "a staged rollout over a fleet in virtual time, with the real coordinator and agents");
    RolloutRunOptions roll;
    std::string harm = "none";
    rollCommand->add_option("--seed", roll.seed, "seed of all random draws");
    rollCommand->add_option(
        "--harm", harm,
        "defect of the changed version: none, declines, silent, slower, connections or presses");
    rollCommand->add_option("--size", roll.defect.size, "size of the defect, as a share")
        ->check(CLI::Range(0.0, 10.0));
    rollCommand->add_option("--trouble", roll.fault,
                            "a fault during the rollout: cache, zone, burst, origin or drawn");
    rollCommand->add_option("--slow-harm", roll.maxSlowHarm, "slow_harm of the plan; default: the plan's own")
        ->check(CLI::Range(0.005, 0.5));
    rollCommand->add_option("--routers", roll.routers, "default: 300")->check(CLI::Range(4, 1000));
    rollCommand->add_option("--machines", roll.machines, "default: 20")->check(CLI::Range(1, 100));
    rollCommand->add_flag("--unstaged", roll.isUnstaged,
                          "changes all routers one after another without judging the stages");
    rollCommand->add_flag("--tell", roll.isVerbose, "prints observations and decisions to standard error");
    auto* exploreCommand = app.add_subcommand(
        "explore", "model checker: all orders of events up to bounds, on the real decision code");
    ExplorationCommand exploration;
    exploreCommand->add_option("what", exploration.model, "leases")->required();
    exploreCommand->add_option("--without", exploration.disabledSafeguard,
                               "disables a safeguard; the run has to find a violation then");
    exploreCommand->add_option("--seconds", exploration.seconds, "default: 40")
        ->check(CLI::Range(1.0, 100'000.0));
    exploreCommand->add_option("--seed", exploration.seed, "seed of the random runs");
    auto* leasesCommand =
        app.add_subcommand("leases", "leases of a whole fleet in virtual time, with faults");
    LeaseRunOptions leases;
    std::string safeguard;
    leasesCommand->add_option("--seed", leases.seed, "seed of all random draws");
    leasesCommand->add_option("--routers", leases.routers, "default: 300")->check(CLI::Range(10, 2000));
    leasesCommand->add_option("--voters", leases.acceptors, "number of acceptors, default: 5")
        ->check(CLI::IsMember({3, 5, 7}));
    leasesCommand->add_option("--leases", leases.leases, "default: 1000")->check(CLI::Range(1, 100'000));
    leasesCommand->add_option("--seconds", leases.seconds, "virtual seconds, default: 600")
        ->check(CLI::Range(30.0, 1e6));
    leasesCommand
        ->add_option("--faults", leases.faults, "faults to inject: all, none, loss, flap, restart or holders")
        ->check(CLI::IsMember({"all", "none", "loss", "flap", "restart", "holders"}));
    leasesCommand->add_option("--without", safeguard,
                              "disables a safeguard; the run has to find a violation then");
    auto* measureCommand = app.add_subcommand(
        "measure-module", "cost of the routing policy by the number of caches, with a prediction");
    scale::ModuleSeries module;
    measureCommand->add_option("--caches", module.sizes, "default: 100,200,400,600,775")
        ->delimiter(',')
        ->check(CLI::Range(2, 100'000));
    measureCommand->add_option("--seeds", module.seeds, "default: 3")->check(CLI::Range(1, 20));
    measureCommand
        ->add_option("--factor", module.predictionFactor,
                     "the prediction's size as a multiple of the largest size, default: 4")
        ->check(CLI::Range(0, 20));
    measureCommand->add_option("--zones", module.options.zones, "default: 10")->check(CLI::Range(1, 1000));
    measureCommand->add_option("--requests", module.options.requests, "default: 40000")
        ->check(CLI::Range(100, 10'000'000));
    auto* slopesCommand = app.add_subcommand(
        "slopes",
        "scale runs with a growing number of routers or caches or rate of changes, with a prediction");
    scale::SlopeSeries series;
    double slopeSeconds = 10;
    using scale::Varied;
    slopesCommand->add_option("--what", series.varied, "what grows: routers, caches, or rate of list changes")
        ->required()
        ->transform(CLI::Transformer(std::map<std::string, Varied>{
            {"routers", Varied::routers}, {"caches", Varied::caches}, {"rate", Varied::rate}}));
    slopesCommand
        ->add_option("--sizes", series.sizes,
                     "default: 50..250 routers, 150..750 caches or 1..5 changes per second")
        ->delimiter(',')
        ->check(CLI::Range(0.1, 10'000.0));
    slopesCommand->add_option("--seeds", series.seeds, "default: 3")->check(CLI::Range(1, 20));
    slopesCommand
        ->add_option("--factor", series.predictionFactor,
                     "the prediction's size as a multiple of the largest size, default: 4")
        ->check(CLI::Range(0, 20));
    series.options.stubRouters = 100;
    series.options.caches = 300;
    series.options.zones = 10;
    series.options.changesPerSecond = 1;
    slopesCommand->add_option("--routers", series.options.stubRouters, "default: 100")
        ->check(CLI::Range(1, 10'000));
    slopesCommand->add_option("--caches", series.options.caches, "default: 300")
        ->check(CLI::Range(1, 100'000));
    slopesCommand->add_option("--zones", series.options.zones, "default: 10")->check(CLI::Range(1, 1'000));
    slopesCommand
        ->add_option("--rate", series.options.changesPerSecond, "list changes per second, default: 1")
        ->check(CLI::Range(0.0, 1'000.0));
    slopesCommand
        ->add_option("--distributors", series.options.distributors,
                     "default: 0, so that routers poll discovery itself")
        ->check(CLI::Range(0, 100));
    slopesCommand->add_option("--seconds", slopeSeconds, "measured seconds of each run, default: 10")
        ->check(CLI::Range(0.1, 3600.0));
    slopesCommand->add_option("--out", series.options.folder, "folder for the runs' files")->required();
    auto* capacityCommand =
        app.add_subcommand("capacity", "cost of each role at a target load, compared with its budget");
    std::string targetFile = "docs/capacity-target.toml";
    std::string slopesFile = "docs/capacity-slopes.toml";
    capacityCommand->add_option("--target", targetFile, "default: docs/capacity-target.toml");
    capacityCommand->add_option("--slopes", slopesFile, "default: docs/capacity-slopes.toml");
    auto* soakCommand =
        app.add_subcommand("soak", "runs with random overlapping faults and real router processes");
    soak::SoakOptions soak;
    soakCommand->add_option("file", soak.file,
                            "scenario with deployment and load; default: scenarios/soak.toml");
    soakCommand->add_option("--first", soak.first, "the first seed, default: 1");
    soakCommand->add_option("--seeds", soak.seeds, "number of seeds, default: 1")
        ->check(CLI::Range(1, 10'000));
    soakCommand->add_option("--routers", soak.routers, "replaces the scenario's number of routers")
        ->check(CLI::Range(1, 200));
    soakCommand->add_option("--seconds", soak.seconds, "replaces the scenario's length")
        ->check(CLI::Range(8.0, 3600.0));
    soakCommand->add_option("--program", soak.program,
                            "the router's command line; default: build/poppyscale");
    soakCommand->add_option("--out", soak.out, "folder for the logs and reports of each seed");
    auto* auditCommand = app.add_subcommand("audit", "judges the log of an earlier run again");
    std::string folder;
    scale::Command scaleCommand(app);
    auditCommand->add_option("dir", folder, "folder of the run")->required();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? kKept : kUsage;
    }
    try {
        if (const auto code = scaleCommand.run()) return *code;
        if (*compareCommand) {
            std::vector<Scenario> scenarios;
            for (const auto& file : scenarioFiles)
                scenarios.push_back(
                    scenarioFor({file, 1, options.seconds, options.routers, "", "", "", "", false}));
            return compare(scenarios, comparison) ? kKept : kBroken;
        }
        if (options.program.empty()) options.program = kDefaultProgram;
        if (*runCommand) {
            const bool machines = scenarioFor(options).machines.count > 0;
            return machines ? runInSupervisedChild([&] { return runLiveScenario(options); })
                            : runLiveScenario(options);
        }
        if (*costCommand) return cost(scenarioFor(options), options.seed, options.program, argv[0]), kKept;
        if (*serveCommand) {
            if (options.file.empty()) options.file = "scenarios/calm.toml";
            options.routers = std::max(options.routers, 1);
            return serveInteractive(scenarioFor(options), options.program), kKept;
        }
        if (*askCommand)
            return fmt::print("{}\n", sendInteractiveRequest(address, words, requestClass)), kKept;
        if (*proxyCommand) return runBaselineProxy(policy, BaselineDefect::none);
        if (*faultRouterCommand) return runBaselineProxy(BaselinePolicy::rendezvous, defect);
        if (*simCommand) return runSimulation(options);
        if (*rollCommand) {
            roll.defect.kind = parseRouterDefect(harm);
            return runRolloutCommand(roll);
        }
        if (*leasesCommand) {
            if (!safeguard.empty()) leases.disabledSafeguards = {lease::parseSafeguard(safeguard)};
            return runLeaseCommand(leases);
        }
        if (*slopesCommand) {
            series.options.measuredDuration = static_cast<Nanos>(slopeSeconds * 1e9);
            return scale::runSlopes(series, scale::runScaleTest) ? kKept : kBroken;
        }
        if (*capacityCommand) return printCapacity(targetFile, slopesFile);
        if (*measureCommand) return scale::runModuleSeries(module) ? kKept : kBroken;
        if (*soakCommand) {
            if (soak.program.empty()) soak.program = kDefaultProgram;
            return soak::run(soak);
        }
        if (*exploreCommand) return explore(exploration) ? kKept : kBroken;
        if (*auditCommand) return judgeStoredLog(folder) ? kKept : kBroken;
    } catch (const std::exception& problem) {
        fmt::print(stderr, "poppyscale_testbed: {}\n", problem.what());
        return kUsage;
    }
    return kUsage;
}
