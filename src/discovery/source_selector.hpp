// Which of several sources of the endpoint list a router polls, and when. Free of I/O: failures, responses
// and time come in, the next attempt comes out.
//
// Guarantees:
// - Stickiness: the current source changes only by a failure of the current source.
// - Spread: the order of the sources is a random permutation by the router's seed, so that routers spread
// over the sources, and
//   those that lose one spread over the others.
// - Jitter: the pause after a loss is random within kLossJitter, so that routers that lose a source together
// don't arrive at
//   another one together.
// - Bound: with any one of the sources alive, its response arrives within kRecoveryBound of the failure being
// noticed, if each
//   attempt ends within its timeout and the living source responds within it. This holds for the first round
//   of an outage, in which each source is polled once, the lost one last.
// - Backoff: from then on a source is polled again after a pause of its own, doubled with each failure up to
// kMaxBackoff, of which
//   a random half is left out; timeouts grow up to kMaxTimeout for slow sources.
// - Versions never fall: a list older than the known one is refused until, within one outage, every source
// has offered an older
//   one; discovery has lost its state by then. A source that can't be polled has offered nothing.
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
constexpr Nanos kLossJitter = 500 * kMillisecond;    // before the first attempt after a loss
constexpr Nanos kRoundJitter = 50 * kMillisecond;    // before each further attempt of the first round
constexpr Nanos kFirstBackoff = 500 * kMillisecond;  // of one source, after its first failure in an outage
constexpr Nanos kMaxBackoff = 4'000 * kMillisecond;
constexpr Nanos kMaxTimeout = 2'000 * kMillisecond;  // of one attempt

// What the guarantees rest on. One is disabled only to prove that its test finds the difference.
enum class Safeguard : std::uint8_t { stickiness, spread, jitter, bound, backoff, versionGuard };

struct Attempt {
    std::size_t source = 0;  // index into the sources, in the order of the configuration
    Nanos at = 0;            // when it begins
};

enum class ListVerdict : std::uint8_t {
    usable,
    older,     // refused: poll another source
    allOlder,  // every source offers an older one: a complete list has to be applied, whatever its version
};

class SourceSelector {
  public:
    // `count` is from 1 to kMostSources.
    SourceSelector(std::size_t count, std::uint64_t seed, std::set<Safeguard> disabled = {});

    std::size_t count() const { return sources_.size(); }
    std::size_t current() const { return order_[position_]; }
    // The current source has responded since it was chosen.
    bool isConfirmed() const { return confirmed_; }
    // How long an attempt at a source that is not confirmed may take, from connecting to its response.
    Nanos attemptTimeout() const;

    // Goes on with a source that responds already, after the sources were replaced.
    void resumeAt(std::size_t source);
    // The attempt at the current source failed, or its connection was lost. The next one is at another
    // source, or at the same one when the others' backoff is longer.
    Attempt onFailed(Nanos now);
    // A response of the current source was applied, if only that nothing has changed.
    void onAnswered();
    // Judges the version that the current source offers against the known one.
    ListVerdict judgeVersion(std::int64_t offered, std::int64_t known);

  private:
    struct Source {
        int failures = 0;  // within this outage
        Nanos retryAt = 0;
        bool offeredOlder = false;
    };

    bool isEnabled(Safeguard safeguard) const { return !disabled_.contains(safeguard); }
    bool isFirstRound() const { return failures_ <= count(); }
    Nanos firstTimeout() const;
    Nanos randomBetween(Nanos min, Nanos max);
    Nanos backoffAfter(int failures);
    Nanos pauseOfFirstRound();
    void moveToEarliestRetry();

    std::set<Safeguard> disabled_;
    std::mt19937_64 random_;
    std::vector<Source> sources_;
    std::vector<std::size_t> order_;
    std::size_t position_ = 0;
    std::size_t failures_ = 0;  // of all sources within this outage
    bool confirmed_ = false;
};

}  // namespace poppyscale::discovery
