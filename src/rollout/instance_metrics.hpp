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

struct OfVerb {
    std::uint64_t taken = 0, inGoal = 0, late = 0, declined = 0, terminated = 0, left = 0;
    std::vector<std::uint64_t> times;  // answers by class of their time, from the fastest class there is
    std::uint64_t answered() const { return inGoal + late; }
    std::uint64_t unanswered() const { return declined + terminated + left; }
};

// One of the caches, as an instance sees it.
struct OfCache {
    std::uint64_t relays = 0;
    bool leaving = false;
};

// Counted since the start of one process, but for the levels.
struct Figures {
    std::int64_t life = 0;  // the process; another one counts from nothing
    Nanos up = 0;
    std::string program;
    std::string zone;
    std::map<std::string, OfVerb> verbs;
    std::map<std::string, OfCache> caches;
    std::uint64_t relays = 0, originRelays = 0, relaysLost = 0, opened = 0, calls = 0;
    std::uint64_t churned = 0;  // of a window: connections opened beyond those by which there are more now
    double relayMs = 0;         // that relays which had an answer were out, in all
    // Levels: as they are.
    double memoryKb = 0, descriptors = 0, links = 0, open = 0;
    int cachesReady = 0, cachesListed = 0;
    Nanos longestTurn = 0;
};

// As an instance's door answers `figures`; nothing when it is an older program's, of another form or
// nonsense.
std::optional<Figures> readFigures(const nlohmann::json& said);

// What one instance did between two looks, or nothing: another process, counters that fell, more time than
// has gone by. `between` is the time between the looks on the reader's clock.
std::optional<Figures> windowOf(const Figures& before, const Figures& after, Nanos between);

}  // namespace poppyscale::rollout
