// Outstanding requests when something ends. Each test forces the bad order of events: servers withhold their
// accepts until they are told, and the process is suspended until everything has arrived.
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

// Connections may take long to be established, and requests wait for them as long as their clients do.
nlohmann::json patientStart() {
    auto start = smallStart();
    start["settings"]["allowed"]["connectTimeoutUs"] = 8'000'000;
    return start;
}
std::string patientGet(const std::string& key) { return get(key, "c=read,t=north,d=6000"); }
std::string patientSet(const std::string& key, const std::string& requestClass,
                       const std::string& value = "V") {
    return set(key, "c=" + requestClass + ",t=north,d=6000,k=" + key, value);
}
constexpr int kDisconnectedMs = 300;  // a request whose client has disconnected so long ago is not forwarded

bool startsWith(const std::string& text, std::string_view prefix) { return text.starts_with(prefix); }

std::string listOf(int version, bool full, const std::vector<nlohmann::json>& entries) {
    return nlohmann::json{{"version", version}, {"full", full}, {"servers", entries}}.dump();
}

// The socket of this process that is connected to a port.
int connectedTo(std::uint16_t port) {
    for (int at = 0; at < 1'000; ++at) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (getpeername(at, reinterpret_cast<sockaddr*>(&peer), &size) == 0 && peer.sin_family == AF_INET &&
            ntohs(peer.sin_port) == port)
            return at;
    }
    return -1;
}

}  // namespace

