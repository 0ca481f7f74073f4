// When calls for the server list are begun, and how long each is kept. Free of I/O.
//
// What it promises, for a source of the list that answers at all:
// - Progress: a call is never given up because another one is due. A call without an answer stays out beside
//   newer ones until its own bound, so a source that needs longer than the interval between two calls is
//   heard all the same.
// - Freshness: while the list can't be had, a new call begins at the latest kLongestInterval after the last
// one
//   began, and kLongestPause after one that failed. With a source that takes up to 3.6 s to answer, a change
//   is known within 6 s.
// - Load: at most kMostCalls are out at a time. Calls that fail at once are repeated by a router of a fleet
// of
//   n after kPausePerRouter * n on the mean at most, within kShortestPause and kLongestPause: up to 300
//   routers make at most 270 calls a second together, however few they are.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

#include "logic.hpp"

namespace poppyscale::sources {

constexpr std::size_t kMostCalls = 4;
// Past its wait at the source, a call that has brought nothing is ended by then, its connection included.
constexpr Nanos kLongestSilence = 6'500 * kMillisecond;
// An answer that has begun may go on for as long as bytes come at least this often,
constexpr Nanos kLongestStall = 2'500 * kMillisecond;
// and up to this long past the wait.
constexpr Nanos kLongestAnswer = 15'000 * kMillisecond;
// A watch that has not answered so long after its wait is over is taken for silent: whatever the source had
// to tell counts as told 2 s after the wait, and the rest of these is for another call.
constexpr Nanos kWatchGrace = 1'000 * kMillisecond;
// Between two calls of which the first has no answer yet.
constexpr Nanos kLongestInterval = 2'200 * kMillisecond;
constexpr Nanos kShortestInterval = 1'800 * kMillisecond;
// A connection is up within this time, or another one is tried beside it.
constexpr Nanos kConnectInterval = 1'000 * kMillisecond;
// After a call that failed.
constexpr Nanos kShortestPause = 500 * kMillisecond;
constexpr Nanos kLongestPause = 1'500 * kMillisecond;
constexpr Nanos kPausePerRouter = 5 * kMillisecond;

class CallPacing {
  public:
    // `routers` is the size of the fleet that asks the same source.
    CallPacing(std::int64_t routers, std::uint64_t seed);

    void setRouters(std::int64_t routers) { routers_ = routers; }
    // Before the next call after one that failed; a random half of it is left out, so that routers that
    // failed together don't ask together.
    Nanos pauseAfterFailure();
    // Between the begins of two calls while none is answered.
    Nanos intervalWithoutAnswer();
    // How long a watch may wait at the source. All routers call again with each change: were their waits over
    // together, watches that died together would be opened anew together.
    Nanos watchWait(Nanos longest);

  private:
    Nanos draw(Nanos least, Nanos most);

    std::int64_t routers_;
    std::mt19937 random_;
};

}  // namespace poppyscale::sources
