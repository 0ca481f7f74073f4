// The term "a client that closes its connection has gone; an attempt that begins more than 0.1 s after the
// close is a break", for each way in which a close can go unnoticed. The start of an attempt is the arrival
// of its first bytes at a stand-in of a cache or of the origin.
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

constexpr Milliseconds kLatestStart{100};  // after the close: the term's bound
constexpr Milliseconds kWatched{300};      // for attempts, once everything that held them up is gone
// Bytes: over the 64 KiB up to which a value is taken whole, and little enough that the close behind it comes
// to the router's kernel while the value is not read yet.
constexpr std::size_t kLongValue = 66'000;

// Times between a client's close and the event that lets the router begin an attempt.
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

// A connection the router opened to a stand-in; blocks until it is opened.
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

// A client that the router has heard before, so that it reads from it at once.
Socket heardClient(const Stage& stage) {
    Socket client = stage.client();
    CHECK(client.say(array({"PING"})).answer() == "+PONG");
    return client;
}

// Watches stand-ins for the first bytes of attempts.
class AttemptWatch {
  public:
    explicit AttemptWatch(Stage& stage) {
        for (TestServer& cache : stage.caches) doors_.push_back(&cache);
        doors_.push_back(&stage.origin);
    }
    // A connection on which further attempts may come.
    void add(Socket&& connection) { connections_.push_back(std::move(connection)); }

    // How long after `closed` the last attempt began that began before `until`; nothing if none did.
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

void checkNoLateAttempt(AttemptWatch& watch, Clock::time_point closed) {
    const auto last = watch.lastStart(closed, Clock::now() + kWatched);
    if (!last) return;
    CHECK_MESSAGE(*last <= kLatestStart, "an attempt began ", last->count(), " ms after the close");
}

// Attempts of a client's requests that wait for the stand-in's answers, at most `count` of them.
std::list<Socket> acceptAttempts(TestServer& door, std::size_t count) {
    std::list<Socket> attempts;
    std::string key;
    while (attempts.size() < count && !door.quiet(200)) attempts.push_back(acceptWithRequest(door, key));
    return attempts;
}

// Closes the client, answers all attempts after `delay`, and checks what begins then.
void closeThenAnswer(Stage& stage, Socket& client, std::list<Socket>& attempts, Milliseconds delay,
                     std::string_view answer = kMiss) {
    AttemptWatch watch(stage);
    const auto closed = Clock::now();
    client.hangUp();
    std::this_thread::sleep_until(closed + delay);
    for (Socket& attempt : attempts) attempt.say(answer);
    for (Socket& attempt : attempts) watch.add(std::move(attempt));
    checkNoLateAttempt(watch, closed);
}

}  // namespace

TEST_CASE("client left: between the attempts of one request that is read from") {
    for (const Milliseconds delay : kDelays) {
        CAPTURE(delay.count());
        Stage stage;
        Socket client = heardClient(stage);
        client.say(patientGet("k"));
        auto attempts = acceptAttempts(stage.caches[0], 1);
        REQUIRE(attempts.size() == 1);
        closeThenAnswer(stage, client, attempts, delay);
    }
}

TEST_CASE("client left: several pipelined requests in line") {
    for (const Milliseconds delay : kDelays) {
        CAPTURE(delay.count());
        Stage stage;
        Socket client = heardClient(stage);
        client.say(manyGets(6, "k"));
        auto attempts = acceptAttempts(stage.caches[0], 6);
        REQUIRE_FALSE(attempts.empty());
        closeThenAnswer(stage, client, attempts, delay);
    }
}

TEST_CASE("client left: more requests than are read before answers go out") {
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
            closeThenAnswer(stage, client, attempts, delay, answer);
        }
}

TEST_CASE("client left: while requests wait for a connection on its way") {
    Stage stage(1, patientStart());
    stage.caches[0].hold();
    stage.origin.hold();
    std::map<std::string, Socket> clients;
    const auto sent = Clock::now();
    for (int i = 0; i < 8; ++i) {
        const std::string key = "k" + std::to_string(i);
        Socket& client = clients.emplace(key, heardClient(stage)).first->second;
        client.say(patientGet(key));
    }
    usleep(50'000);
    stage.caches[0].let();
    stage.origin.let();
    // The kernel tries again a second after the first time: they close from 0.15 s before that to just after.
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
            const auto late = std::chrono::ceil<Milliseconds>(began - closed[words[1]]);
            CHECK_MESSAGE(late <= kLatestStart, words[1], " began ", late.count(), " ms after the close");
        }
        std::erase_if(connections, [](const Socket& connection) { return !connection.open(); });
        usleep(1'000);
    }
    CHECK(stage.origin.quiet(0));
}

