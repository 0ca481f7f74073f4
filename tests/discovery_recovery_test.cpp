// A router receives a change within 6 s after discovery can be reached again, whatever failures
// came before, however many routers poll, and also while idle clients take up all its client
// connections.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "fixtures.hpp"

using namespace poppyscale;
using namespace poppyscale::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// The operators' limit for the time from the recovery of discovery until a router has the new list.
constexpr milliseconds kMaxUpdateDelay = 6s;
constexpr int kFirstVersion = 7;  // version of the list that a router is started with
constexpr int kNextVersion = 8;

enum class Failure {
    refused,      // the port is closed
    hanging,      // connections are neither accepted nor refused
    unavailable,  // 503
    reset,
    malformed,  // a list that can't be parsed
    stalled,    // no further byte after the first bytes of a response
    silent,     // no response
    outdated,   // an older version than the router's
};

// One failure of discovery. It lasts for `duration`, and then until one more request has failed, so
// that the router is at the beginning of a pause or timeout when the step ends. Refused and hanging
// connections can't be observed: these steps end after `duration`.
struct Step {
    Failure failure;
    milliseconds duration;
};

// A discovery server that goes through failures and then serves its next list, to one request at a
// time. Requests that got no response during a failure never get one.
class FailingDiscovery {
  public:
    FailingDiscovery(std::vector<Step> steps, std::string changes, milliseconds timePerRequest = 0ms)
        : steps_(std::move(steps)), changes_(std::move(changes)), timePerRequest_(timePerRequest) {
        thread_ = std::thread([this] { run(); });
    }
    ~FailingDiscovery() {
        stopped_ = true;
        thread_.join();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(reservedPort_.port); }
    bool serves() const { return servedSince_.load() != Clock::time_point{}; }
    // For each router that has the new list: the time from the recovery of discovery until the
    // router polled with the new version.
    std::vector<milliseconds> delays() const {
        const std::lock_guard lock(mutex_);
        return delays_;
    }

  private:
    struct Peer {
        explicit Peer(int accepted) : descriptor(accepted) {}
        ~Peer() { close(descriptor); }
        Peer(const Peer&) = delete;
        Peer& operator=(const Peer&) = delete;

        const int descriptor;
        std::string unread;
        bool isAbandoned = false;
        bool mustReset = false;
        bool isCounted = false;
        // When a long poll's wait for a change ends; empty if no long poll waits.
        std::optional<Clock::time_point> waitsUntil;
    };

    void run() {
        for (const Step& step : steps_) {
            if (stopped_) return;
            runStep(step);
        }
        // Listens on a new socket. Requests that failed before the recovery stay without a
        // response.
        listenOn(reservedPort_.port);
        servedSince_ = Clock::now();
        while (!stopped_) serveOnce();
    }

    void runStep(const Step& step) {
        hasFailedRequest_ = false;
        const auto until = Clock::now() + step.duration;
        if (step.failure == Failure::refused) {
            closeSockets();
            while (!stopped_ && Clock::now() < until) std::this_thread::sleep_for(5ms);
            return;
        }
        listenOn(reservedPort_.port);
        if (step.failure == Failure::hanging) {
            fillBacklog();
            while (!stopped_ && Clock::now() < until) std::this_thread::sleep_for(5ms);
            closeSockets();
            return;
        }
        while (!stopped_ && (Clock::now() < until || !hasFailedRequest_)) {
            if (Clock::now() < until) hasFailedRequest_ = false;
            acceptAll(20);
            for (auto& peer : peers_)
                if (!peer->isAbandoned && hasRequest(*peer)) failRequest(*peer, step.failure);
            resetPeers();
        }
        closeSockets();
    }

