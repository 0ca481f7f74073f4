#include "discovery/poll_pacing.hpp"

#include <algorithm>

namespace poppyscale::discovery {

PollPacing::PollPacing(std::int64_t routers, std::uint64_t seed, bool mayBeCrowded)
    : routerCount_(routers),
      mayBeCrowded_(mayBeCrowded),
      random_(static_cast<std::mt19937::result_type>(seed ^ seed >> 32)) {}

void PollPacing::setMayBeCrowded(bool may) {
    mayBeCrowded_ = may;
    if (!may) promptAnswersLeft_ = 0;
}

void PollPacing::onRefused(Nanos now) {
    if (!mayBeCrowded_) return;
    if (!isCrowded()) {
        const bool again = hadRoomAt_ != kNever && now - hadRoomAt_ < kCrowdedAgainWithin;
        promptAnswersNeeded_ = again ? std::min(2 * promptAnswersNeeded_, kMaxPromptAnswers) : 1;
    }
    promptAnswersLeft_ = promptAnswersNeeded_;
}

Nanos PollPacing::pauseAfterFailure(Nanos age) {
    if (isCrowded()) return draw(kMinRefusedPause, kMaxRefusedPause);
    const Nanos byFleet = std::clamp(routerCount_ * kPausePerRouter, kMinPause, kMaxPause);
    const double left = std::clamp(1 - static_cast<double>(age) / static_cast<double>(kUrgentAge), 0.0, 1.0);
    const Nanos longest = std::max(byFleet, static_cast<Nanos>(left * static_cast<double>(kFirstPause)));
    return draw(longest / 2, longest);
}

void PollPacing::onAnswered(Nanos now, Nanos after) {
    if (!isCrowded() || after > kPromptResponseTime) return;
    if (--promptAnswersLeft_ == 0) hadRoomAt_ = now;
}

Nanos PollPacing::intervalWithoutAnswer() {
    return isCrowded() ? kCrowdedInterval : draw(kMinInterval, kMaxInterval);
}

Nanos PollPacing::watchWait(Nanos longest) { return draw(longest / 2, longest); }

Nanos PollPacing::draw(Nanos least, Nanos most) {
    return std::uniform_int_distribution<Nanos>(least, most)(random_);
}

}  // namespace poppyscale::discovery
