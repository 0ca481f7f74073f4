#include "rollout/rollback.hpp"

#include <fmt/format.h>

#include "rollout/messages_codec.hpp"

namespace poppyscale::rollout {

std::optional<RolloutOutcome> Rollback::advance(Nanos now, std::uint64_t number, const FleetView& fleet,
                                                RolloutSchedule& schedule) {
    int inTransition = 0;
    bool areAllRestored = true;
    for (int i = 0; i < fleet.instanceCount(); ++i) {
        const InstanceView& instance = fleet.instance(i);
        const InstanceReport* const report = fleet.reportOf(instance);
        const bool isKnown = report && fleet.hasRecentReport(now, instance.agent) &&
                             fleet.agentOf(instance).report->number == number;
        const bool isRestored = isKnown && report->state == InstanceState::original && report->ready;
        const bool isTarget = schedule.isTarget(i);
        if (isTarget || !isRestored) areAllRestored = false;
        const bool isInTransition =
            !isTarget && isKnown && !isRestored && report->state != InstanceState::failed;
        if (isInTransition) ++inTransition;
    }
    schedule.withdrawTargets(plan_.rollbackBatchSize - inTransition);
    schedule.withdrawCommitments();
    if (areAllRestored) return RolloutOutcome::rolledBack;
    if (now - beganAt_ < plan_.rollbackTimeout) return std::nullopt;
    findUnrestored(now, fleet);
    return unrestoredInstances_.empty() ? RolloutOutcome::rolledBack : RolloutOutcome::rollbackIncomplete;
}

void Rollback::findUnrestored(Nanos now, const FleetView& fleet) {
    for (const InstanceView& instance : fleet.instances()) {
        if (!fleet.hasRecentReport(now, instance.agent)) {
            unrestoredInstances_.push_back(fmt::format(
                "{}: no recent report; its agent rolls it back on its own unless it is held", instance.name));
            continue;
        }
        const InstanceReport& report = *fleet.reportOf(instance);
        if (report.state == InstanceState::original && report.ready) continue;
        const std::string readiness = report.ready ? "" : ", not ready";
        const std::string problem = report.problem.empty() ? "" : ", " + report.problem;
        unrestoredInstances_.push_back(
            fmt::format("{}: {}{}{}", instance.name, nameOf(report.state), readiness, problem));
    }
}

}  // namespace poppyscale::rollout
