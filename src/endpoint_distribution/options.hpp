// The bounds and timeouts of a distributor.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

#include "base/time.hpp"
#include "endpoint_distribution/list_state.hpp"
#include "endpoint_distribution/safeguards.hpp"

namespace poppyscale::endpoint_distribution {

constexpr Nanos kSecond = 1'000 * kMillisecond;

// Upstreams.

// Time for a complete response, in addition to the long poll's wait. It grows up to
// kMaxResponseTimeout while no upstream responds in time.
constexpr Nanos kResponseTimeout = 1 * kSecond;
constexpr Nanos kMaxResponseTimeout = 4 * kSecond;
// How long a grown timeout is kept after the last poll that timed out.
constexpr Nanos kResponseTimeoutRetention = 30 * kSecond;
// The timeout for a complete list is the response timeout times this factor.
constexpr int kCompleteListFactor = 2;
// An upstream is stale if its own list is older than `upstreamWait` plus this.
constexpr Nanos kStaleAfter = 2 * kSecond;
constexpr Nanos kMinBackoff = 100 * kMillisecond;
constexpr Nanos kMaxBackoff = 1 * kSecond;

// Epochs, and readers' versions that are newer than the list here.

// In a new epoch, the time before a reader gets a lower version (see ResponseSchedule).
constexpr Nanos kEpochGrace = 1 * kSecond;
// A newer version is suspected lost once readers have polled with it for `upstreamWait` plus this.
// Also the minimum time between two checks of all upstreams.
constexpr Nanos kAheadCheckDelay = 2 * kSecond;
constexpr std::size_t kMaxAheadVersions = 64;

// Readers.
constexpr Nanos kDrainTimeout = 5 * kSecond;  // limit for a reader to receive its whole response
// Replaces kDrainTimeout for a reader with more than maxUnsentBytes unsent.
constexpr Nanos kMaxUnsentTimeout = 1 * kSecond;
constexpr Nanos kIdleTimeout = 60 * kSecond;  // longest time between two requests of a reader
constexpr Nanos kMaxReaderWait = 60 * kSecond;
constexpr int kRetryAfterSeconds = 1;

struct Options {
    std::size_t upstreams = 1;
    Nanos upstreamWait = 10 * kSecond;        // longest wait of a long poll at an upstream
    Nanos batchInterval = 50 * kMillisecond;  // changes received within it are sent together
    std::size_t maxReaders = 4096;
    std::size_t maxUnsentBytes = 1024 * 1024;  // a reader with more unsent bytes is closed sooner
    std::size_t maxTombstones = ListState::kDefaultTombstones;
    std::uint64_t seed = 1;
    std::set<Safeguard> disabledSafeguards;  // empty except in tests of the safeguards

    bool isEnabled(Safeguard safeguard) const { return !disabledSafeguards.contains(safeguard); }
};

}  // namespace poppyscale::endpoint_distribution
