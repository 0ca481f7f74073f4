// Tests of InstanceSupervisor against a host that records the actions it is asked for.
#include "supervisor/instance_supervisor.hpp"

#include <doctest/doctest.h>

using namespace poppyscale;
using supervisor::InstanceSupervisor;
using RollingOperation = supervisor::InstanceSupervisor::RollingOperation;

namespace {

constexpr Nanos ms = kMillisecond;

// Records actions as +i (start), -i (stop), !i (kill) and ^i (upgrade).
struct RecordingHost : supervisor::SupervisorHost {
    void start(int i) override { actions += "+" + std::to_string(i); }
    void stop(int i) override { actions += "-" + std::to_string(i); }
    void kill(int i) override { actions += "!" + std::to_string(i); }
    void upgrade(int i) override { actions += "^" + std::to_string(i); }
    void log(std::string_view) override {}
    std::string actions;
};

// A supervisor whose instances are all ready.
struct Fleet {
    explicit Fleet(int count, int batch = 1)
        : supervisor({count, batch, 1'000 * ms, 500 * ms, 100 * ms, 1'600 * ms, 10'000 * ms, 3'000 * ms}, 7,
                     host) {
        reconcileAfter();
        for (int i = 0; i < count; ++i) supervisor.onReady(now, i);
        reconcileAfter();
        host.actions.clear();
    }
    // The actions of a reconcile so much later.
    std::string reconcileAfter(Nanos elapsed = 0) {
        host.actions.clear();
        now += elapsed;
        supervisor.reconcile(now);
        return host.actions;
    }
    Nanos now = 1;
    RecordingHost host;
    InstanceSupervisor supervisor;
};

}  // namespace

TEST_CASE(
    "an instance that exits is restarted after a growing, jittered backoff that is reset once it was "
    "stable") {
    Fleet fleet(1);
    for (const Nanos backoff : {100, 200, 400, 800, 1'600, 1'600}) {
        fleet.supervisor.onExited(fleet.now, 0);
        CHECK(fleet.reconcileAfter() == "");
        const Nanos delay = fleet.supervisor.nextDeadline() - fleet.now;
        CHECK(delay >= backoff * ms / 2);
        CHECK(delay <= backoff * ms);
        CHECK(fleet.reconcileAfter(delay) == "+0");
        fleet.supervisor.onReady(fleet.now, 0);
    }
    fleet.now += 20'000 * ms;
    fleet.supervisor.onExited(fleet.now, 0);
    CHECK(fleet.supervisor.nextDeadline() - fleet.now <= 100 * ms);
    Fleet many(8);
    for (int i = 0; i < 8; ++i) many.supervisor.onExited(many.now, i);
    CHECK(many.reconcileAfter(50 * ms) == "");
    const std::string started = many.reconcileAfter(25 * ms);
    CHECK(started.size() > 0);
    CHECK(started.size() < 16);  // not all in step
}

