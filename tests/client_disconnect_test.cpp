// No attempt may start more than 0.1 s after its client has closed the connection. Tests this for
// each way in which the router could fail to notice the close. An attempt starts when its first
// bytes arrive at the test server that plays a cache server or the origin.
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

// The longest allowed time from the client's close to the start of an attempt.
constexpr Milliseconds kMaxStartDelay{100};
// How long the tests watch for late attempts once nothing delays them any more.
constexpr Milliseconds kWatchDuration{300};
// The size of a value, in bytes: above the 64 KiB up to which values are buffered, and small enough that
// the close that follows the value reaches the router's kernel while the value is unread.
constexpr std::size_t kLongValueSize = 66'000;

// The delays between a client's close and the event that lets the router start an attempt.
constexpr Milliseconds kDelays[] = {Milliseconds{0},  Milliseconds{30},  Milliseconds{60},
                                    Milliseconds{90}, Milliseconds{110}, Milliseconds{150}};

std::string getWithLongTimeout(const std::string& key) { return get(key, "c=read,t=north,d=6000"); }

std::string manyGets(int count, const std::string& prefix) {
    std::string requests;
    for (int i = 0; i < count; ++i) requests += getWithLongTimeout(prefix + std::to_string(i));
    return requests;
}

nlohmann::json startWithLongConnectTimeout() {
    auto start = minimalStartConfig();
    start["settings"]["allowed"]["connectTimeoutUs"] = 8'000'000;
    return start;
}

// Waits for a connection from the router and a request on it, whose key is stored in `key`.
Socket acceptWithRequest(TestServer& server, std::string& key) {
    Socket connection = server.accept();
    const auto words = connection.readCommand();
    if (words.size() > 1) key = words[1];
    return connection;
}

// Returns the cache's end of an open, idle connection from the router.
Socket warmUp(RouterFixture& fixture) {
    Socket client = fixture.client();
    client.send(getWithLongTimeout("warm-up"));
    std::string key;
    Socket cache = acceptWithRequest(fixture.caches[0], key);
    cache.send(hit("V"));
    CHECK(client.readResponse() == "V");
    return cache;
}

// Returns a client that has already got a response, so that the router reads its next requests at
// once.
Socket activeClient(const RouterFixture& fixture) {
    Socket client = fixture.client();
    CHECK(client.send(array({"PING"})).readResponse() == "+PONG");
    return client;
}

// Watches the test servers for the first bytes of attempts.
class AttemptWatcher {
  public:
    explicit AttemptWatcher(RouterFixture& fixture) {
        for (TestServer& cache : fixture.caches) servers_.push_back(&cache);
        servers_.push_back(&fixture.origin);
    }
    // Also watches a connection that is already open, on which further attempts may arrive.
    void add(Socket&& connection) { connections_.push_back(std::move(connection)); }

    // Watches until `until`. Returns the delay from `closedAt` to the start of the last attempt, or
    // nothing if no attempt started.
    std::optional<Milliseconds> lastStart(Clock::time_point closedAt, Clock::time_point until) {
        std::optional<Milliseconds> last;
        while (Clock::now() < until) {
            const bool hasAttempt = pollAttempts();
            if (hasAttempt) last = std::chrono::ceil<Milliseconds>(Clock::now() - closedAt);
        }
        return last;
    }

  private:
    // Whether bytes of an attempt have arrived; waits 1 ms if there are none.
    bool pollAttempts() {
        for (TestServer* server : servers_)
            while (!server->isQuiet(0)) connections_.push_back(server->accept());
        bool hasAttempt = false;
        for (auto it = connections_.begin(); it != connections_.end();) {
            const bool isReadable = !it->isQuiet(0);
            const bool hasBytes = isReadable && it->unreadBytes() > 0;
            if (hasBytes) it->discardUnread();
            hasAttempt = hasAttempt || hasBytes;
            // The router has closed a connection that is readable but has no bytes.
            it = isReadable && !hasBytes ? connections_.erase(it) : std::next(it);
        }
        if (!hasAttempt) usleep(1'000);
        return hasAttempt;
    }

    std::vector<TestServer*> servers_;
    std::list<Socket> connections_;
};

void checkNoLateAttempt(AttemptWatcher& watcher, Clock::time_point closedAt) {
    const auto last = watcher.lastStart(closedAt, Clock::now() + kWatchDuration);
    if (!last) return;
    CHECK_MESSAGE(*last <= kMaxStartDelay, "an attempt started ", last->count(), " ms after the close");
}

// Accepts up to `count` attempts, which then wait for the server's responses.
std::list<Socket> acceptAttempts(TestServer& server, std::size_t count) {
    std::list<Socket> attempts;
    std::string key;
    while (attempts.size() < count && !server.isQuiet(200))
        attempts.push_back(acceptWithRequest(server, key));
    return attempts;
}

// Closes the client's connection, responds to all attempts after `delay`, and checks that no
// attempt starts too late.
void closeThenRespond(RouterFixture& fixture, Socket& client, std::list<Socket>& attempts, Milliseconds delay,
                      std::string_view answer = kMiss) {
    AttemptWatcher watcher(fixture);
    const auto closedAt = Clock::now();
    client.close();
    std::this_thread::sleep_until(closedAt + delay);
    for (Socket& attempt : attempts) attempt.send(answer);
    for (Socket& attempt : attempts) watcher.add(std::move(attempt));
    checkNoLateAttempt(watcher, closedAt);
}

}  // namespace

