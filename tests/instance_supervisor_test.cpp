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
    // Lets the time pass, reconciles and returns the actions.
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

// A constant backoff would restart a broken instance forever at a high rate, and without jitter
// instances that exit together would start together.
TEST_CASE("Restarts an exited instance after a growing, jittered backoff, which a stable time resets") {
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
    CHECK(started.size() < 16);  // the eight instances do not all start at once
}

// A process that hangs while it starts or stops would otherwise keep its instance out of service
// forever.
TEST_CASE("Kills an instance that is not ready in time, and one that does not stop in time") {
    Fleet fleet(1);
    fleet.supervisor.onExited(fleet.now, 0);
    CHECK(fleet.reconcileAfter(100 * ms) == "+0");
    CHECK(fleet.reconcileAfter(1'000 * ms) == "!0");
    CHECK(fleet.reconcileAfter(1'000 * ms) == "");  // the instance is killed only once
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

// If a batch began before the previous one is ready and observed, a defective version could take
// all instances out of service.
TEST_CASE("A rolling operation begins a batch only after the previous one is ready and observed") {
    Fleet fleet(3, 2);
    REQUIRE(fleet.supervisor.startRolling(fleet.now, RollingOperation::restart));
    CHECK_FALSE(fleet.supervisor.startRolling(fleet.now, RollingOperation::upgrade));
    CHECK(fleet.reconcileAfter() == "-0-1");
    fleet.supervisor.onExited(fleet.now, 0);
    fleet.supervisor.onExited(fleet.now, 1);
    CHECK(fleet.reconcileAfter() == "+0+1");  // no backoff, as these exits were requested
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
    CHECK(fleet.supervisor.unexpectedExits(0) == 0);
}

// An instance can fail after its restart by exiting, by not becoming ready, or by a rejected
// upgrade. If the operation went on, the same failure would reach all instances.
TEST_CASE("A rolling operation stops at the first instance that fails and states the problem") {
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
    CHECK(hangs.supervisor.rollingProblem() == "instance 0 was not ready in time and was killed");
    Fleet refused(2);
    refused.supervisor.startRolling(refused.now, RollingOperation::upgrade);
    CHECK(refused.reconcileAfter() == "^0");
    refused.supervisor.onUpgraded(refused.now, 0, "the new process ended");
    CHECK(refused.reconcileAfter(5'000 * ms) == "");
    CHECK(refused.supervisor.allReady());  // the old process goes on serving
}

// Instance 2 exits while instance 0 is observed. The next batch together with it could leave no
// instance in service.
TEST_CASE("A rolling operation begins no batch while another instance is out of service") {
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

// A restarted supervisor must not start a second process of an instance that survived it.
TEST_CASE("A new supervisor takes over running instances and starts only the missing ones") {
    RecordingHost host;
    InstanceSupervisor supervisor({3, 1, 1'000 * ms, 0, 100 * ms, 1'000 * ms, 1'000 * ms, 1'000 * ms}, 1,
                                  host);
    supervisor.onFound(1, 0, true);
    supervisor.onFound(1, 2, false);
    supervisor.reconcile(1);
    CHECK(host.actions == "+1");
}
