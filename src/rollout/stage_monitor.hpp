// Watches the present stage: for how long it could be judged, and what stops it apart from the comparison of
// both sides.
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

    // A stage begins: nothing has been judged of it.
    void beginStage(Nanos now);
    // Time in which the stage was complete and nothing disturbed its judgement.
    void addJudgedTime(Nanos duration) { judgedTime_ += duration; }
    Nanos judgedTime() const { return judgedTime_; }

    // Checks exits, failed changes, rejecting agents and zones. Gives the reason to stop; empty if there is
    // none. An exit that is not enough to stop begins the judged time again.
    std::string checkInstances(Nanos now, const FleetView& fleet, const RolloutSchedule& schedule);
    // Checks for a fault that began in this stage and that nothing explains. `sampleInterval`: time that this
    // check stands for. Gives the reason to stop; empty if there is none.
    std::string checkUnexplainedFault(const FaultDetector& faults, Nanos sampleInterval);

  private:
    const RolloutPlan& plan_;
    Nanos beganAt_ = 0;
    Nanos judgedTime_ = 0;
    Nanos unexplainedFaultTime_ = 0;
    int maxExitCount_ = 0;  // of all targets together, over all stages
};

}  // namespace poppyscale::rollout
