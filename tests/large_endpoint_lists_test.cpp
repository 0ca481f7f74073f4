// Lists of servers and routers well past 1,024 entries: from discovery, in files, as bans, and handed over.
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
constexpr int kAnswerWithinMs = 20'000;

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
        char made[] = "/tmp/poppyscale-test-XXXXXX";
        path = mkdtemp(made) ? made : "";
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string path;
};

// A router of 56 MB, one of 350, with a console and an operator's socket; the test plays its discovery.
class LargeSite {
  public:
    LargeSite() : program_(configuration().dump(), "[admin]\nsocket = \"{}/admin.sock\"\n") {
        REQUIRE(becomesTrue([&] { return askConsole("status").starts_with("ACK"); }));
    }

    // Answers the next call to discovery with a whole list: the origin, and `count` servers of that group.
    std::size_t giveList(const std::string& group, int count) {
        // A call that has waited for long is given up, and comes again on another connection.
        while (discoveryLink_.head().empty()) {
            discoveryLink_ = discovery_.accept();
            REQUIRE(discoveryLink_.open());
        }
        nlohmann::json servers = nlohmann::json::array({entryOf("origin", origin_, "origin")});
        for (int i = 0; i < count; ++i) servers.push_back(entryOf(serverId(group, i), cache_));
        const nlohmann::json list{{"version", ++version_}, {"full", true}, {"servers", servers}};
        const std::string body = list.dump(4);
        discoveryLink_.say(http(200, body));
        return body.size();
    }
    std::string askConsole(const std::string& line) const {
        return Socket(console_.port).say(line + "\n").line("\n");
    }
    nlohmann::json askAdmin(const std::string& what) const {
        return ctl::sendRequest(program_.folder() + "/admin.sock", {{"do", what}}, kAnswerWithinMs);
    }
    // Whether soon exactly `count` servers are listed, all of that group. Asks rarely: such long answers take
    // the test a while to read.
    bool lists(const std::string& group, int count) const {
        std::size_t listed = 0;
        for (int tries = 0; tries < 40; ++tries, usleep(250'000)) {
            const auto servers = askAdmin("figures").at("caches");
            listed = servers.size();
            if (listed == static_cast<std::size_t>(count) && servers.contains(serverId(group, 0)))
                return true;
        }
        MESSAGE(listed << " are listed; " << askAdmin("status").at("list").dump());
        return false;
    }
    int ready() const {
        int count = 0;
        const auto answer = askAdmin("caches");
        for (const auto& server : answer.at("caches"))
            count += server.at("kind") == "cache" && server.at("state") == "ready";
        return count;
    }

  private:
    nlohmann::json configuration() const {
        nlohmann::json config = smallStart();
        config["limits"]["memory_mb"] = kMemoryMb;
        config["settings"]["replicasOfMe"] = kRouters;
        config["listen"] = "127.0.0.1:" + std::to_string(place_.port);
        config["console"] = "127.0.0.1:" + std::to_string(console_.port);
        config["discovery"] = discovery_.address();
        config["known"] = {
            {"version", version_}, {"full", true}, {"servers", {entryOf("origin", origin_, "origin")}}};
        return config;
    }

    TestServer discovery_, origin_, cache_;
    ReservedPort place_, console_;
    int version_ = 7;
    Program program_;
    Socket discoveryLink_{-1};
};

// Of the process at an operator's socket; 0 while none listens there, as between two of a hand-over.
pid_t pidAt(const std::string& socket) try {
    return ctl::sendRequest(socket, {{"do", "status"}}, kAnswerWithinMs).value("pid", 0);
} catch (const ctl::Unreachable&) {
    return 0;
}

// Operators' words with so many servers out, each id of that length.
process::OperatorState wordsOut(int count, std::size_t idLength) {
    process::OperatorState words;
    for (int i = 0; i < count; ++i) {
        std::string id = serverId("out", i);
        id.resize(idLength, 'x');
        CHECK(words.applyLine("out " + id));
    }
    return words;
}

}  // namespace

