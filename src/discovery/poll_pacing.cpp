#include "discovery/poll_pacing.hpp"

#include <algorithm>

namespace poppyscale::discovery {

PollPacing::PollPacing(std::int64_t routerCount, std::uint64_t seed, bool mayBeOverloaded)
    : routerCount_(routerCount),
      mayBeOverloaded_(mayBeOverloaded),
      random_(static_cast<std::mt19937::result_type>(seed ^ seed >> 32)) {}

void PollPacing::setMayBeOverloaded(bool mayBeOverloaded) {
    mayBeOverloaded_ = mayBeOverloaded;
    if (!mayBeOverloaded) promptResponsesLeft_ = 0;
}

void PollPacing::onRejected(Nanos now) {
    if (!mayBeOverloaded_) return;
    if (!isOverloaded()) {
        const bool isAgain = overloadEndedAt_ != kNever && now - overloadEndedAt_ < kOverloadedAgainWithin;
        promptResponsesNeeded_ = isAgain ? std::min(2 * promptResponsesNeeded_, kMaxPromptResponses) : 1;
    }
    promptResponsesLeft_ = promptResponsesNeeded_;
}

Nanos PollPacing::pauseAfterFailure(Nanos listAge) {
    if (isOverloaded()) return randomBetween(kMinRejectedPause, kMaxRejectedPause);
    const Nanos byFleet = std::clamp(routerCount_ * kPausePerRouter, kMinPause, kMaxPause);
    const double freshness =
        std::clamp(1 - static_cast<double>(listAge) / static_cast<double>(kUrgentAge), 0.0, 1.0);
    const Nanos max = std::max(byFleet, static_cast<Nanos>(freshness * static_cast<double>(kFirstPause)));
    return randomBetween(max / 2, max);
}

void PollPacing::onResponded(Nanos now, Nanos duration) {
    if (!isOverloaded() || duration > kPromptResponseTime) return;
    --promptResponsesLeft_;
    if (promptResponsesLeft_ == 0) overloadEndedAt_ = now;
}

Nanos PollPacing::intervalWithoutResponse() {
    return isOverloaded() ? kOverloadedInterval : randomBetween(kMinInterval, kMaxInterval);
}

Nanos PollPacing::longPollWait(Nanos maxWait) { return randomBetween(maxWait / 2, maxWait); }

Nanos PollPacing::randomBetween(Nanos min, Nanos max) {
    return std::uniform_int_distribution<Nanos>(min, max)(random_);
}

}  // namespace poppyscale::discovery
