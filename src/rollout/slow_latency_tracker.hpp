// Determines which responses count as slow: those in the slowest quarter of the unchanged side's
// responses of their request class.
//
// The threshold of a request class is set once there are enough responses, and never moves
// afterwards: a moving threshold would change the meaning of the responses counted before.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rollout/fleet_view.hpp"

namespace poppyscale::rollout {

class SlowLatencyTracker {
  public:
    // Adds the last window of the unchanged instances. New thresholds are set only if `maySetThresholds`.
    void observe(const FleetView& fleet, bool maySetThresholds);
    // The first latency bucket whose responses count as slow; nothing while that is unknown.
    std::optional<std::size_t> firstSlowBucket(const std::string& requestClass) const;

  private:
    void setThresholds();

    // Decaying counts by request class and bucket.
    std::map<std::string, std::vector<double>> latencies_;
    // Index of the first slow bucket, by request class.
    std::map<std::string, std::size_t> firstSlowBuckets_;
};

}  // namespace poppyscale::rollout
