// Tests of the testbed's world, its audit and its scenarios: no sockets, no clock.
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

std::string fileText(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string calmText() { return fileText(SCENARIOS "/calm.toml"); }

// What a scenario that is spoilt at one place says.
std::string complaint(const std::string& from, const std::string& to) {
    std::string text = calmText();
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

Scenario calm() { return parseScenario(calmText(), "calm.toml"); }

std::vector<std::string> verdictOf(const Scenario& scenario, std::uint64_t seed) {
    Verdict judge;
    EventLog ledger;
    judge.follow(ledger);
    simulate(scenario, seed, ledger);
    return judge.verdict();
}

// A log by hand for the audit: one router, an origin, two caches, request classes of all three effects.
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
        say(0, EventKind::server, 0, 0, 0, 0, "origin north 0 origin 8");
        say(0, EventKind::server, 0, 1, 0, 0, "cache-0 north 0 cache 4");
        say(0, EventKind::server, 0, 2, 0, 0, "cache-1 south 0 cache 4");
        say(0, EventKind::up, 0, -1, 0, 0, "");
    }
    void say(Nanos at, EventKind what, std::uint64_t command, int server, std::uint64_t run,
             std::int64_t number, const std::string& text) {
        audit->onEvent({at, what, command, 0, server, run, number, text});
    }
    void asked(Nanos at, std::uint64_t command, const char* requestClass) {
        say(at, EventKind::asked, command, -1, 0, at + 1'000 * ms,
            std::string(requestClass) + " alder k1 1 1");
    }
    void sent(Nanos at, std::uint64_t command, int server, std::uint64_t run, Nanos work = ms,
              const std::string& told = "") {
        say(at, EventKind::sent, command, server, run, work, told);
    }
    void ended(Nanos at, std::uint64_t command, int server, std::uint64_t run, const char* how) {
        say(at, EventKind::ended, command, server, run, 0, how);
    }
    std::string broken() {
        std::string all;
        for (const Violation& b : audit->finish()) all += (all.empty() ? "" : " ") + b.rule;
        return all;
    }
    std::unique_ptr<Audit> audit;
};

}  // namespace

TEST_CASE("a machine serves as many at once as it has cores, and turns away past its room") {
    ServerModel m({2, 0.5, 1, 0});
    for (std::uint64_t job : {1, 2}) m.take(job, 10e6);
    const auto first = m.begin(0, 1);
    REQUIRE(first.size() == 2);
    CHECK(first[0].until == 20 * ms);  // 10 ms of work at half the speed
    m.take(3, 10e6);
    CHECK(m.begin(0, 1).empty());
    CHECK(m.full());
    m.ended();
    const auto next = m.begin(20 * ms, 0.5);  // cold: at half the pace
    REQUIRE(next.size() == 1);
    CHECK(next[0].until == 60 * ms);
    CHECK_FALSE(m.withdraw(3));  // it runs
    m.take(4, 10e6);
    CHECK(m.withdraw(4));
    m.extra(5e6);  // a handshake is borne by what begins next
    m.ended();
    m.take(5, 10e6);
    CHECK(m.begin(0, 1).at(0).until == 30 * ms);
}

TEST_CASE("a thrashing machine takes longer the fuller its room is") {
    ServerModel m({1, 1, 4, 0.5});
    for (std::uint64_t job : {1, 2, 3}) m.take(job, 10e6);
    CHECK(m.begin(0, 1).at(0).until == 10 * ms + 2'500'000);  // two of four wait: half of half more
}

