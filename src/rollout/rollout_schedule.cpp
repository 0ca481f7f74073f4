#include "rollout/rollout_schedule.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace poppyscale::rollout {

void RolloutSchedule::build(const RolloutPlan& plan, const FleetView& fleet) {
    std::map<std::string, std::vector<int>> byZone;
    for (int i = 0; i < fleet.instanceCount(); ++i) byZone[fleet.instance(i).zone].push_back(i);
    // Within a zone, takes one instance of each machine in turn.
    for (auto& [zone, instances] : byZone)
        std::stable_sort(instances.begin(), instances.end(), [&](int a, int b) {
            const InstanceView& first = fleet.instance(a);
            const InstanceView& second = fleet.instance(b);
            return std::tie(first.position, first.agent) < std::tie(second.position, second.agent);
        });
    const auto count = static_cast<std::size_t>(fleet.instanceCount());
    for (std::size_t round = 0; order_.size() < count; ++round)
        for (const auto& [zone, instances] : byZone)
            if (round < instances.size()) order_.push_back(instances[round]);
    stageSizes_ = stagesOf(plan, fleet.instanceCount());
}

void RolloutSchedule::resumeFrom(const FleetView& fleet) {
    int minSize = 0;
    for (std::size_t k = 0; k < order_.size(); ++k) {
        const InstanceReport* const report = fleet.reportOf(fleet.instance(order_[k]));
        if (report->state != InstanceState::original) minSize = static_cast<int>(k) + 1;
    }
    while (hasNextStage() && sizeOf(stage_) < minSize) ++stage_;
    if (stage_ == 0) return;
    targets_ = firstInOrder(sizeOf(stage_));
    committed_ = firstInOrder(sizeOf(stage_ - 1));
    maxTargetCount_ = targetCount();
}

void RolloutSchedule::beginNextStage() {
    ++stage_;
    targets_ = firstInOrder(sizeOf(stage_));
    maxTargetCount_ = std::max(maxTargetCount_, targetCount());
}

void RolloutSchedule::withdrawTargets(int count) {
    int withdrawn = 0;
    for (auto instance = order_.rbegin(); instance != order_.rend() && withdrawn < count; ++instance) {
        const bool wasTarget = targets_.erase(*instance) > 0;
        if (wasTarget) ++withdrawn;
    }
}

bool RolloutSchedule::areTargetsSettled(const FleetView& fleet) const {
    return std::all_of(targets_.begin(), targets_.end(),
                       [&](int target) { return fleet.isSettled(fleet.instance(target)); });
}

int RolloutSchedule::sizeOf(int stage) const {
    return stage > 0 ? stageSizes_.at(static_cast<std::size_t>(stage - 1)) : 0;
}

std::set<int> RolloutSchedule::firstInOrder(int count) const {
    return {order_.begin(), order_.begin() + count};
}

}  // namespace poppyscale::rollout
