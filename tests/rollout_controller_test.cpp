// Tests of a staged rollout's coordinator with emulated agents and instances.
#include "rollout/rollout_controller.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace poppyscale;
using namespace poppyscale::rollout;

namespace {

constexpr Nanos ms = kMillisecond;
constexpr Nanos s = 1'000 * ms;

// Instances whose metrics the test sets, on agents that carry out orders at once.
struct FakeFleet : RolloutHost {
    struct Instance {
        InstanceState state = InstanceState::original;
        Nanos since = 0;
        int unexpectedExits = 0;
        std::string problem;
        InstanceMetrics metrics;
        bool reportsMetrics = true;
    };
    struct Agent {
        std::vector<Instance> instances;
        std::uint64_t number = 0;
        bool isFinished = false;
        bool isUnreachable = false;
    };

    explicit FakeFleet(int agentCount, int instancesEach, RolloutPlan basePlan = {})
        : plan(std::move(basePlan)) {
        for (int a = 0; a < agentCount; ++a) plan.agents.push_back({"m" + std::to_string(a), ""});
        plan.stages = {{1, 0}, {0, 0.25}, {0, 1}};
        plan.minStageDuration = 5 * s;
        plan.maxStageDuration = 60 * s;
        plan.settleTime = 2 * s;
        plan.baselineTime = 5 * s;
        plan.agentHoldDuration = 5 * s;
        plan.rollbackTimeout = 20 * s;
        agents.resize(static_cast<std::size_t>(agentCount));
        for (Agent& agent : agents) {
            agent.instances.resize(static_cast<std::size_t>(instancesEach));
            for (Instance& instance : agent.instances) instance.metrics.incarnation = 1;
        }
        startCoordinator("d");
    }
    void report(std::string_view what, const nlohmann::json&) override { events += std::string(what) + ";"; }
    void startCoordinator(const std::string& digest) {
        controller = std::make_unique<RolloutController>(plan, digest, static_cast<RolloutHost&>(*this));
    }

    // Adds half a second of requests to the instance's metrics.
    void serve(Instance& instance, bool isChanged, const std::string& zone) {
        InstanceMetrics& metrics = instance.metrics;
        metrics.up += 500 * ms;
        metrics.zone = zone;
        metrics.cachesReady = 4;
        metrics.cachesListed = 4;
        RequestClassMetrics& reads = metrics.requestClasses["read"];
        std::binomial_distribution<int> bad(
            50, std::min(baselineRejectedShare + (isChanged ? addedHarm : 0.0), 1.0));
        const int rejected = bad(random);
        reads.accepted += 50;
        reads.rejected += static_cast<std::uint64_t>(rejected);
        reads.withinObjective += static_cast<std::uint64_t>(50 - rejected);
        reads.latencies.resize(20);
        for (int i = rejected; i < 50; ++i) ++reads.latencies[8 + random() % 6];
        metrics.attempts += static_cast<std::uint64_t>(isChanged ? 60 * pressure : 60);
        metrics.attemptMs += 60 * 10;
    }
    void execute(Agent& agent, const Order& order) {
        agent.number = order.number;
        agent.isFinished = order.isFinished;
        if (order.isFinished) return;
        for (std::size_t i = 0; i < agent.instances.size(); ++i) {
            Instance& instance = agent.instances[i];
            const bool isTarget = order.changed.contains(static_cast<int>(i));
            const bool runsChange = instance.state == InstanceState::changed;
            if (isTarget == runsChange || instance.state == InstanceState::failed) continue;
            const InstanceState stateAfterRollback =
                rollbackFails ? InstanceState::failed : InstanceState::original;
            instance.state = isTarget ? InstanceState::changed : stateAfterRollback;
            instance.since = now;
            ++instance.metrics.incarnation;
            instance.metrics.up = 0;
        }
    }
    Report reportOf(const Agent& agent, const std::string& zone) const {
        Report result;
        result.number = agent.number;
        result.isFinished = agent.isFinished;
        for (std::size_t i = 0; i < agent.instances.size(); ++i) {
            const Instance& instance = agent.instances[i];
            if (instance.state != InstanceState::original) result.digest = "d";
            InstanceReport one;
            one.name = "r" + std::to_string(i);
            one.zone = zone;
            one.state = instance.state;
            one.ready = true;
            one.timeInState = now - instance.since;
            one.unexpectedExits = instance.unexpectedExits;
            one.problem = instance.problem;
            const bool runsChange = instance.state == InstanceState::changed;
            if (instance.reportsMetrics || (changedReportMetrics && runsChange))
                one.metrics = instance.metrics;
            result.instances.push_back(std::move(one));
        }
        return result;
    }
    void tick() {
        now += 500 * ms;
        for (std::size_t a = 0; a < agents.size(); ++a) {
            Agent& agent = agents[a];
            const std::string zone = a % 2 ? "north" : "south";
            for (Instance& instance : agent.instances)
                serve(instance, instance.state == InstanceState::changed, zone);
            if (agent.isUnreachable) continue;
            const auto order = controller->orderFor(static_cast<int>(a));
            if (order) execute(agent, *order);
            controller->onReport(now, static_cast<int>(a), reportOf(agent, zone));
        }
        controller->reconcile(now);
    }
    // Runs until the rollout has ended or the time has passed.
    RolloutOutcome run(Nanos duration = 300 * s) {
        const Nanos until = now + duration;
        while (controller->outcome() == RolloutOutcome::none && now < until) tick();
        return controller->outcome();
    }
    template <typename Change>
    void forEachInstance(Change change) {
        for (Agent& agent : agents)
            for (Instance& instance : agent.instances) change(instance);
    }
    int changedCount() const {
        int count = 0;
        for (const Agent& agent : agents)
            for (const Instance& instance : agent.instances)
                if (instance.state != InstanceState::original) ++count;
        return count;
    }

