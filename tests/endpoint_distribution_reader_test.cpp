// Tests of a distributor's guarantees to its readers: versions, batches, slow readers, the bound, shutdown.
#include <doctest/doctest.h>

#include "endpoint_distribution_fixture.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

TEST_CASE("before there is a list readers get a Retry-After, then the complete list or the changes") {
    Fixture fixture;
    CHECK_FALSE(fixture.lastPoll().after);
    fixture.poll(1, std::nullopt);
    auto response = fixture.take(1);
    REQUIRE(response);
    CHECK(response->status == 503);
    CHECK(response->retryAfterSeconds == 1);
    fixture.upstreamResponds(update(5, true, {entryText("a")}));
    CHECK(*fixture.lastPoll().after == 5);
    fixture.poll(2, std::nullopt);
    CHECK(fixture.takeList(2).isComplete);
    fixture.poll(2, 5);
    CHECK_FALSE(fixture.take(2));
    fixture.advance(100 * ms);
    fixture.upstreamResponds(update(6, false, {entryText("a", 2)}));
    const auto received = fixture.takeList(2);
    CHECK(received.version == 6);
    CHECK_FALSE(received.isComplete);
    CHECK(idsOf(received) == Ids{"a"});
    // At the end of its wait: nothing has changed.
    fixture.poll(2, 6, 300 * ms);
    fixture.advance(299 * ms);
    CHECK_FALSE(fixture.take(2));
    fixture.advance(1 * ms);
    CHECK(fixture.takeList(2).version == 6);
}

TEST_CASE("a reader that is ahead is parked until the list is past it, and never gets a lower version") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Fixture fixture(optionsOf(1, std::move(disabled)));
        fixture.upstreamResponds(update(5, true, {entryText("a")}));
        fixture.poll(1, 7, 2 * kSecond);
        fixture.advance(2 * kSecond);
        const auto first = fixture.takeList(1);
        fixture.poll(1, 7, 2 * kSecond);
        fixture.advance(100 * ms);
        fixture.upstreamResponds(update(6, false, {entryText("a", 2)}));
        fixture.advance(100 * ms);
        const bool isEarly = fixture.take(1).has_value();
        fixture.upstreamResponds(update(8, false, {entryText("a", 3)}));
        fixture.advance(100 * ms);
        const auto last = fixture.take(1);
        const bool isLater = last && readListUpdate(*last->body).version == 8;
        return first.version == 7 && !first.isComplete && first.entries.empty() && !isEarly && isLater;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::versionGuard}));
}

TEST_CASE("changes within a batch are sent together, and a reader gets one response in a batch at most") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Options options = optionsOf(1, std::move(disabled));
        options.batchInterval = 50 * ms;
        Fixture fixture(options);
        fixture.upstreamResponds(update(1, true, {entryText("a")}));
        fixture.advance(1 * kSecond);
        Version version = 1;
        Version known = 1;
        int answers = 0;
        Nanos worst = 0;
        Nanos changedAt = 0;
        fixture.poll(1, known);
        for (int step = 0; step < 1'000; ++step) {  // a change each 10 ms
            if (!changedAt) changedAt = fixture.now;
            ++version;
            fixture.upstreamResponds(update(version, false, {entryText("a", static_cast<int>(version))}));
            for (int i = 0; i < 10; ++i) {
                if (const auto response = fixture.take(1)) {
                    ++answers;
                    worst = std::max(worst, fixture.now - changedAt);
                    changedAt = 0;
                    known = readListUpdate(*response->body).version;
                    CHECK(known >= version - 1);  // sent at the end of a step, just before this change
                    fixture.poll(1, known);
                }
                fixture.advance(1 * ms);
            }
        }
        CHECK(worst <= options.batchInterval + 1 * ms);
        return answers <= 201;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::batching}));
}

