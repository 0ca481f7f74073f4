// When calls for the server list are begun, and how long each is kept. Free of I/O.
//
// What it promises, for a source of the list that answers at all:
// - Progress: a call is never given up because another one is due. A call without an answer stays out beside
//   newer ones until its own bound, so a source that needs longer than the interval between two calls is
//   heard all the same. A source that refuses calls is crowded, and may end a call when the same router makes
//   another: from a refusal until some prompt answers a call is left alone for kCrowdedInterval.
// - Freshness: while the list can't be had, a new call begins at the latest kLongestInterval after the last
//   one began (kCrowdedInterval at a crowded source), and kLongestPause after one that failed
//   (kLongestRefusedPause after one that was refused). With a source that takes up to 3.6 s to answer and
//   refuses nothing, a change is known within 6 s.
// - Room for others: a router holds no watch at a crowded source, whose answers to it would take turns from
//   routers that have no list at all; it asks once in kCrowdedPeriod instead.
// - Load: at most kMostCalls are out at a time. Refusing costs a source work, so a refused call is repeated
//   after kShortestRefusedPause at least. Calls that fail otherwise are repeated by a router of a fleet of n
//   after kPausePerRouter * n, within kShortestPause and kLongestPause, a random half of it left out: up to
//   300 routers make at most 270 calls a second together, however few they are.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

#include "policy/routing_policy.hpp"

namespace poppyscale::discovery {

constexpr std::size_t kMaxConcurrentPolls = 4;
// Past its wait at the source, a call that has brought nothing is ended by then, its connection included.
constexpr Nanos kMaxSilence = 6'500 * kMillisecond;
// An answer that has begun may go on for as long as bytes come at least this often,
constexpr Nanos kMaxStall = 2'500 * kMillisecond;
// and up to this long past the wait.
constexpr Nanos kMaxResponseDuration = 15'000 * kMillisecond;
// A watch that has not answered so long after its wait is over is taken for silent: whatever the source had
// to tell counts as told 2 s after the wait, and the rest of these is for another call.
constexpr Nanos kLongPollGrace = 1'000 * kMillisecond;
// Between two calls of which the first has no answer yet.
constexpr Nanos kMaxInterval = 2'200 * kMillisecond;
constexpr Nanos kMinInterval = 1'800 * kMillisecond;
// The same at a crowded source: over the 3 to 4.5 s that one takes for the calls ahead, and short enough for
// another call within 6 s.
constexpr Nanos kCrowdedInterval = 4'600 * kMillisecond;
// From the begin of a call at a crowded source that was answered to the begin of the next one.
constexpr Nanos kCrowdedPeriod = 5'000 * kMillisecond;
// From a prompt answer of one to the next call, which shows whether there is room again.
constexpr Nanos kPromptPause = 500 * kMillisecond;
// An answer within this time is that of a source that has room.
constexpr Nanos kPromptResponseTime = 1'000 * kMillisecond;
// How many prompt answers in a row show that there is room again: one, and twice as many each time that it
// was crowded again soon after.
constexpr int kMaxPromptAnswers = 4;
constexpr Nanos kCrowdedAgainWithin = 15'000 * kMillisecond;
// After a call that a crowded source refused: refusing costs it work too, and calls that come sooner take it
// from those that are let in.
constexpr Nanos kMinRefusedPause = 1'500 * kMillisecond;
constexpr Nanos kMaxRefusedPause = 3'000 * kMillisecond;
// After a call that failed otherwise.
constexpr Nanos kFirstPause = 500 * kMillisecond;   // by a router that has just heard of the list
constexpr Nanos kUrgentAge = 4'000 * kMillisecond;  // since then; from here on the pause is the shortest one
constexpr Nanos kMinPause = 400 * kMillisecond;
constexpr Nanos kMaxPause = 1'500 * kMillisecond;
constexpr Nanos kPausePerRouter = 5 * kMillisecond;

class PollPacing {
  public:
    // `routers` is the size of the fleet that asks the same source.
    // A source may count as crowded where routers ask it by turns and there is no other one; where changes
    // count as told at once, or another source can be asked, it never does.
    PollPacing(std::int64_t routers, std::uint64_t seed, bool mayBeCrowded);
    void setMayBeCrowded(bool may);

    void setRouterCount(std::int64_t routers) { routerCount_ = routers; }
    // Before the next call after one that failed, the list having been heard of `age` ago. Drawn, so that
    // routers that failed together don't ask together.
    Nanos pauseAfterFailure(Nanos age);
    // The source has refused a call, or has answered one after so long.
    void onRefused(Nanos now);
    void onAnswered(Nanos now, Nanos after);
    bool isCrowded() const { return promptAnswersLeft_ > 0; }
    // Between the begins of two calls while none is answered.
    Nanos intervalWithoutAnswer();
    // How long a watch may wait at the source. All routers call again with each change: were their waits over
    // together, watches that died together would be opened anew together.
    Nanos watchWait(Nanos longest);

  private:
    Nanos draw(Nanos least, Nanos most);

    std::int64_t routerCount_;
    bool mayBeCrowded_;
    int promptAnswersLeft_ = 0;  // until the source counts as one with room
    int promptAnswersNeeded_ = 1;
    Nanos hadRoomAt_ = kNever;  // since when it counts as that; kNever while it has always done so
    std::mt19937 random_;
};

}  // namespace poppyscale::discovery
