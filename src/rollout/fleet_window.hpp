// Sums over the fleet's instances of one window between two samples.
#pragma once

#include "rollout/fleet_view.hpp"

namespace poppyscale::rollout {

struct FleetWindow {
    int instances = 0;   // instances with a known window
    Nanos duration = 0;  // the longest window of an instance
    double requests = 0;
    double attempts = 0;
    double attemptMs = 0;  // sum of the durations of answered attempts
    int cachesReady = 0;   // the most that any instance reports
    // Sums of the reference instances only: the unchanged ones, or the changed ones if none is
    // unchanged.
    double referenceRequests = 0;
    double referenceBad = 0;  // unsuccessful or late requests
    double referenceAttempts = 0;
    double referenceAttemptsLost = 0;
};

FleetWindow sumWindows(const FleetView& fleet);

}  // namespace poppyscale::rollout
