// The testbed as a program: days on real sockets, routers that break a rule, and what it says of bad use.
#include <doctest/doctest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "testbed/drivers/live/http_request.hpp"
#include "testbed/report/experiment.hpp"

namespace {

struct Said {
    int code = -1;
    std::string text;
    std::string last;
};

Said call(const std::string& arguments) {
    Said said;
    FILE* const pipe =
        popen((std::string(POPPYSCALE_TESTBED_PROGRAM " ") + arguments + " 2>&1").c_str(), "r");
    std::array<char, 4096> buffer{};
    while (const std::size_t got = std::fread(buffer.data(), 1, buffer.size(), pipe))
        said.text.append(buffer.data(), got);
    const int status = pclose(pipe);
    said.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    const auto end = said.text.find_last_not_of('\n');
    const auto begin = said.text.find_last_of('\n', end);
    said.last = said.text.substr(begin + 1, end - begin);
    return said;
}

// A day that is on. What was late beside other days, or other work of the machine, proves nothing in either
// way and is played again alone; what proves something is never played again.
class On {
  public:
    explicit On(std::string arguments)
        : arguments_(std::move(arguments)),
          said_(std::async(std::launch::async, [a = arguments_] { return call(a); })) {}
    Said over() {
        Said said = said_.get();
        for (int tries = 0; tries < 2 && said.code == 3; ++tries) said = call(arguments_);
        return said;
    }

