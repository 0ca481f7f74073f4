// The emulated clock and disk of a machine, in a file that the machine's processes map: the testbed writes
// it, and preload.cpp reads it in these processes. There is one writer; a reader retries if a write overlaps.
#pragma once

#include <atomic>
#include <cstdint>

namespace poppyscale::testbed {

constexpr std::uint32_t kHostFormat = 1;
constexpr int kMaxFolderLength = 512;
// The environment variable that holds the path of the file.
constexpr const char* kHostVariable = "POPPYSCALE_TESTBED_PROGRAM_HOST";

struct HostState {
    std::uint32_t format;
    std::atomic<std::uint32_t> sequence;  // odd during a write
    // Monotonic clocks show `shownTime` at the true time `trueTime` and run at `rate` times the
    // true speed. The boot-time clock, which runs while the machine sleeps, is ahead of them by
    // `bootOffset`. The wall clock is offset by `wallOffset`, beyond what rate and sleep cause. All
    // in ns.
    double rate;
    std::int64_t trueTime, shownTime, bootOffset, wallOffset;
    // The disk is everything below `folder`.
    char folder[kMaxFolderLength];
    std::uint32_t readOnly;
    std::int64_t syncDelayNs;                 // added to each sync
    std::atomic<std::uint32_t> failingSyncs;  // how many of the next syncs fail with EIO
};

}  // namespace poppyscale::testbed
