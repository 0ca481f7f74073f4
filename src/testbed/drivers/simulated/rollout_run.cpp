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
constexpr Nanos kTick = 500 * kMillisecond;
constexpr Nanos kSync = 4 * kMillisecond;
constexpr const char* kChange = "change";

const std::vector<std::pair<std::string, RouterDefect::Kind>>& defects() {
    static const std::vector<std::pair<std::string, RouterDefect::Kind>> all{
        {"none", RouterDefect::Kind::none},
        {"declines", RouterDefect::Kind::rejects},
        {"silent", RouterDefect::Kind::silent},
        {"slower", RouterDefect::Kind::slower},
        {"connections", RouterDefect::Kind::connections},
        {"presses", RouterDefect::Kind::retriesNeedlessly}};
    return all;
}

// The operators' size in little: three zones, a cache for each five routers, room for a burst.
Scenario scenarioOf(const RolloutRunOptions& w) {
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
        w.routers, std::max(w.routers / 5, 6), std::max(w.routers / 2, 24), w.routers * 6);
    return parseScenario(text, "roll");
}

class SimulatedMachine : private AgentHost {
  public:
    SimulatedMachine(SimulatedFleet& fleet, int first, int count, Random& chance)
        : fleet_(fleet),
          first_(first),
          random_(chance),
          agent_(count, {"old", ""}, static_cast<AgentHost&>(*this)) {
        reconcile();
    }
    // Over the same form as between processes.
    std::string hear(const Order& order) {
        const std::string refused = agent_.onOrder(fleet_.time(), readOrder(toJson(order)), {"new", ""});
        reconcile();
        return refused;
    }
    Report report() {
        const Report r = agent_.report(fleet_.time());
        std::vector<nlohmann::json> figures;
        for (std::size_t i = 0; i < r.instances.size(); ++i)
            figures.push_back(fleet_.figures(first_ + static_cast<int>(i)));
        Report full = r;
        for (std::size_t i = 0; i < figures.size(); ++i) {
            full.instances[i].name = fmt::format("r{}", i);
            full.instances[i].zone = figures[i].is_object() ? figures[i].at("zone").get<std::string>() : "";
        }
        return readReport(toJson(full, figures));
    }

  private:
    void persist(const AgentState&) override {
        fleet_.at(fleet_.time() + kSync, [this](Nanos now) {
            agent_.onPersisted(now, "");
            reconcile();
        });
    }
    void install(int i, const Version& to) override {
        const auto takes = static_cast<Nanos>((0.3 + 0.7 * random_.fraction()) * 1e9);
        fleet_.at(fleet_.time() + takes, [this, i, changed = to.program == "new"](Nanos now) {
            fleet_.change(first_ + i, changed);
            agent_.onInstalled(now, i, "");
            reconcile();
        });
    }
    void log(std::string_view) override {}
    void reconcile() { agent_.reconcile(fleet_.time()); }

    SimulatedFleet& fleet_;
    int first_;
    Random& random_;
    RolloutAgent agent_;
};

class SimulatedCoordinator : private RolloutHost {
  public:
    SimulatedCoordinator(const RolloutRunOptions& wanted, SimulatedFleet& fleet)
        : options_(wanted), fleet_(fleet), random_(wanted.seed * 11 + 3) {
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
        if (wanted.maxSlowHarm > 0) plan_.thresholds.slowHarm = wanted.maxSlowHarm;
        const int each = wanted.routers / wanted.machines;
        for (int m = 0; m < wanted.machines; ++m) {
            const int first = m * each;
            const int count = m + 1 == wanted.machines ? wanted.routers - first : each;
            plan_.agents.push_back({fmt::format("m{}", m), ""});
            machines_.push_back(std::make_unique<SimulatedMachine>(fleet, first, count, random_));
        }
        RolloutHost& self = *this;
        controller_ = std::make_unique<RolloutController>(plan_, kChange, self);
        fleet.at(5 * kSecond, [this](Nanos now) { tick(now); });
    }
    RolloutRunResult played() const {
        RolloutRunResult p;
        p.completed = controller_->outcome() == RolloutOutcome::completed;
        p.rolledBack = controller_->outcome() == RolloutOutcome::rolledBack;
        p.stopped = p.rolledBack || controller_->outcome() == RolloutOutcome::rollbackIncomplete;
        p.stage = stoppedAt_ ? stage_ : controller_->stage();
        p.stages = controller_->stageCount();
        p.most = controller_->maxChangedCount();
        p.instances = controller_->instanceCount();
        const auto asked = static_cast<double>(fleet_.asked() - askedBefore_);
        p.harmed = asked > 0 ? static_cast<double>(fleet_.affectedRequests()) / asked : 0;
        if (stoppedAt_) p.detectedAfter = static_cast<double>(stoppedAt_ - begunAt_) / 1e9;
        p.seconds = static_cast<double>(fleet_.time()) / 1e9;
        p.reason = controller_->reason();
        return p;
    }

