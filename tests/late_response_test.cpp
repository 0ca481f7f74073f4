// A server that sends a second copy of a response some milliseconds late, on a connection on which nothing
// else waits. Nothing in a response names its request, so a copy must not meet the next request.
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <optional>

#include "fixtures.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

// A connection gets no further request for 50 ms after a response. A test whose own thread was held up for
// longer than this between two steps says nothing, and is repeated.
constexpr std::chrono::milliseconds kMaxHoldUp{25};
constexpr int kMaxRepetitions = 20;
constexpr int kCopyDelayUs = 5'000;
constexpr int kAfterCooldownUs = 100'000;

using Clock = std::chrono::steady_clock;

struct Exchange {
    std::string firstRequest;
    std::string secondRequest;
    std::string firstResponse;   // sent twice
    std::string secondResponse;  // sent on the connection on which the second request arrives
    std::string secondValue;     // what the second client must get
};

// Plays one exchange with `server`. Returns what the second client got and what it had to get; none if the
// test was held up.
std::optional<std::pair<std::string, std::string>> play(RouterFixture& fixture, TestServer& server,
                                                        const Exchange& exchange) {
    usleep(kAfterCooldownUs);
    Socket firstClient = fixture.client();
    Socket secondClient = fixture.client();
    firstClient.send(exchange.firstRequest);
    Socket first = server.accept();
    REQUIRE(first.awaitInput());
    first.discardUnread();
    first.send(exchange.firstResponse);
    firstClient.readResponse();
    const Clock::time_point answeredAt = Clock::now();
    secondClient.send(exchange.secondRequest);
    usleep(kCopyDelayUs);
    first.send(exchange.firstResponse);
    const bool wasHeldUp = Clock::now() - answeredAt > kMaxHoldUp;
    // The request arrives on a connection of its own, or else on the one that has the copy.
    const bool isOnOwnConnection = !server.isQuiet(1'000);
    Socket own = isOnOwnConnection ? server.accept() : Socket(-1);
    (isOnOwnConnection ? own : first).send(exchange.secondResponse);
    const std::string answer = secondClient.readResponse();
    if (wasHeldUp) return std::nullopt;
    CHECK(first.isClosedByPeer());
    return std::pair(answer, exchange.secondValue);
}

void checkOwnResponse(const std::function<Exchange()>& makeExchange, bool isOrigin) {
    for (int i = 0; i < kMaxRepetitions; ++i) {
        RouterFixture fixture;
        const auto result = play(fixture, isOrigin ? fixture.origin : fixture.caches[0], makeExchange());
        if (!result) continue;
        const bool isOwn = result->first == result->second;
        CHECK(isOwn);
        return;
    }
    FAIL("the test was held up in each repetition");
}

// A server sends `response`, and a second copy of it some milliseconds late. Returns false if the test was
// held up between the two.
bool sendWithLateCopy(Socket& server, const std::string& response) {
    server.send(response);
    const Clock::time_point sentAt = Clock::now();
    usleep(kCopyDelayUs);
    server.send(response);
    return Clock::now() - sentAt <= kMaxHoldUp;
}

const std::string kLongValue(100'000, 'x');

}  // namespace

TEST_CASE("a late second copy of a cache server's response is not taken for the next response") {
    const std::string second = hit("second");
    SUBCASE("short value") {
        checkOwnResponse([&] { return Exchange{get("a"), get("b"), hit("first"), second, "second"}; }, false);
    }
    SUBCASE("streamed value") {
        checkOwnResponse(
            [&] {
                return Exchange{get("a"), get("b"), hit(kLongValue), second, "second"};
            },
            false);
    }
    SUBCASE("streamed value behind a short one") {
        checkOwnResponse(
            [&] {
                return Exchange{get("a"), get("b"), hit("first"), hit(kLongValue), kLongValue};
            },
            false);
    }
    SUBCASE("error") {
        const std::string unrepeatable = get("a", "c=pay,t=north,d=900");
        checkOwnResponse(
            [&] {
                return Exchange{unrepeatable, get("b"), "-ERR no\r\n", second, "second"};
            },
            false);
    }
}

TEST_CASE("a late second copy of the origin's response is not taken for the next receipt") {
    const std::string firstWrite = set("a", "c=pay,d=900");
    const std::string secondWrite = set("b", "c=pay,d=900");
    const std::string second = http(200, "second");
    SUBCASE("short receipt") {
        checkOwnResponse(
            [&] {
                return Exchange{firstWrite, secondWrite, http(200, "first"), second, "second"};
            },
            true);
    }
    SUBCASE("streamed receipt") {
        checkOwnResponse(
            [&] {
                return Exchange{firstWrite, secondWrite, http(200, kLongValue), second, "second"};
            },
            true);
    }
    SUBCASE("error") {
        checkOwnResponse(
            [&] {
                return Exchange{firstWrite, secondWrite, http(500, ""), second, "second"};
            },
            true);
    }
}

TEST_CASE("a late second copy of a rejection does not make a request that runs be sent again") {
    for (int i = 0; i < kMaxRepetitions; ++i) {
        RouterFixture fixture;
        Socket client = fixture.client();
        client.send(set("a", "c=pay,d=900"));
        Socket rejecting = fixture.origin.accept();
        rejecting.readHead();
        rejecting.readBytes(1);
        if (!sendWithLateCopy(rejecting, http(503, "", "X-Rejected: 1\r\n"))) continue;
        Socket running = fixture.origin.accept();
        REQUIRE(running.isOpen());
        running.readHead();
        running.readBytes(1);
        CHECK(fixture.origin.isQuiet(200));
        running.send(http(200, "receipt"));
        CHECK(client.readResponse() == "receipt");
        return;
    }
    FAIL("the test was held up in each repetition");
}

// The copy was taken for the response to a request that was running: the origin got it as well, and both
// attempts were out at once.
TEST_CASE("a late second copy of a miss starts no attempt beside the one that is running") {
    for (int i = 0; i < kMaxRepetitions; ++i) {
        RouterFixture fixture;
        Socket first = fixture.client(), second = fixture.client();
        first.send(get("a", "c=pay,t=north,d=900"));
        Socket missing = fixture.caches[0].accept();
        missing.readCommand();
        missing.send(kMiss);
        const Clock::time_point missedAt = Clock::now();
        Socket origin = fixture.origin.accept();
        CHECK(origin.readHead().at(0) == "GET /a HTTP/1.1");
        second.send(get("b", "c=pay,t=north,d=900"));
        usleep(kCopyDelayUs);
        missing.send(kMiss);
        if (Clock::now() - missedAt > kMaxHoldUp) continue;
        Socket running = fixture.caches[0].accept();
        REQUIRE(running.isOpen());
        CHECK(running.readCommand().at(1) == "b");
        CHECK(fixture.origin.isQuiet(100));
        running.send(hit("b"));
        origin.send(http(200, "a"));
        CHECK(first.readResponse() == "a");
        CHECK(second.readResponse() == "b");
        return;
    }
    FAIL("the test was held up in each repetition");
}

TEST_CASE("a connection is used again once no second copy of its last response is expected") {
    RouterFixture fixture;
    Socket client = fixture.client();
    client.send(get("a"));
    Socket cache = fixture.caches[0].accept();
    for (const char* const key : {"b", "c", "d"}) {
        CHECK(cache.readCommand().size() == 4);
        cache.send(hit("value"));
        CHECK(client.readResponse() == "value");
        usleep(kAfterCooldownUs);
        client.send(get(key));
    }
    CHECK(cache.readCommand().size() == 4);
    CHECK(fixture.caches[0].isQuiet(0));
}
