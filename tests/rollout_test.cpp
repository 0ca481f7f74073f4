// Stories of staged changes: the evidence, the plan, an agent and a coordinator, against hands that only
// write down what they are asked.
#include <doctest/doctest.h>

#include <cmath>
#include <fstream>
#include <random>

#include "rollout/evidence.hpp"
#include "rollout/rollout_agent.hpp"
#include "rollout/rollout_controller.hpp"

using namespace poppyscale;
using namespace poppyscale::rollout;

namespace {

constexpr Nanos ms = kMillisecond;
constexpr Nanos s = 1'000 * ms;

struct Disk : AgentHost {
    void persist(const AgentState& held) override {
        written = held;
        asked += "K";
    }
    void install(int i, const Version& to) override {
        asked += (to.program == "new" ? "+" : "-") + std::to_string(i);
    }
    void log(std::string_view) override {}
    std::string take() { return std::exchange(asked, {}); }
    std::string asked;
    AgentState written;
};

Order orderOf(std::uint64_t number, std::uint64_t step, std::set<int> changed, std::set<int> held = {}) {
    Order o;
    o.number = number;
    o.step = step;
    o.digest = "d";
    o.changed = std::move(changed);
    o.held = std::move(held);
    o.holdDuration = 4 * s;
    return o;
}

const Version kOld{"old", ""}, kNew{"new", ""};

// Instances that answer as they are told, on agents that do at once what they are asked.
struct Fleet : RolloutHost {
    struct One {
        InstanceState stand = InstanceState::original;
        Nanos since = 0;
        int ends = 0;
        std::string problem;
        InstanceMetrics figures;
        bool known = true;
    };
    explicit Fleet(int agents, int each, RolloutPlan p = {}) : plan(std::move(p)) {
        for (int a = 0; a < agents; ++a) plan.agents.push_back({"m" + std::to_string(a), ""});
        plan.stages = {{1, 0}, {0, 0.25}, {0, 1}};
        plan.minStageDuration = 5 * s;
        plan.maxStageDuration = 60 * s;
        plan.settleTime = 2 * s;
        plan.baselineTime = 5 * s;
        plan.agentHoldDuration = 5 * s;
        plan.rollbackTimeout = 20 * s;
        all.assign(static_cast<std::size_t>(agents), std::vector<One>(static_cast<std::size_t>(each)));
        for (auto& agent : all)
            for (One& one : agent) one.figures.incarnation = 1;
        numbers.assign(static_cast<std::size_t>(agents), 0);
        over.assign(static_cast<std::size_t>(agents), false);
        cut.assign(static_cast<std::size_t>(agents), false);
        roll = std::make_unique<RolloutController>(plan, "d", static_cast<RolloutHost&>(*this));
    }
    void report(std::string_view what, const nlohmann::json&) override { said += std::string(what) + ";"; }

    void serve(One& one, bool changed, const std::string& zone) {
        InstanceMetrics& f = one.figures;
        f.up += 500 * ms;
        f.zone = zone;
        f.cachesReady = f.cachesListed = 4;
        RequestClassMetrics& v = f.requestClasses["read"];
        std::binomial_distribution<int> bad(50, std::min(usual + (changed ? harm : 0.0), 1.0));
        const int lost = bad(chance);
        v.accepted += 50;
        v.rejected += static_cast<std::uint64_t>(lost);
        v.withinObjective += static_cast<std::uint64_t>(50 - lost);
        v.latencies.resize(20);
        for (int i = lost; i < 50; ++i) ++v.latencies[8 + chance() % 6];
        f.attempts += static_cast<std::uint64_t>(changed ? 60 * pressure : 60);
        f.attemptMs += 60 * 10;
    }
    void tick() {
        now += 500 * ms;
        for (std::size_t a = 0; a < all.size(); ++a) {
            for (One& one : all[a])
                serve(one, one.stand == InstanceState::changed, a % 2 ? "north" : "south");
            if (cut[a]) continue;
            if (const auto order = roll->orderFor(static_cast<int>(a))) {
                numbers[a] = order->number;
                over[a] = order->isFinished;
                for (std::size_t i = 0; i < all[a].size(); ++i) {
                    One& one = all[a][i];
                    const bool wanted = order->changed.contains(static_cast<int>(i));
                    if (order->isFinished || wanted == (one.stand == InstanceState::changed) ||
                        one.stand == InstanceState::failed)
                        continue;
                    one.stand = wanted  ? InstanceState::changed
                                : stuck ? InstanceState::failed
                                        : InstanceState::original;
                    one.since = now;
                    ++one.figures.incarnation;
                    one.figures.up = 0;
                }
            }
            Report r;
            r.number = numbers[a];
            r.isFinished = over[a];
            bool any = false;
            for (std::size_t i = 0; i < all[a].size(); ++i) {
                One& one = all[a][i];
                any |= one.stand != InstanceState::original;
                r.instances.push_back({"r" + std::to_string(i), a % 2 ? "north" : "south", one.stand, true,
                                       now - one.since, one.ends, one.problem,
                                       one.known || (newTells && one.stand == InstanceState::changed)
                                           ? std::optional(one.figures)
                                           : std::nullopt});
            }
            r.digest = any ? "d" : "";
            roll->onReport(now, static_cast<int>(a), r);
        }
        roll->reconcile(now);
    }
    // Until it is over or so long has passed.
    RolloutOutcome play(Nanos most = 300 * s) {
        const Nanos until = now + most;
        while (roll->outcome() == RolloutOutcome::none && now < until) tick();
        return roll->outcome();
    }
    int changed() const {
        int n = 0;
        for (const auto& agent : all)
            for (const One& one : agent) n += one.stand != InstanceState::original;
        return n;
    }

