// What a staged rollout reports to its host, and how it can end.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

namespace poppyscale::rollout {

// How a rollout ended; `none` while it is in progress. `notPossible`: it could not begin, the operator
// stopped it before any change, or a newer rollout has superseded it.
enum class RolloutOutcome : std::uint8_t { none, completed, rolledBack, rollbackIncomplete, notPossible };

// Receives the rollout's events. It must not call back into the controller.
class RolloutHost {
  public:
    virtual ~RolloutHost() = default;
    // `what` names the event, `fields` carry its values; RolloutEvents lists both.
    virtual void report(std::string_view what, const nlohmann::json& fields) = 0;
};

}  // namespace poppyscale::rollout
