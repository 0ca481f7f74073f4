// Tests of the list distributor as a program: a stand-in for discovery, distributors on one and on two
// levels, real routers and readers of ours, while processes are killed and stopped and upstreams answer
// nonsense.
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include "fixtures.hpp"

using namespace poppyscale;
using namespace poppyscale::test;
using nlohmann::json;

namespace {

using Clock = std::chrono::steady_clock;

// The promise to routers: a change is told within this.
constexpr auto kToldWithin = std::chrono::milliseconds(5'000);

std::string addressOf(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// Discovery by its protocol, on a thread of its own.
class Discovery {
  public:
    enum class Mode { good, spoilt, older, endless, silent, notHttp };

    Discovery() {
        door_.emplace();
        thread_ = std::thread([this] { run(); });
    }
    ~Discovery() {
        ends_ = true;
        thread_.join();
    }
    std::string address() const { return door_->address(); }

    void set(const json& entry) {
        const std::lock_guard lock(mutex_);
        ++version_;
        servers_[entry.at("id")] = {entry, version_};
    }
    // What it knew is lost, but for one server.
    void lose(const json& entry) {
        const std::lock_guard lock(mutex_);
        servers_.clear();
        version_ = 1;
        servers_[entry.at("id")] = {entry, version_};
    }
    std::int64_t version() {
        const std::lock_guard lock(mutex_);
        return version_;
    }
    void behave(Mode mode) { mode_ = mode; }
    int requests() const { return requests_; }

  private:
    struct Entry {
        json text;
        std::int64_t changed = 0;
    };
    struct Reader {
        int descriptor;
        std::string in;
        bool asks = false;
        bool endless = false;
        std::optional<std::int64_t> after;
        Clock::time_point until;
    };

    void run() {
        while (!ends_) {
            std::vector<pollfd> polled{{door_->descriptor(), POLLIN, 0}};
            for (const Reader& reader : readers_) polled.push_back({reader.descriptor, POLLIN, 0});
            ::poll(polled.data(), polled.size(), 5);
            if (polled[0].revents)
                readers_.push_back(
                    {::accept(door_->descriptor(), nullptr, nullptr), {}, false, false, {}, {}});
            std::size_t at = 1;
            for (auto it = readers_.begin(); it != readers_.end() && at < polled.size(); ++at) {
                const bool keeps = (!polled[at].revents || read(*it)) && serve(*it);
                if (!keeps) ::close(it->descriptor);
                it = keeps ? std::next(it) : readers_.erase(it);
            }
        }
        for (const Reader& reader : readers_) ::close(reader.descriptor);
    }
    bool read(Reader& reader) {
        char buffer[4096];
        const auto got = ::recv(reader.descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
        if (got <= 0) return false;
        reader.in.append(buffer, static_cast<std::size_t>(got));
        const auto end = reader.in.find("\r\n\r\n");
        if (end == std::string::npos) return true;
        ++requests_;
        reader.asks = true;
        const auto number = [&](const std::string& key) -> std::optional<std::int64_t> {
            const auto found = reader.in.find(key + "=");
            if (found == std::string::npos) return std::nullopt;
            return std::stoll(reader.in.substr(found + key.size() + 1));
        };
        reader.after = number("after");
        reader.until = Clock::now() + std::chrono::milliseconds(number("wait_ms").value_or(0));
        reader.in.erase(0, end + 4);
        return true;
    }
    bool serve(Reader& reader) {
        if (reader.endless) return send(reader, std::string(256 * 1024, 'x'));
        const bool isDue = reader.asks && (!reader.after || version() > *reader.after ||
                                           Clock::now() >= reader.until || mode_ == Mode::older);
        const Mode mode = mode_;
        if (!isDue || mode == Mode::silent) return true;
        reader.asks = false;
        switch (mode) {
            case Mode::spoilt:
                return send(reader, http(200, "{\"version\":99,\"full\":true,\"servers\":[{]}"));
            case Mode::notHttp:
                return send(reader, "nonsense\r\n\r\n");
            case Mode::older:
                return send(reader, http(200, R"({"version":1,"full":true,"servers":[]})"));
            case Mode::endless:
                reader.endless = true;
                return send(reader, "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n");
            default:
                return send(reader, http(200, answerTo(reader.after)));
        }
    }
    static bool send(Reader& reader, const std::string& text) {
        const auto sent = ::send(reader.descriptor, text.data(), text.size(),
                                 MSG_NOSIGNAL | (reader.endless ? MSG_DONTWAIT : 0));
        return sent > 0 || errno == EAGAIN;
    }
    std::string answerTo(std::optional<std::int64_t> after) {
        const std::lock_guard lock(mutex_);
        json told{{"version", version_}, {"full", !after || *after > version_}, {"servers", json::array()}};
        for (const auto& [id, entry] : servers_)
            if (told["full"] || entry.changed > *after) told["servers"].push_back(entry.text);
        return told.dump();
    }

    std::optional<TestServer> door_;
    std::thread thread_;
    std::atomic<bool> ends_ = false;
    std::atomic<Mode> mode_ = Mode::good;
    std::atomic<int> requests_ = 0;
    std::mutex mutex_;
    std::int64_t version_ = 1;
    std::map<std::string, Entry> servers_;
    std::list<Reader> readers_;
};

json serverEntry(const std::string& id, int weight = 1) {
    return {{"id", id},  {"addr", "127.0.0.1:1"}, {"zone", "a"},      {"kind", "m"},
            {"cell", 0}, {"state", "Ready"},      {"weight", weight}, {"started_ms", 0}};
}

struct HttpAnswer {
    int status = 0;
    std::vector<std::string> head;
    std::string body;
    json list() const { return json::parse(body, nullptr, false); }
    std::int64_t version() const {
        const json parsed = list();
        return parsed.is_object() ? parsed.value("version", std::int64_t{-1}) : -1;
    }
    std::string header(const std::string& name) const {
        for (const std::string& line : head)
            if (line.starts_with(name + ": ")) return line.substr(name.size() + 2);
        return "";
    }
};

HttpAnswer readAnswer(Socket& socket) {
    HttpAnswer answer;
    answer.head = socket.head();
    if (answer.head.empty() || answer.head[0].size() < 12) return answer;
    answer.status = std::stoi(answer.head[0].substr(9));
    const std::string length = answer.header("Content-Length");
    if (!length.empty()) answer.body = socket.bytes(std::stoul(length));
    return answer;
}

std::string request(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: d\r\n\r\n"; }
std::string afterTarget(std::int64_t after, int waitMs) {
    return "/api/targets?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(waitMs);
}

// The program, ended with the test.
class DistributorProcess {
  public:
    DistributorProcess(const std::string& name, const std::vector<std::string>& upstreams,
                       std::string more = "wait_ms = 2000\n")
        : port(place_.port) {
        char folder[] = "/tmp/poppyscale-distributor-XXXXXX";
        if (!mkdtemp(folder)) throw std::runtime_error("no folder for settings");
        folder_ = folder;
        std::ofstream file(folder_ + "/settings.toml");
        file << "[distributor]\nname = \"" << name << "\"\nlisten = \"" << address()
             << "\"\nupstreams = " << json(upstreams) << "\n"
             << more;
        file.close();
        start();
        ready();
    }
    ~DistributorProcess() {
        if (pid_ > 0) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
        }
        std::filesystem::remove_all(folder_);
    }
    void start() {
        SpawnOptions options;
        options.log = folder_ + "/log";
        options.appendsToLog = true;
        pid_ =
            spawnProgram(POPPYSCALE_ENDPOINT_DISTRIBUTOR,
                         {POPPYSCALE_ENDPOINT_DISTRIBUTOR, "--config", folder_ + "/settings.toml"}, options);
    }
    // Until it has a list.
    void ready() const {
        for (int tries = 0; tries < 1'500 && status().value("version", 0) == 0; ++tries) usleep(20'000);
    }
    void signal(int number) const { kill(pid_, number); }
    void killNow() {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    int exitCode() {
        int status = 0;
        waitpid(std::exchange(pid_, -1), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    std::string address() const { return addressOf(port); }
    Socket reader() const { return Socket(port); }
    HttpAnswer get(const std::string& target) const {
        Socket socket(port);
        if (!socket.open()) return {};
        socket.say(request(target));
        return readAnswer(socket);
    }
    json status() const {
        const json parsed = get("/status").list();
        return parsed.is_object() ? parsed : json::object();
    }
    std::size_t residentKiB() const {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
        std::size_t pages = 0;
        file >> pages >> pages;
        return pages * 4;
    }
    std::string log() const {
        std::ifstream file(folder_ + "/log");
        return {std::istreambuf_iterator<char>(file), {}};
    }

  private:
    ReservedPort place_;
    std::string folder_;
    pid_t pid_ = -1;

  public:
    std::uint16_t port;
};

// By when that version is told there, within the promised time; a fall of the versions told on the way fails.
bool isToldInTime(const DistributorProcess& distributor, std::int64_t version, Clock::time_point from,
                  std::int64_t known = 0) {
    while (Clock::now() - from < kToldWithin) {
        const auto answer = distributor.get(known ? afterTarget(known, 500) : "/api/targets");
        if (answer.status == 200) {
            CHECK(answer.version() >= known);
            known = std::max(known, answer.version());
        }
        if (known >= version) return true;
        if (answer.status != 200) usleep(20'000);
    }
    MESSAGE(distributor.log());
    return false;
}

}  // namespace

TEST_CASE("changes come to readers through two levels of distributors, as discovery told them") {
    Discovery discovery;
    discovery.set(serverEntry("s0"));
    const DistributorProcess first("d1", {discovery.address()});
    const DistributorProcess second("d2", {discovery.address()});
    const DistributorProcess leaf("leaf", {first.address(), second.address()});
    Socket reader = leaf.reader();
    reader.say(request("/api/targets"));
    auto answer = readAnswer(reader);
    CHECK(answer.status == 200);
    CHECK(answer.version() == discovery.version());
    CHECK(answer.list()["full"] == true);
    CHECK(answer.list()["servers"] == json::array({serverEntry("s0")}));
    CHECK(std::stoll(answer.header("X-List-Age-Ms")) < 5'000);
    for (int change = 1; change <= 20; ++change) {
        reader.say(request(afterTarget(answer.version(), 10'000)));
        discovery.set(serverEntry("s" + std::to_string(change)));
        const auto changedAt = Clock::now();
        answer = readAnswer(reader);
        CHECK(Clock::now() - changedAt < kToldWithin);
        CHECK(answer.version() == discovery.version());
        CHECK(answer.list()["full"] == false);
        CHECK(answer.list()["servers"] == json::array({serverEntry("s" + std::to_string(change))}));
    }
    // At the end of its wait.
    reader.say(request(afterTarget(answer.version(), 300)));
    const auto unchanged = readAnswer(reader);
    CHECK(unchanged.version() == answer.version());
    CHECK(unchanged.list()["servers"].empty());
    const json status = leaf.status();
    CHECK(status["name"] == "leaf");
    CHECK(status["entries"] == 21);
    CHECK(status["upstream"] == first.address());
    CHECK(status["trouble"] == "");
}

TEST_CASE(
    "a router that asks a distributor goes by what discovery changes, also when the distributor is killed") {
    Discovery discovery;
    auto start = smallStart();
    std::vector<TestServer> caches(2);
    TestServer origin;
    discovery.set(entryOf("origin", origin, "origin"));
    discovery.set(entryOf("c0", caches[0]));
    DistributorProcess distributor("d1", {discovery.address()});
    ReservedPort place;
    start["listen"] = addressOf(place.port);
    start["discovery"] = distributor.address();
    start["known"] = {{"version", 1},
                      {"full", true},
                      {"servers", {entryOf("origin", origin, "origin"), entryOf("c0", caches[0])}}};
    const Program router(start.dump());
    for (int tries = 0; tries < 200 && Socket(place.port).say("*1\r\n$4\r\nPING\r\n").line() != "+PONG";
         ++tries)
        usleep(20'000);
    const auto moveTo = [&](std::size_t to) {
        discovery.set(entryOf("c" + std::to_string(1 - to), caches[1 - to], "m", "Terminating"));
        discovery.set(entryOf("c" + std::to_string(to), caches[to], "m", "Ready", 5));
        // Both are told by then, else requests would go to the other one.
        const auto from = Clock::now();
        for (int n = 0; Clock::now() - from < kToldWithin; ++n) {
            Socket client(place.port);
            client.say(get("k" + std::to_string(n)));
            // One that the router opened for a client that has left by now brings nothing.
            if (!caches[to].quiet(50) && caches[to].accept().command().size() == 4) return true;
            while (!caches[1 - to].quiet(0)) caches[1 - to].accept();
        }
        MESSAGE(router.log());
        return false;
    };
    CHECK(moveTo(1));
    distributor.killNow();
    usleep(300'000);
    distributor.start();
    CHECK(moveTo(0));
}

TEST_CASE("a killed distributor is left for another one, and serves again when it is back") {
    Discovery discovery;
    discovery.set(serverEntry("s0"));
    DistributorProcess first("d1", {discovery.address()});
    const DistributorProcess second("d2", {discovery.address()});
    const DistributorProcess leaf("leaf", {first.address(), second.address()});
    for (int round = 0; round < 3; ++round) {
        const auto known = leaf.get("/api/targets").version();
        first.killNow();
        discovery.set(serverEntry("s0", round + 2));
        CHECK(isToldInTime(leaf, discovery.version(), Clock::now(), known));
        first.start();
        CHECK(isToldInTime(first, discovery.version(), Clock::now()));
    }
    CHECK(leaf.status()["upstream"] == second.address());
}

TEST_CASE(
    "a stopped distributor is left in time, and when it goes on it tells its readers no lower version") {
    Discovery discovery;
    discovery.set(serverEntry("s0"));
    const DistributorProcess first("d1", {discovery.address()});
    const DistributorProcess second("d2", {discovery.address()});
    const DistributorProcess leaf("leaf", {first.address(), second.address()});
    const auto known = leaf.get("/api/targets").version();
    first.signal(SIGSTOP);
    discovery.set(serverEntry("s0", 2));
    CHECK(isToldInTime(leaf, discovery.version(), Clock::now(), known));
    for (int change = 3; change < 6; ++change) discovery.set(serverEntry("s0", change));
    const auto newest = discovery.version();
    CHECK(isToldInTime(leaf, newest, Clock::now(), known));
    Socket reader = first.reader();
    reader.say(request(afterTarget(newest, 0)));
    first.signal(SIGCONT);
    CHECK(readAnswer(reader).version() >= newest);
    CHECK(isToldInTime(first, newest, Clock::now(), newest));
}

TEST_CASE(
    "an upstream that answers nonsense, older lists, without end or not at all costs its connection alone") {
    using Mode = Discovery::Mode;
    for (const Mode mode : {Mode::spoilt, Mode::notHttp, Mode::older, Mode::endless, Mode::silent}) {
        CAPTURE(static_cast<int>(mode));
        Discovery faulty, discovery;
        for (Discovery* each : {&faulty, &discovery})
            for (int i = 0; i < 5; ++i) each->set(serverEntry("s" + std::to_string(i)));
        const DistributorProcess distributor("d1", {faulty.address(), discovery.address()},
                                             "wait_ms = 2000\nmax_list_kib = 4096\n");
        const auto known = distributor.get("/api/targets").version();
        const auto before = distributor.residentKiB();
        faulty.behave(mode);
        faulty.set(serverEntry("s0", 2));  // what is parked there is answered
        discovery.set(serverEntry("s1", 2));
        CHECK(isToldInTime(distributor, discovery.version(), Clock::now(), known));
        CHECK(distributor.status()["version"] == discovery.version());
        CHECK(distributor.residentKiB() < before + 32 * 1024);
        CHECK(distributor.status()["epochs"] == 0);
    }
}

TEST_CASE(
    "with every upstream spoilt readers are answered from what is here, and its age and trouble are told") {
    Discovery discovery;
    discovery.set(serverEntry("s0"));
    const DistributorProcess distributor("d1", {discovery.address()});
    const auto known = discovery.version();
    discovery.behave(Discovery::Mode::notHttp);
    discovery.set(serverEntry("s0", 2));
    usleep(1'500'000);
    const auto answer = distributor.get("/api/targets");
    CHECK(answer.version() == known);
    CHECK(std::stoll(answer.header("X-List-Age-Ms")) >= 1'000);
    const json status = distributor.status();
    CHECK(status["trouble"] != "");
    CHECK(status["age_ms"] >= 1'000);
    discovery.behave(Discovery::Mode::good);
    CHECK(isToldInTime(distributor, discovery.version(), Clock::now(), known));
    CHECK(distributor.status()["trouble"] == "");
}

TEST_CASE("when discovery has lost what it knew, readers come to its new list") {
    Discovery discovery;
    for (int i = 0; i < 20; ++i) discovery.set(serverEntry("s" + std::to_string(i)));
    const DistributorProcess distributor("d1", {discovery.address()}, "wait_ms = 1000\n");
    Socket reader = distributor.reader();
    reader.say(request(afterTarget(discovery.version(), 10'000)));
    discovery.lose(serverEntry("new"));
    const auto answer = readAnswer(reader);
    CHECK(answer.version() == 1);
    CHECK(answer.list()["full"] == true);
    CHECK(answer.list()["servers"] == json::array({serverEntry("new")}));
    CHECK(distributor.status()["epochs"] == 1);
}

TEST_CASE("a slow reader costs itself alone") {
    Discovery discovery;
    const std::string filler(3'000, 'x');
    for (int i = 0; i < 3'000; ++i) {
        json entry = serverEntry("s" + std::to_string(i));
        entry["note"] = filler;
        discovery.set(entry);
    }
    const DistributorProcess distributor("d1", {discovery.address()},
                                         "wait_ms = 2000\nmax_unsent_kib = 64\n");
    const auto before = distributor.residentKiB();
    std::vector<Socket> slow;
    for (int i = 0; i < 20; ++i) {
        slow.push_back(distributor.reader());
        slow.back().say(request("/api/targets"));
        slow.back().say(request("/api/targets"));
    }
    Socket reader = distributor.reader();
    auto known = discovery.version();
    const auto from = Clock::now();
    for (int change = 0; change < 20; ++change) {
        discovery.set(serverEntry("s0", change + 2));
        reader.say(request(afterTarget(known, 5'000)));
        known = readAnswer(reader).version();
        CHECK(known == discovery.version());
        usleep(100'000);
    }
    CHECK(Clock::now() - from < std::chrono::seconds(20));
    for (int tries = 0; tries < 200 && distributor.status()["slow_readers_closed"] < 20; ++tries)
        usleep(50'000);
    CHECK(distributor.status()["slow_readers_closed"] == 20);
    // Each list is 9 MB; they were not copied for each of them.
    CHECK(distributor.residentKiB() < before + 100 * 1024);
}

TEST_CASE("many readers are told each change, and over the bound they are sent away") {
    constexpr std::size_t kReaders = 500;
    Discovery discovery;
    discovery.set(serverEntry("s0"));
    const DistributorProcess distributor("d1", {discovery.address()}, "wait_ms = 2000\nmax_readers = 500\n");
    std::vector<Socket> readers;
    auto known = discovery.version();
    for (std::size_t i = 0; i < kReaders; ++i) {
        readers.push_back(distributor.reader());
        readers.back().say(request(afterTarget(known, 20'000)));
    }
    for (int tries = 0; tries < 200 && distributor.status()["readers"] < kReaders; ++tries) usleep(20'000);
    const auto refused = distributor.get("/api/targets");
    CHECK(refused.status == 503);
    CHECK(refused.header("Retry-After") == "1");
    for (int change = 0; change < 5; ++change) {
        discovery.set(serverEntry("s0", change + 2));
        const auto from = Clock::now();
        std::size_t right = 0;
        for (Socket& reader : readers) {
            right += readAnswer(reader).version() == discovery.version();
            reader.say(request(afterTarget(discovery.version(), 20'000)));
        }
        CHECK(right == kReaders);
        CHECK(Clock::now() - from < kToldWithin);
        known = discovery.version();
    }
    const json status = distributor.status();
    CHECK(status["delta_answers"] == 5 * kReaders);
    CHECK(status["whole_answers"] == 0);
}

TEST_CASE("SIGTERM: who waits is answered, then the program ends") {
    Discovery discovery;
    discovery.set(serverEntry("s0"));
    DistributorProcess distributor("d1", {discovery.address()});
    std::vector<Socket> readers;
    for (int i = 0; i < 20; ++i) {
        readers.push_back(distributor.reader());
        readers.back().say(request(afterTarget(discovery.version() + (i % 2) * 7, 20'000)));
    }
    for (int tries = 0; tries < 200 && distributor.status()["readers"] < 20; ++tries) usleep(20'000);
    distributor.signal(SIGTERM);
    for (int i = 0; i < 20; ++i) {
        const auto answer = readAnswer(readers[static_cast<std::size_t>(i)]);
        CHECK(answer.status == 200);
        CHECK(answer.header("Connection") == "close");
        CHECK(answer.version() == discovery.version() + (i % 2) * 7);
    }
    CHECK(distributor.exitCode() == 0);
}

TEST_CASE("what is no request for a list is answered with an error, or costs its connection") {
    Discovery discovery;
    discovery.set(serverEntry("s0"));
    const DistributorProcess distributor("d1", {discovery.address()});
    CHECK(distributor.get("/").status == 404);
    CHECK(distributor.get("/api/targets?after=x").status == 400);
    Socket spoilt = distributor.reader();
    spoilt.say("nonsense\r\n\r\n");
    CHECK(spoilt.ended());
    Socket endless = distributor.reader();
    const std::string header = "X-A: " + std::string(1'000, 'x') + "\r\n";
    endless.say("GET /api/targets HTTP/1.1\r\n");
    for (int i = 0; i < 1'000; ++i) endless.cram(header);
    CHECK(endless.ended());
    // Several requests at once, also in pieces, are answered in their order.
    Socket pipelined = distributor.reader();
    pipelined.say(request("/api/targets") + request(afterTarget(discovery.version(), 100)) + "GET /sta");
    usleep(50'000);
    pipelined.say("tus HTTP/1.1\r\nHost: d\r\n\r\n");
    CHECK(readAnswer(pipelined).list()["full"] == true);
    CHECK(readAnswer(pipelined).list()["full"] == false);
    CHECK(readAnswer(pipelined).list()["name"] == "d1");
}

namespace {

// Runs a command and gives its exit code and what it wrote to both of its streams.
std::pair<int, std::string> run(const std::string& command) {
    FILE* const pipe = popen((command + " 2>&1").c_str(), "r");
    std::string text;
    std::array<char, 4096> buffer{};
    while (pipe && fgets(buffer.data(), buffer.size(), pipe)) text += buffer.data();
    const int status = pclose(pipe);
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, text};
}

}  // namespace

TEST_CASE("all that is wrong with a settings file is told at once, with its file, line and key") {
    char path[] = "/tmp/poppyscale-settings-XXXXXX";
    close(mkstemp(path));
    const std::string file = path;
    const std::string command = std::string(POPPYSCALE_ENDPOINT_DISTRIBUTOR) + " --config " + file;
    std::ofstream(file)
        << "[distributor]\nname = 3\nlisten = \"nowhere\"\nupstreams = []\nwait = 5\nbatch_ms = 0\n";
    const auto [code, text] = run(command);
    CHECK(code == 1);
    for (const char* problem :
         {":2: distributor.name: ", ":3: distributor.listen: ", ":4: distributor.upstreams: ",
          ":5: distributor.wait: ", ":6: distributor.batch_ms: "}) {
        CAPTURE(problem);
        CHECK(text.find(file + problem) != std::string::npos);
    }
    std::ofstream(file) << "[other]\n";
    CHECK(run(command).first == 1);
    std::filesystem::remove(file);
    CHECK(run(command).first == 1);
}

TEST_CASE("poppyctl distributor prints the status as a table and as JSON") {
    Discovery discovery;
    discovery.set(serverEntry("s0"));
    const DistributorProcess distributor("d1", {discovery.address()});
    const std::string command = std::string(POPPYCTL) + " distributor ";
    const auto [code, table] = run(command + distributor.address());
    CHECK(code == 0);
    for (const char* line :
         {"name                   d1\n", "entries                1\n", "trouble                -\n"}) {
        CAPTURE(line);
        CHECK(table.find(line) != std::string::npos);
    }
    const auto [jsonCode, text] = run(command + distributor.address() + " --json");
    CHECK(jsonCode == 0);
    CHECK(json::parse(text).at("version") == discovery.version());
    CHECK(run(command + "127.0.0.1:1").first == 3);
    CHECK(run(command + "nowhere").first == 3);
}
