// Evaluates a scale run: when each change took effect at each router, computed from the processes'
// records alone.
//
// A change is in force at a router from the first list that contains it, provided that the router
// used no list without it afterwards. A list whose content differs from discovery's list of that
// version is ignored: the last list that matched counts as still in force.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbed/scale/record.hpp"

namespace poppyscale::testbed::scale {

struct Change {
    std::int64_t version = 0;
    std::int64_t at = 0;  // CLOCK_MONOTONIC in ns when discovery made the change
    std::uint64_t digest = 0;
};

// All versions of discovery's list, including the initial one.
std::vector<Change> readChanges(const std::string& path);
// The records of each router in order of time. Element 0 belongs to router number `first`.
std::vector<std::vector<PropagationRecord>> readRecords(const std::string& path, std::uint32_t first,
                                                        int routers);

class PropagationStatistics {
  public:
    explicit PropagationStatistics(std::vector<Change> versions);

    // Adds the records of one router, in order of time.
    void add(const std::vector<PropagationRecord>& router);

    struct PerChange {
        std::int64_t at = 0;
        std::vector<float> milliseconds;  // propagation time to each router reached
        std::uint64_t lost = 0;           // routers where it never came into force
    };
    const std::vector<PerChange>& changes() const { return changes_; }
    // (router, change) pairs where the change came into force, and where it never did.
    std::uint64_t delivered() const { return delivered_; }
    std::uint64_t lost() const { return lost_; }
    // Lists used at a router after a newer one.
    std::uint64_t stale() const { return stale_; }
    // Quantile of the propagation time over all (router, change) pairs; 0 if there are none.
    double quantileMs(double fraction) const;

  private:
    bool matchesDiscovery(const PropagationRecord& record) const;

    std::vector<Change> versions_;    // versions_[i].version == i + 1
    std::vector<PerChange> changes_;  // changes_[i] belongs to versions_[i + 1]
    std::uint64_t delivered_ = 0;
    std::uint64_t lost_ = 0;
    std::uint64_t stale_ = 0;
};

}  // namespace poppyscale::testbed::scale
