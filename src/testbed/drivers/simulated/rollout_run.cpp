#include "testbed/drivers/simulated/rollout_run.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>

#include "rollout/messages_codec.hpp"
#include "rollout/rollout_agent.hpp"
#include "rollout/rollout_controller.hpp"
#include "testbed/emulator/random.hpp"

namespace poppyscale::testbed {
namespace {

using namespace rollout;

constexpr Nanos kSecond = 1'000 * kMillisecond;
constexpr Nanos kPollInterval = 500 * kMillisecond;
constexpr Nanos kDiskSyncTime = 4 * kMillisecond;
constexpr const char* kChangeDigest = "change";

const std::vector<std::pair<std::string, RouterDefect::Kind>>& defects() {
    static const std::vector<std::pair<std::string, RouterDefect::Kind>> named{
        {"none", RouterDefect::Kind::none},
        {"declines", RouterDefect::Kind::rejects},
        {"silent", RouterDefect::Kind::silent},
        {"slower", RouterDefect::Kind::slower},
        {"connections", RouterDefect::Kind::connections},
        {"presses", RouterDefect::Kind::retriesNeedlessly}};
    return named;
}

// A small deployment in the operators' proportions: three zones, one cache per five routers, and capacity
// for a burst of load.
Scenario makeScenario(const RolloutRunOptions& options) {
    const std::string text = fmt::format(
        R"(name = "roll"
length_ms = 3600000
[routers]
count = {}
memory_mb = 64
[network]
zones = ["north", "south", "west"]
same_us = 250
cross_us = 1500
[[caches]]
name = "cache"
count = {}
cores = 5
speed = 1.0
queue = 16
keys = 4000
errors = 0.001
connections = 800
handshake_us = 500
[cold]
share = 0.5
ramp_ms = 4000
[origin]
cores = {}
queue = 400
tip = 0
read_work = 1.2
[discovery]
per_second = 1000
[load]
per_second = {}
shape = "wave"
swing = 0.15
period_ms = 40000
keys = 6000
zipf = 1.0
tries = 2
[[verbs]]
name = "read"
effect = "pure"
goal_ms = 300
limit_ms = 1500
share = 0.9
work_us = 30000
spread = 0.5
[[verbs]]
name = "upload"
effect = "receipted"
remembered_ms = 5000
goal_ms = 400
limit_ms = 2000
share = 0.06
work_us = 50000
spread = 0.5
[[verbs]]
name = "payout"
effect = "effectful"
goal_ms = 500
limit_ms = 1500
share = 0.04
work_us = 50000
spread = 0.5
)",
        options.routers, std::max(options.routers / 5, 6), std::max(options.routers / 2, 24),
        options.routers * 6);
    return parseScenario(text, "roll");
}

class SimulatedMachine : private AgentHost {
  public:
    SimulatedMachine(SimulatedFleet& fleet, int first, int count, Random& random)
        : fleet_(fleet),
          firstRouter_(first),
          random_(random),
          agent_(count, {"old", ""}, static_cast<AgentHost&>(*this)) {
        reconcile();
    }
    // Encodes and decodes the order, as between processes.
    std::string onOrder(const Order& order) {
        const std::string rejectionReason =
            agent_.onOrder(fleet_.time(), readOrder(toJson(order)), {"new", ""});
        reconcile();
        return rejectionReason;
    }
    Report report() {
        const Report agentReport = agent_.report(fleet_.time());
        std::vector<nlohmann::json> metrics;
        for (std::size_t i = 0; i < agentReport.instances.size(); ++i)
            metrics.push_back(fleet_.metricsJson(firstRouter_ + static_cast<int>(i)));
        Report full = agentReport;
        for (std::size_t i = 0; i < metrics.size(); ++i) {
            full.instances[i].name = fmt::format("r{}", i);
            full.instances[i].zone = metrics[i].is_object() ? metrics[i].at("zone").get<std::string>() : "";
        }
        return readReport(toJson(full, metrics));
    }

