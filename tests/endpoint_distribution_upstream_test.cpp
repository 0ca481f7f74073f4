// Tests of a distributor's guarantees about its upstreams: older lists, epochs, lost versions, failures,
// pauses.
#include <doctest/doctest.h>

#include "endpoint_distribution_fixture.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

TEST_CASE("an older list is rejected while any upstream has not sent an older one") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Fixture fixture(optionsOf(2, std::move(disabled)));
        fixture.upstreamResponds(update(9, true, {entryText("a")}));
        fixture.poll(1, 9);
        fixture.upstreamResponds(update(4, false, {}));
        fixture.advance(200 * ms);
        // The complete list shows whether the upstream has lost its versions.
        const bool requestedComplete = !fixture.lastPoll().after && fixture.lastPoll().index == 0;
        fixture.upstreamResponds(update(4, true, {}));
        fixture.advance(200 * ms);
        const bool polledNext = !fixture.lastPoll().after && fixture.lastPoll().index == 1;
        const bool isUnchanged = fixture.distributor.version() == 9;
        fixture.upstreamResponds(update(9, true, {entryText("a")}));
        fixture.advance(2 * kSecond);
        return requestedComplete && polledNext && isUnchanged && !fixture.take(1) &&
               fixture.distributor.status(fixture.now).epochs == 0;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::olderList}));
}

TEST_CASE("when every upstream has lost its versions a new epoch begins, and readers get the complete list") {
    Fixture fixture(optionsOf(2));
    fixture.upstreamResponds(update(9, true, {entryText("a"), entryText("b")}));
    fixture.poll(1, 9, 20 * kSecond);
    fixture.poll(2, 2, 20 * kSecond);
    fixture.take(2);
    fixture.upstreamResponds(update(4, true, {entryText("c")}));
    for (const Version version : {3, 4}) {
        fixture.advance(300 * ms);
        CHECK_FALSE(fixture.lastPoll().after);
        CHECK(fixture.distributor.version() == 9);
        fixture.upstreamResponds(update(version, true, {entryText("c")}));
    }
    CHECK(fixture.distributor.version() == 4);
    CHECK(fixture.distributor.status(fixture.now).epochs == 1);
    CHECK(fixture.distributor.status(fixture.now).olderListsRejected == 3);
    CHECK_FALSE(fixture.take(1));  // another distributor may be ahead
    fixture.advance(kEpochGrace);
    const auto received = fixture.takeList(1);
    CHECK(received.version == 4);
    CHECK(received.isComplete);
    CHECK(idsOf(received) == Ids{"c"});
    // A reader of the old epoch, whatever its version, gets the complete list.
    fixture.poll(2, 3);
    CHECK(fixture.takeList(2).isComplete);
}

TEST_CASE("a version that no upstream has any more is detected, though the distributor never had it") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Options options = optionsOf(2, std::move(disabled));
        options.upstreamWait = 1 * kSecond;
        Fixture fixture(options);
        fixture.upstreamResponds(update(5, true, {entryText("a")}));
        Nanos detectedAt = 0;
        for (int request = 0; request < 8 && !detectedAt; ++request) {
            fixture.poll(1, 100'000, 1 * kSecond);
            for (int step = 0; step < 10; ++step) {
                fixture.advance(100 * ms);
                const bool callIsOver = fixture.now - fixture.lastPoll().at >= fixture.lastPoll().wait;
                if (callIsOver) fixture.upstreamResponds(update(5, false, {}));
            }
            const auto response = fixture.takeList(1);
            if (response.isComplete) detectedAt = fixture.now;
            CHECK((response.isComplete || response.version == 100'000));
        }
        return detectedAt > options.upstreamWait + kAheadCheckDelay;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::aheadCheck}));
}

