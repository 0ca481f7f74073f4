// The coordinator of a staged rollout. Free of I/O and of any clock: reports and time come in,
// orders go out.
//
// A rollout discovers which change the agents already have, observes the fleet before any change,
// and then carries out its stages one after the other: the instances of a stage change, and once all
// of them run the change they are compared with the unchanged ones. The first reason to stop begins the
// rollback.
//
// Guarantees:
//  - No instance is ordered to change in a stage before the previous stage is complete.
//  - A stage is complete only if harm of the plan's size is ruled out while no fault is active,
//    unless the plan lets undecided stages go on.
//  - After a stop no further instance is ordered to change. The rollback proceeds in batches until
//    each reachable instance runs what it ran before or is named in unrestoredInstances().
//  - The agents hold all of the rollout's state. A new coordinator of the same change resumes from
//    there.
//
// Not thread-safe. The owner calls `reconcile` about twice a second, after it has delivered the
// events.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/draining_caches.hpp"
#include "rollout/fault_detector.hpp"
#include "rollout/fleet_view.hpp"
#include "rollout/messages.hpp"
#include "rollout/resource_levels.hpp"
#include "rollout/rollback.hpp"
#include "rollout/rollout_events.hpp"
#include "rollout/rollout_host.hpp"
#include "rollout/rollout_plan.hpp"
#include "rollout/rollout_schedule.hpp"
#include "rollout/rollout_status.hpp"
#include "rollout/side_comparison.hpp"
#include "rollout/slow_latency_tracker.hpp"
#include "rollout/stage_monitor.hpp"

namespace poppyscale::rollout {

class RolloutController {
  public:
    // `digest` identifies the change: two coordinators with the same digest roll out the same change. `host`
    // has to outlive the controller.
    RolloutController(const RolloutPlan& plan, std::string digest, RolloutHost& host);
    RolloutController(const RolloutController&) = delete;
    RolloutController& operator=(const RolloutController&) = delete;

    // Events. `agent` is an index in the plan; an invalid index throws std::out_of_range.

    void onReport(Nanos now, int agent, const Report& report);
    // The agent obeys a coordinator with a higher number. `successor`: that number, or the agent's answer.
    void onSuperseded(Nanos now, int agent, std::string_view successor);
    // The agent answers but can't carry out its orders.
    void onRejected(Nanos now, int agent, std::string_view reason);
    // The operator stops the rollout.
    void abandon(Nanos now);

    // Acts on all events since the previous call.
    void reconcile(Nanos now);

    // The order to send to that agent now; nothing while the agent is only to be asked for its
    // report.
    std::optional<Order> orderFor(int agent);
    // `none` until the rollout has ended and no order is needed any more.
    RolloutOutcome outcome() const { return outcome_; }
    // Why the rollout stopped, as text for the operator; empty while it goes on.
    const std::string& reason() const { return reason_; }
    // Instances that could not be rolled back, by name and with the reason.
    const std::vector<std::string>& unrestoredInstances() const { return rollback_.unrestoredInstances(); }
    // The current stage, counted from 1; 0 before the first stage.
    int stage() const { return schedule_.stage(); }
    int stageCount() const { return schedule_.stageCount(); }
    // Number of instances that are to have the change now.
    int changedCount() const { return schedule_.targetCount(); }
    // The largest changedCount() so far.
    int maxChangedCount() const { return schedule_.maxTargetCount(); }
    int instanceCount() const { return schedule_.instanceCount(); }
    // Number of the rollout: one more than the highest that any agent had seen. 0 until it is known.
    std::uint64_t number() const { return number_; }
    // The status as JSON, for operators and programs.
    nlohmann::json status(Nanos now) const;

  private:
    using Phase = RolloutPhase;

    // The rollout numbers and changes that the agents report when the rollout begins.
    struct Discovery {
        std::uint64_t highestNumber = 0;
        bool hasThisChange = false;
        // An agent has the change of another rollout that has not ended.
        bool hasOtherChange = false;
    };

    Discovery inspectAgents() const;
    void discover(Nanos now);
    void begin(Nanos now, const Discovery& discovery);
    void observeFleet(Nanos now);
    void superviseBaseline(Nanos now);
    void superviseStage(Nanos now, Nanos elapsed);
    std::string findReasonToStop(Nanos now);
    void concludeStage(Nanos now);
    std::string describeIndecision(Nanos now) const;
    void beginNextStage(Nanos now);
    void beginRollback(Nanos now, const std::string& reason);
    void continueRollback(Nanos now);
    void continueFinishing(Nanos now);
    void enterPhase(Nanos now, Phase phase);
    void end(RolloutOutcome outcome);

    const RolloutPlan plan_;
    const std::string digest_;
    RolloutEvents events_;

    Phase phase_ = Phase::discovering;
    Nanos phaseSince_ = 0;
    Nanos startedAt_ = 0;     // 0: not yet
    Nanos lastSampleAt_ = 0;  // 0: never
    std::uint64_t number_ = 0;
    std::uint64_t lastStep_ = 0;  // step of the last order
    RolloutOutcome outcome_ = RolloutOutcome::none;
    std::string reason_;

    FleetView fleet_;
    RolloutSchedule schedule_;
    StageMonitor stageMonitor_;
    FaultDetector faults_;
    DrainingCaches drainingCaches_;
    SlowLatencyTracker slowLatencies_;
    ResourceLevels resourceLevels_;
    SideComparison comparison_;
    Rollback rollback_;
};

}  // namespace poppyscale::rollout
