// Detects faults: periods in which the unchanged instances do worse than before. No stage begins or
// completes during a fault.
//
// An excuse is a condition of the fleet that explains a fault (see fault_excuses.hpp). A fault with
// an excuse is not attributed to the change; a fault without one is, if it begins during a stage.
#pragma once

#include <optional>
#include <string>

#include "rollout/decaying_statistics.hpp"
#include "rollout/fault_excuses.hpp"
#include "rollout/fleet_view.hpp"

namespace poppyscale::rollout {

// A fault began or ended.
struct FaultTransition {
    bool isActive = false;  // whether a fault is active from now on
    double recentRatio = 0;
    double baselineRatio = 0;  // ratio of the baseline before this window
};

class FaultDetector {
  public:
    FaultDetector();

    // Reads the fleet's last window. Returns a transition if a fault began or ended.
    std::optional<FaultTransition> observe(Nanos now, const FleetView& fleet);
    // Records that machines were interrupted.
    void noteInterruption(Nanos now) { excuses_.noteInterruption(now); }

    bool isActive() const { return isActive_; }
    // When the current fault began, or the last one if there is none.
    Nanos beganAt() const { return beganAt_; }
    // What explains the fault, in words for the log; empty if nothing does.
    const std::string& excuse() const { return excuse_; }
    // Fraction of requests of the reference instances (see FleetWindow) that are unsuccessful or
    // late, over the last seconds.
    double recentRatio() const { return recent_.value(); }
    // The same fraction over about the last minute without a fault.
    double baselineRatio() const { return baseline_.value(); }

  private:
    void updateState(Nanos now, double baselineRatio);

    DecayingRatio recent_;
    DecayingRatio baseline_;  // learned only while there is no fault
    FaultExcuses excuses_;
    bool isActive_ = false;
    Nanos beganAt_ = 0;
    Nanos lastSeenAt_ = 0;
    std::string excuse_;
};

}  // namespace poppyscale::rollout