TEST_CASE(
    "while one upstream is unreachable, no version counts as lost, and the others are not polled without "
    "end") {
    Options options = optionsOf(2);
    options.upstreamWait = 1 * kSecond;
    Fixture fixture(options);
    fixture.upstreamResponds(update(5, true, {entryText("a")}));
    const std::size_t pollsBefore = fixture.host.polls.size();
    for (int step = 0; step < 300; ++step) {
        if (step % 10 == 0) fixture.poll(1, 100'000, 900 * ms);
        const bool callIsOver = fixture.now - fixture.lastPoll().at >= fixture.lastPoll().wait;
        if (fixture.lastPoll().index == 1)
            fixture.upstreamFails();
        else if (callIsOver)
            fixture.upstreamResponds(update(5, false, {}));
        fixture.advance(100 * ms);
        if (const auto response = fixture.take(1)) CHECK(readListUpdate(*response->body).version == 100'000);
    }
    CHECK(fixture.host.polls.size() - pollsBefore <
          120);  // over 30 s: a wait of half a second to one, and a check each two
}

TEST_CASE("after a failure the next upstream is polled, from the version that is here") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Fixture fixture(optionsOf(2, std::move(disabled)));
        fixture.upstreamResponds(update(5, true, {entryText("a")}));
        fixture.upstreamFails();
        fixture.advance(kMinBackoff);
        const auto lastPoll = fixture.lastPoll();
        CHECK(lastPoll.after == std::optional<Version>(5));
        CHECK(lastPoll.wait == 0);
        CHECK(fixture.distributor.status(fixture.now).lastFailure == "scripted");
        fixture.upstreamResponds(update(5, false, {}));
        CHECK(fixture.distributor.status(fixture.now).lastFailure.empty());
        CHECK(fixture.lastPoll().wait >= 5 * kSecond);
        return lastPoll.index == 1;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::failOver}));
}

TEST_CASE("a silent upstream is left in time; a response after that is ignored") {
    Fixture fixture(optionsOf(2));
    fixture.upstreamResponds(update(5, true, {entryText("a")}));
    const Nanos due = fixture.lastPoll().wait + kResponseTimeout;
    fixture.advance(due - 1);
    CHECK(fixture.distributor.status(fixture.now).lastFailure.empty());
    fixture.advance(1);
    CHECK(fixture.distributor.status(fixture.now).lastFailure == "no complete response within the timeout");
    fixture.upstreamResponds(update(6, false, {entryText("a", 2)}));
    CHECK(fixture.distributor.version() == 5);
}

TEST_CASE("a slow discovery gets a longer timeout, and a quick one the short timeout again") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Options options = optionsOf(1, std::move(disabled));
        options.upstreamWait = 1 * kSecond;
        Fixture fixture(options);
        fixture.upstreamResponds(update(1, true, {entryText("a")}));
        Version version = 1;
        Nanos respondedAt = 0;
        Nanos longest = 0;
        std::size_t answered = 0;
        for (int step = 0; step < 1'200; ++step) {
            fixture.advance(50 * ms);
            // Each response comes 2.5 s late.
            const auto lastPoll = fixture.lastPoll();
            const bool isDue = fixture.now - lastPoll.at >= lastPoll.wait + 2'500 * ms;
            if (!isDue || answered == fixture.host.polls.size()) continue;
            answered = fixture.host.polls.size();
            ++version;
            fixture.upstreamResponds(update(version, false, {entryText("a", static_cast<int>(version))}));
            longest = std::max(longest, fixture.now - respondedAt);
            respondedAt = fixture.now;
        }
        return fixture.now - respondedAt < 10 * kSecond && longest < 12 * kSecond;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::growingTimeout}));
    Options options = optionsOf(1);
    options.upstreamWait = 1 * kSecond;
    Fixture fixture(options);
    fixture.upstreamResponds(update(1, true, {entryText("a")}));
    fixture.advance(10 * kSecond);  // more than one silence
    const auto answerInTime = [&](Nanos duration) {
        for (const Nanos until = fixture.now + duration; fixture.now < until; fixture.advance(100 * ms))
            if (fixture.now - fixture.lastPoll().at >= fixture.lastPoll().wait)
                fixture.upstreamResponds(update(1, false, {}));
    };
    const auto isLeftAfter = [&](Nanos time) {
        fixture.upstreamResponds(update(1, false, {}));
        fixture.advance(fixture.lastPoll().wait + time);
        return !fixture.distributor.status(fixture.now).lastFailure.empty();
    };
    answerInTime(kResponseTimeoutRetention / 2);
    CHECK_FALSE(isLeftAfter(kMaxResponseTimeout - 1));
    answerInTime(2 * kResponseTimeoutRetention);
    CHECK(isLeftAfter(kResponseTimeout));
}

