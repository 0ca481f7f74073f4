#include "discovery/server_start_times.hpp"

#include <algorithm>
#include <cstdlib>

namespace poppyscale::discovery {

void ServerStartTimes::recordClockOffset(Nanos now, Nanos offset) {
    std::erase_if(clockOffsets_,
                  [&](const ClockOffset& one) { return now - one.lastSeen > kOffsetRetention; });
    const auto same = [&](const ClockOffset& one) { return std::abs(one.value - offset) <= kTolerance; };
    const auto known = std::find_if(clockOffsets_.begin(), clockOffsets_.end(), same);
    if (known != clockOffsets_.end()) {
        // Follows the clock's drift, and moves the offset in force to the end.
        *known = {offset, now};
        std::rotate(known, known + 1, clockOffsets_.end());
        return;
    }
    if (clockOffsets_.size() == kMaxOffsets) clockOffsets_.erase(clockOffsets_.begin());
    clockOffsets_.push_back({offset, now});
}

Nanos ServerStartTimes::startTimeOf(std::string_view server, std::int64_t startedMs, Nanos now) {
    KnownStart& start = starts_[std::string(server)];
    if (startedMs <= 0) {
        start = {};
        return 0;
    }
    if (start.startedMs == startedMs) return start.startedAt;
    start = {startedMs, monotonicTimeOf(startedMs, now)};
    return start.startedAt;
}

Nanos ServerStartTimes::monotonicTimeOf(std::int64_t startedMs, Nanos now) const {
    Nanos latest = 0;  // 0 while every reading is in the future
    for (const ClockOffset& offset : clockOffsets_) {
        const Nanos at = startedMs * kMillisecond + offset.value;
        if (at <= now + kTolerance) latest = std::max({latest, at, Nanos{1}});
    }
    return latest > 0 ? std::min(latest, now) : now;
}

}  // namespace poppyscale::discovery
