// Finds conditions of the fleet that explain why requests fail on both sides, so that these
// failures are not attributed to the change.
//
// Interrupted machines and unreachable agents are excuses in themselves. The other conditions compare
// the last seconds or the last window with a baseline, which is learned only while there is no fault.
#pragma once

#include <string>

#include "rollout/decaying_statistics.hpp"
#include "rollout/fleet_window.hpp"

namespace poppyscale::rollout {

class FaultExcuses {
  public:
    FaultExcuses();

    // Adds a window to the recent conditions.
    void observe(Nanos now, const FleetWindow& window);
    // Adds a window to the baseline. To be called only for windows without a fault.
    void learn(Nanos now, const FleetWindow& window);
    // Records that machines were interrupted or agents are unreachable. The consequences for
    // clients show only later, so this remains an excuse for some seconds.
    void noteInterruption(Nanos now) { interruptedAt_ = now; }
    // The condition that explains a fault now, in words for the log; empty if there is none.
    // `unreachableAgents`: their names, empty if there are none.
    std::string find(Nanos now, const std::string& unreachableAgents) const;

  private:
    // A ratio over the last seconds, and the same ratio over about the last minute.
    struct Condition {
        DecayingRatio recent;
        DecayingRatio baseline;
    };

    Condition load_;           // requests per second
    Condition attemptTime_;    // ms per attempt
    Condition lostAttempts_;   // lost attempts per attempt, at the reference instances
    int cachesReady_ = 0;      // ready caches in the last window
    int baselineCaches_ = 0;   // the most caches that were ready at once
    Nanos interruptedAt_ = 0;  // 0: never
};

}  // namespace poppyscale::rollout
