// Rolls all instances back to the version that they ran before the rollout, in the reverse order of
// their change. At most a batch of the plan's size is in transition at once.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rollout/fleet_view.hpp"
#include "rollout/rollout_host.hpp"
#include "rollout/rollout_plan.hpp"
#include "rollout/rollout_schedule.hpp"

namespace poppyscale::rollout {

class Rollback {
  public:
    // `plan` has to outlive the rollback.
    explicit Rollback(const RolloutPlan& plan) : plan_(plan) {}

    void begin(Nanos now) { beganAt_ = now; }
    // Withdraws the next targets. Returns the outcome once all instances run the version from before
    // the rollout or the plan's timeout has passed. `number`: number of the rollout. An agent that
    // reports another number is not known to have rolled back.
    std::optional<RolloutOutcome> advance(Nanos now, std::uint64_t number, const FleetView& fleet,
                                          RolloutSchedule& schedule);

    // Instances that could not be rolled back, by name and with the reason. Empty until the outcome
    // is known.
    const std::vector<std::string>& unrestoredInstances() const { return unrestoredInstances_; }

  private:
    void findUnrestored(Nanos now, const FleetView& fleet);

    const RolloutPlan& plan_;
    Nanos beganAt_ = 0;
    std::vector<std::string> unrestoredInstances_;
};

}  // namespace poppyscale::rollout
