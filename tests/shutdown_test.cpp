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
nlohmann::json startWithLongConnectTimeout() {
    auto start = minimalStartConfig();
    start["settings"]["allowed"]["connectTimeoutUs"] = 8'000'000;
    return start;
}
std::string getWithLongTimeout(const std::string& key) { return get(key, "c=read,t=north,d=6000"); }
std::string setWithLongTimeout(const std::string& key, const std::string& requestClass,
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
    RouterFixture fixture(1, startWithLongConnectTimeout());
    fixture.caches[0].blockConnects();
    fixture.origin.blockConnects();
    Socket stayingClient = fixture.client();
    stayingClient.send(getWithLongTimeout("stays"));
    Socket closingClient = fixture.client(), resettingClient = fixture.client(),
           floodingClient = fixture.client();
    closingClient.send(getWithLongTimeout("read") + setWithLongTimeout("mark", "mark"));
    resettingClient.send(setWithLongTimeout("pay", "pay") + getWithLongTimeout("other"));
    // More requests than the router reads from one connection before it sends responses, so the end
    // of the connection is not read.
    std::string pipelined;
    for (int i = 0; i < 200; ++i) pipelined += getWithLongTimeout("many" + std::to_string(i));
    floodingClient.send(pipelined);
    usleep(50'000);
    closingClient.close();
    resettingClient.reset();
    floodingClient.close();
    usleep(kDisconnectedMs * 1'000);
    fixture.caches[0].unblockConnects();
    fixture.origin.unblockConnects();
    Socket cache = fixture.caches[0].accept();
    CHECK(cache.readCommand().at(1) == "stays");
    cache.send(hit("V"));
    CHECK(stayingClient.readResponse() == "V");
    CHECK(cache.isQuiet(50));
    // No other request is sent, and no connection is opened for one.
    int opened = 0;
    int forwarded = 0;
    for (TestServer* server : {&fixture.caches[0], &fixture.origin})
        while (!server->isQuiet(1'200)) {
            const Socket connection = server->accept();
            ++opened;
            forwarded += !connection.isQuiet(200);
        }
    MESSAGE(forwarded, " of 204 requests forwarded after their clients had disconnected, ", opened,
            " connections opened");
    CHECK(forwarded == 0);
    CHECK(opened == 0);
}

// After the suspension the request and the end of its connection are read together.
TEST_CASE("a request whose client disconnects while the router is suspended is not forwarded") {
    RouterFixture fixture;
    Socket client = fixture.client();
    client.send(get("a"));
    Socket cache = fixture.caches[0].accept();
    cache.readCommand();
    cache.send(hit("V"));
    CHECK(client.readResponse() == "V");
    Socket closingClient = fixture.client(), resettingClient = fixture.client(),
           stayingClient = fixture.client();
    for (Socket* idleClient : {&closingClient, &resettingClient, &stayingClient})
        CHECK(idleClient->send(array({"PING"})).readResponse() == "+PONG");
    fixture.program.signal(SIGSTOP);
    closingClient.send(get("b") + set("c", "c=pay,d=1500"));
    resettingClient.send(get("d"));
    closingClient.close();
    resettingClient.reset();
    usleep((kDisconnectedMs + 100) * 1'000);
    stayingClient.send(get("e"));
    fixture.program.signal(SIGCONT);
    CHECK(cache.readCommand().at(1) == "e");
    cache.send(hit("W"));
    CHECK(stayingClient.readResponse() == "W");
    CHECK(cache.isQuiet(100));
    CHECK(fixture.caches[0].isQuiet(0));
    CHECK(fixture.origin.isQuiet(0));
}

// The client has sent more than the router reads, so the end of its connection is still unread when
// the cache responds with a miss.
TEST_CASE("a request is not sent to the origin after a miss when its client's disconnect is still unread") {
    RouterFixture fixture(1, startWithLongConnectTimeout());
    Socket floodingClient = fixture.client();
    std::string pipelined;
    for (int i = 0; i < 200; ++i) pipelined += getWithLongTimeout("many" + std::to_string(i));
    floodingClient.send(pipelined);
    std::vector<Socket> attempts;
    while (!fixture.caches[0].isQuiet(300)) {
        attempts.push_back(fixture.caches[0].accept());
        CHECK(attempts.back().readCommand().size() == 4);
    }
    REQUIRE_FALSE(attempts.empty());
    floodingClient.close();
    usleep(kDisconnectedMs * 1'000);
    for (Socket& attempt : attempts) attempt.send(kMiss);
    CHECK(fixture.origin.isQuiet(300));
    for (Socket& attempt : attempts) CHECK(attempt.isQuiet(0));
}

// The cache server moves or is removed while a connection to it is being established. Requests that
// wait for the connection must go to the new address.
TEST_CASE("a connection to an earlier address of a cache server is not used once it is established") {
    RouterFixture fixture(2, startWithLongConnectTimeout());
    Socket discovery = fixture.discovery.accept();
    discovery.readHead();
    fixture.caches[0].blockConnects();
    TestServer moved;
    // Several keys, so that each server gets at least one; the router selects the server.
    Socket client = fixture.client();
    fixture.caches[1].blockConnects();
    for (const char* key : {"a", "b", "c", "d"}) client.send(getWithLongTimeout(key));
    usleep(100'000);
    auto removedEntry = entryOf("c1", fixture.caches[1], "m", "Terminating");
    discovery.send(http(200, listOf(8, false, {entryOf("c0", moved), removedEntry})));
    discovery.readHead();
    fixture.caches[0].unblockConnects();
    fixture.caches[1].unblockConnects();
    // All four requests arrive at the new address, on separate connections or one after another on
    // the same.
    std::vector<std::string> arrived;
    while (arrived.size() < 4 && !moved.isQuiet(1'000)) {
        Socket connection = moved.accept();
        for (auto command = connection.readCommand(); command.size() == 4;
             command = connection.isQuiet(200) ? std::vector<std::string>{} : connection.readCommand()) {
            arrived.push_back(command[1]);
            connection.send(hit("V"));
        }
    }
    CHECK(arrived.size() == 4);
    CHECK(fixture.caches[0].isQuiet(1'200));
    CHECK(fixture.caches[1].isQuiet(0));
}

// The retry waits for a connection that is established after the idempotency key may have expired. If
// the retry were sent then, the request could be executed a second time.
TEST_CASE("a retry is not sent once its idempotency key may have expired, however late its connection is") {
    auto start = startWithLongConnectTimeout();
    start["settings"]["verbs"][1]["keyTtlUs"] = 900'000;
    RouterFixture fixture(2, start);
    Socket client = fixture.client();
    const auto startedAt = std::chrono::steady_clock::now();
    client.send(get("k", "c=mark,t=north,d=6000,k=k"));
    bool firstIndex = false;
    while (fixture.caches[firstIndex].isQuiet(10)) firstIndex = !firstIndex;
    TestServer& firstServer = fixture.caches[firstIndex];
    TestServer& otherServer = fixture.caches[!firstIndex];
    Socket first = firstServer.accept();
    CHECK(first.readCommand().at(1) == "k");
    // The request may have been executed. The next connection is established only with the kernel's
    // connect retry, one second later.
    otherServer.blockConnects();
    fixture.origin.blockConnects();
    first.reset();
    usleep(50'000);
    otherServer.unblockConnects();
    fixture.origin.unblockConnects();
    // Cache servers recognize the key for 0.9 s from the first attempt; the request is rejected
    // when that time has passed.
    CHECK(startsWith(client.readResponse(), "-BUSY"));
    const auto elapsed = std::chrono::steady_clock::now() - startedAt;
    CHECK(elapsed > std::chrono::milliseconds(800));
    CHECK(elapsed < std::chrono::milliseconds(1'600));
    for (TestServer* server : {&otherServer, &fixture.origin})
        while (!server->isQuiet(1'500)) CHECK(server->accept().isQuiet(200));
    CHECK(firstServer.isQuiet(0));
}

// A response without a length ends with its connection. After a reset it may be truncated.
TEST_CASE("a response that ends with its connection is invalid when the connection was reset") {
    RouterFixture fixture;
    Socket client = fixture.client();
    for (const bool isComplete : {false, true}) {
        client.send(get("k", "c=pay,t=north,d=1500"));
        Socket cache = fixture.caches[0].accept();
        cache.readCommand();
        cache.send(kMiss);
        Socket origin = fixture.origin.accept();
        origin.readHead();
        origin.send("HTTP/1.1 200 OK\r\n\r\nhalf of it");
        if (isComplete)
            origin.close();
        else
            origin.reset();
        const std::string answer = client.readResponse();
        CHECK_MESSAGE(startsWith(answer, isComplete ? "half of it" : "-ERR"), answer);
        cache.close();
    }
}

TEST_CASE("drain: open requests get a response by its end, and requests that may outlast it are rejected") {
    auto start = minimalStartConfig();
    for (auto& requestClass : start["settings"]["verbs"]) requestClass["timeLimitUs"] = 1'000'000;
    RouterFixture fixture(1, start);
    Socket client = fixture.client();
    client.send(get("long", "c=read,t=north,d=60000"));
    Socket cache = fixture.caches[0].accept();
    CHECK(cache.readCommand().at(1) == "long");
    Socket unsent = fixture.client();
    fixture.origin.blockConnects();
    fixture.program.signal(SIGTERM);
    usleep(600'000);  // idle connections are closed by now; those with outstanding responses stay
    client.send(get("short", "c=read,t=north,d=300") + get("outlasts", "c=read,t=north,d=1000"));
    Socket second = fixture.caches[0].accept();
    CHECK(second.readCommand().at(1) == "short");
    second.send(hit("V"));
    CHECK(startsWith(client.readResponse(), "-ERR"));
    CHECK(client.readResponse() == "V");
    CHECK(startsWith(client.readResponse(), "-BUSY"));
    CHECK(client.isClosedByPeer());
    CHECK(fixture.program.exitCode() == 0);
    CHECK(fixture.caches[0].isQuiet(0));
}

// When the router resumes, both responses and expired timers are pending. If the timers fired
// first, requests would time out although their responses had arrived.
TEST_CASE("data that arrived while the router was suspended is read before expired timers fire") {
    RouterFixture fixture;
    Socket client = fixture.client(), writingClient = fixture.client(), partialClient = fixture.client();
    client.send(get("a", "c=read,t=north,d=400"));
    Socket cache = fixture.caches[0].accept();
    CHECK(cache.readCommand().at(1) == "a");
    writingClient.send(set("b", "c=pay,t=north,d=400"));
    Socket origin = fixture.origin.accept();
    origin.readHead();
    const std::string late = getWithLongTimeout("late");
    partialClient.send(late.substr(0, 20));
    usleep(20'000);
    fixture.program.signal(SIGSTOP);
    cache.send(hit("V"));
    origin.send(http(200, "receipt"));
    // This pause exceeds both timeouts and the timeout for the rest of a partial request.
    usleep(2'700'000);
    partialClient.send(late.substr(20));
    fixture.program.signal(SIGCONT);
    CHECK(client.readResponse() == "V");
    CHECK(writingClient.readResponse() == "receipt");
    Socket next = fixture.caches[0].isQuiet(300) ? std::move(cache) : fixture.caches[0].accept();
    CHECK(next.readCommand().at(1) == "late");
    next.send(hit("W"));
    CHECK(partialClient.readResponse() == "W");
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
    proxy::ResponseBudget responses{128 * 1024};
    proxy::ConnectionPool connectionPool(
        loop, buffers, handler, guard, responses,
        {.maxConnections = 8, .idleTimeout = 60'000 * ms, .connectTimeout = 2'000 * ms});
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
    Nanos respondedAt = 0;
    loop.onIteration([&] {
        connectionPool.serveWaiting();
        if (!accepted && !server.isQuiet(0)) accepted = server.accept();
        if (accepted && !isSent && !handler.outcome && !accepted->isQuiet(0)) {
            accepted->readCommand();
            accepted->send(hit("v"));
        }
        if (handler.outcome && respondedAt == 0) respondedAt = transport::EventLoop::now();
        // The connection is used again only after a pause.
        if (!isSent && handler.outcome && transport::EventLoop::now() > respondedAt + 100 * ms) {
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
        accepted->discardUnread();
        if (bytesTakenByKernel() - bytesTakenBefore < largeBytes) return;
        isAbandoned = true;
        cache.endTimedOut(attempt);
        loop.stop();
    });
    cache.send(openingAttempt);
    loop.run();
    REQUIRE(isAbandoned);
    REQUIRE(handler.outcome.has_value());
    CHECK(static_cast<int>(*handler.outcome) == static_cast<int>(AttemptOutcome::timedOut));
}
