// What the testbed says of a machine's clock and disk, in a file that the machine's processes map: the
// testbed writes it, `seen.cpp` reads it within them. One writer; a reader that meets a write reads again.
#pragma once

#include <atomic>
#include <cstdint>

namespace poppyscale::testbed {

constexpr std::uint32_t kHostFormat = 1;
constexpr int kLongestFolder = 512;
constexpr const char* kHostVariable = "POPPYSCALE_TESTBED_PROGRAM_HOST";

struct HostState {
    std::uint32_t format;
    std::atomic<std::uint32_t> turn;  // odd while it is written
    // Clocks that don't jump show `shownAt` at the true time `trueAt`, and go `rate` times as fast. Those
    // that go on while a machine sleeps are ahead of them by `slept`, the wall clock by `wallLead` beside
    // what the rate does. All in ns.
    double rate;
    std::int64_t trueAt, shownAt, slept, wallLead;
    // The disk is all below `folder`.
    char folder[kLongestFolder];
    std::uint32_t readOnly;
    std::int64_t syncTakes;                // ns
    std::atomic<std::uint32_t> syncsFail;  // so many of the next ones, with EIO
};

}  // namespace poppyscale::testbed