TEST_CASE("one of 350 routers takes 1,500 servers after 1,500 others, and then 3,100, as indented JSON") {
    LargeSite site;
    CHECK(site.askAdmin("status").at("described").get<std::string>().find("routers                350\n") !=
          std::string::npos);
    site.giveList("first", kServers);
    REQUIRE(site.lists("first", kServers));
    site.giveList("second", kServers);
    REQUIRE(site.lists("second", kServers));
    const std::size_t length = site.giveList("third", kManyServers);
    CHECK(length > 700'000);
    REQUIRE(site.lists("third", kManyServers));
    CHECK(site.ready() == kManyServers);
}

TEST_CASE("of 1,500 servers that are gone the first can still be banned, and one that never was can't") {
    LargeSite site;
    site.giveList("first", kServers);
    REQUIRE(site.lists("first", kServers));
    site.giveList("second", kServers);
    REQUIRE(site.lists("second", kServers));
    for (const int number : {0, 1, kServers / 2, kServers - 1}) {
        const std::string id = serverId("first", number);
        CHECK(site.askConsole("maint-on " + id).starts_with("ACK"));
        CHECK(site.askConsole("status").find(id) != std::string::npos);
    }
    CHECK(site.askConsole("maint-on " + serverId("fourth", 0)).starts_with("NAK"));
}

TEST_CASE("1,500 servers with the longest ids are out, on file and in the process that comes next") {
    const process::OperatorState words = wordsOut(kServers, 256);
    REQUIRE(words.ejectedServers.size() == kServers);
    Folder folder;
    const std::string path = folder.path + "/poppyscale-n0.words";
    REQUIRE_FALSE(process::OperatorStateFile(path).write(words).has_value());
    process::OperatorState read;
    CHECK_FALSE(process::OperatorStateFile(path).read(read).has_value());
    CHECK(read == words);

    TestServer discovery, origin, listening;
    const ReservedPort firstConsole, secondConsole;
    nlohmann::json config = smallStart();
    config["listen"] = listening.address();
    config["discovery"] = discovery.address();
    config["known"] = {{"version", 7}, {"full", true}, {"servers", {entryOf("origin", origin, "origin")}}};
    const auto start = [&](const ReservedPort& console) {
        config["console"] = "127.0.0.1:" + std::to_string(console.port);
        return std::make_unique<Program>(config.dump(), "", listening.descriptor(), folder.path);
    };
    const auto statusOf = [](const ReservedPort& console) {
        return Socket(console.port).say("status\n").line("\n");
    };
    const auto hasAll = [&](const ReservedPort& console) {
        return becomesTrue([&] {
            const std::string status = statusOf(console);
            return status.starts_with("ACK") &&
                   status.find(*words.ejectedServers.begin()) != std::string::npos &&
                   status.find(*words.ejectedServers.rbegin()) != std::string::npos &&
                   status.size() > kServers * 256;
        });
    };
    const auto first = start(firstConsole);
    REQUIRE(hasAll(firstConsole));
    // So that the second one can't have them from there.
    std::filesystem::remove(path);
    const auto second = start(secondConsole);
    CHECK(hasAll(secondConsole));
}

TEST_CASE("what operators say is refused where there is no room for it, instead of passed over") {
    process::OperatorState words;
    int taken = 0;
    while (words.applyLine("out " + serverId("out", taken))) ++taken;
    CHECK(taken > 4'000);
    CHECK(words.ejectedServers.size() == static_cast<std::size_t>(taken));
    CHECK(words.applyLine("out " + serverId("out", 0)));  // which is out already
    CHECK(words.applyLine("in " + serverId("out", 0)));
    CHECK(words.applyLine("out " + serverId("out", taken)));
}

TEST_CASE("a process that has 3,100 servers in its file hands over to another one") {
    TestServer origin, cache;
    const ReservedPort place;
    std::string file =
        "[admin]\nsocket = \"{}/admin.sock\"\n[instance]\nname = \"n0\"\nlisten = \"127.0.0.1:" +
        std::to_string(place.port) +
        "\"\n[[verbs]]\nname = \"read\"\neffect = \"pure\"\ngoal_ms = 500\nlimit_ms = 2000\n"
        "[[servers]]\nname = \"origin\"\norigin = true\naddress = \"" +
        origin.address() + "\"\n";
    for (int i = 0; i < kManyServers; ++i)
        file += "[[servers]]\nname = \"" + serverId("s", i) + "\"\naddress = \"" + cache.address() +
                "\"\nzone = \"zone-with-a-long-name\"\n";
    Program program("", file);
    const std::string socket = program.folder() + "/admin.sock";
    REQUIRE(becomesTrue([&] { return std::filesystem::exists(socket); }));
    const auto described = ctl::sendRequest(socket, {{"do", "status"}}, kAnswerWithinMs).at("described");
    CHECK(described.get<std::string>().size() > 250'000);  // more than a local socket holds at once
    const auto answer = ctl::sendRequest(socket, {{"do", "upgrade"}}, kAnswerWithinMs);
    CAPTURE(answer.dump());
    REQUIRE(answer.contains("taken_over_by"));
    const pid_t successor = answer.at("taken_over_by");
    CHECK(becomesTrue([&] { return pidAt(socket) == successor; }));
    CHECK(ctl::sendRequest(socket, {{"do", "figures"}}, kAnswerWithinMs).at("caches_listed") == kManyServers);
    kill(successor, SIGKILL);
}

TEST_CASE("servers that are gone are remembered up to a number of bytes, the latest the longest") {
    constexpr std::size_t kCapacity = 16'000'000 / 32;  // with the least memory
    discovery::RemovedEndpoints known(kCapacity);
    const auto longId = [](int number) { return serverId("gone", number) + std::string(237, 'x'); };
    REQUIRE(longId(0).size() >= 256);
    for (int i = 0; i < 1'024; ++i) known.add(longId(i));
    CHECK(known.size() == 1'024);
    known.add(longId(0));  // gone once more
    CHECK(known.size() == 1'024);
    for (int i = 1'024; i < 10'000; ++i) known.add(longId(i));
    CHECK(known.size() < kCapacity / 256);
    CHECK(known.contains(longId(9'999)));
    CHECK(known.contains(longId(9'999 - 1'023)));
    CHECK(!known.contains(longId(0)));
    known.remove(longId(9'999));
    CHECK(!known.contains(longId(9'999)));
}

TEST_CASE("a list keeps nothing of what is not asked for in it, and an entry has to be an object") {
    const auto list = [](const std::string& servers) {
        return R"({"other": [[{"servers": [{}]}]], "version": 3, "full": true, "servers": )" + servers + "}";
    };
    const auto roster = protocol::readEndpointList(list(
        R"([{"id": "c0", "tags": [[1], {"id": "x"}], "state": "Ready", "weight": [2, [3]], "cell": 4}])"));
    REQUIRE(roster.entries.size() == 1);
    CHECK(roster.version == 3);
    CHECK(roster.entries[0].endpoint.name == "c0");
    CHECK(roster.entries[0].endpoint.cell == 4);
    CHECK(roster.entries[0].endpoint.weight == 0);  // not told
    for (const char* wrong :
         {"[7]", "[[]]", "{\"c0\": {}}", "7", "null", "[{}]", "[{\"id\": [], \"state\": \"Ready\"}]"})
        CHECK_THROWS_AS(protocol::readEndpointList(list(wrong)), protocol::ParseError);
    CHECK(protocol::readEndpointList(list("[]")).entries.empty());
    CHECK_THROWS_AS(protocol::readEndpointList(R"({"version": 3, "full": true})"), protocol::ParseError);
    CHECK_THROWS_AS(protocol::readEndpointList(R"([{"version": 3}])"), protocol::ParseError);
}

TEST_CASE("an agent keeps 1,500 instances, and a rollout changes as many at a time") {
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