    Nanos now = 1 * s;
    RolloutPlan plan;
    std::vector<std::vector<One>> all;
    std::vector<std::uint64_t> numbers;
    std::vector<bool> over, cut;
    double usual = 0.002, harm = 0, pressure = 1;
    bool stuck = false;
    bool newTells = false;  // who runs the change is known, whoever else is not
    std::mt19937 chance{7};
    std::string said;
    std::unique_ptr<RolloutController> roll;
};

}  // namespace

TEST_CASE("evidence looked at after every window is seldom false, and soon true where harm is done") {
    int falsely = 0, found = 0;
    double windows = 0;
    for (unsigned seed = 0; seed < 400; ++seed) {
        std::mt19937 chance(seed);
        Evidence same(1.2, 0.002), worse(1.2, 0.002);
        std::binomial_distribution<int> few(20, 0.004), many(400, 0.004), harmed(20, 0.044);
        bool wrong = false, right = false;
        for (int w = 0; w < 300; ++w) {
            const double beside = many(chance);
            same.add({static_cast<double>(few(chance)), 20, beside, 400}, 0.004, 1);
            if (!right) worse.add({static_cast<double>(harmed(chance)), 20, beside, 400}, 0.004, 1);
            wrong |= same.log() > std::log(100);
            if (!right && worse.log() > std::log(100)) right = true, windows += w;
        }
        falsely += wrong;
        found += right;
    }
    CHECK(falsely <= 4);  // one in a hundred is what the bound allows
    CHECK(found == 400);
    CHECK(windows / 400 < 30);
}

TEST_CASE("trouble that hits both sides is no evidence, and instances that differ weaken it") {
    std::mt19937 chance(3);
    Evidence e(1.2, 0.002);
    for (int w = 0; w < 100; ++w) {
        const double share = w > 50 ? 0.4 : 0.002;
        std::binomial_distribution<int> one(30, share), others(300, share);
        e.add({static_cast<double>(one(chance)), 30, static_cast<double>(others(chance)), 300}, 0.002, 1);
    }
    CHECK(e.log() < std::log(100));
    Evidence sure(1.2, 0), doubtful(1.2, 0);
    for (int w = 0; w < 20; ++w) {
        sure.add({3, 100, 3, 300}, 0.01, 1);
        doubtful.add({3, 100, 3, 300}, 0.01, 5);
    }
    CHECK(doubtful.log() < sure.log() / 3);
    Spread spread(30 * s);
    for (int i = 0; i < 6; ++i) spread.add(s, i, i == 0 ? 60 : 10, 18);
    CHECK(spread.value() > 5);
    CHECK(upperShare(0, 200, 0.02) ==
          doctest::Approx(1 - std::pow(0.02, 1.0 / 200)));  // the rule of no events
}

