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
constexpr Nanos kResponseTimeout = 1 * kSecond;  // beyond the wait of the poll; for a complete response
constexpr Nanos kMaxResponseTimeout = 4 * kSecond;
constexpr Nanos kResponseTimeoutRetention = 30 * kSecond;  // of a grown timeout, since the last silence
constexpr int kCompleteListFactor = 2;                     // of the timeout, for a complete list
constexpr Nanos kStaleAfter = 2 * kSecond;                 // age of an upstream's list, beyond its wait
constexpr Nanos kMinBackoff = 100 * kMillisecond;
constexpr Nanos kMaxBackoff = 1 * kSecond;

// Epochs and versions that readers are ahead with.
constexpr Nanos kEpochGrace = 1 * kSecond;
constexpr Nanos kAheadPatience = 2 * kSecond;
constexpr std::size_t kMaxAheadVersions = 64;  // versions

// Readers.
constexpr Nanos kDrainTimeout = 5 * kSecond;      // for a reader to take its response
constexpr Nanos kMaxUnsentTimeout = 1 * kSecond;  // the same with more than `maxUnsent` bytes to take
constexpr Nanos kIdleTimeout = 60 * kSecond;      // between a reader's requests
constexpr Nanos kMaxReaderWait = 60 * kSecond;
constexpr int kRetryAfterSeconds = 1;

struct Options {
    std::size_t upstreams = 1;
    Nanos upstreamWait = 10 * kSecond;  // for a change, at an upstream
    Nanos batch = 50 * kMillisecond;    // changes within it are sent together
    std::size_t maxReaders = 4096;
    std::size_t maxUnsent = 1024 * 1024;  // bytes of a reader's response that its kernel has not taken
    std::size_t maxTombstones = ListState::kDefaultTombstones;
    std::uint64_t seed = 1;
    std::set<Safeguard> disabledSafeguards;  // only to prove that a test finds the absence

    bool has(Safeguard safeguard) const { return !disabledSafeguards.contains(safeguard); }
};

}  // namespace poppyscale::endpoint_distribution
