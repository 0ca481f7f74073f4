// What an attempt tells its server of the client's time (`d` of the info list) is never over what is left
// when it is written. The bounds here are lower bounds of the time that has passed at the router, so they
// hold however slow the machine is: the router had the request before its first attempt came, and wrote the
// next attempt after that one was answered.
#include <doctest/doctest.h>

#include <chrono>
#include <optional>

#include "fixtures.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

using Clock = std::chrono::steady_clock;

constexpr long kClientTime = 6'000;  // ms, what the clients here say that they wait
constexpr int kServerTakes = 300;    // ms, before a server here answers

nlohmann::json patientStart() {
    auto start = smallStart();
    start["settings"]["allowed"]["connectTimeoutUs"] = 5'000'000;
    for (auto& requestClass : start["settings"]["verbs"]) {
        requestClass["responseGoalUs"] = 3'000'000;
        requestClass["timeLimitUs"] = 6'000'000;
    }
    return start;
}

std::string infoOf(const std::string& requestClass, const std::string& key) {
    return "c=" + requestClass + ",t=north,d=" + std::to_string(kClientTime) + ",k=" + key;
}

long passedSince(Clock::time_point since) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - since).count();
}

// The item `d` of an info list; -1 where there is none.
long timeToldIn(const std::string& info) {
    const auto at = (',' + info).find(",d=");
    return at == std::string::npos ? -1 : std::stol(info.substr(at + 2));
}

// The time that an attempt at the origin tells, and that the rest of the list has gone on as it came.
long toldToOrigin(Socket& origin, const std::string& key, const std::string& requestClass) {
    for (const auto& line : origin.head()) {
        const std::string name = "X-Call-Info: ";
        if (!line.starts_with(name)) continue;
        const std::string info = line.substr(name.size());
        const long told = timeToldIn(info);
        CHECK(info == "c=" + requestClass + ",t=north,d=" + std::to_string(told) + ",k=" + key);
        return told;
    }
    return -1;
}

long toldToCache(Socket& cache) {
    const auto words = cache.command();
    return words.size() < 4 ? -1 : timeToldIn(words[3]);
}

}  // namespace

