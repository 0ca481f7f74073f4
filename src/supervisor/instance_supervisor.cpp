#include "supervisor/instance_supervisor.hpp"

#include <algorithm>
#include <utility>

namespace poppyscale::supervisor {
namespace {

// The operation's name in log lines.
std::string nameOf(InstanceSupervisor::RollingOperation operation) {
    return operation == InstanceSupervisor::RollingOperation::restart ? "restart" : "upgrade";
}

}  // namespace

InstanceSupervisor::InstanceSupervisor(const SupervisorSettings& settings, std::uint64_t seed,
                                       SupervisorHost& host)
    : settings_(settings), host_(host), random_(static_cast<std::mt19937::result_type>(seed)) {
    instances_.resize(static_cast<std::size_t>(settings.instanceCount));
}

// ---- events

void InstanceSupervisor::onFound(Nanos now, int instance, bool isReady) {
    if (at(instance).state != InstanceState::backingOff) return;
    enterState(at(instance), InstanceState::starting, now + settings_.readyTimeout);
    if (isReady) onReady(now, instance);
}

void InstanceSupervisor::onReady(Nanos now, int instance) {
    if (at(instance).state != InstanceState::starting) return;
    enterState(at(instance), InstanceState::ready, kNever);
    at(instance).readyAt = now;
}

void InstanceSupervisor::onExited(Nanos now, int instance) {
    Instance& exited = at(instance);
    if (exited.state == InstanceState::backingOff) return;
    const bool isExpected = exited.isStopRequested;
    exited.isStopRequested = false;
    if (isExpected) {
        enterState(exited, InstanceState::backingOff, now);
        return;
    }
    scheduleRestart(now, instance);
    // If the instance was already restarted or upgraded, that is taken to be the cause of its exit.
    if (isRolling() && instance < processedCount_)
        stopRolling("instance " + std::to_string(instance) + " exited after its " + nameOf(operation_));
}

void InstanceSupervisor::onUpgraded(Nanos now, int instance, std::string_view problem) {
    if (at(instance).state != InstanceState::upgrading) return;
    // After a failed upgrade the old process goes on serving.
    enterState(at(instance), InstanceState::ready, kNever);
    at(instance).readyAt = now;
    if (!problem.empty() && isRolling())
        stopRolling("instance " + std::to_string(instance) + ": " + std::string(problem));
}

// ---- requests

bool InstanceSupervisor::startRolling(Nanos, RollingOperation operation) {
    if (mode_ != Mode::supervising || !allReady()) return false;
    mode_ = Mode::rolling;
    operation_ = operation;
    processedCount_ = 0;
    batchStart_ = 0;
    observeUntil_ = 0;
    rollingProblem_.clear();
    return true;
}

void InstanceSupervisor::restart(Nanos now, int instance) {
    Instance& restarted = at(instance);
    restarted.backoff = 0;
    if (restarted.state == InstanceState::backingOff) {
        restarted.deadline = now;
        return;
    }
    if (restarted.state == InstanceState::stopping) return;
    requestStop(now, instance);
}

bool InstanceSupervisor::beginExternalUpgrade(int instance) {
    if (at(instance).state != InstanceState::ready) return false;
    enterState(at(instance), InstanceState::upgrading, kNever);
    return true;
}

void InstanceSupervisor::stopAll() { mode_ = Mode::stopping; }

// ---- actions

void InstanceSupervisor::reconcile(Nanos now) {
    if (isRolling()) reconcileRolling(now);
    for (int i = 0; i < settings_.instanceCount; ++i) reconcileInstance(now, i);
}

void InstanceSupervisor::reconcileInstance(Nanos now, int instance) {
    Instance& current = at(instance);
    const bool isDue = now >= current.deadline;
    const bool isStoppingAll = mode_ == Mode::stopping;
    switch (current.state) {
        case InstanceState::backingOff:
            if (isStoppingAll || !isDue) return;
            enterState(current, InstanceState::starting, now + settings_.readyTimeout);
            host_.start(instance);
            return;
        case InstanceState::starting:
            if (isStoppingAll)
                requestStop(now, instance);
            else if (isDue)
                onReadyTimeout(instance);
            return;
        case InstanceState::ready:
        case InstanceState::upgrading:
            if (isStoppingAll) requestStop(now, instance);
            return;
        case InstanceState::stopping:
            if (!isDue) return;
            host_.log("instance " + std::to_string(instance) + " did not stop in time and was killed");
            current.deadline = kNever;
            host_.kill(instance);
            return;
    }
}

void InstanceSupervisor::onReadyTimeout(int instance) {
    const std::string problem =
        "instance " + std::to_string(instance) + " was not ready in time and was killed";
    host_.log(problem);
    if (isRolling() && instance < processedCount_) stopRolling(problem);
    at(instance).deadline = kNever;  // onExited follows
    host_.kill(instance);
}

void InstanceSupervisor::scheduleRestart(Nanos now, int instance) {
    Instance& exited = at(instance);
    const bool wasStable =
        exited.state == InstanceState::ready && now - exited.readyAt >= settings_.backoffResetAfter;
    if (wasStable || exited.backoff == 0)
        exited.backoff = settings_.minBackoff;
    else
        exited.backoff = std::min(2 * exited.backoff, settings_.maxBackoff);
    // Without jitter, instances that exited for one common cause would be restarted, and might
    // fail, in step.
    const double jitter = 0.5 + 0.5 * std::generate_canonical<double, 32>(random_);
    ++exited.unexpectedExits;
    enterState(exited, InstanceState::backingOff,
               now + static_cast<Nanos>(static_cast<double>(exited.backoff) * jitter));
    host_.log("instance " + std::to_string(instance) + " exited unexpectedly, restarts in " +
              std::to_string((exited.deadline - now) / kMillisecond) + " ms");
}

void InstanceSupervisor::requestStop(Nanos now, int instance) {
    at(instance).isStopRequested = true;
    enterState(at(instance), InstanceState::stopping, now + settings_.stopTimeout);
    host_.stop(instance);
}

// ---- rolling operation

void InstanceSupervisor::reconcileRolling(Nanos now) {
    // A batch that begins while an instance is out of service for another reason might take the
    // last ready instance out of service.
    if (!allReady()) return;
    if (processedCount_ > batchStart_ && !isBatchObserved(now)) return;
    if (processedCount_ == settings_.instanceCount) {
        mode_ = Mode::supervising;
        host_.log("rolling " + nameOf(operation_) + " completed");
        return;
    }
    while (processedCount_ < settings_.instanceCount && processedCount_ - batchStart_ < settings_.batchSize) {
        beginRollingOperationOn(now, processedCount_);
        ++processedCount_;
    }
}

// Whether the batch in progress has stayed ready for the observation time; then the next one may begin.
bool InstanceSupervisor::isBatchObserved(Nanos now) {
    if (observeUntil_ == 0) observeUntil_ = now + settings_.observationTime;
    if (now < observeUntil_) return false;
    batchStart_ = processedCount_;
    observeUntil_ = 0;
    return true;
}

void InstanceSupervisor::beginRollingOperationOn(Nanos now, int instance) {
    switch (operation_) {
        case RollingOperation::restart:
            requestStop(now, instance);
            return;
        case RollingOperation::upgrade:
            at(instance).isStopRequested = false;
            enterState(at(instance), InstanceState::upgrading, kNever);
            host_.upgrade(instance);
            return;
    }
}

void InstanceSupervisor::stopRolling(std::string problem) {
    mode_ = Mode::supervising;
    rollingProblem_ = std::move(problem);
    host_.log("rolling " + nameOf(operation_) + " stopped: " + rollingProblem_);
}

// ---- state

void InstanceSupervisor::enterState(Instance& instance, InstanceState state, Nanos deadline) {
    instance.state = state;
    instance.deadline = deadline;
}

Nanos InstanceSupervisor::nextDeadline() const {
    Nanos earliest = isRolling() && observeUntil_ != 0 ? observeUntil_ : kNever;
    for (const Instance& instance : instances_) {
        const bool isStopped = mode_ == Mode::stopping && instance.state == InstanceState::backingOff;
        if (!isStopped) earliest = std::min(earliest, instance.deadline);
    }
    return earliest;
}

bool InstanceSupervisor::allReady() const {
    return std::all_of(instances_.begin(), instances_.end(),
                       [](const Instance& instance) { return instance.state == InstanceState::ready; });
}

bool InstanceSupervisor::allStopped() const {
    return mode_ == Mode::stopping &&
           std::all_of(instances_.begin(), instances_.end(),
                       [](const Instance& instance) { return instance.state == InstanceState::backingOff; });
}

}  // namespace poppyscale::supervisor
