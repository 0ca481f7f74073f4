// Tests of staged rollouts: the evidence, the plan, an agent and a coordinator, against hosts that only
// record what they are asked.
#include <doctest/doctest.h>

#include <cmath>
#include <fstream>
#include <random>

#include "rollout/decaying_statistics.hpp"
#include "rollout/evidence.hpp"
#include "rollout/messages_codec.hpp"
#include "rollout/rollout_agent.hpp"
#include "rollout/rollout_controller.hpp"

using namespace poppyscale;
using namespace poppyscale::rollout;

namespace {

constexpr Nanos ms = kMillisecond;
constexpr Nanos s = 1'000 * ms;

// Records an agent's actions: "K" to persist, "+i" to install the change on instance i, "-i" to roll it back.
struct RecordingAgentHost : AgentHost {
    void persist(const AgentState& state) override {
        persisted = state;
        actions += "K";
    }
    void install(int instance, const Version& version) override {
        actions += (version.program == "new" ? "+" : "-") + std::to_string(instance);
    }
    void log(std::string_view) override {}
    // The actions since the last call.
    std::string take() {
        std::string taken;
        taken.swap(actions);
        return taken;
    }

    std::string actions;
    AgentState persisted;
};

Order orderOf(std::uint64_t number, std::uint64_t step, std::set<int> changed, std::set<int> held = {}) {
    Order order;
    order.number = number;
    order.step = step;
    order.digest = "d";
    order.changed = std::move(changed);
    order.held = std::move(held);
    order.holdDuration = 4 * s;
    return order;
}

const Version kOld{"old", ""};
const Version kNew{"new", ""};

// Instances whose metrics the test sets, on agents that carry out orders at once.
struct FakeFleet : RolloutHost {
    struct Instance {
        InstanceState state = InstanceState::original;
        Nanos since = 0;
        int exitCount = 0;
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

