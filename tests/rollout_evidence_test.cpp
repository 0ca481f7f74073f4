// Tests of the evidence by which a staged rollout is judged, and of reading instances' metrics.
#include <doctest/doctest.h>

#include <cmath>
#include <random>

#include "rollout/decaying_statistics.hpp"
#include "rollout/evidence.hpp"
#include "rollout/messages_codec.hpp"

using namespace poppyscale;
using namespace poppyscale::rollout;

namespace {

constexpr Nanos s = 1'000 * kMillisecond;

}  // namespace

// A test statistic that is read again and again gives false alarms far above its nominal rate,
// unless it is sequential. Over 400 random runs, the evidence must stay within the bound and still
// detect harm soon.
TEST_CASE("Evidence that is read after every window gives few false alarms and detects harm soon") {
    int falseAlarms = 0;
    int detections = 0;
    double windowsUntilDetected = 0;
    const double bound = std::log(100);
    for (unsigned seed = 0; seed < 400; ++seed) {
        std::mt19937 random(seed);
        Evidence same(1.2, 0.002);
        Evidence worse(1.2, 0.002);
        std::binomial_distribution<int> changedBad(20, 0.004);
        std::binomial_distribution<int> unchangedBad(400, 0.004);
        std::binomial_distribution<int> harmedBad(20, 0.044);
        bool isFalseAlarm = false;
        bool isDetected = false;
        for (int window = 0; window < 300; ++window) {
            const double unchanged = unchangedBad(random);
            same.add({static_cast<double>(changedBad(random)), 20, unchanged, 400}, 0.004, 1);
            if (!isDetected)
                worse.add({static_cast<double>(harmedBad(random)), 20, unchanged, 400}, 0.004, 1);
            if (same.logValue() > bound) isFalseAlarm = true;
            if (!isDetected && worse.logValue() > bound) {
                isDetected = true;
                windowsUntilDetected += window;
            }
        }
        if (isFalseAlarm) ++falseAlarms;
        if (isDetected) ++detections;
    }
    CHECK(falseAlarms <= 4);  // the bound allows one in a hundred
    CHECK(detections == 400);
    CHECK(windowsUntilDetected / 400 < 30);
}

// A fault of the whole fleet and differences between instances both look like harm if each event is
// taken to be independent. Either would stop a harmless rollout.
TEST_CASE("A fault on both sides is no evidence, and differences between instances weaken evidence") {
    std::mt19937 random(3);
    Evidence evidence(1.2, 0.002);
    for (int window = 0; window < 100; ++window) {
        const double badShare = window > 50 ? 0.4 : 0.002;
        std::binomial_distribution<int> changedBad(30, badShare);
        std::binomial_distribution<int> unchangedBad(300, badShare);
        const double changed = changedBad(random);
        const double unchanged = unchangedBad(random);
        evidence.add({changed, 30, unchanged, 300}, 0.002, 1);
    }
    CHECK(evidence.logValue() < std::log(100));
    Evidence uniform(1.2, 0);
    Evidence overdispersed(1.2, 0);
    for (int window = 0; window < 20; ++window) {
        uniform.add({3, 100, 3, 300}, 0.01, 1);
        overdispersed.add({3, 100, 3, 300}, 0.01, 5);
    }
    CHECK(overdispersed.logValue() < uniform.logValue() / 3);
    Overdispersion overdispersion(30 * s);
    for (int i = 0; i < 6; ++i) overdispersion.add(s, i, i == 0 ? 60 : 10, 18);
    CHECK(overdispersion.value() > 5);
    // Without bad events, the confidence bound has a closed form.
    CHECK(upperConfidenceBound(0, 200, 0.02) == doctest::Approx(1 - std::pow(0.02, 1.0 / 200)));
}

// Counters restart with a new process, and an old program or a corrupt answer may report anything.
// Taken as numbers, such metrics would count as a window with good results.
TEST_CASE("Metrics are unknown if a counter falls, a value is implausible, or process or format differ") {
    nlohmann::json json{{"format", 1},
                        {"pid", 7},
                        {"up_ms", 1000},
                        {"relays", 5},
                        {"origin_relays", 1},
                        {"relays_errored", 0},
                        {"relays_timed_out", 0},
                        {"relays_cut", 0},
                        {"relays_turned_away", 0},
                        {"relays_found_dead", 0},
                        {"links_opened", 2},
                        {"memory_kb", 10},
                        {"descriptors", 3},
                        {"links", 1},
                        {"open", 0},
                        {"caches_ready", 1},
                        {"caches_listed", 1},
                        {"longest_turn_us", 4},
                        {"new_in_a_later_version", true},
                        {"verbs",
                         {{"read",
                           {{"taken", 4},
                            {"in_goal", 3},
                            {"late", 1},
                            {"declined", {{"full", 0}, {"another", 2}}},
                            {"terminated", 0},
                            {"left", 0},
                            {"times_from", -1},
                            {"times", {1, 0, 3}}}}}}};
    const auto first = readInstanceMetrics(json);
    REQUIRE(first);
    CHECK(first->requestClasses.at("read").rejected == 2);
    auto next = json;
    next["up_ms"] = 2000;
    next["relays"] = 9;
    CHECK(windowOf(*first, *readInstanceMetrics(next), s)->attempts == 4);
    CHECK_FALSE(windowOf(*first, *readInstanceMetrics(next), -s));  // the instance's clock is ahead
    next["relays"] = 4;
    CHECK_FALSE(windowOf(*first, *readInstanceMetrics(next), s));
    next["relays"] = 9;
    next["pid"] = 8;
    CHECK_FALSE(windowOf(*first, *readInstanceMetrics(next), s));
    next["format"] = 2;
    CHECK_FALSE(readInstanceMetrics(next));
    CHECK_FALSE(readInstanceMetrics({{"error", "unknown request 'figures'"}}));
    json["memory_kb"] = -1;
    CHECK_FALSE(readInstanceMetrics(json));
}
