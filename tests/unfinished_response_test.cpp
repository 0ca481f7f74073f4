// Servers that run a request and never complete their response, and clients that leave 50 ms after their
// time.
#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <list>
#include <memory>
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
// A client leaves so long after its time; what it has no answer to by then is lost.
constexpr double kPatienceMs = 50;
// A response that comes later after its time is counted as late in the message of a row.
constexpr double kLateMs = 20;
constexpr int kHangMs = 4'000;  // for so long a server does nothing, unless its connection ends
constexpr std::size_t kMaxCollectedValue = 64 * 1024;

double msSince(Clock::time_point start) {
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

enum class Framing : std::uint8_t { cacheServer, originWithLength, originWithoutLength, originChunked };

// After which part of its response a server sends nothing more.
enum class Stop : std::uint8_t { nothing, partOfHead, head, half, allButTwoBytes, wholeWithoutEnd, trickle };

enum class Sequence : std::uint8_t { alone, requestsBehind, behindAnother };

// One setting: a server that stops in the middle, and a request that it serves.
struct Row {
    Framing framing = Framing::cacheServer;
    Stop stop = Stop::half;
    std::size_t length = 2'000;
    int timeoutMs = 450;
    Sequence sequence = Sequence::alone;
    std::string info = "c=read,t=north";
    bool isWrite = false;
    std::size_t writtenLength = 1;
    bool hasInterimResponse = false;
    bool failsFirst = false;  // the first attempt of the read gets an error

    bool isLong() const { return length > kMaxCollectedValue; }
    // All of a long value arrives, and only the end of its reply is missing.
    bool isValueWhole() const {
        return isLong() && framing == Framing::cacheServer && stop == Stop::allButTwoBytes;
    }
    // A long value whose first bytes arrive is passed on as it comes, if nothing is behind it.
    bool isPassedOn() const {
        const bool hasLength = framing == Framing::cacheServer || framing == Framing::originWithLength;
        const bool isBegun = isLong() && hasLength && stop >= Stop::half;
        return isValueWhole() || (isBegun && sequence != Sequence::requestsBehind);
    }
};

// What a server sends at once, and what it would send after that.
struct Bytes {
    std::string head;
    std::string value;
    std::string end;
};

Bytes responseOf(const Row& row) {
    const std::string value(row.length, 'v');
    const std::string length = std::to_string(row.length);
    switch (row.framing) {
        case Framing::cacheServer:
            return {"*3\r\n$" + length + "\r\n", value, "\r\n$3\r\nhit\r\n$-1\r\n"};
        case Framing::originWithLength:
            return {"HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n", value, ""};
        case Framing::originWithoutLength:
            return {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", value, ""};
        case Framing::originChunked:
            break;
    }
    char size[16];
    snprintf(size, sizeof size, "%zx\r\n", row.length);
    return {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", size + value, "\r\n0\r\n\r\n"};
}

std::string sentPart(const Bytes& bytes, Stop stop) {
    const std::string whole = bytes.head + bytes.value + bytes.end;
    switch (stop) {
        case Stop::nothing:
            return "";
        case Stop::partOfHead:
            return bytes.head.substr(0, bytes.head.size() / 2);
        case Stop::head:
        case Stop::trickle:
            return bytes.head;
        case Stop::half:
            return bytes.head + bytes.value.substr(0, bytes.value.size() / 2);
        case Stop::allButTwoBytes:
            return whole.substr(0, whole.size() - 2);
        case Stop::wholeWithoutEnd:
            break;
    }
    // A response with a length is whole without its end only as long as the end has bytes.
    return bytes.end.empty() ? whole.substr(0, whole.size() - 1) : bytes.head + bytes.value;
}

// Sends its response up to where it stops, then nothing until the router ends the connection.
void sendUnfinished(Socket& socket, const Row& row) {
    const Bytes bytes = responseOf(row);
    if (row.hasInterimResponse) socket.send("HTTP/1.1 102 Processing\r\n\r\n");
    socket.send(sentPart(bytes, row.stop));
    constexpr int kTrickleIntervalMs = 20;
    const std::size_t count = row.stop == Stop::trickle ? kHangMs / kTrickleIntervalMs : 0;
    for (std::size_t i = 0; i < std::min(count, bytes.value.size()); ++i) {
        if (!socket.isQuiet(kTrickleIntervalMs)) return;
        socket.send(std::string_view(bytes.value).substr(i, 1));
    }
    socket.isQuiet(kHangMs);
}

// A router with three cache servers and an origin that stop in the middle of their responses to keys that
// begin with "stop", and answer all others at once. `period`: one in so many of these keys stops.
class UnfinishedServers {
  public:
    UnfinishedServers(RouterFixture& fixture, Row row, int period = 1)
        : row_(std::move(row)), period_(period) {
        for (TestServer& cache : fixture.caches)
            servers_.emplace_back(cache, [this](Socket& socket) { serveCache(socket); });
        servers_.emplace_back(fixture.origin, [this](Socket& socket) { serveOrigin(socket); });
    }
    int unfinished() const { return unfinished_; }

  private:
    void serveCache(Socket& socket) {
        const auto words = socket.readCommand();
        const bool stops = words.size() > 1 && words[1].starts_with("stop") && isDue();
        if (!stops) {
            socket.send(hit("quick"));
        } else if (row_.failsFirst && !hasFailed_.exchange(true)) {
            socket.send("-ERR failed\r\n");
        } else if (row_.framing != Framing::cacheServer) {
            socket.send(kMiss);
        } else {
            ++unfinished_;
            sendUnfinished(socket, row_);
        }
    }
    void serveOrigin(Socket& socket) {
        const auto head = socket.readHead();
        if (head.empty()) return;
        if (row_.isWrite) socket.readBytes(row_.writtenLength);
        ++unfinished_;
        sendUnfinished(socket, row_);
    }
    bool isDue() { return ++requests_ % period_ == 0; }

    const Row row_;
    const int period_;
    std::atomic<bool> hasFailed_{false};
    std::atomic<int> unfinished_{0};
    std::atomic<int> requests_{0};
    std::list<ServerThreads> servers_;
};

void learnLatency(const RouterFixture& fixture) {
    constexpr int kReads = 60;
    Socket client = fixture.client();
    for (int i = 0; i < kReads; ++i) {
        client.send(get("warm" + std::to_string(i), "c=read,t=north,d=2000"));
        CHECK(client.readResponse() == "quick");
    }
}

std::string requestOf(const Row& row, const std::string& key) {
    const std::string info = row.info + ",d=" + std::to_string(row.timeoutMs);
    return row.isWrite ? set(key, info, std::string(row.writtenLength, 'w')) : get(key, info);
}

// What a client gets for one request.
struct Answer {
    std::string text;        // the response, or its first bytes if it is passed on as it arrives
    bool isPartial = false;  // `text` is only the beginning
    bool isValue = false;
    double latenessMs = 0;  // after the request's time
};

// The first bytes of a response that is passed on, or else all of it.
Answer readAnswer(Socket& client, const Row& row, Clock::time_point sentAt) {
    Answer answer;
    answer.text = client.readLine();
    const bool isValue = answer.text.starts_with("$");
    const std::size_t length = isValue ? std::stoul(answer.text.substr(1)) : 0;
    answer.isPartial = length > kMaxCollectedValue && !row.isValueWhole();
    answer.isValue = isValue;
    if (answer.isPartial) answer.text = client.readBytes(1);
    if (isValue && !answer.isPartial) answer.text = client.readBytes(length + 2).substr(0, length);
    answer.latenessMs = msSince(sentAt) - row.timeoutMs;
    return answer;
}

struct RowResult {
    Answer answer;
    bool isSoundAfter = true;  // the requests behind were answered, and the connection serves a PING
    int attempts = 0;
    std::string log;
};

RowResult runRow(const RouterFixture& fixture, const UnfinishedServers& servers, const Row& row) {
    RowResult result;
    Socket client = fixture.client();
    std::string requests = requestOf(row, "stop0");
    if (row.sequence == Sequence::requestsBehind)
        requests += get("behind1", "c=read,t=north,d=1900") + get("behind2", "c=read,t=north,d=1900");
    if (row.sequence == Sequence::behindAnother) requests = get("before", "c=read,t=north,d=1900") + requests;
    client.send(requests);
    const auto sentAt = Clock::now();
    if (row.sequence == Sequence::behindAnother) result.isSoundAfter = client.readResponse() == "quick";
    result.answer = readAnswer(client, row, sentAt);
    if (row.sequence == Sequence::requestsBehind)
        for (int i = 0; i < 2; ++i) result.isSoundAfter &= client.readResponse() == "quick";
    if (!result.answer.isPartial)
        result.isSoundAfter &= client.send(array({"PING"})).readResponse() == "+PONG";
    result.attempts = servers.unfinished();
    result.log = fixture.program.log();
    return result;
}

void checkRow(const Row& row, const RowResult& result) {
    CAPTURE(static_cast<int>(row.framing));
    CAPTURE(static_cast<int>(row.stop));
    CAPTURE(row.length);
    CAPTURE(row.timeoutMs);
    CAPTURE(static_cast<int>(row.sequence));
    CAPTURE(row.info);
    CAPTURE(row.writtenLength);
    CAPTURE(result.answer.text.substr(0, 40));
    CAPTURE(result.log);
    CHECK(result.answer.latenessMs < kPatienceMs);
    CHECK(result.isSoundAfter);
    // A read whose response has not begun may be sent to another server.
    const int maxAttempts = row.stop == Stop::nothing && !row.isWrite ? 2 : 1;
    CHECK(result.attempts >= 1);
    CHECK(result.attempts <= maxAttempts);
    CHECK(result.answer.isValue == row.isPassedOn());
    if (row.isPassedOn()) return;
    // Only what is safe to repeat, or has a key that all servers know, may be refused after an attempt.
    const bool mayBeRefused = !row.info.starts_with("c=pay");
    const bool isError = result.answer.text.starts_with("-ERR");
    CHECK((isError || (mayBeRefused && result.answer.text.starts_with("-BUSY"))));
}

// Runs the rows several at a time, each with a router and servers of its own.
void runRows(const std::vector<Row>& rows) {
    constexpr std::size_t kRowsAtOnce = 4;
    int late = 0, unanswered = 0, attempts = 0;
    for (std::size_t first = 0; first < rows.size(); first += kRowsAtOnce) {
        struct Running {
            std::unique_ptr<RouterFixture> fixture;
            std::unique_ptr<UnfinishedServers> servers;
            std::future<RowResult> result;
        };
        std::vector<Running> running;
        const std::size_t end = std::min(first + kRowsAtOnce, rows.size());
        for (std::size_t i = first; i < end; ++i) {
            auto& entry = running.emplace_back();
            entry.fixture = std::make_unique<RouterFixture>(3);
            entry.servers = std::make_unique<UnfinishedServers>(*entry.fixture, rows[i]);
            learnLatency(*entry.fixture);
        }
        for (std::size_t i = first; i < end; ++i)
            running[i - first].result = std::async(std::launch::async, [&, i] {
                return runRow(*running[i - first].fixture, *running[i - first].servers, rows[i]);
            });
        for (std::size_t i = first; i < end; ++i) {
            const RowResult result = running[i - first].result.get();
            checkRow(rows[i], result);
            late += result.answer.latenessMs > kLateMs;
            unanswered += result.answer.latenessMs > kPatienceMs;
            attempts += result.attempts;
        }
    }
    MESSAGE(rows.size(), " rows: ", late, " answers later than 20 ms, ", unanswered,
            " none when the client left, ", attempts, " attempts");
}

}  // namespace

// Guards against a response that has begun and stays incomplete keeping its request from a final response
// until after its time (report 20f471).
TEST_CASE("a request whose response stays incomplete gets its final response by its time") {
    using enum Framing;
    using enum Stop;
    std::vector<Row> rows;
    for (const Stop stop : {nothing, partOfHead, head, half, allButTwoBytes, wholeWithoutEnd, trickle})
        for (const Framing framing : {cacheServer, originWithLength, originWithoutLength, originChunked})
            rows.push_back({.framing = framing, .stop = stop});
    for (const std::size_t length : {50'000UL, 65'536UL, 65'537UL, 200'000UL, 4'194'304UL})
        for (const Framing framing : {cacheServer, originWithLength})
            for (const Stop stop : {head, half})
                rows.push_back({.framing = framing, .stop = stop, .length = length});
    for (const int timeoutMs : {100, 2'000})
        for (const Framing framing : {cacheServer, originWithLength})
            rows.push_back({.framing = framing, .stop = half, .timeoutMs = timeoutMs});
    for (const Sequence sequence : {Sequence::requestsBehind, Sequence::behindAnother})
        for (const Stop stop : {head, half, allButTwoBytes, trickle})
            rows.push_back({.stop = stop, .sequence = sequence});
    for (const Stop stop : {head, half})
        rows.push_back({.stop = stop, .length = 200'000, .sequence = Sequence::behindAnother});
    rows.push_back({.framing = originWithLength, .hasInterimResponse = true});
    rows.push_back({.failsFirst = true});
    // Writes, whose responses come from the origin, with short and with streamed values.
    for (const std::string info : {"c=mark,t=north,k=5c0f6e1a", "c=pay,t=north"})
        for (const std::size_t writtenLength : {1UL, 200'000UL})
            for (const Stop stop : {nothing, head, half, allButTwoBytes})
                rows.push_back({.framing = originWithLength,
                                .stop = stop,
                                .length = 40,
                                .info = info,
                                .isWrite = true,
                                .writtenLength = writtenLength});
    // Long values with requests behind them, which wait for the decision.
    for (const Framing framing : {cacheServer, originWithLength})
        for (const int timeoutMs : {100, 450})
            for (const Stop stop : {head, half, allButTwoBytes, trickle})
                rows.push_back({.framing = framing,
                                .stop = stop,
                                .length = 200'000,
                                .timeoutMs = timeoutMs,
                                .sequence = Sequence::requestsBehind});
    runRows(rows);
}

namespace {

enum class Disturbance : std::uint8_t { stop, reload, hotRestart, serverTerminating };

void disturb(RouterFixture& fixture, Disturbance disturbance) {
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
            Socket discovery = fixture.discovery.accept();
            discovery.readHead();
            discovery.send(
                http(200, nlohmann::json{{"version", 8}, {"full", false}, {"servers", entries}}.dump()));
            usleep(100'000);
            return;
        }
    }
}

}  // namespace

// Each of these ends or changes something beside the attempt whose response stays incomplete.
TEST_CASE("an incomplete response is given up in time through stop reload hot restart and Terminating") {
    constexpr int kTimeoutMs = 900;
    for (const Disturbance disturbance :
         {Disturbance::stop, Disturbance::reload, Disturbance::hotRestart, Disturbance::serverTerminating})
        for (const Framing framing : {Framing::cacheServer, Framing::originWithLength}) {
            CAPTURE(static_cast<int>(disturbance));
            CAPTURE(static_cast<int>(framing));
            const Row row{.framing = framing, .timeoutMs = kTimeoutMs};
            RouterFixture fixture(3, minimalStartConfig(), "[admin]\nsocket = \"{}/admin.sock\"\n");
            UnfinishedServers servers(fixture, row);
            learnLatency(fixture);
            Socket client = fixture.client();
            client.send(requestOf(row, "stop0"));
            const auto sentAt = Clock::now();
            usleep(100'000);
            disturb(fixture, disturbance);
            const Answer answer = readAnswer(client, row, sentAt);
            const std::string log = fixture.program.log();
            CAPTURE(log);
            CHECK(answer.text.starts_with("-"));
            CHECK(answer.latenessMs < kPatienceMs);
            CHECK(servers.unfinished() == 1);
        }
}

namespace {

// Reads of many clients at once whose servers stop in the middle of their replies to one read in `period`.
struct CrowdResult {
    std::atomic<int> late{0}, unanswered{0}, delivered{0};
};

void runCrowd(const RouterFixture& fixture, const Row& row, CrowdResult& result) {
    constexpr int kClients = 40, kReadsPerClient = 4;
    std::list<std::jthread> clients;
    for (int number = 0; number < kClients; ++number)
        clients.emplace_back([&, number] {
            Socket client = fixture.client();
            for (int i = 0; i < kReadsPerClient; ++i) {
                const auto sentAt = Clock::now();
                client.send(requestOf(row, "stop" + std::to_string(number * kReadsPerClient + i)));
                const Answer answer = readAnswer(client, row, sentAt);
                result.late += answer.latenessMs > kLateMs;
                result.unanswered += answer.text.empty() || answer.latenessMs > kPatienceMs;
                result.delivered += answer.text == "quick";
            }
        });
}

}  // namespace

// Guards against clients that leave without an answer, if all servers or one reply in twelve stops in the
// middle, and if the router has no memory to read all of the replies.
TEST_CASE("no client of a crowd leaves unanswered beside servers that stop in the middle") {
    struct Setting {
        int period;
        std::size_t length;
        int memoryMb;
    };
    constexpr Setting kSettings[]{{1, 30'000, 64}, {12, 30'000, 64}, {1, 60'000, 16}};
    for (const Setting& setting : kSettings) {
        const Row row{.stop = Stop::allButTwoBytes, .length = setting.length, .timeoutMs = 450};
        auto start = minimalStartConfig();
        start["limits"]["memory_mb"] = setting.memoryMb;
        RouterFixture fixture(7, start);
        UnfinishedServers servers(fixture, row, setting.period);
        learnLatency(fixture);
        CrowdResult result;
        runCrowd(fixture, row, result);
        const std::string log = fixture.program.log();
        CAPTURE(log);
        CAPTURE(setting.period);
        CAPTURE(setting.memoryMb);
        const std::string notRead = "reason=incomplete_response outcome=not_executed";
        const bool wasMemoryShort = log.find(notRead) != std::string::npos;
        MESSAGE("one in ", setting.period, ", ", setting.memoryMb, " MB: ", result.delivered.load(),
                " delivered, ", servers.unfinished(), " unfinished, ", result.late.load(),
                " later than 20 ms, ", result.unanswered.load(),
                " unanswered, memory short: ", wasMemoryShort);
        CHECK(result.unanswered == 0);
        CHECK(servers.unfinished() > 0);
        CHECK(wasMemoryShort == (setting.memoryMb == 16));
    }
}
