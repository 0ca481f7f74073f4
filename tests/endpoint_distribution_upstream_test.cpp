// Tests of how a distributor handles its upstreams: older lists, epochs, lost versions, failures,
// pauses.
#include <doctest/doctest.h>

#include "endpoint_distribution_fixture.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

// An upstream that lags behind would otherwise take readers back to an outdated list.
TEST_CASE("Rejects an older list until every upstream has sent an older one") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Fixture fixture(optionsOf(2, std::move(disabled)));
        fixture.upstreamResponds(update(9, true, {entryText("a")}));
        fixture.poll(1, 9);
        fixture.upstreamResponds(update(4, false, {}));
        fixture.advance(200 * ms);
        // The distributor requests the complete list, to find out whether the upstream has lost its
        // versions.
        const bool hasRequestedCompleteList = !fixture.lastPoll().after && fixture.lastPoll().index == 0;
        fixture.upstreamResponds(update(4, true, {}));
        fixture.advance(200 * ms);
        const bool hasPolledNext = !fixture.lastPoll().after && fixture.lastPoll().index == 1;
        const bool isUnchanged = fixture.distributor.version() == 9;
        fixture.upstreamResponds(update(9, true, {entryText("a")}));
        fixture.advance(2 * kSecond);
        return hasRequestedCompleteList && hasPolledNext && isUnchanged && !fixture.take(1) &&
               fixture.distributor.status(fixture.now).epochs == 0;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::olderList}));
}

// Readers would keep an outdated list for ever if older lists were rejected after discovery has
// lost its versions.
TEST_CASE("Begins a new epoch with the complete list when every upstream has lost its versions") {
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
    CHECK_FALSE(fixture.take(1));  // held for kEpochGrace: a faster distributor may have served it
    fixture.advance(kEpochGrace);
    const auto received = fixture.takeList(1);
    CHECK(received.version == 4);
    CHECK(received.isComplete);
    CHECK(idsOf(received) == Ids{"c"});
    // A reader of the old epoch gets the complete list also if its version is below the new one.
    fixture.poll(2, 3);
    CHECK(fixture.takeList(2).isComplete);
}