    Nanos now = 1 * s;
    RolloutPlan plan;
    std::vector<Agent> agents;
    double baselineRejectedShare = 0.002;  // share of rejected requests
    double addedHarm = 0;                  // share of requests that changed instances reject in addition
    double pressure = 1;  // ratio of a changed instance's attempts to an unchanged instance's
    bool rollbackFails = false;
    bool changedReportMetrics = false;  // overrides reportsMetrics for changed instances
    std::mt19937 random{7};
    std::string events;
    std::unique_ptr<RolloutController> controller;
};

}  // namespace

// Guards against false alarms: noise between the instances must not stop a change that does no
// harm.
TEST_CASE("A harmless change completes all stages without a stop") {
    FakeFleet fleet(4, 5);
    fleet.run(14 * s);
    CHECK(fleet.changedCount() == 1);
    CHECK(fleet.run() == RolloutOutcome::completed);
    CHECK(fleet.changedCount() == 20);
    CHECK(fleet.controller->stageCount() == 3);
    CHECK(fleet.events.find("stops") == std::string::npos);
}

// Changed instances reject 4 % more requests, or send four times the attempts. Too weak evidence
// would let either change reach the whole fleet.
TEST_CASE("A harmful change reaches at most a quarter of the instances and is rolled back") {
    FakeFleet fleet(4, 5);
    fleet.addedHarm = 0.04;
    fleet.plan.rollbackBatchSize = 1;
    CHECK(fleet.run() == RolloutOutcome::rolledBack);
    CHECK(fleet.changedCount() == 0);
    CHECK(fleet.controller->maxChangedCount() <= 5);
    CHECK(fleet.controller->reason().find("unanswered") != std::string::npos);
    FakeFleet pressing(4, 5);
    pressing.pressure = 4;
    CHECK(pressing.run() == RolloutOutcome::rolledBack);
    CHECK(pressing.controller->reason().find("relays a command") != std::string::npos);
}

