// The operators' rule "a client that closes its connection has gone; an attempt that begins more than 0.1 s
// after the close is a break", for each way in which a close can go unnoticed. The start of an attempt is the
// arrival of its first bytes at a test server for a cache server or the origin.
#include <doctest/doctest.h>

#include <chrono>
#include <list>
#include <map>
#include <optional>
#include <thread>

#include "fixtures.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds kMaxStartDelay{100};  // after the close, by that rule
constexpr Milliseconds kWatchDuration{300};  // once nothing delays attempts any more
// Bytes: over the 64 KiB up to which a value is buffered, and little enough that the close behind it reaches
// the router's kernel while the value is unread.
constexpr std::size_t kLongValueSize = 66'000;

// Between a client's close and the event that lets the router start an attempt.
constexpr Milliseconds kDelays[] = {Milliseconds{0},  Milliseconds{30},  Milliseconds{60},
                                    Milliseconds{90}, Milliseconds{110}, Milliseconds{150}};

std::string patientGet(const std::string& key) { return get(key, "c=read,t=north,d=6000"); }

std::string manyGets(int count, const std::string& prefix) {
    std::string requests;
    for (int i = 0; i < count; ++i) requests += patientGet(prefix + std::to_string(i));
    return requests;
}

nlohmann::json patientStart() {
    auto start = smallStart();
    start["settings"]["allowed"]["connectTimeoutUs"] = 8'000'000;
    return start;
}

// Accepts a connection of the router and reads its request; blocks until both have come.
Socket acceptWithRequest(TestServer& door, std::string& key) {
    Socket connection = door.accept();
    const auto words = connection.command();
    if (words.size() > 1) key = words[1];
    return connection;
}

// Leaves one open, unused connection from the router to the cache.
Socket warmUp(Stage& stage) {
    Socket client = stage.client();
    client.say(patientGet("warm-up"));
    std::string key;
    Socket cache = acceptWithRequest(stage.caches[0], key);
    cache.say(hit("V"));
    CHECK(client.answer() == "V");
    return cache;
}

// A client that has got a response, so that the router reads its further requests at once.
Socket activeClient(const Stage& stage) {
    Socket client = stage.client();
    CHECK(client.say(array({"PING"})).answer() == "+PONG");
    return client;
}

// Watches test servers for the first bytes of attempts.
class AttemptWatcher {
  public:
    explicit AttemptWatcher(Stage& stage) {
        for (TestServer& cache : stage.caches) doors_.push_back(&cache);
        doors_.push_back(&stage.origin);
    }
    // A connection on which further attempts may come.
    void add(Socket&& connection) { connections_.push_back(std::move(connection)); }

    // How long after `closed` the last attempt started that started before `until`; none if none did.
    std::optional<Milliseconds> lastStart(Clock::time_point closed, Clock::time_point until) {
        std::optional<Milliseconds> last;
        while (Clock::now() < until) {
            const bool attempt = poll();
            if (attempt) last = std::chrono::ceil<Milliseconds>(Clock::now() - closed);
        }
        return last;
    }

  private:
    // Whether bytes of an attempt came within a millisecond.
    bool poll() {
        for (TestServer* door : doors_)
            while (!door->quiet(0)) connections_.push_back(door->accept());
        bool attempt = false;
        for (auto it = connections_.begin(); it != connections_.end();) {
            const bool readable = !it->quiet(0);
            const bool bytes = readable && it->waits() > 0;
            if (bytes) it->drain();
            attempt = attempt || bytes;
            // Readable without bytes: the router has closed it.
            it = readable && !bytes ? connections_.erase(it) : std::next(it);
        }
        if (!attempt) usleep(1'000);
        return attempt;
    }

    std::vector<TestServer*> doors_;
    std::list<Socket> connections_;
};

void checkNoLateAttempt(AttemptWatcher& watch, Clock::time_point closed) {
    const auto last = watch.lastStart(closed, Clock::now() + kWatchDuration);
    if (!last) return;
    CHECK_MESSAGE(*last <= kMaxStartDelay, "an attempt started ", last->count(), " ms after the close");
}

// Attempts of a client's requests that wait for the server's responses, at most `count` of them.
std::list<Socket> acceptAttempts(TestServer& door, std::size_t count) {
    std::list<Socket> attempts;
    std::string key;
    while (attempts.size() < count && !door.quiet(200)) attempts.push_back(acceptWithRequest(door, key));
    return attempts;
}

// Closes the client, responds to all attempts after `delay`, and checks what starts then.
void closeThenRespond(Stage& stage, Socket& client, std::list<Socket>& attempts, Milliseconds delay,
                      std::string_view answer = kMiss) {
    AttemptWatcher watch(stage);
    const auto closed = Clock::now();
    client.hangUp();
    std::this_thread::sleep_until(closed + delay);
    for (Socket& attempt : attempts) attempt.say(answer);
    for (Socket& attempt : attempts) watch.add(std::move(attempt));
    checkNoLateAttempt(watch, closed);
}

}  // namespace