TEST_CASE("client left: request and close came while the router was held up") {
    // Just over the bound the request itself looks younger than the bound.
    for (int round = 0; round < 3; ++round)
        for (const int held : {101, 103, 105, 108, 112, 120, 150}) {
            CAPTURE(held);
            Stage stage;
            AttemptWatch watch(stage);
            watch.add(warmUp(stage));
            Socket client = heardClient(stage);
            stage.program.signal(SIGSTOP);
            usleep(1'000);
            client.say(manyGets(2, "k"));
            const auto closed = Clock::now();
            client.hangUp();
            std::this_thread::sleep_until(closed + Milliseconds{held});
            stage.program.signal(SIGCONT);
            // Anything that begins now is too late.
            const auto last = watch.lastStart(closed, Clock::now() + Milliseconds{100});
            CHECK_MESSAGE(!last, "an attempt began ", last.value_or(Milliseconds{0}).count(),
                          " ms after the close");
        }
}

TEST_CASE("client left: the end of an attempt and the close came while the router was held up") {
    for (const bool closeFirst : {true, false})
        for (const int held : {101, 110, 150}) {
            CAPTURE(closeFirst);
            CAPTURE(held);
            Stage stage;
            Socket client = heardClient(stage);
            client.say(manyGets(200, "k"));
            auto attempts = acceptAttempts(stage.caches[0], 200);
            REQUIRE_FALSE(attempts.empty());
            AttemptWatch watch(stage);
            stage.program.signal(SIGSTOP);
            usleep(1'000);
            if (!closeFirst)
                for (Socket& attempt : attempts) attempt.say(kMiss);
            const auto closed = Clock::now();
            client.hangUp();
            if (closeFirst)
                for (Socket& attempt : attempts) attempt.say(kMiss);
            for (Socket& attempt : attempts) watch.add(std::move(attempt));
            std::this_thread::sleep_until(closed + Milliseconds{held});
            stage.program.signal(SIGCONT);
            const auto last = watch.lastStart(closed, Clock::now() + kWatched);
            CHECK_MESSAGE(!last, "an attempt began ", last.value_or(Milliseconds{0}).count(),
                          " ms after the close");
        }
}

TEST_CASE(
    "client left: a request is read behind a long write that was given up while the router was held up") {
    for (const int held : {250, 400}) {
        CAPTURE(held);
        Stage stage(1, patientStart());
        stage.origin.hold();
        AttemptWatch watch(stage);
        Socket client = heardClient(stage);
        // The write waits for a connection for 0.2 s, most of its value unread, and so is what stands behind
        // it.
        const std::string write = set("w", "c=mark,t=north,d=200,k=w", std::string(kLongValue, 'x'));
        client.say(write + patientGet("behind"));
        usleep(50'000);
        stage.program.signal(SIGSTOP);
        usleep(1'000);
        const auto closed = Clock::now();
        client.hangUp();
        std::this_thread::sleep_until(closed + Milliseconds{held});
        stage.program.signal(SIGCONT);
        const auto last = watch.lastStart(closed, Clock::now() + kWatched);
        CHECK_MESSAGE(!last, "an attempt began ", last.value_or(Milliseconds{0}).count(),
                      " ms after the close");
    }
}

TEST_CASE("client left: requests stand unread behind a long answer") {
    const std::string answer = hit(std::string(kLongValue, 'x'));
    const std::size_t held = 10'000;  // bytes of it that come after the close only
    for (const int ms : {0, 30, 60, 90, 110, 120, 130, 140, 150}) {
        const Milliseconds delay{ms};
        CAPTURE(delay.count());
        Stage stage;
        Socket client = heardClient(stage);
        client.say(patientGet("long"));
        auto attempts = acceptAttempts(stage.caches[0], 1);
        REQUIRE(attempts.size() == 1);
        attempts.front().say(answer.substr(0, answer.size() - held));
        CHECK(client.bytes(kLongValue - held).size() == kLongValue - held);
        // More than the router reads in one turn.
        client.say(manyGets(600, "k"));
        usleep(50'000);
        client.drain();
        AttemptWatch watch(stage);
        // As of a client on another machine, whose reset is on its way for as long as the answer is.
        const auto closed = Clock::now();
        client.endSending();
        std::this_thread::sleep_until(closed + delay);
        attempts.front().say(answer.substr(answer.size() - held));
        watch.add(std::move(attempts.front()));
        checkNoLateAttempt(watch, closed);
    }
}
