// Chooses the server for an attempt.
#pragma once

#include "base/time.hpp"
#include "policy/settings.hpp"

namespace poppyscale::policy {

struct CandidateList;
class ConcurrencyLimiter;
class EndpointRegistry;
class LatencyStatistics;
class LoadEstimator;
class OriginFetches;
class Random;
class RendezvousRanking;
class Request;
class RetryPolicy;
class Server;
class SlowStart;
class ZoneAffinity;

// Prefers a candidate whose hints contain the request's key, then rendezvous order, and passes over
// busy candidates. Where the servers are cache-aside, also decides between the cache servers and
// the origin. Returns only servers that the concurrency limits, the retry policy, the slow start
// and the limits of tenants and origin fetches allow at this time; all of these checks are made
// here. Owns no state.
class CandidateSelector {
  public:
    // The inputs of the choice; all of them outlive the selector.
    struct Parts {
        const PolicySettings& settings;
        const EndpointRegistry& registry;
        RendezvousRanking& ranking;
        const ZoneAffinity& zoneAffinity;
        const RetryPolicy& retryPolicy;
        SlowStart& slowStart;
        const LoadEstimator& loadEstimator;
        LatencyStatistics& statistics;
        const ConcurrencyLimiter& totalLimiter;  // over all cache servers
        const OriginFetches& originFetches;
        Random& random;
    };
    struct Selection {
        Server* server = nullptr;  // null if no server may be sent the request now
        bool awaitsFetch = false;  // another request is fetching the key from the origin
        // The server awaits its first attempt after a readmission, and is preferred to the candidates.
        bool isPreferred = false;
    };

    explicit CandidateSelector(const Parts& parts) : parts_(parts) {}

    // Chooses a server for a waiting request. May draw random numbers.
    Selection select(Request& request, Nanos now);
    // Whether a candidate is expected to have the request's key.
    bool isHinted(Request& request, Nanos now);

  private:
    Selection selectCacheServer(Request& request, Nanos now);
    // A readmitted server whose first attempt is due, whatever the request's key; null if there is none.
    Server* selectForFirstAttempt(const Request& request, Nanos now);
    // Chooses among the candidates for the request's key.
    Server* selectCandidate(const Request& request, const CandidateList& list, Nanos now);
    Server* selectLastResort(const Request& request, Server* candidate, Server* fallback, double threshold,
                             Nanos now);
    Server* selectOrigin(const Request& request, Nanos now);
    bool canServe(const Request& request, Server& server, Nanos now);
    // All checks of canServe() but that of the slow start.
    bool isAllowed(const Request& request, const Server& server, Nanos now);
    bool hasFailedAt(const Request& request, const Server& server) const;
    double busyThreshold() const;
    bool isBusy(const Request& request, Server& server, double threshold, Nanos now);
    bool isSlow(Server& server, Nanos now);
    bool isBetterFallback(const Server& server, const Server* fallback) const;

    const Parts parts_;
};

}  // namespace poppyscale::policy
