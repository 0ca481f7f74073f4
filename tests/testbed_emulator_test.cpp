// Tests of the testbed's emulated servers, scenarios, audit and simulated runs, without sockets or
// a clock.
#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "protocol/startup_config.hpp"
#include "testbed/audit/slow_start_load.hpp"
#include "testbed/drivers/simulated/simulated_run.hpp"
#include "testbed/emulator/scenario.hpp"
#include "testbed/emulator/server_model.hpp"
#include "testbed/report/verdict.hpp"

using namespace poppyscale;
using namespace poppyscale::testbed;

namespace {

constexpr Nanos ms = kMillisecond;

std::string readFile(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string calmScenarioText() { return readFile(SCENARIOS "/calm.toml"); }

// The error of the calm scenario with `from` replaced by `to`; empty if there is none.
std::string scenarioError(const std::string& from, const std::string& to) {
    std::string text = calmScenarioText();
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    text.replace(at, from.size(), to);
    try {
        parseScenario(text, "day.toml");
    } catch (const ScenarioError& problem) {
        return problem.what();
    }
    return "";
}

Scenario calmScenario() { return parseScenario(calmScenarioText(), "calm.toml"); }

std::vector<std::string> verdictOf(const Scenario& scenario, std::uint64_t seed) {
    Verdict verdict;
    EventLog eventLog;
    verdict.observe(eventLog);
    runSimulation(scenario, seed, eventLog);
    return verdict.brokenRules();
}

// An event log written by hand for the audit: one router, an origin, two cache servers, and one
// request class of each idempotency.
struct RunFixture {
    RunFixture() {
        nlohmann::json requestClasses = nlohmann::json::array();
        const char* const names[] = {"read", "upload", "payout"};
        for (int i = 0; i < 3; ++i)
            requestClasses.push_back(
                {{"name", names[i]}, {"effect", i}, {"group", i == 1 ? 1 : 0}, {"remembered", 1'000 * ms}});
        audit = std::make_unique<Audit>(nlohmann::json{{"slack", 50 * ms},
                                                       {"grace", 500 * ms},
                                                       {"cold", {{"span", 1'000 * ms}, {"ramp", 5'000 * ms}}},
                                                       {"verbs", requestClasses}});
        addEvent(0, EventKind::serverAdded, 0, 0, 0, 0, "origin north 0 origin 8");
        addEvent(0, EventKind::serverAdded, 0, 1, 0, 0, "cache-0 north 0 cache 4");
        addEvent(0, EventKind::serverAdded, 0, 2, 0, 0, "cache-1 south 0 cache 4");
        addEvent(0, EventKind::up, 0, -1, 0, 0, "");
    }
    void addEvent(Nanos at, EventKind kind, std::uint64_t requestId, int server, std::uint64_t attemptId,
                  std::int64_t number, const std::string& text) {
        audit->onEvent({at, kind, requestId, 0, server, attemptId, number, text});
    }
    void asked(Nanos at, std::uint64_t requestId, const char* requestClass) {
        addEvent(at, EventKind::requestSent, requestId, -1, 0, at + 1'000 * ms,
                 std::string(requestClass) + " alder k1 1 1");
    }
    void sent(Nanos at, std::uint64_t requestId, int server, std::uint64_t attemptId, Nanos work = ms,
              const std::string& forwarded = "") {
        addEvent(at, EventKind::attemptSent, requestId, server, attemptId, work, forwarded);
    }
    void ended(Nanos at, std::uint64_t requestId, int server, std::uint64_t attemptId, const char* reply) {
        addEvent(at, EventKind::attemptEnded, requestId, server, attemptId, 0, reply);
    }
    std::string violatedRules() {
        std::string rules;
        for (const Violation& violation : audit->finish())
            rules += (rules.empty() ? "" : " ") + violation.rule;
        return rules;
    }
    std::unique_ptr<Audit> audit;
};

}  // namespace

TEST_CASE("A server runs as many jobs at once as it has cores and is full when its queue is") {
    ServerModel model({2, 0.5, 1, 0});
    for (std::uint64_t job : {1, 2}) model.enqueue(job, 10e6);
    const auto first = model.startJobs(0, 1);
    REQUIRE(first.size() == 2);
    CHECK(first[0].until == 20 * ms);  // 10 ms of work at half the speed
    model.enqueue(3, 10e6);
    CHECK(model.startJobs(0, 1).empty());
    CHECK(model.isFull());
    model.onJobEnded();
    const auto next = model.startJobs(20 * ms, 0.5);  // a cold server, at half the pace
    REQUIRE(next.size() == 1);
    CHECK(next[0].until == 60 * ms);
    CHECK_FALSE(model.removeQueued(3));  // the job runs already
    model.enqueue(4, 10e6);
    CHECK(model.removeQueued(4));
    model.addHandshakeWork(5e6);  // a handshake's work is added to the next job that starts
    model.onJobEnded();
    model.enqueue(5, 10e6);
    CHECK(model.startJobs(0, 1).at(0).until == 30 * ms);
}

TEST_CASE("The origin takes longer for a request the fuller its queue is") {
    ServerModel model({1, 1, 4, 0.5});
    for (std::uint64_t job : {1, 2, 3}) model.enqueue(job, 10e6);
    // Two of the four places in the queue are taken, so the job takes half of 0.5 longer.
    CHECK(model.startJobs(0, 1).at(0).until == 10 * ms + 2'500'000);
}

TEST_CASE("A cold server's capacity grows to all of it, and recent work is summed over a sliding window") {
    CHECK(capacityFractionAt(0, 0, 0.2, 1'000 * ms) == 1);
    CHECK(capacityFractionAt(100 * ms, 100 * ms, 0.2, 1'000 * ms) == doctest::Approx(0.2));
    CHECK(capacityFractionAt(600 * ms, 100 * ms, 0.2, 1'000 * ms) == doctest::Approx(0.6));
    CHECK(capacityFractionAt(9'000 * ms, 100 * ms, 0.2, 1'000 * ms) == 1);
    WorkWindow window(1'000 * ms);
    window.add(0, 5);
    window.add(900 * ms, 7);
    CHECK(window.sum(950 * ms) == 12);
    CHECK(window.sum(1'000 * ms) == 7);
    CHECK(window.sum(3'000 * ms) == 0);
}

TEST_CASE("A cache server evicts the least recently used key, and idempotency keys expire") {
    CacheContents contents(2);
    contents.insert("a");
    contents.insert("b");
    CHECK(contents.touch("a"));
    contents.insert("c");
    CHECK_FALSE(contents.touch("b"));
    CHECK(contents.touch("a"));
    contents.erase("a");
    CHECK_FALSE(contents.touch("a"));
    CHECK(contents.size() == 1);
    IdempotencyRecords records;
    CHECK(records.recordIfNew(0, "m", 100));
    CHECK_FALSE(records.recordIfNew(99, "m", 199));
    CHECK(records.recordIfNew(100, "m", 200));
}

TEST_CASE("Every problem of a malformed scenario is reported with file, line and key") {
    // All problems are reported, not only the first.
    CHECK(
        scenarioError("count = 3", "cuont = 3") ==
        "day.toml:5: routers.count: is missing\nday.toml:6: routers.cuont: is not a key that is known here");
    CHECK(scenarioError("cores = 5", "cores = 5\nspede = 1") ==
          "day.toml:15: caches[0].spede: is not a key that is known here");
    CHECK(scenarioError("count = 12", "count = \"twelve\"") ==
          "day.toml:13: caches[0].count: is not a whole number: found 'twelve'");
    CHECK(scenarioError("count = 12", "count = 500")
              .starts_with("day.toml:13: caches[0].count: is not from 1 to 200"));
    CHECK(scenarioError("swing = 0.25", "swing = 1.25")
              .starts_with("day.toml:30: load.swing: is not from 0 to 1"));
    CHECK(scenarioError("effect = \"pure\"", "effect = \"safe\"")
              .find("verbs[0].effect: 'safe' is none of pure") != std::string::npos);
    CHECK(scenarioError("goal_ms = 500", "goal_ms = 5000").find("verbs[0].goal_ms") != std::string::npos);
    CHECK(scenarioError("[network]", "[network").starts_with("day.toml:"));
    CHECK(scenarioError("name = \"payout\"", "name = \"read\"")
              .find("verbs[2].name: 'read' is the name of another [[verbs]] entry") != std::string::npos);
    const auto fault = [](const std::string& lines) {
        return scenarioError("[holds]", "[[faults]]\n" + lines + "\n[holds]");
    };
    CHECK(fault("kind = \"crush\"\nat_ms = 1").find("faults[0].kind: 'crush' is none of crash") !=
          std::string::npos);
    CHECK(fault("kind = \"cut\"\nat_ms = 1\nzone = \"east\"").find("faults[0].zone: 'east' is not a zone") !=
          std::string::npos);
    CHECK(fault("kind = \"crash\"\nat_ms = 19000\nfor_ms = 2000")
              .find("faults[0].at_ms: the fault ends at 21000 ms, after the scenario's end at 20000 ms") !=
          std::string::npos);
    CHECK(fault("kind = \"crash\"\nat_ms = 1\ncount = 13").find("faults[0].count: is not from 1 to 12") !=
          std::string::npos);
    CHECK(fault("kind = \"spoil\"\nat_ms = 1\nby = nan").find("faults[0].by: is not a number") !=
          std::string::npos);
    CHECK(scenarioError("[holds]", "[holds]") == "");
}

// Guards against a setting that one driver passes to the router and the other does not: simulated
// and live runs of a scenario would then test different routers.
TEST_CASE("The program's configuration yields the same policy settings as the simulated driver uses") {
    const Scenario scenario = calmScenario();
    const auto json = configurationOf(scenario, {0, "r0", "127.0.0.1:1", "127.0.0.1:2"}, 77,
                                      {{"version", 1}, {"full", true}, {"servers", nlohmann::json::array()}});
    CHECK(protocol::readStartupConfig(json.dump()).policy == policySettingsOf(scenario, 0, 77));
}

TEST_CASE("Routers with nominal and with load-following cache weights share caches without a violation") {
    Scenario scenario = calmScenario();
    scenario.routers.count = 6;
    scenario.routers.loadWeightedCount = 3;
    CHECK_FALSE(policySettingsOf(scenario, 2, 1).weightsFollowLoad);
    CHECK(policySettingsOf(scenario, 3, 1).weightsFollowLoad);
    CHECK(verdictOf(parseScenario(readFile(SCENARIOS "/move.toml"), "move.toml"), 5).empty());
}

TEST_CASE("Equal seeds give event logs that are equal byte for byte, other seeds give others") {
    Scenario scenario = calmScenario();
    scenario.length = 3'000 * ms;
    FaultPlan crash;
    crash.at = 500 * ms;
    crash.length = 1'000 * ms;
    crash.count = 3;
    scenario.faults = {crash};
    const auto folder = std::filesystem::temp_directory_path();
    const auto runLogOf = [&](std::uint64_t seed, const char* name) {
        const std::string path = folder / name;
        {
            EventLog eventLog(path);
            runSimulation(scenario, seed, eventLog);
        }
        std::string text = readFile(path);
        std::filesystem::remove(path);
        return text;
    };
    const std::string first = runLogOf(5, "poppyscale_testbed-a.tsv");
    CHECK(first.size() > 10'000);
    CHECK(first == runLogOf(5, "poppyscale_testbed-b.tsv"));
    CHECK(first != runLogOf(6, "poppyscale_testbed-c.tsv"));
}

// Guards against false alarms of the audit.
TEST_CASE("No rule is violated on twenty seeds without faults and twenty with crashes") {
    Scenario scenario = calmScenario();
    scenario.length = 4'000 * ms;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        CHECK(verdictOf(scenario, seed) == std::vector<std::string>{});
    FaultPlan crash;
    crash.at = 1'000 * ms;
    crash.length = 1'500 * ms;
    crash.count = 2;
    scenario.faults = {crash};
    scenario.bounds = {};
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        CHECK(verdictOf(scenario, seed) == std::vector<std::string>{});
}

TEST_CASE("The audit reports `lost` for a request without a final response in time, or with two") {
    RunFixture run;
    run.asked(0, 1, "read");
    run.addEvent(1'060 * ms, EventKind::unanswered, 1, -1, 0, 0, "");
    run.asked(0, 2, "read");
    run.addEvent(5 * ms, EventKind::rejected, 2, -1, 0, 0, "");
    run.addEvent(6 * ms, EventKind::failed, 2, -1, 0, 0, "");
    run.asked(0, 3, "read");
    run.addEvent(5 * ms, EventKind::unsent, 3, -1, 0, 0, "");
    CHECK(run.violatedRules() == "lost lost lost");
    RunFixture gone;  // the router was killed by the testbed
    gone.asked(0, 1, "read");
    gone.addEvent(5 * ms, EventKind::killed, 0, -1, 0, 0, "asked");
    gone.addEvent(6 * ms, EventKind::unsent, 1, -1, 0, 0, "");
    CHECK(gone.violatedRules() == "");
    RunFixture crashed;
    crashed.addEvent(5 * ms, EventKind::killed, 0, -1, 0, 0, "by itself");
    CHECK(crashed.violatedRules() == "crash");
}

// Guards against a false alarm: the client of a request to a router that is down learns of the
// failure only after one network delay, by which time the router may be up again.
TEST_CASE(
    "A request to a router that is down is not `lost`, though its failure is seen after the router is back") {
    for (const Nanos asked : {1'499 * ms, 1'501 * ms}) {
        RunFixture run;
        run.addEvent(1'000 * ms, EventKind::killed, 0, -1, 0, 0, "");
        if (asked < 1'500 * ms) run.asked(asked, 1, "payout");
        run.addEvent(1'500 * ms, EventKind::up, 0, -1, 0, 0, "north");
        if (asked > 1'500 * ms) run.asked(asked, 1, "payout");
        run.addEvent(1'502 * ms, EventKind::unsent, 1, -1, 0, 0, "");
        CHECK(run.violatedRules() == (asked < 1'500 * ms ? "" : "lost"));
    }
}

TEST_CASE("Attempts sent over 0.3 s after their client disconnected count towards the bound sent_on") {
    nlohmann::json head{{"verbs", {{{"name", "read"}, {"goal", 500 * ms}, {"late", 0.0}, {"utility", 1.0}}}},
                        {"routers", 1},
                        {"length", 1'000 * ms},
                        {"bounds", {{"sent_on", 0.3}}}};
    Figures figures(head);
    const auto addEvent = [&](Nanos at, EventKind kind, std::uint64_t command, const std::string& text = "") {
        figures.onEvent({at, kind, command, 0, 0, 0, 0, text});
    };
    addEvent(0, EventKind::serverAdded, 0, "origin north 0 origin 8");
    for (std::uint64_t c = 1; c <= 4; ++c) addEvent(0, EventKind::requestSent, c, "read alder k1 1 1");
    addEvent(50 * ms, EventKind::attemptSent, 3);
    for (std::uint64_t c = 1; c <= 4; ++c) addEvent(100 * ms, EventKind::clientDisconnected, c);
    // This attempt does not count: it is within the 0.3 s in which it may already be on its way.
    addEvent(350 * ms, EventKind::attemptSent, 2);
    addEvent(500 * ms, EventKind::attemptSent, 1);
    addEvent(900 * ms, EventKind::attemptSent, 3);  // not the first attempt, so it does not count
    figures.finish();
    CHECK(figures.valueOf("left_waiting") == 3);
    CHECK(figures.valueOf("sent_on") == doctest::Approx(1.0 / 3));
    CHECK(figures.unmetBounds() == std::vector<std::string>{"bound-sent_on"});
}

TEST_CASE("The audit reports `twice` when an attempt may take effect again") {
    RunFixture payout;  // sent again after an error, though it may have run
    payout.asked(0, 1, "payout");
    payout.sent(1 * ms, 1, 1, 11);
    payout.ended(5 * ms, 1, 1, 11, "error ");
    payout.sent(6 * ms, 1, 2, 12);
    payout.ended(9 * ms, 1, 2, 12, "value v12");
    CHECK(payout.violatedRules() == "twice");
    RunFixture busy;  // busy proves that it did not run
    busy.asked(0, 1, "payout");
    busy.sent(1 * ms, 1, 1, 11);
    busy.ended(5 * ms, 1, 1, 11, "busy ");
    busy.sent(6 * ms, 1, 2, 12);
    busy.ended(9 * ms, 1, 2, 12, "value v12");
    busy.addEvent(9 * ms, EventKind::answered, 1, -1, 0, 0, "v12");
    CHECK(busy.violatedRules() == "");
    RunFixture declined;
    declined.asked(0, 1, "payout");
    declined.sent(1 * ms, 1, 1, 11);
    declined.addEvent(3 * ms, EventKind::closed, 1, 1, 11, 0, "");
    declined.addEvent(4 * ms, EventKind::rejected, 1, -1, 0, 0, "");
    CHECK(declined.violatedRules() == "twice");
    // The deduplication scope is the zone: the other zone does not know the idempotency key.
    RunFixture upload;
    upload.asked(0, 1, "upload");
    upload.sent(1 * ms, 1, 1, 11);
    upload.addEvent(3 * ms, EventKind::closed, 1, 1, 11, 0, "");
    upload.sent(4 * ms, 1, 0, 12);
    upload.addEvent(6 * ms, EventKind::closed, 1, 0, 12, 0, "");
    upload.sent(7 * ms, 1, 2, 13);
    upload.ended(9 * ms, 1, 2, 13, "value v13");
    CHECK(upload.violatedRules() == "twice");
    RunFixture late;  // the key's time to live is over
    late.asked(0, 1, "upload");
    late.sent(1 * ms, 1, 1, 11);
    late.addEvent(3 * ms, EventKind::closed, 1, 1, 11, 0, "");
    late.sent(1'002 * ms, 1, 0, 12);
    late.ended(1'003 * ms, 1, 0, 12, "value v12");
    CHECK(late.violatedRules() == "twice");
    RunFixture both;
    both.asked(0, 1, "read");
    both.sent(1 * ms, 1, 1, 11);
    both.sent(2 * ms, 1, 2, 12);
    both.ended(9 * ms, 1, 1, 11, "value v11");
    both.ended(9 * ms, 1, 2, 12, "value v12");
    CHECK(both.violatedRules() == "twice");
}

TEST_CASE("The audit reports `foreign` for an answer that no server gave for that request") {
    RunFixture run;
    run.asked(0, 1, "read");
    run.asked(0, 2, "read");
    run.sent(1 * ms, 1, 1, 11);
    run.ended(5 * ms, 1, 1, 11, "value v11");
    run.addEvent(6 * ms, EventKind::answered, 2, -1, 0, 0, "v11");
    run.addEvent(6 * ms, EventKind::answered, 1, -1, 0, 0, "v11");
    CHECK(run.violatedRules() == "foreign");
}

TEST_CASE("The audit reports `drain` for an attempt at a draining cache server after the drain grace") {
    RunFixture run;
    run.addEvent(0, EventKind::listed, 0, 1, 0, 0, "draining");
    run.asked(490 * ms, 1, "read");
    run.sent(499 * ms, 1, 1, 11);
    run.ended(500 * ms, 1, 1, 11, "miss ");
    CHECK(run.violatedRules() == "");
    run.sent(501 * ms, 1, 1, 12);
    run.ended(502 * ms, 1, 1, 12, "value v12");
    CHECK(run.violatedRules() == "drain");
}

TEST_CASE("The audit reports `time` when an attempt forwards over 150 ms more than is left") {
    // The violations for an attempt 500 ms before its client's deadline that forwards `d` ms, and
    // may have waited `held` ms before it was read.
    const auto violationsOf = [](int server, const std::string& forwarded) {
        RunFixture run;
        run.asked(0, 1, "read");
        run.sent(500 * ms, 1, server, 11, ms, forwarded);
        run.ended(510 * ms, 1, server, 11, "value v11");
        return run.violatedRules();
    };
    for (const int server : {0, 1}) {
        CHECK(violationsOf(server, "d=500 held=0") == "");
        CHECK(violationsOf(server, "d=650 held=0") == "");
        CHECK(violationsOf(server, "d=651 held=0") == "time");
        CHECK(violationsOf(server, "d=9223372036854775807 held=0") == "time");
        CHECK(violationsOf(server, "") == "");  // no timeout was forwarded
        CHECK(violationsOf(server, "d=750 held=100") == "");
        CHECK(violationsOf(server, "d=751 held=100") == "time");
    }
}

// Guards against blaming routers for a clock that runs at another rate or stands still in suspend.
// A crash excuses nothing: both attempts are then reported.
TEST_CASE("The audit excuses wrong forwarded timeouts while a machine's clock runs wrong") {
    for (const std::string fault : {"clock_rate", "machine_sleep", "crash"}) {
        nlohmann::json head{{"slack", 50 * ms},
                            {"grace", 500 * ms},
                            {"machines", 1},
                            {"longest", 1'000 * ms},
                            {"cold", {{"span", 1'000 * ms}, {"ramp", 5'000 * ms}}},
                            {"verbs", {{{"name", "read"}, {"effect", 0}, {"group", 0}, {"remembered", 0}}}}};
        Audit audit(head);
        const auto addEvent = [&](Nanos at, EventKind kind, std::uint64_t command, std::int64_t number,
                                  const std::string& text) {
            audit.onEvent({at, kind, command, 0, 0, command, number, text});
        };
        addEvent(0, EventKind::serverAdded, 0, 0, "origin north 0 origin 8");
        addEvent(100 * ms, EventKind::fault, 0, 0, "begins " + fault + " ");
        addEvent(200 * ms, EventKind::fault, 0, 0, "ends " + fault + " ");
        for (const Nanos asked : {50 * ms, 2'000 * ms}) {
            const auto command = static_cast<std::uint64_t>(asked);
            addEvent(asked, EventKind::requestSent, command, asked + 1'000 * ms, "read alder k1 1 1");
            addEvent(asked + 500 * ms, EventKind::attemptSent, command, ms, "d=1000 held=0");
            addEvent(asked + 510 * ms, EventKind::attemptEnded, command, 0, "value v1");
        }
        std::string violations;
        for (const Violation& violation : audit.finish()) violations += " " + violation.rule;
        CHECK(violations == (fault == "crash" ? " time time" : " time"));
    }
}

TEST_CASE(
    "Work at a cold cache server is summed over the routers that know its start, and compared with the "
    "allowance") {
    // The capacity is 4, of which a cold server has half. With an overload multiple of 2 and a
    // window of 1 s it may get 4 s of work.
    nlohmann::json head{
        {"cold", {{"share", 0.5}, {"ramp", 1'000'000 * ms}, {"tip", 2.0}, {"span", 1'000 * ms}}}};
    SlowStartLoad load(head);
    const auto addEvent = [&](Nanos at, EventKind kind, int router, int server, std::int64_t number,
                              const std::string& text) {
        load.onEvent({at, kind, 0, router, server, 0, number, text});
    };
    const auto sent = [&](Nanos at, int router, int server) {
        addEvent(at, EventKind::attemptSent, router, server, 40 * ms, "");
    };
    addEvent(0, EventKind::serverAdded, -1, 0, 0, "origin north 0 origin 8");
    addEvent(0, EventKind::serverAdded, -1, 1, 0, "cache-0 north 0 cache 4");
    sent(1 * ms, 0, 1);  // the server is warm
    CHECK(load.coldStarts() == 0);
    CHECK(load.largestExcess() == 0);
    addEvent(5 * ms, EventKind::started, -1, 1, 5 * ms, "");
    sent(6 * ms, 0, 1);  // the router does not know the start yet
    for (const int router : {0, 1, 2}) addEvent(7 * ms, EventKind::listed, router, 1, 5 * ms, "ready");
    for (int i = 0; i < 60; ++i) sent((10 + i) * ms, i % 3, 1);
    for (int i = 0; i < 60; ++i) sent((10 + i) * ms, i % 3, 0);  // the origin is never cold
    CHECK(load.coldStarts() == 1);
    CHECK(load.shareBeforeNotification() == doctest::Approx(1.0 / 61));
    CHECK(load.largest().sent == doctest::Approx(60));
    CHECK(load.largest().allowed == doctest::Approx(100).epsilon(0.01));
    CHECK(load.largestExcess() < 0);
    // That makes 122 in a window, which is 2 * sqrt(100) + 2 more than 100.
    for (int i = 0; i < 62; ++i) sent(500 * ms, i % 3, 1);
    CHECK(load.largest().sent == doctest::Approx(122));
    CHECK(load.largestExcess() == doctest::Approx(1).epsilon(0.01));
    sent(2'000 * ms, 0, 1);  // the others are older than the window
    CHECK(load.largest().sent == doctest::Approx(122));
    addEvent(2'001 * ms, EventKind::serverOverloaded, -1, 1, 0, "");
    addEvent(2'002 * ms, EventKind::serverOverloaded, -1, 0, 0, "");
    CHECK(load.overloadStops() == 1);
    addEvent(2'003 * ms, EventKind::killed, 0, -1, 0, "asked");
    sent(2'004 * ms, 0, 1);  // the router's next process knows no start yet
    CHECK(load.shareBeforeNotification() == doctest::Approx(2.0 / 125));
}

TEST_CASE(
    "Thirty routers keep a cold cache server's bounds by sharing its budget, not with a whole budget each") {
    const Scenario scenario = parseScenario(readFile(SCENARIOS "/cold-thirty.toml"), "cold-thirty.toml");
    const auto run = [&](const SimulatedRunOptions& options) {
        Verdict verdict;
        EventLog eventLog;
        verdict.observe(eventLog);
        runSimulation(scenario, 1, eventLog, options);
        return verdict.brokenRules();
    };
    CHECK(run({}).empty());
    SimulatedRunOptions wholeBudget;
    wholeBudget.misconfigure = [](PolicySettings& settings) {
        settings.overloadMultiple *= settings.routerCount;
    };
    const auto violations = run(wholeBudget);
    for (const char* bound : {"bound-cold_load", "bound-cold_excess"})
        CHECK(std::find(violations.begin(), violations.end(), bound) != violations.end());
}

// The stop of a cold cache server counts when two thirds of its recent work came from routers that
// knew its start.
TEST_CASE("The audit reports `cold` when a cold cache server is overloaded by routers that know its start") {
    for (const bool isKnown : {true, false}) {
        RunFixture run;
        run.addEvent(0, EventKind::started, 0, 1, 0, 7, "");
        if (isKnown) run.addEvent(0, EventKind::listed, 0, 1, 0, 7, "ready");
        run.asked(0, 1, "read");
        run.sent(1 * ms, 1, 1, 11, 900 * ms);
        run.ended(2 * ms, 1, 1, 11, "miss ");
        run.addEvent(3 * ms, EventKind::serverOverloaded, 0, 1, 0, 0, "");
        CHECK(run.violatedRules() == (isKnown ? "cold" : ""));
    }
}

// Each check of late and slow replies has to be able to fail, and to pass where the rules allow it.
TEST_CASE("The audit judges replies that arrive late or slowly") {
    const auto rulesOfReply = [](const std::string& reply, const auto& events) {
        RunFixture fixture;
        fixture.asked(0, 1, "read");
        fixture.sent(10 * ms, 1, 1, 1);
        fixture.addEvent(20 * ms, EventKind::slowReplyBegun, 1, 1, 0, 0, reply);
        events(fixture);
        return fixture.violatedRules();
    };
    const auto rulesOf = [&](const auto& events) {
        return rulesOfReply("pause=900 length=150000 rate=9 stop=0", events);
    };
    const auto rulesOfShort = [&](const auto& events) {
        return rulesOfReply("pause=900 length=60000 rate=9 stop=0", events);
    };
    const auto add = [](RunFixture& fixture, Nanos at, EventKind kind, std::int64_t number = 0,
                        const std::string& text = "") {
        fixture.addEvent(at, kind, 1, kind == EventKind::slowReplyCut ? 1 : -1, 0, number, text);
    };
    CHECK(rulesOf([&](auto& fixture) {  // refused with time left
              add(fixture, 300 * ms, EventKind::slowReplyCut, 0, "closed");
              add(fixture, 300 * ms, EventKind::rejected);
          }) == "cut");
    CHECK(rulesOf([&](auto& fixture) {  // refused although a part of a long value had come
              add(fixture, 1'005 * ms, EventKind::slowReplyCut, 5'000, "closed");
              add(fixture, 1'005 * ms, EventKind::failed);
          }) == "cut");
    CHECK(rulesOf([&](auto& fixture) {  // nothing but the head came until the deadline
              add(fixture, 1'005 * ms, EventKind::slowReplyCut, 0, "closed");
              add(fixture, 1'005 * ms, EventKind::rejected);
          }) == "");
    CHECK(rulesOfShort([&](auto& fixture) {  // a short value is refused at the deadline
              add(fixture, 1'005 * ms, EventKind::slowReplyCut, 5'000, "closed");
              add(fixture, 1'005 * ms, EventKind::rejected);
          }) == "");
    CHECK(rulesOfShort([&](auto& fixture) {  // and before it
              add(fixture, 990 * ms, EventKind::slowReplyCut, 5'000, "closed");
              add(fixture, 990 * ms, EventKind::rejected);
          }) == "cut");
    CHECK(rulesOfShort([&](auto& fixture) { add(fixture, 1'051 * ms, EventKind::failed); }) == "lost");
    CHECK(rulesOf([&](auto& fixture) {  // passed on in time, complete later
              add(fixture, 1'005 * ms, EventKind::responseBegun);
              add(fixture, 4'000 * ms, EventKind::failed);
          }) == "");
    CHECK(rulesOfReply("pause=0 length=150000 rate=0 stop=3", [&](auto& fixture) {  // its server stopped
              add(fixture, 900 * ms, EventKind::responseBegun);
              add(fixture, 1'500 * ms, EventKind::unsent, 0, "broken");
          }) == "");
    for (const bool isHeldUp : {true, false}) {  // a router that is held up may be late by that time
        const std::string fault = isHeldUp ? "begins hold_up " : "begins slow ";
        const auto rulesAt = [&](Nanos at, Nanos cutAt) {
            return rulesOfShort([&](auto& fixture) {
                add(fixture, 0, EventKind::fault, 0, fault);
                add(fixture, cutAt, EventKind::slowReplyCut, 5'000, "closed");
                add(fixture, at, EventKind::rejected);
            });
        };
        CHECK(rulesAt(1'165 * ms, 1'005 * ms) == (isHeldUp ? "" : "lost"));
        CHECK(rulesAt(1'175 * ms, 1'005 * ms) == "lost");
    }
    CHECK(rulesOf([&](auto& fixture) {  // broke off with its server
              add(fixture, 900 * ms, EventKind::responseBegun);
              add(fixture, 1'500 * ms, EventKind::slowReplyCut, 50, "broken");
              add(fixture, 1'500 * ms, EventKind::unsent, 0, "broken");
          }) == "");
    CHECK(rulesOf([&](auto& fixture) {  // broke off by itself
              add(fixture, 900 * ms, EventKind::responseBegun);
              add(fixture, 1'500 * ms, EventKind::unsent, 0, "broken");
          }) == "lost");
    CHECK(rulesOf([&](auto& fixture) {  // a router that stops closes a connection with a request on it
              add(fixture, 100 * ms, EventKind::stopping);
              add(fixture, 400 * ms, EventKind::unsent, 0, "broken");
          }) == "lost");
}
