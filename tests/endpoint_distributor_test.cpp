// Tests of the endpoint distributor program with an emulated discovery, one or two levels of
// distributors, real routers and scripted readers, while processes are killed or stopped and
// upstreams send malformed responses.
#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

#include "endpoint_distributor_fixture.hpp"

using namespace poppyscale;
using namespace poppyscale::test;
using nlohmann::json;

// Guards against entries that are altered, delayed or lost on the way through two levels.
TEST_CASE("Passes changes unaltered through two levels of distributors") {
    Discovery discovery;
    discovery.set(serverEntry("s0"));
    const DistributorProcess first("d1", {discovery.address()});
    const DistributorProcess second("d2", {discovery.address()});
    const DistributorProcess leaf("leaf", {first.address(), second.address()});
    Socket reader = leaf.reader();
    reader.send(request("/api/targets"));
    auto response = readHttpResponse(reader);
    CHECK(response.status == 200);
    CHECK(response.version() == discovery.version());
    CHECK(response.list()["full"] == true);
    CHECK(response.list()["servers"] == json::array({serverEntry("s0")}));
    CHECK(std::stoll(response.header("X-List-Age-Ms")) < 5'000);
    for (int change = 1; change <= 20; ++change) {
        reader.send(request(afterTarget(response.version(), 10'000)));
        discovery.set(serverEntry("s" + std::to_string(change)));
        const auto changedAt = Clock::now();
        response = readHttpResponse(reader);
        CHECK(Clock::now() - changedAt < kMaxPropagation);
        CHECK(response.version() == discovery.version());
        CHECK(response.list()["full"] == false);
        CHECK(response.list()["servers"] == json::array({serverEntry("s" + std::to_string(change))}));
    }
    // At the end of the wait the response has no changes.
    reader.send(request(afterTarget(response.version(), 300)));
    const auto unchanged = readHttpResponse(reader);
    CHECK(unchanged.version() == response.version());
    CHECK(unchanged.list()["servers"].empty());
    const json status = leaf.status();
    CHECK(status["name"] == "leaf");
    CHECK(status["entries"] == 21);
    CHECK(status["upstream"] == first.address());
    CHECK(status["trouble"] == "");
}

// The router has to reconnect to the restarted distributor and accept its list.
TEST_CASE("A router follows discovery through a distributor, also after the distributor is killed") {
    Discovery discovery;
    auto start = minimalStartConfig();
    std::vector<TestServer> caches(2);
    TestServer origin;
    discovery.set(entryOf("origin", origin, "origin"));
    discovery.set(entryOf("c0", caches[0]));
    DistributorProcess distributor("d1", {discovery.address()});
    ReservedPort reservedPort;
    start["listen"] = addressOf(reservedPort.port);
    start["discovery"] = distributor.address();
    start["known"] = {{"version", 1},
                      {"full", true},
                      {"servers", {entryOf("origin", origin, "origin"), entryOf("c0", caches[0])}}};
    const Program router(start.dump());
    for (int tries = 0;
         tries < 200 && Socket(reservedPort.port).send("*1\r\n$4\r\nPING\r\n").readLine() != "+PONG"; ++tries)
        usleep(20'000);
    const auto migrateTo = [&](std::size_t to) {
        discovery.set(entryOf("c" + std::to_string(1 - to), caches[1 - to], "m", "Terminating"));
        discovery.set(entryOf("c" + std::to_string(to), caches[to], "m", "Ready", 5));
        // Requests go to the other cache until the router has both changes.
        const auto from = Clock::now();
        for (int n = 0; Clock::now() - from < kMaxPropagation; ++n) {
            Socket client(reservedPort.port);
            client.send(get("k" + std::to_string(n)));
            // The router may open a connection for a client that has disconnected, and send nothing
            // on it.
            if (!caches[to].isQuiet(50) && caches[to].accept().readCommand().size() == 4) return true;
            while (!caches[1 - to].isQuiet(0)) caches[1 - to].accept();
        }
        MESSAGE(router.log());
        return false;
    };
    CHECK(migrateTo(1));
    distributor.killNow();
    usleep(300'000);
    distributor.start();
    CHECK(migrateTo(0));
}

// Guards against changes that are lost or late when the upstream in use is killed, and against a
// restarted distributor that does not serve again.
TEST_CASE("Fails over from a killed upstream distributor, which serves again after its restart") {
    Discovery discovery;
    discovery.set(serverEntry("s0"));
    DistributorProcess first("d1", {discovery.address()});
    const DistributorProcess second("d2", {discovery.address()});
    const DistributorProcess leaf("leaf", {first.address(), second.address()});
    for (int round = 0; round < 3; ++round) {
        const auto known = leaf.get("/api/targets").version();
        first.killNow();
        discovery.set(serverEntry("s0", round + 2));
        CHECK(isPropagated(leaf, discovery.version(), Clock::now(), known));
        first.start();
        CHECK(isPropagated(first, discovery.version(), Clock::now()));
    }
    CHECK(leaf.status()["upstream"] == second.address());
}

// A stopped process keeps its connections open without responding. After SIGCONT its list is
// outdated.
TEST_CASE("Fails over from a stopped upstream distributor, which sends no lower version once resumed") {
    Discovery discovery;
    discovery.set(serverEntry("s0"));
    const DistributorProcess first("d1", {discovery.address()});
    const DistributorProcess second("d2", {discovery.address()});
    const DistributorProcess leaf("leaf", {first.address(), second.address()});
    const auto known = leaf.get("/api/targets").version();
    first.signal(SIGSTOP);
    discovery.set(serverEntry("s0", 2));
    CHECK(isPropagated(leaf, discovery.version(), Clock::now(), known));
    for (int change = 3; change < 6; ++change) discovery.set(serverEntry("s0", change));
    const auto newest = discovery.version();
    CHECK(isPropagated(leaf, newest, Clock::now(), known));
    Socket reader = first.reader();
    reader.send(request(afterTarget(newest, 0)));
    first.signal(SIGCONT);
    CHECK(readHttpResponse(reader).version() >= newest);
    CHECK(isPropagated(first, newest, Clock::now(), newest));
}

// A faulty upstream must not stop the distributor, corrupt its list, use up its memory or delay
// changes.
TEST_CASE("Uses the next upstream when one sends malformed, older, endless or no responses") {
    using Mode = Discovery::Mode;
    for (const Mode mode : {Mode::malformed, Mode::notHttp, Mode::older, Mode::endless, Mode::silent}) {
        CAPTURE(static_cast<int>(mode));
        Discovery faulty, discovery;
        for (Discovery* each : {&faulty, &discovery})
            for (int i = 0; i < 5; ++i) each->set(serverEntry("s" + std::to_string(i)));
        const DistributorProcess distributor("d1", {faulty.address(), discovery.address()},
                                             "wait_ms = 2000\nmax_list_kib = 4096\n");
        const auto known = distributor.get("/api/targets").version();
        const auto before = distributor.residentKiB();
        faulty.setMode(mode);
        faulty.set(serverEntry("s0", 2));  // ends a long poll that is open at the faulty upstream
        discovery.set(serverEntry("s1", 2));
        CHECK(isPropagated(distributor, discovery.version(), Clock::now(), known));
        CHECK(distributor.status()["version"] == discovery.version());
        CHECK(distributor.residentKiB() < before + 32 * 1024);
        CHECK(distributor.status()["epochs"] == 0);
    }
}

// Routers have to get the last known list during an outage, and operators have to see the outage.
TEST_CASE("Serves the last known list and reports its age and the failure while every upstream fails") {
    Discovery discovery;
    discovery.set(serverEntry("s0"));
    const DistributorProcess distributor("d1", {discovery.address()});
    const auto known = discovery.version();
    discovery.setMode(Discovery::Mode::notHttp);
    discovery.set(serverEntry("s0", 2));
    usleep(1'500'000);
    const auto response = distributor.get("/api/targets");
    CHECK(response.version() == known);
    CHECK(std::stoll(response.header("X-List-Age-Ms")) >= 1'000);
    const json status = distributor.status();
    CHECK(status["trouble"] != "");
    CHECK(status["age_ms"] >= 1'000);
    discovery.setMode(Discovery::Mode::healthy);
    CHECK(isPropagated(distributor, discovery.version(), Clock::now(), known));
    CHECK(distributor.status()["trouble"] == "");
}

// Readers would keep the old list until discovery's versions exceed the old ones.
TEST_CASE("Readers get discovery's new list after it has lost its versions") {
    Discovery discovery;
    for (int i = 0; i < 20; ++i) discovery.set(serverEntry("s" + std::to_string(i)));
    const DistributorProcess distributor("d1", {discovery.address()}, "wait_ms = 1000\n");
    Socket reader = distributor.reader();
    reader.send(request(afterTarget(discovery.version(), 10'000)));
    discovery.restart(serverEntry("new"));
    const auto response = readHttpResponse(reader);
    CHECK(response.version() == 1);
    CHECK(response.list()["full"] == true);
    CHECK(response.list()["servers"] == json::array({serverEntry("new")}));
    CHECK(distributor.status()["epochs"] == 1);
}

// Readers that do not read their responses must not delay other readers or use memory for copies of
// the list.
TEST_CASE("Closes slow readers without delaying other readers") {
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
        slow.back().send(request("/api/targets"));
        slow.back().send(request("/api/targets"));
    }
    Socket reader = distributor.reader();
    auto known = discovery.version();
    const auto from = Clock::now();
    for (int change = 0; change < 20; ++change) {
        discovery.set(serverEntry("s0", change + 2));
        reader.send(request(afterTarget(known, 5'000)));
        known = readHttpResponse(reader).version();
        CHECK(known == discovery.version());
        usleep(100'000);
    }
    CHECK(Clock::now() - from < std::chrono::seconds(20));
    for (int tries = 0; tries < 200 && distributor.status()["slow_readers_closed"] < 20; ++tries)
        usleep(50'000);
    CHECK(distributor.status()["slow_readers_closed"] == 20);
    // The list has 9 MB. A copy for each slow reader would exceed this bound.
    CHECK(distributor.residentKiB() < before + 100 * 1024);
}

// Guards against readers that miss a change, and against an unbounded number of readers.
TEST_CASE("Sends each change to 500 readers and rejects readers beyond max_readers") {
    constexpr std::size_t kReaders = 500;
    Discovery discovery;
    discovery.set(serverEntry("s0"));
    const DistributorProcess distributor("d1", {discovery.address()}, "wait_ms = 2000\nmax_readers = 500\n");
    std::vector<Socket> readers;
    auto known = discovery.version();
    for (std::size_t i = 0; i < kReaders; ++i) {
        readers.push_back(distributor.reader());
        readers.back().send(request(afterTarget(known, 20'000)));
    }
    for (int tries = 0; tries < 200 && distributor.status()["readers"] < kReaders; ++tries) usleep(20'000);
    const auto rejected = distributor.get("/api/targets");
    CHECK(rejected.status == 503);
    CHECK(rejected.header("Retry-After") == "1");
    for (int change = 0; change < 5; ++change) {
        discovery.set(serverEntry("s0", change + 2));
        const auto from = Clock::now();
        std::size_t current = 0;
        for (Socket& reader : readers) {
            if (readHttpResponse(reader).version() == discovery.version()) ++current;
            reader.send(request(afterTarget(discovery.version(), 20'000)));
        }
        CHECK(current == kReaders);
        CHECK(Clock::now() - from < kMaxPropagation);
        known = discovery.version();
    }
    const json status = distributor.status();
    CHECK(status["delta_answers"] == 5 * kReaders);
    CHECK(status["whole_answers"] == 0);
}

// Readers would otherwise see an aborted request at each restart of a distributor.
TEST_CASE("Answers waiting readers after SIGTERM, then exits with code 0") {
    Discovery discovery;
    discovery.set(serverEntry("s0"));
    DistributorProcess distributor("d1", {discovery.address()});
    std::vector<Socket> readers;
    for (int i = 0; i < 20; ++i) {
        readers.push_back(distributor.reader());
        readers.back().send(request(afterTarget(discovery.version() + (i % 2) * 7, 20'000)));
    }
    for (int tries = 0; tries < 200 && distributor.status()["readers"] < 20; ++tries) usleep(20'000);
    distributor.signal(SIGTERM);
    for (int i = 0; i < 20; ++i) {
        const auto response = readHttpResponse(readers[static_cast<std::size_t>(i)]);
        CHECK(response.status == 200);
        CHECK(response.header("Connection") == "close");
        CHECK(response.version() == discovery.version() + (i % 2) * 7);
    }
    CHECK(distributor.exitCode() == 0);
}

// Guards against a malformed, endless or pipelined request that stops the program or blocks its
// connection.
TEST_CASE("Answers invalid requests with an error or closes the connection, and handles pipelining") {
    Discovery discovery;
    discovery.set(serverEntry("s0"));
    const DistributorProcess distributor("d1", {discovery.address()});
    CHECK(distributor.get("/").status == 404);
    CHECK(distributor.get("/api/targets?after=x").status == 400);
    Socket malformed = distributor.reader();
    malformed.send("nonsense\r\n\r\n");
    CHECK(malformed.isClosedByPeer());
    Socket endless = distributor.reader();
    const std::string header = "X-A: " + std::string(1'000, 'x') + "\r\n";
    endless.send("GET /api/targets HTTP/1.1\r\n");
    for (int i = 0; i < 1'000; ++i) endless.sendWithoutBlocking(header);
    CHECK(endless.isClosedByPeer());
    // Several requests in one segment, the last one split, are answered in order.
    Socket pipelined = distributor.reader();
    pipelined.send(request("/api/targets") + request(afterTarget(discovery.version(), 100)) + "GET /sta");
    usleep(50'000);
    pipelined.send("tus HTTP/1.1\r\nHost: d\r\n\r\n");
    CHECK(readHttpResponse(pipelined).list()["full"] == true);
    CHECK(readHttpResponse(pipelined).list()["full"] == false);
    CHECK(readHttpResponse(pipelined).list()["name"] == "d1");
}

namespace {

struct CommandResult {
    int exitCode = -1;
    std::string output;  // stdout and stderr
};

CommandResult run(const std::string& command) {
    FILE* const pipe = popen((command + " 2>&1").c_str(), "r");
    std::string text;
    std::array<char, 4096> buffer{};
    while (pipe && fgets(buffer.data(), buffer.size(), pipe)) text += buffer.data();
    const int status = pclose(pipe);
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, text};
}

}  // namespace

TEST_CASE("Reports all problems of a settings file at once, with file, line and key") {
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
    CHECK(run(command).exitCode == 1);
    std::filesystem::remove(file);
    CHECK(run(command).exitCode == 1);
}

TEST_CASE("`poppyctl distributor` prints the status as a table or as JSON") {
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
    CHECK(run(command + "127.0.0.1:1").exitCode == 3);
    CHECK(run(command + "nowhere").exitCode == 3);
}
