// The type and constants for times and durations.
#pragma once

#include <cstdint>
#include <limits>

namespace poppyscale {

// A point in time or a duration, in nanoseconds. Points in time are those of the monotonic clock that the
// program, or the simulator, passes in; nothing below the programs reads a clock.
using Nanos = std::int64_t;

constexpr Nanos kMillisecond = 1'000'000;
// Later than any point in time: a timer that is not set, a limit that does not apply.
constexpr Nanos kNever = std::numeric_limits<Nanos>::max();

}  // namespace poppyscale