// A fault of the whole fleet must neither be attributed to the change nor hide its harm: with an
// excuse the stage waits; without one, or without metrics of the unchanged side, the rollout stops.
TEST_CASE("A fault with an excuse delays a stage, and a stage that can't be judged stops the rollout") {
    FakeFleet fleet(4, 5);
    fleet.run(13 * s);
    REQUIRE(fleet.changedCount() == 1);
    fleet.baselineRejectedShare = 0.3;
    fleet.forEachInstance([](auto& instance) { instance.metrics.cachesReady = 2; });
    for (int i = 0; i < 40; ++i) {
        // Lost attempts explain the fault.
        fleet.forEachInstance([](auto& instance) { instance.metrics.unsuccessfulAttempts += 10; });
        fleet.tick();
    }
    CHECK(fleet.changedCount() == 1);
    CHECK(fleet.controller->outcome() == RolloutOutcome::none);
    fleet.baselineRejectedShare = 0.002;
    CHECK(fleet.run() == RolloutOutcome::completed);
    // The same fault without an excuse begins during a stage.
    FakeFleet unexplained(4, 5);
    unexplained.run(14 * s);
    unexplained.baselineRejectedShare = 0.3;
    CHECK(unexplained.run(60 * s) == RolloutOutcome::rolledBack);
    CHECK(unexplained.controller->reason().find("both sides") != std::string::npos);
    // If the unchanged instances run an old program without metrics, nothing can be judged, even if
    // the changed side reports metrics.
    FakeFleet withoutMetrics(4, 5);
    withoutMetrics.changedReportMetrics = true;
    withoutMetrics.forEachInstance([](auto& instance) { instance.reportsMetrics = false; });
    CHECK(withoutMetrics.run() == RolloutOutcome::rolledBack);
    CHECK(withoutMetrics.controller->reason().find("could not be judged") != std::string::npos);
}

// Covers the reasons to stop other than the comparison of both sides. A rollback that does not
// reach an instance, or fails there, must not be reported as complete.
TEST_CASE("Exits and unreachable agents stop a rollout, and instances that fail to roll back are named") {
    FakeFleet exiting(4, 5);
    exiting.run(13 * s);
    exiting.agents[0].instances[0].unexpectedExits = 2;
    CHECK(exiting.run() == RolloutOutcome::rolledBack);
    FakeFleet unreachable(4, 5);
    unreachable.run(13 * s);
    unreachable.agents[1].isUnreachable = true;
    CHECK(unreachable.run(40 * s) == RolloutOutcome::none);  // the agent may return
    CHECK(unreachable.run(120 * s) == RolloutOutcome::rollbackIncomplete);
    CHECK(unreachable.controller->unrestoredInstances().size() == 5);
    FakeFleet failing(4, 5);
    failing.rollbackFails = true;
    failing.addedHarm = 0.1;
    CHECK(failing.run() == RolloutOutcome::rollbackIncomplete);
    REQUIRE(failing.controller->unrestoredInstances().size() == 1);
    CHECK(failing.controller->unrestoredInstances()[0].find("stuck") != std::string::npos);
    FakeFleet missing(4, 5);
    missing.agents[2].isUnreachable = true;
    CHECK(missing.run() == RolloutOutcome::notPossible);
    CHECK(missing.controller->reason() == "no recent report from m2");
    CHECK(missing.changedCount() == 0);
    FakeFleet abandoned(4, 5);
    abandoned.run(14 * s);
    abandoned.controller->abandon(abandoned.now);
    CHECK(abandoned.run() == RolloutOutcome::rolledBack);
}

// A coordinator that is started again must not begin from the first stage, and two coordinators
// must not both give orders.
TEST_CASE("A new coordinator resumes from the agents' state and supersedes the previous one") {
    FakeFleet fleet(4, 5);
    fleet.run(13 * s);
    REQUIRE(fleet.changedCount() == 1);
    const auto superseded = std::move(fleet.controller);
    fleet.startCoordinator("d");
    fleet.run(2 * s);
    CHECK(fleet.controller->number() == 2);
    CHECK(fleet.controller->stage() == 1);
    Report seen;
    seen.number = 2;
    superseded->onReport(fleet.now, 0, seen);
    CHECK(superseded->outcome() == RolloutOutcome::notPossible);
    CHECK(superseded->reason().find("overtaken") != std::string::npos);
    CHECK(fleet.run() == RolloutOutcome::completed);
    // A rollout of another change does not begin while this change is in place.
    FakeFleet other(4, 5);
    other.run(13 * s);
    other.startCoordinator("e");
    CHECK(other.run(70 * s) == RolloutOutcome::notPossible);
}
