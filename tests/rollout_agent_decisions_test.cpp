// Tests of an agent's decisions in a staged rollout with a host that only records the agent's
// actions.
#include <doctest/doctest.h>

#include <set>
#include <string>

#include "rollout/rollout_agent.hpp"

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

}  // namespace

// Guards against a change that an agent forgets in a crash, a change that takes several instances
// out of service at once, and a change that stays although its coordinator is gone.
TEST_CASE("Changes one instance at a time after its order is on disk, and rolls back without orders") {
    RecordingAgentHost host;
    RolloutAgent agent(3, kOld, host);
    CHECK(agent.onOrder(s, orderOf(5, 1, {0, 1}), kNew) == "");
    agent.reconcile(s);
    CHECK(host.take() == "K");  // no instance changes yet
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
    CHECK(agent.onOrder(3 * s, orderOf(4, 9, {}), kNew) == "overtaken by rollout 5");
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
    CHECK_FALSE(agent.setOriginalVersion(kNew));  // refused during a rollout
}

// An agent that changed instances by an order that is not on disk would forget the change in a
// crash. A rollback must not depend on the disk.
TEST_CASE("With a full disk, continues with the state on disk and still rolls back") {
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
    CHECK(host.take() == "K-0");  // the rollback does not wait for the disk
    agent.onPersisted(2 * s, "no space");
    agent.onInstalled(2 * s, 0, "can't write");
    CHECK(agent.report(2 * s).instances[0].state == InstanceState::failed);
    agent.reconcile(3 * s);
    CHECK(host.take() == "");
    agent.reconcile(4 * s);
    CHECK(host.take() == "-0");  // the retry
}

// An agent that restarts again and again must not keep a change forever without a coordinator, and
// an instance whose change failed must not be changed again and again.
TEST_CASE("After a restart, installs the change on disk and soon rolls it back without orders") {
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
    // An instance that can't be changed is rolled back, reported, and not retried without a new rollout.
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

// A rollback after the end of a rollout would undo a completed change. A second change that began
// before the first is rolled back would leave no known version to return to.
TEST_CASE("Keeps the change once the rollout has ended, and starts no other change before a rollback") {
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
    // A rollout can't end before all instances are changed, and another change waits until this change
    // is rolled back.
    RolloutAgent partial(2, kOld, host);
    partial.onOrder(s, orderOf(1, 1, {0}), kNew);
    partial.onPersisted(s, "");
    partial.reconcile(s);
    partial.onInstalled(s, 0, "");
    finished.step = 5;
    CHECK(partial.onOrder(2 * s, finished, kNew) ==
          "not all instances have the change: the rollout can't have ended");
    Order another = orderOf(2, 1, {1});
    another.digest = "e";
    host.take();
    CHECK(partial.onOrder(2 * s, another, {"newer", ""}) == "");
    partial.reconcile(2 * s);
    CHECK(host.take() == "K-0");
}
