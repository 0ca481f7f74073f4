// Tests of a router process with several sources of its endpoint list. The test emulates the sources.
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
constexpr milliseconds kStartWithin{30'000};  // enough for a process with sanitizers on a busy machine

// Each test run has a range of versions of its own. A source's port may have belonged to another
// run whose router still polls it; that router's requests are recognized by their versions.
std::int64_t versionOf(int step) {
    static const std::int64_t base = 1'000'000 + static_cast<std::int64_t>(getpid()) * 100;
    return base + step;
}
constexpr int kMaxSteps = 100;

struct Request {
    Clock::time_point at;
    std::string line;
    int connection = 0;
};

enum class Behaviour { serves, silent, truncates, malformed, rejects };

// A source of the list on a thread of its own. Like discovery, it holds a request until there is a
// newer version or the request's wait has ended.
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
    // Changes the version of the list. Every waiting request is answered, even with an older version.
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
    // All requests as text, shown when a check fails.
    std::string requestLog() const {
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
        std::optional<std::int64_t> after;  // none: the complete list
        Clock::time_point waitsUntil{};
        bool isWaiting = false;
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
            listener_.close();
            return;
        }
        while (becomesReadable(listener_.descriptor(), 0)) {
            const int descriptor = ::accept4(listener_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) break;
            peers_.push_back({Socket(descriptor), descriptor, ++connections_, {}, {}, false});
        }
        for (auto peer = peers_.begin(); peer != peers_.end();) {
            const bool isClosed = !receive(*peer);
            if (isClosed)
                peer = peers_.erase(peer);
            else
                ++peer;
        }
        for (Peer& peer : peers_)
            if (peer.isWaiting) respondIfDue(peer);
        published_ = false;
    }
    bool receive(Peer& peer) {
        if (!becomesReadable(peer.descriptor, 0)) return true;
        const auto head = peer.socket.readHead();
        if (head.empty()) return false;
        peer.after = numberIn(head[0], "after");
        const bool isOfOtherRun =
            peer.after && (*peer.after < versionOf(0) || *peer.after >= versionOf(kMaxSteps));
        if (isOfOtherRun) return false;
        requests_.push_back({Clock::now(), head[0], peer.number});
        peer.waitsUntil = Clock::now() + milliseconds(numberIn(head[0], "wait_ms").value_or(0));
        peer.isWaiting = true;
        return true;
    }
    void respondIfDue(Peer& peer) {
        const bool isNewer = !peer.after || version_ > *peer.after;
        if (!isNewer && !published_ && Clock::now() < peer.waitsUntil && behaviour_ != Behaviour::rejects)
            return;
        if (behaviour_ == Behaviour::silent) return;
        peer.isWaiting = false;
        const bool full = !peer.after || version_ < *peer.after;
        auto servers = nlohmann::json::array();
        if (isNewer || full)
            servers = {entryOf("origin", origin_, "origin"), entryOf("c" + std::to_string(version_), cache_)};
        nlohmann::json list = {{"version", version_}, {"full", full}, {"servers", servers}};
        if (behaviour_ == Behaviour::rejects) {
            peer.socket.send(http(503, ""));
            return;
        }
        if (behaviour_ == Behaviour::malformed) list["servers"] = {{{"id", 7}}};
        std::string response = http(200, list.dump());
        if (behaviour_ == Behaviour::truncates) response.resize(response.size() / 2);
        peer.socket.send(response);
    }

    TestServer listener_, origin_, cache_;
    const std::string address_ = listener_.address();
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

