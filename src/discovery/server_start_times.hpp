// When servers last started, on this process's monotonic clock. The list tells it on the machines' wall
// clock, which may be stepped at any time, before or after a server wrote its start down. Free of I/O.
//
// What it promises:
// - A start that was heard of keeps its time, whatever the wall clock does afterwards.
// - Of the readings that the wall clock's recent steps leave open, the latest one that is not in the future
//   counts: a server is never taken for warmer than one of them says.
// - A start of which every reading is in the future counts from when it was heard of.
// What it can't know: of a step before this process began, that a start written down before it is off by as
// much.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy/routing_policy.hpp"

namespace poppyscale::discovery {

class ServerStartTimes {
  public:
    // How long a reading of the wall clock counts after a step away from it.
    static constexpr Nanos kLeadKept = 600'000 * kMillisecond;
    // Less than this is the clock's drift, or a start that was just written down elsewhere.
    static constexpr Nanos kTolerance = 50 * kMillisecond;
    static constexpr std::size_t kMostLeads = 16;

    // `lead`: of the monotonic clock over the wall clock, read at `now`. To be told often: only a step that
    // shows between two readings is known of.
    void recordClockOffset(Nanos now, Nanos lead);
    // When the server started: 0 for long ago.
    Nanos startOf(std::string_view server, std::int64_t startedMs, Nanos now);
    void forget(const std::string& server) { starts_.erase(server); }

  private:
    struct ClockOffset {
        Nanos value = 0;
        Nanos lastSeen = 0;
    };
    struct Start {
        std::int64_t startedMs = 0;
        Nanos at = 0;
    };
    Nanos read(std::int64_t startedMs, Nanos now) const;

    std::vector<ClockOffset> clockOffsets_;  // the newest last
    std::unordered_map<std::string, Start> starts_;
};

}  // namespace poppyscale::discovery
