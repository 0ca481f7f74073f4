// The remaining time that an attempt forwards to its server (`d` of the info list) never exceeds what is
// left of the client's timeout when the attempt is written. The elapsed times that are measured here are
// lower bounds of those at the router, so the checks hold on a slow machine, too: the router had the request
// before the first attempt arrived at its server, and wrote the next attempt after the response to the first.
#include <doctest/doctest.h>

#include <chrono>
#include <optional>

#include "fixtures.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

using Clock = std::chrono::steady_clock;

constexpr long kClientTimeoutMs = 6'000;
constexpr int kResponseDelayMs = 300;  // how long a server waits before it responds or accepts

nlohmann::json startWithLongTimeouts() {
    auto start = minimalStartConfig();
    start["settings"]["allowed"]["connectTimeoutUs"] = 5'000'000;
    for (auto& requestClass : start["settings"]["verbs"]) {
        requestClass["responseGoalUs"] = 3'000'000;
        requestClass["timeLimitUs"] = 6'000'000;
    }
    return start;
}

std::string infoOf(const std::string& requestClass, const std::string& key) {
    return "c=" + requestClass + ",t=north,d=" + std::to_string(kClientTimeoutMs) + ",k=" + key;
}

long elapsedMsSince(Clock::time_point since) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - since).count();
}

// The item `d` of an info list; -1 if there is none.
long forwardedTimeout(const std::string& info) {
    const auto at = (',' + info).find(",d=");
    return at == std::string::npos ? -1 : std::stol(info.substr(at + 2));
}

// Reads the forwarded timeout at the origin, and checks that the rest of the info list is unchanged.
long readTimeoutAtOrigin(Socket& origin, const std::string& key, const std::string& requestClass) {
    for (const auto& line : origin.readHead()) {
        const std::string name = "X-Call-Info: ";
        if (!line.starts_with(name)) continue;
        const std::string info = line.substr(name.size());
        const long forwarded = forwardedTimeout(info);
        CHECK(info == "c=" + requestClass + ",t=north,d=" + std::to_string(forwarded) + ",k=" + key);
        return forwarded;
    }
    return -1;
}

long readTimeoutAtCache(Socket& cache) {
    const auto words = cache.readCommand();
    return words.size() < 4 ? -1 : forwardedTimeout(words[3]);
}

}  // namespace

