// Tests the router process through its sockets: the test plays clients, cache servers, the origin
// and discovery.
#include <doctest/doctest.h>

#include <chrono>
#include <random>

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

bool startsWith(const std::string& text, std::string_view prefix) { return text.starts_with(prefix); }

// Serves one read from the cache server; returns the connection on which the attempt arrived.
Socket serveOne(Stage& stage, Socket& client, const std::string& key) {
    client.say(get(key));
    Socket cache = stage.caches[0].accept();
    CHECK(cache.command().size() == 4);
    cache.say(hit(key));
    CHECK(client.answer() == key);
    return cache;
}

// Sends two requests of one client; returns the two connections of the cache server on which they
// are in flight.
std::pair<Socket, Socket> sendTwo(Stage& stage, Socket& client) {
    client.say(get("a") + get("b"));
    Socket first = stage.caches[0].accept();
    Socket second = stage.caches[0].accept();
    CHECK(first.command().size() == 4);
    CHECK(second.command().size() == 4);
    return {std::move(first), std::move(second)};
}

// The upstream side of a router with one cache server, without a router process. Records how
// attempts end, and stops the event loop then, so that the test continues.
struct UpstreamFixture : proxy::AttemptHandler {
    explicit UpstreamFixture(std::size_t maxBufferedBytes)
        : connectionPool(loop, buffers, *this, guard,
                         {.maxConnections = 8,
                          .idleTimeout = 1'000 * ms,
                          .connectTimeout = 200 * ms,
                          .maxBufferedBytes = maxBufferedBytes}) {
        loop.onIteration([this] { connectionPool.serveWaiting(); });
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
    static proxy::Attempt::Parameters parameters() {
        return {.deadline = transport::EventLoop::now() + 5'000 * ms};
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
    proxy::ConnectionPool connectionPool;
    TestServer server;
    proxy::UpstreamServer cache{connectionPool, false};
    protocol::Request request;
    std::vector<AttemptOutcome> outcomes;
};

}  // namespace

TEST_CASE("a read is served by the cache server, and the connection is reused") {
    Stage stage;
    Socket client = stage.client();
    client.say(get("k", "c=read,t=north,d=1500,size=9"));
    Socket cache = stage.caches[0].accept();
    const auto words = cache.command();
    REQUIRE(words.size() == 4);
    CHECK(words[0] == "OBJ.GET");
    CHECK(words[1] == "k");
    CHECK(words[2] == "9b1f-k");
    CHECK(startsWith(words[3], "c=read,t=north,d=1"));
    CHECK(words[3].ends_with(",size=9"));
    // Sends the response in single bytes, as a network may deliver it.
    const std::string answer = hit("value");
    for (const char c : answer) cache.say({&c, 1});
    CHECK(client.answer() == "value");
    client.say(get("k"));
    CHECK(cache.command().size() == 4);
    cache.say(hit("again"));
    CHECK(client.answer() == "again");
    CHECK(stage.caches[0].quiet(50));
}

TEST_CASE("a cache miss is served by the origin") {
    Stage stage;
    Socket client = stage.client();
    client.say(get("k"));
    Socket cache = stage.caches[0].accept();
    cache.command();
    cache.say(kMiss);
    Socket origin = stage.origin.accept();
    const auto head = origin.head();
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
    origin.say(http(200, "fetched"));
    CHECK(client.answer() == "fetched");
}

TEST_CASE("a write of 64 KiB reaches the origin complete and its receipt is returned") {
    Stage stage;
    Socket client = stage.client();
    const std::string value(64 * 1024, 'x');
    client.say(set("k", "c=mark,t=north,d=1500,k=5c", value));
    Socket origin = stage.origin.accept();
    CHECK(origin.head()[0] == "PUT /k HTTP/1.1");
    CHECK(origin.bytes(value.size()) == value);
    origin.say(http(200, "receipt"));
    CHECK(client.answer() == "receipt");
}

TEST_CASE("a write that was not executed is rejected; one that may have executed fails and is not retried") {
    Stage stage;
    Socket client = stage.client();
    client.say(set("k", "c=pay,d=900"));
    Socket origin = stage.origin.accept();
    for (int attempts = 0; attempts < 3; ++attempts) {
        CHECK(origin.head().size() == 5);
        origin.bytes(1);
        origin.say(http(503, "", "X-Rejected: 1\r\n"));
    }
    CHECK(startsWith(client.answer(), "-BUSY"));
    client.say(set("k", "c=pay,d=900"));
    origin.head();
    origin.bytes(1);
    origin.say(http(500, ""));
    CHECK(startsWith(client.answer(), "-ERR"));
    client.say(set("k", "c=pay,d=900"));
    origin.head();
    origin.bytes(1);
    origin.reset();
    CHECK(startsWith(client.answer(), "-ERR"));
    CHECK(stage.origin.quiet(200));
    stage.origin.shut();
    client.say(set("k", "c=pay,d=900"));
    CHECK(startsWith(client.answer(), "-BUSY"));
}

TEST_CASE("a request whose idle connection is found broken before the write counts as not executed") {
    UpstreamFixture upstream(64 * 1024);
    upstream.request.info = "c=pay,d=900";
    proxy::Attempt first(upstream.loop, upstream.request, upstream.cache, upstream.parameters());
    upstream.send(first);
    Socket connection = upstream.server.accept();
    CHECK(connection.command().size() == 4);
    connection.say(hit("v"));
    upstream.loop.run();
    connection.reset();
    usleep(50'000);
    upstream.server.shut();
    proxy::Attempt second(upstream.loop, upstream.request, upstream.cache, upstream.parameters());
    upstream.send(second);
    CHECK(upstream.outcomes == std::vector{AttemptOutcome::succeeded, AttemptOutcome::connectFailed});
}

TEST_CASE(
    "an incomplete response over the buffer limit fails its attempt, which counts as possibly executed") {
    UpstreamFixture upstream(16 * 1024);
    proxy::Attempt attempt(upstream.loop, upstream.request, upstream.cache, upstream.parameters());
    upstream.send(attempt);
    Socket connection = upstream.server.accept();
    connection.say(std::string_view(hit(std::string(40 * 1024, 'x'))).substr(0, 30 * 1024));
    upstream.loop.run();
    CHECK(upstream.outcomes == std::vector{AttemptOutcome::failed});
    CHECK(upstream.connectionPool.bufferedBytes() == 0);
}

TEST_CASE("responses are sent in request order, and no request waits behind another at a cache server") {
    Stage stage;
    Socket client = stage.client();
    client.say(get("a") + array({"PING"}) + get("b"));
    Socket first = stage.caches[0].accept();
    Socket second = stage.caches[0].accept();
    const std::string firstKey = first.command().at(1), secondKey = second.command().at(1);
    CHECK(firstKey != secondKey);
    (firstKey == "b" ? first : second).say(hit("vb"));
    CHECK(client.quiet(100));
    (firstKey == "a" ? first : second).say(hit("va"));
    CHECK(client.answer() == "va");
    CHECK(client.answer() == "+PONG");
    CHECK(client.answer() == "vb");
}

TEST_CASE("a client that disconnects with requests in flight does not affect other clients") {
    Stage stage;
    Socket disconnecting = stage.client();
    auto [first, second] = sendTwo(stage, disconnecting);
    disconnecting.reset();
    Socket client = stage.client();
    CHECK(client.say(array({"PING"})).answer() == "+PONG");
    first.say(hit("late"));
    second.say(hit("late"));
    client.say(get("c"));
    CHECK(second.command().size() == 4);
    second.say(hit("vc"));
    CHECK(client.answer() == "vc");
}

TEST_CASE("an attempt that times out closes its connection and the idle connections of that server") {
    Stage stage;
    Socket client = stage.client();
    auto [first, second] = sendTwo(stage, client);
    first.say(hit("v"));
    second.say(hit("v"));
    client.answer();
    client.answer();
    client.say(get("c", "c=read,d=300"));
    CHECK(startsWith(client.answer(), "-"));
    CHECK(first.ended());
    CHECK(second.ended());
    serveOne(stage, client, "d");
}

TEST_CASE(
    "a router that was suspended responds by the client's timeout, counted from the request's arrival") {
    Stage stage;
    Socket client = stage.client();
    CHECK(client.say(array({"PING"})).answer() == "+PONG");
    stage.program.signal(SIGSTOP);
    client.say(set("k", "c=pay,d=900"));
    const auto sent = std::chrono::steady_clock::now();
    usleep(600'000);
    stage.program.signal(SIGCONT);
    CHECK(startsWith(client.answer(), "-ERR"));
    CHECK(std::chrono::steady_clock::now() - sent < std::chrono::milliseconds(1'200));
}

TEST_CASE("a request whose cache server refuses connections is rejected as not executed") {
    Stage stage;
    stage.caches[0].shut();
    Socket client = stage.client();
    client.say(get("k"));
    CHECK(startsWith(client.answer(), "-BUSY"));
}

TEST_CASE("malformed bytes from a cache server fail only that attempt and close the connection") {
    Stage stage;
    Socket client = stage.client();
    client.say(get("k"));
    Socket cache = stage.caches[0].accept();
    cache.command();
    cache.say("!what\r\n");
    CHECK(startsWith(client.answer(), "-"));
    CHECK(cache.ended());
    Socket next = serveOne(stage, client, "d");
    next.say(hit("nobody asked"));
    CHECK(next.ended());
    serveOne(stage, client, "e");
}

TEST_CASE("a response of another form closes its connection, and so do bytes that follow a valid one") {
    Stage stage;
    Socket client = stage.client();
    client.say(get("k"));
    Socket cache = stage.caches[0].accept();
    cache.command();
    cache.say("$5\r\nvalue\r\n");
    CHECK(startsWith(client.answer(), "-"));
    CHECK(cache.ended());
    cache = serveOne(stage, client, "a");
    client.say(get("b"));
    CHECK(cache.command().size() == 4);
    cache.say(hit("vb") + hit("va"));
    CHECK(client.answer() == "vb");
    CHECK(cache.ended());
    // Two requests at once, the second of which may wait for the connection of the first: the
    // duplicate of the first one's response must not be taken for the second one's.
    client.say(get("c"));
    cache = stage.caches[0].accept();
    cache.command();
    client.say(get("d"));
    Socket other = stage.caches[0].accept();
    cache.say(hit("vc") + hit("vc"));
    CHECK(client.answer() == "vc");
    CHECK(other.command().at(1) == "d");
    other.say("*3\r\n$2\r\nvd\r\n$3\r\nhit\r\n$9\r\n\xff=,;q\0\r\nx\r\n"s);
    CHECK(client.answer() == "vd");
    client.say(get("e"));
    CHECK(other.command().at(1) == "e");
}

TEST_CASE("no request is lost when a server closes its connection after a response") {
    Stage stage;
    Socket client = stage.client();
    Socket cache = serveOne(stage, client, "a");
    stage.program.signal(SIGSTOP);
    client.say(set("b", "c=pay,d=900") + get("c"));
    cache.hangUp();
    stage.program.signal(SIGCONT);
    Socket newConnection = stage.caches[0].accept();
    CHECK(newConnection.command().at(1) == "c");
    Socket origin = stage.origin.accept();
    origin.head();
    origin.bytes(1);
    origin.say("HTTP/1.1 100 Continue\r\n\r\n" + http(200, "receipt"));
    CHECK(client.answer() == "receipt");
}

TEST_CASE("malformed bytes get an error and close the connection; unknown commands only get an error") {
    Stage stage;
    Socket client = stage.client();
    CHECK(startsWith(client.say(array({"FLUSHALL"})).answer(), "-ERR"));
    CHECK(client.say(array({"PING"})).answer() == "+PONG");
    client.say("GET / HTTP/1.1\r\n\r\n");
    CHECK(startsWith(client.answer(), "-ERR Protocol error"));
    CHECK(client.ended());
    Socket oversized = stage.client();
    oversized.say("*5\r\n$7\r\nOBJ.SET\r\n$99999999\r\n");
    CHECK(startsWith(oversized.answer(), "-ERR Protocol error"));
    CHECK(oversized.ended());
}

TEST_CASE("in the simulator's membership mode \"pushed\", the endpoint list is polled as well") {
    auto start = smallStart();
    start["settings"]["membershipMode"] = "pushed";
    Stage stage(1, start);
    CHECK(startsWith(stage.discovery.accept().line(), "GET /api/targets?after=7&wait_ms="));
}

TEST_CASE("in membership mode \"pushed\", the drain grace period limits the poll interval while polls fail") {
    auto start = smallStart();
    start["settings"]["membershipMode"] = "pushed";
    start["settings"]["replicasOfMe"] = 300;
    start["settings"]["rules"]["drainGraceUs"] = 500'000;
    Stage stage(1, start);
    const auto began = std::chrono::steady_clock::now();
    for (int failed = 0; failed < 6; ++failed) {
        Socket discovery = stage.discovery.accept();
        CHECK(startsWith(discovery.head().at(0), "GET /api/targets?after=7&wait_ms="));
        discovery.say(http(503, ""));
    }
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(1'800));
}

TEST_CASE("the endpoint watcher applies an update and polls again at once") {
    Stage stage(2);
    Socket discovery = stage.discovery.accept();
    CHECK(startsWith(discovery.head().at(0), "GET /api/targets?after=7&wait_ms="));
    discovery.say(http(200, listOf(8, {entryOf("c0", stage.caches[0], "m", "Terminating"),
                                       entryOf("c1", stage.caches[1], "m", "Ready", 5)})));
    CHECK(startsWith(discovery.head().at(0), "GET /api/targets?after=8&wait_ms="));
    Socket client = stage.client();
    for (const char* key : {"a", "b", "c", "d", "e", "f"}) client.say(get(key));
    CHECK(stage.caches[1].accept().command().size() == 4);
    CHECK(stage.caches[0].quiet(200));
}

TEST_CASE("a failed poll is repeated after a backoff") {
    Stage stage;
    for (const char* answer : {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "nonsense\r\n\r\n",
                               "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[7,]"}) {
        Socket discovery = stage.discovery.accept();
        CHECK(startsWith(discovery.head().at(0), "GET /api/targets?after=7"));
        discovery.say(answer);
        CHECK(stage.discovery.quiet(100));
    }
    stage.discovery.accept();
    Socket client = stage.client();
    serveOne(stage, client, "k");
}

TEST_CASE("SIGHUP: discovery is polled at the new configuration's address; an invalid one changes nothing") {
    auto start = smallStart();
    Stage stage(2, start);
    stage.startOf(start);
    Socket oldPoll = stage.discovery.accept();
    CHECK(startsWith(oldPoll.head().at(0), "GET /api/targets?after=7&wait_ms="));
    Socket client = stage.client();
    client.say(set("a", "c=pay,d=9000"));
    Socket origin = stage.origin.accept();
    origin.head();
    for (const char* broken : {"", "{", "{\"discovery\":\"127.0.0.1:1\"}"}) {
        stage.program.configure(broken);
        stage.program.signal(SIGHUP);
        usleep(50'000);
    }
    CHECK(oldPoll.quiet(100));
    TestServer newDiscovery;
    start["discovery"] = newDiscovery.address();
    stage.program.configure(start.dump());
    stage.program.signal(SIGHUP);
    stage.program.signal(SIGHUP);
    // The new address is polled at once and for the complete list: the end of the old poll is no
    // failure that would cause a backoff.
    Socket newPoll = newDiscovery.accept();
    CHECK(oldPoll.ended());
    CHECK(newPoll.head().at(0) == "GET /api/targets HTTP/1.1");
    newPoll.reset();
    newPoll = newDiscovery.accept();
    CHECK(newPoll.head().at(0) == "GET /api/targets HTTP/1.1");
    auto list = nlohmann::json::parse(listOf(3, {entryOf("c1", stage.caches[1])}));
    list["full"] = true;
    newPoll.say(http(200, list.dump()));
    CHECK(startsWith(newPoll.head().at(0), "GET /api/targets?after=3&wait_ms="));
    CHECK(stage.discovery.quiet(50));
    origin.say(http(200, "receipt"));
    CHECK(client.answer() == "receipt");
    for (const char* key : {"a", "b", "c", "d"}) client.say(get(key));
    CHECK(stage.caches[1].accept().command().size() == 4);
    CHECK(stage.caches[0].quiet(100));
    stage.program.signal(SIGTERM);
    stage.program.signal(SIGHUP);
    client.hangUp();
    CHECK(stage.program.exitCode() == 0);
    const std::string log = stage.program.log();
    CHECK(log.find("the old configuration stays in effect") != std::string::npos);
}

TEST_CASE("on SIGTERM the router still accepts clients, responds to all requests, then exits with 0") {
    Stage stage;
    Socket idle = stage.client();
    idle.say(array({"PING"})).answer();
    Socket busy = stage.client();
    busy.say(get("a"));
    Socket cache = stage.caches[0].accept();
    cache.command();
    stage.program.signal(SIGTERM);
    usleep(200'000);
    Socket late = stage.client();
    Socket other = serveOne(stage, late, "b");
    CHECK(idle.ended());
    CHECK(late.ended());
    CHECK_FALSE(stage.client().open());
    cache.say(hit("va"));
    CHECK(busy.answer() == "va");
    CHECK(busy.ended());
    CHECK(stage.program.exitCode() == 0);
}

TEST_CASE("an invalid configuration is reported in one line and ends the process with exit code 1") {
    auto start = smallStart();
    Stage portOwner(0);
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
    Stage stage;
    Socket unresponsive = stage.client();
    const std::string value(64 * 1024, 'x');
    unresponsive.say(get("k"));
    Socket cache = stage.caches[0].accept();
    int answered = 0;
    for (; answered < 1000 && !cache.quiet(300); ++answered) {
        cache.command();
        cache.say(hit(value));
        // Each request has an id of its own: it may arrive before the previous response is
        // complete, and an id that is in use gets an error.
        unresponsive.say(get("k" + std::to_string(answered)));
    }
    CHECK(answered > 1);
    CHECK(answered < 1000);
    Socket client = stage.client();
    client.say(get("other"));
    CHECK(cache.command().at(1) == "other");
    cache.say(hit("v"));
    CHECK(client.answer() == "v");
}

TEST_CASE("with more clients than descriptors, silent ones are closed first, then the longest idle ones") {
    auto start = smallStart();
    start["limits"]["sockets"] = 64;
    Stage stage(1, start);
    std::vector<Socket> regular;
    for (int i = 0; i < 3; ++i) {
        regular.push_back(stage.client());
        CHECK(regular.back().say(array({"PING"})).answer() == "+PONG");
        usleep(100'000);
    }
    std::vector<Socket> silent;
    for (int i = 0; i < 60; ++i) {
        silent.push_back(stage.client());
        if (i % 3 == 1) silent.back().say(get("k").substr(0, 9));
        if (i % 3 == 2) silent.back().say(get("k", "c=nothing,d=900"));
    }
    usleep(100'000);
    CHECK(regular.front().say(array({"PING"})).answer() == "+PONG");
    CHECK(silent.front().ended());
    silent.clear();
    // Above half of the limit, clients that have idled for 0.25 s are closed.
    for (int i = 0; i < 4; ++i) {
        regular.push_back(stage.client());
        CHECK(regular.back().say(array({"PING"})).answer() == "+PONG");
    }
    usleep(400'000);
    for (int i : {0, 1, 2}) CHECK(regular[i].ended());
    CHECK(regular.back().quiet(0));
    // Clients with an outstanding response stay.
    std::vector<Socket> busy;
    for (int i = 0; i < 7; ++i) {
        busy.push_back(stage.client());
        busy.back().say(set("bill" + std::to_string(i), "c=pay,t=north,d=900"));
        usleep(20'000);
    }
    CHECK(stage.client().say(array({"PING"})).answer().empty());
    busy.clear();
    usleep(100'000);
    Socket late = stage.client();
    CHECK(late.say(array({"PING"})).answer() == "+PONG");
    serveOne(stage, late, "k");
}

TEST_CASE("a request of an unknown class, or with an id in use, gets an error at once and is not forwarded") {
    Stage stage;
    Socket client = stage.client(), other = stage.client();
    client.say(get("a"));
    Socket cache = stage.caches[0].accept();
    cache.command();
    CHECK(startsWith(other.say(get("a")).answer(), "-ERR"));
    CHECK(startsWith(other.say(get("b", "c=nothing,d=900")).answer(), "-ERR"));
    CHECK(startsWith(other.say(set("b", "c=nothing,d=900")).answer(), "-ERR"));
    CHECK(stage.caches[0].quiet(50));
    CHECK(stage.origin.quiet(50));
    cache.say(hit("va"));
    CHECK(client.answer() == "va");
    other.say(get("a"));
    CHECK(cache.command().size() == 4);
}

TEST_CASE(
    "a client that sends at full speed gets only its share of an iteration, so that others are served") {
    Stage stage;
    Socket fast = stage.client(), quiet = stage.client();
    for (Socket* client : {&fast, &quiet}) CHECK(client->say(array({"PING"})).answer() == "+PONG");
    stage.program.signal(SIGSTOP);
    std::string pings;
    while (pings.size() < 512 * 1024) pings += array({"PING"});
    while (fast.cram(pings) > 0) {
    }
    quiet.say(array({"PING"}));
    stage.program.signal(SIGCONT);
    CHECK(quiet.answer() == "+PONG");
    CHECK(fast.waits() < 200 * 1024);
}

TEST_CASE("an idle connection is closed well before the cache server would close it") {
    auto start = smallStart();
    start["settings"]["allowed"]["connIdleUs"] = 600'000;
    Stage stage(1, start);
    Socket client = stage.client();
    Socket cache = serveOne(stage, client, "a");
    CHECK(cache.quiet(150));
    CHECK(cache.ended());
    serveOne(stage, client, "b");
}

TEST_CASE(
    "a client that sends nothing or half a request is closed within 3 s, one that keeps completing "
    "requests is not") {
    Stage stage;
    const std::string ping = array({"PING"});
    Socket idle = stage.client();
    CHECK(idle.say(ping).answer() == "+PONG");
    const auto began = std::chrono::steady_clock::now();
    Socket silent = stage.client(), incomplete = stage.client(), busy = stage.client();
    incomplete.say(get("k").substr(0, 10));
    busy.say(ping.substr(0, 5));
    for (int i = 0; i < 10; ++i) {
        usleep(250'000);
        busy.say(ping.substr(5) + ping.substr(0, 5));
        CHECK(busy.answer() == "+PONG");
    }
    CHECK(silent.ended());
    CHECK(startsWith(incomplete.answer(), "-ERR Protocol error"));
    CHECK(incomplete.ended());
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(3'000));
    CHECK(idle.quiet(0));
}

TEST_CASE("the router keeps serving after mutated bytes from clients, cache servers and the origin") {
    Stage stage;
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
        Socket client = stage.client();
        client.say(mutated(requests[random() % requests.size()]));
        while (!stage.caches[0].quiet(2)) {
            Socket cache = stage.caches[0].accept();
            cache.say(mutated(random() % 2 ? hit("value") : std::string(kMiss)));
            if (random() % 2) cache.reset();
        }
        while (!stage.origin.quiet(2)) stage.origin.accept().say(mutated(http(200, "fetched")));
        if (random() % 2) client.reset();
    }
    Socket client = stage.client();
    CHECK(client.say(array({"PING"})).answer() == "+PONG");
    usleep(1'500'000);
    stage.program.signal(SIGTERM);
    CHECK(stage.program.exitCode() == 0);
}

TEST_CASE("incomplete requests do not fill a small memory limit, and other clients are served") {
    auto start = smallStart();
    start["limits"]["memory_mb"] = 16;
    start["limits"]["sockets"] = 1024;
    Stage stage(1, start);
    Socket regular = stage.client();
    CHECK(regular.say(array({"PING"})).answer() == "+PONG");
    const std::string request = set("k", "c=mark,d=900", std::string(60 * 1024, 'x'));
    std::vector<Socket> incomplete;
    for (int i = 0; i < 200; ++i) {
        incomplete.push_back(stage.client());
        incomplete.back().say(std::string_view(request).substr(0, request.size() - 9));
    }
    CHECK(regular.say(array({"PING"})).answer() == "+PONG");
    // Two hundred incomplete requests would take 12 MB. The oldest ones are closed to free memory,
    // without the error that a timed-out request gets.
    for (int i = 0; i < 100; ++i) {
        CHECK(incomplete[i].answer().empty());
        CHECK(incomplete[i].ended());
    }
    serveOne(stage, regular, "k");
}
