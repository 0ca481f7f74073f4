// Decides which of several sources of the endpoint list a router polls, and when. Free of I/O:
// failures, responses and times come in, the next attempt comes out.
//
// Guarantees:
// - Stickiness: the current source changes only after a failure of the current source.
// - Spread: the order of the sources is a random permutation by the router's seed, so that routers
//   spread over the sources, and the routers that lose one spread over the others.
// - Jitter: the pause after the loss of a source is random within kLossJitter, so that routers that
//   lose a source together don't arrive at another one together.
// - Bound: if at least one source works, its response arrives within kRecoveryBound after the
//   failure is detected, provided that each attempt ends within its timeout and the working source
//   responds within that timeout. This holds for the first round of an outage, in which each source
//   is polled once, the lost one last.
// - Backoff: after the first round, each source is polled again after a backoff of its own: a
//   random time between half and all of a limit that doubles with each failure, up to kMaxBackoff.
//   Timeouts grow up to kMaxTimeout, for slow sources.
// - Versions never fall: a list older than the known one is refused until, within one outage, every
//   source has offered an older one, which means that discovery has lost its state. A source that
//   can't be polled has offered nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <set>
#include <vector>

#include "base/time.hpp"

namespace poppyscale::discovery {

constexpr std::size_t kMaxSources = 8;  // with more, the timeouts of the first round would be too short
constexpr Nanos kRecoveryBound = 2'000 * kMillisecond;
// Longest pause before the first attempt after a loss.
constexpr Nanos kLossJitter = 500 * kMillisecond;
// Longest pause before each further attempt of the first round.
constexpr Nanos kRoundJitter = 50 * kMillisecond;
// Longest pause after a source's first failure in an outage.
constexpr Nanos kFirstBackoff = 500 * kMillisecond;
constexpr Nanos kMaxBackoff = 4'000 * kMillisecond;
constexpr Nanos kMaxTimeout = 2'000 * kMillisecond;  // limit of the timeout of one attempt

// The mechanisms behind the guarantees above. Only tests disable one, to prove that the check of its
// guarantee then fails.
enum class Safeguard : std::uint8_t { stickiness, spread, jitter, bound, backoff, versionGuard };

struct Attempt {
    std::size_t source = 0;  // index into the sources, in the order of the configuration
    Nanos at = 0;            // when the attempt begins
};

enum class ListVerdict : std::uint8_t {
    usable,
    older,     // refused: poll another source
    allOlder,  // every source offers an older one: apply a complete list, whatever its version
};

class SourceSelector {
  public:
    // `count`: from 1 to kMaxSources.
    SourceSelector(std::size_t count, std::uint64_t seed, std::set<Safeguard> disabled = {});

    std::size_t count() const { return sources_.size(); }
    std::size_t current() const { return order_[position_]; }
    // True if the current source has responded since it was chosen.
    bool isConfirmed() const { return isConfirmed_; }
    // How long an attempt at an unconfirmed source may take, from connecting to the complete
    // response.
    Nanos attemptTimeout() const;

    // Makes a source current that responds already: after the sources were replaced, or when its
    // response arrives while another one is being tried.
    void resumeAt(std::size_t source);
    // The attempt at the current source failed, or its connection was lost. Returns the next
    // attempt: at another source, or at the same one if the backoff of the others ends later.
    Attempt onFailed(Nanos now);
    // A response of the current source was accepted, even if it contains no change. Ends the
    // outage.
    void onResponded();
    // Compares the version that the current source offers with the known one.
    ListVerdict judgeVersion(std::int64_t offered, std::int64_t known);

  private:
    struct Source {
        int failures = 0;  // within this outage
        Nanos retryAt = 0;
        bool hasOfferedOlder = false;
    };

    bool isEnabled(Safeguard safeguard) const { return !disabled_.contains(safeguard); }
    bool isFirstRound() const { return failures_ <= count(); }
    Nanos firstTimeout() const;
    Nanos randomBetween(Nanos min, Nanos max);
    Nanos backoffAfter(int failures);
    Nanos firstRoundPause();
    void moveToEarliestRetry();

    std::set<Safeguard> disabled_;
    std::mt19937_64 random_;
    std::vector<Source> sources_;
    std::vector<std::size_t> order_;
    std::size_t position_ = 0;
    std::size_t failures_ = 0;  // failures of all sources within this outage
    bool isConfirmed_ = false;
};

}  // namespace poppyscale::discovery
