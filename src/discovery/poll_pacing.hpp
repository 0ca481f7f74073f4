// When polls for the endpoint list begin, and how long each is kept. Free of I/O.
//
// Guarantees, for a source of the list that responds at all:
// - Progress: a poll is never given up because another one is due. A poll without a response stays in flight
// beside newer ones
//   until its own bound, so a source that takes longer than the interval between two polls is heard all the
//   same. A source that refuses polls is crowded, and may end a poll when the same router begins another:
//   after a refusal, until some prompt responses, a poll is left alone for kCrowdedInterval.
// - Freshness: while the list is unavailable, a new poll begins at most kMaxInterval after the last one began
// (kCrowdedInterval
//   at a crowded source), and at most kMaxPause after one that failed (kMaxRefusedPause after one that was
//   refused). With a source that takes up to 3.6 s to respond and refuses nothing, a change is known within 6
//   s.
// - Fairness: a router holds no long poll at a crowded source, whose responses to it would take turns from
// routers that have no
//   list at all; it polls once in kCrowdedPeriod instead.
// - Load: at most kMaxConcurrentPolls are in flight. Refusing costs a source work, so a refused poll is
// repeated after
//   kMinRefusedPause at least. Polls that fail otherwise are repeated by a router of a fleet of n after
//   kPausePerRouter * n, within kMinPause and kMaxPause, of which a random half is left out: up to 300
//   routers make at most 270 polls a second together.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

#include "base/time.hpp"

namespace poppyscale::discovery {

constexpr std::size_t kMaxConcurrentPolls = 4;
// Past its wait at the source, a poll without a byte of its response is ended after this time, its connection
// included.
constexpr Nanos kMaxSilence = 6'500 * kMillisecond;
// A response that has begun goes on while bytes arrive at least this often, and up to kMaxResponseDuration
// past the wait.
constexpr Nanos kMaxStall = 2'500 * kMillisecond;
constexpr Nanos kMaxResponseDuration = 15'000 * kMillisecond;
// A long poll without a response so long after its wait is overdue. Changes count as known 2 s after the
// wait, and the rest of these is for another poll.
constexpr Nanos kLongPollGrace = 1'000 * kMillisecond;
// Between the starts of two polls of which the first has no response yet.
constexpr Nanos kMaxInterval = 2'200 * kMillisecond;
constexpr Nanos kMinInterval = 1'800 * kMillisecond;
// The same at a crowded source: above the 3 to 4.5 s that one takes for the polls ahead, and short enough for
// another poll within 6 s.
constexpr Nanos kCrowdedInterval = 4'600 * kMillisecond;
// From the start of a poll that a crowded source responded to, to the start of the next one.
constexpr Nanos kCrowdedPeriod = 5'000 * kMillisecond;
// From a prompt response of a crowded source to the next poll, which shows whether it has capacity again.
constexpr Nanos kPromptPause = 500 * kMillisecond;
// A response within this time is prompt: the source has capacity.
constexpr Nanos kPromptResponseTime = 1'000 * kMillisecond;
// Prompt responses in a row after which a source no longer counts as crowded: one, and twice as many each
// time that it is crowded again within kCrowdedAgainWithin.
constexpr int kMaxPromptResponses = 4;
constexpr Nanos kCrowdedAgainWithin = 15'000 * kMillisecond;
// After a poll that a crowded source refused: polls that come sooner take work from those that it admits.
constexpr Nanos kMinRefusedPause = 1'500 * kMillisecond;
constexpr Nanos kMaxRefusedPause = 3'000 * kMillisecond;
// After a poll that failed otherwise.
constexpr Nanos kFirstPause = 500 * kMillisecond;  // at most, by a router whose list is fresh
constexpr Nanos kUrgentAge =
    4'000 * kMillisecond;  // of the list; from here on the first pause no longer counts
constexpr Nanos kMinPause = 400 * kMillisecond;
constexpr Nanos kMaxPause = 1'500 * kMillisecond;
constexpr Nanos kPausePerRouter = 5 * kMillisecond;

// Decides from responses, refusals and time alone. All random pauses are drawn from one generator, in the
// order of the calls.
class PollPacing {
  public:
    // `routerCount`: routers that poll the same source. `mayBeCrowded`: a source may count as crowded where
    // routers poll it in turns and there is no other one; where changes count as known at once, or another
    // source can be polled, it never does.
    PollPacing(std::int64_t routerCount, std::uint64_t seed, bool mayBeCrowded);
    void setMayBeCrowded(bool mayBeCrowded);
    void setRouterCount(std::int64_t routerCount) { routerCount_ = routerCount; }

    // The pause before the next poll after one that failed; `listAge`: since the last usable response.
    // Random, so that routers whose polls failed together don't poll together.
    Nanos pauseAfterFailure(Nanos listAge);
    // The source has refused a poll.
    void onRefused(Nanos now);
    // The source has responded, `duration` after the poll began but for its wait.
    void onAnswered(Nanos now, Nanos duration);
    bool isCrowded() const { return promptResponsesLeft_ > 0; }
    // Between the starts of two polls while none has its response.
    Nanos intervalWithoutAnswer();
    // How long a long poll waits at the source, up to `maxWait`. Random: all routers poll again with each
    // change, and long polls that became unresponsive together would otherwise be repeated together.
    Nanos longPollWait(Nanos maxWait);

  private:
    Nanos randomBetween(Nanos min, Nanos max);

    std::int64_t routerCount_;
    bool mayBeCrowded_;
    int promptResponsesLeft_ = 0;  // until the source no longer counts as crowded
    int promptResponsesNeeded_ = 1;
    Nanos hasCapacitySince_ = kNever;  // kNever while it has never been crowded
    std::mt19937 random_;
};

}  // namespace poppyscale::discovery
