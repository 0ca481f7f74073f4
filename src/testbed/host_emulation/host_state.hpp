// The emulated clock and disk of a machine, in a file that the machine's processes map: the testbed writes
// it, and preload.cpp reads it in these processes. There is one writer; a reader retries if a write overlaps.
#pragma once

#include <atomic>
#include <cstdint>

namespace poppyscale::testbed {

constexpr std::uint32_t kHostFormat = 1;
constexpr int kLongestFolder = 512;
constexpr const char* kHostVariable = "POPPYSCALE_TESTBED_PROGRAM_HOST";

struct HostState {
    std::uint32_t format;
    std::atomic<std::uint32_t> turn;  // sequence number, odd during a write
    // Monotonic clocks show `shownAt` at the true time `trueAt` and run at `rate` times the true speed. The
    // boot-time clock, which goes on while the machine sleeps, is ahead of them by `slept`. The wall clock is
    // offset by `wallLead`, beyond what rate and sleep cause. All in ns.
    double rate;
    std::int64_t trueAt, shownAt, slept, wallLead;
    // The disk is everything below `folder`.
    char folder[kLongestFolder];
    std::uint32_t readOnly;
    std::int64_t syncTakes;                // added to each sync, in ns
    std::atomic<std::uint32_t> syncsFail;  // number of next syncs that fail with EIO
};

}  // namespace poppyscale::testbed