TEST_CASE("Forwards the remaining time to the origin after a slow cache miss") {
    RouterFixture fixture(1, startWithLongTimeouts());
    Socket client = fixture.client();
    client.send(get("k", infoOf("read", "k")));
    Socket cache = fixture.caches[0].accept();
    const long first = readTimeoutAtCache(cache);
    const auto arrivedAt = Clock::now();
    CHECK(first > 0);
    CHECK(first <= kClientTimeoutMs);
    usleep(kResponseDelayMs * 1'000);
    const long elapsed = elapsedMsSince(arrivedAt);
    cache.send(kMiss);
    Socket origin = fixture.origin.accept();
    const long forwarded = readTimeoutAtOrigin(origin, "k", "read");
    CHECK(forwarded > 0);
    CHECK(forwarded <= kClientTimeoutMs - elapsed);
    origin.send(http(200, "V"));
    CHECK(client.readResponse() == "V");
}

TEST_CASE("Forwards the remaining time to another cache server, and to the origin, after a reset") {
    RouterFixture fixture(2, startWithLongTimeouts());
    Socket client = fixture.client();
    client.send(get("k", infoOf("read", "k")));
    // The router selects which of the two cache servers gets the first attempt.
    const bool isSecondSelected = fixture.caches[0].isQuiet(500);
    Socket cache = fixture.caches[isSecondSelected ? 1 : 0].accept();
    readTimeoutAtCache(cache);
    const auto arrivedAt = Clock::now();
    usleep(kResponseDelayMs * 1'000);
    long elapsed = elapsedMsSince(arrivedAt);
    cache.reset();
    Socket other = fixture.caches[isSecondSelected ? 0 : 1].accept();
    const long atCache = readTimeoutAtCache(other);
    CHECK(atCache > 0);
    CHECK(atCache <= kClientTimeoutMs - elapsed);
    usleep(kResponseDelayMs * 1'000);
    elapsed = elapsedMsSince(arrivedAt);
    other.send(kMiss);
    Socket origin = fixture.origin.accept();
    const long atOrigin = readTimeoutAtOrigin(origin, "k", "read");
    CHECK(atOrigin > 0);
    CHECK(atOrigin <= kClientTimeoutMs - elapsed);
    origin.send(http(200, "V"));
    CHECK(client.readResponse() == "V");
}

TEST_CASE("Forwards the remaining time when a write is retried after the origin has rejected it") {
    for (const std::string requestClass : {"mark", "pay"}) {
        CAPTURE(requestClass);
        RouterFixture fixture(1, startWithLongTimeouts());
        Socket client = fixture.client();
        client.send(set("k", infoOf(requestClass, "k")));
        Socket origin = fixture.origin.accept();
        const long first = readTimeoutAtOrigin(origin, "k", requestClass);
        const auto arrivedAt = Clock::now();
        CHECK(first > 0);
        CHECK(first <= kClientTimeoutMs);
        origin.readBytes(1);
        usleep(kResponseDelayMs * 1'000);
        const long elapsed = elapsedMsSince(arrivedAt);
        origin.send(http(503, "", "X-Rejected: 1\r\nConnection: close\r\n"));
        origin.close();
        // The policy may decide against a retry; a retry must forward the remaining time.
        if (!client.isQuiet(300)) continue;
        Socket again = fixture.origin.accept();
        const long forwarded = readTimeoutAtOrigin(again, "k", requestClass);
        CHECK(forwarded > 0);
        CHECK(forwarded <= kClientTimeoutMs - elapsed);
    }
}

TEST_CASE("Forwards the remaining time on connections that are established late") {
    RouterFixture fixture(1, startWithLongTimeouts());
    fixture.caches[0].blockConnects();
    fixture.origin.blockConnects();
    Socket reads = fixture.client(), writes = fixture.client();
    // The response to PING shows that the router has read the requests that were sent before.
    reads.send(get("r", infoOf("read", "r")));
    writes.send(set("w", infoOf("mark", "w")));
    Socket after = fixture.client();
    CHECK(after.send(array({"PING"})).readResponse() == "+PONG");
    const auto arrivedAt = Clock::now();
    usleep(kResponseDelayMs * 1'000);
    const long elapsed = elapsedMsSince(arrivedAt);
    fixture.caches[0].unblockConnects();
    fixture.origin.unblockConnects();
    Socket cache = fixture.caches[0].accept();
    const long atCache = readTimeoutAtCache(cache);
    CHECK(atCache > 0);
    CHECK(atCache <= kClientTimeoutMs - elapsed);
    Socket origin = fixture.origin.accept();
    const long atOrigin = readTimeoutAtOrigin(origin, "w", "mark");
    CHECK(atOrigin > 0);
    CHECK(atOrigin <= kClientTimeoutMs - elapsed);
}

TEST_CASE("Forwards the remaining time with a long value read after a miss or written on a late connection") {
    const std::string value(200'000, 'x');
    RouterFixture fixture(1, startWithLongTimeouts());
    fixture.origin.blockConnects();
    Socket reads = fixture.client(), writes = fixture.client();
    writes.send(set("w", infoOf("mark", "w"), value));
    reads.send(get("r", infoOf("read", "r")));
    Socket cache = fixture.caches[0].accept();
    readTimeoutAtCache(cache);
    const auto arrivedAt = Clock::now();
    usleep(kResponseDelayMs * 1'000);
    const long elapsed = elapsedMsSince(arrivedAt);
    cache.send(kMiss);
    fixture.origin.unblockConnects();
    for (int i = 0; i < 2; ++i) {
        Socket origin = fixture.origin.accept();
        const auto head = origin.readHead();
        REQUIRE_FALSE(head.empty());
        const bool isWrite = head[0].starts_with("PUT");
        for (const auto& line : head) {
            if (!line.starts_with("X-Call-Info")) continue;
            const long forwarded = forwardedTimeout(line.substr(line.find(' ') + 1));
            CHECK(forwarded > 0);
            // The router may have received the write only after the read's miss. The write has waited for
            // the connection, so some of its time must have passed.
            CHECK(forwarded <= kClientTimeoutMs - (isWrite ? 1 : elapsed));
        }
        if (isWrite) CHECK(origin.readBytes(value.size()).size() == value.size());
        origin.send(http(200, isWrite ? "stored" : value));
    }
    CHECK(reads.readResponse() == value);
    CHECK(writes.readResponse() == "stored");
}

TEST_CASE("Responds to a request with less than a millisecond left, and does not forward it") {
    RouterFixture fixture;
    Socket client = fixture.client();
    client.send(get("k", "c=read,t=north,d=1"));
    CHECK(client.readResponse().starts_with("-"));
    CHECK(fixture.caches[0].isQuiet(100));
    CHECK(fixture.origin.isQuiet(0));
}