    // Half a second of requests.
    void serve(Instance& instance, bool isChanged, const std::string& zone) {
        InstanceMetrics& metrics = instance.metrics;
        metrics.up += 500 * ms;
        metrics.zone = zone;
        metrics.cachesReady = 4;
        metrics.cachesListed = 4;
        RequestClassMetrics& reads = metrics.requestClasses["read"];
        std::binomial_distribution<int> bad(50, std::min(baselineHarm + (isChanged ? addedHarm : 0.0), 1.0));
        const int rejected = bad(random);
        reads.accepted += 50;
        reads.rejected += static_cast<std::uint64_t>(rejected);
        reads.withinObjective += static_cast<std::uint64_t>(50 - rejected);
        reads.latencies.resize(20);
        for (int i = rejected; i < 50; ++i) ++reads.latencies[8 + random() % 6];
        metrics.attempts += static_cast<std::uint64_t>(isChanged ? 60 * pressure : 60);
        metrics.attemptMs += 60 * 10;
    }
    void carryOut(Agent& agent, const Order& order) {
        agent.number = order.number;
        agent.isFinished = order.isFinished;
        if (order.isFinished) return;
        for (std::size_t i = 0; i < agent.instances.size(); ++i) {
            Instance& instance = agent.instances[i];
            const bool isTarget = order.changed.contains(static_cast<int>(i));
            const bool runsChange = instance.state == InstanceState::changed;
            if (isTarget == runsChange || instance.state == InstanceState::failed) continue;
            const InstanceState withdrawn = rollbackFails ? InstanceState::failed : InstanceState::original;
            instance.state = isTarget ? InstanceState::changed : withdrawn;
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
            one.since = now - instance.since;
            one.exitCount = instance.exitCount;
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
            if (order) carryOut(agent, *order);
            controller->onReport(now, static_cast<int>(a), reportOf(agent, zone));
        }
        controller->reconcile(now);
    }
    // Until the rollout has ended or the time has passed.
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
    double baselineHarm = 0.002;  // share of rejected requests
    double addedHarm = 0;         // on changed instances
    double pressure = 1;          // attempts of changed instances, beside the others'
    bool rollbackFails = false;
    bool changedReportMetrics = false;  // changed instances do, whatever reportsMetrics says
    std::mt19937 random{7};
    std::string events;
    std::unique_ptr<RolloutController> controller;
};

}  // namespace

TEST_CASE("evidence read after every window is seldom false, and soon true where harm is done") {
    int falseAlarms = 0;
    int detections = 0;
    double windowsUntilDetected = 0;
    const double bound = std::log(100);
    for (unsigned seed = 0; seed < 400; ++seed) {
        std::mt19937 random(seed);
        Evidence same(1.2, 0.002);
        Evidence worse(1.2, 0.002);
        std::binomial_distribution<int> changedBad(20, 0.004);
        std::binomial_distribution<int> unchangedBad(400, 0.004);
        std::binomial_distribution<int> harmedBad(20, 0.044);
        bool isFalseAlarm = false;
        bool isDetected = false;
        for (int window = 0; window < 300; ++window) {
            const double unchanged = unchangedBad(random);
            same.add({static_cast<double>(changedBad(random)), 20, unchanged, 400}, 0.004, 1);
            if (!isDetected)
                worse.add({static_cast<double>(harmedBad(random)), 20, unchanged, 400}, 0.004, 1);
            if (same.logValue() > bound) isFalseAlarm = true;
            if (!isDetected && worse.logValue() > bound) {
                isDetected = true;
                windowsUntilDetected += window;
            }
        }
        if (isFalseAlarm) ++falseAlarms;
        if (isDetected) ++detections;
    }
    CHECK(falseAlarms <= 4);  // one in a hundred is what the bound allows
    CHECK(detections == 400);
    CHECK(windowsUntilDetected / 400 < 30);
}

TEST_CASE("a fault that hits both sides is no evidence, and instances that differ weaken it") {
    std::mt19937 random(3);
    Evidence evidence(1.2, 0.002);
    for (int window = 0; window < 100; ++window) {
        const double badShare = window > 50 ? 0.4 : 0.002;
        std::binomial_distribution<int> changedBad(30, badShare);
        std::binomial_distribution<int> unchangedBad(300, badShare);
        const double changed = changedBad(random);
        const double unchanged = unchangedBad(random);
        evidence.add({changed, 30, unchanged, 300}, 0.002, 1);
    }
    CHECK(evidence.logValue() < std::log(100));
    Evidence uniform(1.2, 0);
    Evidence overdispersed(1.2, 0);
    for (int window = 0; window < 20; ++window) {
        uniform.add({3, 100, 3, 300}, 0.01, 1);
        overdispersed.add({3, 100, 3, 300}, 0.01, 5);
    }
    CHECK(overdispersed.logValue() < uniform.logValue() / 3);
    Overdispersion overdispersion(30 * s);
    for (int i = 0; i < 6; ++i) overdispersion.add(s, i, i == 0 ? 60 : 10, 18);
    CHECK(overdispersion.value() > 5);
    // Without any events the bound has a closed form.
    CHECK(upperConfidenceBound(0, 200, 0.02) == doctest::Approx(1 - std::pow(0.02, 1.0 / 200)));
}

TEST_CASE("metrics that fall, come from the future, or are of another format are unknown") {
    nlohmann::json json{{"format", 1},
                        {"pid", 7},
                        {"up_ms", 1000},
                        {"relays", 5},
                        {"origin_relays", 1},
                        {"relays_errored", 0},
                        {"relays_timed_out", 0},
                        {"relays_cut", 0},
                        {"relays_turned_away", 0},
                        {"relays_found_dead", 0},
                        {"links_opened", 2},
                        {"memory_kb", 10},
                        {"descriptors", 3},
                        {"links", 1},
                        {"open", 0},
                        {"caches_ready", 1},
                        {"caches_listed", 1},
                        {"longest_turn_us", 4},
                        {"new_in_a_later_version", true},
                        {"verbs",
                         {{"read",
                           {{"taken", 4},
                            {"in_goal", 3},
                            {"late", 1},
                            {"declined", {{"full", 0}, {"another", 2}}},
                            {"terminated", 0},
                            {"left", 0},
                            {"times_from", -1},
                            {"times", {1, 0, 3}}}}}}};
    const auto first = readInstanceMetrics(json);
    REQUIRE(first);
    CHECK(first->requestClasses.at("read").rejected == 2);
    auto next = json;
    next["up_ms"] = 2000;
    next["relays"] = 9;
    CHECK(windowOf(*first, *readInstanceMetrics(next), s)->attempts == 4);
    CHECK_FALSE(windowOf(*first, *readInstanceMetrics(next), -s));  // no time has passed here
    next["relays"] = 4;
    CHECK_FALSE(windowOf(*first, *readInstanceMetrics(next), s));
    next["relays"] = 9;
    next["pid"] = 8;
    CHECK_FALSE(windowOf(*first, *readInstanceMetrics(next), s));
    next["format"] = 2;
    CHECK_FALSE(readInstanceMetrics(next));
    CHECK_FALSE(readInstanceMetrics({{"error", "'figures' is not known here"}}));
    json["memory_kb"] = -1;
    CHECK_FALSE(readInstanceMetrics(json));
}

TEST_CASE("a plan's problems are reported all at once, each with its line and key") {
    config::ConfigProblems problems("p.toml");
    readRolloutPlan(
        "[[agents]]\nname = \"a\"\nsocket = \"x\"\n[[agents]]\nname = \"a\"\nsocket = "
        "\"/b\"\n[change]\nprogram = "
        "\"/etc/passwd\"\n[[stages]]\nshare = 0.5\n[[stages]]\nshare = 0.25\n[[stages]]\nshare = "
        "1.5\n[stage]\nleast_ms = 5000\nlongest_ms = 1000\n[wurse]\n",
        "p.toml", problems);
    const std::string text = problems.text();
    for (const char* expected : {"p.toml:3: agents[0].socket: is not an absolute path",
                                 "p.toml:5: agents[1].name: is another agent's too",
                                 "p.toml:8: change.program: is not a program that can be run",
                                 "p.toml:12: stages[1].share: does not grow", "p.toml:14: stages[2].share",
                                 "p.toml:17: stage.longest_ms: is under least_ms", "wurse: is not a key"})
        CHECK_MESSAGE(text.find(expected) != std::string::npos, text);
    RolloutPlan plan;
    plan.stages = {{1, 0}, {0, 0.05}, {0, 0.25}, {0, 1}};
    CHECK(stagesOf(plan, 300) == std::vector<int>{1, 15, 75, 300});
    CHECK(stagesOf(plan, 3) == std::vector<int>{1, 2, 3});
    CHECK(stagesOf(plan, 1) == std::vector<int>{1});
}

TEST_CASE("an agent acts once its order is on disk, one instance at a time, and rolls back without orders") {
    RecordingAgentHost host;
    RolloutAgent agent(3, kOld, host);
    CHECK(agent.onOrder(s, orderOf(5, 1, {0, 1}), kNew) == "");
    agent.reconcile(s);
    CHECK(host.take() == "K");  // and nothing else yet
    CHECK(agent.isPersisting());
    agent.onPersisted(s, "");
    agent.reconcile(s);
    CHECK(host.take() == "+0");
    agent.reconcile(2 * s);
    CHECK(host.take() == "");
    agent.onInstalled(2 * s, 0, "");
    agent.reconcile(2 * s);
    CHECK(host.take() == "+1");
    agent.onInstalled(3 * s, 1, "");
    // Rejects another coordinator's order and an outdated one; accepts the next.
    CHECK(agent.onOrder(3 * s, orderOf(4, 9, {}), kNew) == "overtaken by 5");
    CHECK(agent.onOrder(3 * s, orderOf(5, 1, {}), kNew).starts_with("overtaken"));
    CHECK(agent.onOrder(3 * s, orderOf(5, 2, {0, 1}, {0}), kNew) == "");
    agent.onPersisted(3 * s, "");
    CHECK(agent.nextDeadline() == 7 * s);
    agent.reconcile(6'999 * ms);
    CHECK(host.take() == "K");
    agent.reconcile(7 * s);
    CHECK(host.take() == "K-1");  // 0 is held
    agent.onInstalled(8 * s, 1, "");
    agent.onPersisted(8 * s, "");
    CHECK(agent.report(8 * s).hasRolledBack);
    CHECK(agent.versionOf(0) == kNew);
    CHECK(agent.versionOf(1) == kOld);
    CHECK_FALSE(agent.setOriginalVersion(kNew));  // not in the middle of a roll
}

TEST_CASE("an agent whose disk is full continues with what is on it, and still rolls back") {
    RecordingAgentHost host;
    RolloutAgent agent(2, kOld, host);
    agent.onOrder(s, orderOf(1, 1, {0}), kNew);
    agent.onPersisted(s, "no space");
    agent.reconcile(s);
    CHECK(host.take() == "K");
    CHECK(agent.report(s).problem == "no space");
    CHECK(agent.report(s).number == 1);
    agent.onOrder(s, orderOf(1, 2, {0}), kNew);
    agent.onPersisted(s, "");
    agent.reconcile(s);
    agent.onInstalled(s, 0, "");
    CHECK(host.take() == "K+0");
    agent.onOrder(2 * s, orderOf(1, 3, {}), kNew);
    agent.reconcile(2 * s);
    CHECK(host.take() == "K-0");  // without waiting for the disk
    agent.onPersisted(2 * s, "no space");
    agent.onInstalled(2 * s, 0, "can't write");
    CHECK(agent.report(2 * s).instances[0].state == InstanceState::failed);
    agent.reconcile(3 * s);
    CHECK(host.take() == "");
    agent.reconcile(4 * s);
    CHECK(host.take() == "-0");  // the retry
}

TEST_CASE("a restarted agent installs what was on disk, and soon rolls it back without orders") {
    RecordingAgentHost firstHost;
    RolloutAgent first(2, kOld, firstHost);
    first.onOrder(s, orderOf(3, 1, {0, 1}, {0}), kNew);
    RecordingAgentHost host;
    RolloutAgent agent(2, kOld, host);
    agent.restore(10 * s, firstHost.persisted);
    CHECK(host.take() == "+0+1");
    agent.onInstalled(11 * s, 0, "");
    agent.onInstalled(11 * s, 1, "");
    agent.reconcile(13 * s);
    CHECK(host.take() == "K-1");
    // What can't be changed is rolled back, reported, and not retried without a new rollout.
    RolloutAgent other(1, kOld, host);
    other.onOrder(s, orderOf(1, 1, {0}), kNew);
    other.onPersisted(s, "");
    other.reconcile(s);
    other.onInstalled(s, 0, "it ends at its start");
    CHECK(host.take() == "K+0-0");
    other.onInstalled(s, 0, "");
    other.reconcile(2 * s);
    CHECK(host.take() == "");
    CHECK(other.report(s).instances[0].problem == "it ends at its start");
}

TEST_CASE("after the end the change is what runs, also before that is on disk; another change waits") {
    RecordingAgentHost host;
    RolloutAgent agent(2, kOld, host);
    agent.onOrder(s, orderOf(1, 1, {0, 1}), kNew);
    agent.onPersisted(s, "");
    for (int i = 0; i < 2; ++i) {
        agent.reconcile(s);
        agent.onInstalled(s, i, "");
    }
    CHECK(host.take() == "K+0+1");
    Order finished = orderOf(1, 2, {});
    finished.isFinished = true;
    CHECK(agent.onOrder(2 * s, finished, kNew) == "");
    agent.reconcile(2 * s);
    CHECK(host.take() == "K");
    agent.onPersisted(2 * s, "");
    agent.reconcile(60 * s);
    CHECK(host.take() == "");
    CHECK(agent.versionOf(0) == kNew);
    CHECK(agent.report(60 * s).isFinished);
    // A rollout can't end before all are changed; another change waits until this one is rolled back.
    RolloutAgent partial(2, kOld, host);
    partial.onOrder(s, orderOf(1, 1, {0}), kNew);
    partial.onPersisted(s, "");
    partial.reconcile(s);
    partial.onInstalled(s, 0, "");
    finished.step = 5;
    CHECK(partial.onOrder(2 * s, finished, kNew) == "not all are changed: it can't be over");
    Order another = orderOf(2, 1, {1});
    another.digest = "e";
    host.take();
    CHECK(partial.onOrder(2 * s, another, {"newer", ""}) == "");
    partial.reconcile(2 * s);
    CHECK(host.take() == "K-0");
}

TEST_CASE("a harmless change completes all stages, spread over zones") {
    FakeFleet fleet(4, 5);
    fleet.run(14 * s);
    CHECK(fleet.changedCount() == 1);
    CHECK(fleet.run() == RolloutOutcome::completed);
    CHECK(fleet.changedCount() == 20);
    CHECK(fleet.controller->stageCount() == 3);
    CHECK(fleet.events.find("stops") == std::string::npos);
}

TEST_CASE("harm of a few percent is stopped before a quarter has it, and rolled back in batches") {
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

TEST_CASE("a fault delays a stage, and a stage that can't be judged stops") {
    FakeFleet fleet(4, 5);
    fleet.run(13 * s);
    REQUIRE(fleet.changedCount() == 1);
    fleet.baselineHarm = 0.3;
    fleet.forEachInstance([](auto& instance) { instance.metrics.cachesReady = 2; });
    for (int i = 0; i < 40; ++i) {
        // Lost attempts explain the fault.
        fleet.forEachInstance([](auto& instance) { instance.metrics.attemptsLost += 10; });
        fleet.tick();
    }
    CHECK(fleet.changedCount() == 1);
    CHECK(fleet.controller->outcome() == RolloutOutcome::none);
    fleet.baselineHarm = 0.002;
    CHECK(fleet.run() == RolloutOutcome::completed);
    // The same fault without an excuse, begun during a stage.
    FakeFleet unexplained(4, 5);
    unexplained.run(14 * s);
    unexplained.baselineHarm = 0.3;
    CHECK(unexplained.run(60 * s) == RolloutOutcome::rolledBack);
    CHECK(unexplained.controller->reason().find("both sides") != std::string::npos);
    // Beside an old program without metrics nothing can be judged, even if the changed side has them.
    FakeFleet silent(4, 5);
    silent.changedReportMetrics = true;
    silent.forEachInstance([](auto& instance) { instance.reportsMetrics = false; });
    CHECK(silent.run() == RolloutOutcome::rolledBack);
    CHECK(silent.controller->reason().find("could not be told") != std::string::npos);
}

TEST_CASE("exits and unreachable agents stop a rollout; instances that fail to roll back are named") {
    FakeFleet exiting(4, 5);
    exiting.run(13 * s);
    exiting.agents[0].instances[0].exitCount = 2;
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
    CHECK(missing.controller->reason() == "not there: m2");
    CHECK(missing.changedCount() == 0);
    FakeFleet abandoned(4, 5);
    abandoned.run(14 * s);
    abandoned.controller->abandon(abandoned.now);
    CHECK(abandoned.run() == RolloutOutcome::rolledBack);
}

TEST_CASE("a new coordinator resumes where the agents are, and the one before is superseded") {
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
