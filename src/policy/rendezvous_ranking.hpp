// Ranks the cache servers for a key.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.hpp"
#include "policy/request.hpp"

namespace poppyscale::policy {

class EndpointRegistry;
class Server;
class SlowStart;
class ZoneAffinity;

// Weighted rendezvous hashing over the usable cache servers that are not ejected: all routers with
// the same endpoint list rank the servers of a key alike, and a change of one server moves only its
// share of the keys. Weights are those of the endpoint list, reduced while a server warms up and
// for servers in other zones.
//
// Owns the table of these weights and its version. invalidate() must be called when an input of the
// table changes; the next candidatesFor() then rebuilds it, and updates SlowStart and ZoneAffinity
// too.
class RendezvousRanking {
  public:
    RendezvousRanking(const EndpointRegistry& registry, SlowStart& slowStart, ZoneAffinity& zoneAffinity)
        : registry_(registry), slowStart_(slowStart), zoneAffinity_(zoneAffinity) {}

    // The weights or the usable servers have changed.
    void invalidate() { ++version_; }
    // Calls invalidate() if a warm-up has advanced by a step or an ejection has ended since the
    // last rebuild.
    void invalidateIfExpired(Nanos now);

    // The request's candidates in the current version. Also stores them in the request.
    const CandidateList& candidatesFor(Request& request, Nanos now);
    // The number of servers that can be candidates, as of the last rebuild.
    std::size_t size() const { return entries_.size(); }
    // The candidates that have had no attempt since an operator's ejection was lifted, as of the last
    // rebuild.
    const std::vector<Server*>& awaitingFirstAttempt() const { return awaitingFirstAttempt_; }

  private:
    struct Entry {
        std::uint64_t hash = 0;
        double weight = 0;       // weight without regard to zones
        double zonedWeight = 0;  // weight that is reduced for servers of other zones
        Server* server = nullptr;
    };
    struct ScoredServer {
        double score = 0;
        Server* server = nullptr;
    };

    void rebuild(Nanos now);
    void addEntry(Server& server, double warmupFraction);
    // The `count` servers with the highest scores for a key, best first, by one of the weights.
    std::vector<ScoredServer> topServers(std::uint64_t key, std::size_t count, double Entry::*weight) const;
    void replaceLastByTopOverAllZones(std::uint64_t key, CandidateList& candidates) const;

    const EndpointRegistry& registry_;
    SlowStart& slowStart_;
    ZoneAffinity& zoneAffinity_;
    std::vector<Entry> entries_;
    std::vector<Server*> awaitingFirstAttempt_;
    std::uint64_t version_ = 1;
    std::uint64_t builtVersion_ = 0;
    Nanos expiresAt_ = 0;
};

}  // namespace poppyscale::policy
