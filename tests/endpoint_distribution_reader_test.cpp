// Tests of a distributor's guarantees to its readers: versions, batches, slow readers, the maximum
// number of readers, shutdown.
#include <doctest/doctest.h>

#include "endpoint_distribution_fixture.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

// A reader that polls before the first list arrives must be asked to retry; an empty list would
// remove all its servers.
TEST_CASE("Answers with Retry-After until there is a list, then with the complete list or changes") {
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
    // At the end of the wait the response has no changes.
    fixture.poll(2, 6, 300 * ms);
    fixture.advance(299 * ms);
    CHECK_FALSE(fixture.take(2));
    fixture.advance(1 * ms);
    CHECK(fixture.takeList(2).version == 6);
}

// A reader that was served by a faster distributor would fall back to an outdated list if it were
// answered before this distributor's list is newer than its own.
TEST_CASE("Holds the request of a reader that is ahead and never lowers its version") {
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
        const bool isAnsweredEarly = fixture.take(1).has_value();
        fixture.upstreamResponds(update(8, false, {entryText("a", 3)}));
        fixture.advance(100 * ms);
        const auto last = fixture.take(1);
        const bool isAnsweredLater = last && readListUpdate(*last->body).version == 8;
        return first.version == 7 && !first.isComplete && first.entries.empty() && !isAnsweredEarly &&
               isAnsweredLater;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::versionGuard}));
}

// Frequent changes would otherwise cost one response each for every reader.
TEST_CASE("Sends changes within a batch interval together, in at most one response to each reader") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Options options = optionsOf(1, std::move(disabled));
        options.batchInterval = 50 * ms;
        Fixture fixture(options);
        fixture.upstreamResponds(update(1, true, {entryText("a")}));
        fixture.advance(1 * kSecond);
        Version version = 1;
        Version known = 1;
        int responses = 0;
        Nanos longestDelay = 0;
        Nanos changedAt = 0;
        fixture.poll(1, known);
        for (int step = 0; step < 1'000; ++step) {  // one change every 10 ms
            if (!changedAt) changedAt = fixture.now;
            ++version;
            fixture.upstreamResponds(update(version, false, {entryText("a", static_cast<int>(version))}));
            for (int i = 0; i < 10; ++i) {
                if (const auto response = fixture.take(1)) {
                    ++responses;
                    longestDelay = std::max(longestDelay, fixture.now - changedAt);
                    changedAt = 0;
                    known = readListUpdate(*response->body).version;
                    CHECK(known >= version - 1);  // may have been sent before this change
                    fixture.poll(1, known);
                }
                fixture.advance(1 * ms);
            }
        }
        CHECK(longestDelay <= options.batchInterval + 1 * ms);
        return responses <= 201;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::batching}));
}

// A faulty reader that polls without pause must not get a response to each poll.
TEST_CASE("Sends one response in a batch interval to a reader that repeats its request") {
    Fixture fixture;
    fixture.upstreamResponds(update(1, true, {entryText("a")}));
    fixture.upstreamResponds(update(2, false, {entryText("a", 2)}));
    fixture.advance(1 * kSecond);
    int responses = 0;
    for (int step = 0; step < 1'000; ++step) {
        if (step % 2 == 0)
            fixture.poll(1, 1);
        else
            fixture.poll(1, std::nullopt);
        if (fixture.take(1)) ++responses;
        fixture.advance(1 * ms);
    }
    CHECK(responses <= 21);
}

// Responses to readers that do not receive them would otherwise pile up in memory without bound.
TEST_CASE("Sends nothing more to a reader that does not receive its response, and closes it in time") {
    const auto isGuaranteed = [](std::set<Safeguard> disabled) {
        Options options = optionsOf(1, std::move(disabled));
        options.maxUnsentBytes = 1'000;
        Fixture fixture(options);
        std::vector<std::string> entries;
        for (int i = 0; i < 100; ++i) entries.push_back(entryText("s" + std::to_string(i)));
        fixture.upstreamResponds(update(1, true, entries));
        fixture.host.slow = {1, 2};
        fixture.poll(1, std::nullopt);  // the response is far larger than maxUnsentBytes
        fixture.poll(2, 0 + 1, 10 * ms);
        for (Version version = 2; version < 100; ++version) {
            fixture.upstreamResponds(update(version, false, {entryText("s1", static_cast<int>(version))}));
            fixture.advance(100 * ms);
            fixture.poll(1, version - 1);
            fixture.poll(2, version - 1);
            fixture.poll(3, version - 1);
            CHECK(fixture.take(3).has_value());  // other readers are still answered
        }
        const bool isBounded = fixture.host.unsent[1] < 20'000 && fixture.host.unsent[2] < 1'000;
        const bool isClosed = fixture.host.closed.contains(1) && fixture.host.closed.contains(2);
        return isBounded && isClosed && fixture.distributor.status(fixture.now).slowReadersClosed == 2;
    };
    CHECK(isGuaranteed({}));
    CHECK_FALSE(isGuaranteed({Safeguard::slowReaderBound}));
}

// A request that arrives while the last response is being sent must be neither lost nor answered
// too early.
TEST_CASE("Queues a request received while a response is being sent, and answers it afterwards") {
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

// Rejected readers must not count towards the maximum, and a closed reader's place must become
// free.
TEST_CASE("Rejects readers beyond the maximum with Retry-After until an admitted one disconnects") {
    Options options;
    options.maxReaders = 2;
    Fixture fixture(options);
    fixture.upstreamResponds(update(1, true, {entryText("a")}));
    fixture.poll(1, 1);
    fixture.poll(2, 1);
    fixture.poll(3, 1);
    const auto rejected = fixture.take(3);
    REQUIRE(rejected);
    CHECK(rejected->status == 503);
    CHECK(rejected->retryAfterSeconds == 1);
    CHECK(rejected->closesConnection);
    CHECK(fixture.distributor.status(fixture.now).readers == 2);
    fixture.distributor.onReaderClosed(fixture.now, 3);
    fixture.distributor.onReaderClosed(fixture.now, 1);
    fixture.poll(4, std::nullopt);
    CHECK(fixture.takeList(4).isComplete);
}

// Readers would otherwise have to detect the lost connection, or would fall back to an older list.
TEST_CASE("Answers all waiting readers at shutdown, none with a lower version") {
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

TEST_CASE("Finds a safeguard by its name and lists all names for an unknown one") {
    CHECK(safeguardNamed("version-guard") == Safeguard::versionGuard);
    CHECK_THROWS_WITH(safeguardNamed("none"), doctest::Contains("tombstones"));
}
