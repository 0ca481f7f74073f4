// The router among several sources of its list: real processes, the sources played by the test.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include "config/operator_config.hpp"
#include "fixtures.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kChangeWithin{5'000};
constexpr milliseconds kStartWithin{30'000};  // of a process with sanitizers, beside other work

// Versions here begin where those of no other test do: a router of another test run that still asks at a port
// that was given to a source here meanwhile is told apart by them.
std::int64_t versionOf(int step) {
    static const std::int64_t base = 1'000'000 + static_cast<std::int64_t>(getpid()) * 100;
    return base + step;
}
constexpr int kMostSteps = 100;

struct Request {
    Clock::time_point at;
    std::string line;
    int connection = 0;
};

enum class Behaviour { serves, silent, stopsWithin, spoilt, refuses };

// A source of the list on a thread of its own: holds a request until there is something newer or its wait is
// over, as discovery does.
class StandInSource {
  public:
    StandInSource() : thread_([this] { run(); }) {}
    ~StandInSource() {
        stop_ = true;
        thread_.join();
    }

    std::string address() const { return address_; }
    void set(Behaviour behaviour) {
        const std::lock_guard lock(mutex_);
        behaviour_ = behaviour;
    }
    // Whoever waits is told, also of an older version.
    void publish(int step) {
        const std::lock_guard lock(mutex_);
        version_ = versionOf(step);
        published_ = true;
    }
    void kill() {
        const std::lock_guard lock(mutex_);
        killed_ = true;
    }
    std::vector<Request> requests() const {
        const std::lock_guard lock(mutex_);
        return requests_;
    }
    std::size_t requestCount() const { return requests().size(); }
    // All requests, for a person.
    std::string listed() const {
        std::string text;
        for (const Request& request : requests())
            text += std::to_string(request.at.time_since_epoch().count() / 1'000'000) + " connection " +
                    std::to_string(request.connection) + ": " + request.line + "\n";
        return text;
    }
    std::size_t connectionCount() const {
        const std::lock_guard lock(mutex_);
        return peers_.size();
    }

  private:
    struct Peer {
        Socket socket;
        int descriptor;
        int number;
        std::optional<std::int64_t> after;  // none: the whole list
        Clock::time_point until{};
        bool waits = false;
    };

    static std::optional<std::int64_t> numberIn(const std::string& line, const std::string& key) {
        const auto at = line.find(key + "=");
        if (at == std::string::npos) return {};
        return std::stoll(line.substr(at + key.size() + 1));
    }

    void run() {
        while (!stop_) {
            {
                const std::lock_guard lock(mutex_);
                step();
            }
            std::this_thread::sleep_for(milliseconds(3));
        }
    }
    void step() {
        if (killed_) {
            for (Peer& peer : peers_) peer.socket.reset();
            peers_.clear();
            door_.shut();
            return;
        }
        while (readable(door_.descriptor(), 0)) {
            const int descriptor = ::accept4(door_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) break;
            peers_.push_back({Socket(descriptor), descriptor, ++connections_, {}, {}, false});
        }
        for (auto peer = peers_.begin(); peer != peers_.end();) {
            const bool gone = !receive(*peer);
            if (gone)
                peer = peers_.erase(peer);
            else
                ++peer;
        }
        for (Peer& peer : peers_)
            if (peer.waits) answerIfDue(peer);
        published_ = false;
    }
    bool receive(Peer& peer) {
        if (!readable(peer.descriptor, 0)) return true;
        const auto head = peer.socket.head();
        if (head.empty()) return false;
        peer.after = numberIn(head[0], "after");
        const bool isStrange =
            peer.after && (*peer.after < versionOf(0) || *peer.after >= versionOf(kMostSteps));
        if (isStrange) return false;
        requests_.push_back({Clock::now(), head[0], peer.number});
        peer.until = Clock::now() + milliseconds(numberIn(head[0], "wait_ms").value_or(0));
        peer.waits = true;
        return true;
    }
    void answerIfDue(Peer& peer) {
        const bool isNewer = !peer.after || version_ > *peer.after;
        if (!isNewer && !published_ && Clock::now() < peer.until && behaviour_ != Behaviour::refuses) return;
        if (behaviour_ == Behaviour::silent) return;
        peer.waits = false;
        const bool full = !peer.after || version_ < *peer.after;
        auto servers = nlohmann::json::array();
        if (isNewer || full)
            servers = {entryOf("origin", origin_, "origin"), entryOf("c" + std::to_string(version_), cache_)};
        nlohmann::json list = {{"version", version_}, {"full", full}, {"servers", servers}};
        if (behaviour_ == Behaviour::refuses) {
            peer.socket.say(http(503, ""));
            return;
        }
        if (behaviour_ == Behaviour::spoilt) list["servers"] = {{{"id", 7}}};
        std::string answer = http(200, list.dump());
        if (behaviour_ == Behaviour::stopsWithin) answer.resize(answer.size() / 2);
        peer.socket.say(answer);
    }

    TestServer door_, origin_, cache_;
    const std::string address_ = door_.address();
    mutable std::mutex mutex_;
    std::list<Peer> peers_;
    std::vector<Request> requests_;
    int connections_ = 0;
    Behaviour behaviour_ = Behaviour::serves;
    std::int64_t version_ = versionOf(7);
    bool published_ = false;
    bool killed_ = false;
    std::atomic<bool> stop_ = false;
    std::thread thread_;
};

bool soon(const std::function<bool()>& is, milliseconds within = kStartWithin) {
    const auto end = Clock::now() + within;
    while (Clock::now() < end) {
        if (is()) return true;
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

std::string sectionOf(const std::vector<std::string>& addresses) {
    std::string list;
    for (const auto& address : addresses) list += "\"" + address + "\", ";
    return "[distributors]\naddresses = [" + list + "]\n";
}

const std::string kAdmin = "[admin]\nsocket = \"{}/admin.sock\"\n";

// A router beside a platform's configuration, which names a discovery of its own.
struct RouterProcess {
    // Without a name, one by its port: the choices that are drawn by name differ from run to run.
    explicit RouterProcess(const std::string& operatorFile, const std::string& name = "")
        : program(configuration(name).dump(), kAdmin + operatorFile) {}

    nlohmann::json configuration(const std::string& name) const {
        auto start = smallStart();
        start["name"] = name.empty() ? "n" + std::to_string(place.port) : name;
        start["listen"] = "127.0.0.1:" + std::to_string(place.port);
        start["discovery"] = discovery.address();
        start["known"] = {{"version", versionOf(7)}, {"full", true}, {"servers", nlohmann::json::array()}};
        return start;
    }
    void reload(const std::string& operatorFile) const {
        program.operate(kAdmin + operatorFile);
        program.signal(SIGHUP);
    }
    std::string status(const std::string& option = "") const {
        const std::string line =
            std::string(POPPYCTL) + " --socket " + program.door() + " " + option + " status 2>&1";
        std::string out;
        FILE* const pipe = popen(line.c_str(), "r");
        for (int c = fgetc(pipe); c != EOF; c = fgetc(pipe)) out += static_cast<char>(c);
        pclose(pipe);
        return out;
    }
    nlohmann::json list() const { return nlohmann::json::parse(status("--json")).at("list"); }
    bool logs(const std::string& text) const { return program.log().find(text) != std::string::npos; }

    TestServer discovery;
    ReservedPort place;
    Program program;
};

bool hasRequest(const StandInSource& source, const std::string& begin, std::size_t from = 0) {
    const auto all = source.requests();
    return std::any_of(all.begin() + static_cast<long>(std::min(from, all.size())), all.end(),
                       [&](const Request& request) { return request.line.starts_with(begin); });
}

std::string after(int step) {
    return "GET /api/targets?after=" + std::to_string(versionOf(step)) + "&wait_ms=";
}
const std::string kWhole = "GET /api/targets HTTP";

// A router that has version 8 from one of two sources and waits there for the next change.
struct Pair {
    Pair() {
        const bool first = soon([&] { return a.requestCount() + b.requestCount() > 0; });
        REQUIRE(first);
        REQUIRE(settles());
        const bool usesA = router.list().at("source") == a.address();
        used = usesA ? &a : &b;
        other = usesA ? &b : &a;
        a.publish(8);
        b.publish(8);
        REQUIRE(soon([&] { return hasRequest(*used, after(8)); }));
        asked = other->requestCount();
    }
    // Answered by whom it asks: a slow start may have cost the first attempt.
    bool settles() {
        return soon([&] {
            const auto list = router.list();
            return list.at("trouble") == "" && list.at("age_ms") < 1'000 &&
                   a.connectionCount() + b.connectionCount() == 1;
        });
    }
    // The next change comes to the other source only now, and the router has it from there in time.
    void changeComesFromOther(bool whole = false) {
        const auto changed = Clock::now();
        const auto askedOfUsed = used->requestCount();
        other->publish(9);
        const bool has = soon([&] { return hasRequest(*other, after(9), asked); }, 2 * kChangeWithin);
        const auto took = Clock::now() - changed;
        CHECK(has);
        CHECK(took < kChangeWithin);
        MESSAGE("had from the other source after ms: ",
                std::chrono::duration_cast<milliseconds>(took).count());
        const auto requests = other->requests();
        const std::string told = "used " + used->address() + " asked " + std::to_string(askedOfUsed) + "\n" +
                                 used->listed() + "other " + other->address() + " asked " +
                                 std::to_string(asked) + "\n" + other->listed() + router.program.log();
        INFO(told);
        REQUIRE(requests.size() > asked);
        CHECK(requests[asked].line.starts_with(whole ? kWhole : after(8)));
        if (!whole) CHECK_FALSE(hasRequest(*other, kWhole));
        CHECK(router.logs("polls " + other->address() +
                          " for the endpoint list from now on: " + used->address()));
        CHECK(router.list().at("source") == other->address());
        CHECK(router.list().at("trouble") == "");
    }

    StandInSource a, b;
    RouterProcess router{sectionOf({a.address(), b.address()})};
    StandInSource* used = nullptr;
    StandInSource* other = nullptr;
    std::size_t asked = 0;  // requests that the other had before
};

std::string problemsOf(const std::string& text, bool platform) {
    config::ConfigProblems problems("op.toml");
    config::readOperatorConfig(text, "op.toml", platform, problems);
    return problems.text();
}

}  // namespace

TEST_CASE("problems of the distributors' section are told all at once, with line and key") {
    const std::string text = problemsOf(
        "[distributors]\naddresses = [\"nowhere\", \"127.0.0.1:70000\", \"127.0.0.1:1\", \"127.0.0.1:1\"]\n"
        "pause = 3\n",
        true);
    for (const char* line : {"op.toml:2: distributors.addresses: 'nowhere' is not an IPv4 address and port",
                             "op.toml:2: distributors.addresses: '127.0.0.1:70000' is not an IPv4 address",
                             "op.toml:2: distributors.addresses: names '127.0.0.1:1' twice",
                             "op.toml:3: distributors.pause: is not a key that is known here"})
        CHECK_MESSAGE(text.find(line) != std::string::npos, line, "\n", text);
    CHECK(problemsOf("[distributors]\n", true) == "op.toml:1: distributors.addresses: is missing");
    CHECK(problemsOf("[distributors]\naddresses = []\n", true) ==
          "op.toml:2: distributors.addresses: names no distributor");
    std::vector<std::string> nine;
    for (int i = 1; i <= 9; ++i) nine.push_back("127.0.0.1:" + std::to_string(i));
    CHECK(problemsOf(sectionOf(nine), true) ==
          "op.toml:2: distributors.addresses: names 9 distributors, at most 8 are allowed");
    // In a file that says all, they stand for discovery: no list of servers is asked for.
    const std::string whole =
        "[instance]\nname = \"n0\"\nlisten = \"127.0.0.1:1\"\n"
        "[[verbs]]\nname = \"read\"\neffect = \"pure\"\ngoal_ms = 500\nlimit_ms = 2000\n";
    CHECK(problemsOf(whole + sectionOf({"127.0.0.1:2"}), false) == "");
    CHECK(problemsOf(whole, false).find("servers") != std::string::npos);
}

TEST_CASE("a killed source: the next change is had from the other one, by its version") {
    Pair pair;
    pair.used->kill();
    pair.changeComesFromOther();
}

TEST_CASE("a silent source: the next change is had from the other one, by its version") {
    Pair pair;
    pair.used->set(Behaviour::silent);
    pair.changeComesFromOther();
}

TEST_CASE("a source that stops within an answer: the next change is had from the other one, by its version") {
    Pair pair;
    pair.used->set(Behaviour::stopsWithin);
    pair.used->publish(9);
    pair.changeComesFromOther();
}

TEST_CASE("a spoilt list: the whole list is had from the other one") {
    Pair pair;
    pair.used->set(Behaviour::spoilt);
    pair.used->publish(9);
    pair.changeComesFromOther(true);
}

TEST_CASE("a source that tells an older version: it is refused, and the other one asked by the known one") {
    Pair pair;
    pair.used->publish(5);
    pair.changeComesFromOther();
    CHECK(pair.router.logs(pair.used->address() + ": version " + std::to_string(versionOf(5)) +
                           " after version " + std::to_string(versionOf(8))));
}

TEST_CASE("a source that refuses with 503: the next change is had from the other one, by its version") {
    Pair pair;
    pair.used->set(Behaviour::refuses);
    pair.changeComesFromOther();
    CHECK(pair.router.logs(pair.used->address() + ": answered 503"));
}

TEST_CASE("two of three sources lost, one of them silent: the change is had from the third, by its version") {
    std::array<StandInSource, 3> sources;
    RouterProcess router(sectionOf({sources[0].address(), sources[1].address(), sources[2].address()}));
    const auto waitsAt = [&](const StandInSource& source) { return source.connectionCount() > 0; };
    REQUIRE(soon([&] { return std::any_of(sources.begin(), sources.end(), waitsAt); }));
    std::this_thread::sleep_for(milliseconds(1'000));
    const auto used = std::find_if(sources.begin(), sources.end(), waitsAt);
    REQUIRE(used != sources.end());
    StandInSource& silent = sources[static_cast<std::size_t>(used - sources.begin() + 1) % 3];
    StandInSource& alive = sources[static_cast<std::size_t>(used - sources.begin() + 2) % 3];
    silent.set(Behaviour::silent);
    const auto killed = Clock::now();
    used->kill();
    alive.publish(8);
    CHECK(soon([&] { return hasRequest(alive, after(8)); }, 2 * kChangeWithin));
    const auto took = Clock::now() - killed;
    CHECK(took < kChangeWithin);
    MESSAGE("had from the third source after ms: ", std::chrono::duration_cast<milliseconds>(took).count());
    REQUIRE(alive.requestCount() > 0);
    CHECK(alive.requests()[0].line.starts_with(after(7)));
    CHECK_FALSE(hasRequest(alive, kWhole));
}

TEST_CASE("what a stranger asks of a stand-in source counts for nothing") {
    StandInSource source;
    Socket stranger(
        static_cast<std::uint16_t>(std::stoi(source.address().substr(source.address().find(':') + 1))));
    stranger.say("GET /api/targets?after=9&wait_ms=0 HTTP/1.1\r\n\r\n");
    CHECK(stranger.ended());
    CHECK(source.requestCount() == 0);
}

TEST_CASE("an older list is taken once every source tells an older one, and that is logged") {
    Pair pair;
    pair.other->publish(5);
    pair.used->publish(4);
    CHECK(soon([&] { return pair.router.logs("every source offers an older one"); }, 2 * kChangeWithin));
    CHECK(soon([&] {
        return hasRequest(*pair.used, after(5)) || hasRequest(*pair.other, after(5)) ||
               hasRequest(*pair.used, after(4)) || hasRequest(*pair.other, after(4));
    }));
}

TEST_CASE("an older list is refused while the other source can't be asked; status tells why and how old") {
    Pair pair;
    pair.used->kill();
    pair.other->publish(5);
    std::this_thread::sleep_for(milliseconds(6'000));
    CHECK_FALSE(pair.router.logs("every source offers an older one"));
    CHECK_FALSE(hasRequest(*pair.other, after(5)));
    CHECK_FALSE(hasRequest(*pair.other, kWhole));
    const auto list = pair.router.list();
    CHECK(list.at("sources") == 2);
    CHECK(list.at("age_ms") > 5'000);
    CHECK(list.at("trouble") != "");
    const std::string shown = pair.router.status();
    CHECK(shown.find("the list is asked of ") != std::string::npos);
    CHECK(shown.find(", one of 2; last heard of ") != std::string::npos);
    CHECK(shown.find("it can't be had: ") != std::string::npos);
    // Bounded, however long it lasts.
    const std::string log = pair.router.program.log();
    std::size_t moves = 0;
    for (auto at = log.find("for the endpoint list from now on:"); at != std::string::npos;
         at = log.find("for the endpoint list from now on:", at + 1))
        ++moves;
    CHECK(moves <= 20);
    // It catches up.
    pair.other->publish(9);
    CHECK(soon([&] { return hasRequest(*pair.other, after(9)); }, 2 * kChangeWithin));
    CHECK(soon([&] { return pair.router.list().at("trouble") == ""; }));
}

TEST_CASE("the router stays with the source that it moved to when the first one is back") {
    Pair pair;
    pair.used->set(Behaviour::refuses);
    pair.changeComesFromOther();
    pair.used->set(Behaviour::serves);
    const auto before = pair.used->requestCount();
    std::this_thread::sleep_for(milliseconds(3'000));
    CHECK(pair.used->requestCount() == before);
    CHECK(pair.router.list().at("source") == pair.other->address());
}

TEST_CASE("a reload moves the watch; where the source in use stays, its call stays") {
    Pair pair;
    StandInSource third;
    const auto connections = pair.used->requests().back().connection;
    // One more source: nobody asks anew.
    pair.router.reload(sectionOf({third.address(), pair.used->address()}));
    CHECK(soon([&] { return pair.router.logs("distributors: "); }));
    pair.used->publish(9);
    CHECK(soon([&] { return hasRequest(*pair.used, after(9)); }));
    CHECK(pair.used->requests().back().connection == connections);
    CHECK(third.requestCount() == 0);
    // Other sources: asked at once and for all, as after any move.
    pair.router.reload(sectionOf({third.address(), pair.other->address()}));
    CHECK(soon([&] { return hasRequest(third, kWhole) || hasRequest(*pair.other, kWhole); }));
    CHECK(soon([&] { return pair.used->connectionCount() == 0; }));
    // A broken file changes nothing.
    pair.router.reload("[distributors]\naddresses = [\"nowhere\"]\n");
    CHECK(soon([&] { return pair.router.logs("goes on with the old configuration"); }));
    // Without the section: discovery.
    pair.router.reload("");
    Socket discovery = pair.router.discovery.accept();
    CHECK(discovery.head().at(0).starts_with(kWhole));
    CHECK_FALSE(pair.router.list().contains("source"));
}

TEST_CASE("without the section discovery is asked as ever, and nothing tells of sources") {
    RouterProcess router("");
    Socket discovery = router.discovery.accept();
    const std::string line = discovery.head().at(0);
    REQUIRE(line.starts_with(after(7)));
    const int wait = std::stoi(line.substr(line.find("wait_ms=") + 8));
    CHECK(wait >= 5'000);
    CHECK(wait <= 10'000);
    const nlohmann::json empty = {
        {"version", versionOf(7)}, {"full", false}, {"servers", nlohmann::json::array()}};
    discovery.say(http(200, empty.dump()));
    CHECK(discovery.head().at(0).starts_with(after(7)));
    REQUIRE(soon([&] { return router.status().find("serving") != std::string::npos; }));
    CHECK_FALSE(router.list().contains("source"));
    CHECK_FALSE(router.list().contains("sources"));
    CHECK(router.status().find("distributors") == std::string::npos);
    discovery.say(http(503, ""));
    CHECK(soon([&] { return router.logs("endpoint list unavailable from discovery: answered 503"); }));
    CHECK_FALSE(router.logs("for the endpoint list from now on"));
}

TEST_CASE("thirty routers that lose a source don't arrive at the other one together") {
    constexpr int kRouters = 30;
    constexpr std::size_t kLeastShare = 5;
    StandInSource a, b;
    const std::string section = sectionOf({a.address(), b.address()});
    std::vector<std::unique_ptr<RouterProcess>> routers;
    for (int i = 0; i < kRouters; ++i)
        routers.push_back(std::make_unique<RouterProcess>(section, "n" + std::to_string(i)));
    REQUIRE(soon([&] { return a.connectionCount() + b.connectionCount() == kRouters; }));
    // Past the first, which only asks whether anything is newer.
    std::this_thread::sleep_for(milliseconds(2'500));
    REQUIRE(a.connectionCount() + b.connectionCount() == kRouters);
    CHECK(a.connectionCount() >= kLeastShare);
    CHECK(b.connectionCount() >= kLeastShare);
    const auto lost = a.connectionCount();
    std::set<int> before;
    for (const Request& request : b.requests()) before.insert(request.connection);
    const auto killed = Clock::now();
    a.kill();
    const auto arrivals = [&] {
        std::map<int, Clock::time_point> first;
        for (const Request& request : b.requests())
            if (!before.contains(request.connection)) first.emplace(request.connection, request.at);
        return first;
    };
    CHECK(soon([&] { return arrivals().size() >= lost; }, kChangeWithin));
    std::vector<Clock::time_point> times;
    for (const auto& [connection, at] : arrivals()) times.push_back(at);
    REQUIRE(times.size() >= lost);
    const auto [first, last] = std::minmax_element(times.begin(), times.end());
    CHECK(*last - *first > milliseconds(100));
    CHECK(*last - killed < milliseconds(2'000));
    MESSAGE("lost by ", lost,
            ", arrivals spread over ms: ", std::chrono::duration_cast<milliseconds>(*last - *first).count());
}
