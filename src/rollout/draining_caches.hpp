// Which caches are draining, by what unchanged instances report. The changed side does not count: a version
// that ignores drains does not know of them.
#pragma once

#include <map>
#include <string>

#include "rollout/fleet_view.hpp"

namespace poppyscale::rollout {

class DrainingCaches {
  public:
    // Reads the last window of the unchanged instances.
    void observe(const FleetView& fleet);
    // Whether the cache has been draining for so long that every instance should have been notified.
    bool isKnownToAll(const std::string& cache) const;

  private:
    std::map<std::string, int> windowsDraining_;  // by cache: consecutive windows
};

}  // namespace poppyscale::rollout
