// Start times of servers, told on a wall clock that is stepped, read on a monotonic one.
#include "discovery/server_start_times.hpp"

#include <doctest/doctest.h>

#include "fixtures.hpp"

using namespace poppyscale;
using discovery::ServerStartTimes;

namespace {

constexpr Nanos kSecond = 1'000 * test::ms;
constexpr Nanos kHour = 3'600 * kSecond;
constexpr std::int64_t kWallBegin = 1'700'000'000'000;  // ms

// A router and the machines' one wall clock, which is that far off what it showed at first.
struct Clocks {
    Nanos now = 100 * kHour;
    Nanos off = 0;
    ServerStartTimes times;

    std::int64_t wallMs() const { return kWallBegin + (now + off) / test::ms; }
    void look() { times.recordClockOffset(now, now - wallMs() * test::ms); }
    void pass(Nanos time) {
        for (; time > 0; time -= 100 * test::ms) {
            now += std::min<Nanos>(time, 100 * test::ms);
            look();
        }
    }
    void step(Nanos by) { off += by; }
    void list() { look(); }
    Nanos ageOf(const char* server, std::int64_t startedMs) {
        return now - times.startOf(server, startedMs, now);
    }
};

bool isNear(Nanos a, Nanos b) { return std::abs(a - b) <= 2 * ServerStartTimes::kTolerance; }

}  // namespace

TEST_CASE(
    "a server that starts before or after a step of the wall clock is never taken for warmer than it is") {
    for (const Nanos step : {-kHour, -5 * kSecond, -kSecond, Nanos{0}, kSecond, 5 * kSecond, kHour}) {
        for (const bool startsFirst : {true, false}) {
            CAPTURE(step);
            CAPTURE(startsFirst);
            Clocks clocks;
            clocks.list();
            clocks.pass(20 * kSecond);
            if (!startsFirst) clocks.step(step);
            clocks.pass(kSecond);
            const std::int64_t started = clocks.wallMs();
            clocks.pass(kSecond);
            if (startsFirst) clocks.step(step);
            clocks.pass(kSecond);
            clocks.list();
            // A step shorter than the age leaves two readings open, of which the colder one counts.
            const Nanos age = clocks.ageOf("a", started);
            CHECK(age <= 2 * kSecond + ServerStartTimes::kTolerance);
            CHECK(age >=
                  (std::abs(step) == kSecond ? kSecond : 2 * kSecond) - 2 * ServerStartTimes::kTolerance);
            // What was heard once stays, whatever the clock does then.
            clocks.step(-3 * step);
            clocks.pass(10 * kSecond);
            clocks.list();
            CHECK(isNear(clocks.ageOf("a", started), age + 10 * kSecond));
        }
    }
}

TEST_CASE("a start in the future counts from when it is heard of, an old one is old in any list") {
    Clocks clocks;
    clocks.list();
    CHECK(clocks.ageOf("future", clocks.wallMs() + 3'600'000) == 0);
    CHECK(isNear(clocks.ageOf("old", clocks.wallMs() - 3'600'000), kHour));
    clocks.pass(30 * kSecond);
    clocks.list();
    // Put back on the list without a restart.
    CHECK(isNear(clocks.ageOf("added", clocks.wallMs() - 3'600'000), kHour));
    CHECK(clocks.ageOf("always", 0) == clocks.now);
}

TEST_CASE("two steps between two lists leave the coldest reading that is not in the future") {
    Clocks clocks;
    clocks.list();
    clocks.pass(kSecond);
    clocks.step(-10 * kSecond);
    clocks.pass(kSecond);
    const std::int64_t started = clocks.wallMs();
    clocks.pass(kSecond);
    clocks.step(kHour);
    clocks.pass(kSecond);
    clocks.list();
    CHECK(isNear(clocks.ageOf("a", started), 2 * kSecond));
}

TEST_CASE("a server that is listed again with the same start keeps it, one with a new start is new") {
    Clocks clocks;
    clocks.list();
    const std::int64_t first = clocks.wallMs() - 60'000;
    CHECK(isNear(clocks.ageOf("a", first), 60 * kSecond));
    clocks.pass(5 * kSecond);
    const std::int64_t second = clocks.wallMs();
    clocks.pass(kSecond);
    clocks.list();
    CHECK(isNear(clocks.ageOf("a", second), kSecond));
    clocks.times.forget("a");
    CHECK(isNear(clocks.ageOf("a", second), kSecond));
}
