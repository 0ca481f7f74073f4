#include "policy/latency_statistics.hpp"

#include <algorithm>

#include "policy/concurrency_limiter.hpp"

namespace poppyscale::policy {
namespace {

constexpr double kMinSuccessesForMean = 0.5;
constexpr double kMinSuccessesForInterval = 32;  // lower bound of the count in successInterval()

}  // namespace

void LatencyStatistics::recordSuccess(Nanos latency, Nanos now) {
    successes_.add(now, 1);
    successLatencies_.add(now, static_cast<double>(latency));
}

void LatencyStatistics::recordOutcome(double latencyRatio, Nanos now) {
    outcomes_.add(now, 1);
    latencyRatios_.add(now, latencyRatio);
}

void LatencyStatistics::updatePressure(const ConcurrencyLimiter& totalLimiter, Nanos now) {
    const double idleRatio = totalLimiter.hasEnoughSamples() ? 2 * totalLimiter.idleLatencyRatio() : 0;
    const double maxRatio = std::max(kTargetLatencyRatio, idleRatio);
    isUnderPressure_ = latencyRatios_.read(now) > maxRatio * std::max(outcomes_.read(now), 1.0);
}

Nanos LatencyStatistics::meanLatency(Nanos now) {
    const double successes = successes_.read(now);
    if (successes < kMinSuccessesForMean) return 0;
    return static_cast<Nanos>(successLatencies_.read(now) / successes);
}

Nanos LatencyStatistics::successInterval(Nanos now) {
    const double duration = effectiveDuration(kTimeConstant, now - startedAt_);
    return static_cast<Nanos>(duration / std::max(successes_.read(now), kMinSuccessesForInterval));
}

bool LatencyStatistics::haveMostSucceeded(Nanos now) {
    return successes_.read(now) > outcomes_.read(now) / 2;
}

}  // namespace poppyscale::policy