TEST_CASE("an instance that is not ready in time is killed, and so is one that does not stop in time") {
    Fleet fleet(1);
    fleet.supervisor.onExited(fleet.now, 0);
    CHECK(fleet.reconcileAfter(100 * ms) == "+0");
    CHECK(fleet.reconcileAfter(1'000 * ms) == "!0");
    CHECK(fleet.reconcileAfter(1'000 * ms) == "");  // only once
    fleet.supervisor.onExited(fleet.now, 0);
    CHECK(fleet.reconcileAfter(200 * ms) == "+0");
    fleet.supervisor.onReady(fleet.now, 0);
    fleet.supervisor.stopAll();
    CHECK(fleet.reconcileAfter() == "-0");
    CHECK(fleet.reconcileAfter(3'000 * ms) == "!0");
    fleet.supervisor.onExited(fleet.now, 0);
    CHECK(fleet.supervisor.allStopped());
    CHECK(fleet.reconcileAfter(10'000 * ms) == "");
}

TEST_CASE("a rolling operation takes one batch at a time, each ready and observed before the next") {
    Fleet fleet(3, 2);
    REQUIRE(fleet.supervisor.startRolling(fleet.now, RollingOperation::restart));
    CHECK_FALSE(fleet.supervisor.startRolling(fleet.now, RollingOperation::upgrade));
    CHECK(fleet.reconcileAfter() == "-0-1");
    fleet.supervisor.onExited(fleet.now, 0);
    fleet.supervisor.onExited(fleet.now, 1);
    CHECK(fleet.reconcileAfter() == "+0+1");  // without a backoff: they were asked to stop
    fleet.supervisor.onReady(fleet.now, 0);
    CHECK(fleet.reconcileAfter(900 * ms) == "");
    fleet.supervisor.onReady(fleet.now, 1);
    CHECK(fleet.reconcileAfter() == "");
    CHECK(fleet.reconcileAfter(499 * ms) == "");
    CHECK(fleet.reconcileAfter(1 * ms) == "-2");
    fleet.supervisor.onExited(fleet.now, 2);
    fleet.reconcileAfter();
    fleet.supervisor.onReady(fleet.now, 2);
    fleet.reconcileAfter();
    fleet.reconcileAfter(500 * ms);
    CHECK_FALSE(fleet.supervisor.isRolling());
    CHECK(fleet.supervisor.rollingProblem() == "");
    CHECK(fleet.supervisor.restarts(0) == 0);
}

TEST_CASE("a rolling operation stops at the first instance that fails and states the problem") {
    Fleet fleet(3);
    fleet.supervisor.startRolling(fleet.now, RollingOperation::restart);
    fleet.reconcileAfter();
    fleet.supervisor.onExited(fleet.now, 0);
    fleet.reconcileAfter();
    fleet.supervisor.onReady(fleet.now, 0);
    fleet.reconcileAfter();
    fleet.supervisor.onExited(fleet.now + 100 * ms, 0);  // within the observation time
    CHECK(fleet.supervisor.rollingProblem() == "instance 0 exited after its restart");
    fleet.reconcileAfter(200 * ms);
    fleet.supervisor.onReady(fleet.now, 0);
    CHECK(fleet.reconcileAfter(5'000 * ms) == "");  // no further batch begins
    Fleet hangs(2);
    hangs.supervisor.startRolling(hangs.now, RollingOperation::restart);
    hangs.reconcileAfter();
    hangs.supervisor.onExited(hangs.now, 0);
    hangs.reconcileAfter();
    CHECK(hangs.reconcileAfter(1'000 * ms) == "!0");
    CHECK(hangs.supervisor.rollingProblem() == "instance 0 is not ready in time");
    Fleet refused(2);
    refused.supervisor.startRolling(refused.now, RollingOperation::upgrade);
    CHECK(refused.reconcileAfter() == "^0");
    refused.supervisor.onUpgraded(refused.now, 0, "the new process ended");
    CHECK(refused.reconcileAfter(5'000 * ms) == "");
    CHECK(refused.supervisor.allReady());  // it goes on serving
}

TEST_CASE("a rolling operation begins no batch while another instance is out of service") {
    Fleet fleet(3);
    fleet.supervisor.startRolling(fleet.now, RollingOperation::upgrade);
    CHECK(fleet.reconcileAfter() == "^0");
    fleet.supervisor.onUpgraded(fleet.now, 0, "");
    fleet.supervisor.onExited(fleet.now, 2);  // unexpectedly
    CHECK(fleet.reconcileAfter(1'000 * ms) == "+2");
    CHECK(fleet.reconcileAfter(900 * ms) == "");
    fleet.supervisor.onReady(fleet.now, 2);
    CHECK(fleet.reconcileAfter(0) == "");
    CHECK(fleet.reconcileAfter(500 * ms) == "^1");
}

TEST_CASE("a new supervisor takes over running instances and starts only those that are missing") {
    RecordingHost host;
    InstanceSupervisor supervisor({3, 1, 1'000 * ms, 0, 100 * ms, 1'000 * ms, 1'000 * ms, 1'000 * ms}, 1,
                                  host);
    supervisor.onFound(1, 0, true);
    supervisor.onFound(1, 2, false);
    supervisor.reconcile(1);
    CHECK(host.actions == "+1");
}