  private:
    void persist(const AgentState&) override {
        fleet_.schedule(fleet_.time() + kDiskSyncTime, [this](Nanos now) {
            agent_.onPersisted(now, "");
            reconcile();
        });
    }
    void install(int i, const Version& to) override {
        const auto installTime = static_cast<Nanos>((0.3 + 0.7 * random_.fraction()) * 1e9);
        fleet_.schedule(fleet_.time() + installTime, [this, i, isDefective = to.program == "new"](Nanos now) {
            fleet_.replaceRouter(firstRouter_ + i, isDefective);
            agent_.onInstalled(now, i, "");
            reconcile();
        });
    }
    void log(std::string_view) override {}
    void reconcile() { agent_.reconcile(fleet_.time()); }

    SimulatedFleet& fleet_;
    int firstRouter_;
    Random& random_;
    RolloutAgent agent_;
};

class SimulatedCoordinator : private RolloutHost {
  public:
    SimulatedCoordinator(const RolloutRunOptions& options, SimulatedFleet& fleet)
        : options_(options), fleet_(fleet), random_(options.seed * 11 + 3) {
        plan_.name = "roll";
        plan_.program = "/new";
        plan_.stages = {{1, 0}, {0, 0.05}, {0, 0.25}, {0, 1}};
        plan_.minStageDuration = 15 * kSecond;
        plan_.maxStageDuration = 240 * kSecond;
        plan_.settleTime = 4 * kSecond;
        plan_.baselineTime = 20 * kSecond;
        plan_.agentHoldDuration = 10 * kSecond;
        plan_.rollbackTimeout = 120 * kSecond;
        plan_.batchSize = 2;
        plan_.rollbackBatchSize = 10;
        if (options.maxSlowHarm > 0) plan_.thresholds.slowHarm = options.maxSlowHarm;
        const int routersPerMachine = options.routers / options.machines;
        for (int m = 0; m < options.machines; ++m) {
            const int first = m * routersPerMachine;
            const int count = m + 1 == options.machines ? options.routers - first : routersPerMachine;
            plan_.agents.push_back({fmt::format("m{}", m), ""});
            machines_.push_back(std::make_unique<SimulatedMachine>(fleet, first, count, random_));
        }
        RolloutHost& self = *this;
        controller_ = std::make_unique<RolloutController>(plan_, kChangeDigest, self);
        fleet.schedule(5 * kSecond, [this](Nanos now) { pollAgents(now); });
    }
    RolloutRunResult currentResult() const {
        RolloutRunResult result;
        result.completed = controller_->outcome() == RolloutOutcome::completed;
        result.rolledBack = controller_->outcome() == RolloutOutcome::rolledBack;
        result.stopped = result.rolledBack || controller_->outcome() == RolloutOutcome::rollbackIncomplete;
        result.stage = stoppedAt_ ? stoppedStage_ : controller_->stage();
        result.stages = controller_->stageCount();
        result.maxChangedCount = controller_->maxChangedCount();
        result.instances = controller_->instanceCount();
        const auto requests = static_cast<double>(fleet_.requestCount() - requestsBefore_);
        result.affectedShare =
            requests > 0 ? static_cast<double>(fleet_.affectedRequestCount()) / requests : 0;
        if (stoppedAt_) result.detectionSeconds = static_cast<double>(stoppedAt_ - firstChangeAt_) / 1e9;
        result.seconds = static_cast<double>(fleet_.time()) / 1e9;
        result.reason = controller_->reason();
        return result;
    }

  private:
    void pollAgents(Nanos now) {
        for (std::size_t a = 0; a < machines_.size(); ++a) {
            if (const auto order = controller_->orderFor(static_cast<int>(a)))
                if (const auto rejectionReason = machines_[a]->onOrder(*order); !rejectionReason.empty())
                    controller_->onSuperseded(now, static_cast<int>(a), rejectionReason);
            controller_->onReport(now, static_cast<int>(a), machines_[a]->report());
        }
        controller_->reconcile(now);
        if (controller_->outcome() != RolloutOutcome::none) return fleet_.finish();
        fleet_.schedule(now + kPollInterval, [this](Nanos t) { pollAgents(t); });
    }
    void report(std::string_view event, const nlohmann::json& fields) override {
        const Nanos now = fleet_.time();
        if (event == "stage begins" && firstChangeAt_ == 0) {
            firstChangeAt_ = now;
            requestsBefore_ = fleet_.requestCount();
        }
        if (event == "stops") {
            stoppedAt_ = now;
            stoppedStage_ = controller_->stage();
        }
        if (options_.isVerbose && event == "stops")
            fmt::print(stderr, "{}\n", controller_->status(now).at("compared").dump(1));
        if (options_.isVerbose)
            fmt::print(stderr, "{:7.1f} s {} {}\n", static_cast<double>(now) / 1e9, event, fields.dump());
    }

