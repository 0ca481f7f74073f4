// Decides when the instances of one machine are started, stopped and upgraded.
#pragma once

#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"

namespace poppyscale::supervisor {

// How an InstanceSupervisor restarts instances and paces a rolling operation. All times are in nanoseconds.
struct SupervisorSettings {
    int instanceCount = 1;
    int batchSize = 1;       // most instances that a rolling operation takes down at once
    Nanos readyTimeout = 0;  // time from the start of an instance until it must be ready
    // Time for which a batch has to stay ready before the next batch begins.
    Nanos observationTime = 0;
    // Pause before the first restart after an unexpected exit; doubled with each further exit.
    Nanos minBackoff = 0;
    Nanos maxBackoff = 0;         // bound of the doubled backoff
    Nanos backoffResetAfter = 0;  // time ready after which the backoff is minBackoff again
    Nanos stopTimeout = 0;        // time from the request to stop until the instance is killed
};

// The actions that an InstanceSupervisor requests. Instances are numbered from 0. Implementations
// report the result of an action through the supervisor's event methods, and may do so from within
// the action.
class SupervisorHost {
  public:
    virtual ~SupervisorHost() = default;
    // Starts the instance's process: InstanceSupervisor::onReady or onExited follows.
    virtual void start(int instance) = 0;
    // Requests a graceful shutdown: onExited follows.
    virtual void stop(int instance) = 0;
    // Ends the process at once: onExited follows.
    virtual void kill(int instance) = 0;
    // Begins an upgrade of the running instance: onUpgraded follows.
    virtual void upgrade(int instance) = 0;
    // Writes one line to the log.
    virtual void log(std::string_view text) = 0;
};

// State machine that keeps the instances of one machine running and restarts or upgrades all of
// them, batch by batch.
//
// Guarantees: an instance that exited unexpectedly is restarted after a backoff that doubles up to
// a bound, with jitter; a rolling operation has at most `batchSize` instances out of service at
// once, begins no batch while any instance is out of service for another reason, and stops at the
// first instance that fails.
//
// Free of I/O and of any clock: events and the time of a monotonic clock come in, actions go out
// through the host. Owns the state of each instance and of the rolling operation. The host must
// outlive the supervisor. Not thread-safe.
class InstanceSupervisor {
  public:
    enum class RollingOperation : std::uint8_t { restart, upgrade };

    // All instances count as not running and are started by the first reconcile. `seed` determines the jitter
    // of the backoff.
    InstanceSupervisor(const SupervisorSettings& settings, std::uint64_t seed, SupervisorHost& host);

    // A process of this instance was running before the supervisor was created. `isReady`: the
    // process serves already.
    void onFound(Nanos now, int instance, bool isReady);
    // The instance that was started is ready and serves.
    void onReady(Nanos now, int instance);
    // The instance's process has ended, or could not be started.
    void onExited(Nanos now, int instance);
    // An upgrade has ended. `problem`: why it failed; empty if it succeeded.
    void onUpgraded(Nanos now, int instance, std::string_view problem);

    // Begins a rolling operation. Returns false if one is in progress, all instances are being
    // stopped, or not all instances are ready.
    bool startRolling(Nanos now, RollingOperation operation);
    // Stops one instance, whatever its state, and starts it again without a backoff.
    void restart(Nanos now, int instance);
    // The caller upgrades this instance itself and reports through onUpgraded. Returns false if the
    // instance is not ready.
    bool beginExternalUpgrade(int instance);
    // Stops all instances for good and ends a rolling operation.
    void stopAll();

    // Requests the actions that lead from the current state to the wanted one. To be called once
    // after events were delivered, and at nextDeadline().
    void reconcile(Nanos now);
    // When to call reconcile at the latest if no event arrives before; kNever if there is no
    // deadline.
    Nanos nextDeadline() const;

    bool isReady(int instance) const { return at(instance).state == InstanceState::ready; }
    // Whether the instance was asked to stop and has not exited yet.
    bool isStopping(int instance) const { return at(instance).isStopRequested; }
    bool allReady() const;
    // Whether all instances have exited after stopAll().
    bool allStopped() const;
    bool isRolling() const { return mode_ == Mode::rolling; }
    // Why the last rolling operation was stopped; empty if it was not.
    const std::string& rollingProblem() const { return rollingProblem_; }
    // Unexpected exits of this instance so far.
    int unexpectedExits(int instance) const { return at(instance).unexpectedExits; }

  private:
    enum class InstanceState : std::uint8_t {
        backingOff,  // has no process; is started at the deadline
        starting,    // has a process that is not ready; is killed at the deadline
        ready,
        stopping,  // was asked to stop; is killed at the deadline
        upgrading  // serves while a new process takes over
    };
    enum class Mode : std::uint8_t {
        supervising,  // keeps all instances running
        rolling,      // the same, with a rolling operation in progress
        stopping      // stops all instances and starts none
    };
    struct Instance {
        InstanceState state = InstanceState::backingOff;
        Nanos deadline = 0;  // when the state ends or times out; kNever: never
        Nanos readyAt = 0;   // when the instance last became ready
        Nanos backoff = 0;   // the last backoff, without jitter; 0: none yet
        int unexpectedExits = 0;
        bool isStopRequested = false;  // the next exit is expected
    };
    Instance& at(int instance) { return instances_[static_cast<std::size_t>(instance)]; }
    const Instance& at(int instance) const { return instances_[static_cast<std::size_t>(instance)]; }
    static void enterState(Instance& instance, InstanceState state, Nanos deadline);
    void scheduleRestart(Nanos now, int instance);
    void requestStop(Nanos now, int instance);
    void reconcileInstance(Nanos now, int instance);
    void onReadyTimeout(int instance);
    void reconcileRolling(Nanos now);
    bool isBatchObserved(Nanos now);
    void beginRollingOperationOn(Nanos now, int instance);
    void stopRolling(std::string problem);

    SupervisorSettings settings_;
    SupervisorHost& host_;
    std::mt19937 random_;
    std::vector<Instance> instances_;
    Mode mode_ = Mode::supervising;
    // The rolling operation in progress, or the last one.
    RollingOperation operation_ = RollingOperation::restart;
    int processedCount_ = 0;  // instances on which the operation has begun, from instance 0 up
    int batchStart_ = 0;      // the first instance of the batch in progress
    Nanos observeUntil_ = 0;  // end of the batch's observation; 0 until all instances were ready
    std::string rollingProblem_;
};

}  // namespace poppyscale::supervisor
