// The type and constants for times and durations.
#pragma once

#include <cstdint>
#include <limits>

namespace poppyscale {

// A point in time or a duration, in nanoseconds. Points in time are those of one monotonic clock:
// `transport::EventLoop::now` in the programs, virtual time in the simulator. Code that does no I/O reads
// no clock; it gets the time as an argument.
using Nanos = std::int64_t;

constexpr Nanos kMillisecond = 1'000'000;
// Later than any point in time: a timer that is not set, a limit that does not apply.
constexpr Nanos kNever = std::numeric_limits<Nanos>::max();

}  // namespace poppyscale
