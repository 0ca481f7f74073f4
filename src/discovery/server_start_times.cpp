#include "discovery/server_start_times.hpp"

#include <algorithm>
#include <cstdlib>

namespace poppyscale::discovery {

void ServerStartTimes::recordClockOffset(Nanos now, Nanos lead) {
    std::erase_if(clockOffsets_, [&](const ClockOffset& one) { return now - one.lastSeen > kLeadKept; });
    const auto same = [&](const ClockOffset& one) { return std::abs(one.value - lead) <= kTolerance; };
    const auto it = std::find_if(clockOffsets_.begin(), clockOffsets_.end(), same);
    if (it != clockOffsets_.end()) {
        // Drift is followed, and the one that holds is the last.
        *it = {lead, now};
        std::rotate(it, it + 1, clockOffsets_.end());
        return;
    }
    if (clockOffsets_.size() == kMostLeads) clockOffsets_.erase(clockOffsets_.begin());
    clockOffsets_.push_back({lead, now});
}

Nanos ServerStartTimes::startOf(std::string_view server, std::int64_t startedMs, Nanos now) {
    Start& start = starts_[std::string(server)];
    if (startedMs <= 0) {
        start = {};
        return 0;
    }
    if (start.startedMs == startedMs) return start.at;
    start = {startedMs, read(startedMs, now)};
    return start.at;
}

Nanos ServerStartTimes::read(std::int64_t startedMs, Nanos now) const {
    Nanos latest = 0;  // none, while every reading is in the future
    for (const ClockOffset& lead : clockOffsets_) {
        const Nanos at = startedMs * kMillisecond + lead.value;
        if (at <= now + kTolerance) latest = std::max({latest, at, Nanos{1}});
    }
    return latest > 0 ? std::min(latest, now) : now;
}

}  // namespace poppyscale::discovery
