// Decides whether harm of the size that the plan names is ruled out, which a stage needs to
// complete.
#pragma once

#include "rollout/rollout_plan.hpp"
#include "rollout/rollout_schedule.hpp"
#include "rollout/side_comparison.hpp"

namespace poppyscale::rollout {

// True if, for unanswered, late and slower requests, and from the second stage on for never answered
// requests, the upper confidence bound of the changed side's ratio exceeds the unchanged side's ratio
// by no more than the plan's harm. Returns false if there was too little traffic to tell.
bool isHarmRuledOut(const SideComparison& comparison, const Thresholds& thresholds,
                    const RolloutSchedule& schedule);

}  // namespace poppyscale::rollout
