// When servers last started, on this process's monotonic clock. The endpoint list has it on the machines'
// wall clock, which may be stepped at any time, before or after a server recorded its start. Free of I/O.
//
// Guarantees:
// - A start that is known keeps its time, whatever the wall clock does afterwards.
// - Of the readings that the recent steps of the wall clock allow, the latest one that is not in the future
// counts: a server is
//   never taken for further warmed up than one of them says.
// - A start of which every reading is in the future counts from when it became known.
// A step before this process began is not known: a start recorded before it is off by as much.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.hpp"

namespace poppyscale::discovery {

class ServerStartTimes {
  public:
    // How long an offset counts after a step away from it.
    static constexpr Nanos kOffsetRetention = 600'000 * kMillisecond;
    // A smaller difference is the drift of the clock, or a start that was just recorded elsewhere.
    static constexpr Nanos kTolerance = 50 * kMillisecond;
    static constexpr std::size_t kMaxOffsets = 16;

    // `offset`: the monotonic clock minus the wall clock, both read at `now`. To be called often: only a step
    // between two calls is known.
    void recordClockOffset(Nanos now, Nanos offset);
    // When the server started, on the monotonic clock; 0 for long ago. `startedMs`: Unix time in
    // milliseconds.
    Nanos startOf(std::string_view server, std::int64_t startedMs, Nanos now);
    void forget(const std::string& server) { starts_.erase(server); }

  private:
    struct ClockOffset {
        Nanos value = 0;
        Nanos lastSeen = 0;
    };
    struct KnownStart {
        std::int64_t startedMs = 0;
        Nanos startedAt = 0;
    };
    Nanos monotonicTimeOf(std::int64_t startedMs, Nanos now) const;

    std::vector<ClockOffset> clockOffsets_;  // the newest last
    std::unordered_map<std::string, KnownStart> starts_;
};

}  // namespace poppyscale::discovery