bool becomesTrue(const std::function<bool()>& condition, milliseconds within = kStartWithin) {
    const auto end = Clock::now() + within;
    while (Clock::now() < end) {
        if (condition()) return true;
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

std::string distributorsSection(const std::vector<std::string>& addresses) {
    std::string list;
    for (const auto& address : addresses) list += "\"" + address + "\", ";
    return "[distributors]\naddresses = [" + list + "]\n";
}

const std::string kAdmin = "[admin]\nsocket = \"{}/admin.sock\"\n";

// A router with a platform configuration, which names a discovery server of its own.
struct RouterProcess {
    // The default name contains the port, so that choices seeded by the name differ between runs.
    explicit RouterProcess(const std::string& operatorFile, const std::string& name = "")
        : program(configuration(name).dump(), kAdmin + operatorFile) {}

    nlohmann::json configuration(const std::string& name) const {
        auto start = minimalStartConfig();
        start["name"] = name.empty() ? "n" + std::to_string(reservedPort.port) : name;
        start["listen"] = "127.0.0.1:" + std::to_string(reservedPort.port);
        start["discovery"] = discovery.address();
        start["known"] = {{"version", versionOf(7)}, {"full", true}, {"servers", nlohmann::json::array()}};
        return start;
    }
    void reload(const std::string& operatorFile) const {
        program.writeOperatorFile(kAdmin + operatorFile);
        program.signal(SIGHUP);
    }
    std::string status(const std::string& option = "") const {
        const std::string line = std::string(POPPYCTL) + " --socket " + program.operatorSocketPath() + " " +
                                 option + " status 2>&1";
        std::string out;
        FILE* const pipe = popen(line.c_str(), "r");
        for (int c = fgetc(pipe); c != EOF; c = fgetc(pipe)) out += static_cast<char>(c);
        pclose(pipe);
        return out;
    }
    nlohmann::json list() const { return nlohmann::json::parse(status("--json")).at("list"); }
    bool logs(const std::string& text) const { return program.log().find(text) != std::string::npos; }

    TestServer discovery;
    ReservedPort reservedPort;
    Program program;
};

// Whether a request line starts with `prefix`, not counting the first `from` requests.
bool hasRequest(const StandInSource& source, const std::string& prefix, std::size_t from = 0) {
    const auto all = source.requests();
    return std::any_of(all.begin() + static_cast<long>(std::min(from, all.size())), all.end(),
                       [&](const Request& request) { return request.line.starts_with(prefix); });
}

std::string after(int step) {
    return "GET /api/targets?after=" + std::to_string(versionOf(step)) + "&wait_ms=";
}
const std::string kCompleteRequest = "GET /api/targets HTTP";

// A router with two sources that has received version 8 from one of them and waits there for the
// next change.
struct TwoSourceFixture {
    TwoSourceFixture() {
        const bool hasPolled = becomesTrue([&] { return a.requestCount() + b.requestCount() > 0; });
        REQUIRE(hasPolled);
        REQUIRE(waitUntilSettled());
        const bool usesA = router.list().at("source") == a.address();
        used = usesA ? &a : &b;
        other = usesA ? &b : &a;
        a.publish(8);
        b.publish(8);
        REQUIRE(becomesTrue([&] { return hasRequest(*used, after(8)); }));
        otherRequestsBefore = other->requestCount();
    }
    // Waits until the router has a response from its current source. On a slow start the first
    // attempt may have timed out.
    bool waitUntilSettled() {
        return becomesTrue([&] {
            const auto list = router.list();
            return list.at("trouble") == "" && list.at("age_ms") < 1'000 &&
                   a.connectionCount() + b.connectionCount() == 1;
        });
    }
    // Publishes the next change at the other source only, and checks that the router receives it
    // from there in time.
    void checkChangeFromOther(bool isComplete = false) {
        const auto changed = Clock::now();
        const auto usedRequestsBefore = used->requestCount();
        other->publish(9);
        const bool isReceived =
            becomesTrue([&] { return hasRequest(*other, after(9), otherRequestsBefore); }, 2 * kChangeWithin);
        const auto elapsed = Clock::now() - changed;
        CHECK(isReceived);
        CHECK(elapsed < kChangeWithin);
        MESSAGE("change received from the other source after ms: ",
                std::chrono::duration_cast<milliseconds>(elapsed).count());
        const auto requests = other->requests();
        const std::string context = "source in use " + used->address() +
                                    ", earlier requests: " + std::to_string(usedRequestsBefore) + "\n" +
                                    used->requestLog() + "other source " + other->address() +
                                    ", earlier requests: " + std::to_string(otherRequestsBefore) + "\n" +
                                    other->requestLog() + router.program.log();
        INFO(context);
        REQUIRE(requests.size() > otherRequestsBefore);
        CHECK(requests[otherRequestsBefore].line.starts_with(isComplete ? kCompleteRequest : after(8)));
        if (!isComplete) CHECK_FALSE(hasRequest(*other, kCompleteRequest));
        CHECK(router.logs("polls endpoint list source " + other->address() + " next, after a failure of " +
                          used->address()));
        CHECK(router.list().at("source") == other->address());
        CHECK(router.list().at("trouble") == "");
    }

    StandInSource a, b;
    RouterProcess router{distributorsSection({a.address(), b.address()})};
    StandInSource* used = nullptr;
    StandInSource* other = nullptr;
    std::size_t otherRequestsBefore = 0;  // requests to the other source during set-up
};

std::string problemsOf(const std::string& text, bool platform) {
    config::ConfigProblems problems("op.toml");
    config::readOperatorConfig(text, "op.toml", platform, problems);
    return problems.text();
}

}  // namespace

TEST_CASE("reports all problems of the distributors section at once, with line and key") {
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
    CHECK(problemsOf(distributorsSection(nine), true) ==
          "op.toml:2: distributors.addresses: names 9 distributors, at most 8 are allowed");
    // Without a platform configuration, distributors replace discovery: no [[servers]] are
    // required.
    const std::string fileWithoutSection =
        "[instance]\nname = \"n0\"\nlisten = \"127.0.0.1:1\"\n"
        "[[verbs]]\nname = \"read\"\neffect = \"pure\"\ngoal_ms = 500\nlimit_ms = 2000\n";
    CHECK(problemsOf(fileWithoutSection + distributorsSection({"127.0.0.1:2"}), false) == "");
    CHECK(problemsOf(fileWithoutSection, false).find("servers") != std::string::npos);
}

// The tests below break the source in use. The router has to poll the other one for the changes
// since the known version, and receive the next change within the limit.
TEST_CASE("receives the next change from the other source after the source in use is killed") {
    TwoSourceFixture fixture;
    fixture.used->kill();
    fixture.checkChangeFromOther();
}

TEST_CASE("receives the next change from the other source when the source in use doesn't respond") {
    TwoSourceFixture fixture;
    fixture.used->set(Behaviour::silent);
    fixture.checkChangeFromOther();
}

TEST_CASE("receives the next change from the other source when the source in use truncates a response") {
    TwoSourceFixture fixture;
    fixture.used->set(Behaviour::truncates);
    fixture.used->publish(9);
    fixture.checkChangeFromOther();
}

TEST_CASE("polls the other source for the complete list after a malformed list") {
    TwoSourceFixture fixture;
    fixture.used->set(Behaviour::malformed);
    fixture.used->publish(9);
    fixture.checkChangeFromOther(true);
}

TEST_CASE("refuses an older version, and polls the other source for changes since the known version") {
    TwoSourceFixture fixture;
    fixture.used->publish(5);
    fixture.checkChangeFromOther();
    CHECK(fixture.router.logs(fixture.used->address() + ": version " + std::to_string(versionOf(5)) +
                              " is older than the known version " + std::to_string(versionOf(8))));
}

TEST_CASE("receives the next change from the other source when the source in use responds with 503") {
    TwoSourceFixture fixture;
    fixture.used->set(Behaviour::rejects);
    fixture.checkChangeFromOther();
    CHECK(fixture.router.logs(fixture.used->address() + ": HTTP status 503"));
}

TEST_CASE("receives the change from the third source when one of the others is killed and one is silent") {
    std::array<StandInSource, 3> sources;
    RouterProcess router(
        distributorsSection({sources[0].address(), sources[1].address(), sources[2].address()}));
    const auto isConnected = [&](const StandInSource& source) { return source.connectionCount() > 0; };
    REQUIRE(becomesTrue([&] { return std::any_of(sources.begin(), sources.end(), isConnected); }));
    std::this_thread::sleep_for(milliseconds(1'000));
    const auto used = std::find_if(sources.begin(), sources.end(), isConnected);
    REQUIRE(used != sources.end());
    StandInSource& silent = sources[static_cast<std::size_t>(used - sources.begin() + 1) % 3];
    StandInSource& working = sources[static_cast<std::size_t>(used - sources.begin() + 2) % 3];
    silent.set(Behaviour::silent);
    const auto killed = Clock::now();
    used->kill();
    working.publish(8);
    CHECK(becomesTrue([&] { return hasRequest(working, after(8)); }, 2 * kChangeWithin));
    const auto elapsed = Clock::now() - killed;
    CHECK(elapsed < kChangeWithin);
    MESSAGE("change received from the third source after ms: ",
            std::chrono::duration_cast<milliseconds>(elapsed).count());
    REQUIRE(working.requestCount() > 0);
    CHECK(working.requests()[0].line.starts_with(after(7)));
    CHECK_FALSE(hasRequest(working, kCompleteRequest));
}

// Checks the test's own source: a router left over from another test run would spoil the counts
// otherwise.
TEST_CASE("the stand-in source ignores requests with versions of another test run") {
    StandInSource source;
    Socket otherRouter(
        static_cast<std::uint16_t>(std::stoi(source.address().substr(source.address().find(':') + 1))));
    otherRouter.send("GET /api/targets?after=9&wait_ms=0 HTTP/1.1\r\n\r\n");
    CHECK(otherRouter.isClosedByPeer());
    CHECK(source.requestCount() == 0);
}

// Discovery may lose its state and number its versions anew. The router must not refuse its lists
// forever.
TEST_CASE("applies an older list once every source offers an older one, and logs that") {
    TwoSourceFixture fixture;
    fixture.other->publish(5);
    fixture.used->publish(4);
    CHECK(becomesTrue([&] { return fixture.router.logs("every source offers an older one"); },
                      2 * kChangeWithin));
    CHECK(becomesTrue([&] {
        return hasRequest(*fixture.used, after(5)) || hasRequest(*fixture.other, after(5)) ||
               hasRequest(*fixture.used, after(4)) || hasRequest(*fixture.other, after(4));
    }));
}

// A single source with stale state must not undo newer changes while the other source is down.
TEST_CASE("refuses an older list while the other source is down; the status shows the reason and list age") {
    TwoSourceFixture fixture;
    fixture.used->kill();
    fixture.other->publish(5);
    std::this_thread::sleep_for(milliseconds(6'000));
    CHECK_FALSE(fixture.router.logs("every source offers an older one"));
    CHECK_FALSE(hasRequest(*fixture.other, after(5)));
    CHECK_FALSE(hasRequest(*fixture.other, kCompleteRequest));
    const auto list = fixture.router.list();
    CHECK(list.at("sources") == 2);
    CHECK(list.at("age_ms") > 5'000);
    CHECK(list.at("trouble") != "");
    const std::string shown = fixture.router.status();
    CHECK(shown.find("endpoint list polled from ") != std::string::npos);
    CHECK(shown.find(", one of 2 sources; last answer ") != std::string::npos);
    CHECK(shown.find("; last failure: ") != std::string::npos);
    // The number of logged moves is bounded, however long the outage lasts.
    const std::string log = fixture.router.program.log();
    std::size_t moves = 0;
    for (auto at = log.find("polls endpoint list source "); at != std::string::npos;
         at = log.find("polls endpoint list source ", at + 1))
        ++moves;
    CHECK(moves <= 20);
    // The router applies the next newer list.
    fixture.other->publish(9);
    CHECK(becomesTrue([&] { return hasRequest(*fixture.other, after(9)); }, 2 * kChangeWithin));
    CHECK(becomesTrue([&] { return fixture.router.list().at("trouble") == ""; }));
}

TEST_CASE("stays with the source that it moved to when the first one is available again") {
    TwoSourceFixture fixture;
    fixture.used->set(Behaviour::rejects);
    fixture.checkChangeFromOther();
    fixture.used->set(Behaviour::serves);
    const auto before = fixture.used->requestCount();
    std::this_thread::sleep_for(milliseconds(3'000));
    CHECK(fixture.used->requestCount() == before);
    CHECK(fixture.router.list().at("source") == fixture.other->address());
}

TEST_CASE("a reload replaces the sources; if the source in use is kept, its poll stays in flight") {
    TwoSourceFixture fixture;
    StandInSource third;
    const auto connection = fixture.used->requests().back().connection;
    // With the source in use kept, no new poll begins.
    fixture.router.reload(distributorsSection({third.address(), fixture.used->address()}));
    CHECK(becomesTrue([&] { return fixture.router.logs("distributors: "); }));
    fixture.used->publish(9);
    CHECK(becomesTrue([&] { return hasRequest(*fixture.used, after(9)); }));
    CHECK(fixture.used->requests().back().connection == connection);
    CHECK(third.requestCount() == 0);
    // Other sources are polled at once for the complete list.
    fixture.router.reload(distributorsSection({third.address(), fixture.other->address()}));
    CHECK(becomesTrue(
        [&] { return hasRequest(third, kCompleteRequest) || hasRequest(*fixture.other, kCompleteRequest); }));
    CHECK(becomesTrue([&] { return fixture.used->connectionCount() == 0; }));
    // An invalid file changes nothing.
    fixture.router.reload("[distributors]\naddresses = [\"nowhere\"]\n");
    CHECK(becomesTrue([&] { return fixture.router.logs("the old configuration stays in effect"); }));
    // Without the section, discovery is polled.
    fixture.router.reload("");
    Socket discovery = fixture.router.discovery.accept();
    CHECK(discovery.readHead().at(0).starts_with(kCompleteRequest));
    CHECK_FALSE(fixture.router.list().contains("source"));
}

TEST_CASE("without a distributors section polls discovery, and the status has no entries for sources") {
    RouterProcess router("");
    Socket discovery = router.discovery.accept();
    const std::string line = discovery.readHead().at(0);
    REQUIRE(line.starts_with(after(7)));
    const int wait = std::stoi(line.substr(line.find("wait_ms=") + 8));
    CHECK(wait >= 5'000);
    CHECK(wait <= 10'000);
    const nlohmann::json empty = {
        {"version", versionOf(7)}, {"full", false}, {"servers", nlohmann::json::array()}};
    discovery.send(http(200, empty.dump()));
    CHECK(discovery.readHead().at(0).starts_with(after(7)));
    REQUIRE(becomesTrue([&] { return router.status().find("serving") != std::string::npos; }));
    CHECK_FALSE(router.list().contains("source"));
    CHECK_FALSE(router.list().contains("sources"));
    CHECK(router.status().find("distributors") == std::string::npos);
    discovery.send(http(503, ""));
    CHECK(becomesTrue(
        [&] { return router.logs("endpoint list unavailable from discovery: HTTP status 503"); }));
    CHECK_FALSE(router.logs("polls endpoint list source "));
}

// Routers that move to another source at the same moment would overload it.
TEST_CASE("thirty routers that lose a source spread their arrival at the other one over time") {
    constexpr int kRouters = 30;
    // Least number of routers at each source before the loss.
    constexpr std::size_t kMinRouters = 5;
    StandInSource a, b;
    const std::string section = distributorsSection({a.address(), b.address()});
    std::vector<std::unique_ptr<RouterProcess>> routers;
    for (int i = 0; i < kRouters; ++i)
        routers.push_back(std::make_unique<RouterProcess>(section, "n" + std::to_string(i)));
    REQUIRE(becomesTrue([&] { return a.connectionCount() + b.connectionCount() == kRouters; }));
    // The first poll of each router doesn't wait at the source; the long polls after it do.
    std::this_thread::sleep_for(milliseconds(2'500));
    REQUIRE(a.connectionCount() + b.connectionCount() == kRouters);
    CHECK(a.connectionCount() >= kMinRouters);
    CHECK(b.connectionCount() >= kMinRouters);
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
    CHECK(becomesTrue([&] { return arrivals().size() >= lost; }, kChangeWithin));
    std::vector<Clock::time_point> times;
    for (const auto& [connection, at] : arrivals()) times.push_back(at);
    REQUIRE(times.size() >= lost);
    const auto [first, last] = std::minmax_element(times.begin(), times.end());
    CHECK(*last - *first > milliseconds(100));
    CHECK(*last - killed < milliseconds(2'000));
    MESSAGE("routers that lost their source: ", lost,
            ", arrivals spread over ms: ", std::chrono::duration_cast<milliseconds>(*last - *first).count());
}
