// What all routers together send a cache server after an operator has readmitted it. The sum over all routers
// counts: a limit that each of them keeps by itself is exceeded as soon as there are enough of them.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fleet_fixture.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

constexpr int kReadmitted = 3;  // index of the server
constexpr Nanos kUseWithin = 5'000 * ms;
constexpr Nanos kObserved = 13'000 * ms;

struct NamedShape {
    std::string name;
    FleetShape shape;
};

FleetShape withRate(FleetShape shape, double rate) {
    shape.rate = rate;
    return shape;
}

FleetShape withRouters(FleetShape shape, int routers) {
    shape.routers = routers;
    return shape;
}

// The shapes of three small deployments, and of one with many routers (the default), at their usual traffic.
FleetShape smallReadThrough() {
    FleetShape shape;
    shape.routers = 3;
    shape.servers = 10;
    shape.work = 100 * ms;
    shape.rate = 150;
    shape.initialFraction = 0.17;
    shape.ramp = 20'000 * ms;
    shape.multiple = 4;
    shape.window = 2'000 * ms;
    shape.objective = 600 * ms;
    shape.timeout = 2'000 * ms;
    return shape;
}

FleetShape smallCacheAside() {
    FleetShape shape;
    shape.routers = 3;
    shape.servers = 12;
    shape.cores = 5;
    shape.work = 110 * ms;
    shape.rate = 200;
    shape.initialFraction = 0.3;
    shape.ramp = 6'000 * ms;
    shape.multiple = 4;
    shape.timeout = 2'000 * ms;
    shape.isCacheAside = true;
    return shape;
}

FleetShape smallSingleCore() {
    FleetShape shape;
    shape.routers = 5;
    shape.servers = 15;
    shape.cores = 1;
    shape.work = 60 * ms;
    shape.rate = 150;
    shape.initialFraction = 0.13;
    shape.ramp = 20'000 * ms;
    shape.window = 1'000 * ms;
    shape.objective = 800 * ms;
    shape.timeout = 2'000 * ms;
    shape.isCacheAside = true;
    return shape;
}

