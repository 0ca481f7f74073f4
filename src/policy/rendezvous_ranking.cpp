#include "policy/rendezvous_ranking.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/server.hpp"
#include "policy/slow_start.hpp"
#include "policy/zone_affinity.hpp"

namespace poppyscale::policy {

void RendezvousRanking::invalidateIfExpired(Nanos now) {
    if (now < expiresAt_) return;
    invalidate();
    expiresAt_ = kNever;
}

void RendezvousRanking::rebuild(Nanos now) {
    builtVersion_ = version_;
    awaitingFirstAttempt_.clear();
    entries_.clear();
    expiresAt_ = kNever;
    zoneAffinity_.rebuild(now);
    double warmWeight = 0;
    int warmCount = 0;
    for (Server* server : registry_.cacheServers()) {
        if (!registry_.isUsable(*server)) continue;
        const double warmupFraction = slowStart_.warmupFraction(*server, now);
        if (warmupFraction < 1) {
            expiresAt_ = std::min(expiresAt_, now + slowStart_.stepDuration());
        } else {
            warmWeight += server->endpoint().weight;
            ++warmCount;
        }
        if (server->outcomes.isEjected(now))
            expiresAt_ = std::min(expiresAt_, server->outcomes.ejectedUntil());
        else
            addEntry(*server, warmupFraction);
    }
    slowStart_.setWarmServers(warmWeight, warmCount, now);
}

void RendezvousRanking::addEntry(Server& server, double warmupFraction) {
    const double weight = server.endpoint().weight * warmupFraction;
    const double zonedWeight = weight * zoneAffinity_.weightFactor(server, warmupFraction);
    entries_.push_back({server.hash(), weight, zonedWeight, &server});
    if (server.firstAttempt.isAwaited()) awaitingFirstAttempt_.push_back(&server);
}

const CandidateList& RendezvousRanking::candidatesFor(Request& request, Nanos now) {
    if (builtVersion_ != version_) rebuild(now);
    CandidateList& candidates = request.candidates;
    if (candidates.rankingVersion == version_) return candidates;
    candidates = {};
    candidates.rankingVersion = version_;
    const std::size_t first = request.firstCandidate();
    const auto top = topServers(request.key(), first + kMaxCandidates, &Entry::zonedWeight);
    for (std::size_t i = 0; i < std::min(top.size(), kMaxCandidates); ++i)
        candidates.servers[i] = top[(first + i) % top.size()].server;
    if (zoneAffinity_.isActive() && candidates.servers.back())
        replaceLastByTopOverAllZones(request.key(), candidates);
    return candidates;
}

// The routers of other zones send requests for the key to the top servers over all zones, which are
// therefore likely to have it cached.
void RendezvousRanking::replaceLastByTopOverAllZones(std::uint64_t key, CandidateList& candidates) const {
    const auto& servers = candidates.servers;
    for (const ScoredServer& scored : topServers(key, kMaxCandidates, &Entry::weight)) {
        if (scored.server == servers[0] || scored.server == servers[1]) continue;
        candidates.servers.back() = scored.server;
        return;
    }
}

std::vector<RendezvousRanking::ScoredServer> RendezvousRanking::topServers(std::uint64_t key,
                                                                           std::size_t count,
                                                                           double Entry::*weight) const {
    std::vector<ScoredServer> top(std::min(count, entries_.size()));
    for (const Entry& entry : entries_) {
        // Uniform in (0, 1), the same at all routers.
        const double uniform = (static_cast<double>(mixBits(key ^ entry.hash) >> 11) + 0.5) * 0x1p-53;
        // Since -log(u) is at least 1 - u, most servers are known to score too little before the
        // logarithm is computed.
        if (entry.*weight <= top.back().score * (1 - uniform)) continue;
        const ScoredServer scored{entry.*weight / -std::log(uniform), entry.server};
        if (scored.score <= top.back().score) continue;
        top.back() = scored;
        for (std::size_t at = top.size() - 1; at > 0 && top[at - 1].score < top[at].score; --at)
            std::swap(top[at - 1], top[at]);
    }
    return top;
}

}  // namespace poppyscale::policy
