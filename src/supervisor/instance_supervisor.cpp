#include "supervisor/instance_supervisor.hpp"

#include <algorithm>
#include <utility>

namespace poppyscale::supervisor {

InstanceSupervisor::InstanceSupervisor(const SupervisorSettings& terms, std::uint64_t seed,
                                       SupervisorHost& hands)
    : settings_(terms), host_(hands), random_(static_cast<std::mt19937::result_type>(seed)) {
    instances_.resize(static_cast<std::size_t>(terms.instanceCount));
}

void InstanceSupervisor::onFound(Nanos now, int i, bool isReady) {
    if (at(i).state != InstanceState::backingOff) return;
    enterState(at(i), InstanceState::starting, now + settings_.readyTimeout);
    if (isReady) onReady(now, i);
}

void InstanceSupervisor::onReady(Nanos now, int i) {
    if (at(i).state != InstanceState::starting) return;
    enterState(at(i), InstanceState::ready, kNever);
    at(i).readyAt = now;
}

void InstanceSupervisor::onExited(Nanos now, int i) {
    Instance& one = at(i);
    if (one.state == InstanceState::backingOff) return;
    const bool asked = std::exchange(one.stopRequested, false);
    if (asked) return enterState(one, InstanceState::backingOff, now);
    // All of them may have ended by one cause: jitter, or they would come back in step and fall in step.
    const bool steady = one.state == InstanceState::ready && now - one.readyAt >= settings_.backoffResetAfter;
    one.backoff =
        steady || one.backoff == 0 ? settings_.minBackoff : std::min(2 * one.backoff, settings_.maxBackoff);
    const double part = 0.5 + 0.5 * std::generate_canonical<double, 32>(random_);
    ++one.restarts;
    enterState(one, InstanceState::backingOff,
               now + static_cast<Nanos>(static_cast<double>(one.backoff) * part));
    host_.log("instance " + std::to_string(i) + " ended by itself, the next start in " +
              std::to_string((one.deadline - now) / kMillisecond) + " ms");
    // A roll that meets an end is held to have caused it, where that one's turn has come.
    if (isRolling_ && i < processedCount_)
        stopRolling("instance " + std::to_string(i) + " ended after its turn");
}

void InstanceSupervisor::onUpgraded(Nanos now, int i, std::string_view problem) {
    if (at(i).state != InstanceState::upgrading) return;
    // What could not be upgraded goes on as it was.
    enterState(at(i), InstanceState::ready, kNever);
    at(i).readyAt = now;
    if (!problem.empty() && isRolling_)
        stopRolling("instance " + std::to_string(i) + ": " + std::string(problem));
}

bool InstanceSupervisor::startRolling(Nanos, RollingOperation kind) {
    if (isRolling_ || isStopping_ || !allReady()) return false;
    isRolling_ = true;
    operation_ = kind;
    processedCount_ = batchStart_ = 0;
    observeUntil_ = 0;
    rollingProblem_.clear();
    return true;
}

void InstanceSupervisor::restart(Nanos now, int i) {
    Instance& one = at(i);
    one.backoff = 0;
    if (one.state == InstanceState::backingOff) {
        one.deadline = now;
        return;
    }
    if (one.state == InstanceState::stopping) return;
    one.stopRequested = true;
    enterState(one, InstanceState::stopping, now + settings_.stopTimeout);
    host_.stop(i);
}

bool InstanceSupervisor::beginExternalUpgrade(int i) {
    if (at(i).state != InstanceState::ready) return false;
    enterState(at(i), InstanceState::upgrading, kNever);
    return true;
}

void InstanceSupervisor::stopAll() {
    isStopping_ = true;
    isRolling_ = false;
}

void InstanceSupervisor::reconcile(Nanos now) {
    if (isRolling_) reconcileRolling(now);
    for (int i = 0; i < settings_.instanceCount; ++i) reconcileInstance(now, i);
}

void InstanceSupervisor::reconcileInstance(Nanos now, int i) {
    Instance& one = at(i);
    switch (one.state) {
        case InstanceState::backingOff:
            if (isStopping_ || now < one.deadline) return;
            enterState(one, InstanceState::starting, now + settings_.readyTimeout);
            return host_.start(i);
        case InstanceState::starting:
            if (!isStopping_ && now < one.deadline) return;
            if (!isStopping_) {
                host_.log("instance " + std::to_string(i) + " is not ready in time");
                if (isRolling_ && i < processedCount_)
                    stopRolling("instance " + std::to_string(i) + " is not ready in time");
                one.deadline = kNever;  // its end is on its way
                return host_.kill(i);
            }
            break;
        case InstanceState::ready:
        case InstanceState::upgrading:
            if (!isStopping_) return;
            break;
        case InstanceState::stopping:
            if (now < one.deadline) return;
            host_.log("instance " + std::to_string(i) + " does not stop in time");
            one.deadline = kNever;
            return host_.kill(i);
    }
    one.stopRequested = true;
    enterState(one, InstanceState::stopping, now + settings_.stopTimeout);
    host_.stop(i);
}

// The next batch begins when all are ready and the last one has been up for the watch. Nothing of a roll
// begins while any instance is away for another reason: two kinds of trouble at once may take the last one
// out.
void InstanceSupervisor::reconcileRolling(Nanos now) {
    if (!allReady()) return;
    if (processedCount_ > batchStart_) {
        if (observeUntil_ == 0) observeUntil_ = now + settings_.observationTime;
        if (now < observeUntil_) return;
        batchStart_ = processedCount_;
        observeUntil_ = 0;
    }
    if (processedCount_ == settings_.instanceCount) {
        isRolling_ = false;
        return host_.log("the roll went through all instances");
    }
    for (; processedCount_ < settings_.instanceCount && processedCount_ - batchStart_ < settings_.batchSize;
         ++processedCount_) {
        Instance& one = at(processedCount_);
        one.stopRequested = operation_ == RollingOperation::restart;
        enterState(
            one, operation_ == RollingOperation::restart ? InstanceState::stopping : InstanceState::upgrading,
            operation_ == RollingOperation::restart ? now + settings_.stopTimeout : kNever);
        operation_ == RollingOperation::restart ? host_.stop(processedCount_)
                                                : host_.upgrade(processedCount_);
    }
}

void InstanceSupervisor::stopRolling(std::string why) {
    isRolling_ = false;
    rollingProblem_ = std::move(why);
    host_.log("the roll stops: " + rollingProblem_);
}

Nanos InstanceSupervisor::nextDeadline() const {
    Nanos soonest = isRolling_ && observeUntil_ ? observeUntil_ : kNever;
    for (const Instance& one : instances_)
        if (!(isStopping_ && one.state == InstanceState::backingOff))
            soonest = std::min(soonest, one.deadline);
    return soonest;
}

bool InstanceSupervisor::allReady() const {
    return std::all_of(instances_.begin(), instances_.end(),
                       [](const Instance& i) { return i.state == InstanceState::ready; });
}

bool InstanceSupervisor::allStopped() const {
    return isStopping_ && std::all_of(instances_.begin(), instances_.end(),
                                      [](const Instance& i) { return i.state == InstanceState::backingOff; });
}

}  // namespace poppyscale::supervisor
