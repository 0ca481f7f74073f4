// The order in which instances change, and which of them are to have the change now.
//
// Instances are interleaved over zones and machines, so that each stage is spread over both. A stage's
// targets include those of all stages before it. A committed target keeps its change without further orders.
#pragma once

#include <set>
#include <vector>

#include "rollout/fleet_view.hpp"
#include "rollout/rollout_plan.hpp"

namespace poppyscale::rollout {

class RolloutSchedule {
  public:
    // Orders the instances of `fleet` and sizes the stages.
    void build(const RolloutPlan& plan, const FleetView& fleet);
    // Continues at the first stage that includes every instance that is not in
    // InstanceState::original. The stages before it are committed. Continues at stage 0 if there is
    // no such instance.
    void resumeFrom(const FleetView& fleet);
    // Begins the next stage: its instances become targets. Requires hasNextStage().
    void beginNextStage();
    // Commits the targets of the current stage.
    void commitStage() { committed_ = targets_; }
    // For a rollback: removes the last `count` targets in the order of change, or all if there are
    // fewer.
    void withdrawTargets(int count);
    // For a rollback: no target keeps its change without further orders.
    void withdrawCommitments() { committed_.clear(); }

    // The current stage, counted from 1; 0 before the first stage.
    int stage() const { return stage_; }
    int stageCount() const { return static_cast<int>(stageSizes_.size()); }
    bool hasNextStage() const { return stage_ < stageCount(); }
    // Number of targets at the end of each stage.
    const std::vector<int>& stageSizes() const { return stageSizes_; }
    // Indices in FleetView::instances().
    const std::set<int>& targets() const { return targets_; }
    bool isTarget(int instance) const { return targets_.contains(instance); }
    bool isCommitted(int instance) const { return committed_.contains(instance); }
    int targetCount() const { return static_cast<int>(targets_.size()); }
    // The largest number of targets so far.
    int maxTargetCount() const { return maxTargetCount_; }
    int instanceCount() const { return static_cast<int>(order_.size()); }
    // Whether all targets run the change, are ready and have settled.
    bool areTargetsSettled(const FleetView& fleet) const;

  private:
    int sizeOf(int stage) const;
    std::set<int> firstInOrder(int count) const;

    std::vector<int> order_;       // indices of instances
    std::vector<int> stageSizes_;  // number of targets at the end of each stage, at index stage - 1
    std::set<int> targets_;
    std::set<int> committed_;
    int stage_ = 0;
    int maxTargetCount_ = 0;
};

}  // namespace poppyscale::rollout
