#include "rollout/rollout_status.hpp"

#include <array>

#include "rollout/messages_codec.hpp"
#include "rollout/rollout_events.hpp"

namespace poppyscale::rollout {
namespace {

using nlohmann::json;

json instancesToJson(Nanos now, const FleetView& fleet) {
    json instances = json::array();
    for (const InstanceView& instance : fleet.instances()) {
        const InstanceReport* const report = fleet.reportOf(instance);
        const bool isStateKnown = report && fleet.hasRecentReport(now, instance.agent);
        instances.push_back({{"name", instance.name},
                             {"zone", instance.zone},
                             {"stand", isStateKnown ? json(nameOf(report->state)) : json()},
                             {"ready", report && report->ready},
                             {"problem", report ? report->problem : ""}});
    }
    return instances;
}

json comparisonsToJson(const SideComparison& comparison) {
    json kinds = json::object();
    for (const auto& [kind, compared] : comparison.comparisons())
        kinds[kind] = {{"changed", compared.evidence.changedRatio()},
                       {"unchanged", compared.evidence.unchangedRatio()},
                       {"evidence", compared.evidence.logValue()},
                       {"spread", compared.overdispersion.value()}};
    return kinds;
}

}  // namespace

json toJson(Nanos now, const RolloutStatus& status, const FleetView& fleet, const RolloutSchedule& schedule,
            const SideComparison& comparison) {
    return {{"format", kFormat},
            {"number", status.number},
            {"phase", nameOf(status.phase)},
            {"stage", schedule.stage()},
            {"stages", schedule.stageSizes()},
            {"changed", schedule.targetCount()},
            {"trouble", status.isFaultActive},
            {"explained", status.faultExcuse},
            {"judged_ms", status.judgedTime / kMillisecond},
            {"outcome", nameOf(status.outcome)},
            {"reason", status.reason},
            {"not_undone", status.unrestoredInstances},
            {"instances", instancesToJson(now, fleet)},
            {"compared", comparisonsToJson(comparison)}};
}

std::string_view nameOf(RolloutPhase phase) {
    static constexpr std::array<std::string_view, 7> kNames = {
        "asking", "watching", "changing", "judging", "going back", "ending", "over"};
    return kNames.at(static_cast<std::size_t>(phase));
}

}  // namespace poppyscale::rollout
