#include "policy/candidate_selector.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

#include "policy/concurrency_limiter.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/latency_statistics.hpp"
#include "policy/load_estimator.hpp"
#include "policy/origin_fetches.hpp"
#include "policy/random.hpp"
#include "policy/rendezvous_ranking.hpp"
#include "policy/request.hpp"
#include "policy/retry_policy.hpp"
#include "policy/server.hpp"
#include "policy/slow_start.hpp"
#include "policy/zone_affinity.hpp"

namespace poppyscale::policy {
namespace {

constexpr std::size_t kPreferredCandidates = 2;  // further candidates are a last resort
// A server counts as busy from this multiple of the mean number of attempts in flight per server,
// and above this multiple of the median latency ratio.
constexpr double kBusyRatio = 2;
constexpr double kMinBusyInFlight = 2;

}  // namespace

CandidateSelector::Selection CandidateSelector::select(Request& request, Nanos now) {
    if (request.isUnservable()) return {};
    if (!parts_.settings.cacheAside) return selectCacheServer(request, now);
    if (request.isWrite()) return {selectOrigin(request, now)};
    const bool isLastAttempt = parts_.retryPolicy.attemptsLeft(request) <= 1;
    const bool mayBeCached = !isLastAttempt && isHinted(request, now);
    if (!mayBeCached && parts_.originFetches.isInFlight(request.key())) return {nullptr, true};
    const bool isUntried = request.missedAt().empty() && request.candidates.servers.front();
    if (mayBeCached || (isUntried && !isLastAttempt)) return selectCacheServer(request, now);
    return {selectOrigin(request, now)};
}

bool CandidateSelector::isHinted(Request& request, Nanos now) {
    const auto& servers = parts_.ranking.candidatesFor(request, now).servers;
    return std::any_of(servers.begin(), servers.end(), [&](const Server* server) {
        return server && server->hints.mayContain(request.key());
    });
}

CandidateSelector::Selection CandidateSelector::selectCacheServer(Request& request, Nanos now) {
    const CandidateList& candidates = parts_.ranking.candidatesFor(request, now);
    if (Server* readmitted = selectForFirstAttempt(request, now)) return {readmitted, false, true};
    return {selectCandidate(request, candidates, now)};
}

Server* CandidateSelector::selectForFirstAttempt(const Request& request, Nanos now) {
    const auto& awaiting = parts_.ranking.awaitingFirstAttempt();
    if (awaiting.empty() || !parts_.retryPolicy.mayBeRepeatedInTime(request, now)) return nullptr;
    for (Server* server : awaiting)
        if (isAllowed(request, *server, now) &&
            parts_.slowStart.isFirstAttemptDue(*server, now, parts_.random))
            return server;
    return nullptr;
}

Server* CandidateSelector::selectCandidate(const Request& request, const CandidateList& list, Nanos now) {
    auto candidates = list.servers;
    if (parts_.zoneAffinity.isActive() && request.hasFailedAttempt())
        std::rotate(candidates.begin(), candidates.begin() + kPreferredCandidates, candidates.end());
    const double threshold = busyThreshold();
    Server* fallback = nullptr;
    for (const bool isHinted : {true, false}) {
        for (std::size_t i = 0; i < kPreferredCandidates; ++i) {
            Server* server = candidates[i];
            if (!server || server->hints.mayContain(request.key()) != isHinted) continue;
            const bool isAvailable = canServe(request, *server, now);
            // Waits for a hinted server that is at its limit: a miss elsewhere costs more.
            const bool isWaitedFor = isHinted && !request.hasFailedAttempt() &&
                                     !server->limiter.hasCapacity(now, request.isOverQuota());
            if (!isAvailable && !isWaitedFor) continue;
            if (!isBusy(request, *server, threshold, now)) return isAvailable ? server : fallback;
            if (isAvailable && isBetterFallback(*server, fallback)) fallback = server;
        }
    }
    return selectLastResort(request, candidates[kPreferredCandidates], fallback, threshold, now);
}

Server* CandidateSelector::selectLastResort(const Request& request, Server* candidate, Server* fallback,
                                            double threshold, Nanos now) {
    if (!candidate) return fallback;
    const bool isPreferred =
        !fallback || parts_.settings.weightsFollowLoad || candidate->hints.mayContain(request.key());
    if (!isPreferred || isBusy(request, *candidate, threshold, now)) return fallback;
    return canServe(request, *candidate, now) ? candidate : fallback;
}

bool CandidateSelector::isBetterFallback(const Server& server, const Server* fallback) const {
    if (!fallback) return true;
    return parts_.settings.weightsFollowLoad && server.loadReport.load() < fallback->loadReport.load();
}

Server* CandidateSelector::selectOrigin(const Request& request, Nanos now) {
    Server* leastLoaded = nullptr;
    for (Server* origin : parts_.registry.origins()) {
        if (!parts_.registry.isUsable(*origin)) continue;
        if (!leastLoaded || origin->limiter.inFlight() < leastLoaded->limiter.inFlight())
            leastLoaded = origin;
    }
    if (!leastLoaded || !canServe(request, *leastLoaded, now)) return nullptr;
    return parts_.originFetches.hasCapacity(request, *leastLoaded) ? leastLoaded : nullptr;
}

// The slow-start budget comes last, because the check itself fills the budget.
bool CandidateSelector::canServe(const Request& request, Server& server, Nanos now) {
    return isAllowed(request, server, now) && parts_.slowStart.hasBudget(server, now, parts_.random);
}

// Apart from hasFailedAt(), checks that draw no random number come first.
bool CandidateSelector::isAllowed(const Request& request, const Server& server, Nanos now) {
    if (!server.limiter.hasCapacity(now, request.isOverQuota())) return false;
    if (!server.isOrigin() && !parts_.totalLimiter.hasCapacity(now, request.isOverQuota())) return false;
    if (!parts_.retryPolicy.mayAttempt(request, server, now)) return false;
    if (request.isOverQuota() && parts_.statistics.isUnderPressure()) return false;
    if (!parts_.retryPolicy.hasCredit(request, server, parts_.random)) return false;
    return !hasFailedAt(request, server);
}

// False for the origin, which may be attempted again: nothing else has the keys that are not
// cached.
bool CandidateSelector::hasFailedAt(const Request& request, const Server& server) const {
    if (server.isOrigin()) return false;
    const auto& attempts = request.attempts();
    return std::any_of(attempts.begin(), attempts.end(), [&](const Attempt& attempt) {
        return attempt.server.get() == &server && (request.hasFailedAttempt() || attempt.allowsFreeRetry);
    });
}

// The number of attempts in flight from which a server counts as busy.
double CandidateSelector::busyThreshold() const {
    const auto servers = std::max<double>(static_cast<double>(parts_.ranking.size()), 1);
    const double mean = parts_.totalLimiter.inFlight() / servers;
    return std::max(kMinBusyInFlight, kBusyRatio * mean);
}

bool CandidateSelector::isBusy(const Request& request, Server& server, double threshold, Nanos now) {
    if (server.limiter.inFlight() >= threshold) return true;
    if (isSlow(server, now)) return true;
    return parts_.loadEstimator.isBusyByLoadReport(server, request.randomSample(),
                                                   request.requestClass().latencyObjective,
                                                   parts_.statistics.meanLatency(now));
}

// A router with little traffic rarely has two attempts in flight at a server, so that it can detect
// a busy server only by the latencies of its few attempts.
bool CandidateSelector::isSlow(Server& server, Nanos now) {
    const double median = parts_.totalLimiter.medianLatencyRatio();
    const double ratio = (server.outcomes.latencyRatios(now) + median) / (server.outcomes.outcomes(now) + 1);
    return ratio > std::max(kTargetLatencyRatio, kBusyRatio * median);
}

}  // namespace poppyscale::policy
