#include "policy/retry_policy.hpp"

#include <algorithm>

#include "policy/concurrency_limiter.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/latency_statistics.hpp"
#include "policy/random.hpp"
#include "policy/request.hpp"
#include "policy/server.hpp"

namespace poppyscale::policy {
namespace {

constexpr double kCreditPerSuccess = 0.2;
constexpr double kMaxCredit = 10;
// An attempt that takes more than this many mean latencies is unusually slow.
constexpr Nanos kUsualMeanLatencies = 4;

bool isInScope(DeduplicationScope scope, const Server& server, const Server& first) {
    switch (scope) {
        case DeduplicationScope::all:
            return true;
        case DeduplicationScope::zone:
            return server.endpoint().zone == first.endpoint().zone;
        case DeduplicationScope::cell:
            return server.endpoint().cell == first.endpoint().cell;
    }
    return false;
}

}  // namespace

void RetryCredit::earn() { attempts_ = std::min(attempts_ + kCreditPerSuccess, kMaxCredit); }

int RetryPolicy::attemptsLeft(const Request& request) const {
    return std::min(request.maxAttempts(), settings_.maxAttempts) -
           static_cast<int>(request.attempts().size());
}

bool RetryPolicy::mayAttempt(const Request& request, const Server& server, Nanos now) const {
    if (!request.isWaiting()) return false;
    if (attemptsLeft(request) <= 0 || now >= request.deadline() || !registry_.isUsable(server)) return false;
    const Attempt* possiblyExecuted = request.firstThatMayHaveExecuted();
    if (!possiblyExecuted) return true;
    switch (request.requestClass().idempotency) {
        case Idempotency::safe:
            return true;
        case Idempotency::nonIdempotent:
            return false;
        case Idempotency::idempotentWithKey:
            return isInScope(request.requestClass().deduplicationScope, server, *possiblyExecuted->server) &&
                   now < request.latestStart();
    }
    return false;
}

bool RetryPolicy::mayBeRepeatedInTime(const Request& request, Nanos now) const {
    return request.requestClass().idempotency == Idempotency::safe && request.attempts().empty() &&
           attemptsLeft(request) > 1 && now < request.deadline();
}

bool RetryPolicy::mayReject(const Request& request) const {
    if (!request.isWaiting()) return false;
    if (!request.firstThatMayHaveExecuted()) return true;
    switch (request.requestClass().idempotency) {
        case Idempotency::safe:
            return true;
        case Idempotency::nonIdempotent:
            return false;
        case Idempotency::idempotentWithKey:
            // The client's retry may be sent to any server.
            return request.requestClass().deduplicationScope == DeduplicationScope::all;
    }
    return false;
}

bool RetryPolicy::hasCredit(const Request& request, const Server& server, Random& random) const {
    if (!request.needsRetryCredit(server.isOrigin())) return true;
    return server.retryCredit.isEnough(random.sample());
}

Nanos RetryPolicy::attemptDeadline(const Request& request, const Server& server,
                                   LatencyStatistics& statistics, const ConcurrencyLimiter& totalLimiter,
                                   Nanos now) const {
    const RequestClass& requestClass = request.requestClass();
    const bool isFirstAttempt = request.attempts().empty();
    if (server.isOrigin() || requestClass.idempotency != Idempotency::safe || !isFirstAttempt)
        return request.deadline();
    // Without enough latency samples, a guessed timeout would get slow servers ejected at once.
    if (settings_.weightsFollowLoad || !totalLimiter.hasEnoughSamples()) return request.deadline();
    const Nanos meanLatency = statistics.meanLatency(now);
    const Nanos earlyDeadline =
        now + std::max(kUsualMeanLatencies * meanLatency, requestClass.latencyObjective / 2);
    const Nanos usefulUntil = requestClass.lateWeight > 0
                                  ? request.deadline()
                                  : std::min(request.objectiveDeadline(), request.deadline());
    return earlyDeadline + meanLatency < usefulUntil ? earlyDeadline : request.deadline();
}

// The client's deadline counts, not the latency objective: a late response is better than none.
Nanos RetryPolicy::deadlineBeforeRetry(const Request& request, LatencyStatistics& statistics,
                                       Nanos now) const {
    const Nanos half = (request.deadline() - now) / 2;
    const Nanos meanLatency = statistics.meanLatency(now);
    const Nanos reserved = meanLatency > 0 ? std::min(kUsualMeanLatencies * meanLatency, half) : half;
    return request.deadline() - reserved;
}

}  // namespace poppyscale::policy