TEST_CASE("a request whose client disconnects while it waits for a connection is not forwarded") {
    Stage stage(1, patientStart());
    stage.caches[0].hold();
    stage.origin.hold();
    Socket stays = stage.client();
    stays.say(patientGet("stays"));
    Socket closes = stage.client(), resets = stage.client(), floods = stage.client();
    closes.say(patientGet("read") + patientSet("mark", "mark"));
    resets.say(patientSet("pay", "pay") + patientGet("other"));
    // More than is read of one connection before responses are sent: its end is not read there.
    std::string many;
    for (int i = 0; i < 200; ++i) many += patientGet("many" + std::to_string(i));
    floods.say(many);
    usleep(50'000);
    closes.hangUp();
    resets.reset();
    floods.hangUp();
    usleep(kDisconnectedMs * 1'000);
    stage.caches[0].let();
    stage.origin.let();
    Socket cache = stage.caches[0].accept();
    CHECK(cache.command().at(1) == "stays");
    cache.say(hit("V"));
    CHECK(stays.answer() == "V");
    CHECK(cache.quiet(50));
    // Neither another request nor a connection that waits for one.
    int opened = 0;
    int forwarded = 0;
    for (TestServer* door : {&stage.caches[0], &stage.origin})
        while (!door->quiet(1'200)) {
            const Socket late = door->accept();
            ++opened;
            forwarded += !late.quiet(200);
        }
    MESSAGE(forwarded, " of 204 requests forwarded after their clients had disconnected, ", opened,
            " connections opened");
    CHECK(forwarded == 0);
    CHECK(opened == 0);
}

TEST_CASE("a request whose client disconnects while the router is suspended is not forwarded") {
    Stage stage;
    Socket client = stage.client();
    client.say(get("a"));
    Socket cache = stage.caches[0].accept();
    cache.command();
    cache.say(hit("V"));
    CHECK(client.answer() == "V");
    Socket closes = stage.client(), resets = stage.client(), stays = stage.client();
    for (Socket* s : {&closes, &resets, &stays}) CHECK(s->say(array({"PING"})).answer() == "+PONG");
    stage.program.signal(SIGSTOP);
    closes.say(get("b") + set("c", "c=pay,d=1500"));
    resets.say(get("d"));
    closes.hangUp();
    resets.reset();
    usleep((kDisconnectedMs + 100) * 1'000);
    stays.say(get("e"));
    stage.program.signal(SIGCONT);
    CHECK(cache.command().at(1) == "e");
    cache.say(hit("W"));
    CHECK(stays.answer() == "W");
    CHECK(cache.quiet(100));
    CHECK(stage.caches[0].quiet(0));
    CHECK(stage.origin.quiet(0));
}

TEST_CASE(
    "a request between two attempts is not sent to the origin once its client has disconnected unread") {
    Stage stage(1, patientStart());
    Socket floods = stage.client();
    std::string many;
    for (int i = 0; i < 200; ++i) many += patientGet("many" + std::to_string(i));
    floods.say(many);
    std::vector<Socket> attempts;
    while (!stage.caches[0].quiet(300)) {
        attempts.push_back(stage.caches[0].accept());
        CHECK(attempts.back().command().size() == 4);
    }
    REQUIRE_FALSE(attempts.empty());
    floods.hangUp();
    usleep(kDisconnectedMs * 1'000);
    for (Socket& attempt : attempts) attempt.say(kMiss);
    CHECK(stage.origin.quiet(300));
    for (Socket& attempt : attempts) CHECK(attempt.quiet(0));
}

TEST_CASE("a connection to an earlier address of a cache server is not used once it is established") {
    Stage stage(2, patientStart());
    Socket discovery = stage.discovery.accept();
    discovery.head();
    stage.caches[0].hold();
    TestServer moved;
    // Several keys, so that both servers get one: the router selects which.
    Socket client = stage.client();
    stage.caches[1].hold();
    for (const char* key : {"a", "b", "c", "d"}) client.say(patientGet(key));
    usleep(100'000);
    auto gone = entryOf("c1", stage.caches[1], "m", "Terminating");
    discovery.say(http(200, listOf(8, false, {entryOf("c0", moved), gone})));
    discovery.head();
    stage.caches[0].let();
    stage.caches[1].let();
    // All four arrive at the new address, each on a connection of its own or behind another.
    std::vector<std::string> arrived;
    while (arrived.size() < 4 && !moved.quiet(1'000)) {
        Socket at = moved.accept();
        for (auto words = at.command(); words.size() == 4;
             words = at.quiet(200) ? std::vector<std::string>{} : at.command()) {
            arrived.push_back(words[1]);
            at.say(hit("V"));
        }
    }
    CHECK(arrived.size() == 4);
    CHECK(stage.caches[0].quiet(1'200));
    CHECK(stage.caches[1].quiet(0));
}

TEST_CASE("a retry is not written after its idempotency key may have expired, however late a connection is") {
    auto start = patientStart();
    start["settings"]["verbs"][1]["keyTtlUs"] = 900'000;
    Stage stage(2, start);
    Socket client = stage.client();
    const auto began = std::chrono::steady_clock::now();
    client.say(get("k", "c=mark,t=north,d=6000,k=k"));
    bool second = false;
    while (stage.caches[second].quiet(10)) second = !second;
    TestServer& asked = stage.caches[second];
    TestServer& other = stage.caches[!second];
    Socket first = asked.accept();
    CHECK(first.command().at(1) == "k");
    // It may have executed. The next connection is established with the kernel's retry, a second later.
    other.hold();
    stage.origin.hold();
    first.reset();
    usleep(50'000);
    other.let();
    stage.origin.let();
    // Cache servers recognize the key for 0.9 s from the first attempt: rejected, and at that time.
    CHECK(startsWith(client.answer(), "-BUSY"));
    const auto took = std::chrono::steady_clock::now() - began;
    CHECK(took > std::chrono::milliseconds(800));
    CHECK(took < std::chrono::milliseconds(1'600));
    for (TestServer* door : {&other, &stage.origin})
        while (!door->quiet(1'500)) CHECK(door->accept().quiet(200));
    CHECK(asked.quiet(0));
}

TEST_CASE("a response that lasts to the end of its connection is invalid when that was reset") {
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

TEST_CASE("open requests get a response at the end of a drain, and what would outlast it is not accepted") {
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
    usleep(600'000);  // past the time for idle connections: those with outstanding responses stay
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

TEST_CASE("what arrived while the router was suspended is read before timers that have expired fire") {
    Stage stage;
    Socket client = stage.client(), pays = stage.client(), says = stage.client();
    client.say(get("a", "c=read,t=north,d=400"));
    Socket cache = stage.caches[0].accept();
    CHECK(cache.command().at(1) == "a");
    pays.say(set("b", "c=pay,t=north,d=400"));
    Socket origin = stage.origin.accept();
    origin.head();
    const std::string late = patientGet("late");
    says.say(late.substr(0, 20));
    usleep(20'000);
    stage.program.signal(SIGSTOP);
    cache.say(hit("V"));
    origin.say(http(200, "receipt"));
    usleep(2'700'000);  // past both timeouts, and past that for the rest of a request
    says.say(late.substr(20));
    stage.program.signal(SIGCONT);
    CHECK(client.answer() == "V");
    CHECK(pays.answer() == "receipt");
    Socket next = stage.caches[0].quiet(300) ? std::move(cache) : stage.caches[0].accept();
    CHECK(next.command().at(1) == "late");
    next.say(hit("W"));
    CHECK(says.answer() == "W");
}

TEST_CASE(
    "a request whose last byte the kernel has taken may have executed, though the callback is still due") {
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
    protocol::Request first, heavy;
    first.info = heavy.info = "c=pay,d=9000";
    // Ten or eleven buffers of the router's, whatever part of the first is sent at once: libuv calls back for
    // nine of them before timers fire, so that the last one is with the kernel and its callback is due. In
    // service there are five at most; nothing may rely on libuv's number of rounds there.
    heavy.isWrite = true;
    heavy.value = std::string(180'000, 'x');
    const std::size_t all = protocol::cacheRequest(heavy, 14'000 * ms).size();
    const proxy::Attempt::Parameters parameters{.deadline = transport::EventLoop::now() + 15'000 * ms};
    proxy::Attempt opening(loop, first, cache, parameters), attempt(loop, heavy, cache, parameters);
    transport::Timer late(loop, [&] { loop.stop(); });
    late.start(transport::EventLoop::now() + 10'000 * ms);
    std::optional<Socket> peer;
    int router = -1;
    const auto taken = [&] {
        // The sixteenth field is what the peer has acknowledged; the C library's header lacks it.
        std::array<std::uint64_t, 32> info{};
        socklen_t size = sizeof info;
        int left = 0;
        getsockopt(router, IPPROTO_TCP, TCP_INFO, info.data(), &size);
        ioctl(router, SIOCOUTQ, &left);
        return static_cast<std::size_t>(info[15]) + static_cast<std::size_t>(left);
    };
    std::size_t before = 0;
    bool sent = false, isBetween = false;
    loop.onIteration([&] {
        connectionPool.serveWaiting();
        if (!peer && !server.quiet(0)) peer = server.accept();
        if (peer && !sent && !handler.outcome && !peer->quiet(0)) {
            peer->command();
            peer->say(hit("v"));
        }
        if (!sent && handler.outcome) {
            handler.outcome.reset();
            router = connectedTo(server.port);
            before = taken();
            setBufferSize(router, SO_SNDBUF, 4096);
            cache.send(attempt);
            // A part is sent; from now on the socket's buffer takes all of the rest at once.
            REQUIRE(taken() - before < all);
            setBufferSize(router, SO_SNDBUF, 1 << 20);
            sent = true;
        }
        if (!sent || isBetween) return;
        peer->drain();
        if (taken() - before < all) return;
        isBetween = true;
        cache.abandon(attempt);
        loop.stop();
    });
    cache.send(opening);
    loop.run();
    REQUIRE(isBetween);
    REQUIRE(handler.outcome.has_value());
    CHECK(static_cast<int>(*handler.outcome) == static_cast<int>(AttemptOutcome::timedOut));
}
