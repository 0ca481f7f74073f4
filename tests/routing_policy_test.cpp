#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "policy_fixture.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

TEST_CASE("a request that no server can serve within its latency objective is rejected exactly once") {
    PolicyFixture fixture(false, 0);
    CHECK(fixture.sendRequest(1) == "rejected");
    CHECK(fixture.finalResponses(1) == 1);
    PolicyFixture expired;
    expired.policy.onRequest(expired.now, {2, "read", "", "k", expired.now, false});
    expired.policy.reconcile(expired.now);
    CHECK(expired.finalResponses(2) == 1);
}

TEST_CASE("a request whose attempt times out at the client's deadline gets exactly one final response") {
    PolicyFixture fixture;
    fixture.sendRequest(1);
    fixture.now += 2'000 * ms;
    CHECK(fixture.endAttempt(1, 0, AttemptOutcome::timedOut, false, 2'000 * ms) == "rejected");
    CHECK(fixture.finalResponses(1) == 1);
    CHECK(fixture.endAttempt(1, 0, AttemptOutcome::timedOut) == "");
}

TEST_CASE("a non-idempotent request that may have executed fails, and is neither retried nor rejected") {
    for (const AttemptOutcome outcome : {AttemptOutcome::failed, AttemptOutcome::timedOut,
                                         AttemptOutcome::connectionLost, AttemptOutcome::notExecuted}) {
        PolicyFixture fixture;
        fixture.sendRequest(1, "k", "pay");
        CHECK(fixture.endAttempt(1, 0, outcome) == "failed");
    }
    PolicyFixture fixture;
    const std::string first = fixture.sendRequest(1, "k", "pay");
    const std::string second = fixture.endAttempt(1, 0, AttemptOutcome::connectFailed);
    CHECK(second != "");
    CHECK(second != first);
}

TEST_CASE(
    "a request with an idempotency key is retried only in its deduplication scope and within the key's TTL") {
    PolicyFixture fixture;
    const Nanos first = fixture.now;
    fixture.sendRequest(1, "k", "mark");
    CHECK(fixture.host.actions.back().latestStart == kNever);
    fixture.now += 300 * ms;
    CHECK(fixture.endAttempt(1, 0, AttemptOutcome::connectionLost).size() == 1);
    // The host may have to wait for a connection, so it receives the time until which the key is
    // remembered.
    CHECK(fixture.host.actions.back().latestStart == first + 2'000 * ms);
    fixture.now += 2'001 * ms;
    fixture.sendRequest(2, "k", "mark");
    fixture.now += 2'000 * ms;
    CHECK(fixture.endAttempt(2, 0, AttemptOutcome::connectionLost) == "failed");
    PolicyFixture zoned;
    for (std::size_t i = 0; i < zoned.endpoints.size(); ++i) zoned.endpoints[i].zone = std::to_string(i);
    zoned.policy.onEndpointUpdate(0, EndpointUpdateKind::complete, zoned.endpoints);
    zoned.sendRequest(3, "k", "mark");
    CHECK(zoned.endAttempt(3, 0, AttemptOutcome::connectionLost) == "failed");
}

TEST_CASE("nothing more is sent to a server that is draining, or that a complete endpoint list leaves out") {
    PolicyFixture fixture;
    const std::string first = fixture.sendRequest(1);
    fixture.endAttempt(1, 0, AttemptOutcome::succeeded);
    Endpoint drained{first, "z", "m", EndpointState::draining};
    fixture.policy.onEndpointUpdate(fixture.now, EndpointUpdateKind::delta, {drained});
    CHECK(fixture.sendRequest(2) != first);
    fixture.policy.onEndpointUpdate(fixture.now, EndpointUpdateKind::complete, {{first, "z", "m"}});
    CHECK(fixture.sendRequest(3) == first);
}

TEST_CASE("a server removed for two hint generations is forgotten, and its attempts may still end") {
    PolicyFixture fixture(false, 1);
    for (RequestId id = 1; id <= 20; ++id, fixture.now += 10 * ms) {
        CHECK(fixture.sendRequest(id) == "a");
        fixture.endAttempt(id, 0, AttemptOutcome::overloaded);
    }
    CHECK(fixture.sendRequest(21) == "a");
    fixture.policy.onEndpointUpdate(fixture.now, EndpointUpdateKind::delta,
                                    {{"a", "z", "m", EndpointState::removed}});
    for (int i = 0; i < 3; ++i, fixture.now += 10'000 * ms) fixture.policy.reconcile(fixture.now);
    CHECK(fixture.endAttempt(21, 0, AttemptOutcome::failed) == "rejected");
    // A known overloaded server would get one attempt at a time; a new one has its initial limit.
    fixture.policy.onEndpointUpdate(fixture.now, EndpointUpdateKind::delta, {{"a", "z", "m"}});
    CHECK(fixture.sendRequest(22) == "a");
    CHECK(fixture.sendRequest(23) == "a");
}

TEST_CASE(
    "if a second attempt would miss the latency objective, the first times out early only where late "
    "responses count") {
    for (const double lateWeight : {0.0, 0.3}) {
        PolicySettings settings = smallPolicySettings(false);
        settings.requestClasses[0].latencyObjective = 170 * ms;
        settings.requestClasses[0].lateWeight = lateWeight;
        PolicyFixture fixture(settings, 4);
        for (RequestId id = 100; id < 140; ++id, fixture.now += 50 * ms) {
            fixture.sendRequest(id, std::to_string(id));
            fixture.endAttempt(id, 0, AttemptOutcome::succeeded, true, 50 * ms);
        }
        fixture.sendRequest(1);
        const Nanos timeout = fixture.host.actions.back().time - fixture.now;
        CHECK(timeout == (lateWeight > 0 ? 200 * ms : 2'000 * ms));
    }
}

TEST_CASE("the endpoint list is polled once, and again after a failure") {
    PolicySettings settings = smallPolicySettings(false);
    settings.pollsEndpoints = true;
    settings.pollInterval = 8'000 * ms;
    PolicyFixture fixture(settings, 2);
    for (; fixture.now < 2'000 * ms; fixture.now += 100 * ms) fixture.policy.reconcile(fixture.now);
    CHECK(fixture.host.polls == 1);
    fixture.policy.onEndpointUpdate(fixture.now, EndpointUpdateKind::failed, {});
    for (; fixture.now < 6'000 * ms; fixture.now += 100 * ms) fixture.policy.reconcile(fixture.now);
    CHECK(fixture.host.polls == 2);
    CHECK(fixture.sendRequest(1) != "");
}

TEST_CASE("first polls come within their maximum delay and are spread over it across routers") {
    PolicySettings settings = smallPolicySettings(false);
    settings.pollsEndpoints = true;
    settings.pollInterval = 10'000 * ms;
    settings.maxFirstPollDelay = 300 * ms;
    settings.routerCount = 300;
    int early = 0;
    for (int seed = 1; seed <= 100; ++seed) {
        settings.seed = static_cast<std::uint64_t>(seed);
        PolicyFixture fixture(settings, 2);
        for (; fixture.now <= 300 * ms && fixture.host.polls == 0; fixture.now += ms)
            fixture.policy.reconcile(fixture.now);
        CHECK(fixture.host.polls == 1);
        if (fixture.now < 150 * ms) ++early;
    }
    CHECK(early > 30);
    CHECK(early < 70);
}

TEST_CASE("requests are handled with only the origin listed, without a key, and without classes or weights") {
    PolicyFixture fixture(true, 0);
    CHECK(fixture.sendRequest(1, "") == "origin");
    fixture.endAttempt(1, 0, AttemptOutcome::succeeded);
    PolicySettings settings = smallPolicySettings(false);
    settings.requestClasses.clear();
    PolicyFixture withoutClasses(settings, 2);
    withoutClasses.policy.onEndpointUpdate(0, EndpointUpdateKind::complete,
                                           {{"a", "z", "m", EndpointState::ready, 0, 0}});
    CHECK(withoutClasses.sendRequest(2, "") == "a");
    CHECK(withoutClasses.endAttempt(2, 0, AttemptOutcome::failed) == "failed");
    withoutClasses.policy.onClientDisconnected(withoutClasses.now, 77);
    withoutClasses.policy.reconcile(withoutClasses.now);
    CHECK(withoutClasses.finalResponses(77) == 0);
}

TEST_CASE("no request is lost while the endpoint list is reordered, doubled, emptied and restored") {
    PolicyFixture fixture(true, 8);
    std::vector<RequestId> waiting;
    RequestId id = 0;
    for (int round = 0; round < 40; ++round, fixture.now += 100 * ms) {
        std::rotate(fixture.endpoints.begin(), fixture.endpoints.begin() + 3, fixture.endpoints.end());
        std::vector<Endpoint> update = fixture.endpoints;
        if (round % 4 == 1) update.insert(update.end(), fixture.endpoints.begin(), fixture.endpoints.end());
        if (round % 4 == 2) update.clear();
        if (round % 4 == 3) update.front().startedAt = fixture.now;
        fixture.policy.onEndpointUpdate(fixture.now, EndpointUpdateKind::complete, update);
        const std::string server = fixture.sendRequest(++id, std::to_string(round % 5));
        if (server.empty())
            waiting.push_back(id);
        else
            fixture.endAttempt(id, 0, AttemptOutcome::succeeded);
    }
    fixture.now += 60'000 * ms;
    fixture.policy.reconcile(fixture.now);
    CHECK(waiting.size() == 10);
    for (const RequestId request : waiting) {
        // The attempt was started when the list was restored.
        fixture.endAttempt(request, 0, AttemptOutcome::timedOut, false, 2'000 * ms);
        CHECK(fixture.finalResponses(request) == 1);
    }
}

TEST_CASE("a request without attempts left is rejected at once, not at the end of its latency objective") {
    PolicySettings settings = smallPolicySettings(true);
    settings.maxAttempts = 2;
    PolicyFixture fixture(settings, 4);
    fixture.sendRequest(1);
    CHECK(fixture.endAttempt(1, 0, AttemptOutcome::cacheMiss) == "origin");
    CHECK(fixture.endAttempt(1, 1, AttemptOutcome::cacheMiss) == "rejected");
}

TEST_CASE("new settings apply at once, but an open request keeps the request class it arrived with") {
    PolicyFixture fixture;
    CHECK(fixture.sendRequest(1, "k", "pay") != "");
    PolicySettings looser = smallPolicySettings(false);
    looser.requestClasses[2].idempotency = Idempotency::safe;    // "pay" may now be repeated
    looser.requestClasses.erase(looser.requestClasses.begin());  // removes "read"
    looser.maxAttempts = 9;
    fixture.policy.onSettingsChanged(1 * ms, looser);
    fixture.policy.onAttemptEnded(2 * ms, {1, 0, AttemptOutcome::failed, false, ms});
    fixture.host.actions.clear();
    fixture.policy.reconcile(2 * ms);
    REQUIRE(fixture.host.actions.size() == 1);
    CHECK(fixture.host.actions[0].kind == ActionKind::fail);
    CHECK(fixture.sendRequest(2, "k", "pay") != "");
    fixture.policy.onAttemptEnded(3 * ms, {2, 0, AttemptOutcome::failed, false, ms});
    fixture.host.actions.clear();
    fixture.policy.reconcile(3 * ms);
    REQUIRE(fixture.host.actions.size() == 1);
    CHECK(fixture.host.actions[0].kind == ActionKind::startAttempt);
}

TEST_CASE("a lower number of attempts applies to open requests too") {
    PolicyFixture fixture;
    CHECK(fixture.sendRequest(1, "k", "read") != "");
    PolicySettings stricter = smallPolicySettings(false);
    stricter.maxAttempts = 1;
    fixture.policy.onSettingsChanged(1 * ms, stricter);
    fixture.policy.onAttemptEnded(2 * ms, {1, 0, AttemptOutcome::connectFailed, false, ms});
    fixture.host.actions.clear();
    fixture.policy.reconcile(2 * ms);
    REQUIRE(fixture.host.actions.size() == 1);
    CHECK(fixture.host.actions[0].kind == ActionKind::reject);
}

TEST_CASE(
    "an operator's ejection outlasts every endpoint update; a readmitted server gets the next request and is "
    "in slow start") {
    PolicyFixture fixture(false, 3);
    const std::string ejected = fixture.serveRequest(1, "k");
    for (const auto& entry : fixture.endpoints)
        fixture.policy.onOperatorEjection(fixture.now, entry.name, entry.name == ejected);
    RequestId id = 10;
    const auto isAvoided = [&] {
        for (int i = 0; i < 40; ++i)
            if (fixture.serveRequest(++id, "k" + std::to_string(i)) == ejected) return false;
        return fixture.serveRequest(++id, "k") != ejected;
    };
    CHECK(isAvoided());
    auto other = fixture.endpoints;
    std::erase_if(other, [&](const Endpoint& endpoint) { return endpoint.name == ejected; });
    // The server is no longer listed, then listed again, then removed.
    fixture.policy.onEndpointUpdate(fixture.now, EndpointUpdateKind::complete, other);
    CHECK(isAvoided());
    fixture.policy.onEndpointUpdate(fixture.now, EndpointUpdateKind::complete, fixture.endpoints);
    CHECK(isAvoided());
    fixture.policy.onEndpointUpdate(fixture.now, EndpointUpdateKind::delta,
                                    {{ejected, "z", "m", EndpointState::removed}});
    fixture.now += 25'000 * ms;  // long enough for the server to be forgotten, but not its ejection
    fixture.policy.reconcile(fixture.now);
    fixture.policy.onEndpointUpdate(fixture.now, EndpointUpdateKind::delta,
                                    {{ejected, "z", "m", EndpointState::ready, fixture.now - 3'000 * ms}});
    CHECK(isAvoided());
    CHECK(fixture.policy.endpointStatuses(fixture.now).back().isEjectedByOperator);
    fixture.policy.onOperatorEjection(fixture.now, ejected, true);
    fixture.policy.onOperatorEjection(fixture.now, ejected, false);
    fixture.policy.onOperatorEjection(fixture.now, ejected, false);
    // The next request goes to the readmitted server: since all of its keys are cached elsewhere by
    // now, the router might otherwise not try it for a long time.
    CHECK(fixture.serveRequest(++id, "k") == ejected);
    for (const EndpointStatus& status : fixture.policy.endpointStatuses(fixture.now))
        if (status.name == ejected) CHECK(status.warmupFraction == doctest::Approx(0.2));
    // A start from before the readmission that is listed only now does not advance the slow start.
    fixture.now += 1'000 * ms;
    fixture.policy.onEndpointUpdate(fixture.now, EndpointUpdateKind::delta,
                                    {{ejected, "z", "m", EndpointState::ready, fixture.now - 3'000 * ms}});
    for (const EndpointStatus& status : fixture.policy.endpointStatuses(fixture.now))
        if (status.name == ejected) CHECK(status.warmupFraction == doctest::Approx(0.28));
    // A server that is listed as draining is not used, even when its ejection is lifted.
    fixture.policy.onOperatorEjection(fixture.now, ejected, true);
    fixture.policy.onEndpointUpdate(fixture.now, EndpointUpdateKind::delta,
                                    {{ejected, "z", "m", EndpointState::draining}});
    fixture.policy.onOperatorEjection(fixture.now, ejected, false);
    CHECK(isAvoided());
}

TEST_CASE("endpoint statuses show attempts in flight and hinted keys") {
    PolicyFixture fixture;
    const std::string server = fixture.sendRequest(1, "k", "read");
    for (const EndpointStatus& status : fixture.policy.endpointStatuses(1 * ms))
        CHECK(status.inFlight == (status.name == server ? 1 : 0));
    fixture.policy.onAttemptEnded(2 * ms, {1, 0, AttemptOutcome::succeeded, true, ms});
    for (const EndpointStatus& status : fixture.policy.endpointStatuses(2 * ms))
        CHECK(status.hintedKeys == (status.name == server ? 1 : 0));
}

TEST_CASE(
    "a client's retry is rejected if its latency objective passed before it arrived, and served otherwise") {
    PolicySettings settings = smallPolicySettings(false);
    settings.requestClasses[0].timeout = 1'000 * ms;
    const auto isRejected = [&](Nanos timeout, bool isRetry) {
        PolicyFixture fixture(settings);
        fixture.policy.onRequest(fixture.now, {1, "read", "", "k", fixture.now + 550 * ms, false});
        fixture.policy.onRequest(fixture.now, {2, "read", "", "l", fixture.now + timeout, false, isRetry});
        fixture.policy.reconcile(fixture.now);
        return fixture.finalResponses(2) == 1;
    };
    CHECK(isRejected(450 * ms, true));         // the first request came 550 ms ago
    CHECK_FALSE(isRejected(450 * ms, false));  // not a retry: the client has a short timeout
    CHECK_FALSE(isRejected(550 * ms, true));   // 450 ms after the first request, as after a rejection
    settings.requestClasses[0].lateWeight = 0.3;
    CHECK_FALSE(isRejected(450 * ms, true));
    settings.requestClasses[0].lateWeight = 0;
    settings.requestClasses[0].timeout = 0;  // the class's timeout is not known
    CHECK_FALSE(isRejected(450 * ms, true));
}