// A fleet whose server was ejected for five seconds, has restarted, and was readmitted.
struct ReadmittedFleet {
    ReadmittedFleet(const FleetShape& shape, Nanos duration, std::uint64_t seed = 1) : fleet(shape, seed) {
        fleet.run(8'000 * ms);
        fleet.eject(kReadmitted);
        fleet.run(5'000 * ms);
        fleet.restart(kReadmitted);
        fleet.run(100 * ms);
        rejectedBefore = fleet.rejected;
        readmittedAt = fleet.now;
        fleet.readmit(kReadmitted, duration);
    }
    int routersUsingInTime() const { return fleet.routersUsing(kReadmitted, readmittedAt + kUseWithin); }
    int rejectedSince() const { return fleet.rejected - rejectedBefore; }

    Fleet fleet;
    Nanos readmittedAt = 0;
    int rejectedBefore = 0;
};

}  // namespace

// Guards against a first attempt as a right of each router: the server would get one of each within a second.
TEST_CASE("all routers together keep a readmitted server within its slow start, and it is used within 5 s") {
    const FleetShape many;
    for (const auto& [name, shape] :
         std::vector<NamedShape>{{"48 routers", many},
                                 {"48 routers, a sixth of the traffic", withRate(many, 40)},
                                 {"small, read-through", smallReadThrough()},
                                 {"small, cache-aside", smallCacheAside()},
                                 {"small, single core", smallSingleCore()}}) {
        for (const Nanos duration : {100 * ms, 1'000 * ms, 5'000 * ms}) {
            ReadmittedFleet readmitted(shape, duration);
            readmitted.fleet.run(kObserved);
            INFO(name, ", readmitted over ", duration / ms, " ms, used by ", readmitted.routersUsingInTime());
            CHECK(readmitted.fleet.largestWindow(kReadmitted) <= 1);
            CHECK(readmitted.routersUsingInTime() >= 1);
        }
    }
}

TEST_CASE("hundreds of routers keep a readmitted server within its slow start") {
    for (const int routers : {300, 900}) {
        ReadmittedFleet readmitted(withRouters({}, routers), 100 * ms);
        readmitted.fleet.run(kUseWithin);
        INFO(routers, " routers, used by ", readmitted.routersUsingInTime());
        CHECK(readmitted.fleet.largestWindow(kReadmitted) <= 1);
        CHECK(readmitted.routersUsingInTime() >= 1);
    }
}

// The operators' days expect it of small fleets, also where all of the server's keys are cached elsewhere by
// then.
TEST_CASE("each router of a small fleet uses a readmitted server within 5 s, with little traffic too") {
    for (const auto& [name, shape] :
         std::vector<NamedShape>{{"8 routers", withRouters({}, 8)},
                                 {"8 routers, 16 requests/s", withRate(withRouters({}, 8), 16)},
                                 {"small, read-through", smallReadThrough()},
                                 {"small, cache-aside", smallCacheAside()},
                                 {"small, 9 requests/s", withRate(smallCacheAside(), 9)}}) {
        ReadmittedFleet readmitted(shape, 0);
        readmitted.fleet.run(kUseWithin);
        INFO(name);
        CHECK(readmitted.routersUsingInTime() == shape.routers);
    }
}

// Guards against a share that is saved up while a router has no request, and then spent by all at once.
TEST_CASE(
    "routers that all get their first requests at once after a pause keep a readmitted server within its "
    "limit") {
    FleetShape shape;
    shape.routers = 300;
    ReadmittedFleet readmitted(shape, 0);
    readmitted.fleet.setTraffic(false);
    readmitted.fleet.run(60'000 * ms);
    readmitted.fleet.restart(kReadmitted);
    readmitted.fleet.eject(kReadmitted);
    readmitted.fleet.readmit(kReadmitted, 0);
    readmitted.fleet.run(10'000 * ms);
    readmitted.fleet.setTraffic(true);
    readmitted.fleet.run(kObserved);
    CHECK(readmitted.fleet.largestWindow(kReadmitted) <= 1);
    CHECK_FALSE(readmitted.fleet.arrivals(kReadmitted).empty());
}

TEST_CASE("a server that is readmitted, ejected and readmitted within half a second stays within its limit") {
    ReadmittedFleet readmitted({}, 0);
    for (int i = 0; i < 3; ++i) {
        readmitted.fleet.run(250 * ms);
        readmitted.fleet.eject(kReadmitted);
        readmitted.fleet.run(200 * ms);
        readmitted.fleet.readmit(kReadmitted, 0);
    }
    readmitted.fleet.run(kObserved);
    CHECK(readmitted.fleet.largestWindow(kReadmitted) <= 1);
    CHECK(readmitted.routersUsingInTime() >= 1);
}

// The ejection is lifted while the list still tells of a drain, which ends for all routers at the same time.
TEST_CASE("a server that was readmitted while it was draining stays within its limit when the drain ends") {
    for (const bool isRestarted : {false, true}) {
        ReadmittedFleet readmitted({}, 0);
        readmitted.fleet.list(kReadmitted, EndpointState::draining, 0);
        readmitted.fleet.run(6'000 * ms);
        readmitted.fleet.restart(kReadmitted);
        const Nanos startedAt = isRestarted ? readmitted.fleet.now : 0;
        readmitted.fleet.list(kReadmitted, EndpointState::ready, startedAt);
        const Nanos readyAt = readmitted.fleet.now;
        readmitted.fleet.run(kObserved);
        CHECK(readmitted.fleet.largestWindow(kReadmitted) <= 1);
        CHECK(readmitted.fleet.routersUsing(kReadmitted, readyAt + kUseWithin) >= 1);
    }
}

TEST_CASE("two servers that are readmitted together are both used within 5 s, each within its limit") {
    ReadmittedFleet readmitted({}, 0);
    readmitted.fleet.eject(kReadmitted + 1);
    readmitted.fleet.restart(kReadmitted + 1);
    readmitted.fleet.readmit(kReadmitted + 1, 0);
    readmitted.fleet.run(kUseWithin);
    for (const int server : {kReadmitted, kReadmitted + 1}) {
        CHECK(readmitted.fleet.largestWindow(server) <= 1);
        CHECK(readmitted.fleet.routersUsing(server, readmitted.fleet.now) >= 1);
    }
}

TEST_CASE(
    "a readmitted server stays within its limit across zones, where weights follow load, and with writes") {
    FleetShape zones;
    zones.zones = {"here", "there"};
    zones.crossZoneCost = 0.03;
    FleetShape weights;
    weights.weightsFollowLoad = true;
    FleetShape writes;
    writes.writeFraction = 0.5;
    FleetShape onlyWrites;
    onlyWrites.writeFraction = 1;
    for (const auto& [name, shape] : std::vector<NamedShape>{
             {"zones", zones}, {"weights", weights}, {"half writes", writes}, {"only writes", onlyWrites}}) {
        ReadmittedFleet readmitted(shape, 0);
        readmitted.fleet.run(kObserved);
        INFO(name);
        CHECK(readmitted.fleet.largestWindow(kReadmitted) <= 1);
        CHECK(readmitted.fleet.routersUsing(kReadmitted, readmitted.fleet.now) >= 1);
    }
}

TEST_CASE("a readmitted server stays within its limit when all routers restart while it warms up") {
    ReadmittedFleet readmitted({}, 0);
    readmitted.fleet.run(1'000 * ms);
    for (int router = 0; router < 48; ++router) readmitted.fleet.restartRouter(router);
    readmitted.fleet.run(kObserved);
    CHECK(readmitted.fleet.largestWindow(kReadmitted) <= 1);
}

// Guards against requests of routers with little traffic that are rejected since they had waited for the cold
// server until their deadline, and the retry credit of such routers allows no other attempt.
TEST_CASE("no request is rejected because its router has sent it to a readmitted server that is too slow") {
    FleetShape slowStart;
    slowStart.rate = 40;
    FleetShape slower = slowStart;
    slower.initialFraction = 0.05;
    for (const FleetShape& shape : {slowStart, slower}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            ReadmittedFleet readmitted(shape, 0, seed);
            readmitted.fleet.run(kObserved);
            CHECK(readmitted.rejectedSince() == 0);
        }
    }
}

// One of a thousand routers, which have next to no retry credit.
TEST_CASE(
    "a safe request that is too slow at a readmitted server gets another attempt in time and without "
    "credit") {
    PolicySettings settings = smallPolicySettings(false);
    settings.routerCount = 1'000;
    settings.rampDuration = 1'000'000 * ms;
    PolicyFixture fixture(settings, 4);
    fixture.policy.onOperatorEjection(fixture.now, "a", true);
    fixture.policy.onOperatorEjection(fixture.now, "a", false);
    // A miss earns no credit.
    RequestId id = 0;
    std::string server;
    for (int i = 0; i < 900 && server != "a"; ++i) {
        if (i > 0) fixture.endAttempt(id, 0, AttemptOutcome::cacheMiss, true);
        fixture.now += 1'000 * ms;
        ++id;
        server = fixture.sendRequest(id, "k" + std::to_string(id));
    }
    REQUIRE(server == "a");
    const Nanos timeout = 2'000 * ms;
    const Nanos timesOutAt = fixture.host.actions.back().time;
    CHECK(timesOutAt <= fixture.now + timeout * 3 / 4);
    CHECK(timesOutAt >= fixture.now + timeout / 2);
    fixture.now = timesOutAt;
    const std::string next = fixture.endAttempt(id, 0, AttemptOutcome::timedOut, false, timeout / 2);
    CHECK(next.size() == 1);
    CHECK(next != "a");
}

TEST_CASE(
    "only requests that are safe to repeat are sent to a readmitted server because it awaits its first "
    "attempt") {
    PolicyFixture fixture(false, 4);
    RequestId id = 0;
    const auto serve = [&](const char* requestClass, const std::string& key) {
        fixture.now += 50 * ms;
        const std::string server = fixture.sendRequest(++id, key, requestClass);
        fixture.endAttempt(id, 0, AttemptOutcome::succeeded);
        return server;
    };
    // Hints keep the keys at the servers that have served them.
    fixture.policy.onOperatorEjection(fixture.now, "a", true);
    for (int i = 0; i < 40; ++i) serve("read", std::to_string(i));
    fixture.policy.onOperatorEjection(fixture.now, "a", false);
    for (const char* requestClass : {"mark", "pay"})
        for (int i = 0; i < 100; ++i) CHECK(serve(requestClass, std::to_string(i % 40)) != "a");
    int readsUntilUse = 0;
    while (readsUntilUse < 10 && serve("read", std::to_string(readsUntilUse)) != "a") ++readsUntilUse;
    CHECK(readsUntilUse < 10);
}

TEST_CASE("a readmitted server is used within 5 s where the settings limit no load of servers that warm up") {
    PolicySettings settings = smallPolicySettings(false);
    settings.overloadWindow = 0;
    settings.rampDuration = 0;
    PolicyFixture fixture(settings, 4);
    RequestId id = 0;
    fixture.policy.onOperatorEjection(fixture.now, "a", true);
    fixture.serveRequest(++id, "k");
    fixture.policy.onOperatorEjection(fixture.now, "a", false);
    const Nanos readmittedAt = fixture.now;
    while (fixture.serveRequest(++id, "k") != "a" && fixture.now < readmittedAt + kUseWithin)
        fixture.now += 100 * ms;
    CHECK(fixture.now < readmittedAt + kUseWithin);
}

// The console refuses to eject the origin, but a server may become the origin's entry while it is ejected.
TEST_CASE("an origin whose ejection is lifted has no slow start") {
    PolicyFixture fixture(true, 2);
    fixture.policy.onOperatorEjection(fixture.now, "origin", true);
    fixture.policy.onOperatorEjection(fixture.now, "origin", false);
    for (const EndpointStatus& status : fixture.policy.endpointStatuses(fixture.now))
        CHECK(status.warmupFraction == 1);
    for (RequestId id = 1; id <= 2; ++id) CHECK(fixture.sendRequest(id, "k", "pay", true) == "origin");
}
