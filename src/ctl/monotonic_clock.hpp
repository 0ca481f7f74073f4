// The clock that poppyctl passes to its controllers.
#pragma once

#include <chrono>

#include "base/time.hpp"

namespace poppyscale::ctl {

// Time of the machine's monotonic clock in nanoseconds.
inline Nanos monotonicNow() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

}  // namespace poppyscale::ctl
