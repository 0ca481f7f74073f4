#include "rollout/rollout_events.hpp"

#include <array>

namespace poppyscale::rollout {

void RolloutEvents::begun(bool isResumed, std::uint64_t number, const RolloutSchedule& schedule,
                          const std::string& digest) {
    host_.report(isResumed ? "goes on" : "begins", {{"number", number},
                                                    {"instances", schedule.instanceCount()},
                                                    {"stages", schedule.stageSizes()},
                                                    {"stage", schedule.stage()},
                                                    {"change", digest}});
}

void RolloutEvents::superseded(std::string_view successor, const std::string& agent) {
    host_.report("overtaken", {{"by", successor}, {"at", agent}});
}

void RolloutEvents::faultChanged(const FaultTransition& transition, const std::string& excuse) {
    host_.report(
        transition.isActive ? "trouble" : "trouble is over",
        {{"share", transition.recentRatio}, {"usual", transition.baselineRatio}, {"explained", excuse}});
}

void RolloutEvents::stageBegun(const RolloutSchedule& schedule) {
    host_.report(
        "stage begins",
        {{"stage", schedule.stage()}, {"changed", schedule.targetCount()}, {"of", schedule.instanceCount()}});
}

void RolloutEvents::stageCompleted(const RolloutSchedule& schedule, bool isProven) {
    host_.report("stage holds",
                 {{"stage", schedule.stage()}, {"changed", schedule.targetCount()}, {"told", isProven}});
}

void RolloutEvents::stopped(const RolloutSchedule& schedule, const std::string& reason) {
    host_.report("stops", {{"stage", schedule.stage()},
                           {"changed", schedule.targetCount()},
                           {"of", schedule.instanceCount()},
                           {"why", reason}});
}

void RolloutEvents::ended(RolloutOutcome outcome, const std::string& reason,
                          const std::vector<std::string>& unrestoredInstances) {
    host_.report("ends",
                 {{"outcome", nameOf(outcome)}, {"why", reason}, {"not_undone", unrestoredInstances}});
}

std::string_view nameOf(RolloutOutcome outcome) {
    static constexpr std::array<std::string_view, 5> kNames = {
        "under way", "went through", "stopped and undone", "stopped and not all undone", "can't"};
    return kNames.at(static_cast<std::size_t>(outcome));
}

}  // namespace poppyscale::rollout