  private:
    void tick(Nanos now) {
        for (std::size_t a = 0; a < machines_.size(); ++a) {
            if (const auto order = controller_->orderFor(static_cast<int>(a)))
                if (const auto refused = machines_[a]->hear(*order); !refused.empty())
                    controller_->onSuperseded(now, static_cast<int>(a), refused);
            controller_->onReport(now, static_cast<int>(a), machines_[a]->report());
        }
        controller_->reconcile(now);
        if (controller_->outcome() != RolloutOutcome::none) return fleet_.finish();
        fleet_.at(now + kTick, [this](Nanos t) { tick(t); });
    }
    void report(std::string_view what, const nlohmann::json& fields) override {
        const Nanos now = fleet_.time();
        if (what == "stage begins" && begunAt_ == 0) {
            begunAt_ = now;
            askedBefore_ = fleet_.asked();
        }
        if (what == "stops") {
            stoppedAt_ = now;
            stage_ = controller_->stage();
        }
        if (options_.isVerbose && what == "stops")
            fmt::print(stderr, "{}\n", controller_->status(now).at("compared").dump(1));
        if (options_.isVerbose)
            fmt::print(stderr, "{:7.1f} s {} {}\n", static_cast<double>(now) / 1e9, what, fields.dump());
    }

    const RolloutRunOptions& options_;
    SimulatedFleet& fleet_;
    Random random_;
    RolloutPlan plan_;
    std::vector<std::unique_ptr<SimulatedMachine>> machines_;
    std::unique_ptr<RolloutController> controller_;
    Nanos begunAt_ = 0, stoppedAt_ = 0;
    int stage_ = 0;
    long askedBefore_ = 0;
};

// What has nothing to do with the change, in the middle of a stage: the day's faults, of which one is drawn.
void addFault(Scenario& s, const RolloutRunOptions& w) {
    if (w.fault.empty()) return;
    Random chance(w.seed * 13 + 5);
    static const char* const all[] = {"cache", "zone", "burst", "origin"};
    const std::string kind = w.fault == "drawn" ? all[chance.below(4)] : w.fault;
    FaultPlan f;
    f.at = (30 + static_cast<Nanos>(chance.fraction() * 60)) * kSecond;
    f.length = (5 + static_cast<Nanos>(chance.fraction() * 15)) * kSecond;
    if (kind == "cache") {
        f.kind = FaultKind::crash;
        f.count = std::max(s.cacheCount() / 15, 1);
    } else if (kind == "zone") {
        f.kind = FaultKind::cut;
        f.zone = s.network.zones[static_cast<std::size_t>(chance.below(3))];
    } else if (kind == "burst") {
        f.kind = FaultKind::load;
        f.by = 1.6;
    } else if (kind == "origin") {
        f.kind = FaultKind::originSlow;
        f.by = 2.5;
    } else {
        throw ScenarioError(fmt::format("'{}' is none of cache, zone, burst, origin, drawn", kind));
    }
    s.faults.push_back(f);
}

}  // namespace

RouterDefect::Kind defectNamed(const std::string& name) {
    std::string known;
    for (const auto& [n, kind] : defects()) {
        if (n == name) return kind;
        known += (known.empty() ? "" : ", ") + n;
    }
    throw ScenarioError(fmt::format("'{}' is no harm; there are {}", name, known));
}

RolloutRunResult runSimulatedRollout(const RolloutRunOptions& wanted) {
    Scenario scenario = scenarioOf(wanted);
    addFault(scenario, wanted);
    EventLog ledger;
    std::unique_ptr<SimulatedCoordinator> coordinator;
    RolloutRunResult played;
    SimulatedRunOptions sim;
    sim.defect = wanted.defect;
    struct Unstaged {
        long before = 0, after = 0, harmed = 0;
    } all;
    sim.attach = [&](SimulatedFleet& fleet) {
        if (!wanted.unstaged) {
            coordinator = std::make_unique<SimulatedCoordinator>(wanted, fleet);
            return;
        }
        // As fast as a machine's keeper rolls: one a machine each three seconds.
        const int each = wanted.routers / wanted.machines;
        for (int r = 0; r < wanted.routers; ++r)
            fleet.at((25 + 3 * (r % each)) * kSecond, [&fleet, &all, r](Nanos) {
                if (r == 0) all.before = fleet.asked();
                fleet.change(r, true);
            });
        fleet.at((25 + 3 * each + 60) * kSecond, [&](Nanos) {
            const auto asked = static_cast<double>(fleet.asked() - all.before);
            played.harmed = static_cast<double>(fleet.affectedRequests()) / std::max(asked, 1.0);
            played.completed = true;
            played.most = played.instances = wanted.routers;
            played.seconds = static_cast<double>(fleet.time()) / 1e9;
            fleet.finish();
        });
    };
    sim.duration = [&] {
        if (coordinator) played = coordinator->played();
    };
    simulate(scenario, wanted.seed, ledger, sim);
    return played;
}

}  // namespace poppyscale::testbed
