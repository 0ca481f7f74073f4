// The clock by which poppyctl's controllers are driven.
#pragma once

#include <chrono>

#include "base/time.hpp"

namespace poppyscale::ctl {

// Nanoseconds of the machine's monotonic clock.
inline Nanos monotonicNow() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

}  // namespace poppyscale::ctl
