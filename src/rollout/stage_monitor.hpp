// Monitors the current stage: for how long it could be judged, and the reasons to stop it other
// than the comparison of both sides.
#pragma once

#include <string>

#include "rollout/fault_detector.hpp"
#include "rollout/fleet_view.hpp"
#include "rollout/rollout_plan.hpp"
#include "rollout/rollout_schedule.hpp"

namespace poppyscale::rollout {

class StageMonitor {
  public:
    // `plan` has to outlive the monitor.
    explicit StageMonitor(const RolloutPlan& plan) : plan_(plan) {}

    // Begins a stage, and resets the judged time and the duration of an unexplained fault.
    void beginStage(Nanos now);
    // Adds time in which all of the stage's instances ran the change and nothing prevented judging
    // them.
    void addJudgedTime(Nanos duration) { judgedTime_ += duration; }
    Nanos judgedTime() const { return judgedTime_; }

    // Checks exits, failed changes, rejecting agents and zones. Returns the reason to stop; empty
    // if there is none. An exit that is not enough to stop resets the judged time.
    std::string checkInstances(Nanos now, const FleetView& fleet, const RolloutSchedule& schedule);
    // Checks for a fault that began in this stage and has no excuse. `sampleInterval`: time that
    // each check adds to the fault's duration. Returns the reason to stop; empty if there is none.
    std::string checkUnexplainedFault(const FaultDetector& faults, Nanos sampleInterval);

  private:
    const RolloutPlan& plan_;
    Nanos beganAt_ = 0;
    Nanos judgedTime_ = 0;
    Nanos unexplainedFaultTime_ = 0;
    int maxExitCount_ = 0;  // the most exits of all targets together, over all stages
};

}  // namespace poppyscale::rollout
