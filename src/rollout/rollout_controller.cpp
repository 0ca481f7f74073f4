#include "rollout/rollout_controller.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "rollout/harm_exclusion.hpp"

namespace poppyscale::rollout {
namespace {

constexpr Nanos kMinSampleInterval = 900 * kMillisecond;
constexpr Nanos kDiscoveryTimeout = 5'000 * kMillisecond;  // if no agent reports a change in progress
constexpr double kFaultBoundFactor = 1.4;                  // raises the bound on evidence during a fault

}  // namespace

RolloutController::RolloutController(const RolloutPlan& plan, std::string digest, RolloutHost& host)
    : plan_(plan),
      digest_(std::move(digest)),
      events_(host),
      fleet_(plan_),
      stageMonitor_(plan_),
      resourceLevels_(plan_.thresholds.growth),
      comparison_(plan_.thresholds),
      rollback_(plan_) {}

// ---- events

void RolloutController::onReport(Nanos now, int agent, const Report& report) {
    const bool isSuperseded = number_ > 0 && report.number > number_;
    if (isSuperseded) return onSuperseded(now, agent, fmt::format("{}", report.number));
    fleet_.recordReport(now, agent, report);
}

void RolloutController::onSuperseded(Nanos, int agent, std::string_view successor) {
    if (outcome_ != RolloutOutcome::none) return;
    reason_ =
        fmt::format("overtaken: agent {} obeys a newer rollout: {}", fleet_.agentName(agent), successor);
    events_.superseded(successor, fleet_.agentName(agent));
    end(RolloutOutcome::notPossible);
}

void RolloutController::onRejected(Nanos now, int agent, std::string_view reason) {
    fleet_.recordRejection(now, agent, reason);
}

void RolloutController::abandon(Nanos now) {
    if (phase_ == Phase::discovering || phase_ == Phase::observing) {
        reason_ = "stopped by the operator before any instance changed";
        return end(RolloutOutcome::notPossible);
    }
    if (phase_ == Phase::changing || phase_ == Phase::judging) beginRollback(now, "stopped by the operator");
}

void RolloutController::reconcile(Nanos now) {
    if (startedAt_ == 0) {
        startedAt_ = now;
        phaseSince_ = now;
    }
    if (outcome_ != RolloutOutcome::none) return;
    if (phase_ == Phase::discovering) return discover(now);
    if (now - lastSampleAt_ >= kMinSampleInterval) observeFleet(now);
    if (phase_ == Phase::rollingBack) return continueRollback(now);
    if (phase_ == Phase::finishing) return continueFinishing(now);
}

std::optional<Order> RolloutController::orderFor(int agent) {
    if (phase_ == Phase::discovering || outcome_ == RolloutOutcome::notPossible) return std::nullopt;
    ++lastStep_;
    Order order;
    order.number = number_;
    order.step = lastStep_;
    order.digest = digest_;
    order.program = plan_.program;
    order.templateText = plan_.templateText;
    order.holdDuration = plan_.agentHoldDuration;
    order.batch = phase_ == Phase::rollingBack ? plan_.rollbackBatchSize : plan_.batchSize;
    order.isFinished = phase_ == Phase::finishing;
    for (const int target : schedule_.targets()) {
        const InstanceView& instance = fleet_.instance(target);
        if (instance.agent != agent) continue;
        order.changed.insert(instance.position);
        if (schedule_.isCommitted(target)) order.held.insert(instance.position);
    }
    return order;
}

// ---- the phases, in order

RolloutController::Discovery RolloutController::inspectAgents() const {
    Discovery discovery;
    for (const AgentView& agent : fleet_.agents()) {
        if (!agent.report) continue;
        discovery.highestNumber = std::max(discovery.highestNumber, agent.report->number);
        const bool hasChange = !agent.report->digest.empty() && !agent.report->isFinished;
        if (!hasChange) continue;
        if (agent.report->digest == digest_)
            discovery.hasThisChange = true;
        else
            discovery.hasOtherChange = true;
    }
    return discovery;
}

void RolloutController::discover(Nanos now) {
    const Discovery discovery = inspectAgents();
    const std::string unreachable = fleet_.unreachableAgents(now);
    if (unreachable.empty() && !discovery.hasOtherChange) return begin(now, discovery);
    const bool isInProgress = discovery.hasThisChange || discovery.hasOtherChange;
    const Nanos timeout = isInProgress ? plan_.maxStageDuration : kDiscoveryTimeout;
    if (now - phaseSince_ < timeout) return;
    reason_ = discovery.hasOtherChange ? "the change of another rollout is still in place at an agent"
                                       : fmt::format("no recent report from {}", unreachable);
    end(RolloutOutcome::notPossible);
}

void RolloutController::begin(Nanos now, const Discovery& discovery) {
    number_ = discovery.highestNumber + 1;
    fleet_.buildInstances();
    schedule_.build(plan_, fleet_);
    if (discovery.hasThisChange) schedule_.resumeFrom(fleet_);
    events_.begun(discovery.hasThisChange, number_, schedule_, digest_);
    enterPhase(now, schedule_.stage() == 0 ? Phase::observing : Phase::changing);
}

// Takes a sample of the fleet and acts on it.
void RolloutController::observeFleet(Nanos now) {
    const Nanos elapsed = lastSampleAt_ ? now - lastSampleAt_ : 0;
    lastSampleAt_ = now;
    const bool wasInterrupted = fleet_.sampleWindows(now);
    if (wasInterrupted) faults_.noteInterruption(now);
    drainingCaches_.observe(fleet_);
    resourceLevels_.observe(fleet_);
    const auto faultTransition = faults_.observe(now, fleet_);
    if (faultTransition) events_.faultChanged(*faultTransition, faults_.excuse());
    comparison_.observe(now, fleet_, slowLatencies_, drainingCaches_, faults_.isActive());
    if (!faults_.isActive()) slowLatencies_.observe(fleet_, phase_ != Phase::observing);
    if (phase_ == Phase::observing) return superviseBaseline(now);
    if (phase_ == Phase::changing || phase_ == Phase::judging) return superviseStage(now, elapsed);
}

void RolloutController::superviseBaseline(Nanos now) {
    const std::string unreachable = fleet_.unreachableAgents(now);
    const Nanos observed = now - phaseSince_;
    const bool isHealthy = unreachable.empty() && !faults_.isActive() && fleet_.areAllReady();
    if (isHealthy && observed >= plan_.baselineTime) return beginNextStage(now);
    if (observed < std::max(plan_.maxStageDuration, 2 * plan_.baselineTime)) return;
    reason_ = unreachable.empty()
                  ? "the fleet was not healthy enough to begin: a fault is active or an instance is not ready"
                  : "no recent report from " + unreachable;
    end(RolloutOutcome::notPossible);
}

// `elapsed`: time since the previous sample.
void RolloutController::superviseStage(Nanos now, Nanos elapsed) {
    const std::string unreachable = fleet_.unreachableAgents(now);
    const bool isJudgeable = phase_ == Phase::judging && !faults_.isActive() && unreachable.empty();
    if (isJudgeable) stageMonitor_.addJudgedTime(elapsed);
    const std::string reason = findReasonToStop(now);
    if (!reason.empty()) return beginRollback(now, reason);
    if (phase_ == Phase::changing) {
        const bool isComplete = schedule_.areTargetsSettled(fleet_) && unreachable.empty();
        if (isComplete) {
            enterPhase(now, Phase::judging);
        } else if (now - phaseSince_ >= plan_.maxStageDuration) {
            return beginRollback(now,
                                 unreachable.empty()
                                     ? "not all of the stage's instances settled within its maximum duration"
                                     : "no recent report from " + unreachable);
        }
    }
    if (phase_ == Phase::judging) concludeStage(now);
}

std::string RolloutController::findReasonToStop(Nanos now) {
    std::string reason = stageMonitor_.checkInstances(now, fleet_, schedule_);
    if (reason.empty()) reason = comparison_.describeWorst(faults_.isActive() ? kFaultBoundFactor : 1);
    if (reason.empty()) reason = resourceLevels_.findExcess(fleet_);
    if (reason.empty()) reason = stageMonitor_.checkUnexplainedFault(faults_, kMinSampleInterval);
    return reason;
}

// Completes the stage once harm is ruled out. If that takes too long, the plan decides whether to
// go on.
void RolloutController::concludeStage(Nanos now) {
    const bool isComplete = schedule_.areTargetsSettled(fleet_) && fleet_.unreachableAgents(now).empty();
    const bool isJudgeable = isComplete && !faults_.isActive();
    const bool isProven = isJudgeable && stageMonitor_.judgedTime() >= plan_.minStageDuration &&
                          isHarmRuledOut(comparison_, plan_.thresholds, schedule_);
    const bool isTimedOut = now - phaseSince_ >= plan_.maxStageDuration;
    if (!isProven && !isTimedOut) return;
    const bool mayGoOn = isProven || (plan_.continueUndecided && isJudgeable);
    if (!mayGoOn) return beginRollback(now, describeIndecision(now));
    schedule_.commitStage();
    events_.stageCompleted(schedule_, isProven);
    if (!schedule_.hasNextStage()) return enterPhase(now, Phase::finishing);
    beginNextStage(now);
}

std::string RolloutController::describeIndecision(Nanos now) const {
    const std::string prefix = "the stage could not be judged within its maximum duration: ";
    const std::string unreachable = fleet_.unreachableAgents(now);
    if (!unreachable.empty()) return prefix + "no recent report from " + unreachable;
    if (faults_.isActive() && faults_.excuse().empty()) return prefix + "both sides do worse than before";
    if (faults_.isActive()) return prefix + "a fault is active: " + faults_.excuse();
    if (!schedule_.areTargetsSettled(fleet_)) return prefix + "not all of its instances have settled";
    return prefix + "too little traffic, or unchanged instances that report no metrics";
}

void RolloutController::beginNextStage(Nanos now) {
    schedule_.beginNextStage();
    stageMonitor_.beginStage(now);
    events_.stageBegun(schedule_);
    enterPhase(now, Phase::changing);
}

void RolloutController::beginRollback(Nanos now, const std::string& reason) {
    reason_ = reason;
    events_.stopped(schedule_, reason_);
    enterPhase(now, Phase::rollingBack);
    rollback_.begin(now);
    continueRollback(now);
}

void RolloutController::continueRollback(Nanos now) {
    const auto outcome = rollback_.advance(now, number_, fleet_, schedule_);
    if (outcome) end(*outcome);
}

// All instances are committed to the change; the agents only have to be notified that the rollout
// has ended.
void RolloutController::continueFinishing(Nanos now) {
    const auto& agents = fleet_.agents();
    const bool haveAllFinished = std::all_of(agents.begin(), agents.end(), [this](const AgentView& agent) {
        return agent.report && agent.report->number == number_ && agent.report->isFinished;
    });
    if (haveAllFinished) return end(RolloutOutcome::completed);
    if (now - phaseSince_ < plan_.rollbackTimeout) return;
    reason_ = fmt::format("not every agent has confirmed the end of the rollout; no recent report from: {}",
                          fleet_.unreachableAgents(now));
    end(RolloutOutcome::completed);
}

void RolloutController::enterPhase(Nanos now, Phase phase) {
    phase_ = phase;
    phaseSince_ = now;
}

void RolloutController::end(RolloutOutcome outcome) {
    outcome_ = outcome;
    phase_ = Phase::finished;
    events_.ended(outcome, reason_, rollback_.unrestoredInstances());
}

nlohmann::json RolloutController::status(Nanos now) const {
    RolloutStatus status;
    status.number = number_;
    status.phase = phase_;
    status.isFaultActive = faults_.isActive();
    status.faultExcuse = faults_.excuse();
    status.judgedTime = stageMonitor_.judgedTime();
    status.outcome = outcome_;
    status.reason = reason_;
    status.unrestoredInstances = rollback_.unrestoredInstances();
    return toJson(now, status, fleet_, schedule_, comparison_);
}

}  // namespace poppyscale::rollout