    void failRequest(Peer& peer, Failure failure) {
        peer.isAbandoned = true;
        hasFailedRequest_ = true;
        switch (failure) {
            case Failure::unavailable:
                return send(peer, http(503, ""));
            case Failure::reset:
                peer.mustReset = true;
                return;
            case Failure::malformed:
                return send(peer, http(200, R"({"version":9,"full":true,"servers":[{"id":7}]})"));
            case Failure::stalled:
                return send(peer, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{");
            case Failure::outdated:
                return send(peer, http(200, R"({"version":3,"full":false,"servers":[]})"));
            case Failure::silent:
            case Failure::refused:
            case Failure::hanging:
                return;
        }
    }

    void resetPeers() {
        const linger now{1, 0};
        for (auto& peer : peers_)
            if (peer->mustReset) setsockopt(peer->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        peers_.remove_if([](const auto& peer) { return peer->mustReset; });
    }

    void serveOnce() {
        acceptAll(5);
        for (auto& peer : peers_) {
            if (peer->isAbandoned) continue;
            if (peer->waitsUntil && Clock::now() >= *peer->waitsUntil) {
                peer->waitsUntil.reset();
                send(*peer, http(200, R"({"version":8,"full":false,"servers":[]})"));
            }
            if (hasRequest(*peer)) serveRequest(*peer);
        }
    }

    void serveRequest(Peer& peer) {
        std::this_thread::sleep_for(timePerRequest_);
        const std::string requestLine = peer.unread.substr(0, peer.unread.find("\r\n"));
        peer.unread.clear();
        const int after = numberAfter(requestLine, "after=");
        if (after < kNextVersion) return send(peer, http(200, changes_));
        if (!peer.isCounted) {
            peer.isCounted = true;
            const std::lock_guard lock(mutex_);
            delays_.push_back(std::chrono::duration_cast<milliseconds>(Clock::now() - servedSince_.load()));
        }
        peer.waitsUntil = Clock::now() + milliseconds(std::max(numberAfter(requestLine, "wait_ms="), 0));
    }

    static int numberAfter(const std::string& requestLine, const std::string& name) {
        const auto at = requestLine.find(name);
        return at == std::string::npos ? -1 : std::stoi(requestLine.substr(at + name.size()));
    }

    bool hasRequest(Peer& peer) {
        char buffer[4096];
        const auto count = recv(peer.descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
        if (count > 0) peer.unread.append(buffer, static_cast<std::size_t>(count));
        return peer.unread.ends_with("\r\n\r\n");
    }

    static void send(const Peer& peer, const std::string& text) {
        (void)!::send(peer.descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    }

    void acceptAll(int timeoutMs) {
        if (!becomesReadable(listener_, timeoutMs)) return;
        for (int accepted;
             (accepted = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
            peers_.push_back(std::make_unique<Peer>(accepted));
    }

    // Retries, as a child process that is being started holds a copy of the closed listener until
    // it calls exec.
    void listenOn(std::uint16_t port) {
        closeSockets();
        const auto until = Clock::now() + 2s;
        while (!tryListening(port)) {
            if (Clock::now() > until)
                throw std::runtime_error("the test's discovery can't listen on its port within 2 s");
            std::this_thread::sleep_for(1ms);
        }
    }

    bool tryListening(std::uint16_t port) {
        closeSockets();
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int yes = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        const auto at = loopbackAddress(port);
        return bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
               listen(listener_, 128) == 0;
    }

    // A listener with a full backlog doesn't answer further connection attempts.
    void fillBacklog() {
        listen(listener_, 0);
        filler_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto at = loopbackAddress(reservedPort_.port);
        (void)!connect(filler_, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    }

    void closeSockets() {
        for (int* descriptor : {&filler_, &listener_})
            if (*descriptor >= 0) close(std::exchange(*descriptor, -1));
    }

    ReservedPort reservedPort_;
    const std::vector<Step> steps_;
    const std::string changes_;
    const milliseconds timePerRequest_;
    int listener_ = -1;
    int filler_ = -1;
    bool hasFailedRequest_ = false;  // a request has failed since the current step's duration ended
    std::list<std::unique_ptr<Peer>> peers_;
    mutable std::mutex mutex_;
    std::vector<milliseconds> delays_;
    std::atomic<Clock::time_point> servedSince_{Clock::time_point{}};
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

// Settings that allow long waits of a poll and long pauses between polls.
nlohmann::json startWithLongWaits(const std::string& membershipMode) {
    auto start = minimalStartConfig();
    start["settings"]["membershipMode"] = membershipMode;
    start["settings"]["rules"]["askWithinUs"] = 20'000'000;
    start["settings"]["rules"]["drainGraceUs"] = 60'000'000;
    return start;
}

std::string configuration(nlohmann::json start, std::uint16_t port, const std::string& discovery,
                          const std::vector<nlohmann::json>& servers) {
    start["listen"] = "127.0.0.1:" + std::to_string(port);
    start["discovery"] = discovery;
    start["known"] = {{"version", kFirstVersion}, {"full", true}, {"servers", servers}};
    return start.dump();
}

std::string changesTo(const std::vector<nlohmann::json>& servers) {
    return nlohmann::json{{"version", kNextVersion}, {"full", true}, {"servers", servers}}.dump();
}

bool becomesTrue(const std::function<bool()>& condition, milliseconds within) {
    const auto until = Clock::now() + within;
    while (Clock::now() < until) {
        if (condition()) return true;
        std::this_thread::sleep_for(10ms);
    }
    return condition();
}

struct FailureSequence {
    std::string name;
    std::vector<Step> steps;
};

std::vector<FailureSequence> failureSequences() {
    // Long enough for pauses that double with each failure to exceed the limit of 6 s.
    constexpr auto kLong = 9s;
    return {
        {"refused", {{Failure::refused, kLong}}},
        {"hanging", {{Failure::hanging, kLong}}},
        {"503", {{Failure::unavailable, kLong}}},
        {"reset", {{Failure::reset, kLong}}},
        {"malformed list", {{Failure::malformed, kLong}}},
        {"stalled", {{Failure::stalled, kLong}}},
        {"silent after a 503", {{Failure::unavailable, 0ms}, {Failure::silent, kLong}}},
        {"older version", {{Failure::outdated, 0ms}}},
        {"several failures in sequence",
         {{Failure::outdated, 0ms},
          {Failure::unavailable, 2s},
          {Failure::malformed, 0ms},
          {Failure::refused, 2s},
          {Failure::reset, 0ms},
          {Failure::hanging, 2s},
          {Failure::stalled, 0ms},
          {Failure::unavailable, 0ms},
          {Failure::silent, 0ms}}},
    };
}

// A router, and a discovery server that goes through one sequence of failures.
struct Trial {
    Trial(const FailureSequence& sequence, const std::string& membershipMode)
        : name(sequence.name + ", " + membershipMode),
          discovery(sequence.steps, changesTo({entryOf("c1", cache)})),
          program(configuration(startWithLongWaits(membershipMode), reservedPort.port, discovery.address(),
                                {entryOf("c0", cache)})) {}

    std::string name;
    TestServer cache;
    ReservedPort reservedPort;
    FailingDiscovery discovery;
    Program program;
};

void checkSequences(const std::string& membershipMode) {
    std::vector<std::unique_ptr<Trial>> trials;
    for (const FailureSequence& sequence : failureSequences())
        trials.push_back(std::make_unique<Trial>(sequence, membershipMode));
    for (const auto& trial : trials) {
        CAPTURE(trial->name);
        REQUIRE(becomesTrue([&] { return trial->discovery.serves(); }, 60s));
        // Waits longer than the limit, so that a failed check shows the delay.
        REQUIRE(becomesTrue([&] { return !trial->discovery.delays().empty(); }, 4 * kMaxUpdateDelay));
        const auto delay = trial->discovery.delays().front();
        MESSAGE(trial->name << ": " << delay.count() << " ms");
        CHECK(delay < kMaxUpdateDelay);
    }
}

// Connections that send nothing at all, or one PING and then nothing. Closed ones are opened again,
// one every 10 ms.
class IdleClients {
  public:
    IdleClients(std::uint16_t port, std::size_t size) : port_(port), sockets_(size, -1) {
        thread_ = std::thread([this] { run(); });
    }
    ~IdleClients() {
        stopped_ = true;
        thread_.join();
        for (const int descriptor : sockets_)
            if (descriptor >= 0) close(descriptor);
    }
    std::size_t opened() const { return opened_; }

  private:
    void run() {
        while (!stopped_) {
            for (std::size_t i = 0; i < sockets_.size() && !stopped_; ++i) keepOpen(sockets_[i], i % 2 == 1);
            std::this_thread::sleep_for(10ms);
        }
    }
    void keepOpen(int& descriptor, bool sendsPing) {
        char byte = 0;
        if (descriptor >= 0) {
            const auto count = recv(descriptor, &byte, 1, MSG_DONTWAIT);
            if (count > 0 || (count < 0 && errno == EAGAIN)) return;
            close(descriptor);
        }
        descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto at = loopbackAddress(port_);
        if (connect(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) return;
        ++opened_;
        // Bounds the rate of new connections: the test is about idle clients, and each needs time
        // for its PING.
        std::this_thread::sleep_for(10ms);
        const std::string ping = array({"PING"});
        if (sendsPing) (void)!send(descriptor, ping.data(), ping.size(), MSG_NOSIGNAL);
    }

    const std::uint16_t port_;
    std::vector<int> sockets_;
    std::atomic<std::size_t> opened_ = 0;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

// Lowers the limit on descriptors for processes that are started during its lifetime.
class DescriptorLimit {
  public:
    explicit DescriptorLimit(rlim_t maxDescriptors) {
        getrlimit(RLIMIT_NOFILE, &before_);
        const rlimit lower{maxDescriptors, before_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lower);
    }
    ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &before_); }
    DescriptorLimit(const DescriptorLimit&) = delete;
    DescriptorLimit& operator=(const DescriptorLimit&) = delete;

  private:
    rlimit before_{};
};

}  // namespace

// Pauses that grow with each failure, and polls that hang on a dead connection, delay the first
// poll after the recovery.
TEST_CASE("on_request: receives the list within 6 s after discovery recovers, whatever failed before") {
    checkSequences("on_request");
}

TEST_CASE("pushed: receives the list within 6 s after discovery recovers, whatever failed before") {
    checkSequences("pushed");
}

// Routers that poll all at once after an outage delay each other, as discovery serves one request
// at a time.
TEST_CASE("forty routers receive the list within 6 s after discovery recovers and serves polls one by one") {
    constexpr std::size_t kRouters = 40;
    constexpr auto kTimePerRequest = 20ms;
    TestServer cache;
    FailingDiscovery discovery({{Failure::unavailable, 6s}, {Failure::refused, 4s}},
                               changesTo({entryOf("c1", cache)}), kTimePerRequest);
    std::vector<std::unique_ptr<ReservedPort>> reservedPorts;
    std::vector<std::unique_ptr<Program>> routers;
    for (std::size_t i = 0; i < kRouters; ++i) {
        auto start = startWithLongWaits("on_request");
        start["seed"] = std::to_string(1000 + i);
        reservedPorts.push_back(std::make_unique<ReservedPort>());
        routers.push_back(std::make_unique<Program>(
            configuration(start, reservedPorts.back()->port, discovery.address(), {entryOf("c0", cache)})));
    }
    REQUIRE(becomesTrue([&] { return discovery.serves(); }, 60s));
    REQUIRE(becomesTrue([&] { return discovery.delays().size() >= kRouters; }, 4 * kMaxUpdateDelay));
    const auto delays = discovery.delays();
    const auto latest = *std::max_element(delays.begin(), delays.begin() + kRouters);
    MESSAGE("the last of " << kRouters << " routers received the list after " << latest.count() << " ms");
    CHECK(latest < kMaxUpdateDelay);
}

// A router needs a descriptor for its poll. Clients that take all descriptors would cut it off from
// discovery.
TEST_CASE("receives the list within 6 s after discovery recovers while idle clients fill the client limit") {
    constexpr std::size_t kDescriptors = 128;
    TestServer oldCache, newCache, origin;
    ReservedPort reservedPort, consolePort;
    FailingDiscovery discovery({{Failure::refused, 9s}},
                               changesTo({entryOf("origin", origin, "origin"), entryOf("c1", newCache)}));
    auto start = startWithLongWaits("on_request");
    start["limits"]["sockets"] = kDescriptors;
    const std::string console = "127.0.0.1:" + std::to_string(consolePort.port);
    start["console"] = console;
    std::optional<Program> program;
    {
        const DescriptorLimit limit(kDescriptors);
        program.emplace(configuration(start, reservedPort.port, discovery.address(),
                                      {entryOf("origin", origin, "origin"), entryOf("c0", oldCache)}));
    }
    REQUIRE(becomesTrue([&] { return Socket(reservedPort.port).send(array({"PING"})).readLine() == "+PONG"; },
                        10s));
    IdleClients idleClients(reservedPort.port, 3 * kDescriptors);
    const auto status = [&] { return Socket(consolePort.port).send("status\n").readLine("\n"); };
    REQUIRE(becomesTrue([&] { return idleClients.opened() > 3 * kDescriptors; }, 10s));
    // 37 clients are as many as the descriptors allow beside connections to servers and the
    // router's own use.
    CHECK(becomesTrue([&] { return status().starts_with("ACK serving; 37 clients"); }, 5s));
    REQUIRE(becomesTrue([&] { return discovery.serves(); }, 20s));
    REQUIRE(becomesTrue([&] { return !discovery.delays().empty(); }, 4 * kMaxUpdateDelay));
    MESSAGE("received the list after " << discovery.delays().front().count() << " ms");
    CHECK(discovery.delays().front() < kMaxUpdateDelay);
    // The idle clients are still connected.
    CHECK(status().starts_with("ACK serving; "));
    Socket client(reservedPort.port);
    client.send(get("k"));
    Socket cache = newCache.accept();
    CHECK(cache.readCommand().size() == 4);
    cache.send(hit("value"));
    CHECK(client.readResponse() == "value");
    CHECK(oldCache.isQuiet(0));
}