TEST_CASE("a reader that repeats its request gets one response in a batch") {
    Fixture fixture;
    fixture.upstreamResponds(update(1, true, {entryText("a")}));
    fixture.upstreamResponds(update(2, false, {entryText("a", 2)}));
    fixture.advance(1 * kSecond);
    int answers = 0;
    for (int step = 0; step < 1'000; ++step) {
        if (step % 2 == 0)
            fixture.poll(1, 1);
        else
            fixture.poll(1, std::nullopt);
        if (fixture.take(1)) ++answers;
        fixture.advance(1 * ms);
    }
    CHECK(answers <= 21);
}

TEST_CASE("a reader that does not take its response gets no further one, and is closed in bounded time") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Options options = optionsOf(1, std::move(disabled));
        options.maxUnsentBytes = 1'000;
        Fixture fixture(options);
        std::vector<std::string> entries;
        for (int i = 0; i < 100; ++i) entries.push_back(entryText("s" + std::to_string(i)));
        fixture.upstreamResponds(update(1, true, entries));
        fixture.host.slow = {1, 2};
        fixture.poll(1, std::nullopt);  // far over the bound
        fixture.poll(2, 0 + 1, 10 * ms);
        for (Version version = 2; version < 100; ++version) {
            fixture.upstreamResponds(update(version, false, {entryText("s1", static_cast<int>(version))}));
            fixture.advance(100 * ms);
            fixture.poll(1, version - 1);
            fixture.poll(2, version - 1);
            fixture.poll(3, version - 1);
            CHECK(fixture.take(3).has_value());  // the others go on
        }
        const bool bounded = fixture.host.unsent[1] < 20'000 && fixture.host.unsent[2] < 1'000;
        const bool closed = fixture.host.closed.contains(1) && fixture.host.closed.contains(2);
        return bounded && closed && fixture.distributor.status(fixture.now).slowReadersClosed == 2;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::slowReaderBound}));
}

TEST_CASE("a reader that takes its response late is answered again after that") {
    Fixture fixture;
    fixture.upstreamResponds(update(1, true, {entryText("a")}));
    fixture.host.slow = {1};
    fixture.poll(1, std::nullopt);
    fixture.take(1);
    fixture.poll(1, 1, 200 * ms);
    fixture.advance(3 * kSecond);
    CHECK_FALSE(fixture.take(1));
    fixture.distributor.onReaderBytesSent(fixture.now, 1, 0);
    fixture.host.slow.clear();
    fixture.advance(200 * ms);
    CHECK(fixture.takeList(1).version == 1);
    CHECK(fixture.host.closed.empty());
    fixture.advance(kIdleTimeout);
    CHECK(fixture.host.closed.at(1) == CloseReason::idle);
}

TEST_CASE("over the bound readers are rejected, until an admitted one disconnects") {
    Options options;
    options.maxReaders = 2;
    Fixture fixture(options);
    fixture.upstreamResponds(update(1, true, {entryText("a")}));
    fixture.poll(1, 1);
    fixture.poll(2, 1);
    fixture.poll(3, 1);
    const auto refused = fixture.take(3);
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(refused->retryAfterSeconds == 1);
    CHECK(refused->closesConnection);
    CHECK(fixture.distributor.status(fixture.now).readers == 2);
    fixture.distributor.onReaderClosed(fixture.now, 3);
    fixture.distributor.onReaderClosed(fixture.now, 1);
    fixture.poll(4, std::nullopt);
    CHECK(fixture.takeList(4).isComplete);
}

TEST_CASE("at shutdown all waiting readers are answered, none with a lower version") {
    Fixture fixture;
    fixture.upstreamResponds(update(5, true, {entryText("a")}));
    fixture.poll(1, 5);
    fixture.poll(2, 8);
    fixture.distributor.shutDown(fixture.now);
    fixture.reconcile();
    const auto first = fixture.take(1);
    REQUIRE(first);
    CHECK(first->closesConnection);
    CHECK(readListUpdate(*first->body).version == 5);
    CHECK(fixture.takeList(2).version == 8);
}

TEST_CASE("safeguards have names") {
    CHECK(safeguardNamed("version-guard") == Safeguard::versionGuard);
    CHECK_THROWS_WITH(safeguardNamed("none"), doctest::Contains("tombstones"));
}