// A distributor started after discovery lost its versions sees no decrease of them at its
// upstreams. Readers that kept the old version would be held for ever.
TEST_CASE("Detects readers' versions that no upstream has any more, even if it never had them itself") {
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
                const bool isPollOver = fixture.now - fixture.lastPoll().at >= fixture.lastPoll().wait;
                if (isPollOver) fixture.upstreamResponds(update(5, false, {}));
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

// The unreachable upstream may have the version. The check that waits for it must not poll the
// reachable one in a busy loop.
TEST_CASE("Treats no version as lost and limits the polls while one upstream is unreachable") {
    Options options = optionsOf(2);
    options.upstreamWait = 1 * kSecond;
    Fixture fixture(options);
    fixture.upstreamResponds(update(5, true, {entryText("a")}));
    const std::size_t pollsBefore = fixture.host.polls.size();
    for (int step = 0; step < 300; ++step) {
        if (step % 10 == 0) fixture.poll(1, 100'000, 900 * ms);
        const bool isPollOver = fixture.now - fixture.lastPoll().at >= fixture.lastPoll().wait;
        if (fixture.lastPoll().index == 1)
            fixture.upstreamFails();
        else if (isPollOver)
            fixture.upstreamResponds(update(5, false, {}));
        fixture.advance(100 * ms);
        if (const auto response = fixture.take(1)) CHECK(readListUpdate(*response->body).version == 100'000);
    }
    // In 30 s: one long poll every 0.5 to 1 s, and one check of the upstreams every 2 s.
    CHECK(fixture.host.polls.size() - pollsBefore < 120);
}

// Readers would get no changes while the present upstream is down, or would get a complete list
// each time.
TEST_CASE("Polls the next upstream after a failure, for changes since the present version") {
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

// An upstream that stops responding without closing the connection would block all changes.
TEST_CASE("Gives up a poll that times out and ignores a late response") {
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

// With a fixed timeout no response of a discovery that is always slower would ever be accepted.
TEST_CASE("Grows the response timeout while discovery is slow and resets it later") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Options options = optionsOf(1, std::move(disabled));
        options.upstreamWait = 1 * kSecond;
        Fixture fixture(options);
        fixture.upstreamResponds(update(1, true, {entryText("a")}));
        Version version = 1;
        Nanos respondedAt = 0;
        Nanos longest = 0;
        std::size_t answeredPolls = 0;
        for (int step = 0; step < 1'200; ++step) {
            fixture.advance(50 * ms);
            // Each response arrives 2.5 s after the poll's wait.
            const auto lastPoll = fixture.lastPoll();
            const bool isDue = fixture.now - lastPoll.at >= lastPoll.wait + 2'500 * ms;
            if (!isDue || answeredPolls == fixture.host.polls.size()) continue;
            answeredPolls = fixture.host.polls.size();
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
    fixture.advance(10 * kSecond);  // several polls time out
    const auto respondInTime = [&](Nanos duration) {
        for (const Nanos until = fixture.now + duration; fixture.now < until; fixture.advance(100 * ms))
            if (fixture.now - fixture.lastPoll().at >= fixture.lastPoll().wait)
                fixture.upstreamResponds(update(1, false, {}));
    };
    const auto timesOutAfter = [&](Nanos time) {
        fixture.upstreamResponds(update(1, false, {}));
        fixture.advance(fixture.lastPoll().wait + time);
        return !fixture.distributor.status(fixture.now).lastFailure.empty();
    };
    respondInTime(kResponseTimeoutRetention / 2);
    CHECK_FALSE(timesOutAfter(kMaxResponseTimeout - 1));
    respondInTime(2 * kResponseTimeoutRetention);
    CHECK(timesOutAfter(kResponseTimeout));
}

// A poll for changes would get the same malformed response again and again.
TEST_CASE("Requests the complete list after malformed changes") {
    Fixture fixture(optionsOf(1));
    fixture.upstreamResponds(update(5, true, {entryText("a")}));
    fixture.upstreamFails(Distributor::Failure::malformed);
    fixture.advance(kMinBackoff);
    CHECK_FALSE(fixture.lastPoll().after);
    // Changes are malformed too while there is no list to apply them to.
    Fixture fresh(optionsOf(1));
    fresh.upstreamResponds(update(5, false, {entryText("a")}));
    CHECK_FALSE(fresh.distributor.status(fresh.now).lastFailure.empty());
    CHECK(fresh.distributor.version() == 0);
}

// Many distributors that retry at the same moments would overload an upstream that has just come
// back.
TEST_CASE("Grows the pauses from 100 ms to 1 s, with jitter and divided by the number of upstreams") {
    const auto pausesOf = [](std::size_t upstreams, std::uint64_t seed, std::set<Safeguard> disabled) {
        Options options = optionsOf(upstreams, std::move(disabled));
        options.seed = seed;
        Fixture fixture(options);
        std::vector<Nanos> pauses;
        for (int failure = 0; failure < 8; ++failure) {
            const Nanos from = fixture.now;
            const auto count = fixture.host.polls.size();
            fixture.upstreamFails();
            fixture.advanceTo(fixture.host.wakeupAt);
            CHECK(fixture.host.polls.size() == count + 1);
            pauses.push_back(fixture.now - from);
        }
        return pauses;
    };
    const auto pauses = pausesOf(1, 1, {});
    for (std::size_t i = 0; i < pauses.size(); ++i) {
        const Nanos maxPause = std::min(kMinBackoff << i, kMaxBackoff);
        CHECK(pauses[i] <= maxPause);
        CHECK(pauses[i] >= maxPause / 2);
    }
    CHECK(pausesOf(4, 1, {}).back() <= kMaxBackoff / 4);
    CHECK(pausesOf(1, 1, {}) != pausesOf(1, 2, {}));
    // Without jitter all distributors retry at the same moments.
    CHECK(pausesOf(1, 1, {Safeguard::backoffJitter}) == pausesOf(1, 2, {Safeguard::backoffJitter}));
}

// Routers have to work with the last known list during an outage of discovery, and need to see its
// age.
TEST_CASE("Answers readers and reports the list's age while no upstream is reachable") {
    Fixture fixture(optionsOf(1));
    fixture.upstreamResponds(update(5, true, {entryText("a")}), 300 * ms);
    fixture.upstreamFails();
    for (int failure = 0; failure < 40; ++failure) {
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

// An upstream distributor that has lost its connection to discovery still responds. Without this
// check its readers would stay with it although another upstream has newer lists.
TEST_CASE("Accepts the list of an upstream whose list is stale, then polls the next upstream") {
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
