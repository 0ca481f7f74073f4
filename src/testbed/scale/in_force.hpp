// The judge of a scale run: when each change was in force at each router, from the processes' records alone.
//
// A router has a change in force from the first list on that contains it and after which it decided by no
// list without it. A list whose content is not that of discovery's version counts as the last one that was.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbed/scale/record.hpp"

namespace poppyscale::testbed::scale {

struct Change {
    std::int64_t version = 0;
    std::int64_t at = 0;  // CLOCK_MONOTONIC, ns: when discovery had it
    std::uint64_t digest = 0;
};

// The versions that discovery had, the first one included.
std::vector<Change> readChanges(const std::string& path);
// By router, each in the order of time; numbers start at `first`.
std::vector<std::vector<PropagationRecord>> readRecords(const std::string& path, std::uint32_t first,
                                                        int routers);

class PropagationStatistics {
  public:
    explicit PropagationStatistics(std::vector<Change> versions);

    void add(const std::vector<PropagationRecord>& router);

    struct PerChange {
        std::int64_t at = 0;
        std::vector<float> milliseconds;  // of the routers where it came into force
        std::uint64_t lost = 0;
    };
    const std::vector<PerChange>& changes() const { return changes_; }
    std::uint64_t delivered() const { return delivered_; }
    std::uint64_t lost() const { return lost_; }
    std::uint64_t stale() const { return stale_; }
    // Of all pairs of a router and a change; 0 without any.
    double quantileMs(double part) const;

  private:
    bool isKnown(const PropagationRecord& record) const;

    std::vector<Change> versions_;    // versions_[i].version == i + 1
    std::vector<PerChange> changes_;  // of versions_[i + 1]
    std::uint64_t delivered_ = 0;
    std::uint64_t lost_ = 0;
    std::uint64_t stale_ = 0;
};

}  // namespace poppyscale::testbed::scale
