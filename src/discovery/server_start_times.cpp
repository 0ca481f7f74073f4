#include "discovery/server_start_times.hpp"

#include <algorithm>
#include <cstdlib>

namespace poppyscale::discovery {

void StartTimes::noteClock(Nanos now, Nanos lead) {
    std::erase_if(leads_, [&](const Lead& one) { return now - one.lastSeen > kLeadKept; });
    const auto same = [&](const Lead& one) { return std::abs(one.value - lead) <= kTolerance; };
    const auto it = std::find_if(leads_.begin(), leads_.end(), same);
    if (it != leads_.end()) {
        // Drift is followed, and the one that holds is the last.
        *it = {lead, now};
        std::rotate(it, it + 1, leads_.end());
        return;
    }
    if (leads_.size() == kMostLeads) leads_.erase(leads_.begin());
    leads_.push_back({lead, now});
}

Nanos StartTimes::startOf(std::string_view server, std::int64_t startedMs, Nanos now) {
    Start& start = starts_[std::string(server)];
    if (startedMs <= 0) {
        start = {};
        return 0;
    }
    if (start.startedMs == startedMs) return start.at;
    start = {startedMs, read(startedMs, now)};
    return start.at;
}

Nanos StartTimes::read(std::int64_t startedMs, Nanos now) const {
    Nanos latest = 0;  // none, while every reading is in the future
    for (const Lead& lead : leads_) {
        const Nanos at = startedMs * kMillisecond + lead.value;
        if (at <= now + kTolerance) latest = std::max({latest, at, Nanos{1}});
    }
    return latest > 0 ? std::min(latest, now) : now;
}

}  // namespace poppyscale::discovery
