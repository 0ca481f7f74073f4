// Discovery responds slowly, rejects polls or serves them one at a time: a router receives each
// change within 6 s after discovery has it, as long as discovery responds at all.
#include <doctest/doctest.h>
#include <fcntl.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

#include "fixtures.hpp"

using namespace poppyscale;
using namespace poppyscale::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kMaxUpdateDelay = 6s;
constexpr milliseconds kObservedFor = 20s;  // above the limit, so that a failed check shows the delay
constexpr int kFirstVersion = 7;            // version of the list that a router is started with
constexpr int kNextVersion = 8;

// How discovery treats the polls that it serves after the change.
struct Behaviour {
    std::string name;
    // Delay before the first byte of a response, whose content is fixed when the poll arrives.
    milliseconds delay = 0ms;
    milliseconds spread = 0ms;          // time from the first byte of a response to its last
    int resets = 0;                     // the connections of the first `resets` polls are reset
    double rejectedShare = 0;           // share of polls that are rejected with 503 at once
    milliseconds timePerRequest = 0ms;  // if set, polls are served one at a time, each for this time
    milliseconds maxQueueTime = 3s;     // a poll that would wait longer is rejected with 503
};

// Serves version 7 until `change`, then version 8.
class SlowDiscovery {
  public:
    SlowDiscovery(Behaviour behaviour, std::string list, std::uint64_t seed)
        : behaviour_(std::move(behaviour)), list_(std::move(list)), random_(seed) {
        fcntl(listener_.descriptor(), F_SETFL, O_NONBLOCK);
        thread_ = std::thread([this] { run(); });
    }
    ~SlowDiscovery() {
        stopped_ = true;
        thread_.join();
    }
    std::string address() const { return listener_.address(); }
    std::size_t longPollCount() const { return longPollCount_; }
    void change() { changedAt_ = Clock::now(); }
    Clock::time_point changedAt() const { return changedAt_; }
    // For each poll with the new version, which shows that its router has the list: the time since
    // the change.
    std::vector<milliseconds> delays() const {
        const std::lock_guard lock(mutex_);
        return delays_;
    }
    std::size_t pollsAfterChange() const { return pollsAfterChange_; }

  private:
    struct Peer {
        explicit Peer(int accepted) : descriptor(accepted) {}
        ~Peer() { close(descriptor); }
        Peer(const Peer&) = delete;
        Peer& operator=(const Peer&) = delete;

        const int descriptor;
        std::string unread;
        std::string unsent;
        Clock::time_point sendsFrom, sendsUntil;
        std::size_t length = 0;  // length of the response in bytes
        // When a long poll's wait for a change ends; empty if no long poll waits.
        std::optional<Clock::time_point> waitsUntil;
        bool isClosed = false;
    };

    bool hasChanged() const { return changedAt_.load() != Clock::time_point{}; }