TEST_CASE("after malformed changes the complete list is requested") {
    Fixture fixture(optionsOf(1));
    fixture.upstreamResponds(update(5, true, {entryText("a")}));
    fixture.upstreamFails(Distributor::Failure::malformed);
    fixture.advance(kMinBackoff);
    CHECK_FALSE(fixture.lastPoll().after);
    // Where there is no list, changes are malformed too.
    Fixture fresh(optionsOf(1));
    fresh.upstreamResponds(update(5, false, {entryText("a")}));
    CHECK_FALSE(fresh.distributor.status(fresh.now).lastFailure.empty());
    CHECK(fresh.distributor.version() == 0);
}

TEST_CASE(
    "pauses grow from 100 ms to a second, are divided by the upstreams, and differ between distributors") {
    const auto pausesOf = [](std::size_t upstreams, std::uint64_t seed, std::set<Safeguard> disabled) {
        Options options = optionsOf(upstreams, std::move(disabled));
        options.seed = seed;
        Fixture fixture(options);
        std::vector<Nanos> pauses;
        for (int failed = 0; failed < 8; ++failed) {
            const Nanos from = fixture.now;
            const auto count = fixture.host.polls.size();
            fixture.upstreamFails();
            fixture.advanceTo(fixture.host.wakeupAt);
            CHECK(fixture.host.polls.size() == count + 1);
            pauses.push_back(fixture.now - from);
        }
        return pauses;
    };
    const auto one = pausesOf(1, 1, {});
    for (std::size_t i = 0; i < one.size(); ++i) {
        const Nanos most = std::min(kMinBackoff << i, kMaxBackoff);
        CHECK(one[i] <= most);
        CHECK(one[i] >= most / 2);
    }
    CHECK(pausesOf(4, 1, {}).back() <= kMaxBackoff / 4);
    CHECK(pausesOf(1, 1, {}) != pausesOf(1, 2, {}));
    // Without jitter all distributors return at the same moments.
    CHECK(pausesOf(1, 1, {Safeguard::backoffJitter}) == pausesOf(1, 2, {Safeguard::backoffJitter}));
}

TEST_CASE("readers are answered while no upstream is reachable, and the list's age is reported") {
    Fixture fixture(optionsOf(1));
    fixture.upstreamResponds(update(5, true, {entryText("a")}), 300 * ms);
    fixture.upstreamFails();
    for (int failed = 0; failed < 40; ++failed) {
        fixture.advance(1 * kSecond);
        fixture.upstreamFails();
    }
    fixture.poll(1, std::nullopt);
    const auto response = fixture.take(1);
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->listAgeMs == 40'300);
    CHECK(fixture.distributor.status(fixture.now).age == 40'300 * ms);
}

TEST_CASE("an upstream whose own list is stale is left, and its list is taken") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Fixture fixture(optionsOf(2, std::move(disabled)));
        fixture.upstreamResponds(update(5, true, {entryText("a")}));
        fixture.upstreamResponds(update(6, false, {entryText("b")}), 13 * kSecond);
        CHECK(fixture.distributor.version() == 6);
        fixture.advance(kMinBackoff);
        return fixture.lastPoll().index == 1;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::staleUpstream}));
}
