// Open requests when a client, a connection or the process ends. Each test forces an unfavourable
// order of events: servers delay their accepts, or the process is suspended until all events have
// arrived.
#include <doctest/doctest.h>
#include <linux/sockios.h>

#include <array>
#include <chrono>
#include <optional>

#include "fixtures.hpp"
#include "proxy/connection_pool.hpp"
#include "proxy/upstream_server.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

// A configuration with a long connect timeout, so that requests wait for a connection until their
// deadlines.
nlohmann::json startWithLongTimeouts() {
    auto start = smallStart();
    start["settings"]["allowed"]["connectTimeoutUs"] = 8'000'000;
    return start;
}
std::string getWithLongDeadline(const std::string& key) { return get(key, "c=read,t=north,d=6000"); }
std::string setWithLongDeadline(const std::string& key, const std::string& requestClass,
                                const std::string& value = "V") {
    return set(key, "c=" + requestClass + ",t=north,d=6000,k=" + key, value);
}
// A request whose client disconnected at least this long ago must not be forwarded.
constexpr int kDisconnectedMs = 300;

bool startsWith(const std::string& text, std::string_view prefix) { return text.starts_with(prefix); }

std::string listOf(int version, bool full, const std::vector<nlohmann::json>& entries) {
    return nlohmann::json{{"version", version}, {"full", full}, {"servers", entries}}.dump();
}

// The descriptor of the socket in this process that is connected to `port`; -1 when there is none.
int descriptorConnectedTo(std::uint16_t port) {
    for (int descriptor = 0; descriptor < 1'000; ++descriptor) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) == 0 &&
            peer.sin_family == AF_INET && ntohs(peer.sin_port) == port)
            return descriptor;
    }
    return -1;
}

}  // namespace

