// What an instance tells of itself, as a staged change reads it. What it does not tell, or can't be right, is
// unknown and never nothing.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "policy/routing_policy.hpp"

namespace poppyscale::rollout {

// The form of figures, orders and reports; another one is refused by its number.
constexpr int kFormat = 1;

struct RequestClassMetrics {
    std::uint64_t accepted = 0, withinObjective = 0, late = 0, rejected = 0, failed = 0, abandoned = 0;
    std::vector<std::uint64_t> latencies;  // answers by class of their time, from the fastest class there is
    std::uint64_t succeeded() const { return withinObjective + late; }
    std::uint64_t unsuccessful() const { return rejected + failed + abandoned; }
};

// One of the caches, as an instance sees it.
struct CacheMetrics {
    std::uint64_t attempts = 0;
    bool isDraining = false;
};

// Counted since the start of one process, but for the levels.
struct InstanceMetrics {
    std::int64_t incarnation = 0;  // the process; another one counts from nothing
    Nanos up = 0;
    std::string program;
    std::string zone;
    std::map<std::string, RequestClassMetrics> requestClasses;
    std::map<std::string, CacheMetrics> caches;
    std::uint64_t attempts = 0, originAttempts = 0, attemptsLost = 0, connectionsOpened = 0,
                  endpointPolls = 0;
    std::uint64_t churned = 0;  // of a window: connections opened beyond those by which there are more now
    double attemptMs = 0;       // that relays which had an answer were out, in all
    // Levels: as they are.
    double memoryKb = 0, descriptors = 0, connections = 0, openRequests = 0;
    int cachesReady = 0, cachesListed = 0;
    Nanos longestIteration = 0;
};

// As an instance's door answers `figures`; nothing when it is an older program's, of another form or
// nonsense.
std::optional<InstanceMetrics> readInstanceMetrics(const nlohmann::json& said);

// What one instance did between two looks, or nothing: another process, counters that fell, more time than
// has gone by. `between` is the time between the looks on the reader's clock.
std::optional<InstanceMetrics> windowOf(const InstanceMetrics& before, const InstanceMetrics& after,
                                        Nanos between);

}  // namespace poppyscale::rollout
