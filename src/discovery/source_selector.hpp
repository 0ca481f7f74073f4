// Which of several sources of the server list a router asks, and when. Free of I/O: failures, answers and
// time come in, the next attempt comes out.
//
// What it promises:
// - Stickiness: the current source changes only by a failure of the current source.
// - Spread: the order in which sources are asked is drawn from the router's seed, so that routers spread
//   over the sources, and those that lose one spread over the others.
// - Jitter: the pause after a loss is drawn from kLossJitter, so that routers that lose a source together
//   don't arrive at another one together.
// - Bound: with any one of the sources alive, its answer is had within kRecoveryBound of the failure being
//   noticed, if each attempt ends within the timeout it is given and the living source answers within it.
//   This holds for the first round of an outage, in which each source is asked once, the lost one last.
// - Backoff: from then on a source is asked again after a pause of its own, doubled with each failure up to
//   kLongestBackoff, of which a random half is left out; timeouts grow up to kLongestTimeout for the slow.
// - Versions never fall: a list older than the known one is refused until, within one outage, every source
//   has told an older one; discovery has lost what it knew by then. A source that can't be asked has told
//   nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <set>
#include <vector>

#include "policy/routing_policy.hpp"

namespace poppyscale::discovery {

constexpr std::size_t kMaxSources = 8;  // with more, the first round's timeouts would be too short
constexpr Nanos kRecoveryBound = 2'000 * kMillisecond;
constexpr Nanos kLossJitter = 500 * kMillisecond;    // before the first attempt after a loss
constexpr Nanos kRoundJitter = 50 * kMillisecond;    // before each further attempt of the first round
constexpr Nanos kFirstBackoff = 500 * kMillisecond;  // of one source, after its first failure in an outage
constexpr Nanos kMaxBackoff = 4'000 * kMillisecond;
constexpr Nanos kMaxTimeout = 2'000 * kMillisecond;  // of one attempt

// What the promises rest on. One is left out only to prove that its check finds that.
enum class Safeguard : std::uint8_t { stickiness, spread, jitter, bound, backoff, versionGuard };

struct Attempt {
    std::size_t source = 0;  // index into the sources as they were given
    Nanos at = 0;            // when it begins
};

enum class ListVerdict : std::uint8_t {
    usable,
    older,     // refused: ask another source
    allOlder,  // every source tells an older one: a whole list is to be taken, whatever its version
};

class SourceSelector {
  public:
    // `count` is from 1 to kMostSources.
    SourceSelector(std::size_t count, std::uint64_t seed, std::set<Safeguard> without = {});

    std::size_t count() const { return sources_.size(); }
    std::size_t current() const { return order_[position_]; }
    // The current source has answered since it was chosen.
    bool isConfirmed() const { return confirmed_; }
    // How long an attempt at a source that is not confirmed may take, from connecting to its answer.
    Nanos attemptTimeout() const;

    // Goes on with a source that answers already, after the sources were set anew.
    void resumeAt(std::size_t source);
    // The attempt at the current source failed, or its connection was lost. The next one is at another
    // source, or at the same one when the others' backoff is longer.
    Attempt onFailed(Nanos now);
    // The current source gave a list that was taken, if only the word that nothing has changed.
    void onAnswered();
    // Judges the version that the current source offers against the known one.
    ListVerdict judgeVersion(std::int64_t offered, std::int64_t known);

  private:
    struct Source {
        int failures = 0;  // within this outage
        Nanos retryAt = 0;
        bool offeredOlder = false;
    };

    bool has(Safeguard safeguard) const { return !without_.contains(safeguard); }
    bool isFirstRound() const { return failures_ <= count(); }
    Nanos firstTimeout() const;
    Nanos draw(Nanos least, Nanos most);
    Nanos backoffAfter(int failures);
    Nanos pauseOfFirstRound();
    void moveToEarliestRetry();

    std::set<Safeguard> without_;
    std::mt19937_64 random_;
    std::vector<Source> sources_;
    std::vector<std::size_t> order_;
    std::size_t position_ = 0;
    std::size_t failures_ = 0;  // of all sources within this outage
    bool confirmed_ = false;
};

}  // namespace poppyscale::discovery