// The disconnect arrives while the request waits for a connection to a server. Without another
// check when the connection is established, the server would execute a request that no client waits
// for.
TEST_CASE("a request that waits for a connection is not forwarded after its client has disconnected") {
    Stage stage(1, startWithLongTimeouts());
    stage.caches[0].hold();
    stage.origin.hold();
    Socket stayingClient = stage.client();
    stayingClient.say(getWithLongDeadline("stays"));
    Socket closingClient = stage.client(), resettingClient = stage.client(), floodingClient = stage.client();
    closingClient.say(getWithLongDeadline("read") + setWithLongDeadline("mark", "mark"));
    resettingClient.say(setWithLongDeadline("pay", "pay") + getWithLongDeadline("other"));
    // More requests than the router reads from one connection before it sends responses, so the end
    // of the connection is not read.
    std::string pipelined;
    for (int i = 0; i < 200; ++i) pipelined += getWithLongDeadline("many" + std::to_string(i));
    floodingClient.say(pipelined);
    usleep(50'000);
    closingClient.hangUp();
    resettingClient.reset();
    floodingClient.hangUp();
    usleep(kDisconnectedMs * 1'000);
    stage.caches[0].let();
    stage.origin.let();
    Socket cache = stage.caches[0].accept();
    CHECK(cache.command().at(1) == "stays");
    cache.say(hit("V"));
    CHECK(stayingClient.answer() == "V");
    CHECK(cache.quiet(50));
    // No other request is sent, and no connection is opened for one.
    int opened = 0;
    int forwarded = 0;
    for (TestServer* server : {&stage.caches[0], &stage.origin})
        while (!server->quiet(1'200)) {
            const Socket connection = server->accept();
            ++opened;
            forwarded += !connection.quiet(200);
        }
    MESSAGE(forwarded, " of 204 requests forwarded after their clients had disconnected, ", opened,
            " connections opened");
    CHECK(forwarded == 0);
    CHECK(opened == 0);
}

// After the suspension the request and the end of its connection are read together.
TEST_CASE("a request whose client disconnects while the router is suspended is not forwarded") {
    Stage stage;
    Socket client = stage.client();
    client.say(get("a"));
    Socket cache = stage.caches[0].accept();
    cache.command();
    cache.say(hit("V"));
    CHECK(client.answer() == "V");
    Socket closingClient = stage.client(), resettingClient = stage.client(), stayingClient = stage.client();
    for (Socket* idleClient : {&closingClient, &resettingClient, &stayingClient})
        CHECK(idleClient->say(array({"PING"})).answer() == "+PONG");
    stage.program.signal(SIGSTOP);
    closingClient.say(get("b") + set("c", "c=pay,d=1500"));
    resettingClient.say(get("d"));
    closingClient.hangUp();
    resettingClient.reset();
    usleep((kDisconnectedMs + 100) * 1'000);
    stayingClient.say(get("e"));
    stage.program.signal(SIGCONT);
    CHECK(cache.command().at(1) == "e");
    cache.say(hit("W"));
    CHECK(stayingClient.answer() == "W");
    CHECK(cache.quiet(100));
    CHECK(stage.caches[0].quiet(0));
    CHECK(stage.origin.quiet(0));
}

// The client has sent more than the router reads, so the end of its connection is still unread when
// the cache responds with a miss.
TEST_CASE("a request is not sent to the origin after a miss when its client's disconnect is still unread") {
    Stage stage(1, startWithLongTimeouts());
    Socket floodingClient = stage.client();
    std::string pipelined;
    for (int i = 0; i < 200; ++i) pipelined += getWithLongDeadline("many" + std::to_string(i));
    floodingClient.say(pipelined);
    std::vector<Socket> attempts;
    while (!stage.caches[0].quiet(300)) {
        attempts.push_back(stage.caches[0].accept());
        CHECK(attempts.back().command().size() == 4);
    }
    REQUIRE_FALSE(attempts.empty());
    floodingClient.hangUp();
    usleep(kDisconnectedMs * 1'000);
    for (Socket& attempt : attempts) attempt.say(kMiss);
    CHECK(stage.origin.quiet(300));
    for (Socket& attempt : attempts) CHECK(attempt.quiet(0));
}

// The cache server moves or is removed while a connection to it is being established. Requests that
// wait for the connection must go to the new address.
TEST_CASE("a connection to an earlier address of a cache server is not used once it is established") {
    Stage stage(2, startWithLongTimeouts());
    Socket discovery = stage.discovery.accept();
    discovery.head();
    stage.caches[0].hold();
    TestServer moved;
    // Several keys, so that each server gets at least one; the router selects the server.
    Socket client = stage.client();
    stage.caches[1].hold();
    for (const char* key : {"a", "b", "c", "d"}) client.say(getWithLongDeadline(key));
    usleep(100'000);
    auto removedEntry = entryOf("c1", stage.caches[1], "m", "Terminating");
    discovery.say(http(200, listOf(8, false, {entryOf("c0", moved), removedEntry})));
    discovery.head();
    stage.caches[0].let();
    stage.caches[1].let();
    // All four requests arrive at the new address, on separate connections or one after another on
    // the same.
    std::vector<std::string> arrived;
    while (arrived.size() < 4 && !moved.quiet(1'000)) {
        Socket connection = moved.accept();
        for (auto command = connection.command(); command.size() == 4;
             command = connection.quiet(200) ? std::vector<std::string>{} : connection.command()) {
            arrived.push_back(command[1]);
            connection.say(hit("V"));
        }
    }
    CHECK(arrived.size() == 4);
    CHECK(stage.caches[0].quiet(1'200));
    CHECK(stage.caches[1].quiet(0));
}

// The retry waits for a connection that is established after the idempotency key may have expired.
// Sent then, the retry could be executed a second time.
TEST_CASE("a retry is not sent once its idempotency key may have expired, however late its connection is") {
    auto start = startWithLongTimeouts();
    start["settings"]["verbs"][1]["keyTtlUs"] = 900'000;
    Stage stage(2, start);
    Socket client = stage.client();
    const auto startedAt = std::chrono::steady_clock::now();
    client.say(get("k", "c=mark,t=north,d=6000,k=k"));
    bool firstIndex = false;
    while (stage.caches[firstIndex].quiet(10)) firstIndex = !firstIndex;
    TestServer& firstServer = stage.caches[firstIndex];
    TestServer& otherServer = stage.caches[!firstIndex];
    Socket first = firstServer.accept();
    CHECK(first.command().at(1) == "k");
    // The request may have been executed. The next connection is established only with the kernel's
    // connect retry, one second later.
    otherServer.hold();
    stage.origin.hold();
    first.reset();
    usleep(50'000);
    otherServer.let();
    stage.origin.let();
    // Cache servers recognize the key for 0.9 s from the first attempt; the request is rejected
    // when that time has passed.
    CHECK(startsWith(client.answer(), "-BUSY"));
    const auto elapsed = std::chrono::steady_clock::now() - startedAt;
    CHECK(elapsed > std::chrono::milliseconds(800));
    CHECK(elapsed < std::chrono::milliseconds(1'600));
    for (TestServer* server : {&otherServer, &stage.origin})
        while (!server->quiet(1'500)) CHECK(server->accept().quiet(200));
    CHECK(firstServer.quiet(0));
}

// A response without a length ends with its connection. After a reset it may be truncated.
TEST_CASE("a response that ends with its connection is invalid when the connection was reset") {
    Stage stage;
    Socket client = stage.client();
    for (const bool isComplete : {false, true}) {
        client.say(get("k", "c=pay,t=north,d=1500"));
        Socket cache = stage.caches[0].accept();
        cache.command();
        cache.say(kMiss);
        Socket origin = stage.origin.accept();
        origin.head();
        origin.say("HTTP/1.1 200 OK\r\n\r\nhalf of it");
        if (isComplete)
            origin.hangUp();
        else
            origin.reset();
        const std::string answer = client.answer();
        CHECK_MESSAGE(startsWith(answer, isComplete ? "half of it" : "-ERR"), answer);
        cache.hangUp();
    }
}

TEST_CASE("drain: open requests get a response by its end, and requests that may outlast it are rejected") {
    auto start = smallStart();
    for (auto& requestClass : start["settings"]["verbs"]) requestClass["timeLimitUs"] = 1'000'000;
    Stage stage(1, start);
    Socket client = stage.client();
    client.say(get("long", "c=read,t=north,d=60000"));
    Socket cache = stage.caches[0].accept();
    CHECK(cache.command().at(1) == "long");
    Socket unsent = stage.client();
    stage.origin.hold();
    stage.program.signal(SIGTERM);
    usleep(600'000);  // idle connections are closed by now; those with outstanding responses stay
    client.say(get("short", "c=read,t=north,d=300") + get("outlasts", "c=read,t=north,d=1000"));
    Socket second = stage.caches[0].accept();
    CHECK(second.command().at(1) == "short");
    second.say(hit("V"));
    CHECK(startsWith(client.answer(), "-ERR"));
    CHECK(client.answer() == "V");
    CHECK(startsWith(client.answer(), "-BUSY"));
    CHECK(client.ended());
    CHECK(stage.program.exitCode() == 0);
    CHECK(stage.caches[0].quiet(0));
}

// When the router resumes, both responses and expired timers are pending. If the timers fired
// first, requests would time out although their responses had arrived.
TEST_CASE("data that arrived while the router was suspended is read before expired timers fire") {
    Stage stage;
    Socket client = stage.client(), writingClient = stage.client(), partialClient = stage.client();
    client.say(get("a", "c=read,t=north,d=400"));
    Socket cache = stage.caches[0].accept();
    CHECK(cache.command().at(1) == "a");
    writingClient.say(set("b", "c=pay,t=north,d=400"));
    Socket origin = stage.origin.accept();
    origin.head();
    const std::string late = getWithLongDeadline("late");
    partialClient.say(late.substr(0, 20));
    usleep(20'000);
    stage.program.signal(SIGSTOP);
    cache.say(hit("V"));
    origin.say(http(200, "receipt"));
    usleep(2'700'000);  // after both timeouts and the timeout for the rest of a partial request
    partialClient.say(late.substr(20));
    stage.program.signal(SIGCONT);
    CHECK(client.answer() == "V");
    CHECK(writingClient.answer() == "receipt");
    Socket next = stage.caches[0].quiet(300) ? std::move(cache) : stage.caches[0].accept();
    CHECK(next.command().at(1) == "late");
    next.say(hit("W"));
    CHECK(partialClient.answer() == "W");
}

// The kernel may deliver the last byte of a request before the router's write callback runs. An
// attempt that is abandoned in between must count as possibly executed, or the request would be
// retried.
TEST_CASE("a request may have been executed once the kernel has its last byte, before the write callback") {
    struct Handler : proxy::AttemptHandler {
        proxy::BodySink* onStreamBegins(proxy::Attempt&, std::size_t, proxy::BodySource&) override {
            return nullptr;
        }
        bool isAwaited(proxy::Attempt&) override { return true; }
        void onAttemptEnded(proxy::Attempt&, protocol::AttemptResponse response) override {
            outcome = response.outcome;
        }
        std::optional<AttemptOutcome> outcome;
    };
    transport::BufferPool buffers{64};
    transport::EventLoop loop;
    Handler handler;
    proxy::InvariantGuard guard{[](std::string_view) {}};
    proxy::ConnectionPool connectionPool(loop, buffers, handler, guard,
                                         {.maxConnections = 8,
                                          .idleTimeout = 60'000 * ms,
                                          .connectTimeout = 2'000 * ms,
                                          .maxBufferedBytes = 64 * 1024});
    TestServer server;
    proxy::UpstreamServer cache{connectionPool, false};
    cache.updateEndpoint(EndpointState::ready, transport::parseAddress(server.address()), server.address());
    const auto setBufferSize = [](int socket, int option, int bytes) {
        setsockopt(socket, SOL_SOCKET, option, &bytes, sizeof bytes);
    };
    setBufferSize(server.descriptor(), SO_RCVBUF, 4096);
    protocol::Request first, large;
    first.info = large.info = "c=pay,d=9000";
    // The request fills ten or eleven of the router's buffers, depending on how much of the first
    // is sent at once. libuv runs the callbacks of nine of them before timers fire, so the last
    // buffer is with the kernel while its callback is still due. In production there are at most
    // five buffers, but the code must not rely on libuv's number of rounds.
    large.isWrite = true;
    large.value = std::string(180'000, 'x');
    const std::size_t largeBytes = protocol::cacheRequest(large, 14'000 * ms).size();
    const proxy::Attempt::Parameters parameters{.deadline = transport::EventLoop::now() + 15'000 * ms};
    proxy::Attempt openingAttempt(loop, first, cache, parameters), attempt(loop, large, cache, parameters);
    transport::Timer timeout(loop, [&] { loop.stop(); });
    timeout.start(transport::EventLoop::now() + 10'000 * ms);
    std::optional<Socket> accepted;
    int routerSocket = -1;
    const auto bytesTakenByKernel = [&] {
        // The 64-bit word 15 of tcp_info is tcpi_bytes_acked, the bytes that the peer has
        // acknowledged. The C library's header lacks this field.
        std::array<std::uint64_t, 32> info{};
        socklen_t size = sizeof info;
        int unacknowledged = 0;
        getsockopt(routerSocket, IPPROTO_TCP, TCP_INFO, info.data(), &size);
        ioctl(routerSocket, SIOCOUTQ, &unacknowledged);
        return static_cast<std::size_t>(info[15]) + static_cast<std::size_t>(unacknowledged);
    };
    std::size_t bytesTakenBefore = 0;
    bool isSent = false, isAbandoned = false;
    loop.onIteration([&] {
        connectionPool.serveWaiting();
        if (!accepted && !server.quiet(0)) accepted = server.accept();
        if (accepted && !isSent && !handler.outcome && !accepted->quiet(0)) {
            accepted->command();
            accepted->say(hit("v"));
        }
        if (!isSent && handler.outcome) {
            handler.outcome.reset();
            routerSocket = descriptorConnectedTo(server.port);
            bytesTakenBefore = bytesTakenByKernel();
            setBufferSize(routerSocket, SO_SNDBUF, 4096);
            cache.send(attempt);
            // Only a part has been sent; from now on the socket's buffer takes the whole rest at
            // once.
            REQUIRE(bytesTakenByKernel() - bytesTakenBefore < largeBytes);
            setBufferSize(routerSocket, SO_SNDBUF, 1 << 20);
            isSent = true;
        }
        if (!isSent || isAbandoned) return;
        accepted->drain();
        if (bytesTakenByKernel() - bytesTakenBefore < largeBytes) return;
        isAbandoned = true;
        cache.abandon(attempt);
        loop.stop();
    });
    cache.send(openingAttempt);
    loop.run();
    REQUIRE(isAbandoned);
    REQUIRE(handler.outcome.has_value());
    CHECK(static_cast<int>(*handler.outcome) == static_cast<int>(AttemptOutcome::timedOut));
}
