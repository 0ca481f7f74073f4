// When servers last started, on this process's monotonic clock. The endpoint list gives start times
// on the machines' wall clock, which may be stepped at any time, before or after a server recorded
// its start. Free of I/O.
//
// A reading is a start time converted to the monotonic clock by one of the recent offsets between
// the two clocks. As it is not known which offset was in force when the server started, there may
// be several.
//
// Guarantees:
// - A start that is known keeps its time, whatever the wall clock does afterwards.
// - The latest reading that is not in the future counts, so that no server counts as warmed up
//   further than any of its readings says.
// - A start of which every reading is in the future counts from when it became known.
// A step before this process began is not known: a start recorded before that step is off by its
// size.
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
    // How long an offset is kept after a step of the wall clock has replaced it by another.
    static constexpr Nanos kOffsetRetention = 600'000 * kMillisecond;
    // Offsets that differ by at most this much count as one: the difference is the drift of the
    // clock. A start time that is at most this far in the future counts as the present: a server on
    // another machine has just started.
    static constexpr Nanos kTolerance = 50 * kMillisecond;
    static constexpr std::size_t kMaxOffsets = 16;

    // `offset`: the monotonic clock minus the wall clock, both read at `now`. Has to be called
    // often: two steps between two calls count as one.
    void recordClockOffset(Nanos now, Nanos offset);
    // When the server started, on the monotonic clock; 0 for long ago. `startedMs`: Unix time in
    // milliseconds; 0 or less for a start long ago.
    Nanos startTimeOf(std::string_view server, std::int64_t startedMs, Nanos now);
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