    const RolloutRunOptions& options_;
    SimulatedFleet& fleet_;
    Random random_;
    RolloutPlan plan_;
    std::vector<std::unique_ptr<SimulatedMachine>> machines_;
    std::unique_ptr<RolloutController> controller_;
    Nanos firstChangeAt_ = 0, stoppedAt_ = 0;
    int stoppedStage_ = 0;
    long requestsBefore_ = 0;
};

// Adds the fault that the options name, which has nothing to do with the change, during a stage.
void addFault(Scenario& scenario, const RolloutRunOptions& options) {
    if (options.fault.empty()) return;
    Random random(options.seed * 13 + 5);
    static const char* const kinds[] = {"cache", "zone", "burst", "origin"};
    const std::string kind = options.fault == "drawn" ? kinds[random.integerBelow(4)] : options.fault;
    FaultPlan fault;
    fault.at = (30 + static_cast<Nanos>(random.fraction() * 60)) * kSecond;
    fault.length = (5 + static_cast<Nanos>(random.fraction() * 15)) * kSecond;
    if (kind == "cache") {
        fault.kind = FaultKind::crash;
        fault.count = std::max(scenario.cacheCount() / 15, 1);
    } else if (kind == "zone") {
        fault.kind = FaultKind::zonePartition;
        fault.zone = scenario.network.zones[static_cast<std::size_t>(random.integerBelow(3))];
    } else if (kind == "burst") {
        fault.kind = FaultKind::load;
        fault.magnitude = 1.6;
    } else if (kind == "origin") {
        fault.kind = FaultKind::originSlow;
        fault.magnitude = 2.5;
    } else {
        throw ScenarioError(
            fmt::format("unknown fault '{}': expected cache, zone, burst, origin or drawn", kind));
    }
    scenario.faults.push_back(fault);
}

}  // namespace

RouterDefect::Kind parseRouterDefect(const std::string& name) {
    std::string knownNames;
    for (const auto& [knownName, kind] : defects()) {
        if (knownName == name) return kind;
        knownNames += (knownNames.empty() ? "" : ", ") + knownName;
    }
    throw ScenarioError(fmt::format("unknown defect '{}': expected one of {}", name, knownNames));
}

RolloutRunResult runSimulatedRollout(const RolloutRunOptions& options) {
    Scenario scenario = makeScenario(options);
    addFault(scenario, options);
    EventLog eventLog;
    std::unique_ptr<SimulatedCoordinator> coordinator;
    RolloutRunResult result;
    SimulatedRunOptions runOptions;
    runOptions.defect = options.defect;
    struct Unstaged {
        long requestsBefore = 0, requestsAfter = 0, affected = 0;
    } unstaged;
    runOptions.onStart = [&](SimulatedFleet& fleet) {
        if (!options.isUnstaged) {
            coordinator = std::make_unique<SimulatedCoordinator>(options, fleet);
            return;
        }
        // As fast as a supervisor's rolling operation: one instance per machine every 3 s.
        const int routersPerMachine = options.routers / options.machines;
        for (int r = 0; r < options.routers; ++r)
            fleet.schedule((25 + 3 * (r % routersPerMachine)) * kSecond, [&fleet, &unstaged, r](Nanos) {
                if (r == 0) unstaged.requestsBefore = fleet.requestCount();
                fleet.replaceRouter(r, true);
            });
        fleet.schedule((25 + 3 * routersPerMachine + 60) * kSecond, [&](Nanos) {
            const auto requests = static_cast<double>(fleet.requestCount() - unstaged.requestsBefore);
            result.affectedShare =
                static_cast<double>(fleet.affectedRequestCount()) / std::max(requests, 1.0);
            result.completed = true;
            result.maxChangedCount = result.instances = options.routers;
            result.seconds = static_cast<double>(fleet.time()) / 1e9;
            fleet.finish();
        });
    };
    runOptions.onEnd = [&] {
        if (coordinator) result = coordinator->currentResult();
    };
    runSimulation(scenario, options.seed, eventLog, runOptions);
    return result;
}

}  // namespace poppyscale::testbed
