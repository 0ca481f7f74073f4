// Many clients that write long requests slowly, at full speed, or stop in the middle of them.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "fixtures.hpp"
#include "server_threads.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

using Clock = std::chrono::steady_clock;

double secondsSince(Clock::time_point start) {
    return std::chrono::duration<double>(Clock::now() - start).count();
}

nlohmann::json startConfigWithMemory(int megabytes) {
    auto start = minimalStartConfig();
    start["limits"]["memory_mb"] = megabytes;
    start["limits"]["sockets"] = 1024;
    return start;
}

// An origin that answers each write at once.
void serveWrites(Socket& connection) {
    std::size_t length = 0;
    for (const std::string& line : connection.readHead())
        if (line.starts_with("Content-Length: ")) length = std::stoul(line.substr(16));
    connection.readBytes(length);
    connection.send(http(200, "receipt"));
}

// A client that writes one request after another, in parts.
class Writer {
  public:
    Writer(Socket socket, std::string name, int requests)
        : socket_(std::move(socket)), name_(std::move(name)), requestsLeft_(requests) {
        beginRequest();
    }
    // Sends up to `bytes` more of the request or, after its end, reads the response if there is one.
    void advance(std::size_t bytes) {
        if (isDone()) return;
        if (!isRequestSent() && socket_.isQuiet(0)) {
            sent_ += socket_.sendWithoutBlocking(std::string_view(request_).substr(sent_, bytes));
            return;
        }
        if (socket_.isQuiet(0)) return;
        const std::string response = socket_.readResponse();
        const bool isFinal = response == "receipt" || response.starts_with("-BUSY");
        if (!isFinal || !isRequestSent()) {
            problem_ = response.empty() ? "closed" : response;
            return;
        }
        receipts_ += response == "receipt";
        if (requestsLeft_ == 0) {
            isFinished_ = true;
            return;
        }
        // At once, since a connection that is idle for 0.1 s may be closed while there are many.
        beginRequest();
        advance(bytes);
    }
    bool isDone() const { return isFinished_ || !problem_.empty(); }
    const std::string& problem() const { return problem_; }
    int receipts() const { return receipts_; }

  private:
    static constexpr std::size_t kValueBytes = 60'000;

    bool isRequestSent() const { return sent_ == request_.size(); }
    void beginRequest() {
        --requestsLeft_;
        sent_ = 0;
        const std::string key = name_ + "-" + std::to_string(requestsLeft_);
        request_ = set(key, "c=mark,t=north,d=2000,k=" + key, std::string(kValueBytes, 'x'));
    }

    Socket socket_;
    std::string name_;
    int requestsLeft_;
    std::string request_;
    std::size_t sent_ = 0;
    int receipts_ = 0;
    bool isFinished_ = false;
    std::string problem_;
};

}  // namespace