    void run() {
        while (!stopped_) {
            becomesReadable(listener_.descriptor(), 5);
            for (int accepted; (accepted = accept4(listener_.descriptor(), nullptr, nullptr,
                                                   SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
                peers_.push_back(std::make_unique<Peer>(accepted));
            for (auto& peer : peers_) serve(*peer);
            peers_.remove_if([](const auto& peer) { return peer->isClosed; });
        }
    }

    void serve(Peer& peer) {
        char buffer[4096];
        const auto count = recv(peer.descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
        if (count == 0) return void(peer.isClosed = true);
        if (count > 0) peer.unread.append(buffer, static_cast<std::size_t>(count));
        if (peer.unread.ends_with("\r\n\r\n")) handleRequest(peer, std::exchange(peer.unread, {}));
        if (peer.waitsUntil && (Clock::now() >= *peer.waitsUntil || hasChanged())) {
            const bool isChange = hasChanged();
            peer.waitsUntil.reset();
            isChange ? respondSlowly(peer) : respond(peer, 200, unchangedList(), 0ms);
        }
        sendDue(peer);
    }

    void handleRequest(Peer& peer, const std::string& request) {
        const int after = numberAfter(request, "after=");
        if (after >= kNextVersion) return recordUpdatedRouter(peer, request);
        if (!hasChanged()) {
            if (after < 0) return respond(peer, 200, unchangedList(), 0ms);
            ++longPollCount_;
            peer.waitsUntil = Clock::now() + milliseconds(std::max(numberAfter(request, "wait_ms="), 0));
            return;
        }
        ++pollsAfterChange_;
        respondSlowly(peer);
    }

    void respondSlowly(Peer& peer) {
        if (resetCount_ < behaviour_.resets) {
            ++resetCount_;
            const linger now{1, 0};
            setsockopt(peer.descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            peer.isClosed = true;
            return;
        }
        if (std::uniform_real_distribution<>(0, 1)(random_) < behaviour_.rejectedShare)
            return respond(peer, 503, "", 0ms);
        milliseconds delay = behaviour_.delay;
        if (behaviour_.timePerRequest > 0ms) {
            const auto begins = std::max(busyUntil_, Clock::now());
            if (begins - Clock::now() > behaviour_.maxQueueTime) return respond(peer, 503, "", 0ms);
            busyUntil_ = begins + behaviour_.timePerRequest;
            delay += std::chrono::duration_cast<milliseconds>(busyUntil_ - Clock::now());
        }
        respond(peer, 200, list_, delay, behaviour_.spread);
    }

    // A poll with the new version shows that the router has the new list.
    void recordUpdatedRouter(Peer& peer, const std::string& request) {
        {
            const std::lock_guard lock(mutex_);
            delays_.push_back(std::chrono::duration_cast<milliseconds>(Clock::now() - changedAt_.load()));
        }
        peer.waitsUntil.reset();
        respond(
            peer, 200,
            nlohmann::json{{"version", kNextVersion}, {"full", false}, {"servers", nlohmann::json::array()}}
                .dump(),
            milliseconds(std::max(numberAfter(request, "wait_ms="), 0)));
    }

    static std::string unchangedList() {
        return nlohmann::json{
            {"version", kFirstVersion}, {"full", false}, {"servers", nlohmann::json::array()}}
            .dump();
    }

    static void respond(Peer& peer, int status, const std::string& body, milliseconds delay,
                        milliseconds spread = 0ms) {
        peer.unsent = http(status, body);
        peer.length = peer.unsent.size();
        peer.sendsFrom = Clock::now() + delay;
        peer.sendsUntil = peer.sendsFrom + spread;
    }

    static void sendDue(Peer& peer) {
        if (peer.unsent.empty() || Clock::now() < peer.sendsFrom) return;
        std::size_t due = peer.length;
        if (Clock::now() < peer.sendsUntil)
            due = static_cast<std::size_t>(
                static_cast<double>(peer.length) *
                std::chrono::duration<double>(Clock::now() - peer.sendsFrom).count() /
                std::chrono::duration<double>(peer.sendsUntil - peer.sendsFrom).count());
        const std::size_t sent = peer.length - peer.unsent.size();
        if (due <= sent) return;
        const auto count = send(peer.descriptor, peer.unsent.data(), due - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) peer.unsent.erase(0, static_cast<std::size_t>(count));
    }

    static int numberAfter(const std::string& request, const std::string& name) {
        const auto at = request.find(name);
        return at == std::string::npos ? -1 : std::stoi(request.substr(at + name.size()));
    }

    const Behaviour behaviour_;
    const std::string list_;
    std::mt19937_64 random_;
    TestServer listener_;
    std::list<std::unique_ptr<Peer>> peers_;
    int resetCount_ = 0;
    Clock::time_point busyUntil_{};
    std::atomic<std::size_t> longPollCount_ = 0;
    std::atomic<std::size_t> pollsAfterChange_ = 0;
    std::atomic<Clock::time_point> changedAt_{Clock::time_point{}};
    mutable std::mutex mutex_;
    std::vector<milliseconds> delays_;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

// Some routers with the same discovery server.
struct Trial {
    Trial(const Behaviour& behaviour, const std::string& membershipMode, std::size_t routers = 1)
        : name(behaviour.name + ", " + membershipMode), discovery(behaviour, changedList(), 5) {
        for (std::size_t i = 0; i < routers; ++i) {
            reservedPorts.push_back(std::make_unique<ReservedPort>());
            auto start = minimalStartConfig();
            start["seed"] = std::to_string(100 + i);
            start["settings"]["replicasOfMe"] = routers;
            start["settings"]["membershipMode"] = membershipMode;
            start["listen"] = "127.0.0.1:" + std::to_string(reservedPorts.back()->port);
            start["discovery"] = discovery.address();
            start["known"] = {
                {"version", kFirstVersion}, {"full", true}, {"servers", {entryOf("c0", cache)}}};
            programs.push_back(std::make_unique<Program>(start.dump()));
        }
    }
    std::string changedList() const {
        return nlohmann::json{{"version", kNextVersion}, {"full", true}, {"servers", {entryOf("c1", cache)}}}
            .dump();
    }

    std::string name;
    TestServer cache;
    SlowDiscovery discovery;
    std::vector<std::unique_ptr<ReservedPort>> reservedPorts;
    std::vector<std::unique_ptr<Program>> programs;
};

bool becomesTrue(const std::function<bool()>& condition, milliseconds within) {
    const auto until = Clock::now() + within;
    while (!condition() && Clock::now() < until) std::this_thread::sleep_for(10ms);
    return condition();
}

void checkDelays(Trial& trial) {
    CAPTURE(trial.name);
    const std::size_t routers = trial.programs.size();
    const auto observed =
        std::chrono::duration_cast<milliseconds>(Clock::now() - trial.discovery.changedAt());
    becomesTrue([&] { return trial.discovery.delays().size() >= routers; }, kObservedFor - observed);
    auto delays = trial.discovery.delays();
    // Each router polls with the new version repeatedly. Every router's first such poll comes before
    // any repetition.
    if (delays.size() > routers) delays.resize(routers);
    const auto latest = delays.empty() ? kObservedFor : *std::max_element(delays.begin(), delays.end());
    MESSAGE(trial.name << ": " << delays.size() << " of " << routers
                       << " routers have the list, the last after " << latest.count() << " ms, "
                       << trial.discovery.pollsAfterChange() << " polls after the change");
    CHECK(delays.size() == routers);
    CHECK(latest < kMaxUpdateDelay);
}

void checkBehaviours(const std::vector<Behaviour>& behaviours, const std::string& membershipMode) {
    std::vector<std::unique_ptr<Trial>> trials;
    for (const Behaviour& behaviour : behaviours)
        trials.push_back(std::make_unique<Trial>(behaviour, membershipMode));
    for (auto& trial : trials) {
        const bool hasLongPolls = becomesTrue([&] { return trial->discovery.longPollCount() > 0; }, 20s);
        CAPTURE(trial->name);
        CAPTURE(trial->programs.front()->log());
        CAPTURE(trial->programs.front()->state());
        REQUIRE(hasLongPolls);
    }
    for (auto& trial : trials) trial->discovery.change();
    for (auto& trial : trials) checkDelays(*trial);
}

std::vector<Behaviour> slowBehaviours() {
    std::vector<Behaviour> behaviours;
    for (const auto delay : {200ms, 1900ms, 2200ms, 2900ms, 3600ms}) {
        behaviours.push_back({"delayed by " + std::to_string(delay.count()) + " ms", delay});
        behaviours.push_back(
            {"a reset, then delayed by " + std::to_string(delay.count()) + " ms", delay, 0ms, 1});
        behaviours.push_back({"in pieces over " + std::to_string(delay.count()) + " ms", 0ms, delay});
    }
    behaviours.push_back({"a reset, then in pieces over 3 s", 0ms, 3s, 1});
    behaviours.push_back({"a reset, then delayed by 1.5 s, then in pieces over 1.5 s", 1500ms, 1500ms, 1});
    behaviours.push_back({"half rejected with 503, the others delayed by 2.4 s", 2400ms, 0ms, 0, 0.5});
    return behaviours;
}

}  // namespace

// A router that cancels a poll when the next one is due never receives a response that takes longer
// than the interval between polls.
TEST_CASE("on_request: receives a change within 6 s from a discovery that responds slowly") {
    checkBehaviours(slowBehaviours(), "on_request");
}

TEST_CASE("pushed: receives a change within 6 s from a discovery that responds slowly") {
    checkBehaviours(slowBehaviours(), "pushed");
}

// Routers that repeat their polls too often fill the queue of discovery, so that some are not
// served in time.
TEST_CASE("sixteen routers receive a change within 6 s from a discovery that serves polls one at a time") {
    // All sixteen long polls are reset at the change. Serving a poll of each router then takes 3.2
    // s.
    Trial trial({"200 ms per poll", 0ms, 0ms, 16, 0, 200ms}, "on_request", 16);
    REQUIRE(becomesTrue([&] { return trial.discovery.longPollCount() >= 16; }, 20s));
    trial.discovery.change();
    checkDelays(trial);
}
