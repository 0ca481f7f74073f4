// Tests the router process through its sockets: the test plays clients, cache servers, the origin
// and discovery.
#include <doctest/doctest.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <random>
#include <thread>

#include "fixtures.hpp"
#include "proxy/connection_pool.hpp"
#include "proxy/upstream_server.hpp"

using namespace poppyscale;
using namespace poppyscale::test;
using namespace std::string_literals;

namespace {

std::string listOf(int version, const std::vector<nlohmann::json>& entries) {
    return nlohmann::json{{"version", version}, {"full", false}, {"servers", entries}}.dump();
}

// The bytes that the kernel holds unread on all connections to this port.
std::size_t unreadBytesAt(std::uint16_t port) {
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    std::size_t total = 0;
    while (std::getline(table, line)) {
        unsigned localPort = 0, sendQueue = 0, receiveQueue = 0;
        const int fields = std::sscanf(line.c_str(), " %*d: %*x:%x %*x:%*x %*x %x:%x", &localPort, &sendQueue,
                                       &receiveQueue);
        const bool isListening = line.find(" 0A ") != std::string::npos;
        if (fields == 3 && localPort == port && !isListening) total += receiveQueue;
    }
    return total;
}

bool startsWith(const std::string& text, std::string_view prefix) { return text.starts_with(prefix); }

// Serves one read from the cache server; returns the connection on which the attempt arrived.
Socket serveOne(RouterFixture& fixture, Socket& client, const std::string& key) {
    client.send(get(key));
    Socket cache = fixture.caches[0].accept();
    CHECK(cache.readCommand().size() == 4);
    cache.send(hit(key));
    CHECK(client.readResponse() == key);
    return cache;
}

// Sends two requests of one client; returns the two connections of the cache server on which they
// are in flight.
std::pair<Socket, Socket> sendTwo(RouterFixture& fixture, Socket& client) {
    client.send(get("a") + get("b"));
    Socket first = fixture.caches[0].accept();
    Socket second = fixture.caches[0].accept();
    CHECK(first.readCommand().size() == 4);
    CHECK(second.readCommand().size() == 4);
    return {std::move(first), std::move(second)};
}

// The upstream side of a router with one cache server, without a router process. Records how
// attempts end, and stops the event loop then, so that the test continues.
struct UpstreamFixture : proxy::AttemptHandler {
    // `responseBytes` is the capacity of the response budget.
    explicit UpstreamFixture(std::size_t responseBytes)
        : responses(responseBytes),
          connectionPool(loop, buffers, *this, guard, responses,
                         {.maxConnections = 8, .idleTimeout = 1'000 * ms, .connectTimeout = 200 * ms}) {
        loop.onIteration([this] {
            connectionPool.admitReaders();
            connectionPool.serveWaiting();
        });
        cache.updateEndpoint(EndpointState::ready, transport::parseAddress(server.address()),
                             server.address());
    }
    proxy::BodySink* onStreamBegins(proxy::Attempt&, std::size_t, proxy::BodySource&) override {
        return nullptr;
    }
    bool isAwaited(proxy::Attempt&) override { return true; }
    void onAttemptEnded(proxy::Attempt&, protocol::AttemptResponse outcome) override {
        outcomes.push_back(outcome.outcome);
        loop.stop();
    }
    static proxy::Attempt::Parameters parameters(Nanos timeout = 5'000 * ms) {
        return {.deadline = transport::EventLoop::now() + timeout};
    }
    // Sends the attempt and runs the loop for up to 100 ms.
    void send(proxy::Attempt& attempt) {
        transport::Timer pause(loop, [this] { loop.stop(); });
        pause.start(transport::EventLoop::now() + 100 * ms);
        cache.send(attempt);
        loop.run();
    }

    transport::BufferPool buffers{64};
    transport::EventLoop loop;
    proxy::InvariantGuard guard{[this](std::string_view text) { violations.emplace_back(text); }};
    std::vector<std::string> violations;
    proxy::ResponseBudget responses;
    proxy::ConnectionPool connectionPool;
    TestServer server;
    proxy::UpstreamServer cache{connectionPool, false};
    protocol::Request request;
    std::vector<AttemptOutcome> outcomes;
};

}  // namespace

TEST_CASE("a read is served by the cache server, and the connection is reused") {
    RouterFixture fixture;
    Socket client = fixture.client();
    client.send(get("k", "c=read,t=north,d=1500,size=9"));
    Socket cache = fixture.caches[0].accept();
    const auto words = cache.readCommand();
    REQUIRE(words.size() == 4);
    CHECK(words[0] == "OBJ.GET");
    CHECK(words[1] == "k");
    CHECK(words[2] == "9b1f-k");
    CHECK(startsWith(words[3], "c=read,t=north,d=1"));
    CHECK(words[3].ends_with(",size=9"));
    // Sends the response in single bytes, as a network may deliver it.
    const std::string answer = hit("value");
    for (const char c : answer) cache.send({&c, 1});
    CHECK(client.readResponse() == "value");
    awaitReuse();
    client.send(get("k"));
    CHECK(cache.readCommand().size() == 4);
    cache.send(hit("again"));
    CHECK(client.readResponse() == "again");
    CHECK(fixture.caches[0].isQuiet(50));
}

TEST_CASE("a cache miss is served by the origin") {
    RouterFixture fixture;
    Socket client = fixture.client();
    client.send(get("k"));
    Socket cache = fixture.caches[0].accept();
    cache.readCommand();
    cache.send(kMiss);
    Socket origin = fixture.origin.accept();
    const auto head = origin.readHead();
    REQUIRE(head.size() == 4);
    CHECK(head[0] == "GET /k HTTP/1.1");
    CHECK(head[2] == "X-Call-Id: 9b1f-k");
    // The info list is passed on as the client sent it, except for `d`, the rest of the client's
    // timeout.
    const std::string prefix = "X-Call-Info: c=read,t=north,d=";
    REQUIRE(head[3].starts_with(prefix));
    const long remainingMs = std::stol(head[3].substr(prefix.size()));
    CHECK(head[3] == prefix + std::to_string(remainingMs));
    CHECK(remainingMs > 0);
    CHECK(remainingMs <= 1'500);
    origin.send(http(200, "fetched"));
    CHECK(client.readResponse() == "fetched");
}

TEST_CASE("a write of 64 KiB reaches the origin complete and its receipt is returned") {
    RouterFixture fixture;
    Socket client = fixture.client();
    const std::string value(64 * 1024, 'x');
    client.send(set("k", "c=mark,t=north,d=1500,k=5c", value));
    Socket origin = fixture.origin.accept();
    CHECK(origin.readHead()[0] == "PUT /k HTTP/1.1");
    CHECK(origin.readBytes(value.size()) == value);
    origin.send(http(200, "receipt"));
    CHECK(client.readResponse() == "receipt");
}

TEST_CASE("a write that was not executed is rejected; one that may have executed fails and is not retried") {
    RouterFixture fixture;
    Socket client = fixture.client();
    client.send(set("k", "c=pay,d=900"));
    // A retry right after a response does not use its connection.
    std::vector<Socket> origins;
    for (int attempts = 0; attempts < 3; ++attempts) {
        Socket& origin = origins.emplace_back(fixture.origin.accept());
        CHECK(origin.readHead().size() == 5);
        origin.readBytes(1);
        origin.send(http(503, "", "X-Rejected: 1\r\n"));
    }
    CHECK(startsWith(client.readResponse(), "-BUSY"));
    awaitReuse();
    // The most recently used connection is used first.
    Socket& origin = origins.back();
    client.send(set("k", "c=pay,d=900"));
    origin.readHead();
    origin.readBytes(1);
    origin.send(http(500, ""));
    CHECK(startsWith(client.readResponse(), "-ERR"));
    awaitReuse();
    client.send(set("k", "c=pay,d=900"));
    origin.readHead();
    origin.readBytes(1);
    origin.reset();
    CHECK(startsWith(client.readResponse(), "-ERR"));
    CHECK(fixture.origin.isQuiet(200));
    origins.clear();
    fixture.origin.close();
    client.send(set("k", "c=pay,d=900"));
    CHECK(startsWith(client.readResponse(), "-BUSY"));
}

TEST_CASE("a request whose idle connection is found broken before the write counts as not executed") {
    UpstreamFixture upstream(128 * 1024);
    upstream.request.info = "c=pay,d=900";
    proxy::Attempt first(upstream.loop, upstream.request, upstream.cache, upstream.parameters());
    upstream.send(first);
    Socket connection = upstream.server.accept();
    CHECK(connection.readCommand().size() == 4);
    connection.send(hit("v"));
    upstream.loop.run();
    connection.reset();
    usleep(50'000);
    upstream.server.close();
    proxy::Attempt second(upstream.loop, upstream.request, upstream.cache, upstream.parameters());
    upstream.send(second);
    CHECK(upstream.outcomes == std::vector{AttemptOutcome::succeeded, AttemptOutcome::connectFailed});
}

// Guards against responses that take more memory than they may, and against failing them for want of it.
TEST_CASE("an incomplete response is read on only when there is memory for its rest") {
    UpstreamFixture upstream(32 * 1024);
    proxy::Attempt attempt(upstream.loop, upstream.request, upstream.cache, upstream.parameters());
    upstream.send(attempt);
    Socket connection = upstream.server.accept();
    const std::string response = hit(std::string(60 * 1024, 'x'));
    std::jthread server([&] { connection.send(response); });
    const auto run = [&upstream](Nanos duration) {
        transport::Timer end(upstream.loop, [&upstream] { upstream.loop.stop(); });
        end.start(transport::EventLoop::now() + duration);
        upstream.loop.run();
    };
    run(300 * ms);
    CHECK(upstream.outcomes.empty());
    CHECK(upstream.responses.incompleteBytes() <= 16 * 1024);
    upstream.responses.setCapacity(256 * 1024);
    run(300 * ms);
    CHECK(upstream.outcomes == std::vector{AttemptOutcome::succeeded});
    CHECK(upstream.responses.incompleteBytes() == 0);
}

TEST_CASE(
    "an attempt whose response is not read for want of memory ends by its deadline as possibly executed") {
    UpstreamFixture upstream(32 * 1024);
    proxy::Attempt attempt(upstream.loop, upstream.request, upstream.cache, upstream.parameters(400 * ms));
    upstream.send(attempt);
    Socket connection = upstream.server.accept();
    connection.send(std::string_view(hit(std::string(40 * 1024, 'x'))).substr(0, 30 * 1024));
    upstream.loop.run();
    CHECK(upstream.outcomes == std::vector{AttemptOutcome::notExecuted});
    CHECK(upstream.responses.incompleteBytes() == 0);
}

TEST_CASE("responses are sent in request order, and no request waits behind another at a cache server") {
    RouterFixture fixture;
    Socket client = fixture.client();
    client.send(get("a") + array({"PING"}) + get("b"));
    Socket first = fixture.caches[0].accept();
    Socket second = fixture.caches[0].accept();
    const std::string firstKey = first.readCommand().at(1), secondKey = second.readCommand().at(1);
    CHECK(firstKey != secondKey);
    (firstKey == "b" ? first : second).send(hit("vb"));
    CHECK(client.isQuiet(100));
    (firstKey == "a" ? first : second).send(hit("va"));
    CHECK(client.readResponse() == "va");
    CHECK(client.readResponse() == "+PONG");
    CHECK(client.readResponse() == "vb");
}

TEST_CASE("a client that disconnects with requests in flight does not affect other clients") {
    RouterFixture fixture;
    Socket disconnecting = fixture.client();
    auto [first, second] = sendTwo(fixture, disconnecting);
    disconnecting.reset();
    Socket client = fixture.client();
    CHECK(client.send(array({"PING"})).readResponse() == "+PONG");
    first.send(hit("late"));
    usleep(10'000);
    second.send(hit("late"));
    awaitReuse();
    client.send(get("c"));
    CHECK(second.readCommand().size() == 4);
    second.send(hit("vc"));
    CHECK(client.readResponse() == "vc");
}

TEST_CASE("an attempt that times out closes its connection and the idle connections of that server") {
    RouterFixture fixture;
    Socket client = fixture.client();
    auto [first, second] = sendTwo(fixture, client);
    first.send(hit("v"));
    second.send(hit("v"));
    client.readResponse();
    client.readResponse();
    awaitReuse();
    client.send(get("c", "c=read,d=300"));
    CHECK(startsWith(client.readResponse(), "-"));
    CHECK(first.isClosedByPeer());
    CHECK(second.isClosedByPeer());
    serveOne(fixture, client, "d");
}

TEST_CASE(
    "a router that was suspended responds by the client's timeout, counted from the request's arrival") {
    RouterFixture fixture;
    Socket client = fixture.client();
    CHECK(client.send(array({"PING"})).readResponse() == "+PONG");
    fixture.program.signal(SIGSTOP);
    client.send(set("k", "c=pay,d=900"));
    const auto sent = std::chrono::steady_clock::now();
    usleep(600'000);
    fixture.program.signal(SIGCONT);
    CHECK(startsWith(client.readResponse(), "-ERR"));
    CHECK(std::chrono::steady_clock::now() - sent < std::chrono::milliseconds(1'200));
}

TEST_CASE("a request whose cache server refuses connections is rejected as not executed") {
    RouterFixture fixture;
    fixture.caches[0].close();
    Socket client = fixture.client();
    client.send(get("k"));
    CHECK(startsWith(client.readResponse(), "-BUSY"));
}

TEST_CASE("malformed bytes from a cache server fail only that attempt and close the connection") {
    RouterFixture fixture;
    Socket client = fixture.client();
    client.send(get("k"));
    Socket cache = fixture.caches[0].accept();
    cache.readCommand();
    cache.send("!what\r\n");
    CHECK(startsWith(client.readResponse(), "-"));
    CHECK(cache.isClosedByPeer());
    Socket next = serveOne(fixture, client, "d");
    next.send(hit("nobody asked"));
    CHECK(next.isClosedByPeer());
    serveOne(fixture, client, "e");
}

TEST_CASE("a response of unexpected form closes its connection, and so do bytes that follow a valid one") {
    RouterFixture fixture;
    Socket client = fixture.client();
    client.send(get("k"));
    Socket cache = fixture.caches[0].accept();
    cache.readCommand();
    cache.send("$5\r\nvalue\r\n");
    CHECK(startsWith(client.readResponse(), "-"));
    CHECK(cache.isClosedByPeer());
    cache = serveOne(fixture, client, "a");
    awaitReuse();
    client.send(get("b"));
    CHECK(cache.readCommand().size() == 4);
    cache.send(hit("vb") + hit("va"));
    CHECK(client.readResponse() == "vb");
    CHECK(cache.isClosedByPeer());
    // Two requests are in flight at once, and the second may wait for the connection of the first. The
    // duplicate of the first response must not be taken for the response to the second request.
    client.send(get("c"));
    cache = fixture.caches[0].accept();
    cache.readCommand();
    client.send(get("d"));
    Socket other = fixture.caches[0].accept();
    cache.send(hit("vc") + hit("vc"));
    CHECK(client.readResponse() == "vc");
    CHECK(other.readCommand().at(1) == "d");
    other.send("*3\r\n$2\r\nvd\r\n$3\r\nhit\r\n$9\r\n\xff=,;q\0\r\nx\r\n"s);
    CHECK(client.readResponse() == "vd");
    awaitReuse();
    client.send(get("e"));
    CHECK(other.readCommand().at(1) == "e");
}

TEST_CASE("no request is lost when a server closes its connection after a response") {
    RouterFixture fixture;
    Socket client = fixture.client();
    Socket cache = serveOne(fixture, client, "a");
    fixture.program.signal(SIGSTOP);
    client.send(set("b", "c=pay,d=900") + get("c"));
    cache.close();
    fixture.program.signal(SIGCONT);
    Socket newConnection = fixture.caches[0].accept();
    CHECK(newConnection.readCommand().at(1) == "c");
    Socket origin = fixture.origin.accept();
    origin.readHead();
    origin.readBytes(1);
    origin.send("HTTP/1.1 100 Continue\r\n\r\n" + http(200, "receipt"));
    CHECK(client.readResponse() == "receipt");
}

TEST_CASE("malformed bytes get an error and close the connection; unknown commands only get an error") {
    RouterFixture fixture;
    Socket client = fixture.client();
    CHECK(startsWith(client.send(array({"FLUSHALL"})).readResponse(), "-ERR"));
    CHECK(client.send(array({"PING"})).readResponse() == "+PONG");
    client.send("GET / HTTP/1.1\r\n\r\n");
    CHECK(startsWith(client.readResponse(), "-ERR Protocol error"));
    CHECK(client.isClosedByPeer());
    Socket oversized = fixture.client();
    oversized.send("*5\r\n$7\r\nOBJ.SET\r\n$99999999\r\n");
    CHECK(startsWith(oversized.readResponse(), "-ERR Protocol error"));
    CHECK(oversized.isClosedByPeer());
}

TEST_CASE("in the simulator's membership mode \"pushed\", the endpoint list is polled as well") {
    auto start = minimalStartConfig();
    start["settings"]["membershipMode"] = "pushed";
    RouterFixture fixture(1, start);
    CHECK(startsWith(fixture.discovery.accept().readLine(), "GET /api/targets?after=7&wait_ms="));
}

TEST_CASE("in membership mode \"pushed\", the drain grace period limits the poll interval while polls fail") {
    auto start = minimalStartConfig();
    start["settings"]["membershipMode"] = "pushed";
    start["settings"]["replicasOfMe"] = 300;
    start["settings"]["rules"]["drainGraceUs"] = 500'000;
    RouterFixture fixture(1, start);
    const auto began = std::chrono::steady_clock::now();
    for (int failed = 0; failed < 6; ++failed) {
        Socket discovery = fixture.discovery.accept();
        CHECK(startsWith(discovery.readHead().at(0), "GET /api/targets?after=7&wait_ms="));
        discovery.send(http(503, ""));
    }
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(1'800));
}

TEST_CASE("the endpoint watcher applies an update and polls again at once") {
    RouterFixture fixture(2);
    Socket discovery = fixture.discovery.accept();
    CHECK(startsWith(discovery.readHead().at(0), "GET /api/targets?after=7&wait_ms="));
    discovery.send(http(200, listOf(8, {entryOf("c0", fixture.caches[0], "m", "Terminating"),
                                        entryOf("c1", fixture.caches[1], "m", "Ready", 5)})));
    CHECK(startsWith(discovery.readHead().at(0), "GET /api/targets?after=8&wait_ms="));
    Socket client = fixture.client();
    for (const char* key : {"a", "b", "c", "d", "e", "f"}) client.send(get(key));
    CHECK(fixture.caches[1].accept().readCommand().size() == 4);
    CHECK(fixture.caches[0].isQuiet(200));
}

TEST_CASE("a failed poll is repeated after a backoff") {
    RouterFixture fixture;
    for (const char* answer : {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "nonsense\r\n\r\n",
                               "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[7,]"}) {
        Socket discovery = fixture.discovery.accept();
        CHECK(startsWith(discovery.readHead().at(0), "GET /api/targets?after=7"));
        discovery.send(answer);
        CHECK(fixture.discovery.isQuiet(100));
    }
    fixture.discovery.accept();
    Socket client = fixture.client();
    serveOne(fixture, client, "k");
}

TEST_CASE("SIGHUP: discovery is polled at the new configuration's address; an invalid one changes nothing") {
    auto start = minimalStartConfig();
    RouterFixture fixture(2, start);
    fixture.completeStartConfig(start);
    Socket oldPoll = fixture.discovery.accept();
    CHECK(startsWith(oldPoll.readHead().at(0), "GET /api/targets?after=7&wait_ms="));
    Socket client = fixture.client();
    client.send(set("a", "c=pay,d=9000"));
    Socket origin = fixture.origin.accept();
    origin.readHead();
    for (const char* broken : {"", "{", "{\"discovery\":\"127.0.0.1:1\"}"}) {
        fixture.program.writeConfig(broken);
        fixture.program.signal(SIGHUP);
        usleep(50'000);
    }
    CHECK(oldPoll.isQuiet(100));
    TestServer newDiscovery;
    start["discovery"] = newDiscovery.address();
    fixture.program.writeConfig(start.dump());
    fixture.program.signal(SIGHUP);
    fixture.program.signal(SIGHUP);
    // The new address is polled at once and for the complete list: the end of the old poll is no
    // failure that would cause a backoff.
    Socket newPoll = newDiscovery.accept();
    CHECK(oldPoll.isClosedByPeer());
    CHECK(newPoll.readHead().at(0) == "GET /api/targets HTTP/1.1");
    newPoll.reset();
    newPoll = newDiscovery.accept();
    CHECK(newPoll.readHead().at(0) == "GET /api/targets HTTP/1.1");
    auto list = nlohmann::json::parse(listOf(3, {entryOf("c1", fixture.caches[1])}));
    list["full"] = true;
    newPoll.send(http(200, list.dump()));
    CHECK(startsWith(newPoll.readHead().at(0), "GET /api/targets?after=3&wait_ms="));
    CHECK(fixture.discovery.isQuiet(50));
    origin.send(http(200, "receipt"));
    CHECK(client.readResponse() == "receipt");
    for (const char* key : {"a", "b", "c", "d"}) client.send(get(key));
    CHECK(fixture.caches[1].accept().readCommand().size() == 4);
    CHECK(fixture.caches[0].isQuiet(100));
    fixture.program.signal(SIGTERM);
    fixture.program.signal(SIGHUP);
    client.close();
    CHECK(fixture.program.exitCode() == 0);
    const std::string log = fixture.program.log();
    CHECK(log.find("the old configuration stays in effect") != std::string::npos);
}

TEST_CASE("on SIGTERM the router still accepts clients, responds to all requests, then exits with 0") {
    RouterFixture fixture;
    Socket idle = fixture.client();
    idle.send(array({"PING"})).readResponse();
    Socket busy = fixture.client();
    busy.send(get("a"));
    Socket cache = fixture.caches[0].accept();
    cache.readCommand();
    fixture.program.signal(SIGTERM);
    usleep(200'000);
    Socket late = fixture.client();
    Socket other = serveOne(fixture, late, "b");
    CHECK(idle.isClosedByPeer());
    CHECK(late.isClosedByPeer());
    CHECK_FALSE(fixture.client().isOpen());
    cache.send(hit("va"));
    CHECK(busy.readResponse() == "va");
    CHECK(busy.isClosedByPeer());
    CHECK(fixture.program.exitCode() == 0);
}

TEST_CASE("an invalid configuration is reported in one line and ends the process with exit code 1") {
    auto start = minimalStartConfig();
    RouterFixture portOwner(0);
    start["listen"] = "127.0.0.1:" + std::to_string(portOwner.port);
    start["discovery"] = "127.0.0.1:1";
    auto wrongType = start;
    wrongType["settings"]["verbs"][0]["responseGoalUs"] = "soon";
    auto invalidAddress = start;
    invalidAddress["listen"] = "localhost";
    for (const auto& text :
         {std::string("{"), std::string(""), wrongType.dump(), invalidAddress.dump(), start.dump()}) {
        Program program(text);
        CHECK(program.exitCode() == 1);
        const std::string log = program.log();
        CHECK_MESSAGE(log.find('\n') == log.size() - 1, log);
    }
}

TEST_CASE("the router stops reading from a client that does not read, and serves the others") {
    RouterFixture fixture;
    Socket unresponsive = fixture.client();
    const std::string value(64 * 1024, 'x');
    unresponsive.send(get("k"));
    Socket cache = fixture.caches[0].accept();
    int answered = 0;
    for (; answered < 1000 && !cache.isQuiet(300); ++answered) {
        cache.readCommand();
        cache.send(hit(value));
        awaitReuse();
        // Each request has an id of its own: a request may arrive before the previous response is
        // complete, and one whose id is in use gets an error.
        unresponsive.send(get("k" + std::to_string(answered)));
    }
    CHECK(answered > 1);
    CHECK(answered < 1000);
    Socket client = fixture.client();
    client.send(get("other"));
    CHECK(cache.readCommand().at(1) == "other");
    cache.send(hit("v"));
    CHECK(client.readResponse() == "v");
}

TEST_CASE("with more clients than descriptors, silent ones are closed first, then the longest idle ones") {
    auto start = minimalStartConfig();
    start["limits"]["sockets"] = 64;
    RouterFixture fixture(1, start);
    std::vector<Socket> regular;
    for (int i = 0; i < 3; ++i) {
        regular.push_back(fixture.client());
        CHECK(regular.back().send(array({"PING"})).readResponse() == "+PONG");
        usleep(100'000);
    }
    std::vector<Socket> silent;
    for (int i = 0; i < 60; ++i) {
        silent.push_back(fixture.client());
        if (i % 3 == 1) silent.back().send(get("k").substr(0, 9));
        if (i % 3 == 2) silent.back().send(get("k", "c=nothing,d=900"));
    }
    usleep(100'000);
    CHECK(regular.front().send(array({"PING"})).readResponse() == "+PONG");
    CHECK(silent.front().isClosedByPeer());
    silent.clear();
    // Above half of the limit, clients that have idled for 0.25 s are closed.
    for (int i = 0; i < 4; ++i) {
        regular.push_back(fixture.client());
        CHECK(regular.back().send(array({"PING"})).readResponse() == "+PONG");
    }
    usleep(400'000);
    for (int i : {0, 1, 2}) CHECK(regular[i].isClosedByPeer());
    CHECK(regular.back().isQuiet(0));
    // Clients with an outstanding response stay.
    std::vector<Socket> busy;
    for (int i = 0; i < 7; ++i) {
        busy.push_back(fixture.client());
        busy.back().send(set("bill" + std::to_string(i), "c=pay,t=north,d=900"));
        usleep(20'000);
    }
    CHECK(fixture.client().send(array({"PING"})).readResponse().empty());
    busy.clear();
    usleep(100'000);
    Socket late = fixture.client();
    CHECK(late.send(array({"PING"})).readResponse() == "+PONG");
    serveOne(fixture, late, "k");
}

TEST_CASE("a request of an unknown class, or with an id in use, gets an error at once and is not forwarded") {
    RouterFixture fixture;
    Socket client = fixture.client(), other = fixture.client();
    client.send(get("a"));
    Socket cache = fixture.caches[0].accept();
    cache.readCommand();
    CHECK(startsWith(other.send(get("a")).readResponse(), "-ERR"));
    CHECK(startsWith(other.send(get("b", "c=nothing,d=900")).readResponse(), "-ERR"));
    CHECK(startsWith(other.send(set("b", "c=nothing,d=900")).readResponse(), "-ERR"));
    CHECK(fixture.caches[0].isQuiet(50));
    CHECK(fixture.origin.isQuiet(50));
    cache.send(hit("va"));
    CHECK(client.readResponse() == "va");
    awaitReuse();
    other.send(get("a"));
    CHECK(cache.readCommand().size() == 4);
}

TEST_CASE(
    "a client that sends at full speed gets only its share of an iteration, so that others are served") {
    RouterFixture fixture;
    Socket fast = fixture.client(), quiet = fixture.client();
    for (Socket* client : {&fast, &quiet}) CHECK(client->send(array({"PING"})).readResponse() == "+PONG");
    fixture.program.signal(SIGSTOP);
    std::string pings;
    while (pings.size() < 512 * 1024) pings += array({"PING"});
    while (fast.sendWithoutBlocking(pings) > 0) {
    }
    quiet.send(array({"PING"}));
    fixture.program.signal(SIGCONT);
    CHECK(quiet.readResponse() == "+PONG");
    CHECK(fast.unreadBytes() < 200 * 1024);
}

TEST_CASE("an idle connection is closed well before the cache server would close it") {
    auto start = minimalStartConfig();
    start["settings"]["allowed"]["connIdleUs"] = 600'000;
    RouterFixture fixture(1, start);
    Socket client = fixture.client();
    Socket cache = serveOne(fixture, client, "a");
    CHECK(cache.isQuiet(150));
    CHECK(cache.isClosedByPeer());
    serveOne(fixture, client, "b");
}

TEST_CASE(
    "a client that sends nothing or half a request is closed within 3 s, one that keeps completing "
    "requests is not") {
    RouterFixture fixture;
    const std::string ping = array({"PING"});
    Socket idle = fixture.client();
    CHECK(idle.send(ping).readResponse() == "+PONG");
    const auto began = std::chrono::steady_clock::now();
    Socket silent = fixture.client(), incomplete = fixture.client(), busy = fixture.client();
    incomplete.send(get("k").substr(0, 10));
    busy.send(ping.substr(0, 5));
    for (int i = 0; i < 10; ++i) {
        usleep(250'000);
        busy.send(ping.substr(5) + ping.substr(0, 5));
        CHECK(busy.readResponse() == "+PONG");
    }
    CHECK(silent.isClosedByPeer());
    CHECK(startsWith(incomplete.readResponse(), "-ERR Protocol error"));
    CHECK(incomplete.isClosedByPeer());
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(3'000));
    CHECK(idle.isQuiet(0));
}

TEST_CASE("the router keeps serving after mutated bytes from clients, cache servers and the origin") {
    RouterFixture fixture;
    std::mt19937 random(11);
    const auto mutated = [&](std::string text) {
        for (auto left = random() % 4; left > 0; --left)
            text[random() % text.size()] = "*$-:+\r\n019\0Z"[random() % 12];
        return text.substr(0, random() % 3 ? text.size() : random() % text.size());
    };
    const std::vector<std::string> requests{get("a") + get("b"), array({"PING"}) + get("c"),
                                            set("d", "c=mark,d=300"), get("e", "c=read,d=0"),
                                            set("f", "c=pay,d=200,k=1", std::string(9000, 'x'))};
    for (int i = 0; i < 150; ++i) {
        Socket client = fixture.client();
        client.send(mutated(requests[random() % requests.size()]));
        while (!fixture.caches[0].isQuiet(2)) {
            Socket cache = fixture.caches[0].accept();
            cache.send(mutated(random() % 2 ? hit("value") : std::string(kMiss)));
            if (random() % 2) cache.reset();
        }
        while (!fixture.origin.isQuiet(2)) fixture.origin.accept().send(mutated(http(200, "fetched")));
        if (random() % 2) client.reset();
    }
    Socket client = fixture.client();
    CHECK(client.send(array({"PING"})).readResponse() == "+PONG");
    usleep(1'500'000);
    fixture.program.signal(SIGTERM);
    CHECK(fixture.program.exitCode() == 0);
}

TEST_CASE("incomplete requests do not fill a small memory limit, and other clients are served") {
    constexpr std::size_t kClients = 200, kMemoryBytes = 16'000'000, kReadBytes = 16 * 1024;
    auto start = minimalStartConfig();
    start["limits"]["memory_mb"] = 16;
    start["limits"]["sockets"] = 1024;
    RouterFixture fixture(1, start);
    Socket regular = fixture.client();
    CHECK(regular.send(array({"PING"})).readResponse() == "+PONG");
    const std::string request = set("k", "c=mark,d=900", std::string(60 * 1024, 'x'));
    const std::string_view part = std::string_view(request).substr(0, request.size() - 9);
    std::vector<Socket> incomplete;
    for (std::size_t i = 0; i < kClients; ++i) {
        incomplete.push_back(fixture.client());
        incomplete.back().send(part);
    }
    const auto sentAt = std::chrono::steady_clock::now();
    CHECK(regular.send(array({"PING"})).readResponse() == "+PONG");
    // Two hundred incomplete requests would take 12 MB. Of most the router has read no more than once.
    const std::size_t readBytes = kClients * part.size() - unreadBytesAt(fixture.port);
    CHECK(readBytes <= kMemoryBytes / 16 * 3 / 2 + kClients * kReadBytes);
    serveOne(fixture, regular, "k");
    for (Socket& client : incomplete) {
        CHECK(startsWith(client.readResponse(), "-ERR"));
        CHECK(client.isClosedByPeer());
    }
    CHECK(std::chrono::steady_clock::now() - sentAt < std::chrono::seconds(3));
}