TEST_CASE("figures that fall, come from the future, or are of another form are unknown") {
    nlohmann::json said{{"format", 1},
                        {"pid", 7},
                        {"up_ms", 1000},
                        {"relays", 5},
                        {"origin_relays", 1},
                        {"relays_errored", 0},
                        {"relays_timed_out", 0},
                        {"relays_cut", 0},
                        {"relays_turned_away", 0},
                        {"relays_found_dead", 0},
                        {"links_opened", 2},
                        {"memory_kb", 10},
                        {"descriptors", 3},
                        {"links", 1},
                        {"open", 0},
                        {"caches_ready", 1},
                        {"caches_listed", 1},
                        {"longest_turn_us", 4},
                        {"new_in_a_later_version", true},
                        {"verbs",
                         {{"read",
                           {{"taken", 4},
                            {"in_goal", 3},
                            {"late", 1},
                            {"declined", {{"full", 0}, {"another", 2}}},
                            {"terminated", 0},
                            {"left", 0},
                            {"times_from", -1},
                            {"times", {1, 0, 3}}}}}}};
    const auto first = readInstanceMetrics(said);
    REQUIRE(first);
    CHECK(first->requestClasses.at("read").rejected == 2);
    auto next = said;
    next["up_ms"] = 2000;
    next["relays"] = 9;
    CHECK(windowOf(*first, *readInstanceMetrics(next), s)->attempts == 4);
    CHECK_FALSE(windowOf(*first, *readInstanceMetrics(next), -s));  // its second has not been one of ours
    next["relays"] = 4;
    CHECK_FALSE(windowOf(*first, *readInstanceMetrics(next), s));
    next["relays"] = 9;
    next["pid"] = 8;
    CHECK_FALSE(windowOf(*first, *readInstanceMetrics(next), s));
    next["format"] = 2;
    CHECK_FALSE(readInstanceMetrics(next));
    CHECK_FALSE(readInstanceMetrics({{"error", "'figures' is not known here"}}));
    said["memory_kb"] = -1;
    CHECK_FALSE(readInstanceMetrics(said));
}

TEST_CASE("a plan's problems are told all at once, each with its line and key") {
    config::ConfigProblems problems("p.toml");
    readRolloutPlan(
        "[[agents]]\nname = \"a\"\nsocket = \"x\"\n[[agents]]\nname = \"a\"\nsocket = "
        "\"/b\"\n[change]\nprogram = "
        "\"/etc/passwd\"\n[[stages]]\nshare = 0.5\n[[stages]]\nshare = 0.25\n[[stages]]\nshare = "
        "1.5\n[stage]\nleast_ms = 5000\nlongest_ms = 1000\n[wurse]\n",
        "p.toml", problems);
    const std::string text = problems.text();
    for (const char* wanted : {"p.toml:3: agents[0].socket: is not an absolute path",
                               "p.toml:5: agents[1].name: is another agent's too",
                               "p.toml:8: change.program: is not a program that can be run",
                               "p.toml:12: stages[1].share: does not grow", "p.toml:14: stages[2].share",
                               "p.toml:17: stage.longest_ms: is under least_ms", "wurse: is not a key"})
        CHECK_MESSAGE(text.find(wanted) != std::string::npos, text);
    RolloutPlan plan;
    plan.stages = {{1, 0}, {0, 0.05}, {0, 0.25}, {0, 1}};
    CHECK(stagesOf(plan, 300) == std::vector<int>{1, 15, 75, 300});
    CHECK(stagesOf(plan, 3) == std::vector<int>{1, 2, 3});
    CHECK(stagesOf(plan, 1) == std::vector<int>{1});
}

