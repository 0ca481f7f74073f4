// Reports the events of a rollout to its host. Names and fields of the events are defined only
// here; programs read them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/fault_detector.hpp"
#include "rollout/rollout_host.hpp"
#include "rollout/rollout_schedule.hpp"

namespace poppyscale::rollout {

class RolloutEvents {
  public:
    explicit RolloutEvents(RolloutHost& host) : host_(host) {}

    // The rollout begins, or resumes what the agents already have.
    void begun(bool isResumed, std::uint64_t number, const RolloutSchedule& schedule,
               const std::string& digest);
    // An agent obeys a coordinator with a higher number. `successor`: that number, or the agent's answer.
    void superseded(std::string_view successor, const std::string& agent);
    void faultChanged(const FaultTransition& transition, const std::string& excuse);
    void stageBegun(const RolloutSchedule& schedule);
    // `isProven`: harm was ruled out; otherwise the plan lets an undecided stage go on.
    void stageCompleted(const RolloutSchedule& schedule, bool isProven);
    // The rollback begins.
    void stopped(const RolloutSchedule& schedule, const std::string& reason);
    void ended(RolloutOutcome outcome, const std::string& reason,
               const std::vector<std::string>& unrestoredInstances);

  private:
    RolloutHost& host_;
};

// The outcome's name in events and in what poppyctl prints.
std::string_view nameOf(RolloutOutcome outcome);

}  // namespace poppyscale::rollout
