// After failed calls to discovery a router has a change 6 s after discovery could be reached, whatever failed
// before, however many routers ask, and also while idle clients fill its descriptors.
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

// What the operators allow; and what is left of it beside the machine's own delays.
constexpr milliseconds kToldWithin = 6s;
constexpr int kFirstVersion = 7;  // of the list that a router is started with
constexpr int kNextVersion = 8;

enum class Failure {
    refused,      // nobody listens
    hanging,      // connections are not accepted, and not refused
    unavailable,  // 503
    reset,
    spoilt,    // an answer that can't be read
    stalled,   // silent after the first bytes of an answer
    silent,    // from the call on
    outdated,  // an older version than the router's
};

// Played for `lasting`, and then until the next attempt has failed by it, so that the router is at the
// beginning of a pause or time-out when the step ends. Of refused and hanging connections nothing is seen:
// these end with the time.
struct Step {
    Failure failure;
    milliseconds lasting;
};

// A discovery that goes through failures and then serves its next list, to one call after the other. What it
// left unanswered stays unanswered.
class FailingDiscovery {
  public:
    FailingDiscovery(std::vector<Step> steps, std::string changes, milliseconds perCall = 0ms)
        : steps_(std::move(steps)), changes_(std::move(changes)), perCall_(perCall) {
        thread_ = std::thread([this] { run(); });
    }
    ~FailingDiscovery() {
        stopped_ = true;
        thread_.join();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(place_.port); }
    bool serves() const { return servedSince_.load() != Clock::time_point{}; }
    // For each router that has taken the new list, how long after discovery could be reached.
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
        bool abandoned = false;
        bool toReset = false;
        bool counted = false;
        std::optional<Clock::time_point> waitsUntil;  // a call that waits for a change
    };

    void run() {
        for (const Step& step : steps_) {
            if (stopped_) return;
            fail(step);
        }
        // Fresh sockets: whatever is left from before the recovery is dead, and without a sign.
        listenOn(place_.port);
        servedSince_ = Clock::now();
        while (!stopped_) serveOnce();
    }

    void fail(const Step& step) {
        failed_ = false;
        const auto until = Clock::now() + step.lasting;
        if (step.failure == Failure::refused) {
            shut();
            while (!stopped_ && Clock::now() < until) std::this_thread::sleep_for(5ms);
            return;
        }
        listenOn(place_.port);
        if (step.failure == Failure::hanging) {
            fillBacklog();
            while (!stopped_ && Clock::now() < until) std::this_thread::sleep_for(5ms);
            shut();
            return;
        }
        while (!stopped_ && (Clock::now() < until || !failed_)) {
            if (Clock::now() < until) failed_ = false;
            acceptAll(20);
            for (auto& peer : peers_)
                if (!peer->abandoned && hasCall(*peer)) failCall(*peer, step.failure);
            resetPeers();
        }
        shut();
    }

    void failCall(Peer& peer, Failure failure) {
        peer.abandoned = true;
        failed_ = true;
        switch (failure) {
            case Failure::unavailable:
                return send(peer, http(503, ""));
            case Failure::reset:
                peer.toReset = true;
                return;
            case Failure::spoilt:
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
            if (peer->toReset) setsockopt(peer->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        peers_.remove_if([](const auto& peer) { return peer->toReset; });
    }

    void serveOnce() {
        acceptAll(5);
        for (auto& peer : peers_) {
            if (peer->abandoned) continue;
            if (peer->waitsUntil && Clock::now() >= *peer->waitsUntil) {
                peer->waitsUntil.reset();
                send(*peer, http(200, R"({"version":8,"full":false,"servers":[]})"));
            }
            if (hasCall(*peer)) serveCall(*peer);
        }
    }

    void serveCall(Peer& peer) {
        std::this_thread::sleep_for(perCall_);
        const std::string call = peer.unread.substr(0, peer.unread.find("\r\n"));
        peer.unread.clear();
        const int after = numberIn(call, "after=");
        if (after < kNextVersion) return send(peer, http(200, changes_));
        if (!peer.counted) {
            peer.counted = true;
            const std::lock_guard lock(mutex_);
            delays_.push_back(std::chrono::duration_cast<milliseconds>(Clock::now() - servedSince_.load()));
        }
        peer.waitsUntil = Clock::now() + milliseconds(std::max(numberIn(call, "wait_ms="), 0));
    }

    static int numberIn(const std::string& call, const std::string& name) {
        const auto at = call.find(name);
        return at == std::string::npos ? -1 : std::stoi(call.substr(at + name.size()));
    }

    bool hasCall(Peer& peer) {
        char buffer[4096];
        const auto count = recv(peer.descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
        if (count > 0) peer.unread.append(buffer, static_cast<std::size_t>(count));
        return peer.unread.ends_with("\r\n\r\n");
    }

    static void send(const Peer& peer, const std::string& text) {
        (void)!::send(peer.descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    }

    void acceptAll(int within) {
        if (!readable(listener_, within)) return;
        for (int accepted;
             (accepted = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
            peers_.push_back(std::make_unique<Peer>(accepted));
    }

    // A process that is being started holds a copy of a closed listener until it executes its program.
    void listenOn(std::uint16_t port) {
        shut();
        const auto until = Clock::now() + 2s;
        while (!tryListening(port)) {
            if (Clock::now() > until) throw std::runtime_error("discovery can't listen");
            std::this_thread::sleep_for(1ms);
        }
    }

    bool tryListening(std::uint16_t port) {
        shut();
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int yes = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        const auto at = loopback(port);
        return bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
               listen(listener_, 128) == 0;
    }

    // With its backlog full a listener answers no further connection.
    void fillBacklog() {
        listen(listener_, 0);
        filler_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto at = loopback(place_.port);
        (void)!connect(filler_, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    }

    void shut() {
        for (int* descriptor : {&filler_, &listener_})
            if (*descriptor >= 0) close(std::exchange(*descriptor, -1));
    }

    ReservedPort place_;
    const std::vector<Step> steps_;
    const std::string changes_;
    const milliseconds perCall_;
    int listener_ = -1;
    int filler_ = -1;
    bool failed_ = false;  // an attempt, in this step
    std::list<std::unique_ptr<Peer>> peers_;
    mutable std::mutex mutex_;
    std::vector<milliseconds> delays_;
    std::atomic<Clock::time_point> servedSince_{Clock::time_point{}};
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

// Settings under which a call may wait, and the module may pause, for long.
nlohmann::json patientStart(const std::string& membershipMode) {
    auto start = smallStart();
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

bool waitFor(const std::function<bool()>& condition, milliseconds within) {
    const auto until = Clock::now() + within;
    while (Clock::now() < until) {
        if (condition()) return true;
        std::this_thread::sleep_for(10ms);
    }
    return condition();
}

struct Chain {
    std::string name;
    std::vector<Step> steps;
};

std::vector<Chain> chains() {
    // Long enough for pauses that double to have grown past the bound.
    constexpr auto kLong = 9s;
    return {
        {"refused", {{Failure::refused, kLong}}},
        {"hanging", {{Failure::hanging, kLong}}},
        {"503", {{Failure::unavailable, kLong}}},
        {"reset", {{Failure::reset, kLong}}},
        {"spoilt", {{Failure::spoilt, kLong}}},
        {"stalled", {{Failure::stalled, kLong}}},
        {"silent after a 503", {{Failure::unavailable, 0ms}, {Failure::silent, kLong}}},
        {"older version", {{Failure::outdated, 0ms}}},
        {"one after the other",
         {{Failure::outdated, 0ms},
          {Failure::unavailable, 2s},
          {Failure::spoilt, 0ms},
          {Failure::refused, 2s},
          {Failure::reset, 0ms},
          {Failure::hanging, 2s},
          {Failure::stalled, 0ms},
          {Failure::unavailable, 0ms},
          {Failure::silent, 0ms}}},
    };
}

// A router that plays one chain.
struct Trial {
    Trial(const Chain& chain, const std::string& membershipMode)
        : name(chain.name + ", " + membershipMode),
          discovery(chain.steps, changesTo({entryOf("c1", cache)})),
          program(configuration(patientStart(membershipMode), place.port, discovery.address(),
                                {entryOf("c0", cache)})) {}

    std::string name;
    TestServer cache;
    ReservedPort place;
    FailingDiscovery discovery;
    Program program;
};

void checkChains(const std::string& membershipMode) {
    std::vector<std::unique_ptr<Trial>> trials;
    for (const Chain& chain : chains()) trials.push_back(std::make_unique<Trial>(chain, membershipMode));
    for (const auto& trial : trials) {
        CAPTURE(trial->name);
        REQUIRE(waitFor([&] { return trial->discovery.serves(); }, 60s));
        // Longer than allowed, so that a failure tells by how much.
        REQUIRE(waitFor([&] { return !trial->discovery.delays().empty(); }, 4 * kToldWithin));
        const auto delay = trial->discovery.delays().front();
        MESSAGE(trial->name << ": " << delay.count() << " ms");
        CHECK(delay < kToldWithin);
    }
}

// Connections that say nothing, or one PING and then nothing. Each that is closed is opened again, one
// every 10 ms.
class IdleCrowd {
  public:
    IdleCrowd(std::uint16_t port, std::size_t size) : port_(port), sockets_(size, -1) {
        thread_ = std::thread([this] { run(); });
    }
    ~IdleCrowd() {
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
    void keepOpen(int& descriptor, bool useful) {
        char byte = 0;
        if (descriptor >= 0) {
            const auto count = recv(descriptor, &byte, 1, MSG_DONTWAIT);
            if (count > 0 || (count < 0 && errno == EAGAIN)) return;
            close(descriptor);
        }
        descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto at = loopback(port_);
        if (connect(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) return;
        ++opened_;
        // Clients that idle, no storm of connections: each newcomer has time to say something.
        std::this_thread::sleep_for(10ms);
        const std::string ping = array({"PING"});
        if (useful) (void)!send(descriptor, ping.data(), ping.size(), MSG_NOSIGNAL);
    }

    const std::uint16_t port_;
    std::vector<int> sockets_;
    std::atomic<std::size_t> opened_ = 0;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

// For the processes that are started while it lives.
class DescriptorLimit {
  public:
    explicit DescriptorLimit(rlim_t most) {
        getrlimit(RLIMIT_NOFILE, &before_);
        const rlimit lower{most, before_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lower);
    }
    ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &before_); }
    DescriptorLimit(const DescriptorLimit&) = delete;
    DescriptorLimit& operator=(const DescriptorLimit&) = delete;

  private:
    rlimit before_{};
};

}  // namespace

TEST_CASE("after each chain of failed calls an asked list is told within 6 s of discovery's return") {
    checkChains("on_request");
}

TEST_CASE("after each chain of failed calls a pushed list is told within 6 s of discovery's return") {
    checkChains("pushed");
}

TEST_CASE("forty routers that lost one discovery have its list within 6 s, one call served after the other") {
    constexpr std::size_t kRouters = 40;
    constexpr auto kPerCall = 20ms;
    TestServer cache;
    FailingDiscovery discovery({{Failure::unavailable, 6s}, {Failure::refused, 4s}},
                               changesTo({entryOf("c1", cache)}), kPerCall);
    std::vector<std::unique_ptr<ReservedPort>> places;
    std::vector<std::unique_ptr<Program>> routers;
    for (std::size_t i = 0; i < kRouters; ++i) {
        auto start = patientStart("on_request");
        start["seed"] = std::to_string(1000 + i);
        places.push_back(std::make_unique<ReservedPort>());
        routers.push_back(std::make_unique<Program>(
            configuration(start, places.back()->port, discovery.address(), {entryOf("c0", cache)})));
    }
    REQUIRE(waitFor([&] { return discovery.serves(); }, 60s));
    REQUIRE(waitFor([&] { return discovery.delays().size() >= kRouters; }, 4 * kToldWithin));
    const auto delays = discovery.delays();
    const auto latest = *std::max_element(delays.begin(), delays.begin() + kRouters);
    MESSAGE("the last of " << kRouters << " routers: " << latest.count() << " ms");
    CHECK(latest < kToldWithin);
}

TEST_CASE("idle clients fill the descriptors while discovery is down, and all works again when it returns") {
    constexpr std::size_t kDescriptors = 128;
    TestServer oldCache, newCache, origin;
    ReservedPort place, consolePlace;
    FailingDiscovery discovery({{Failure::refused, 9s}},
                               changesTo({entryOf("origin", origin, "origin"), entryOf("c1", newCache)}));
    auto start = patientStart("on_request");
    start["limits"]["sockets"] = kDescriptors;
    const std::string console = "127.0.0.1:" + std::to_string(consolePlace.port);
    start["console"] = console;
    std::optional<Program> program;
    {
        const DescriptorLimit limit(kDescriptors);
        program.emplace(configuration(start, place.port, discovery.address(),
                                      {entryOf("origin", origin, "origin"), entryOf("c0", oldCache)}));
    }
    REQUIRE(waitFor([&] { return Socket(place.port).say(array({"PING"})).line() == "+PONG"; }, 10s));
    IdleCrowd crowd(place.port, 3 * kDescriptors);
    const auto status = [&] { return Socket(consolePlace.port).say("status\n").line("\n"); };
    REQUIRE(waitFor([&] { return crowd.opened() > 3 * kDescriptors; }, 10s));
    // All of the places that descriptors, links and the router's own needs leave for clients.
    CHECK(waitFor([&] { return status().starts_with("ACK serving; 37 clients"); }, 5s));
    REQUIRE(waitFor([&] { return discovery.serves(); }, 20s));
    REQUIRE(waitFor([&] { return !discovery.delays().empty(); }, 4 * kToldWithin));
    MESSAGE("the list: " << discovery.delays().front().count() << " ms");
    CHECK(discovery.delays().front() < kToldWithin);
    // The crowd is still there.
    CHECK(status().starts_with("ACK serving; "));
    Socket client(place.port);
    client.say(get("k"));
    Socket cache = newCache.accept();
    CHECK(cache.command().size() == 4);
    cache.say(hit("value"));
    CHECK(client.answer() == "value");
    CHECK(oldCache.quiet(0));
}
