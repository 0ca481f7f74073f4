#include <doctest/doctest.h>

#include "policy_fixture.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

TEST_CASE(
    "two hundred routers with little traffic do not overload a server in slow start, though one attempt each "
    "would") {
    int sent = 0;
    for (std::uint64_t router = 0; router < 200; ++router) {
        PolicySettings settings = smallPolicySettings(false);
        settings.seed = router;
        settings.routerCount = 200;
        PolicyFixture fixture(settings, 2);
        for (RequestId id = 1; id <= 6; ++id, fixture.now += 500 * ms)
            fixture.serveRequest(id, std::to_string(id + 10 * router));
        fixture.policy.onEndpointUpdate(fixture.now, EndpointUpdateKind::complete,
                                        {{"cold", "z", "m", EndpointState::ready, fixture.now}});
        fixture.now += 500 * ms;
        if (fixture.sendRequest(7) == "cold") ++sent;
    }
    // Two warmed-up servers answered 200 requests per second each. The server in slow start bears a
    // fifth of that, and collapses at three times as much.
    CHECK(sent > 10);
    CHECK(sent < 60);
}

TEST_CASE("a server in slow start is sent no more than its budget while the others are warmed up") {
    PolicyFixture fixture(false, 2);
    RequestId id = 0;
    fixture.endpoints[1].state = EndpointState::removed;
    fixture.policy.onEndpointUpdate(fixture.now, EndpointUpdateKind::delta, {fixture.endpoints[1]});
    for (int i = 0; i < 400; ++i, fixture.now += 10 * ms) fixture.serveRequest(++id, std::to_string(i));
    fixture.endpoints[1].startedAt = fixture.now;
    fixture.endpoints[1].state = EndpointState::ready;
    fixture.policy.onEndpointUpdate(fixture.now, EndpointUpdateKind::delta, {fixture.endpoints[1]});
    fixture.endpoints[0].state = EndpointState::draining;
    fixture.policy.onEndpointUpdate(fixture.now, EndpointUpdateKind::delta, {fixture.endpoints[0]});
    int sent = 0;
    for (int i = 0; i < 100; ++i, fixture.now += 10 * ms) {
        auto nextAction = fixture.host.actions.size();
        fixture.sendRequest(++id, std::to_string(i));
        for (; nextAction < fixture.host.actions.size(); ++nextAction)
            if (const RecordedAction action = fixture.host.actions[nextAction];
                action.kind == ActionKind::startAttempt) {
                ++sent;
                fixture.endAttempt(action.id, 0, AttemptOutcome::succeeded);
            }
    }
    // The warmed-up server took 100 requests in a second. The load at which the other one collapses
    // is 3 x 0.2 of that, rising along the ramp to 3 x 0.28.
    CHECK(sent > 5);
    CHECK(sent < 75);
}

