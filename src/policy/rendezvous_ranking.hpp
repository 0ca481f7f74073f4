// Which servers a key belongs to.
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

// Weighted rendezvous hashing over the usable cache servers that are not ejected: all routers with the same
// endpoint list rank the servers of a key alike, and a change of one server moves only its share of the keys.
// Weights are those of the list, less while a server warms up and less across zones.
//
// Owns the table of these weights and its version. Whoever changes what it rests on calls invalidate(); the
// next candidatesFor() then rebuilds it. Tells SlowStart and ZoneAffinity of a rebuild.
class RendezvousRanking {
  public:
    RendezvousRanking(const EndpointRegistry& registry, SlowStart& slowStart, ZoneAffinity& zoneAffinity)
        : registry_(registry), slowStart_(slowStart), zoneAffinity_(zoneAffinity) {}

    // The weights or the usable servers have changed.
    void invalidate() { ++version_; }
    // As invalidate(), if a warm-up has gone a step further or an ejection has ended since the last rebuild.
    void invalidateIfExpired(Nanos now);

    // The request's candidates in the present version, which are also stored in the request.
    const CandidateList& candidatesFor(Request& request, Nanos now);
    // As of the last rebuild: how many servers can be candidates, and one of those that have had no attempt
    // since an operator's ejection was lifted, or null.
    std::size_t size() const { return entries_.size(); }
    Server* awaitingFirstAttempt() const { return awaitingFirstAttempt_; }

  private:
    struct Entry {
        std::uint64_t hash = 0;
        double weight = 0;       // without regard to zones
        double zonedWeight = 0;  // less across zones
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
    Server* awaitingFirstAttempt_ = nullptr;
    std::uint64_t version_ = 1;
    std::uint64_t builtVersion_ = 0;
    Nanos expiresAt_ = 0;
};

}  // namespace poppyscale::policy