// Guards against closing connections, to free memory, whose clients are writing a request.
TEST_CASE("clients that write long requests are slowed down and not closed when memory is short") {
    // Of more than half of the clients that the limits allow (244), those that are idle for 0.1 s may be
    // closed.
    constexpr int kClients = 240, kRequests = 2, kTickMs = 20;
    for (const std::size_t bytesPerSecond : {std::size_t{30'000}, std::size_t{0}}) {
        CAPTURE(bytesPerSecond);
        RouterFixture fixture(1, startConfigWithMemory(32));
        const ServerThreads origin(fixture.origin, serveWrites);
        std::vector<Writer> writers;
        for (int i = 0; i < kClients; ++i)
            writers.emplace_back(fixture.client(), "w" + std::to_string(i), kRequests);
        const std::size_t part = bytesPerSecond ? bytesPerSecond * kTickMs / 1'000 : std::string::npos;
        const auto startedAt = Clock::now();
        std::size_t peakKiB = 0;
        const auto isDone = [](const Writer& writer) { return writer.isDone(); };
        constexpr double kMaxSeconds = 40;
        while (!std::all_of(writers.begin(), writers.end(), isDone) &&
               secondsSince(startedAt) < kMaxSeconds) {
            for (Writer& writer : writers) writer.advance(part);
            peakKiB = std::max(peakKiB, fixture.program.residentKiB());
            usleep(kTickMs * 1'000);
        }
        int receipts = 0, closed = 0;
        for (const Writer& writer : writers) {
            receipts += writer.receipts();
            closed += !writer.problem().empty();
            CHECK(writer.isDone());
            CHECK(writer.problem() == "");
        }
        MESSAGE(bytesPerSecond, " bytes/s: ", receipts, " receipts, ", closed, " closed, ",
                secondsSince(startedAt), " s, peak ", peakKiB, " KiB");
        CHECK(receipts > 0);
    }
}

// Guards against waiting for memory that is held, or waited for, by clients that send nothing more.
TEST_CASE("clients that stop in the middle of a long request get an error in time and others are served") {
    constexpr int kClients = 200;
    constexpr double kMaxErrorSeconds = 3, kMaxOtherSeconds = 0.5;
    RouterFixture fixture(1, startConfigWithMemory(16));
    const ServerThreads origin(fixture.origin, serveWrites);
    const ServerThreads cache(fixture.caches[0], [](Socket& connection) {
        connection.readCommand();
        connection.send(hit("quick"));
    });
    const std::string write = set("w", "c=mark,t=north,d=2000,k=w", std::string(60'000, 'x'));
    std::vector<Socket> clients;
    const auto startedAt = Clock::now();
    for (int i = 0; i < kClients; ++i)
        clients.emplace_back(fixture.client()).sendWithoutBlocking(write.substr(0, 30'000));
    Socket other = fixture.client();
    for (int i = 0; secondsSince(startedAt) < 2; ++i) {
        const auto sentAt = Clock::now();
        other.send(get("k" + std::to_string(i), "c=read,t=north,d=1000"));
        CHECK(other.readResponse() == "quick");
        CHECK(secondsSince(sentAt) < kMaxOtherSeconds);
    }
    for (Socket& client : clients) CHECK(client.readResponse().starts_with("-ERR"));
    CHECK(secondsSince(startedAt) < kMaxErrorSeconds);
}

// Guards against a request that is complete, but unread behind those of slow clients until after its
// deadline.
TEST_CASE("a quick client is answered in time while slow ones hold the memory for requests") {
    constexpr int kSlowClients = 100;
    constexpr double kTimeout = 0.6, kMaxLateness = 0.5;
    RouterFixture fixture(1, startConfigWithMemory(16));
    const ServerThreads origin(fixture.origin, serveWrites);
    const std::string write = set("w", "c=mark,t=north,d=2000,k=w", std::string(60'000, 'x'));
    std::vector<Socket> slow;
    for (int i = 0; i < kSlowClients; ++i)
        slow.emplace_back(fixture.client()).sendWithoutBlocking(write.substr(0, 20'000));
    usleep(200'000);
    Socket quick = fixture.client();
    for (int i = 0; i < 10; ++i) {
        const std::string key = "q" + std::to_string(i);
        quick.send(set(key, "c=mark,t=north,d=600,k=" + key, std::string(60'000, 'x')));
        const auto sentAt = Clock::now();
        const std::string response = quick.readResponse();
        CHECK((response == "receipt" || response.starts_with("-BUSY")));
        CHECK(secondsSince(sentAt) < kTimeout + kMaxLateness);
        for (Socket& socket : slow) socket.sendWithoutBlocking("x");
    }
}

// Guards against counting the wait for a client's first request as part of the time for reading that request.
TEST_CASE("a client that pauses before its first request has the whole time for writing it") {
    RouterFixture fixture;
    const ServerThreads origin(fixture.origin, serveWrites);
    Socket client = fixture.client();
    usleep(2'000'000);
    const std::string write = set("w", "c=mark,t=north,d=2000,k=w");
    for (std::size_t at = 0; at < write.size(); at += write.size() / 10, usleep(150'000))
        client.send(write.substr(at, write.size() / 10));
    CHECK(client.readResponse() == "receipt");
}
