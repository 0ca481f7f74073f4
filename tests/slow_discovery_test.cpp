// A discovery that answers slowly, refuses calls or works through them in turn: a router has each change
// within 6 s of the moment at which discovery had it, as long as discovery answers at all.
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

constexpr milliseconds kToldWithin = 6s;
constexpr milliseconds kObservedFor = 20s;  // longer than allowed, so that a failure tells by how much
constexpr int kFirstVersion = 7;            // of the list that a router is started with
constexpr int kNextVersion = 8;

// How discovery treats the calls that come after the change.
struct Manner {
    std::string name;
    milliseconds delay =
        0ms;  // before the first byte of an answer, whose content is that of the call's arrival
    milliseconds spread = 0ms;       // from the first byte of an answer to its last
    int resets = 0;                  // of the first calls
    double refused = 0;              // share of calls that are answered 503 at once
    milliseconds perCall = 0ms;      // calls are worked through in turn, each for so long
    milliseconds longestQueue = 3s;  // a call that would wait longer is answered 503 at once
};

// Tells version 7 until `change`, then version 8.
class SlowDiscovery {
  public:
    SlowDiscovery(Manner manner, std::string list, std::uint64_t seed)
        : manner_(std::move(manner)), list_(std::move(list)), random_(seed) {
        fcntl(door_.descriptor(), F_SETFL, O_NONBLOCK);
        thread_ = std::thread([this] { run(); });
    }
    ~SlowDiscovery() {
        stopped_ = true;
        thread_.join();
    }
    std::string address() const { return door_.address(); }
    std::size_t watches() const { return watches_; }
    void change() { changedAt_ = Clock::now(); }
    Clock::time_point changedAt() const { return changedAt_; }
    // For each router that has taken the new list, how long after the change.
    std::vector<milliseconds> delays() const {
        const std::lock_guard lock(mutex_);
        return delays_;
    }
    std::size_t callsAfterChange() const { return callsAfterChange_; }

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
        std::size_t length = 0;
        std::optional<Clock::time_point> waitsUntil;  // a call that waits for a change
        bool ended = false;
    };

    bool hasChanged() const { return changedAt_.load() != Clock::time_point{}; }

    void run() {
        while (!stopped_) {
            readable(door_.descriptor(), 5);
            for (int accepted; (accepted = accept4(door_.descriptor(), nullptr, nullptr,
                                                   SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
                peers_.push_back(std::make_unique<Peer>(accepted));
            for (auto& peer : peers_) serve(*peer);
            peers_.remove_if([](const auto& peer) { return peer->ended; });
        }
    }

    void serve(Peer& peer) {
        char buffer[4096];
        const auto count = recv(peer.descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
        if (count == 0) return void(peer.ended = true);
        if (count > 0) peer.unread.append(buffer, static_cast<std::size_t>(count));
        if (peer.unread.ends_with("\r\n\r\n")) take(peer, std::exchange(peer.unread, {}));
        if (peer.waitsUntil && (Clock::now() >= *peer.waitsUntil || hasChanged())) {
            const bool late = hasChanged();
            peer.waitsUntil.reset();
            late ? answerSlowly(peer) : reply(peer, 200, unchanged(), 0ms);
        }
        sendDue(peer);
    }

    void take(Peer& peer, const std::string& call) {
        const int after = numberIn(call, "after=");
        if (after >= kNextVersion) return known(peer, call);
        if (!hasChanged()) {
            if (after < 0) return reply(peer, 200, unchanged(), 0ms);
            ++watches_;
            peer.waitsUntil = Clock::now() + milliseconds(std::max(numberIn(call, "wait_ms="), 0));
            return;
        }
        ++callsAfterChange_;
        answerSlowly(peer);
    }

    void answerSlowly(Peer& peer) {
        if (resets_ < manner_.resets) {
            ++resets_;
            const linger now{1, 0};
            setsockopt(peer.descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            peer.ended = true;
            return;
        }
        if (std::uniform_real_distribution<>(0, 1)(random_) < manner_.refused)
            return reply(peer, 503, "", 0ms);
        milliseconds delay = manner_.delay;
        if (manner_.perCall > 0ms) {
            const auto begins = std::max(busyUntil_, Clock::now());
            if (begins - Clock::now() > manner_.longestQueue) return reply(peer, 503, "", 0ms);
            busyUntil_ = begins + manner_.perCall;
            delay += std::chrono::duration_cast<milliseconds>(busyUntil_ - Clock::now());
        }
        reply(peer, 200, list_, delay, manner_.spread);
    }

    // The router says itself that it has the new list.
    void known(Peer& peer, const std::string& call) {
        {
            const std::lock_guard lock(mutex_);
            delays_.push_back(std::chrono::duration_cast<milliseconds>(Clock::now() - changedAt_.load()));
        }
        peer.waitsUntil.reset();
        reply(peer, 200,
              nlohmann::json{{"version", kNextVersion}, {"full", false}, {"servers", nlohmann::json::array()}}
                  .dump(),
              milliseconds(std::max(numberIn(call, "wait_ms="), 0)));
    }

    static std::string unchanged() {
        return nlohmann::json{
            {"version", kFirstVersion}, {"full", false}, {"servers", nlohmann::json::array()}}
            .dump();
    }

    static void reply(Peer& peer, int status, const std::string& body, milliseconds delay,
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

    static int numberIn(const std::string& call, const std::string& name) {
        const auto at = call.find(name);
        return at == std::string::npos ? -1 : std::stoi(call.substr(at + name.size()));
    }

    const Manner manner_;
    const std::string list_;
    std::mt19937_64 random_;
    TestServer door_;
    std::list<std::unique_ptr<Peer>> peers_;
    int resets_ = 0;
    Clock::time_point busyUntil_{};
    std::atomic<std::size_t> watches_ = 0;
    std::atomic<std::size_t> callsAfterChange_ = 0;
    std::atomic<Clock::time_point> changedAt_{Clock::time_point{}};
    mutable std::mutex mutex_;
    std::vector<milliseconds> delays_;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

// Some routers before one discovery.
struct Trial {
    Trial(const Manner& manner, const std::string& membershipMode, std::size_t routers = 1)
        : name(manner.name + ", " + membershipMode), discovery(manner, changedList(), 5) {
        for (std::size_t i = 0; i < routers; ++i) {
            places.push_back(std::make_unique<ReservedPort>());
            auto start = smallStart();
            start["seed"] = std::to_string(100 + i);
            start["settings"]["replicasOfMe"] = routers;
            start["settings"]["membershipMode"] = membershipMode;
            start["listen"] = "127.0.0.1:" + std::to_string(places.back()->port);
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
    std::vector<std::unique_ptr<ReservedPort>> places;
    std::vector<std::unique_ptr<Program>> programs;
};

bool waitFor(const std::function<bool()>& condition, milliseconds within) {
    const auto until = Clock::now() + within;
    while (!condition() && Clock::now() < until) std::this_thread::sleep_for(10ms);
    return condition();
}

void checkTold(Trial& trial) {
    CAPTURE(trial.name);
    const std::size_t routers = trial.programs.size();
    const auto observed =
        std::chrono::duration_cast<milliseconds>(Clock::now() - trial.discovery.changedAt());
    waitFor([&] { return trial.discovery.delays().size() >= routers; }, kObservedFor - observed);
    auto delays = trial.discovery.delays();
    // Each router calls with the new version again and again: the first such call of each comes first.
    if (delays.size() > routers) delays.resize(routers);
    const auto latest = delays.empty() ? kObservedFor : *std::max_element(delays.begin(), delays.end());
    MESSAGE(trial.name << ": " << delays.size() << " of " << routers << " routers, the last after "
                       << latest.count() << " ms, " << trial.discovery.callsAfterChange() << " calls");
    CHECK(delays.size() == routers);
    CHECK(latest < kToldWithin);
}

void checkManners(const std::vector<Manner>& manners, const std::string& membershipMode) {
    std::vector<std::unique_ptr<Trial>> trials;
    for (const Manner& manner : manners) trials.push_back(std::make_unique<Trial>(manner, membershipMode));
    for (auto& trial : trials) {
        const bool watched = waitFor([&] { return trial->discovery.watches() > 0; }, 20s);
        CAPTURE(trial->name);
        CAPTURE(trial->programs.front()->log());
        CAPTURE(trial->programs.front()->state());
        REQUIRE(watched);
    }
    for (auto& trial : trials) trial->discovery.change();
    for (auto& trial : trials) checkTold(*trial);
}

std::vector<Manner> slowManners() {
    std::vector<Manner> manners;
    for (const auto delay : {200ms, 1900ms, 2200ms, 2900ms, 3600ms}) {
        manners.push_back({"late by " + std::to_string(delay.count()) + " ms", delay});
        manners.push_back({"a reset, then late by " + std::to_string(delay.count()) + " ms", delay, 0ms, 1});
        manners.push_back({"in pieces over " + std::to_string(delay.count()) + " ms", 0ms, delay});
    }
    manners.push_back({"a reset, then in pieces over 3 s", 0ms, 3s, 1});
    manners.push_back({"late by 1.5 s, then in pieces over 1.5 s", 1500ms, 1500ms, 1});
    manners.push_back({"half refused, the others late by 2.4 s", 2400ms, 0ms, 0, 0.5});
    return manners;
}

}  // namespace

TEST_CASE("a discovery that answers slowly is heard within 6 s where the list is asked for") {
    checkManners(slowManners(), "on_request");
}

TEST_CASE("a discovery that answers slowly is heard within 6 s where the list is pushed") {
    checkManners(slowManners(), "pushed");
}

TEST_CASE("a fleet before a discovery that works through calls in turn is told within 6 s") {
    // All watches are reset with the change; then sixteen calls are 3.2 s of work.
    Trial trial({"200 ms a call", 0ms, 0ms, 16, 0, 200ms}, "on_request", 16);
    REQUIRE(waitFor([&] { return trial.discovery.watches() >= 16; }, 20s));
    trial.discovery.change();
    checkTold(trial);
}