TEST_CASE("client disconnected: between the attempts of a request, on a connection that is read") {
    for (const Milliseconds delay : kDelays) {
        CAPTURE(delay.count());
        Stage stage;
        Socket client = activeClient(stage);
        client.say(patientGet("k"));
        auto attempts = acceptAttempts(stage.caches[0], 1);
        REQUIRE(attempts.size() == 1);
        closeThenRespond(stage, client, attempts, delay);
    }
}

TEST_CASE("client disconnected: with several pipelined requests") {
    for (const Milliseconds delay : kDelays) {
        CAPTURE(delay.count());
        Stage stage;
        Socket client = activeClient(stage);
        client.say(manyGets(6, "k"));
        auto attempts = acceptAttempts(stage.caches[0], 6);
        REQUIRE_FALSE(attempts.empty());
        closeThenRespond(stage, client, attempts, delay);
    }
}

TEST_CASE("client disconnected: with more requests than are read before responses are sent") {
    // A miss makes the router try the origin, a hit makes it read the client's further requests.
    for (const std::string& answer : {std::string(kMiss), hit("V")})
        for (const Milliseconds delay : kDelays) {
            CAPTURE(answer);
            CAPTURE(delay.count());
            Stage stage(1, patientStart());
            Socket client = stage.client();
            client.say(manyGets(1'000, "k"));
            auto attempts = acceptAttempts(stage.caches[0], 1'000);
            REQUIRE_FALSE(attempts.empty());
            closeThenRespond(stage, client, attempts, delay, answer);
        }
}

TEST_CASE("client disconnected: while requests wait for a connection to be established") {
    Stage stage(1, patientStart());
    stage.caches[0].hold();
    stage.origin.hold();
    std::map<std::string, Socket> clients;
    const auto sent = Clock::now();
    for (int i = 0; i < 8; ++i) {
        const std::string key = "k" + std::to_string(i);
        Socket& client = clients.emplace(key, activeClient(stage)).first->second;
        client.say(patientGet(key));
    }
    usleep(50'000);
    stage.caches[0].let();
    stage.origin.let();
    // The kernel retries a second after its first attempt: clients close from 0.15 s before that to just
    // after.
    std::map<std::string, Clock::time_point> closed;
    Milliseconds at{850};
    for (auto& [key, client] : clients) {
        std::this_thread::sleep_until(sent + at);
        closed[key] = Clock::now();
        client.hangUp();
        at += Milliseconds{25};
    }
    std::vector<Socket> connections;
    const auto until = Clock::now() + Milliseconds{700};
    while (Clock::now() < until) {
        while (!stage.caches[0].quiet(0)) connections.push_back(stage.caches[0].accept());
        for (Socket& connection : connections) {
            if (connection.quiet(0)) continue;
            const auto began = Clock::now();
            const auto words = connection.command();
            if (words.size() < 2) {
                connection.hangUp();
                continue;
            }
            const auto delay = std::chrono::ceil<Milliseconds>(began - closed[words[1]]);
            CHECK_MESSAGE(delay <= kMaxStartDelay, words[1], " started ", delay.count(),
                          " ms after the close");
        }
        std::erase_if(connections, [](const Socket& connection) { return !connection.open(); });
        usleep(1'000);
    }
    CHECK(stage.origin.quiet(0));
}

TEST_CASE("client disconnected: request and close arrived while the router was suspended") {
    // Just over the limit the request itself looks younger than the limit.
    for (int round = 0; round < 3; ++round)
        for (const int suspendedMs : {101, 103, 105, 108, 112, 120, 150}) {
            CAPTURE(suspendedMs);
            Stage stage;
            AttemptWatcher watch(stage);
            watch.add(warmUp(stage));
            Socket client = activeClient(stage);
            stage.program.signal(SIGSTOP);
            usleep(1'000);
            client.say(manyGets(2, "k"));
            const auto closed = Clock::now();
            client.hangUp();
            std::this_thread::sleep_until(closed + Milliseconds{suspendedMs});
            stage.program.signal(SIGCONT);
            // Any attempt that starts now is too late.
            const auto last = watch.lastStart(closed, Clock::now() + Milliseconds{100});
            CHECK_MESSAGE(!last, "an attempt started ", last.value_or(Milliseconds{0}).count(),
                          " ms after the close");
        }
}

TEST_CASE("client disconnected: the end of an attempt and the close arrived while the router was suspended") {
    for (const bool closeFirst : {true, false})
        for (const int suspendedMs : {101, 110, 150}) {
            CAPTURE(closeFirst);
            CAPTURE(suspendedMs);
            Stage stage;
            Socket client = activeClient(stage);
            client.say(manyGets(200, "k"));
            auto attempts = acceptAttempts(stage.caches[0], 200);
            REQUIRE_FALSE(attempts.empty());
            AttemptWatcher watch(stage);
            stage.program.signal(SIGSTOP);
            usleep(1'000);
            if (!closeFirst)
                for (Socket& attempt : attempts) attempt.say(kMiss);
            const auto closed = Clock::now();
            client.hangUp();
            if (closeFirst)
                for (Socket& attempt : attempts) attempt.say(kMiss);
            for (Socket& attempt : attempts) watch.add(std::move(attempt));
            std::this_thread::sleep_until(closed + Milliseconds{suspendedMs});
            stage.program.signal(SIGCONT);
            const auto last = watch.lastStart(closed, Clock::now() + kWatchDuration);
            CHECK_MESSAGE(!last, "an attempt started ", last.value_or(Milliseconds{0}).count(),
                          " ms after the close");
        }
}

TEST_CASE(
    "client disconnected: a request follows a long write that timed out while the router was suspended") {
    for (const int suspendedMs : {250, 400}) {
        CAPTURE(suspendedMs);
        Stage stage(1, patientStart());
        stage.origin.hold();
        AttemptWatcher watch(stage);
        Socket client = activeClient(stage);
        // The write waits for a connection for 0.2 s, with most of its value and what follows it unread.
        const std::string write = set("w", "c=mark,t=north,d=200,k=w", std::string(kLongValueSize, 'x'));
        client.say(write + patientGet("behind"));
        usleep(50'000);
        stage.program.signal(SIGSTOP);
        usleep(1'000);
        const auto closed = Clock::now();
        client.hangUp();
        std::this_thread::sleep_until(closed + Milliseconds{suspendedMs});
        stage.program.signal(SIGCONT);
        const auto last = watch.lastStart(closed, Clock::now() + kWatchDuration);
        CHECK_MESSAGE(!last, "an attempt started ", last.value_or(Milliseconds{0}).count(),
                      " ms after the close");
    }
}

TEST_CASE("client disconnected: with unread requests behind a long response") {
    const std::string answer = hit(std::string(kLongValueSize, 'x'));
    const std::size_t withheld = 10'000;  // bytes that are sent after the close only
    for (const int ms : {0, 30, 60, 90, 110, 120, 130, 140, 150}) {
        const Milliseconds delay{ms};
        CAPTURE(delay.count());
        Stage stage;
        Socket client = activeClient(stage);
        client.say(patientGet("long"));
        auto attempts = acceptAttempts(stage.caches[0], 1);
        REQUIRE(attempts.size() == 1);
        attempts.front().say(answer.substr(0, answer.size() - withheld));
        CHECK(client.bytes(kLongValueSize - withheld).size() == kLongValueSize - withheld);
        // More than the router reads in one iteration.
        client.say(manyGets(600, "k"));
        usleep(50'000);
        client.drain();
        AttemptWatcher watch(stage);
        // As with a client on another machine, whose reset takes as long to arrive as the response does.
        const auto closed = Clock::now();
        client.endSending();
        std::this_thread::sleep_until(closed + delay);
        attempts.front().say(answer.substr(answer.size() - withheld));
        watch.add(std::move(attempts.front()));
        checkNoLateAttempt(watch, closed);
    }
}