TEST_CASE("a read that a cache misses after some time tells the origin the time that is left") {
    Stage stage(1, patientStart());
    Socket client = stage.client();
    client.say(get("k", infoOf("read", "k")));
    Socket cache = stage.caches[0].accept();
    const long first = toldToCache(cache);
    const auto routerHasIt = Clock::now();
    CHECK(first > 0);
    CHECK(first <= kClientTime);
    usleep(kServerTakes * 1'000);
    const long passed = passedSince(routerHasIt);
    cache.say(kMiss);
    Socket origin = stage.origin.accept();
    const long told = toldToOrigin(origin, "k", "read");
    CHECK(told > 0);
    CHECK(told <= kClientTime - passed);
    origin.say(http(200, "V"));
    CHECK(client.answer() == "V");
}

TEST_CASE("a retry after a reset tells the time that is left, at a cache and at the origin") {
    Stage stage(2, patientStart());
    Socket client = stage.client();
    client.say(get("k", infoOf("read", "k")));
    // Which of the two is asked first is the router's to choose.
    const bool second = stage.caches[0].quiet(500);
    Socket cache = stage.caches[second ? 1 : 0].accept();
    toldToCache(cache);
    const auto routerHasIt = Clock::now();
    usleep(kServerTakes * 1'000);
    long passed = passedSince(routerHasIt);
    cache.reset();
    Socket other = stage.caches[second ? 0 : 1].accept();
    const long atCache = toldToCache(other);
    CHECK(atCache > 0);
    CHECK(atCache <= kClientTime - passed);
    usleep(kServerTakes * 1'000);
    passed = passedSince(routerHasIt);
    other.say(kMiss);
    Socket origin = stage.origin.accept();
    const long atOrigin = toldToOrigin(origin, "k", "read");
    CHECK(atOrigin > 0);
    CHECK(atOrigin <= kClientTime - passed);
    origin.say(http(200, "V"));
    CHECK(client.answer() == "V");
}

TEST_CASE("a write that the origin turns away tells the time that is left when it is tried again") {
    for (const std::string requestClass : {"mark", "pay"}) {
        CAPTURE(requestClass);
        Stage stage(1, patientStart());
        Socket client = stage.client();
        client.say(set("k", infoOf(requestClass, "k")));
        Socket origin = stage.origin.accept();
        const long first = toldToOrigin(origin, "k", requestClass);
        const auto routerHasIt = Clock::now();
        CHECK(first > 0);
        CHECK(first <= kClientTime);
        origin.bytes(1);
        usleep(kServerTakes * 1'000);
        const long passed = passedSince(routerHasIt);
        origin.say(http(503, "", "X-Rejected: 1\r\nConnection: close\r\n"));
        origin.hangUp();
        // Whether it is tried again is the router's to choose; what is told then isn't.
        if (!client.quiet(300)) continue;
        Socket again = stage.origin.accept();
        const long told = toldToOrigin(again, "k", requestClass);
        CHECK(told > 0);
        CHECK(told <= kClientTime - passed);
    }
}

TEST_CASE("a connection that comes up late tells the time that is left when it is up") {
    Stage stage(1, patientStart());
    stage.caches[0].hold();
    stage.origin.hold();
    Socket reads = stage.client(), writes = stage.client();
    // An answer shows that the router has what was said before it on that connection.
    reads.say(get("r", infoOf("read", "r")));
    writes.say(set("w", infoOf("mark", "w")));
    Socket after = stage.client();
    CHECK(after.say(array({"PING"})).answer() == "+PONG");
    const auto routerHasIt = Clock::now();
    usleep(kServerTakes * 1'000);
    const long passed = passedSince(routerHasIt);
    stage.caches[0].let();
    stage.origin.let();
    Socket cache = stage.caches[0].accept();
    const long atCache = toldToCache(cache);
    CHECK(atCache > 0);
    CHECK(atCache <= kClientTime - passed);
    Socket origin = stage.origin.accept();
    const long atOrigin = toldToOrigin(origin, "w", "mark");
    CHECK(atOrigin > 0);
    CHECK(atOrigin <= kClientTime - passed);
}

TEST_CASE("a long value tells the time that is left, read after a miss and written to a late connection") {
    const std::string value(200'000, 'x');
    Stage stage(1, patientStart());
    stage.origin.hold();
    Socket reads = stage.client(), writes = stage.client();
    writes.say(set("w", infoOf("mark", "w"), value));
    reads.say(get("r", infoOf("read", "r")));
    Socket cache = stage.caches[0].accept();
    toldToCache(cache);
    const auto routerHasIt = Clock::now();
    usleep(kServerTakes * 1'000);
    const long passed = passedSince(routerHasIt);
    cache.say(kMiss);
    stage.origin.let();
    for (int i = 0; i < 2; ++i) {
        Socket origin = stage.origin.accept();
        const auto head = origin.head();
        REQUIRE_FALSE(head.empty());
        const bool write = head[0].starts_with("PUT");
        for (const auto& line : head) {
            if (!line.starts_with("X-Call-Info")) continue;
            const long told = timeToldIn(line.substr(line.find(' ') + 1));
            CHECK(told > 0);
            // The write may have come to the router after the read's miss; it waited for the connection.
            CHECK(told <= kClientTime - (write ? 1 : passed));
        }
        if (write) CHECK(origin.bytes(value.size()).size() == value.size());
        origin.say(http(200, write ? "stored" : value));
    }
    CHECK(reads.answer() == value);
    CHECK(writes.answer() == "stored");
}

TEST_CASE("a request with less than a millisecond left is answered and sent nowhere") {
    Stage stage;
    Socket client = stage.client();
    client.say(get("k", "c=read,t=north,d=1"));
    CHECK(client.answer().starts_with("-"));
    CHECK(stage.caches[0].quiet(100));
    CHECK(stage.origin.quiet(0));
}