TEST_CASE("a cold machine warms from its share to all, and work is weighed over a span") {
    CHECK(paceOf(0, 0, 0.2, 1'000 * ms) == 1);
    CHECK(paceOf(100 * ms, 100 * ms, 0.2, 1'000 * ms) == doctest::Approx(0.2));
    CHECK(paceOf(600 * ms, 100 * ms, 0.2, 1'000 * ms) == doctest::Approx(0.6));
    CHECK(paceOf(9'000 * ms, 100 * ms, 0.2, 1'000 * ms) == 1);
    WorkWindow d(1'000 * ms);
    d.add(0, 5);
    d.add(900 * ms, 7);
    CHECK(d.sum(950 * ms) == 12);
    CHECK(d.sum(1'000 * ms) == 7);
    CHECK(d.sum(3'000 * ms) == 0);
}

TEST_CASE("kept keys are bounded, the one used longest ago goes, and marks are known for their time") {
    CacheContents kept(2);
    kept.put("a");
    kept.put("b");
    CHECK(kept.touch("a"));
    kept.put("c");
    CHECK_FALSE(kept.touch("b"));
    CHECK(kept.touch("a"));
    kept.drop("a");
    CHECK_FALSE(kept.touch("a"));
    CHECK(kept.size() == 1);
    IdempotencyRecords marks;
    CHECK(marks.enter(0, "m", 100));
    CHECK_FALSE(marks.enter(99, "m", 199));
    CHECK(marks.enter(100, "m", 200));
}

TEST_CASE("each malformed scenario is refused with its file, line and key") {
    // All that is wrong, not only the first.
    CHECK(
        complaint("count = 3", "cuont = 3") ==
        "day.toml:5: routers.count: is missing\nday.toml:6: routers.cuont: is not a key that is known here");
    CHECK(complaint("cores = 5", "cores = 5\nspede = 1") ==
          "day.toml:15: caches[0].spede: is not a key that is known here");
    CHECK(complaint("count = 12", "count = \"twelve\"") ==
          "day.toml:13: caches[0].count: is not a whole number: found 'twelve'");
    CHECK(complaint("count = 12", "count = 500")
              .starts_with("day.toml:13: caches[0].count: is not from 1 to 200"));
    CHECK(
        complaint("swing = 0.25", "swing = 1.25").starts_with("day.toml:30: load.swing: is not from 0 to 1"));
    CHECK(
        complaint("effect = \"pure\"", "effect = \"safe\"").find("verbs[0].effect: 'safe' is none of pure") !=
        std::string::npos);
    CHECK(complaint("goal_ms = 500", "goal_ms = 5000").find("verbs[0].goal_ms") != std::string::npos);
    CHECK(complaint("[network]", "[network").starts_with("day.toml:"));
    CHECK(complaint("name = \"payout\"", "name = \"read\"").find("verbs[2].name: is another verb's too") !=
          std::string::npos);
    const auto fault = [](const std::string& lines) {
        return complaint("[holds]", "[[faults]]\n" + lines + "\n[holds]");
    };
    CHECK(fault("kind = \"crush\"\nat_ms = 1").find("faults[0].kind: 'crush' is none of crash") !=
          std::string::npos);
    CHECK(fault("kind = \"cut\"\nat_ms = 1\nzone = \"east\"").find("faults[0].zone: 'east' is not a zone") !=
          std::string::npos);
    CHECK(fault("kind = \"crash\"\nat_ms = 19000\nfor_ms = 2000").find("ends after the scenario") !=
          std::string::npos);
    CHECK(fault("kind = \"crash\"\nat_ms = 1\ncount = 13").find("faults[0].count: is not from 1 to 12") !=
          std::string::npos);
    CHECK(fault("kind = \"spoil\"\nat_ms = 1\nby = nan").find("faults[0].by: is not a number") !=
          std::string::npos);
    CHECK(complaint("[holds]", "[holds]") == "");
}

TEST_CASE("the program reads from its configuration what the module is told in virtual time") {
    const Scenario s = calm();
    const auto json = configurationOf(s, {0, "r0", "127.0.0.1:1", "127.0.0.1:2"}, 77,
                                      {{"version", 1}, {"full", true}, {"servers", nlohmann::json::array()}});
    CHECK(protocol::readStartupConfig(json.dump()).policy == policySettingsOf(s, 0, 77));
}

TEST_CASE("routers of the old and of the new shape before the same caches: rules kept, neither starves") {
    Scenario s = calm();
    s.routers.count = 6;
    s.routers.moved = 3;
    CHECK_FALSE(policySettingsOf(s, 2, 1).weightsFollowLoad);
    CHECK(policySettingsOf(s, 3, 1).weightsFollowLoad);
    CHECK(verdictOf(parseScenario(fileText(SCENARIOS "/move.toml"), "move.toml"), 5).empty());
}

TEST_CASE("the same seed gives the same log, byte for byte, and another seed another") {
    Scenario s = calm();
    s.length = 3'000 * ms;
    FaultPlan crash;
    crash.at = 500 * ms;
    crash.length = 1'000 * ms;
    crash.count = 3;
    s.faults = {crash};
    const auto dir = std::filesystem::temp_directory_path();
    const auto play = [&](std::uint64_t seed, const char* name) {
        const std::string path = dir / name;
        {
            EventLog ledger(path);
            simulate(s, seed, ledger);
        }
        std::string text = fileText(path);
        std::filesystem::remove(path);
        return text;
    };
    const std::string once = play(5, "poppyscale_testbed-a.tsv");
    CHECK(once.size() > 10'000);
    CHECK(once == play(5, "poppyscale_testbed-b.tsv"));
    CHECK(once != play(6, "poppyscale_testbed-c.tsv"));
}

TEST_CASE("no false alarm on twenty seeds of calm and of crash") {
    Scenario s = calm();
    s.length = 4'000 * ms;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) CHECK(verdictOf(s, seed) == std::vector<std::string>{});
    FaultPlan crash;
    crash.at = 1'000 * ms;
    crash.length = 1'500 * ms;
    crash.count = 2;
    s.faults = {crash};
    s.bounds = {};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) CHECK(verdictOf(s, seed) == std::vector<std::string>{});
}

TEST_CASE("the audit: a command without an answer in time, or with two, is lost") {
    RunFixture t;
    t.asked(0, 1, "read");
    t.say(1'060 * ms, EventKind::silent, 1, -1, 0, 0, "");
    t.asked(0, 2, "read");
    t.say(5 * ms, EventKind::declined, 2, -1, 0, 0, "");
    t.say(6 * ms, EventKind::terminated, 2, -1, 0, 0, "");
    t.asked(0, 3, "read");
    t.say(5 * ms, EventKind::unsent, 3, -1, 0, 0, "");
    CHECK(t.broken() == "lost lost lost");
    RunFixture gone;  // what a killed router had is nobody's fault
    gone.asked(0, 1, "read");
    gone.say(5 * ms, EventKind::killed, 0, -1, 0, 0, "asked");
    gone.say(6 * ms, EventKind::unsent, 1, -1, 0, 0, "");
    CHECK(gone.broken() == "");
    RunFixture crashed;
    crashed.say(5 * ms, EventKind::killed, 0, -1, 0, 0, "by itself");
    CHECK(crashed.broken() == "crash");
}

TEST_CASE(
    "the audit: what came to a closed door is not lost, though its word comes after the router is back") {
    for (const Nanos asked : {1'499 * ms, 1'501 * ms}) {
        RunFixture t;
        t.say(1'000 * ms, EventKind::killed, 0, -1, 0, 0, "");
        if (asked < 1'500 * ms) t.asked(asked, 1, "payout");
        t.say(1'500 * ms, EventKind::up, 0, -1, 0, 0, "north");
        if (asked > 1'500 * ms) t.asked(asked, 1, "payout");
        t.say(1'502 * ms, EventKind::unsent, 1, -1, 0, 0, "");
        CHECK(t.broken() == (asked < 1'500 * ms ? "" : "lost"));
    }
}

TEST_CASE("what is sent on after its client left waiting is counted, from 0.3 s on, and has its bound") {
    nlohmann::json head{{"verbs", {{{"name", "read"}, {"goal", 500 * ms}, {"late", 0.0}, {"utility", 1.0}}}},
                        {"routers", 1},
                        {"length", 1'000 * ms},
                        {"bounds", {{"sent_on", 0.3}}}};
    Figures figures(head);
    const auto see = [&](Nanos at, EventKind what, std::uint64_t command, const std::string& text = "") {
        figures.onEvent({at, what, command, 0, 0, 0, 0, text});
    };
    see(0, EventKind::server, 0, "origin north 0 origin 8");
    for (std::uint64_t c = 1; c <= 4; ++c) see(0, EventKind::asked, c, "read alder k1 1 1");
    see(50 * ms, EventKind::sent, 3);
    for (std::uint64_t c = 1; c <= 4; ++c) see(100 * ms, EventKind::left, c);
    see(350 * ms, EventKind::sent, 2);  // it was on its way
    see(500 * ms, EventKind::sent, 1);
    see(900 * ms, EventKind::sent, 3);  // a further attempt: the first was out before
    figures.finish();
    CHECK(figures.of("left_waiting") == 3);
    CHECK(figures.of("sent_on") == doctest::Approx(1.0 / 3));
    CHECK(figures.missed() == std::vector<std::string>{"bound-sent_on"});
}

TEST_CASE("the audit: an effect that may come twice") {
    RunFixture payout;  // sent again after an error
    payout.asked(0, 1, "payout");
    payout.sent(1 * ms, 1, 1, 11);
    payout.ended(5 * ms, 1, 1, 11, "error ");
    payout.sent(6 * ms, 1, 2, 12);
    payout.ended(9 * ms, 1, 2, 12, "value v12");
    CHECK(payout.broken() == "twice");
    RunFixture busy;  // and after what proves that it never ran
    busy.asked(0, 1, "payout");
    busy.sent(1 * ms, 1, 1, 11);
    busy.ended(5 * ms, 1, 1, 11, "busy ");
    busy.sent(6 * ms, 1, 2, 12);
    busy.ended(9 * ms, 1, 2, 12, "value v12");
    busy.say(9 * ms, EventKind::answered, 1, -1, 0, 0, "v12");
    CHECK(busy.broken() == "");
    RunFixture declined;
    declined.asked(0, 1, "payout");
    declined.sent(1 * ms, 1, 1, 11);
    declined.say(3 * ms, EventKind::closed, 1, 1, 11, 0, "");
    declined.say(4 * ms, EventKind::declined, 1, -1, 0, 0, "");
    CHECK(declined.broken() == "twice");
    RunFixture upload;  // its group is the zone: the other one doesn't know its mark
    upload.asked(0, 1, "upload");
    upload.sent(1 * ms, 1, 1, 11);
    upload.say(3 * ms, EventKind::closed, 1, 1, 11, 0, "");
    upload.sent(4 * ms, 1, 0, 12);
    upload.say(6 * ms, EventKind::closed, 1, 0, 12, 0, "");
    upload.sent(7 * ms, 1, 2, 13);
    upload.ended(9 * ms, 1, 2, 13, "value v13");
    CHECK(upload.broken() == "twice");
    RunFixture late;  // and past its time nobody does
    late.asked(0, 1, "upload");
    late.sent(1 * ms, 1, 1, 11);
    late.say(3 * ms, EventKind::closed, 1, 1, 11, 0, "");
    late.sent(1'002 * ms, 1, 0, 12);
    late.ended(1'003 * ms, 1, 0, 12, "value v12");
    CHECK(late.broken() == "twice");
    RunFixture both;
    both.asked(0, 1, "read");
    both.sent(1 * ms, 1, 1, 11);
    both.sent(2 * ms, 1, 2, 12);
    both.ended(9 * ms, 1, 1, 11, "value v11");
    both.ended(9 * ms, 1, 2, 12, "value v12");
    CHECK(both.broken() == "twice");
}

TEST_CASE("the audit: an answer that no server gave, or gave for another command") {
    RunFixture t;
    t.asked(0, 1, "read");
    t.asked(0, 2, "read");
    t.sent(1 * ms, 1, 1, 11);
    t.ended(5 * ms, 1, 1, 11, "value v11");
    t.say(6 * ms, EventKind::answered, 2, -1, 0, 0, "v11");
    t.say(6 * ms, EventKind::answered, 1, -1, 0, 0, "v11");
    CHECK(t.broken() == "foreign");
}

TEST_CASE("the audit: a relay to a cache that drains, after the grace") {
    RunFixture t;
    t.say(0, EventKind::listed, 0, 1, 0, 0, "draining");
    t.asked(490 * ms, 1, "read");
    t.sent(499 * ms, 1, 1, 11);
    t.ended(500 * ms, 1, 1, 11, "miss ");
    CHECK(t.broken() == "");
    t.sent(501 * ms, 1, 1, 12);
    t.ended(502 * ms, 1, 1, 12, "value v12");
    CHECK(t.broken() == "drain");
}

TEST_CASE("the audit: an attempt tells at most 0.15 s more than is left to the client") {
    // What 500 ms before its client's limit tells that so much is left, read so long after it came.
    const auto judged = [](int server, const std::string& told) {
        RunFixture t;
        t.asked(0, 1, "read");
        t.sent(500 * ms, 1, server, 11, ms, told);
        t.ended(510 * ms, 1, server, 11, "value v11");
        return t.broken();
    };
    for (const int server : {0, 1}) {
        CHECK(judged(server, "d=500 held=0") == "");
        CHECK(judged(server, "d=650 held=0") == "");
        CHECK(judged(server, "d=651 held=0") == "time");
        CHECK(judged(server, "d=9223372036854775807 held=0") == "time");
        CHECK(judged(server, "") == "");  // nothing was told
        CHECK(judged(server, "d=750 held=100") == "");
        CHECK(judged(server, "d=751 held=100") == "time");
    }
}

TEST_CASE("the audit: on a machine whose clock goes wrong no process is blamed for the time it tells") {
    for (const std::string fault : {"clock_rate", "machine_sleep", "crash"}) {
        nlohmann::json head{{"slack", 50 * ms},
                            {"grace", 500 * ms},
                            {"machines", 1},
                            {"longest", 1'000 * ms},
                            {"cold", {{"span", 1'000 * ms}, {"ramp", 5'000 * ms}}},
                            {"verbs", {{{"name", "read"}, {"effect", 0}, {"group", 0}, {"remembered", 0}}}}};
        Audit audit(head);
        const auto say = [&](Nanos at, EventKind what, std::uint64_t command, std::int64_t number,
                             const std::string& text) {
            audit.onEvent({at, what, command, 0, 0, command, number, text});
        };
        say(0, EventKind::server, 0, 0, "origin north 0 origin 8");
        say(100 * ms, EventKind::fault, 0, 0, "begins " + fault + " ");
        say(200 * ms, EventKind::fault, 0, 0, "ends " + fault + " ");
        for (const Nanos asked : {50 * ms, 2'000 * ms}) {
            const auto command = static_cast<std::uint64_t>(asked);
            say(asked, EventKind::asked, command, asked + 1'000 * ms, "read alder k1 1 1");
            say(asked + 500 * ms, EventKind::sent, command, ms, "d=1000 held=0");
            say(asked + 510 * ms, EventKind::ended, command, 0, "value v1");
        }
        std::string broken;
        for (const Violation& b : audit.finish()) broken += " " + b.rule;
        CHECK(broken == (fault == "crash" ? " time time" : " time"));
    }
}

TEST_CASE("work at a cold cache is summed over all routers that know of its start, beside what it may get") {
    // Capacity 4, of which a cold one has half: with tip 2 and a span of 1 s it may get 4 s of work.
    nlohmann::json head{
        {"cold", {{"share", 0.5}, {"ramp", 1'000'000 * ms}, {"tip", 2.0}, {"span", 1'000 * ms}}}};
    SlowStartLoad load(head);
    const auto see = [&](Nanos at, EventKind what, int router, int server, std::int64_t number,
                         const std::string& text) {
        load.onEvent({at, what, 0, router, server, 0, number, text});
    };
    const auto sent = [&](Nanos at, int router, int server) {
        see(at, EventKind::sent, router, server, 40 * ms, "");
    };
    see(0, EventKind::server, -1, 0, 0, "origin north 0 origin 8");
    see(0, EventKind::server, -1, 1, 0, "cache-0 north 0 cache 4");
    sent(1 * ms, 0, 1);  // it is warm
    CHECK(load.servers() == 0);
    CHECK(load.largestExcess() == 0);
    see(5 * ms, EventKind::started, -1, 1, 5 * ms, "");
    sent(6 * ms, 0, 1);  // not told yet
    for (const int router : {0, 1, 2}) see(7 * ms, EventKind::listed, router, 1, 5 * ms, "ready");
    for (int i = 0; i < 60; ++i) sent((10 + i) * ms, i % 3, 1);
    for (int i = 0; i < 60; ++i) sent((10 + i) * ms, i % 3, 0);  // the origin is never cold
    CHECK(load.servers() == 1);
    CHECK(load.untoldShare() == doctest::Approx(1.0 / 61));
    CHECK(load.largest().sent == doctest::Approx(60));
    CHECK(load.largest().allowed == doctest::Approx(100).epsilon(0.01));
    CHECK(load.largestExcess() < 0);
    for (int i = 0; i < 62; ++i) sent(500 * ms, i % 3, 1);  // 122 in a span: 2 * sqrt(100) + 2 more than 100
    CHECK(load.largest().sent == doctest::Approx(122));
    CHECK(load.largestExcess() == doctest::Approx(1).epsilon(0.01));
    sent(2'000 * ms, 0, 1);  // the others are over a span ago
    CHECK(load.largest().sent == doctest::Approx(122));
    see(2'001 * ms, EventKind::fell, -1, 1, 0, "");
    see(2'002 * ms, EventKind::fell, -1, 0, 0, "");
    CHECK(load.falls() == 1);
    see(2'003 * ms, EventKind::killed, 0, -1, 0, "asked");
    sent(2'004 * ms, 0, 1);  // its next process was told nothing yet
    CHECK(load.untoldShare() == doctest::Approx(2.0 / 125));
}

TEST_CASE("thirty routers share the budget of a cold cache; with a whole budget each they break its bounds") {
    const Scenario s = parseScenario(fileText(SCENARIOS "/cold-thirty.toml"), "cold-thirty.toml");
    const auto play = [&](const SimulatedRunOptions& wanted) {
        Verdict judge;
        EventLog ledger;
        judge.follow(ledger);
        simulate(s, 1, ledger, wanted);
        return judge.verdict();
    };
    CHECK(play({}).empty());
    SimulatedRunOptions wholeBudget;
    wholeBudget.mistake = [](PolicySettings& terms) { terms.overloadMultiple *= terms.routerCount; };
    const auto broken = play(wholeBudget);
    for (const char* bound : {"bound-cold_load", "bound-cold_excess"})
        CHECK(std::find(broken.begin(), broken.end(), bound) != broken.end());
}

TEST_CASE("the audit: a cold cache that goes down counts when two thirds came from who knew") {
    for (const bool knew : {true, false}) {
        RunFixture t;
        t.say(0, EventKind::started, 0, 1, 0, 7, "");
        if (knew) t.say(0, EventKind::listed, 0, 1, 0, 7, "ready");
        t.asked(0, 1, "read");
        t.sent(1 * ms, 1, 1, 11, 900 * ms);
        t.ended(2 * ms, 1, 1, 11, "miss ");
        t.say(3 * ms, EventKind::fell, 0, 1, 0, 0, "");
        CHECK(t.broken() == (knew ? "cold" : ""));
    }
}
