// Lists of well over 1,024 servers or routers: from discovery, in files, as operators' ejections,
// and in a hot restart.
#include <doctest/doctest.h>

#include <functional>
#include <set>

#include "ctl/control_client.hpp"
#include "ctl/fleet_description.hpp"
#include "discovery/removed_endpoints.hpp"
#include "fixtures.hpp"
#include "process/operator_state.hpp"
#include "protocol/endpoint_list.hpp"
#include "rollout/rollout_plan.hpp"

using namespace poppyscale;
using namespace poppyscale::test;

namespace {

constexpr int kServers = 1'500;
constexpr int kManyServers = 3'100;
constexpr int kRouters = 350;
constexpr int kMemoryMb = 56;
constexpr int kResponseTimeoutMs = 20'000;

bool becomesTrue(const std::function<bool()>& condition) {
    for (int tries = 0; tries < 500; ++tries) {
        if (condition()) return true;
        usleep(20'000);
    }
    return false;
}

std::string serverId(const std::string& group, int number) {
    const std::string digits = std::to_string(number);
    return group + "-" + std::string(5 - digits.size(), '0') + digits + "-5be2a07c";
}

struct Folder {
    Folder() {
        char pathTemplate[] = "/tmp/poppyscale-test-XXXXXX";
        path = mkdtemp(pathTemplate) ? pathTemplate : "";
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string path;
};

// One of 350 routers, with a memory limit of 56 MB, a console and an operators' socket. The test
// emulates its discovery server.
class LargeDeployment {
  public:
    LargeDeployment() : program_(configuration().dump(), "[admin]\nsocket = \"{}/admin.sock\"\n") {
        REQUIRE(becomesTrue([&] { return askConsole("status").starts_with("ACK"); }));
    }

    // Responds to the next poll with a complete list: the origin, and `count` servers of that
    // group. Returns the list's length in bytes.
    std::size_t sendList(const std::string& group, int count) {
        // A poll that has waited for too long times out, and is repeated on another connection.
        while (pollConnection_.readHead().empty()) {
            pollConnection_ = discovery_.accept();
            REQUIRE(pollConnection_.isOpen());
        }
        nlohmann::json servers = nlohmann::json::array({entryOf("origin", origin_, "origin")});
        for (int i = 0; i < count; ++i) servers.push_back(entryOf(serverId(group, i), cache_));
        const nlohmann::json list{{"version", ++version_}, {"full", true}, {"servers", servers}};
        const std::string body = list.dump(4);
        pollConnection_.send(http(200, body));
        return body.size();
    }
    std::string askConsole(const std::string& line) const {
        return Socket(consolePort_.port).send(line + "\n").readLine("\n");
    }
    nlohmann::json askAdmin(const std::string& what) const {
        return ctl::sendRequest(program_.folder() + "/admin.sock", {{"do", what}}, kResponseTimeoutMs);
    }
    // Waits until exactly `count` servers are listed, with one of that group; false after 40
    // requests. They are 250 ms apart, as the test needs a while to read these long responses.
    bool waitForList(const std::string& group, int count) const {
        std::size_t listed = 0;
        for (int tries = 0; tries < 40; ++tries, usleep(250'000)) {
            const auto servers = askAdmin("figures").at("caches");
            listed = servers.size();
            if (listed == static_cast<std::size_t>(count) && servers.contains(serverId(group, 0)))
                return true;
        }
        MESSAGE("expected " << count << " listed servers of group " << group << ", found " << listed << "; "
                            << askAdmin("status").at("list").dump());
        return false;
    }
    int readyCaches() const {
        int count = 0;
        const auto answer = askAdmin("caches");
        for (const auto& server : answer.at("caches"))
            count += server.at("kind") == "cache" && server.at("state") == "ready";
        return count;
    }

  private:
    nlohmann::json configuration() const {
        nlohmann::json config = minimalStartConfig();
        config["limits"]["memory_mb"] = kMemoryMb;
        config["settings"]["replicasOfMe"] = kRouters;
        config["listen"] = "127.0.0.1:" + std::to_string(reservedPort_.port);
        config["console"] = "127.0.0.1:" + std::to_string(consolePort_.port);
        config["discovery"] = discovery_.address();
        config["known"] = {
            {"version", version_}, {"full", true}, {"servers", {entryOf("origin", origin_, "origin")}}};
        return config;
    }

    TestServer discovery_, origin_, cache_;
    ReservedPort reservedPort_, consolePort_;
    int version_ = 7;
    Program program_;
    Socket pollConnection_{-1};
};

// The process that listens at an operators' socket; 0 if there is none, which may be so for a moment
// during a hot restart.
pid_t pidAt(const std::string& socket) try {
    return ctl::sendRequest(socket, {{"do", "status"}}, kResponseTimeoutMs).value("pid", 0);
} catch (const ctl::Unreachable&) {
    return 0;
}

// Operator state with `count` ejected servers, each with an id of `idLength` characters.
process::OperatorState stateWithEjected(int count, std::size_t idLength) {
    process::OperatorState operatorState;
    for (int i = 0; i < count; ++i) {
        std::string id = serverId("out", i);
        id.resize(idLength, 'x');
        CHECK(operatorState.applyLine("out " + id));
    }
    return operatorState;
}

}  // namespace

// The buffers for a list, its size limit and the memory limit have to suffice for lists of this size.
TEST_CASE("one of 350 routers applies lists of 1,500 servers, 1,500 others, and 3,100, as indented JSON") {
    LargeDeployment deployment;
    CHECK(deployment.askAdmin("status")
              .at("described")
              .get<std::string>()
              .find("routers                350\n") != std::string::npos);
    deployment.sendList("first", kServers);
    REQUIRE(deployment.waitForList("first", kServers));
    deployment.sendList("second", kServers);
    REQUIRE(deployment.waitForList("second", kServers));
    const std::size_t length = deployment.sendList("third", kManyServers);
    CHECK(length > 700'000);
    REQUIRE(deployment.waitForList("third", kManyServers));
    CHECK(deployment.readyCaches() == kManyServers);
}

// The ids of removed servers are kept up to a capacity, which must not be too small for a whole
// fleet.
TEST_CASE("any of 1,500 removed servers can still be ejected, and a server that was never listed can't") {
    LargeDeployment deployment;
    deployment.sendList("first", kServers);
    REQUIRE(deployment.waitForList("first", kServers));
    deployment.sendList("second", kServers);
    REQUIRE(deployment.waitForList("second", kServers));
    for (const int number : {0, 1, kServers / 2, kServers - 1}) {
        const std::string id = serverId("first", number);
        CHECK(deployment.askConsole("maint-on " + id).starts_with("ACK"));
        CHECK(deployment.askConsole("status").find(id) != std::string::npos);
    }
    CHECK(deployment.askConsole("maint-on " + serverId("fourth", 0)).starts_with("NAK"));
}

TEST_CASE("1,500 ejected servers with ids of maximum length survive on file and in a hot restart") {
    const process::OperatorState operatorState = stateWithEjected(kServers, 256);
    REQUIRE(operatorState.ejectedServers.size() == kServers);
    Folder folder;
    const std::string path = folder.path + "/poppyscale-n0.words";
    REQUIRE_FALSE(process::OperatorStateFile(path).write(operatorState).has_value());
    process::OperatorState read;
    CHECK_FALSE(process::OperatorStateFile(path).read(read).has_value());
    CHECK(read == operatorState);

    TestServer discovery, origin, listening;
    const ReservedPort firstConsole, secondConsole;
    nlohmann::json config = minimalStartConfig();
    config["listen"] = listening.address();
    config["discovery"] = discovery.address();
    config["known"] = {{"version", 7}, {"full", true}, {"servers", {entryOf("origin", origin, "origin")}}};
    const auto start = [&](const ReservedPort& console) {
        config["console"] = "127.0.0.1:" + std::to_string(console.port);
        return std::make_unique<Program>(config.dump(), "", listening.descriptor(), folder.path);
    };
    const auto statusOf = [](const ReservedPort& console) {
        return Socket(console.port).send("status\n").readLine("\n");
    };
    const auto hasAll = [&](const ReservedPort& console) {
        return becomesTrue([&] {
            const std::string status = statusOf(console);
            return status.starts_with("ACK") &&
                   status.find(*operatorState.ejectedServers.begin()) != std::string::npos &&
                   status.find(*operatorState.ejectedServers.rbegin()) != std::string::npos &&
                   status.size() > kServers * 256;
        });
    };
    const auto first = start(firstConsole);
    REQUIRE(hasAll(firstConsole));
    // Without the file, the second process can get the state only from the first one.
    std::filesystem::remove(path);
    const auto second = start(secondConsole);
    CHECK(hasAll(secondConsole));
}

// An ejection that is dropped silently would leave the server in use.
TEST_CASE("refuses an ejection when the operator state is full, and accepts it after another one ends") {
    process::OperatorState operatorState;
    int accepted = 0;
    while (operatorState.applyLine("out " + serverId("out", accepted))) ++accepted;
    CHECK(accepted > 4'000);
    CHECK(operatorState.ejectedServers.size() == static_cast<std::size_t>(accepted));
    CHECK(operatorState.applyLine("out " + serverId("out", 0)));  // ejected already
    CHECK(operatorState.applyLine("in " + serverId("out", 0)));
    CHECK(operatorState.applyLine("out " + serverId("out", accepted)));
}

// The description of this configuration is larger than a local socket's buffer, so that it can't be
// sent at once.
TEST_CASE("a hot restart succeeds with 3,100 servers in the operator file") {
    TestServer origin, cache;
    const ReservedPort reservedPort;
    std::string file =
        "[admin]\nsocket = \"{}/admin.sock\"\n[instance]\nname = \"n0\"\nlisten = \"127.0.0.1:" +
        std::to_string(reservedPort.port) +
        "\"\n[[verbs]]\nname = \"read\"\neffect = \"pure\"\ngoal_ms = 500\nlimit_ms = 2000\n"
        "[[servers]]\nname = \"origin\"\norigin = true\naddress = \"" +
        origin.address() + "\"\n";
    for (int i = 0; i < kManyServers; ++i)
        file += "[[servers]]\nname = \"" + serverId("s", i) + "\"\naddress = \"" + cache.address() +
                "\"\nzone = \"zone-with-a-long-name\"\n";
    Program program("", file);
    const std::string socket = program.folder() + "/admin.sock";
    REQUIRE(becomesTrue([&] { return std::filesystem::exists(socket); }));
    const auto described = ctl::sendRequest(socket, {{"do", "status"}}, kResponseTimeoutMs).at("described");
    CHECK(described.get<std::string>().size() > 250'000);  // more than the buffer of a local socket
    const auto answer = ctl::sendRequest(socket, {{"do", "upgrade"}}, kResponseTimeoutMs);
    CAPTURE(answer.dump());
    REQUIRE(answer.contains("taken_over_by"));
    const pid_t newProcess = answer.at("taken_over_by");
    CHECK(becomesTrue([&] { return pidAt(socket) == newProcess; }));
    CHECK(ctl::sendRequest(socket, {{"do", "figures"}}, kResponseTimeoutMs).at("caches_listed") ==
          kManyServers);
    kill(newProcess, SIGKILL);
}

TEST_CASE("RemovedEndpoints holds ids up to its capacity in bytes, and evicts the oldest first") {
    constexpr std::size_t kCapacity = 16'000'000 / 32;  // the capacity at the lowest memory limit
    discovery::RemovedEndpoints removed(kCapacity);
    const auto longId = [](int number) { return serverId("gone", number) + std::string(237, 'x'); };
    REQUIRE(longId(0).size() >= 256);
    for (int i = 0; i < 1'024; ++i) removed.add(longId(i));
    CHECK(removed.size() == 1'024);
    removed.add(longId(0));  // removed once more
    CHECK(removed.size() == 1'024);
    for (int i = 1'024; i < 10'000; ++i) removed.add(longId(i));
    CHECK(removed.size() < kCapacity / 256);
    CHECK(removed.contains(longId(9'999)));
    CHECK(removed.contains(longId(9'999 - 1'023)));
    CHECK(!removed.contains(longId(0)));
    removed.remove(longId(9'999));
    CHECK(!removed.contains(longId(9'999)));
}

TEST_CASE("the reader of an endpoint list ignores unknown fields and rejects entries that are no objects") {
    const auto list = [](const std::string& servers) {
        return R"({"other": [[{"servers": [{}]}]], "version": 3, "full": true, "servers": )" + servers + "}";
    };
    const auto endpoints = protocol::readEndpointList(list(
        R"([{"id": "c0", "tags": [[1], {"id": "x"}], "state": "Ready", "weight": [2, [3]], "cell": 4}])"));
    REQUIRE(endpoints.entries.size() == 1);
    CHECK(endpoints.version == 3);
    CHECK(endpoints.entries[0].endpoint.name == "c0");
    CHECK(endpoints.entries[0].endpoint.cell == 4);
    CHECK(endpoints.entries[0].endpoint.weight == 0);  // an array is not a valid weight
    for (const char* malformed :
         {"[7]", "[[]]", "{\"c0\": {}}", "7", "null", "[{}]", "[{\"id\": [], \"state\": \"Ready\"}]"})
        CHECK_THROWS_AS(protocol::readEndpointList(list(malformed)), protocol::ParseError);
    CHECK(protocol::readEndpointList(list("[]")).entries.empty());
    CHECK_THROWS_AS(protocol::readEndpointList(R"({"version": 3, "full": true})"), protocol::ParseError);
    CHECK_THROWS_AS(protocol::readEndpointList(R"([{"version": 3}])"), protocol::ParseError);
}

TEST_CASE("a fleet description of 1,500 instances and a rollout plan of 1,500 at a time are accepted") {
    Folder folder;
    const std::string form = folder.path + "/form.toml", fleet = folder.path + "/fleet.toml";
    std::ofstream(form) << "# {name} {listen} {socket}\n";
    std::ofstream(fleet) << "count = 1500\nbatch = 1100\nprogram = \"/bin/true\"\nfolder = \"" << folder.path
                         << "\"\nfirst_port = 7000\noperator = \"" << form << "\"\n";
    const ctl::FleetDescription description = ctl::readFleetDescription(fleet);
    CHECK(description.supervisor.instanceCount == kServers);
    CHECK(description.supervisor.batchSize == 1'100);

    std::string plan =
        "[change]\nprogram = \"/bin/true\"\n[stage]\nbatch = 1500\n[back]\nbatch = 1500\n"
        "[[stages]]\ninstances = 1500\n";
    for (int i = 0; i < kServers; ++i)
        plan +=
            "[[agents]]\nname = \"" + serverId("m", i) + "\"\nsocket = \"/run/" + serverId("m", i) + "\"\n";
    config::ConfigProblems problems("plan.toml");
    const rollout::RolloutPlan read = rollout::readRolloutPlan(plan, "plan.toml", problems);
    CHECK(problems.none());
    CHECK(read.agents.size() == kServers);
    CHECK(read.batchSize == kServers);
    CHECK(read.rollbackBatchSize == kServers);
}
