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

constexpr std::size_t kPreferredCandidates = 2;  // the others are of last resort
constexpr double kBusyRatio = 2;                 // to the mean over servers
constexpr double kMinBusyInFlight = 2;

}  // namespace

CandidateSelector::Selection CandidateSelector::select(Request& request, Nanos now) {
    if (request.isUnservable()) return {};
    if (!parts_.settings.cacheAside) return {selectCacheServer(request, now)};
    if (request.isWrite()) return {selectOrigin(request, now)};
    const bool isLastAttempt = parts_.retryPolicy.attemptsLeft(request) <= 1;
    const bool mayBeCached = !isLastAttempt && isHinted(request, now);
    if (!mayBeCached && parts_.originFetches.isInFlight(request.key())) return {nullptr, true};
    const bool isUntried = request.missedAt().empty() && request.candidates.servers.front();
    if (mayBeCached || (isUntried && !isLastAttempt)) return {selectCacheServer(request, now)};
    return {selectOrigin(request, now)};
}

bool CandidateSelector::isHinted(Request& request, Nanos now) {
    const auto& servers = parts_.ranking.candidatesFor(request, now).servers;
    return std::any_of(servers.begin(), servers.end(), [&](const Server* server) {
        return server && server->hints.mayContain(request.key());
    });
}

Server* CandidateSelector::selectCacheServer(Request& request, Nanos now) {
    auto candidates = parts_.ranking.candidatesFor(request, now).servers;
    if (parts_.zoneAffinity.isActive() && request.hasFailedAttempt())
        std::rotate(candidates.begin(), candidates.begin() + kPreferredCandidates, candidates.end());
    // A quiet router would hear nothing of such a server for long: all of its keys have other places.
    Server* awaiting = parts_.ranking.awaitingFirstAttempt();
    const bool isSafe = request.requestClass().idempotency == Idempotency::safe;
    if (awaiting && isSafe && canServe(request, *awaiting, now)) return awaiting;
    const double threshold = busyThreshold();
    Server* fallback = nullptr;
    for (const bool isHinted : {true, false}) {
        for (std::size_t i = 0; i < kPreferredCandidates; ++i) {
            Server* server = candidates[i];
            if (!server || server->hints.mayContain(request.key()) != isHinted) continue;
            const bool isAvailable = canServe(request, *server, now);
            // A hinted server that is only at its limit is waited for: a miss elsewhere costs more.
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
    Server* least = nullptr;
    for (Server* origin : parts_.registry.origins()) {
        if (!parts_.registry.isUsable(*origin)) continue;
        if (!least || origin->limiter.inFlight() < least->limiter.inFlight()) least = origin;
    }
    if (!least || !canServe(request, *least, now)) return nullptr;
    return parts_.originFetches.hasCapacity(request, *least) ? least : nullptr;
}

// Checks without random numbers come first; the budget of a warm-up is last, since it is filled by the check.
bool CandidateSelector::canServe(const Request& request, Server& server, Nanos now) {
    if (!server.limiter.hasCapacity(now, request.isOverQuota())) return false;
    if (!server.isOrigin() && !parts_.totalLimiter.hasCapacity(now, request.isOverQuota())) return false;
    if (!parts_.retryPolicy.mayAttempt(request, server, now)) return false;
    if (request.isOverQuota() && parts_.statistics.isUnderPressure()) return false;
    if (!parts_.retryPolicy.hasCredit(request, server, parts_.random)) return false;
    if (hasFailedAt(request, server)) return false;
    return parts_.slowStart.hasBudget(server, now, parts_.random);
}

// The origin is attempted again: there is no other place for what only it has.
bool CandidateSelector::hasFailedAt(const Request& request, const Server& server) const {
    if (!request.hasFailedAttempt() || server.isOrigin()) return false;
    const auto& attempts = request.attempts();
    return std::any_of(attempts.begin(), attempts.end(),
                       [&](const Attempt& attempt) { return attempt.server.get() == &server; });
}

// Attempts in flight from which a server is busy.
double CandidateSelector::busyThreshold() const {
    const auto servers = std::max<double>(static_cast<double>(parts_.ranking.size()), 1);
    const double mean = parts_.totalLimiter.inFlight() / servers;
    return std::max(kMinBusyInFlight, kBusyRatio * mean);
}

bool CandidateSelector::isBusy(const Request& request, Server& server, double threshold, Nanos now) {
    if (server.limiter.inFlight() >= threshold) return true;
    if (isLate(server, now)) return true;
    return parts_.loadEstimator.isBusyByLoadReport(server, request.randomSample(),
                                                   request.requestClass().latencyObjective,
                                                   parts_.statistics.meanLatency(now));
}

// A quiet router hardly has two attempts in flight, but the latencies of its few attempts show the same.
bool CandidateSelector::isLate(Server& server, Nanos now) {
    const double median = parts_.totalLimiter.medianLatencyRatio();
    const double ratio = (server.outcomes.latencyRatios(now) + median) / (server.outcomes.outcomes(now) + 1);
    return ratio > std::max(kTargetLatencyRatio, kBusyRatio * median);
}

}  // namespace poppyscale::policy
