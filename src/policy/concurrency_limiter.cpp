#include "policy/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace poppyscale::policy {
namespace {

constexpr int kMinSamples = 32;
constexpr double kMinLimit = 0.05;
constexpr double kMinMedian = 0.01;
constexpr double kMaxTargetRatio = 0.7;  // bounds the target of servers that are slow when idle
constexpr double kDecreaseFactor = 0.85;
// Fraction of the limit that requests over quota may use.
constexpr double kOverQuotaFraction = 0.75;
constexpr Nanos kMaxSampleRatio = 4;  // bounds a single sample
constexpr Nanos kSlowMedianPeriod = 2'000 * kMillisecond;
constexpr double kIdleRatioGrowth = 1.0002;  // factor per sample

}  // namespace

bool ConcurrencyLimiter::hasCapacity(Nanos now, bool isOverQuota) const {
    const double maxInFlight = isOverQuota ? limit_ * kOverQuotaFraction : std::max(1.0, std::floor(limit_));
    return now >= nextAttemptAt_ && inFlight_ + 1 <= maxInFlight;
}

bool ConcurrencyLimiter::hasEnoughSamples() const { return sampleCount_ >= kMinSamples; }

void ConcurrencyLimiter::decrease(Nanos now, Nanos window, double factor) {
    if (now - lastDecreaseAt_ < window) return;
    limit_ = std::max(kMinLimit, limit_ * factor);
    lastDecreaseAt_ = now;
}

void ConcurrencyLimiter::lowerLimitTo(double limit) { limit_ = std::min(limit_, limit); }

void ConcurrencyLimiter::raiseLimitTo(double limit) { limit_ = std::max(limit, limit_); }

void ConcurrencyLimiter::restart(Target target, double initialLimit) {
    const int inFlight = inFlight_;
    *this = ConcurrencyLimiter(target, initialLimit);
    inFlight_ = inFlight;
}

void ConcurrencyLimiter::recordLatency(Nanos now, Nanos latency, Nanos latencyObjective) {
    const Nanos objective = std::max(latencyObjective, kMillisecond);
    // Bounds the sample, so that one implausible latency cannot distort the medians and the pauses
    // between attempts for long.
    const Nanos bounded = std::clamp<Nanos>(latency, 0, kMaxSampleRatio * objective);
    updateMedians(now, static_cast<double>(bounded) / static_cast<double>(objective));
    const double target = targetRatio();
    const bool isOverTarget = fastMedian_ > target;
    const bool isSlowMedianHigh = slowMedian_ > std::clamp(1.5 * idleRatio_, 0.6 * target, 0.8 * target);
    if (isOverTarget && isSlowMedianHigh) {
        const auto median = static_cast<Nanos>(slowMedian_ * static_cast<double>(objective));
        decrease(now, std::max(bounded, median), kDecreaseFactor);
    } else {
        increase();
    }
    scheduleNextAttempt(now, bounded);
}

// Medians rather than means: a few heavy requests would move a mean, while a queue delays all responses.
void ConcurrencyLimiter::updateMedians(Nanos now, double ratio) {
    if (fastMedian_ == 0)
        fastMedian_ = ratio;
    else
        fastMedian_ = std::max(kMinMedian, fastMedian_ * (ratio > fastMedian_ ? 1.1 : 0.9));
    // The slow median moves slowly, since its minimum would otherwise lie far below the latency of
    // an idle server. It moves faster where responses are few.
    const double elapsed = static_cast<double>(now - lastSampleAt_) / kSlowMedianPeriod;
    const double step = std::max(std::clamp(elapsed, 0.02, 0.1), 1.0 / (2 + sampleCount_));
    lastSampleAt_ = now;
    if (slowMedian_ == 0)
        slowMedian_ = ratio;
    else
        slowMedian_ = std::max(kMinMedian, slowMedian_ * (ratio > slowMedian_ ? 1 + step : 1 - step));
    ++sampleCount_;
    if (sampleCount_ == kMinSamples) idleRatio_ = slowMedian_;
    idleRatio_ = std::min(idleRatio_ * kIdleRatioGrowth, slowMedian_);
}

double ConcurrencyLimiter::targetRatio() const {
    return std::clamp(2 * idleRatio_, target_.ratio, kMaxTargetRatio) +
           target_.ratioAtLimitOne / std::max(limit_, 0.5);
}

void ConcurrencyLimiter::increase() {
    const bool isNearlyReached = inFlight_ + 1 >= std::floor(limit_) * 0.75;
    if (!isNearlyReached) return;
    const double step = hasDecreased() ? 0.5 / std::max(limit_, 2.0) : 0.5;
    limit_ += std::min(step, 0.2 * limit_);
}

// With many routers, even one attempt from each can overload a server: a limit below one is
// enforced by a pause between attempts.
void ConcurrencyLimiter::scheduleNextAttempt(Nanos now, Nanos latency) {
    if (limit_ < 1)
        nextAttemptAt_ = now + static_cast<Nanos>(static_cast<double>(latency) * (1 / limit_ - 1));
    else
        nextAttemptAt_ = 0;
}

}  // namespace poppyscale::policy
