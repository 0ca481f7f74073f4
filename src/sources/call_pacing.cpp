#include "sources/call_pacing.hpp"

#include <algorithm>

namespace poppyscale::sources {

CallPacing::CallPacing(std::int64_t routers, std::uint64_t seed)
    : routers_(routers), random_(static_cast<std::mt19937::result_type>(seed ^ seed >> 32)) {}

Nanos CallPacing::pauseAfterFailure() {
    const Nanos longest = std::clamp(routers_ * kPausePerRouter, kShortestPause, kLongestPause);
    return draw(longest / 2, longest);
}

Nanos CallPacing::intervalWithoutAnswer() { return draw(kShortestInterval, kLongestInterval); }

Nanos CallPacing::watchWait(Nanos longest) { return draw(longest / 2, longest); }

Nanos CallPacing::draw(Nanos least, Nanos most) {
    return std::uniform_int_distribution<Nanos>(least, most)(random_);
}

}  // namespace poppyscale::sources
