// Start times of servers, recorded on a wall clock that is stepped and converted to a monotonic
// clock.
#include "discovery/server_start_times.hpp"

#include <doctest/doctest.h>

#include "fixtures.hpp"

using namespace poppyscale;
using discovery::ServerStartTimes;

namespace {

constexpr Nanos kSecond = 1'000 * test::ms;
constexpr Nanos kHour = 3'600 * kSecond;
constexpr std::int64_t kWallBegin = 1'700'000'000'000;  // ms

// A router's monotonic clock and the wall clock that all machines share.
struct Clocks {
    Nanos now = 100 * kHour;
    Nanos wallClockShift = 0;  // sum of the steps of the wall clock so far
    ServerStartTimes times;

    std::int64_t wallMs() const { return kWallBegin + (now + wallClockShift) / test::ms; }
    void sampleOffset() { times.recordClockOffset(now, now - wallMs() * test::ms); }
    void advance(Nanos time) {
        for (; time > 0; time -= 100 * test::ms) {
            now += std::min<Nanos>(time, 100 * test::ms);
            sampleOffset();
        }
    }
    void stepWallClock(Nanos by) { wallClockShift += by; }
    void receiveList() { sampleOffset(); }
    Nanos ageOf(const char* server, std::int64_t startedMs) {
        return now - times.startTimeOf(server, startedMs, now);
    }
};

bool isNear(Nanos a, Nanos b) { return std::abs(a - b) <= 2 * ServerStartTimes::kTolerance; }

}  // namespace

// A step of the wall clock makes a server look older than it is. Counted as warmed up, the server
// would get more load than its cold cache can take.
TEST_CASE(
    "a server never counts as older than it is after a step of the wall clock before or after its start") {
    for (const Nanos step : {-kHour, -5 * kSecond, -kSecond, Nanos{0}, kSecond, 5 * kSecond, kHour}) {
        for (const bool startsFirst : {true, false}) {
            CAPTURE(step);
            CAPTURE(startsFirst);
            Clocks clocks;
            clocks.receiveList();
            clocks.advance(20 * kSecond);
            if (!startsFirst) clocks.stepWallClock(step);
            clocks.advance(kSecond);
            const std::int64_t started = clocks.wallMs();
            clocks.advance(kSecond);
            if (startsFirst) clocks.stepWallClock(step);
            clocks.advance(kSecond);
            clocks.receiveList();
            // After a step shorter than the server's age two readings are possible, and the lower
            // age counts.
            const Nanos age = clocks.ageOf("a", started);
            CHECK(age <= 2 * kSecond + ServerStartTimes::kTolerance);
            CHECK(age >=
                  (std::abs(step) == kSecond ? kSecond : 2 * kSecond) - 2 * ServerStartTimes::kTolerance);
            // A known start keeps its time, whatever the wall clock does afterwards.
            clocks.stepWallClock(-3 * step);
            clocks.advance(10 * kSecond);
            clocks.receiveList();
            CHECK(isNear(clocks.ageOf("a", started), age + 10 * kSecond));
        }
    }
}

TEST_CASE("a start in the future counts from when it becomes known; an old start is old in every list") {
    Clocks clocks;
    clocks.receiveList();
    CHECK(clocks.ageOf("future", clocks.wallMs() + 3'600'000) == 0);
    CHECK(isNear(clocks.ageOf("old", clocks.wallMs() - 3'600'000), kHour));
    clocks.advance(30 * kSecond);
    clocks.receiveList();
    // A server that is put back on the list without a restart keeps its old start.
    CHECK(isNear(clocks.ageOf("added", clocks.wallMs() - 3'600'000), kHour));
    CHECK(clocks.ageOf("always", 0) == clocks.now);
}

TEST_CASE("after two steps between two lists, the lowest age whose start is not in the future counts") {
    Clocks clocks;
    clocks.receiveList();
    clocks.advance(kSecond);
    clocks.stepWallClock(-10 * kSecond);
    clocks.advance(kSecond);
    const std::int64_t started = clocks.wallMs();
    clocks.advance(kSecond);
    clocks.stepWallClock(kHour);
    clocks.advance(kSecond);
    clocks.receiveList();
    CHECK(isNear(clocks.ageOf("a", started), 2 * kSecond));
}

TEST_CASE("a server listed again with the same start time keeps its age; a new start time resets it") {
    Clocks clocks;
    clocks.receiveList();
    const std::int64_t first = clocks.wallMs() - 60'000;
    CHECK(isNear(clocks.ageOf("a", first), 60 * kSecond));
    clocks.advance(5 * kSecond);
    const std::int64_t second = clocks.wallMs();
    clocks.advance(kSecond);
    clocks.receiveList();
    CHECK(isNear(clocks.ageOf("a", second), kSecond));
    clocks.times.forget("a");
    CHECK(isNear(clocks.ageOf("a", second), kSecond));
}
