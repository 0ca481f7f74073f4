// A rollout's status as JSON. Its keys and phase names are defined only here; programs read them.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/fleet_view.hpp"
#include "rollout/rollout_host.hpp"
#include "rollout/rollout_schedule.hpp"
#include "rollout/side_comparison.hpp"

namespace poppyscale::rollout {

enum class RolloutPhase : std::uint8_t {
    discovering,  // finds out which agents answer, and which change they already have
    observing,    // observes the fleet's baseline before the first stage
    changing,     // a stage's instances are in transition
    judging,      // all of the stage's instances run the change
    rollingBack,  // all instances return to the version that they ran before
    finishing,    // agents are notified that the rollout has ended
    finished
};

struct RolloutStatus {
    std::uint64_t number = 0;
    RolloutPhase phase = RolloutPhase::discovering;
    bool isFaultActive = false;
    std::string faultExcuse;
    Nanos judgedTime = 0;  // time for which the current stage has been judged
    RolloutOutcome outcome = RolloutOutcome::none;
    std::string reason;
    std::vector<std::string> unrestoredInstances;
};

nlohmann::json toJson(Nanos now, const RolloutStatus& status, const FleetView& fleet,
                      const RolloutSchedule& schedule, const SideComparison& comparison);

// The phase's name in the status.
std::string_view nameOf(RolloutPhase phase);

}  // namespace poppyscale::rollout