TEST_CASE("a quick first response does not make normal latencies look like an overload") {
    PolicyFixture fixture;
    RequestId id = 0;
    const auto respond = [&](Nanos latency) {
        ++id;
        fixture.sendRequest(id, std::to_string(id));
        fixture.now += 5 * ms;
        fixture.endAttempt(id, 0, AttemptOutcome::succeeded, true, latency);
    };
    respond(25 * ms);
    for (int i = 0; i < 600; ++i) respond((i % 2 ? 195 : 215) * ms);
    int started = 0;
    for (const char* key : {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"})
        if (!fixture.sendRequest(++id, key).empty()) ++started;
    CHECK(started == 12);
}

TEST_CASE("a server that fails more often than the median is ejected") {
    PolicyFixture fixture;
    RequestId id = 100;
    for (int i = 0; i < 40; ++i) fixture.serveRequest(++id, std::to_string(i));
    const std::string first = fixture.sendRequest(1);
    CHECK(fixture.endAttempt(1, 0, AttemptOutcome::failed) != first);
    for (RequestId i = 2; i < 8; ++i)
        if (fixture.sendRequest(i) == first) fixture.endAttempt(i, 0, AttemptOutcome::failed);
    CHECK(fixture.sendRequest(50) != first);
    CHECK(fixture.host.logs.size() == 1);
}

TEST_CASE("a fetch at the origin after a lost connection at a cache server needs no retry credit") {
    PolicySettings settings = smallPolicySettings(true);
    settings.routerCount = 1'000'000;  // the initial retry credit of each server is almost zero
    PolicyFixture fixture(settings, 4);
    for (RequestId id = 100; id < 150; ++id) fixture.serveRequest(id, std::to_string(id));
    fixture.sendRequest(1);
    const std::string second = fixture.endAttempt(1, 0, AttemptOutcome::connectionLost);
    CHECK(second.size() == 1);
    CHECK(fixture.endAttempt(1, 1, AttemptOutcome::cacheMiss) == "origin");
}

TEST_CASE("retries end when the servers have no retry credit left") {
    PolicySettings settings = smallPolicySettings(false);
    settings.routerCount = 3;
    PolicyFixture fixture(settings, 3);
    int attempts = 0;
    for (RequestId id = 1; id <= 60; ++id) {
        fixture.sendRequest(id, std::to_string(id));
        for (int attempt = 0; attempt < 3; ++attempt) fixture.endAttempt(id, attempt, AttemptOutcome::failed);
    }
    for (const RecordedAction& action : fixture.host.actions)
        if (action.kind == ActionKind::startAttempt) ++attempts;
    CHECK(attempts <= 60 + 3 * 2);
}

TEST_CASE("requests of a tenant over its quota are rejected before those of a tenant within its quota") {
    PolicySettings settings = smallPolicySettings(false);
    settings.tenants = {{"greedy", 10}, {"modest", 10}};
    PolicyFixture fixture(settings, 2);
    RequestId id = 0;
    for (int i = 0; i < 60; ++i, fixture.now += 5 * ms) {
        fixture.sendRequest(++id, std::to_string(i), "read", false, "greedy");
        fixture.endAttempt(id, 0, AttemptOutcome::succeeded);
    }
    std::string last;
    for (int i = 0; i < 60 && last != "rejected"; ++i)
        last = fixture.sendRequest(++id, "g" + std::to_string(i), "read", false, "greedy");
    CHECK(last == "rejected");
    CHECK(fixture.sendRequest(++id, "m", "read", false, "modest").size() == 1);
}

TEST_CASE("a concurrency limit between one and two rises again once responses are quick") {
    // Guards against a limit that stays at one attempt in flight after an overload has ended.
    PolicyFixture fixture(false, 2);
    RequestId id = 1;
    const auto load = [&](Nanos latency) {
        const auto before = fixture.host.actions.size();
        for (const RequestId end = id + 40; id < end; ++id) fixture.sendRequest(id, std::to_string(id));
        fixture.now += 500 * ms;  // the objectives have passed: waiting requests are rejected
        std::size_t sent = 0;
        for (auto i = before; i < fixture.host.actions.size(); ++i)
            if (const RecordedAction action = fixture.host.actions[i];
                action.kind == ActionKind::startAttempt) {
                ++sent;
                fixture.endAttempt(action.id, 0, AttemptOutcome::succeeded, true, latency);
            }
        return sent;
    };
    for (int i = 0; i < 60; ++i, fixture.now += 10'000 * ms) load(480 * ms);
    CHECK(load(480 * ms) <= 2);
    for (int i = 0; i < 60; ++i, fixture.now += 10'000 * ms) load(20 * ms);
    CHECK(load(20 * ms) > 4);
}

TEST_CASE("a minority of slow requests does not lower the concurrency limits") {
    PolicyFixture fixture(false, 2);
    RequestId id = 0;
    for (int i = 0; i < 100; ++i, fixture.now += 50 * ms) {
        fixture.sendRequest(++id, std::to_string(i));
        fixture.endAttempt(id, 0, AttemptOutcome::succeeded, true, i % 5 > 2 ? 490 * ms : 20 * ms);
    }
    int sent = 0;
    for (int i = 0; i < 12; ++i)
        if (fixture.sendRequest(++id, "h" + std::to_string(i)).size() == 1) ++sent;
    CHECK(sent >= 8);
}

TEST_CASE("attempts time out before the client's deadline only once enough latencies are known") {
    PolicyFixture fixture;
    fixture.sendRequest(1);
    CHECK(fixture.host.actions.back().time == fixture.now + 2'000 * ms);
    for (RequestId id = 2; id < 40; ++id, fixture.now += 5 * ms) fixture.serveRequest(id, std::to_string(id));
    fixture.sendRequest(50);
    CHECK(fixture.host.actions.back().time < fixture.now + 500 * ms);
}

TEST_CASE("after an overload, a request too far back in the queue is rejected at once") {
    PolicyFixture fixture(false, 2);
    RequestId id = 0;
    for (int round = 0; round < 8; ++round, fixture.now += 600 * ms) {
        const auto before = fixture.host.actions.size();
        for (const RequestId last = id + 6; id < last; ++id) fixture.sendRequest(id, std::to_string(id));
        for (auto i = before; i < fixture.host.actions.size(); ++i)
            if (const RecordedAction action = fixture.host.actions[i];
                action.kind == ActionKind::startAttempt) {
                fixture.now += ms;
                fixture.endAttempt(action.id, 0, AttemptOutcome::succeeded, true, 480 * ms);
            }
    }
    std::string last;
    for (int i = 0; i < 30; ++i) last = fixture.sendRequest(++id, "n" + std::to_string(i));
    CHECK(last == "rejected");
}

TEST_CASE("a router that has seen the origin idle still uses it when other routers keep it busy") {
    PolicyFixture fixture(true);
    RequestId id = 0;
    for (int i = 0; i < 140; ++i, fixture.now += 400 * ms)
        if (fixture.sendRequest(++id, "k", "read", true) == "origin")
            fixture.endAttempt(id, 0, AttemptOutcome::succeeded, true, i < 40 ? 40 * ms : 200 * ms);
    CHECK(fixture.sendRequest(++id, "k", "read", true) == "origin");
}

TEST_CASE("a heavy request that delays the responses behind it on a connection does not lower the limit") {
    PolicyFixture fixture(false, 1);
    RequestId id = 0;
    for (; id < 60; fixture.now += 50 * ms) fixture.serveRequest(++id, "k");
    for (int heavy = 0; heavy < 22; ++heavy) {
        const RequestId first = id + 1;
        for (int i = 0; i < 4; ++i) fixture.sendRequest(++id);
        fixture.now += 450 * ms;
        for (RequestId request = first; request <= id; ++request)
            fixture.endAttempt(request, 0, AttemptOutcome::succeeded, true, 480 * ms);
    }
    int sent = 0;
    for (int i = 0; i < 4; ++i)
        if (fixture.sendRequest(++id) == "a") ++sent;
    CHECK(sent == 4);
}

TEST_CASE("responses that a pause delays together count once and do not lower the concurrency limit") {
    PolicyFixture fixture(false, 1);
    RequestId id = 0;
    for (; id < 60; fixture.now += 50 * ms) fixture.serveRequest(++id, "k");
    for (int pause = 0; pause < 40; ++pause) {
        const RequestId first = id + 1;
        for (int i = 0; i < 4; ++i) fixture.sendRequest(++id);
        fixture.now += 450 * ms;
        for (RequestId request = first; request <= id; ++request, fixture.now += ms / 4)
            fixture.endAttempt(request, 0, AttemptOutcome::succeeded, true, 480 * ms);
        for (int quick = 0; quick < 2; ++quick, fixture.now += 50 * ms) fixture.serveRequest(++id, "k");
    }
    int sent = 0;
    for (int i = 0; i < 4; ++i)
        if (fixture.sendRequest(++id) == "a") ++sent;
    CHECK(sent == 4);
}

TEST_CASE(
    "while a quarter of all attempts hang, requests over quota are shed though the median latency is low") {
    PolicySettings settings = smallPolicySettings(false);
    settings.tenants = {{"greedy", 1}, {"modest", 1}, {"third", 1}};
    PolicyFixture fixture(settings, 8);
    RequestId id = 0;
    const auto run = [&](Nanos slowest) {
        int sent = 0;
        for (int i = 0; i < 40; ++i, fixture.now += 250 * ms) {
            if (fixture.sendRequest(++id, "g" + std::to_string(i), "read", false, "greedy").size() == 1)
                ++sent;
            fixture.endAttempt(id, 0, AttemptOutcome::succeeded, true, i % 4 ? 20 * ms : slowest);
        }
        return sent;
    };
    CHECK(run(20 * ms) == 40);
    run(1'000 * ms);
    CHECK(run(1'000 * ms) < 30);
    CHECK(fixture.sendRequest(++id, "m", "read", false, "modest").size() == 1);
}

TEST_CASE("consecutive timeouts at one server do not lower the total limit while most attempts succeed") {
    PolicySettings settings = smallPolicySettings(false);
    settings.routerCount = 2;
    PolicyFixture fixture(settings, 1);
    RequestId id = 0;
    for (; id < 400; fixture.now += 20 * ms) fixture.serveRequest(++id, "k");
    for (int i = 0; i < 31; ++i, fixture.now += 200 * ms) {
        fixture.sendRequest(++id);
        fixture.endAttempt(id, 0, AttemptOutcome::timedOut, true, 300 * ms);
    }
    int sent = 0;
    for (int i = 0; i < 2; ++i)
        if (fixture.sendRequest(++id) == "a") ++sent;
    CHECK(sent == 2);
}

TEST_CASE("a retry needs retry credit after an attempt that may have executed, but not after an overload") {
    for (const AttemptOutcome outcome : {AttemptOutcome::overloaded, AttemptOutcome::failed}) {
        PolicySettings settings = smallPolicySettings(false);
        settings.routerCount = 1'000;
        PolicyFixture fixture(settings, 4);
        fixture.sendRequest(1);
        CHECK((fixture.endAttempt(1, 0, outcome).size() == 1) == (outcome == AttemptOutcome::overloaded));
    }
}

TEST_CASE(
    "sixty routers that all send their next request to a readmitted server stay within its slow start") {
    PolicySettings settings = smallPolicySettings(false);
    settings.routerCount = 60;
    int attemptsAtReadmitted = 0;
    int attemptsAtOthers = 0;
    for (int router = 0; router < 60; ++router) {
        settings.seed = static_cast<std::uint64_t>(router);
        PolicyFixture fixture(settings, 4);
        fixture.policy.onOperatorEjection(fixture.now, "a", true);
        RequestId id = 0;
        for (int i = 0; i < 40; ++i, fixture.now += 50 * ms)
            fixture.serveRequest(++id, std::to_string(router * 1000 + i));
        fixture.policy.onOperatorEjection(fixture.now, "a", false);
        const Nanos until = fixture.now + 1'000 * ms;
        for (int i = 0; fixture.now < until; ++i, fixture.now += 50 * ms) {
            ++id;
            const std::string server = fixture.serveRequest(id, "x" + std::to_string(router * 1000 + i));
            if (server == "a")
                ++attemptsAtReadmitted;
            else
                ++attemptsAtOthers;
        }
    }
    MESSAGE("attempts at the readmitted server: ", attemptsAtReadmitted,
            ", at the other servers: ", attemptsAtOthers);
    CHECK(attemptsAtReadmitted >= 60);
    // In slow start, the server bears a fifth of the load of each of the three other servers, and
    // collapses at three times as much.
    CHECK(attemptsAtReadmitted < 0.2 * 3 * (attemptsAtOthers / 3.0));
}

TEST_CASE(
    "the limit of a quick server that begins to queue falls before the slow median reaches the target") {
    PolicyFixture fixture(false, 1);
    RequestId id = 0;
    const auto serve = [&](int times, Nanos latency) {
        for (int i = 0; i < times; ++i) {
            fixture.now += 40 * ms;
            fixture.sendRequest(++id);
            fixture.endAttempt(id, 0, AttemptOutcome::succeeded, true, latency);
        }
        return fixture.policy.endpointStatuses(fixture.now).at(0).concurrencyLimit;
    };
    const double idle = serve(40, 50 * ms);
    CHECK(idle >= 4);
    CHECK(serve(55, 250 * ms) < idle);
}
