// Metrics that an instance reports about itself, as a staged rollout reads them. A missing or
// implausible value is unknown, never zero.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace poppyscale::rollout {

// Version of the JSON encoding of metrics, orders and reports. Other versions are rejected.
constexpr int kFormat = 1;

// Requests of one class.
struct RequestClassMetrics {
    std::uint64_t accepted = 0;
    std::uint64_t withinObjective = 0;
    std::uint64_t late = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    std::uint64_t abandoned = 0;           // the client disconnected first
    std::vector<std::uint64_t> latencies;  // responses by latency bucket, the fastest first

    std::uint64_t succeeded() const { return withinObjective + late; }
    std::uint64_t unsuccessful() const { return rejected + failed + abandoned; }
};

// One of the caches, as an instance sees it.
struct CacheMetrics {
    std::uint64_t attempts = 0;
    bool isDraining = false;
};

// Counters since the start of one process and its current levels. A window between two samples has
// the same type: the counters of the time between them, and the levels of the later sample.
struct InstanceMetrics {
    std::int64_t incarnation = 0;  // identifies the process; a new process counts from zero
    Nanos up = 0;                  // time since the process started, by the instance's clock
    std::string program;
    std::string zone;
    std::map<std::string, RequestClassMetrics> requestClasses;
    std::map<std::string, CacheMetrics> caches;
    // Counters.
    std::uint64_t attempts = 0;
    std::uint64_t originAttempts = 0;
    // Attempts that failed, timed out, were cut off, not connected, or rejected for overload.
    std::uint64_t unsuccessfulAttempts = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t endpointPolls = 0;
    std::uint64_t surplusConnections = 0;  // connections opened beyond the net growth; only in a window
    double attemptMs = 0;                  // sum of the durations of answered attempts
    // Levels.
    double memoryKb = 0;
    double descriptors = 0;
    double connections = 0;
    double openRequests = 0;
    int cachesReady = 0;
    int cachesListed = 0;
    Nanos longestIteration = 0;  // longest iteration of the event loop
};

// What one instance did between two samples. Returns nothing if the process was replaced, if a
// counter fell, or if more time passed on the instance's clock than on the reader's. `elapsed`:
// time between the samples on the reader's clock.
std::optional<InstanceMetrics> windowOf(const InstanceMetrics& before, const InstanceMetrics& after,
                                        Nanos elapsed);

}  // namespace poppyscale::rollout
