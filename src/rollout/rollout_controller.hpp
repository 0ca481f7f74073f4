// The coordinator of a staged rollout. Free of I/O and of any clock: reports and time in, orders out.
//
// A rollout discovers what the agents have, observes the fleet as it is, and then takes its stages one after
// the other: a stage's instances change, and once all of them run the change they are judged beside the
// unchanged ones. The first reason to stop begins the rollback.
//
// Guarantees:
//  - No instance is ordered to change in a stage before the stage before it is complete.
//  - A stage is complete only if harm of the plan's size is ruled out by what was seen without a fault,
//  unless
//    the plan lets undecided stages go on.
//  - After a stop no instance is ordered to change any more. The rollback goes in batches until each
//  reachable
//    instance is as before or is named in unrestoredInstances().
//  - The agents have all of its state. A new coordinator of the same change resumes from there.
//
// One owner, one thread. `reconcile` follows the events of a moment, about twice a second.
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
    // `digest` identifies the change: two coordinators with the same one roll out the same change. `host` has
    // to outlive the controller.
    RolloutController(const RolloutPlan& plan, std::string digest, RolloutHost& host);
    RolloutController(const RolloutController&) = delete;
    RolloutController& operator=(const RolloutController&) = delete;

    // Events. `agent` is an index in the plan; another one throws std::out_of_range.

    void onReport(Nanos now, int agent, const Report& report);
    // The agent obeys a coordinator with a higher number. `successor`: that number, or the agent's answer.
    void onSuperseded(Nanos now, int agent, std::string_view successor);
    // The agent answers, and can't do what it was ordered.
    void onRefused(Nanos now, int agent, std::string_view reason);
    // The operator stops the rollout.
    void abandon(Nanos now);

    // Acts on all events since the call before.
    void reconcile(Nanos now);

    // What to send to that agent now; nothing while it is only to be asked for its report.
    std::optional<Order> orderFor(int agent);
    // Not `none` once no order is needed any more.
    RolloutOutcome outcome() const { return outcome_; }
    // Why it stopped, in words; empty while it goes on.
    const std::string& reason() const { return reason_; }
    // Those that could not be rolled back, by name and with the reason.
    const std::vector<std::string>& unrestoredInstances() const { return rollback_.unrestoredInstances(); }
    // Counted from 1; 0 before the first.
    int stage() const { return schedule_.stage(); }
    int stageCount() const { return schedule_.stageCount(); }
    // Instances that are to have the change now.
    int changedCount() const { return schedule_.targetCount(); }
    int maxChangedCount() const { return schedule_.maxTargetCount(); }
    int instanceCount() const { return schedule_.instanceCount(); }
    // Of the rollout: one more than any agent had seen. 0 until it is known.
    std::uint64_t number() const { return number_; }
    // For operators and programs.
    nlohmann::json status(Nanos now) const;

  private:
    using Phase = RolloutPhase;

    // What the agents have when the rollout begins.
    struct Discovery {
        std::uint64_t highestNumber = 0;
        bool hasThisChange = false;
        bool hasOtherChange = false;  // of a rollout that has not ended
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
    std::uint64_t lastStep_ = 0;  // of the orders
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
