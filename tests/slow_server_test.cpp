// Servers that read a long request slowly or not at all, or write a long response slowly.
#include <doctest/doctest.h>
#include <netinet/tcp.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "fixtures.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

using Clock = std::chrono::steady_clock;
constexpr double kMaxLateness = 0.5;  // seconds after a request's timeout

nlohmann::json startConfigWithMode(bool isThrough) {
    auto start = minimalStartConfig();
    if (isThrough) start["settings"]["familyInfo"] = {{"mode", "through"}, {"originKind", -1}};
    return start;
}

double secondsSince(Clock::time_point start) {
    return std::chrono::duration<double>(Clock::now() - start).count();
}

struct ReadingServer {
    std::size_t bytesPerSecond = 0;  // 0: none after `bytesBeforeStop`
    std::size_t bytesBeforeStop = 0;
};

// As behind an Ethernet route: on loopback the kernel would take the whole request from the router.
void limitKernelBuffers(const TestServer& server) {
    const int segmentBytes = 1460, bufferBytes = 8192;
    setsockopt(server.descriptor(), IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
    setsockopt(server.descriptor(), SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
}

// Reads from the first connection to either server as `reading` says, until stopped.
void readSlowly(RouterFixture& fixture, const ReadingServer& reading, const std::atomic<bool>& isStopped) {
    Socket connection(-1);
    while (!isStopped && !connection.isOpen())
        for (TestServer* server : {&fixture.origin, &fixture.caches[0]})
            if (!server->isQuiet(5)) connection = server->accept();
    std::size_t total = 0;
    constexpr std::size_t kPiecesPerSecond = 20;
    while (!isStopped) {
        usleep(1'000'000 / kPiecesPerSecond);
        const std::size_t piece = reading.bytesPerSecond / kPiecesPerSecond;
        if (total < reading.bytesBeforeStop)
            total += connection.readBytes(reading.bytesBeforeStop - total).size();
        else if (piece > 0 && connection.readBytes(piece).empty())
            return;
    }
}

}  // namespace

// Guards against a timeout for progress that replaces the request's deadline.
TEST_CASE("a long write to a server that reads slowly or not at all is answered in time") {
    constexpr double kTimeout = 0.8;
    for (const bool isThrough : {false, true})
        for (const ReadingServer& reading :
             {ReadingServer{0, 0}, ReadingServer{0, 12'000}, ReadingServer{100'000, 0}})
            for (const std::size_t length :
                 {std::size_t{110'000}, std::size_t{300'000}, std::size_t{980'000}}) {
                CAPTURE(isThrough);
                CAPTURE(reading.bytesPerSecond);
                CAPTURE(length);
                RouterFixture fixture(1, startConfigWithMode(isThrough));
                for (const TestServer* server : {&fixture.origin, &fixture.caches[0]})
                    limitKernelBuffers(*server);
                std::atomic<bool> isStopped{false};
                std::thread server([&] { readSlowly(fixture, reading, isStopped); });
                Socket client = fixture.client();
                client.send(set("k", "c=pay,t=north,d=800", std::string(length, 'x')));
                const auto sentAt = Clock::now();
                const std::string answer = client.readResponse();
                CHECK(secondsSince(sentAt) < kTimeout + kMaxLateness);
                CHECK(answer.starts_with("-"));
                CHECK(client.send(array({"PING"})).readResponse() == "+PONG");
                isStopped = true;
                server.join();
            }
}

// Guards against cutting off a response that its server is still sending.
TEST_CASE("a long response that its server writes slowly beyond the deadline is delivered whole") {
    const std::string value(300'000, 'v');
    for (const bool isFromOrigin : {false, true})
        for (const bool hasRequestBehind : {false, true}) {
            CAPTURE(isFromOrigin);
            CAPTURE(hasRequestBehind);
            RouterFixture fixture;
            Socket client = fixture.client();
            client.send(get("long", "c=read,t=north,d=800"));
            Socket cache = fixture.caches[0].accept();
            cache.readCommand();
            if (hasRequestBehind) client.send(get("behind", "c=read,t=north,d=1900"));
            Socket behind = hasRequestBehind ? fixture.caches[0].accept() : Socket(-1);
            if (hasRequestBehind) {
                behind.readCommand();
                behind.send(hit("behind"));
            }
            if (isFromOrigin) cache.send(kMiss);
            Socket origin = isFromOrigin ? fixture.origin.accept() : Socket(-1);
            if (isFromOrigin) origin.readHead();
            Socket& server = isFromOrigin ? origin : cache;
            const std::string response = isFromOrigin ? http(200, value) : hit(value);
            std::jthread sender([&] {
                constexpr std::size_t kPiece = 10'000;  // each 50 ms: 200 kB/s
                for (std::size_t at = 0; at < response.size(); at += kPiece, usleep(50'000))
                    server.send(response.substr(at, kPiece));
            });
            const bool isWhole = client.readResponse() == value;
            CHECK(isWhole);
            if (hasRequestBehind) CHECK(client.readResponse() == "behind");
            CHECK(client.send(array({"PING"})).readResponse() == "+PONG");
        }
}