TEST_CASE("an agent acts once it is on disk, one at a time, and goes back when it hears nothing") {
    Disk disk;
    RolloutAgent agent(3, kOld, disk);
    CHECK(agent.onOrder(s, orderOf(5, 1, {0, 1}), kNew) == "");
    agent.reconcile(s);
    CHECK(disk.take() == "K");  // and nothing else yet
    CHECK(agent.isPersisting());
    agent.onPersisted(s, "");
    agent.reconcile(s);
    CHECK(disk.take() == "+0");
    agent.reconcile(2 * s);
    CHECK(disk.take() == "");
    agent.onInstalled(2 * s, 0, "");
    agent.reconcile(2 * s);
    CHECK(disk.take() == "+1");
    agent.onInstalled(3 * s, 1, "");
    // Another coordinator's order, an overtaken one, and one that was on its way for too long.
    CHECK(agent.onOrder(3 * s, orderOf(4, 9, {}), kNew) == "overtaken by 5");
    CHECK(agent.onOrder(3 * s, orderOf(5, 1, {}), kNew).starts_with("overtaken"));
    CHECK(agent.onOrder(3 * s, orderOf(5, 2, {0, 1}, {0}), kNew) == "");
    agent.onPersisted(3 * s, "");
    CHECK(agent.nextDeadline() == 7 * s);
    agent.reconcile(6'999 * ms);
    CHECK(disk.take() == "K");
    agent.reconcile(7 * s);
    CHECK(disk.take() == "K-1");  // 0 is held
    agent.onInstalled(8 * s, 1, "");
    agent.onPersisted(8 * s, "");
    CHECK(agent.report(8 * s).hasRolledBack);
    CHECK(agent.versionOf(0) == kNew);
    CHECK(agent.versionOf(1) == kOld);
    CHECK_FALSE(agent.setOriginalVersion(kNew));  // not in the middle of a roll
}

TEST_CASE("an agent whose disk is full goes on by what is on it, and still goes back") {
    Disk disk;
    RolloutAgent agent(2, kOld, disk);
    agent.onOrder(s, orderOf(1, 1, {0}), kNew);
    agent.onPersisted(s, "no space");
    agent.reconcile(s);
    CHECK(disk.take() == "K");
    CHECK(agent.report(s).problem == "no space");
    CHECK(agent.report(s).number == 1);
    agent.onOrder(s, orderOf(1, 2, {0}), kNew);
    agent.onPersisted(s, "");
    agent.reconcile(s);
    agent.onInstalled(s, 0, "");
    CHECK(disk.take() == "K+0");
    agent.onOrder(2 * s, orderOf(1, 3, {}), kNew);
    agent.reconcile(2 * s);
    CHECK(disk.take() == "K-0");  // without waiting for the disk
    agent.onPersisted(2 * s, "no space");
    agent.onInstalled(2 * s, 0, "can't write");
    CHECK(agent.report(2 * s).instances[0].state == InstanceState::failed);
    agent.reconcile(3 * s);
    CHECK(disk.take() == "");
    agent.reconcile(4 * s);
    CHECK(disk.take() == "-0");  // again, after a while
}

TEST_CASE("an agent that comes anew brings about what was on disk, soon without word back again") {
    Disk before;
    RolloutAgent first(2, kOld, before);
    first.onOrder(s, orderOf(3, 1, {0, 1}, {0}), kNew);
    Disk disk;
    RolloutAgent agent(2, kOld, disk);
    agent.restore(10 * s, before.written);
    CHECK(disk.take() == "+0+1");
    agent.onInstalled(11 * s, 0, "");
    agent.onInstalled(11 * s, 1, "");
    agent.reconcile(13 * s);
    CHECK(disk.take() == "K-1");
    // What can't be changed is brought back, told, and not tried again by itself.
    RolloutAgent other(1, kOld, disk);
    other.onOrder(s, orderOf(1, 1, {0}), kNew);
    other.onPersisted(s, "");
    other.reconcile(s);
    other.onInstalled(s, 0, "it ends at its start");
    CHECK(disk.take() == "K+0-0");
    other.onInstalled(s, 0, "");
    other.reconcile(2 * s);
    CHECK(disk.take() == "");
    CHECK(other.report(s).instances[0].problem == "it ends at its start");
}

TEST_CASE(
    "once it is over the change is how things are, also before that is on disk, and another is another") {
    Disk disk;
    RolloutAgent agent(2, kOld, disk);
    agent.onOrder(s, orderOf(1, 1, {0, 1}), kNew);
    agent.onPersisted(s, "");
    for (int i = 0; i < 2; ++i) {
        agent.reconcile(s);
        agent.onInstalled(s, i, "");
    }
    CHECK(disk.take() == "K+0+1");
    Order over = orderOf(1, 2, {});
    over.isFinished = true;
    CHECK(agent.onOrder(2 * s, over, kNew) == "");
    agent.reconcile(2 * s);
    CHECK(disk.take() == "K");
    agent.onPersisted(2 * s, "");
    agent.reconcile(60 * s);
    CHECK(disk.take() == "");
    CHECK(agent.versionOf(0) == kNew);
    CHECK(agent.report(60 * s).isFinished);
    // A change that is not whole can't be over; another roll's change waits until this one's is gone.
    RolloutAgent half(2, kOld, disk);
    half.onOrder(s, orderOf(1, 1, {0}), kNew);
    half.onPersisted(s, "");
    half.reconcile(s);
    half.onInstalled(s, 0, "");
    over.step = 5;
    CHECK(half.onOrder(2 * s, over, kNew) == "not all are changed: it can't be over");
    Order another = orderOf(2, 1, {1});
    another.digest = "e";
    disk.take();
    CHECK(half.onOrder(2 * s, another, {"newer", ""}) == "");
    half.reconcile(2 * s);
    CHECK(disk.take() == "K-0");
}

TEST_CASE("a change that does no harm goes through all stages, spread over zones") {
    Fleet f(4, 5);
    f.play(14 * s);
    CHECK(f.changed() == 1);
    CHECK(f.play() == RolloutOutcome::completed);
    CHECK(f.changed() == 20);
    CHECK(f.roll->stageCount() == 3);
    CHECK(f.said.find("stops") == std::string::npos);
}

TEST_CASE("harm of a few in a hundred is stopped before a quarter has it, and undone in batches") {
    Fleet f(4, 5);
    f.harm = 0.04;
    f.plan.rollbackBatchSize = 1;
    CHECK(f.play() == RolloutOutcome::rolledBack);
    CHECK(f.changed() == 0);
    CHECK(f.roll->maxChangedCount() <= 5);
    CHECK(f.roll->reason().find("unanswered") != std::string::npos);
    Fleet presses(4, 5);
    presses.pressure = 4;
    CHECK(presses.play() == RolloutOutcome::rolledBack);
    CHECK(presses.roll->reason().find("relays a command") != std::string::npos);
}

TEST_CASE("trouble holds a stage up, and a stage that can't be told stops") {
    Fleet f(4, 5);
    f.play(13 * s);
    REQUIRE(f.changed() == 1);
    f.usual = 0.3;
    for (auto& agent : f.all)
        for (auto& one : agent) one.figures.cachesReady = 2;
    const auto lose = [&] {
        for (auto& agent : f.all)
            for (auto& one : agent) one.figures.attemptsLost += 10;  // that explains it
    };
    for (int i = 0; i < 40; ++i) lose(), f.tick();
    CHECK(f.changed() == 1);
    CHECK(f.roll->outcome() == RolloutOutcome::none);
    f.usual = 0.002;
    CHECK(f.play() == RolloutOutcome::completed);
    // The same without anything that explains it: since the stage began both sides do worse.
    Fleet alone(4, 5);
    alone.play(14 * s);
    alone.usual = 0.3;
    CHECK(alone.play(60 * s) == RolloutOutcome::rolledBack);
    CHECK(alone.roll->reason().find("both sides") != std::string::npos);
    // Instances that tell nothing are unknown: too little is heard to say anything.
    // So it is beside an old program that tells none, where only the changed one does.
    Fleet silent(4, 5);
    silent.newTells = true;
    for (auto& agent : silent.all)
        for (auto& one : agent) one.known = false;
    CHECK(silent.play() == RolloutOutcome::rolledBack);
    CHECK(silent.roll->reason().find("could not be told") != std::string::npos);
}

TEST_CASE("ends by themselves, refusals and agents that are not heard stop a roll; what is stuck is told") {
    Fleet ends(4, 5);
    ends.play(13 * s);
    ends.all[0][0].ends = 2;
    CHECK(ends.play() == RolloutOutcome::rolledBack);
    Fleet cut(4, 5);
    cut.play(13 * s);
    cut.cut[1] = true;
    CHECK(cut.play(40 * s) == RolloutOutcome::none);  // it may come back
    CHECK(cut.play(120 * s) == RolloutOutcome::rollbackIncomplete);
    CHECK(cut.roll->unrestoredInstances().size() == 5);
    Fleet stuck(4, 5);
    stuck.stuck = true;
    stuck.harm = 0.1;
    CHECK(stuck.play() == RolloutOutcome::rollbackIncomplete);
    REQUIRE(stuck.roll->unrestoredInstances().size() == 1);
    CHECK(stuck.roll->unrestoredInstances()[0].find("stuck") != std::string::npos);
    Fleet gone(4, 5);
    gone.cut[2] = true;
    CHECK(gone.play() == RolloutOutcome::notPossible);
    CHECK(gone.roll->reason() == "not there: m2");
    CHECK(gone.changed() == 0);
    Fleet told(4, 5);
    told.play(14 * s);
    told.roll->abandon(told.now);
    CHECK(told.play() == RolloutOutcome::rolledBack);
}

TEST_CASE("a coordinator that comes anew goes on where the agents stand, and the one before is told") {
    Fleet f(4, 5);
    f.play(13 * s);
    REQUIRE(f.changed() == 1);
    auto before = std::move(f.roll);
    f.roll = std::make_unique<RolloutController>(f.plan, "d", static_cast<RolloutHost&>(f));
    f.play(2 * s);
    CHECK(f.roll->number() == 2);
    CHECK(f.roll->stage() == 1);
    Report seen;
    seen.number = 2;
    before->onReport(f.now, 0, seen);
    CHECK(before->outcome() == RolloutOutcome::notPossible);
    CHECK(before->reason().find("overtaken") != std::string::npos);
    CHECK(f.play() == RolloutOutcome::completed);
    // Of another change nothing is begun while this one's is in place.
    Fleet other(4, 5);
    other.play(13 * s);
    other.roll = std::make_unique<RolloutController>(other.plan, "e", static_cast<RolloutHost&>(other));
    CHECK(other.play(70 * s) == RolloutOutcome::notPossible);
}
