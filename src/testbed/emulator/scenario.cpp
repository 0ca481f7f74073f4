#include "testbed/emulator/scenario.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "config/toml_table.hpp"
#include "testbed/fault_injection/fault_plan.hpp"

namespace poppyscale::testbed {
namespace {

using config::TomlTable;

const config::NamedValues<FaultKind>& faultNames() {
    static const config::NamedValues<FaultKind> names{{"crash", FaultKind::crash},
                                                      {"hang", FaultKind::hang},
                                                      {"slow", FaultKind::slow},
                                                      {"errors", FaultKind::errors},
                                                      {"replace", FaultKind::replace},
                                                      {"drain", FaultKind::drain},
                                                      {"cut", FaultKind::cut},
                                                      {"refuse", FaultKind::refuse},
                                                      {"late", FaultKind::late},
                                                      {"leave", FaultKind::leave},
                                                      {"reset", FaultKind::reset},
                                                      {"slow_reader", FaultKind::slowReader},
                                                      {"deaf", FaultKind::unresponsive},
                                                      {"spoil", FaultKind::malformedResponses},
                                                      {"origin_stop", FaultKind::originStop},
                                                      {"origin_slow", FaultKind::originSlow},
                                                      {"discovery_down", FaultKind::discoveryDown},
                                                      {"discovery_silent", FaultKind::discoverySilent},
                                                      {"discovery_slow", FaultKind::discoverySlow},
                                                      {"discovery_refuse", FaultKind::discoveryRefuse},
                                                      {"discovery_move", FaultKind::discoveryMove},
                                                      {"hot_key", FaultKind::hotKey},
                                                      {"heavy", FaultKind::heavy},
                                                      {"scan", FaultKind::scan},
                                                      {"load", FaultKind::load},
                                                      {"router_kill", FaultKind::routerKill},
                                                      {"router_restart", FaultKind::routerRestart},
                                                      {"router_upgrade", FaultKind::routerUpgrade},
                                                      {"reload", FaultKind::reload},
                                                      {"calls_fail", FaultKind::callsFail},
                                                      {"wall_step", FaultKind::wallStep},
                                                      {"hold_up", FaultKind::holdUp},
                                                      {"machine_kill", FaultKind::machineKill},
                                                      {"machine_lost", FaultKind::machineLost},
                                                      {"machine_stop", FaultKind::machineStop},
                                                      {"machine_cut", FaultKind::machineCut},
                                                      {"agent_kill", FaultKind::agentKill},
                                                      {"agent_stop", FaultKind::agentStop},
                                                      {"machine_sleep", FaultKind::machineSleep},
                                                      {"disk_full", FaultKind::diskFull},
                                                      {"disk_read_only", FaultKind::diskReadOnly},
                                                      {"disk_slow", FaultKind::diskSlow},
                                                      {"sync_fails", FaultKind::syncFails},
                                                      {"program_gone", FaultKind::programGone},
                                                      {"clock_rate", FaultKind::clockRate},
                                                      {"clock_jump", FaultKind::clockJump},
                                                      {"way_delay", FaultKind::wayDelay},
                                                      {"way_stall", FaultKind::wayStall},
                                                      {"way_drop", FaultKind::wayDrop},
                                                      {"coordinator_kill", FaultKind::coordinatorKill},
                                                      {"coordinator_twice", FaultKind::coordinatorTwice}};
    return names;
}

void readVerb(TomlTable& t, Scenario& s) {
    RequestClassPlan plan;
    RequestClass& requestClass = plan.requestClass;
    requestClass.name = t.string("name", std::nullopt);
    requestClass.idempotency = t.word<Idempotency>("effect",
                                                   {{"pure", Idempotency::safe},
                                                    {"receipted", Idempotency::idempotentWithKey},
                                                    {"effectful", Idempotency::nonIdempotent}},
                                                   std::nullopt);
    if (requestClass.idempotency == Idempotency::idempotentWithKey) {
        requestClass.deduplicationScope = t.word<DeduplicationScope>("group",
                                                                     {{"all", DeduplicationScope::all},
                                                                      {"zone", DeduplicationScope::zone},
                                                                      {"cell", DeduplicationScope::cell}},
                                                                     DeduplicationScope::all);
        requestClass.idempotencyKeyTtl = t.millis("remembered_ms", std::nullopt);
    }
    requestClass.latencyObjective = t.millis("goal_ms", std::nullopt);
    plan.limit = t.millis("limit_ms", std::nullopt);
    if (plan.limit < requestClass.latencyObjective || requestClass.latencyObjective < kMillisecond)
        t.problem("goal_ms", "is not from 1 to limit_ms");
    requestClass.priorityWeight = t.number("utility", 1.0);
    requestClass.lateWeight = t.fraction("late_utility", 0.0);
    plan.share = t.number("share", std::nullopt);
    plan.work = t.micros("work_us", std::nullopt);
    plan.spread = t.number("spread", 0.0, 0, 10);
    plan.write = t.boolean("write", requestClass.idempotency != Idempotency::safe);
    for (const RequestClassPlan& other : s.requestClasses)
        if (other.requestClass.name == requestClass.name) t.problem("name", "is another verb's too");
    s.requestClasses.push_back(std::move(plan));
}

void readFault(TomlTable& t, Scenario& s) {
    FaultPlan f;
    f.kind = t.word("kind", faultNames(), std::optional<FaultKind>{});
    f.at = t.millis("at_ms", std::nullopt);
    f.length = t.millis("for_ms", 0.0);
    f.times = t.integer("times", 1, 1, 1000);
    if (f.at + f.length > s.length) t.problem("at_ms", "the fault ends after the scenario does");
    switch (f.kind) {
        case FaultKind::cut:
            f.zone = t.string("zone", std::nullopt);
            if (std::find(s.network.zones.begin(), s.network.zones.end(), f.zone) == s.network.zones.end())
                t.problem("zone", fmt::format("'{}' is not a zone of the network", f.zone));
            break;
        case FaultKind::crash:
        case FaultKind::hang:
        case FaultKind::replace:
        case FaultKind::drain:
        case FaultKind::refuse:
        case FaultKind::late:
        case FaultKind::unresponsive:
            f.count = t.integer("count", 1, 1, s.cacheCount());
            break;
        case FaultKind::slow:
        case FaultKind::slowReader:
            f.count = t.integer("count", 1, 1, s.cacheCount());
            f.by = t.number("by", std::nullopt);
            break;
        case FaultKind::errors:
        case FaultKind::reset:
            f.count = t.integer("count", 1, 1, s.cacheCount());
            f.by = t.fraction("by", std::nullopt);
            break;
        case FaultKind::leave:
        case FaultKind::malformedResponses:
        case FaultKind::discoveryRefuse:
        case FaultKind::hotKey:
        case FaultKind::heavy:
        case FaultKind::scan:
            f.by = t.fraction("by", std::nullopt);
            break;
        case FaultKind::originSlow:
        case FaultKind::load:
            f.by = t.number("by", std::nullopt, 0.01, 1000);
            break;
        case FaultKind::routerKill:
            f.count = t.integer("count", 1, 1, s.routers.count);
            break;
        case FaultKind::machineCut: {
            const auto way = t.word<int>("way", {{"both", 3}, {"to", 1}, {"from", 2}}, 3);
            f.to = way & 1;
            f.from = way & 2;
            f.others = t.integers("others", 0, std::max(s.machines.count - 1, 0));
            break;
        }
        case FaultKind::clockRate:
            f.by = t.number("by", std::nullopt, 0.1, 10);
            break;
        case FaultKind::callsFail:
            f.by = t.fraction("by", std::nullopt);
            f.call = t.string("call", std::nullopt);
            f.way = t.string("way", std::nullopt);
            if (!fault_injection::systemCallNamed(f.call))
                t.problem("call", "is not a system call that can be made to fail");
            if (!fault_injection::faultEffectNamed(f.way))
                t.problem("way", "is not a way in which a system call fails");
            break;
        case FaultKind::holdUp:
            f.by = t.number("by", std::nullopt, 1, 1000);
            break;
        case FaultKind::wallStep:
        case FaultKind::clockJump:
            f.by = t.number("by", std::nullopt, -1e9, 1e9);
            break;
        case FaultKind::syncFails:
            f.count = t.integer("count", 1, 1, 1000);
            break;
        case FaultKind::discoverySlow:
        case FaultKind::diskSlow:
        case FaultKind::wayDelay:
            f.by = t.number("by", std::nullopt, 0, 60'000);
            break;
        case FaultKind::wayDrop:
            f.by = t.fraction("by", std::nullopt);
            break;
        default:
            break;
    }
    if (f.kind >= FaultKind::machineKill && f.kind < FaultKind::coordinatorKill)
        f.machine = t.integer("machine", -1, -1, std::max(s.machines.count - 1, -1));
    // A second coordinator is at the operator's desk too, unless it is put on a machine.
    if (f.kind == FaultKind::coordinatorTwice)
        f.machine = t.integer("machine", -1, -1, std::max(s.machines.count - 1, -1));
    if (f.kind >= FaultKind::machineKill && s.machines.count == 0) t.problem("kind", "there are no machines");
    if (f.kind >= FaultKind::coordinatorKill && !s.roll.there) t.problem("kind", "there is no roll");
    s.faults.push_back(std::move(f));
}

void readCaches(TomlTable& t, Scenario& s) {
    CachePlan c;
    c.name = t.string("name", std::nullopt);
    c.count = t.integer("count", std::nullopt, 1, 200);
    c.cores = t.number("cores", 4.0, 1, 1024);
    c.speed = t.number("speed", 1.0, 0.001, 1000);
    c.queue = t.integer("queue", 12);
    c.keys = t.integer("keys", 20'000, 1);
    c.connections = t.integer("connections", 2'000, 1);
    c.handshake = t.micros("handshake_us", 300.0);
    c.errors = t.fraction("errors", 0.0);
    s.caches.push_back(std::move(c));
}

void readLoad(TomlTable& t, LoadPlan& l) {
    using Shape = LoadPlan::Shape;
    l.perSecond = t.number("per_second", std::nullopt, 0.1, 1e6);
    l.shape = t.word<Shape>(
        "shape",
        {{"steady", Shape::steady}, {"bursty", Shape::bursty}, {"ramp", Shape::ramp}, {"wave", Shape::wave}},
        Shape::steady);
    l.swing = t.fraction("swing", l.shape == Shape::steady ? 0.0 : 0.3);
    l.period = std::max<Nanos>(t.millis("period_ms", 5'000.0), kMillisecond);
    l.keys = t.integer("keys", 5'000, 1);
    l.zipf = t.number("zipf", 1.0, 0, 5);
    l.drift = t.fraction("drift", 0.0);
    l.tries = t.integer("tries", 2, 1, 10);
    l.backoff = t.millis("backoff_ms", 50.0);
    l.impatient = t.fraction("impatient", 0.0);
}

Scenario scenarioOf(TomlTable& t) {
    Scenario s;
    s.name = t.string("name", std::nullopt);
    s.about = t.string("about", "");
    s.length = t.millis("length_ms", std::nullopt);
    if (s.length < 100 * kMillisecond) t.problem("length_ms", "is under 100");
    s.drainGrace = t.millis("drain_grace_ms", 500.0);
    s.slack = t.millis("slack_ms", 100.0);
    t.one("machines", false, [&](TomlTable& m) {
        s.machines.count = m.integer("count", 0, 0, 40);
        s.machines.instances = m.integer("instances", 1, 1, 50);
        s.machines.fileList = m.word<bool>("list", {{"discovery", false}, {"file", true}}, false);
    });
    const int onMachines = s.machines.count * s.machines.instances;
    t.one("routers", onMachines == 0, [&](TomlTable& r) {
        if (onMachines > 0) {
            if (r.has("count")) r.problem("count", "is told by [machines]");
            r.skip("count");
            s.routers.count = onMachines;
        } else {
            s.routers.count = r.integer("count", std::nullopt, 1, 1000);
        }
        s.routers.moved = r.integer("moved", 0, 0, s.routers.count);
        s.routers.memoryMb = static_cast<std::size_t>(r.integer("memory_mb", 64, 16, 100'000));
        s.routers.descriptors = static_cast<std::size_t>(r.integer("descriptors", 512, 64, 100'000));
        s.routers.open = static_cast<std::size_t>(r.integer("open", 20'000, 1));
        s.routers.attempts = r.integer("relays", 3, 1, 100);
        s.routers.connectWithin = r.millis("connect_ms", 200.0);
        s.routers.idle = r.millis("idle_ms", 15'000.0);
        s.routers.notice = r.millis("notice_ms", 1'500.0);
        s.routers.restart = r.millis("restart_ms", 1'500.0);
        s.routers.mostComeBack = r.millis("come_back_ms", 2'000.0);
    });
    t.one("network", true, [&](TomlTable& n) {
        s.network.zones = n.strings("zones");
        if (s.network.zones.empty()) n.problem("zones", "names none");
        s.network.same = n.micros("same_us", 250.0);
        s.network.cross = n.micros("cross_us", 5'000.0);
        s.network.jitter = n.fraction("jitter", 0.2);
        s.network.crossPrice = n.fraction("cross_price", 0.0);
    });
    t.each("caches", true, [&](TomlTable& c) { readCaches(c, s); });
    if (s.caches.empty()) t.problem("caches", "there is none");
    if (s.cacheCount() > 240) t.problem("caches", "there are over 240 in all");
    t.one("cold", false, [&](TomlTable& c) {
        s.cold.share = c.number("share", 0.35, 0.01, 1);
        s.cold.ramp = c.millis("ramp_ms", 5'000.0);
        s.cold.tip = c.number("tip", 4.0, 1, 100);
        s.cold.fallSpan = c.millis("fall_ms", 1'500.0);
        s.cold.down = c.millis("down_ms", 5'000.0);
    });
    t.one("origin", true, [&](TomlTable& o) {
        s.origin.cores = o.number("cores", std::nullopt, 1, 10'000);
        s.origin.speed = o.number("speed", 1.0, 0.001, 1000);
        s.origin.queue = o.integer("queue", 200);
        s.origin.connections = o.integer("connections", 5'000, 1);
        s.origin.thrash = o.number("thrash", 0.1, 0, 100);
        s.origin.tip = o.number("tip", 2.5, 0, 100);
        s.origin.stopped = o.millis("stopped_ms", 3'000.0);
        s.origin.readWork = o.number("read_work", 1.0, 0.001, 1000);
    });
    t.one("discovery", false, [&](TomlTable& d) {
        s.discovery.noticeGone = d.millis("notice_gone_ms", 1'500.0);
        s.discovery.noticeBack = d.millis("notice_back_ms", 600.0);
        s.discovery.perSecond = d.number("per_second", 200.0, 0.1, 1e6);
        s.discovery.limit = d.millis("limit_ms", 3'000.0);
        s.discovery.pollInterval = d.millis("ask_within_ms", 10'000.0);
        s.discovery.crowded = d.boolean("crowded", false);
        s.discovery.toldWithin = d.millis("told_within_ms", 0.0);
        s.discovery.weighEvery = d.millis("weigh_every_ms", 1'000.0);
        if (s.discovery.weighEvery < 10 * kMillisecond) d.problem("weigh_every_ms", "is under 10");
    });
    t.one("load", true, [&](TomlTable& l) { readLoad(l, s.load); });
    t.each("verbs", true, [&](TomlTable& v) { readVerb(v, s); });
    double shares = 0;
    for (const RequestClassPlan& v : s.requestClasses) shares += v.share;
    if (shares <= 0) t.problem("verbs", "their shares add up to nothing");
    t.each("customers", false, [&](TomlTable& c) {
        s.tenants.push_back({c.string("name", std::nullopt), c.number("share", std::nullopt),
                             c.number("quota", std::nullopt)});
    });
    double tenants = 0;
    for (const TenantPlan& c : s.tenants) tenants += c.share;
    if (!s.tenants.empty() && tenants <= 0) t.problem("customers", "their shares add up to nothing");
    t.one("roll", false, [&](TomlTable& r) {
        s.roll.there = r.has("at_ms");
        if (!s.roll.there) return;
        s.roll.at = r.millis("at_ms", std::nullopt);
        s.roll.change = r.string("change", "same");
        s.roll.size = r.number("size", 0.0, 0, 1000);
        s.roll.watch = r.millis("watch_ms", 3'000.0);
        s.roll.least = r.millis("least_ms", 4'000.0);
        s.roll.longest = r.millis("longest_ms", 20'000.0);
        s.roll.settleTime = r.millis("settle_ms", 1'500.0);
        s.roll.keep = r.millis("keep_ms", 4'000.0);
        s.roll.back = r.millis("back_ms", 15'000.0);
        s.roll.harm = r.number("harm", 0.02, 0.0005, 0.5);
        s.roll.silent = r.number("silent", 0.02, 0.0001, 0.5);
        s.roll.machine = r.integer("machine", -1, -1, std::max(s.machines.count - 1, -1));
        s.roll.stages = r.has("stages") ? r.strings("stages") : std::vector<std::string>{"1", "0.25", "1.0"};
        if (s.machines.count == 0) r.problem("at_ms", "there are no machines to roll over");
        if (s.roll.bySettings() && s.roll.change == "deaf" && !s.machines.fileList)
            r.problem("change", "needs [machines] list = \"file\"");
    });
    t.each("faults", false, [&](TomlTable& f) { readFault(f, s); });
    t.one("holds", false, [&](TomlTable& h) {
        s.bounds.goal = h.fraction("goal", 0.0);
        s.bounds.answered = h.fraction("answered", 0.0);
        s.bounds.attempts = h.number("relays", 1e9);
        s.bounds.connections = h.number("connections", 1e9);
        s.bounds.crossings = h.number("crossings", 1e9);
        s.bounds.coldLoad = h.number("cold_load", 1e9);
        s.bounds.coldExcess = h.number("cold_excess", 1e9);
        s.bounds.coldFalls = h.number("cold_falls", 1e9);
        s.bounds.originMean = h.number("origin_mean", 1e9);
        s.bounds.apart = h.fraction("apart", 1.0);
        s.bounds.sentOn = h.fraction("sent_on", 1.0);
        s.bounds.went = h.number("went", 0.0, 0, 1);
        s.bounds.undone = h.number("undone", 0.0, 0, 1);
        s.bounds.harmed = h.fraction("harmed", 1.0);
    });
    t.finish();
    return s;
}

template <class T>
std::string_view wordFor(const std::vector<std::pair<T, std::string_view>>& words, T value) {
    for (const auto& [at, name] : words)
        if (at == value) return name;
    return "";
}

}  // namespace

bool Scenario::hasProcessFaults() const {
    return std::any_of(faults.begin(), faults.end(), [](const FaultPlan& fault) {
        return fault.kind >= FaultKind::callsFail && fault.kind <= FaultKind::holdUp;
    });
}

int Scenario::cacheCount() const {
    int n = 0;
    for (const CachePlan& c : caches) n += c.count;
    return n;
}

Nanos Scenario::longestLimit() const {
    Nanos longest = 0;
    for (const RequestClassPlan& v : requestClasses) longest = std::max(longest, v.limit);
    return longest;
}

std::string_view nameOf(FaultKind kind) {
    for (const auto& [name, value] : faultNames())
        if (value == kind) return name;
    return "";
}

Scenario parseScenario(std::string_view said, const std::string& path) {
    config::ConfigProblems problems(path);
    Scenario scenario;
    if (const auto table = config::parseToml(said, path, problems)) {
        TomlTable top(*table, problems);
        scenario = scenarioOf(top);
    }
    if (!problems.none()) throw ScenarioError(problems.text());
    return scenario;
}

Scenario readScenario(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw ScenarioError(path + ":1: can't be read");
    return parseScenario(text, path);
}

PolicySettings policySettingsOf(const Scenario& s, int router, std::uint64_t seed) {
    PolicySettings t;
    t.seed = seed;
    t.routerCount = s.routers.count;
    t.weightsFollowLoad = s.isMoved(router);
    t.cacheAside = true;
    t.originShape = "origin";
    t.zone = s.zoneOf(router);
    t.crossZoneCost = s.network.crossPrice;
    t.pollsEndpoints = true;
    t.retryAfterAllowed = s.routers.mostComeBack > 0;
    t.maxAttempts = s.routers.attempts;
    t.maxRetryAfter = s.routers.mostComeBack;
    t.pollInterval = s.discovery.pollInterval;
    t.maxFirstPollDelay = t.pollInterval / 2;
    t.initialFraction = s.cold.share;
    t.rampDuration = s.cold.ramp;
    t.overloadMultiple = s.cold.tip;
    t.overloadWindow = s.cold.fallSpan;
    for (const RequestClassPlan& v : s.requestClasses) {
        t.requestClasses.push_back(v.requestClass);
        t.requestClasses.back().timeout = v.limit;
    }
    for (const TenantPlan& c : s.tenants) t.tenants.push_back({c.name, c.quota});
    return t;
}

std::string operatorFormOf(const Scenario& s, const std::vector<FormServer>& servers, int discoveryPort,
                           const std::string& change) {
    const auto ms = [](Nanos ns) { return static_cast<double>(ns) / 1e6; };
    std::string out = fmt::format(
        "[instance]\nname = \"{{name}}\"\nlisten = \"{{listen}}\"\nzone = \"{}\"\nmemory_mb = "
        "{}\ndescriptors = "
        "{}\nrouters = {}\n",
        change == "misnamed" ? "nowhere" : "{zone}", s.routers.memoryMb, s.routers.descriptors,
        s.routers.count);
    if (discoveryPort) out += fmt::format("discovery = \"{{address}}:{}\"\n", discoveryPort);
    out += fmt::format(
        "[admin]\nsocket = \"{{socket}}\"\n[limits]\nopen = {}\nrelays = {}\nidle_ms = {}\nconnect_ms = "
        "{}\ncross_price = {:.6f}\ncome_back_ms = {}\nask_within_ms = {}\n[cold]\nshare = {:.6f}\nramp_ms = "
        "{}\ntip = {:.6f}\nfall_ms = {}\n",
        s.routers.open, s.routers.attempts, ms(s.routers.idle), ms(s.routers.connectWithin),
        s.network.crossPrice, ms(s.routers.mostComeBack), ms(s.discovery.pollInterval), s.cold.share,
        ms(s.cold.ramp), s.cold.tip, ms(s.cold.fallSpan));
    for (const RequestClassPlan& v : s.requestClasses) {
        // The first request class's limit at half and less: an answer at the usual time is too late by then.
        const bool halved = change == "halved" && &v == &s.requestClasses.front();
        out += fmt::format(
            "[[verbs]]\nname = \"{}\"\neffect = \"{}\"\ngoal_ms = {}\nlimit_ms = {}\nutility = "
            "{:.6f}\nlate_utility = {:.6f}\n",
            v.requestClass.name,
            wordFor<Idempotency>({{Idempotency::safe, "pure"},
                                  {Idempotency::idempotentWithKey, "receipted"},
                                  {Idempotency::nonIdempotent, "effectful"}},
                                 v.requestClass.idempotency),
            ms(halved ? v.requestClass.latencyObjective / 8 : v.requestClass.latencyObjective),
            ms(halved ? v.requestClass.latencyObjective / 8 : v.limit), v.requestClass.priorityWeight,
            v.requestClass.lateWeight);
        if (v.requestClass.idempotency == Idempotency::idempotentWithKey)
            out += fmt::format("remembered_ms = {}\ngroup = \"{}\"\n", ms(v.requestClass.idempotencyKeyTtl),
                               wordFor<DeduplicationScope>({{DeduplicationScope::all, "all"},
                                                            {DeduplicationScope::zone, "zone"},
                                                            {DeduplicationScope::cell, "cell"}},
                                                           v.requestClass.deduplicationScope));
    }
    for (const TenantPlan& c : s.tenants)
        out += fmt::format("[[customers]]\nname = \"{}\"\nquota = {:.6f}\n", c.name, c.quota);
    for (const FormServer& one : servers)
        out += fmt::format(
            "[[servers]]\nname = \"{}\"\naddress = \"{{address}}:{}\"\nzone = \"{}\"\ncell = {}\nsize = "
            "{:.6f}\norigin = {}\n",
            one.name, change == "deaf" ? one.port + 20'000 : one.port, one.zone, one.cell, one.size,
            one.origin);
    return out;
}

nlohmann::json configurationOf(const Scenario& s, const RouterPlace& place, std::uint64_t seed,
                               const nlohmann::json& known) {
    using nlohmann::json;
    const auto us = [](Nanos ns) { return ns / 1000; };
    json requestClasses = json::array();
    for (const RequestClassPlan& v : s.requestClasses) {
        json one{{"name", v.requestClass.name},
                 {"effect", wordFor<Idempotency>({{Idempotency::safe, "free"},
                                                  {Idempotency::idempotentWithKey, "guarded"},
                                                  {Idempotency::nonIdempotent, "single_shot"}},
                                                 v.requestClass.idempotency)},
                 {"responseGoalUs", us(v.requestClass.latencyObjective)},
                 {"timeLimitUs", us(v.limit)},
                 {"utility", v.requestClass.priorityWeight},
                 {"lateUtility", v.requestClass.lateWeight}};
        if (v.requestClass.idempotency == Idempotency::idempotentWithKey) {
            one["group"] = wordFor<DeduplicationScope>({{DeduplicationScope::all, "all"},
                                                        {DeduplicationScope::zone, "zone"},
                                                        {DeduplicationScope::cell, "cell"}},
                                                       v.requestClass.deduplicationScope);
            one["keyTtlUs"] = us(v.requestClass.idempotencyKeyTtl);
        }
        requestClasses.push_back(std::move(one));
    }
    json tenants = json::array();
    for (const TenantPlan& c : s.tenants) tenants.push_back({{"name", c.name}, {"quotaPerS", c.quota}});
    json settings{{"replicasOfMe", s.routers.count},
                  {"membershipMode", "on_request"},
                  {"shapes", {"cache", "origin"}},
                  {"familyInfo", {{"mode", "aside"}, {"originKind", 1}}},
                  {"allowed",
                   {{"connIdleUs", us(s.routers.idle)},
                    {"connectTimeoutUs", us(s.routers.connectWithin)},
                    {"maxOpen", s.routers.open},
                    {"maxRelays", s.routers.attempts},
                    {"maxRetryAfterUs", us(s.routers.mostComeBack)},
                    {"retryAfter", s.routers.mostComeBack > 0}}},
                  {"rules",
                   {{"askWithinUs", us(s.discovery.pollInterval)},
                    {"fallUs", us(s.cold.fallSpan)},
                    {"rampTimeUs", us(s.cold.ramp)},
                    {"startCapacity", s.cold.share},
                    {"tipMultiple", s.cold.tip}}},
                  {"myZone", s.zoneOf(place.index)},
                  {"costs", {{"crossZone", s.network.crossPrice}}},
                  {"weights", s.isMoved(place.index) ? "live" : "nominal"},
                  {"verbs", std::move(requestClasses)}};
    if (!tenants.empty()) settings["orgs"] = std::move(tenants);
    return {
        {"name", place.name},
        {"listen", place.listen},
        {"discovery", place.discovery},
        {"seed", fmt::format("{:016x}", seed)},
        {"limits", {{"cores", 1.0}, {"memory_mb", s.routers.memoryMb}, {"sockets", s.routers.descriptors}}},
        {"known", known},
        {"settings", std::move(settings)}};
}

}  // namespace poppyscale::testbed