  private:
    std::string arguments_;
    std::future<Said> said_;
};

// A testbed as a child, of which a test reads what it says while it goes on.
struct Child {
    explicit Child(const std::vector<std::string>& words) {
        int ends[2];
        REQUIRE(pipe(ends) == 0);
        pid = fork();
        if (pid == 0) {
            dup2(ends[1], 2);
            close(ends[0]);
            close(ends[1]);
            std::vector<char*> arguments{const_cast<char*>(POPPYSCALE_TESTBED_PROGRAM)};
            for (const auto& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
            arguments.push_back(nullptr);
            execv(POPPYSCALE_TESTBED_PROGRAM, arguments.data());
            _exit(127);
        }
        close(ends[1]);
        says = fdopen(ends[0], "r");
    }
    ~Child() { std::fclose(says); }
    // Until it has said that, however long its start takes; false when it ended before.
    bool hear(const std::string& words) {
        std::array<char, 4096> line{};
        while (std::fgets(line.data(), line.size(), says))
            if (std::string(line.data()).find(words) != std::string::npos) return true;
        return false;
    }
    int code() {
        while (hear("\x01")) {
        }
        int status = 0;
        waitpid(pid, &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    pid_t pid = -1;
    FILE* says = nullptr;
};

// A folder of its own, gone with the test.
struct Folder {
    Folder() {
        std::string name =
            (std::filesystem::temp_directory_path() / "poppyscale_testbed-story-XXXXXX").string();
        path = mkdtemp(name.data());
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string path;
};

// The calm day with some of its lines replaced and faults added.
std::string day(const Folder& folder, const std::string& name, int lengthMs,
                const std::vector<std::pair<std::string, std::string>>& changes, const std::string& faults) {
    std::ifstream file(SCENARIOS "/calm.toml");
    std::string text{std::istreambuf_iterator<char>(file), {}};
    text.erase(text.find("[holds]"));
    auto all = changes;
    all.push_back({"length_ms = 20000", "length_ms = " + std::to_string(lengthMs)});
    all.push_back({"per_second = 220", "per_second = 120"});
    for (const auto& [from, to] : all) {
        const auto at = text.find(from);
        REQUIRE(at != std::string::npos);
        text.replace(at, from.size(), to);
    }
    const std::string path = folder.path + "/" + name + ".toml";
    std::ofstream(path) << text << faults;
    return path;
}

const std::vector<std::pair<std::string, std::string>> kTender{
    {"[cold]", "[cold]\nshare = 0.1\ntip = 1.05\nramp_ms = 20000\nfall_ms = 1000"},
    {"count = 12", "count = 6"}};

}  // namespace

TEST_CASE("days in virtual time keep the rules and their bounds, up to hundreds of routers and caches") {
    std::vector<std::future<Said>> days;
    for (const char* name :
         {"crash", "hang", "slow", "replace", "zone-cut", "origin-stop", "discovery-down", "hot-key", "spoil",
          "drain", "router-kill", "cold-storm", "move", "many", "many-release", "many-killed"})
        days.push_back(std::async(
            std::launch::async, [name] { return call("sim " SCENARIOS "/" + std::string(name) + ".toml"); }));
    for (auto& one : days) {
        const Said said = one.get();
        CHECK_MESSAGE(said.last == "verdict: kept", said.text);
        CHECK(said.code == 0);
    }
}

TEST_CASE(
    "short days on sockets: calm, a move, caches that crash, routers that are killed and told to stop") {
    const Folder f;
    const std::string crash = "[[faults]]\nkind = \"crash\"\nat_ms = 1000\nfor_ms = 1500\ncount = 2\n";
    const std::string roll =
        "[[faults]]\nkind = \"router_kill\"\nat_ms = 500\n[[faults]]\nkind = \"reload\"\nat_ms = 300\n"
        "[[faults]]\nkind = \"router_restart\"\nat_ms = 2500\nfor_ms = 1000\n";
    // Either kind of router before the same caches, of which two drain: neither starves the other.
    const std::string move =
        "[[faults]]\nkind = \"drain\"\nat_ms = 1500\nfor_ms = 2000\ncount = 2\n[holds]\ngoal = 0.8\napart = "
        "0.1\n";
    // Connections come up after a second, and most of the clients that wait have left by then.
    const std::vector<std::pair<std::string, std::string>> lateDay{
        {"[network]", "connect_ms = 2500\nidle_ms = 400\n[network]"},
        {"share = 0.92", "share = 0.5"},
        {"share = 0.05", "share = 0.47\nwrite = false"}};
    const std::string lateFaults =
        "[[faults]]\nkind = \"late\"\nat_ms = 500\nfor_ms = 4000\ntimes = 2\ncount = 6\n"
        "[[faults]]\nkind = \"leave\"\nat_ms = 1200\nfor_ms = 4000\ntimes = 2\nby = 0.8\n"
        "[holds]\nsent_on = 0\n";
    std::vector<On> days;
    for (const auto& file :
         {day(f, "calm", 3000, {}, ""), day(f, "move", 5000, {{"count = 3", "count = 4\nmoved = 2"}}, move),
          day(f, "crash", 4000, {}, crash),
          day(f, "routers", 5000, {{"[network]", "restart_ms = 600\nnotice_ms = 400\n[network]"}}, roll),
          day(f, "late", 6000, lateDay, lateFaults)})
        days.emplace_back("run " + file + " --program " POPPYSCALE_PROGRAM " --out " + file + ".out");
    for (On& one : days) {
        const Said said = one.over();
        CHECK_MESSAGE(said.last == "verdict: kept", said.text);
        CHECK(said.code == 0);
    }
    const std::string out = f.path + "/crash.toml.out";
    CHECK(std::filesystem::file_size(out + "/report.html") > 2'000);
    std::ifstream report(out + "/report.json");
    CHECK(nlohmann::json::parse(report).at("figures").at("goal").get<double>() > 0.5);
    // Judged again from its log alone it comes to the same.
    CHECK(call("audit " + out).last == "verdict: kept");
}

TEST_CASE("each broken rule is caught on sockets, and a router that keeps all of them is let be") {
    const Folder f;
    const std::string drain = "[[faults]]\nkind = \"drain\"\nat_ms = 800\nfor_ms = 3500\ncount = 2\n";
    const std::string crash = "[[faults]]\nkind = \"crash\"\nat_ms = 300\nfor_ms = 300\ncount = 2\n";
    const std::string calm = day(f, "calm", 4500, {}, "");
    // Half of the caches answer late, a miss too: what goes on to the origin goes there long after its
    // arrival.
    const std::string slow = "[[faults]]\nkind = \"slow\"\nat_ms = 300\nfor_ms = 3500\ncount = 6\nby = 12\n";
    std::vector<std::pair<std::string, On>> days;
    const auto playDefect = [&](const std::string& defect, const std::string& rule, const std::string& file) {
        days.emplace_back(
            rule, "run " + file + " --program '" POPPYSCALE_TESTBED_PROGRAM " fault-router " + defect + "'");
    };
    const auto play = [&](const std::string& rule, const std::string& file) { playDefect(rule, rule, file); };
    for (const char* rule : {"none", "twice", "lost", "foreign", "crash"}) play(rule, calm);
    play("drain", day(f, "drain", 4500, {}, drain));
    play("cold", day(f, "cold", 6000, kTender, crash));
    const std::string slowDay = day(f, "slow", 4500, {}, slow);
    playDefect("tells-whole-time", "time", slowDay);
    play("none", slowDay);
    for (auto& [rule, one] : days) {
        const Said said = one.over();
        const bool kept = rule == "none";
        CHECK_MESSAGE(said.code == (kept ? 0 : 1), said.text);
        if (kept)
            CHECK(said.last == "verdict: kept");
        else
            CHECK_MESSAGE((said.last.starts_with("verdict: broken:") &&
                           said.last.find(" " + rule) != std::string::npos),
                          said.text);
    }
}

TEST_CASE("a scenario or a program at fault ends with 2 and says which") {
    const Folder f;
    const std::string bad = day(f, "bad", 3000, {{"zipf = 1.0", "zpif = 1.0"}}, "");
    const Said said = call("sim " + bad);
    CHECK(said.code == 2);
    CHECK(said.last == "poppyscale_testbed: " + bad + ":32: load.zpif: is not a key that is known here");
    CHECK(call("sim").code == 2);
    CHECK(call("sim /nowhere.toml").last == "poppyscale_testbed: /nowhere.toml:1: can't be read");
    const Said gone = call("run " SCENARIOS "/calm.toml --program /nowhere/router");
    CHECK(gone.code == 2);
    CHECK(gone.last.find("ended before it was ready") != std::string::npos);
    CHECK(call("audit " + f.path).code == 2);
}

TEST_CASE("a lab that was held up says that its run proves nothing") {
    const Folder f;
    const std::string file = day(f, "calm", 3000, {}, "");
    Child lab({"run", file, "--program", POPPYSCALE_PROGRAM, "--out", f.path + "/out"});
    REQUIRE(lab.hear("the load begins"));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    kill(lab.pid, SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    kill(lab.pid, SIGCONT);
    CHECK(lab.code() == 3);
}

TEST_CASE("interrupted, the lab ends what it started and nothing else") {
    const Folder f;
    const std::string file = day(f, "calm", 20000, {}, "");
    const std::string marker = f.path + "/pid";
    const std::string program = "sh -c 'echo $$ >> " + marker + "; exec " POPPYSCALE_PROGRAM "'";
    Child lab({"run", file, "--program", program, "--out", f.path + "/out"});
    REQUIRE(lab.hear("the load begins"));
    std::ifstream pids(marker);
    const std::vector<pid_t> routers(std::istream_iterator<pid_t>(pids), {});
    REQUIRE(routers.size() == 3);
    kill(lab.pid, SIGINT);
    CHECK(lab.code() == 1);
    for (const pid_t r : routers) CHECK(kill(r, 0) != 0);
}

TEST_CASE("pairs that differ by chance are told from those that don't") {
    using poppyscale::testbed::chanceOf;
    CHECK(chanceOf({1, 1, 1, 1, 1, 1}) == doctest::Approx(2.0 / 64));
    CHECK(chanceOf({1, -1, 1, -1, 1, -1}) == doctest::Approx(1));
    CHECK(chanceOf({0, 0, 0, 0}) == doctest::Approx(1));
    CHECK(chanceOf({3, 1, -2}) == doctest::Approx(0.75));  // by hand: six of the eight sums are 2 off or more
}

TEST_CASE("calls to the origin and to discovery are taken in pieces, one after the other") {
    poppyscale::testbed::HttpRequestParser call;
    using State = poppyscale::testbed::HttpRequestParser::State;
    const std::string text =
        "PUT /k1 HTTP/1.1\r\nHost: o\r\nx-call-id: 9b\r\nX-Call-Info: c=put,k=7\r\nContent-Length: "
        "3\r\n\r\nabc"
        "GET /api/targets?after=4&wait_ms=20 HTTP/1.1\r\nHost: d\r\n\r\n";
    std::string_view rest = text;
    std::string_view piece = rest.substr(0, 20);
    CHECK(call.feed(piece) == State::more);
    rest.remove_prefix(20);
    CHECK(call.feed(rest) == State::complete);
    CHECK(call.write());
    CHECK(call.path() == "/k1");
    CHECK(call.id() == "9b");
    CHECK(call.info() == "c=put,k=7");
    call.clear();
    CHECK(call.feed(rest) == State::complete);
    CHECK_FALSE(call.write());
    CHECK(call.query("after") == "4");
    CHECK(call.query("wait_ms") == "20");
    CHECK(call.query("wait") == "");
    call.clear();
    std::string_view noise = "\x01\x02 nonsense\r\n";
    CHECK(call.feed(noise) == State::malformed);
}
