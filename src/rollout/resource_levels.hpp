// Compares memory, descriptors and connections of changed instances with the maximum that an
// unchanged instance has had since the rollout began.
#pragma once

#include <map>
#include <string>

#include "rollout/fleet_view.hpp"

namespace poppyscale::rollout {

class ResourceLevels {
  public:
    // `growth`: tolerated ratio to the unchanged side's maximum.
    explicit ResourceLevels(double growth) : growth_(growth) {}

    // Reads the last window of the unchanged instances.
    void observe(const FleetView& fleet);
    // Checks the last window of the changed instances. Returns the first instance that has exceeded
    // the tolerated levels in several checks in a row, with the level; empty if there is none.
    std::string findExcess(const FleetView& fleet);

  private:
    std::string describeExcess(const InstanceMetrics& window) const;

    double growth_;
    double maxMemoryKb_ = 0;
    double maxDescriptors_ = 0;
    double maxConnections_ = 0;
    std::map<int, int> excessiveChecks_;  // consecutive checks with an excess, by instance
};

}  // namespace poppyscale::rollout
