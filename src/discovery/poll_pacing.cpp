#include "discovery/poll_pacing.hpp"

#include <algorithm>

namespace poppyscale::discovery {

CallPacing::CallPacing(std::int64_t routers, std::uint64_t seed, bool mayBeCrowded)
    : routers_(routers),
      mayBeCrowded_(mayBeCrowded),
      random_(static_cast<std::mt19937::result_type>(seed ^ seed >> 32)) {}

void CallPacing::setMayBeCrowded(bool may) {
    mayBeCrowded_ = may;
    if (!may) promptAnswersLeft_ = 0;
}

void CallPacing::refused(Nanos now) {
    if (!mayBeCrowded_) return;
    if (!isCrowded()) {
        const bool again = hadRoomAt_ != kNever && now - hadRoomAt_ < kCrowdedAgainWithin;
        promptAnswersNeeded_ = again ? std::min(2 * promptAnswersNeeded_, kMostPromptAnswers) : 1;
    }
    promptAnswersLeft_ = promptAnswersNeeded_;
}

Nanos CallPacing::pauseAfterFailure(Nanos age) {
    if (isCrowded()) return draw(kShortestRefusedPause, kLongestRefusedPause);
    const Nanos byFleet = std::clamp(routers_ * kPausePerRouter, kShortestPause, kLongestPause);
    const double left = std::clamp(1 - static_cast<double>(age) / static_cast<double>(kUrgentAge), 0.0, 1.0);
    const Nanos longest = std::max(byFleet, static_cast<Nanos>(left * static_cast<double>(kFirstPause)));
    return draw(longest / 2, longest);
}

void CallPacing::answered(Nanos now, Nanos after) {
    if (!isCrowded() || after > kPromptAnswer) return;
    if (--promptAnswersLeft_ == 0) hadRoomAt_ = now;
}

Nanos CallPacing::intervalWithoutAnswer() {
    return isCrowded() ? kCrowdedInterval : draw(kShortestInterval, kLongestInterval);
}

Nanos CallPacing::watchWait(Nanos longest) { return draw(longest / 2, longest); }

Nanos CallPacing::draw(Nanos least, Nanos most) {
    return std::uniform_int_distribution<Nanos>(least, most)(random_);
}

}  // namespace poppyscale::discovery
