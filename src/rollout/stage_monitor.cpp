#include "rollout/stage_monitor.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace poppyscale::rollout {
namespace {

// Shorter rejections don't stop the rollout: after a single failed sync, the next order repairs the
// state.
constexpr Nanos kMinRejectionDuration = 3'000 * kMillisecond;
constexpr double kMinExits = 2;
constexpr double kMinExitFactor = 3;          // ratio of exits per instance to the unchanged side
constexpr double kMinExitsPerInstance = 0.1;  // used when no instance is unchanged

// Describes the exits of the changed side if they are too many compared with the unchanged side;
// empty otherwise.
std::string describeExits(const FleetView& fleet, const RolloutSchedule& schedule) {
    double changedExits = 0;
    double changedInstances = 0;
    double unchangedExits = 0;
    double unchangedInstances = 0;
    for (int i = 0; i < fleet.instanceCount(); ++i) {
        const InstanceReport* const report = fleet.reportOf(fleet.instance(i));
        if (!report) continue;
        if (schedule.isTarget(i)) {
            changedExits += report->unexpectedExits;
            ++changedInstances;
        } else {
            unchangedExits += report->unexpectedExits;
            ++unchangedInstances;
        }
    }
    if (changedExits < kMinExits) return "";
    const double exitsPerInstance = changedExits / std::max(changedInstances, 1.0);
    const bool areTooMany =
        unchangedInstances > 0 ? exitsPerInstance > kMinExitFactor * unchangedExits / unchangedInstances
                               : changedExits >= std::max(kMinExits, kMinExitsPerInstance * changedInstances);
    if (!areTooMany) return "";
    return fmt::format("{:.0f} unexpected exits on {:.0f} changed instances, {:.0f} on {:.0f} others",
                       changedExits, changedInstances, unchangedExits, unchangedInstances);
}

// Why this target stops the rollout; empty if it does not.
std::string describeProblem(Nanos now, const FleetView& fleet, const InstanceView& instance,
                            const InstanceReport& report) {
    const bool runsChange = report.state == InstanceState::changed;
    if (runsChange && report.metrics && !fleet.isKnownZone(report.metrics->zone))
        return fmt::format("{} reports zone '{}', in which there was no instance before the rollout",
                           instance.name, report.metrics->zone);
    const AgentView& agent = fleet.agentOf(instance);
    const bool isRejecting = !agent.rejection.empty() && now - agent.rejectedSince >= kMinRejectionDuration;
    if (!runsChange && isRejecting)
        return fmt::format("{}: {}", fleet.agentName(instance.agent), agent.rejection);
    if (!report.problem.empty() && fleet.hasRecentReport(now, instance.agent))
        return fmt::format("{} can't be changed: {}", instance.name, report.problem);
    return "";
}

}  // namespace

void StageMonitor::beginStage(Nanos now) {
    beganAt_ = now;
    judgedTime_ = 0;
    unexplainedFaultTime_ = 0;
}

std::string StageMonitor::checkInstances(Nanos now, const FleetView& fleet, const RolloutSchedule& schedule) {
    std::string reason = describeExits(fleet, schedule);
    int exits = 0;
    for (int i = 0; i < fleet.instanceCount() && reason.empty(); ++i) {
        const InstanceView& instance = fleet.instance(i);
        const InstanceReport* const report = fleet.reportOf(instance);
        if (!report || !schedule.isTarget(i)) continue;
        exits += report->unexpectedExits;
        reason = describeProblem(now, fleet, instance, *report);
    }
    if (exits > maxExitCount_) judgedTime_ = 0;
    maxExitCount_ = std::max(maxExitCount_, exits);
    return reason;
}

std::string StageMonitor::checkUnexplainedFault(const FaultDetector& faults, Nanos sampleInterval) {
    const bool beganInStage = faults.isActive() && faults.beganAt() >= beganAt_;
    if (!beganInStage || !faults.excuse().empty()) return "";
    unexplainedFaultTime_ += sampleInterval;
    if (unexplainedFaultTime_ < plan_.minStageDuration) return "";
    return fmt::format(
        "both sides do worse than before this stage without a known cause ({:.4g} of requests fail or are "
        "late, {:.4g} before)",
        faults.recentRatio(), faults.baselineRatio());
}

}  // namespace poppyscale::rollout
