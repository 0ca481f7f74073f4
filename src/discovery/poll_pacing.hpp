// Decides when polls for the endpoint list begin, and how long each may wait at the source. Free of
// I/O.
//
// A source that rejects polls counts as overloaded until it has responded promptly a few times. An
// overloaded source may end a poll when the same router begins another one, so its polls are far
// apart.
//
// Guarantees, for a source of the list that responds at all:
// - Progress: a poll is never cancelled because another one is due. A poll without a response stays
//   in flight beside newer ones until its own timeout, so that a response is received even if it
//   takes longer than the interval between two polls. At an overloaded source that interval is
//   kOverloadedInterval.
// - Freshness: while the list is unavailable, a new poll begins at most kMaxInterval after the last
//   one began (kOverloadedInterval at an overloaded source), and at most kMaxPause after a poll
//   failed (kMaxRejectedPause after it was rejected). With a source that responds within 3.6 s and
//   rejects nothing, a change is known within 6 s.
// - Fairness: a router holds no long poll at an overloaded source, as responses to long polls would
//   delay those to routers that have no list at all. It polls once in kOverloadedPeriod instead.
// - Load: at most kMaxConcurrentPolls are in flight. Rejecting costs the source work, so a rejected
//   poll is repeated after kMinRejectedPause at the earliest. After another failure, a router in a
//   fleet of n pauses for a random time between half and all of n * kPausePerRouter, where that
//   product is limited to kMinPause..kMaxPause. Up to 300 routers together make at most 270 polls a
//   second.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

#include "base/time.hpp"

namespace poppyscale::discovery {

constexpr std::size_t kMaxConcurrentPolls = 4;
// A poll ends, and its connection is closed, when no byte of the response has arrived this long
// after the end of its wait at the source.
constexpr Nanos kMaxSilence = 6'500 * kMillisecond;
// Once the response has begun, the poll ends after kMaxStall without a further byte, and
// kMaxResponseDuration after the end of its wait at the latest.
constexpr Nanos kMaxStall = 2'500 * kMillisecond;
constexpr Nanos kMaxResponseDuration = 15'000 * kMillisecond;
// From the end of its wait until a long poll without a response is overdue. A router counts as
// notified of a change 2 s after the end of the wait, even if no response has arrived; the second
// that remains is for another poll.
constexpr Nanos kLongPollGrace = 1'000 * kMillisecond;
// From the start of a poll that has no response yet to the start of the next one.
constexpr Nanos kMaxInterval = 2'200 * kMillisecond;
constexpr Nanos kMinInterval = 1'800 * kMillisecond;
// From the start of a poll without a response to the start of the next one at an overloaded source.
// It is longer than the 3 to 4.5 s that the source needs for the polls queued before this one, and
// short enough for another poll within 6 s.
constexpr Nanos kOverloadedInterval = 4'600 * kMillisecond;
// From the start of a poll that an overloaded source responded to, to the start of the next one.
constexpr Nanos kOverloadedPeriod = 5'000 * kMillisecond;
// From a prompt response of an overloaded source to the next poll, which shows whether the source
// has capacity again.
constexpr Nanos kPromptPause = 500 * kMillisecond;
// A response within this time is prompt: the source has capacity.
constexpr Nanos kPromptResponseTime = 1'000 * kMillisecond;
// Prompt responses without a rejection in between, after which a source no longer counts as
// overloaded: one at first, and twice as many, up to this maximum, each time that the source is
// overloaded again within kOverloadedAgainWithin.
constexpr int kMaxPromptResponses = 4;
constexpr Nanos kOverloadedAgainWithin = 15'000 * kMillisecond;
// Pause after a poll that an overloaded source rejected. Polls that come sooner cost the source
// work that it needs for the polls it admits.
constexpr Nanos kMinRejectedPause = 1'500 * kMillisecond;
constexpr Nanos kMaxRejectedPause = 3'000 * kMillisecond;
// Pause after a poll that failed in another way. It is at most kFirstPause if the list is fresh;
// that limit falls to 0 at an age of kUrgentAge. The pause by the size of the fleet counts where it
// is longer.
constexpr Nanos kFirstPause = 500 * kMillisecond;
constexpr Nanos kUrgentAge = 4'000 * kMillisecond;
constexpr Nanos kMinPause = 400 * kMillisecond;
constexpr Nanos kMaxPause = 1'500 * kMillisecond;
constexpr Nanos kPausePerRouter = 5 * kMillisecond;

// Makes the decisions above for one router. They depend only on the seed and on the responses,
// rejections and times passed in. All random pauses come from one generator, in the order of the
// calls.
class PollPacing {
  public:
    // `routerCount`: routers that poll the same source. `mayBeOverloaded`: whether a source may
    // count as overloaded. False where a router counts as notified of a change as soon as the source
    // has it, or where another source can be polled instead.
    PollPacing(std::int64_t routerCount, std::uint64_t seed, bool mayBeOverloaded);
    void setMayBeOverloaded(bool mayBeOverloaded);
    void setRouterCount(std::int64_t routerCount) { routerCount_ = routerCount; }

    // The pause after a failed poll; `listAge`: time since the last usable response. Random, so
    // that routers whose polls failed together don't poll together again.
    Nanos pauseAfterFailure(Nanos listAge);
    // The source has rejected a poll.
    void onRejected(Nanos now);
    // The source has responded; `duration`: from the start of the poll to the response, minus the
    // poll's wait.
    void onResponded(Nanos now, Nanos duration);
    bool isOverloaded() const { return promptResponsesLeft_ > 0; }
    // From the start of a poll that has no response yet to the start of the next one.
    Nanos intervalWithoutResponse();
    // How long a long poll waits at the source, at most `maxWait`. Random, as all routers poll
    // again after each change: if their long polls then got no response, they would all be repeated
    // at the same time.
    Nanos longPollWait(Nanos maxWait);

  private:
    Nanos randomBetween(Nanos min, Nanos max);

    std::int64_t routerCount_;
    bool mayBeOverloaded_;
    // Number of prompt responses after which the source no longer counts as overloaded; 0 if it
    // does not count as overloaded now.
    int promptResponsesLeft_ = 0;
    int promptResponsesNeeded_ = 1;
    Nanos overloadEndedAt_ = kNever;  // when the source was last overloaded; kNever if it never was
    std::mt19937 random_;
};

}  // namespace poppyscale::discovery
