// Tracks which caches are draining according to the unchanged instances. Changed instances are not
// consulted: a version that ignores drains would not report them.
#pragma once

#include <map>
#include <string>

#include "rollout/fleet_view.hpp"

namespace poppyscale::rollout {

class DrainingCaches {
  public:
    // Reads the last window of the unchanged instances.
    void observe(const FleetView& fleet);
    // Whether the cache has been draining long enough for every instance to have been notified.
    bool isKnownToAll(const std::string& cache) const;

  private:
    std::map<std::string, int> windowsDraining_;  // consecutive windows of draining, by cache
};

}  // namespace poppyscale::rollout
