// Servers that begin a response and go on with it late or slowly, or stop in the middle of it.
#include <doctest/doctest.h>

#include <chrono>
#include <list>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "ctl/control_client.hpp"
#include "fixtures.hpp"
#include "server_threads.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

using Clock = std::chrono::steady_clock;
constexpr double kMaxLateness = 0.05;  // seconds after a request's timeout, when its client leaves
constexpr int kHangMs = 4'000;         // how long a server hangs unless the router ends the connection

double secondsSince(Clock::time_point start) {
    return std::chrono::duration<double>(Clock::now() - start).count();
}

enum class Framing : std::uint8_t { cacheServer, originWithLength, originWithoutLength };

// How a server sends the value of a key.
struct Pace {
    std::size_t length = 0;
    int pauseAfterHeadMs = 0;
    std::size_t bytesPerSecond = 0;  // 0: all at once
    std::size_t hangsAfter = 0;      // bytes after which nothing more is sent; 0: never hangs
    bool hangsAfterHead = false;
};

// Sends the head at once and the value as `pace` says. Returns whether the router has taken all of it.
bool sendPaced(Socket& socket, const Pace& pace, Framing framing) {
    const std::string value(pace.length, 'v');
    const std::string length = std::to_string(pace.length);
    std::string rest = value;
    if (framing == Framing::cacheServer) {
        socket.send("*3\r\n$" + length + "\r\n");
        rest += "\r\n$3\r\nhit\r\n$-1\r\n";
    } else if (framing == Framing::originWithLength) {
        socket.send("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n");
    } else {
        socket.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
    }
    usleep(static_cast<useconds_t>(pace.pauseAfterHeadMs) * 1'000);
    if (pace.hangsAfterHead) {
        socket.isQuiet(kHangMs);
        return false;
    }
    constexpr int kPieceMs = 20;
    const std::size_t piece = pace.bytesPerSecond ? pace.bytesPerSecond * kPieceMs / 1'000 : rest.size();
    for (std::size_t at = 0; at < rest.size(); at += piece) {
        if (pace.hangsAfter && at >= pace.hangsAfter) {
            socket.isQuiet(kHangMs);
            return false;
        }
        socket.send(std::string_view(rest).substr(at, piece));
        if (pace.bytesPerSecond) usleep(kPieceMs * 1'000);
        // The router sends nothing on this connection meanwhile, so what can be read is its end.
        if (at + piece < rest.size() && !socket.isQuiet(0)) return false;
    }
    if (framing == Framing::originWithoutLength) socket.close();
    return true;
}

// Cache servers that answer all keys at once except those that begin with "slow". The origin, which gets the
// reads that `framing` directs there, does the same.
class SlowServers {
  public:
    SlowServers(RouterFixture& fixture, Pace pace, Framing framing) : pace_(pace), framing_(framing) {
        for (TestServer& cache : fixture.caches)
            servers_.emplace_back(cache, [this](Socket& socket) { serveCache(socket); });
        servers_.emplace_back(fixture.origin, [this](Socket& socket) { serveOrigin(socket); });
    }
    int cutResponses() const { return cutResponses_; }
    int slowAttempts() const { return slowAttempts_; }

  private:
    void serveCache(Socket& socket) {
        const auto words = socket.readCommand();
        const bool isSlow = words.size() > 1 && words[1].starts_with("slow");
        if (!isSlow) {
            socket.send(hit("quick"));
        } else if (framing_ == Framing::cacheServer) {
            sendSlowly(socket);
        } else {
            socket.send(kMiss);
        }
    }
    void serveOrigin(Socket& socket) {
        const auto head = socket.readHead();
        if (!head.empty()) sendSlowly(socket);
    }
    void sendSlowly(Socket& socket) {
        ++slowAttempts_;
        const bool isWhole = sendPaced(socket, pace_, framing_);
        if (!isWhole) ++cutResponses_;
    }

    const Pace pace_;
    const Framing framing_;
    std::atomic<int> cutResponses_{0};
    std::atomic<int> slowAttempts_{0};
    std::list<ServerThreads> servers_;
};

// Lets the router learn the usual latency, after which it may end first attempts of reads early.
void learnLatency(const RouterFixture& fixture) {
    constexpr int kReads = 60;
    Socket client = fixture.client();
    for (int i = 0; i < kReads; ++i) {
        client.send(get("warm" + std::to_string(i), "c=read,t=north,d=2000"));
        CHECK(client.readResponse() == "quick");
    }
}

std::string keyOf(int number) { return "slow" + std::to_string(number); }

}  // namespace

// Guards against a timeout for the wait for a response's head that still ends the attempt after the head.
TEST_CASE("a read whose response has begun is not given up before its deadline") {
    constexpr Pace kHeadThenPause{.length = 150'000, .pauseAfterHeadMs = 900};
    constexpr Pace kShortHeadThenPause{.length = 20'000, .pauseAfterHeadMs = 900};
    constexpr Pace kShortSlow{.length = 50'000, .bytesPerSecond = 40'000};
    for (const Framing framing :
         {Framing::cacheServer, Framing::originWithLength, Framing::originWithoutLength})
        for (const Pace& pace : {kHeadThenPause, kShortHeadThenPause, kShortSlow}) {
            if (framing == Framing::originWithoutLength && pace.length > 64 * 1024) continue;
            CAPTURE(static_cast<int>(framing));
            CAPTURE(pace.length);
            CAPTURE(pace.pauseAfterHeadMs);
            RouterFixture fixture(3);
            SlowServers servers(fixture, pace, framing);
            learnLatency(fixture);
            Socket client = fixture.client();
            client.send(get(keyOf(0), "c=read,t=north,d=2000"));
            const std::size_t length = client.readResponse().size();
            const std::string log = fixture.program.log();
            CAPTURE(log);
            CHECK(length == pace.length);
            CHECK(servers.slowAttempts() == 1);
            CHECK(servers.cutResponses() == 0);
        }
}

// Guards against refusing requests whose response has begun, since no other server has capacity for them.
TEST_CASE("no read of a crowd is refused after its response has begun") {
    constexpr Pace kSlow{.length = 60'000, .bytesPerSecond = 40'000};
    constexpr int kClients = 40, kReadsPerClient = 2;
    RouterFixture fixture(7);
    SlowServers servers(fixture, kSlow, Framing::cacheServer);
    learnLatency(fixture);
    std::atomic<int> delivered{0}, refused{0};
    {
        std::list<std::jthread> clients;
        for (int number = 0; number < kClients; ++number)
            clients.emplace_back([&, number] {
                Socket client = fixture.client();
                for (int i = 0; i < kReadsPerClient; ++i) {
                    client.send(get(keyOf(number * kReadsPerClient + i), "c=read,t=north,d=2000"));
                    const bool isDelivered = client.readResponse().size() == kSlow.length;
                    ++(isDelivered ? delivered : refused);
                }
            });
    }
    const std::string log = fixture.program.log();
    CAPTURE(log);
    MESSAGE(delivered.load(), " delivered, ", refused.load(), " not, ", servers.slowAttempts(), " attempts");
    CHECK(servers.cutResponses() == 0);
    CHECK(delivered == servers.slowAttempts());
    CHECK(log.find("reason=incomplete_response") == std::string::npos);
}

// Guards against a request without a final response in time, if its server stops in the middle of its
// response.
TEST_CASE("a read whose server hangs in the middle of its response is answered in time") {
    constexpr double kTimeout = 0.8;
    constexpr Pace kAfterHead{.length = 150'000, .hangsAfterHead = true};
    constexpr Pace kAfterShortHead{.length = 20'000, .hangsAfterHead = true};
    constexpr Pace kInShortValue{.length = 50'000, .bytesPerSecond = 200'000, .hangsAfter = 20'000};
    for (const Framing framing :
         {Framing::cacheServer, Framing::originWithLength, Framing::originWithoutLength})
        for (const Pace& pace : {kAfterHead, kAfterShortHead, kInShortValue})
            for (const bool hasRequestBehind : {false, true}) {
                if (framing == Framing::originWithoutLength && pace.length > 64 * 1024) continue;
                CAPTURE(static_cast<int>(framing));
                CAPTURE(pace.length);
                CAPTURE(hasRequestBehind);
                RouterFixture fixture(3);
                SlowServers servers(fixture, pace, framing);
                learnLatency(fixture);
                Socket client = fixture.client();
                client.send(get(keyOf(0), "c=read,t=north,d=800"));
                if (hasRequestBehind) client.send(get("behind", "c=read,t=north,d=1500"));
                const auto sentAt = Clock::now();
                CHECK(client.readResponse().starts_with("-"));
                CHECK(secondsSince(sentAt) < kTimeout + kMaxLateness);
                if (hasRequestBehind) CHECK(client.readResponse() == "quick");
                CHECK(client.send(array({"PING"})).readResponse() == "+PONG");
            }
}

// Guards against cutting off a long value that its server is still sending at the request's deadline.
TEST_CASE("a long value that its server writes slowly beyond the deadline is delivered whole") {
    constexpr Pace kSteady{.length = 150'000, .bytesPerSecond = 100'000};
    constexpr Pace kLateBody{.length = 150'000, .pauseAfterHeadMs = 700, .bytesPerSecond = 200'000};
    for (const Framing framing : {Framing::cacheServer, Framing::originWithLength})
        for (const Pace& pace : {kSteady, kLateBody})
            for (const bool hasRequestBehind : {false, true}) {
                CAPTURE(static_cast<int>(framing));
                CAPTURE(pace.length);
                CAPTURE(hasRequestBehind);
                RouterFixture fixture(3);
                SlowServers servers(fixture, pace, framing);
                learnLatency(fixture);
                Socket client = fixture.client();
                client.send(get(keyOf(0), "c=read,t=north,d=800"));
                if (hasRequestBehind) client.send(get("behind", "c=read,t=north,d=1500"));
                CHECK(client.readResponse() == std::string(pace.length, 'v'));
                if (hasRequestBehind) CHECK(client.readResponse() == "quick");
                CHECK(client.send(array({"PING"})).readResponse() == "+PONG");
                CHECK(servers.cutResponses() == 0);
            }
}

// Guards against waiting for a response that earns nothing later, and whose client leaves: a short one that
// is not whole at the deadline, and a long one of which no byte of the value has arrived.
TEST_CASE("a slow response of which nothing can be passed on by the deadline is answered in time") {
    constexpr double kTimeout = 0.8;
    constexpr Pace kSteady{.length = 40'000, .bytesPerSecond = 20'000};
    constexpr Pace kLateBody{.length = 150'000, .pauseAfterHeadMs = 1'000, .bytesPerSecond = 200'000};
    for (const Framing framing : {Framing::cacheServer, Framing::originWithLength})
        for (const Pace& pace : {kSteady, kLateBody})
            for (const bool hasRequestBehind : {false, true}) {
                CAPTURE(static_cast<int>(framing));
                CAPTURE(pace.length);
                CAPTURE(hasRequestBehind);
                RouterFixture fixture(3);
                SlowServers servers(fixture, pace, framing);
                learnLatency(fixture);
                Socket client = fixture.client();
                client.send(get(keyOf(0), "c=read,t=north,d=800"));
                if (hasRequestBehind) client.send(get("behind", "c=read,t=north,d=1500"));
                const auto sentAt = Clock::now();
                CHECK(client.readResponse().starts_with("-BUSY"));
                CHECK(secondsSince(sentAt) > kTimeout - kMaxLateness);
                CHECK(secondsSince(sentAt) < kTimeout + kMaxLateness);
                if (hasRequestBehind) CHECK(client.readResponse() == "quick");
                CHECK(client.send(array({"PING"})).readResponse() == "+PONG");
                CHECK(servers.slowAttempts() == 1);
            }
}

// Without a length nothing of a response can be passed on before its end.
TEST_CASE("a response without a length that is incomplete after the deadline is answered in time") {
    constexpr Pace kSteady{.length = 40'000, .bytesPerSecond = 20'000};
    RouterFixture fixture(3);
    SlowServers servers(fixture, kSteady, Framing::originWithoutLength);
    Socket client = fixture.client();
    client.send(get(keyOf(0), "c=read,t=north,d=800"));
    const auto sentAt = Clock::now();
    CHECK(client.readResponse().starts_with("-"));
    CHECK(secondsSince(sentAt) < 0.8 + kMaxLateness);
}

// Guards against counting the time in which the router did not read a response as its server's silence.
TEST_CASE("a long response is delivered that waited unread behind an earlier one until after its deadline") {
    constexpr Pace kSlow{.length = 300'000, .bytesPerSecond = 150'000};
    RouterFixture fixture(3);
    SlowServers servers(fixture, kSlow, Framing::cacheServer);
    Socket client = fixture.client();
    client.send(get(keyOf(0), "c=read,t=north,d=1900") + get(keyOf(1), "c=read,t=north,d=900") +
                get("behind", "c=read,t=north,d=1900"));
    CHECK(client.readResponse().size() == kSlow.length);
    CHECK(client.readResponse().size() == kSlow.length);
    CHECK(client.readResponse() == "quick");
}

namespace {

enum class Disturbance : std::uint8_t { stop, reload, hotRestart, serverTerminating, slowClient };

// Reads a value of `length` bytes at some 200 kB/s.
std::string readSlowly(Socket& client, std::size_t length) {
    client.readLine();
    std::string value;
    constexpr std::size_t kPart = 10'000;
    while (value.size() < length) {
        const std::string part = client.readBytes(std::min(kPart, length - value.size()));
        if (part.empty()) break;
        value += part;
        usleep(50'000);
    }
    client.readLine();
    return value;
}

void disturb(const RouterFixture& fixture, Disturbance disturbance) {
    switch (disturbance) {
        case Disturbance::stop:
            return fixture.program.signal(SIGTERM);
        case Disturbance::reload:
            return fixture.program.signal(SIGHUP);
        case Disturbance::hotRestart: {
            const auto answer =
                ctl::sendRequest(fixture.program.operatorSocketPath(), {{"do", "upgrade"}}, kWaitTimeoutMs);
            REQUIRE_MESSAGE(answer.contains("taken_over_by"), answer.dump());
            kill(answer.at("taken_over_by").get<pid_t>(), SIGKILL);
            return;
        }
        case Disturbance::serverTerminating: {
            std::vector<nlohmann::json> entries;
            for (std::size_t i = 0; i < fixture.caches.size(); ++i)
                entries.push_back(entryOf("c" + std::to_string(i), fixture.caches[i], "m", "Terminating"));
            Socket discovery = const_cast<TestServer&>(fixture.discovery).accept();
            discovery.readHead();
            discovery.send(
                http(200, nlohmann::json{{"version", 8}, {"full", false}, {"servers", entries}}.dump()));
            usleep(300'000);
            return;
        }
        case Disturbance::slowClient:
            return;
    }
}

}  // namespace

// Each of these ends or changes something beside the attempt whose response is arriving.
TEST_CASE(
    "a slow response is delivered whole through stop reload hot restart Terminating and to a slow client") {
    constexpr Pace kShort{.length = 50'000, .bytesPerSecond = 40'000};
    constexpr Pace kOverdue{.length = 120'000, .bytesPerSecond = 80'000};
    constexpr Pace kLong{.length = 150'000, .pauseAfterHeadMs = 500, .bytesPerSecond = 150'000};
    for (const Disturbance disturbance : {Disturbance::stop, Disturbance::reload, Disturbance::hotRestart,
                                          Disturbance::serverTerminating, Disturbance::slowClient})
        for (const Framing framing : {Framing::cacheServer, Framing::originWithLength})
            for (const Pace& pace : {kShort, kOverdue, kLong}) {
                CAPTURE(static_cast<int>(disturbance));
                CAPTURE(static_cast<int>(framing));
                CAPTURE(pace.length);
                RouterFixture fixture(3, minimalStartConfig(), "[admin]\nsocket = \"{}/admin.sock\"\n");
                SlowServers servers(fixture, pace, framing);
                learnLatency(fixture);
                Socket client = fixture.client();
                const bool isOverdue = pace.length == kOverdue.length;
                client.send(get(keyOf(0), isOverdue ? "c=read,t=north,d=900" : "c=read,t=north,d=2000"));
                usleep(300'000);
                disturb(fixture, disturbance);
                const std::string value = disturbance == Disturbance::slowClient
                                              ? readSlowly(client, pace.length)
                                              : client.readResponse();
                const std::string log = fixture.program.log();
                CAPTURE(log);
                CHECK(value == std::string(pace.length, 'v'));
                CHECK(servers.cutResponses() == 0);
                CHECK(servers.slowAttempts() == 1);
            }
}

// Guards against a process that is killed, at the earliest time, before it has answered its last requests.
TEST_CASE("a process that stops has answered requests at a hanging server when it may be killed") {
    constexpr Pace kHangs{.length = 20'000, .hangsAfterHead = true};
    constexpr double kLongestTimeout = 2, kEarliestKill = 0.7;
    RouterFixture fixture(3);
    SlowServers servers(fixture, kHangs, Framing::cacheServer);
    Socket early = fixture.client(), late = fixture.client();
    CHECK(late.send(array({"PING"})).readResponse() == "+PONG");
    early.send(get(keyOf(0), "c=read,t=north,d=2000"));
    usleep(100'000);
    const auto stoppedAt = Clock::now();
    fixture.program.signal(SIGTERM);
    usleep(400'000);
    late.send(get(keyOf(1), "c=read,t=north,d=2000"));
    CHECK(early.readResponse().starts_with("-"));
    CHECK(late.readResponse().starts_with("-"));
    CHECK(secondsSince(stoppedAt) < kLongestTimeout + kEarliestKill);
    CHECK(fixture.program.exitCode() == 0);
    CHECK(secondsSince(stoppedAt) < kLongestTimeout + kEarliestKill);
}