TEST_CASE("no late attempt after a client that is being read disconnects between the attempts of a request") {
    for (const Milliseconds delay : kDelays) {
        CAPTURE(delay.count());
        RouterFixture fixture;
        Socket client = activeClient(fixture);
        client.send(getWithLongTimeout("k"));
        auto attempts = acceptAttempts(fixture.caches[0], 1);
        REQUIRE(attempts.size() == 1);
        closeThenRespond(fixture, client, attempts, delay);
    }
}

TEST_CASE("no late attempt after a client disconnects with several pipelined requests") {
    for (const Milliseconds delay : kDelays) {
        CAPTURE(delay.count());
        RouterFixture fixture;
        Socket client = activeClient(fixture);
        client.send(manyGets(6, "k"));
        auto attempts = acceptAttempts(fixture.caches[0], 6);
        REQUIRE_FALSE(attempts.empty());
        closeThenRespond(fixture, client, attempts, delay);
    }
}

TEST_CASE("no late attempt after a client disconnects with more requests than are read ahead of responses") {
    // A miss makes the router try the origin, a hit makes it read the client's further requests.
    for (const std::string& answer : {std::string(kMiss), hit("V")})
        for (const Milliseconds delay : kDelays) {
            CAPTURE(answer);
            CAPTURE(delay.count());
            RouterFixture fixture(1, startWithLongConnectTimeout());
            Socket client = fixture.client();
            client.send(manyGets(1'000, "k"));
            auto attempts = acceptAttempts(fixture.caches[0], 1'000);
            REQUIRE_FALSE(attempts.empty());
            closeThenRespond(fixture, client, attempts, delay, answer);
        }
}

// Guards against a close that stays behind unread requests which exceed the kernel's receive window.
TEST_CASE("no late attempt after a client disconnects behind more bytes than its receive window holds") {
    const std::string longPrefix(1'000, 'k');
    for (const int requests : {150, 200, 400})
        for (const Milliseconds delay : {Milliseconds{110}, Milliseconds{150}}) {
            CAPTURE(requests);
            CAPTURE(delay.count());
            RouterFixture fixture(1, startWithLongConnectTimeout());
            Socket client = fixture.client();
            std::thread sender([&] { client.send(manyGets(requests, longPrefix)); });
            auto attempts = acceptAttempts(fixture.caches[0], 128);
            sender.join();
            REQUIRE_FALSE(attempts.empty());
            closeThenRespond(fixture, client, attempts, delay);
        }
}

TEST_CASE(
    "no late attempt after a client disconnects while requests wait for a connection to be established") {
    RouterFixture fixture(1, startWithLongConnectTimeout());
    fixture.caches[0].blockConnects();
    fixture.origin.blockConnects();
    std::map<std::string, Socket> clients;
    const auto sentAt = Clock::now();
    for (int i = 0; i < 8; ++i) {
        const std::string key = "k" + std::to_string(i);
        Socket& client = clients.emplace(key, activeClient(fixture)).first->second;
        client.send(getWithLongTimeout(key));
    }
    usleep(50'000);
    fixture.caches[0].unblockConnects();
    fixture.origin.unblockConnects();
    // The kernel tries to connect again 1 s after its first try. Clients close from 0.15 s before
    // that to just after it.
    std::map<std::string, Clock::time_point> closedAt;
    Milliseconds closeAfter{850};
    for (auto& [key, client] : clients) {
        std::this_thread::sleep_until(sentAt + closeAfter);
        closedAt[key] = Clock::now();
        client.close();
        closeAfter += Milliseconds{25};
    }
    std::vector<Socket> connections;
    const auto until = Clock::now() + Milliseconds{700};
    while (Clock::now() < until) {
        while (!fixture.caches[0].isQuiet(0)) connections.push_back(fixture.caches[0].accept());
        for (Socket& connection : connections) {
            if (connection.isQuiet(0)) continue;
            const auto startedAt = Clock::now();
            const auto words = connection.readCommand();
            if (words.size() < 2) {
                connection.close();
                continue;
            }
            const auto delay = std::chrono::ceil<Milliseconds>(startedAt - closedAt[words[1]]);
            CHECK_MESSAGE(delay <= kMaxStartDelay, words[1], " started ", delay.count(),
                          " ms after the close");
        }
        std::erase_if(connections, [](const Socket& connection) { return !connection.isOpen(); });
        usleep(1'000);
    }
    CHECK(fixture.origin.isQuiet(0));
}

TEST_CASE("no late attempt when request and close arrive while the router is suspended") {
    // After a suspension of just over 0.1 s, the router may take the request to be less than 0.1 s old.
    for (int round = 0; round < 3; ++round)
        for (const int suspendedMs : {101, 103, 105, 108, 112, 120, 150}) {
            CAPTURE(suspendedMs);
            RouterFixture fixture;
            AttemptWatcher watcher(fixture);
            watcher.add(warmUp(fixture));
            Socket client = activeClient(fixture);
            fixture.program.signal(SIGSTOP);
            usleep(1'000);
            client.send(manyGets(2, "k"));
            const auto closedAt = Clock::now();
            client.close();
            std::this_thread::sleep_until(closedAt + Milliseconds{suspendedMs});
            fixture.program.signal(SIGCONT);
            // Any attempt that starts now is too late.
            const auto last = watcher.lastStart(closedAt, Clock::now() + Milliseconds{100});
            CHECK_MESSAGE(!last, "an attempt started ", last.value_or(Milliseconds{0}).count(),
                          " ms after the close");
        }
}

TEST_CASE("no late attempt when the end of an attempt and the close arrive while the router is suspended") {
    for (const bool closeFirst : {true, false})
        for (const int suspendedMs : {101, 110, 150}) {
            CAPTURE(closeFirst);
            CAPTURE(suspendedMs);
            RouterFixture fixture;
            Socket client = activeClient(fixture);
            client.send(manyGets(200, "k"));
            auto attempts = acceptAttempts(fixture.caches[0], 200);
            REQUIRE_FALSE(attempts.empty());
            AttemptWatcher watcher(fixture);
            fixture.program.signal(SIGSTOP);
            usleep(1'000);
            if (!closeFirst)
                for (Socket& attempt : attempts) attempt.send(kMiss);
            const auto closedAt = Clock::now();
            client.close();
            if (closeFirst)
                for (Socket& attempt : attempts) attempt.send(kMiss);
            for (Socket& attempt : attempts) watcher.add(std::move(attempt));
            std::this_thread::sleep_until(closedAt + Milliseconds{suspendedMs});
            fixture.program.signal(SIGCONT);
            const auto last = watcher.lastStart(closedAt, Clock::now() + kWatchDuration);
            CHECK_MESSAGE(!last, "an attempt started ", last.value_or(Milliseconds{0}).count(),
                          " ms after the close");
        }
}

TEST_CASE("no late attempt of a request behind a long write that times out while the router is suspended") {
    for (const int suspendedMs : {250, 400}) {
        CAPTURE(suspendedMs);
        RouterFixture fixture(1, startWithLongConnectTimeout());
        fixture.origin.blockConnects();
        AttemptWatcher watcher(fixture);
        Socket client = activeClient(fixture);
        // The write waits 0.2 s for a connection. Most of its value and the request behind it are
        // unread.
        const std::string write = set("w", "c=mark,t=north,d=200,k=w", std::string(kLongValueSize, 'x'));
        client.send(write + getWithLongTimeout("behind"));
        usleep(50'000);
        fixture.program.signal(SIGSTOP);
        usleep(1'000);
        const auto closedAt = Clock::now();
        client.close();
        std::this_thread::sleep_until(closedAt + Milliseconds{suspendedMs});
        fixture.program.signal(SIGCONT);
        const auto last = watcher.lastStart(closedAt, Clock::now() + kWatchDuration);
        CHECK_MESSAGE(!last, "an attempt started ", last.value_or(Milliseconds{0}).count(),
                      " ms after the close");
    }
}

TEST_CASE("no late attempt after a client disconnects with unread requests behind a long response") {
    const std::string answer = hit(std::string(kLongValueSize, 'x'));
    const std::size_t withheld = 10'000;  // bytes of the response that are sent only after the close
    for (const int ms : {0, 30, 60, 90, 110, 120, 130, 140, 150}) {
        const Milliseconds delay{ms};
        CAPTURE(delay.count());
        RouterFixture fixture;
        Socket client = activeClient(fixture);
        client.send(getWithLongTimeout("long"));
        auto attempts = acceptAttempts(fixture.caches[0], 1);
        REQUIRE(attempts.size() == 1);
        attempts.front().send(answer.substr(0, answer.size() - withheld));
        CHECK(client.readBytes(kLongValueSize - withheld).size() == kLongValueSize - withheld);
        // These are more bytes than the router reads in one iteration.
        client.send(manyGets(600, "k"));
        usleep(50'000);
        client.discardUnread();
        AttemptWatcher watcher(fixture);
        // Ends only the sending side, so that no reset follows at once. This imitates a client on
        // another machine, whose reset takes as long to arrive as the rest of the response does.
        const auto closedAt = Clock::now();
        client.endSending();
        std::this_thread::sleep_until(closedAt + delay);
        attempts.front().send(answer.substr(answer.size() - withheld));
        watcher.add(std::move(attempts.front()));
        checkNoLateAttempt(watcher, closedAt);
    }
}
