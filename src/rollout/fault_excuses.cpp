#include "rollout/fault_excuses.hpp"

#include <algorithm>

namespace poppyscale::rollout {
namespace {

constexpr Nanos kRecentHalfLife = 3'000 * kMillisecond;
constexpr Nanos kBaselineHalfLife = 60'000 * kMillisecond;
constexpr Nanos kInterruptionEffectTime = 5'000 * kMillisecond;
// Ratios to the baseline above which a condition is an excuse.
constexpr double kMinBurstFactor = 1.25;
constexpr double kMinSlowAttemptFactor = 1.3;
constexpr double kMinLostAttemptFactor = 2;
// Fraction of all attempts, tolerated on top of the factor.
constexpr double kLostAttemptAllowance = 0.01;

double seconds(Nanos duration) { return static_cast<double>(duration) / 1e9; }

}  // namespace

FaultExcuses::FaultExcuses()
    : load_{DecayingRatio{kRecentHalfLife}, DecayingRatio{kBaselineHalfLife}},
      attemptTime_{DecayingRatio{kRecentHalfLife}, DecayingRatio{kBaselineHalfLife}},
      lostAttempts_{DecayingRatio{kRecentHalfLife}, DecayingRatio{kBaselineHalfLife}} {}

void FaultExcuses::observe(Nanos now, const FleetWindow& window) {
    load_.recent.add(now, window.requests, seconds(window.duration));
    attemptTime_.recent.add(now, window.attemptMs, window.attempts);
    lostAttempts_.recent.add(now, window.referenceAttemptsLost, window.referenceAttempts);
    cachesReady_ = window.cachesReady;
}

void FaultExcuses::learn(Nanos now, const FleetWindow& window) {
    load_.baseline.add(now, window.requests, seconds(window.duration));
    attemptTime_.baseline.add(now, window.attemptMs, window.attempts);
    lostAttempts_.baseline.add(now, window.referenceAttemptsLost, window.referenceAttempts);
    baselineCaches_ = std::max(baselineCaches_, window.cachesReady);
}

std::string FaultExcuses::find(Nanos now, const std::string& unreachableAgents) const {
    if (!unreachableAgents.empty()) return "no recent report from " + unreachableAgents;
    if (interruptedAt_ && now - interruptedAt_ < kInterruptionEffectTime)
        return "machines or agents were interrupted recently";
    if (lostAttempts_.recent.value() >
        kMinLostAttemptFactor * lostAttempts_.baseline.value() + kLostAttemptAllowance)
        return "more attempts of unchanged instances are lost than before";
    if (attemptTime_.baseline.denominator() > 0 &&
        attemptTime_.recent.value() > kMinSlowAttemptFactor * attemptTime_.baseline.value())
        return "caches or the origin respond more slowly than before";
    if (load_.baseline.denominator() > 0 && load_.recent.value() > kMinBurstFactor * load_.baseline.value())
        return "the request rate is higher than before";
    if (baselineCaches_ > 0 && cachesReady_ < baselineCaches_) return "fewer caches are ready than before";
    return "";
}

}  // namespace poppyscale::rollout
