// Decides for a fleet of instances on one machine: when one that has ended is started again, and how a
// restart or an upgrade goes through all of them, a batch at a time. Free of I/O and of any clock.
#pragma once

#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "policy/routing_policy.hpp"

namespace poppyscale::supervisor {

struct SupervisorSettings {
    int instanceCount = 1;
    int batchSize = 1;          // instances of a roll that are away from service at once, at most
    Nanos readyTimeout = 0;     // after a start; then it counts as one that does not come up
    Nanos observationTime = 0;  // a batch has to stay up for so long before the next one
    Nanos minBackoff = 0;       // before an instance that has ended is started again; doubled each time
    Nanos maxBackoff = 0;
    Nanos backoffResetAfter = 0;  // an instance that has lived for so long begins with the least pause again
    Nanos stopTimeout = 0;        // an instance that was told to stop and has not by then is ended
};

// What the decisions ask for. `i` counts from 0.
class SupervisorHost {
  public:
    virtual ~SupervisorHost() = default;
    virtual void start(int i) = 0;
    virtual void stop(int i) = 0;     // in order
    virtual void kill(int i) = 0;     // at once
    virtual void upgrade(int i) = 0;  // then `upgraded`
    virtual void log(std::string_view text) = 0;
};

class InstanceSupervisor {
  public:
    InstanceSupervisor(const SupervisorSettings& terms, std::uint64_t seed, SupervisorHost& hands);

    // Found living when the keeper came, and ready or not.
    void onFound(Nanos now, int i, bool ready);
    void onReady(Nanos now, int i);
    void onExited(Nanos now, int i);
    void onUpgraded(Nanos now, int i, std::string_view problem);  // "" when it was done
    enum class RollingOperation : std::uint8_t { restart, upgrade };
    // False when one is under way, or not all instances are ready.
    bool startRolling(Nanos now, RollingOperation kind);
    // One instance's turn, outside of a roll: it is told to stop and started again, whatever it does now.
    void restart(Nanos now, int i);
    // It is being upgraded by somebody else, who says `upgraded`; false when it is not ready.
    bool beginExternalUpgrade(int i);
    bool isReady(int i) const {
        return instances_[static_cast<std::size_t>(i)].state == InstanceState::ready;
    }
    bool isStopping(int i) const { return instances_[static_cast<std::size_t>(i)].stopRequested; }
    void stopAll();

    // Once after the events of a moment: emits the difference between what is wanted and what is.
    void reconcile(Nanos now);
    // When to settle again, at the latest, if nothing comes before.
    Nanos nextDeadline() const;

    bool allReady() const;
    bool allStopped() const;
    bool isRolling() const { return isRolling_; }
    // Why the last roll was stopped, or empty.
    const std::string& rollingProblem() const { return rollingProblem_; }
    int restarts(int i) const { return instances_[static_cast<std::size_t>(i)].restarts; }

  private:
    // pausing: has ended, and is started when its pause is over. leaving: told to stop. changing: upgrades.
    enum class InstanceState : std::uint8_t { backingOff, starting, ready, stopping, upgrading };
    struct Instance {
        InstanceState state = InstanceState::backingOff;
        Nanos deadline = 0;          // of the phase, where it has an end
        Nanos readyAt = 0;           // since when it is ready
        Nanos backoff = 0;           // the last one
        int restarts = 0;            // after an end that nobody asked for
        bool stopRequested = false;  // its end was asked for
    };
    Instance& at(int i) { return instances_[static_cast<std::size_t>(i)]; }
    void enterState(Instance& instance, InstanceState phase, Nanos until) {
        instance.state = phase;
        instance.deadline = until;
    }
    void reconcileInstance(Nanos now, int i);
    void reconcileRolling(Nanos now);
    void stopRolling(std::string why);

    SupervisorSettings settings_;
    SupervisorHost& host_;
    std::mt19937 random_;
    std::vector<Instance> instances_;
    bool isStopping_ = false;
    bool isRolling_ = false;
    RollingOperation operation_ = RollingOperation::restart;
    int processedCount_ = 0;  // instances whose turn has come
    int batchStart_ = 0;      // the first of the batch that is under way
    Nanos observeUntil_ = 0;  // 0 while the batch is not all up
    std::string rollingProblem_;
};

}  // namespace poppyscale::supervisor
