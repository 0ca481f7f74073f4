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
                                                      {"cut", FaultKind::zonePartition},
                                                      {"refuse", FaultKind::refuse},
                                                      {"late", FaultKind::connectsDropped},
                                                      {"leave", FaultKind::clientsLeave},
                                                      {"reset", FaultKind::reset},
                                                      {"slow_reader", FaultKind::slowReader},
                                                      {"deaf", FaultKind::unresponsive},
                                                      {"spoil", FaultKind::malformedResponses},
                                                      {"slow_replies", FaultKind::slowReplies},
                                                      {"stopped_replies", FaultKind::stoppedReplies},
                                                      {"router_terminate", FaultKind::routerTerminate},
                                                      {"crowd", FaultKind::crowd},
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
                                                      {"wall_step", FaultKind::wallClockOffset},
                                                      {"hold_up", FaultKind::eventLoopDelay},
                                                      {"machine_kill", FaultKind::machineKill},
                                                      {"machine_lost", FaultKind::machineLost},
                                                      {"machine_stop", FaultKind::machineStop},
                                                      {"machine_cut", FaultKind::machinePartition},
                                                      {"agent_kill", FaultKind::agentKill},
                                                      {"agent_stop", FaultKind::agentStop},
                                                      {"machine_sleep", FaultKind::machineSleep},
                                                      {"disk_full", FaultKind::diskFull},
                                                      {"disk_read_only", FaultKind::diskReadOnly},
                                                      {"disk_slow", FaultKind::diskSlow},
                                                      {"sync_fails", FaultKind::syncFails},
                                                      {"program_gone", FaultKind::programsLost},
                                                      {"clock_rate", FaultKind::clockRate},
                                                      {"clock_jump", FaultKind::clockJump},
                                                      {"way_delay", FaultKind::pathDelay},
                                                      {"way_stall", FaultKind::pathStall},
                                                      {"way_drop", FaultKind::pathDrop},
                                                      {"coordinator_kill", FaultKind::coordinatorKill},
                                                      {"coordinator_twice", FaultKind::secondCoordinator}};
    return names;
}

double milliseconds(Nanos duration) { return static_cast<double>(duration) / 1e6; }

void readRequestClass(TomlTable& table, Scenario& scenario) {
    RequestClassPlan plan;
    RequestClass& requestClass = plan.requestClass;
    requestClass.name = table.string("name", std::nullopt);
    requestClass.idempotency = table.word<Idempotency>("effect",
                                                       {{"pure", Idempotency::safe},
                                                        {"receipted", Idempotency::idempotentWithKey},
                                                        {"effectful", Idempotency::nonIdempotent}},
                                                       std::nullopt);
    if (requestClass.idempotency == Idempotency::idempotentWithKey) {
        requestClass.deduplicationScope = table.word<DeduplicationScope>("group",
                                                                         {{"all", DeduplicationScope::all},
                                                                          {"zone", DeduplicationScope::zone},
                                                                          {"cell", DeduplicationScope::cell}},
                                                                         DeduplicationScope::all);
        requestClass.idempotencyKeyTtl = table.millis("remembered_ms", std::nullopt);
    }
    requestClass.latencyObjective = table.millis("goal_ms", std::nullopt);
    plan.timeout = table.millis("limit_ms", std::nullopt);
    if (plan.timeout < requestClass.latencyObjective || requestClass.latencyObjective < kMillisecond)
        table.problem("goal_ms",
                      fmt::format("is {} ms, must be from 1 ms to limit_ms, which is {} ms",
                                  milliseconds(requestClass.latencyObjective), milliseconds(plan.timeout)));
    requestClass.priorityWeight = table.number("utility", 1.0);
    requestClass.lateWeight = table.fraction("late_utility", 0.0);
    plan.share = table.number("share", std::nullopt);
    plan.work = table.micros("work_us", std::nullopt);
    plan.spread = table.number("spread", 0.0, 0, 10);
    plan.write = table.boolean("write", requestClass.idempotency != Idempotency::safe);
    for (const RequestClassPlan& other : scenario.requestClasses)
        if (other.requestClass.name == requestClass.name)
            table.problem("name",
                          fmt::format("'{}' is the name of another [[verbs]] entry", requestClass.name));
    scenario.requestClasses.push_back(std::move(plan));
}

void readFault(TomlTable& table, Scenario& scenario) {
    FaultPlan fault;
    fault.kind = table.word("kind", faultNames(), std::optional<FaultKind>{});
    fault.at = table.millis("at_ms", std::nullopt);
    fault.length = table.millis("for_ms", 0.0);
    fault.repetitions = table.integer("times", 1, 1, 1000);
    if (fault.at + fault.length > scenario.length)
        table.problem("at_ms",
                      fmt::format("the fault ends at {} ms, after the scenario's end at {} ms",
                                  milliseconds(fault.at + fault.length), milliseconds(scenario.length)));
    switch (fault.kind) {
        case FaultKind::zonePartition:
            fault.zone = table.string("zone", std::nullopt);
            if (std::find(scenario.network.zones.begin(), scenario.network.zones.end(), fault.zone) ==
                scenario.network.zones.end())
                table.problem("zone", fmt::format("'{}' is not a zone of the network", fault.zone));
            break;
        case FaultKind::crash:
        case FaultKind::hang:
        case FaultKind::replace:
        case FaultKind::drain:
        case FaultKind::refuse:
        case FaultKind::connectsDropped:
        case FaultKind::unresponsive:
            fault.count = table.integer("count", 1, 1, scenario.cacheCount());
            break;
        case FaultKind::slow:
        case FaultKind::slowReader:
            fault.count = table.integer("count", 1, 1, scenario.cacheCount());
            fault.magnitude = table.number("by", std::nullopt);
            break;
        case FaultKind::errors:
        case FaultKind::reset:
        case FaultKind::slowReplies:
        case FaultKind::stoppedReplies:
            fault.count = table.integer("count", 1, 1, scenario.cacheCount());
            fault.magnitude = table.fraction("by", std::nullopt);
            break;
        case FaultKind::clientsLeave:
        case FaultKind::malformedResponses:
        case FaultKind::discoveryRefuse:
        case FaultKind::hotKey:
        case FaultKind::heavy:
        case FaultKind::scan:
            fault.magnitude = table.fraction("by", std::nullopt);
            break;
        case FaultKind::originSlow:
        case FaultKind::load:
            fault.magnitude = table.number("by", std::nullopt, 0.01, 1000);
            break;
        case FaultKind::crowd:
            fault.magnitude = table.number("by", std::nullopt, 1, 1000);
            break;
        case FaultKind::routerKill:
        case FaultKind::routerTerminate:
            fault.count = table.integer("count", 1, 1, scenario.routers.count);
            break;
        case FaultKind::machinePartition: {
            const auto way = table.word<int>("way", {{"both", 3}, {"to", 1}, {"from", 2}}, 3);
            fault.cutsInbound = way & 1;
            fault.cutsOutbound = way & 2;
            fault.peers = table.integers("others", 0, std::max(scenario.machines.count - 1, 0));
            break;
        }
        case FaultKind::clockRate:
            fault.magnitude = table.number("by", std::nullopt, 0.1, 10);
            break;
        case FaultKind::callsFail:
            fault.magnitude = table.fraction("by", std::nullopt);
            fault.call = table.string("call", std::nullopt);
            fault.effect = table.string("way", std::nullopt);
            if (!fault_injection::parseSystemCall(fault.call))
                table.problem("call",
                              fmt::format("'{}' is not a system call that can be made to fail", fault.call));
            if (!fault_injection::parseFaultEffect(fault.effect))
                table.problem("way", fmt::format("'{}' is not an effect that a failing system call can have",
                                                 fault.effect));
            break;
        case FaultKind::eventLoopDelay:
            fault.magnitude = table.number("by", std::nullopt, 1, 1000);
            break;
        case FaultKind::wallClockOffset:
        case FaultKind::clockJump:
            fault.magnitude = table.number("by", std::nullopt, -1e9, 1e9);
            break;
        case FaultKind::syncFails:
            fault.count = table.integer("count", 1, 1, 1000);
            break;
        case FaultKind::discoverySlow:
        case FaultKind::diskSlow:
        case FaultKind::pathDelay:
            fault.magnitude = table.number("by", std::nullopt, 0, 60'000);
            break;
        case FaultKind::pathDrop:
            fault.magnitude = table.fraction("by", std::nullopt);
            break;
        default:
            break;
    }
    if (fault.kind >= FaultKind::machineKill && fault.kind < FaultKind::coordinatorKill)
        fault.machine = table.integer("machine", -1, -1, std::max(scenario.machines.count - 1, -1));
    // Without `machine` a second coordinator runs on the operator's machine.
    if (fault.kind == FaultKind::secondCoordinator)
        fault.machine = table.integer("machine", -1, -1, std::max(scenario.machines.count - 1, -1));
    if (fault.kind >= FaultKind::machineKill && scenario.machines.count == 0)
        table.problem("kind", "this kind of fault needs [machines] with count > 0");
    if (fault.kind >= FaultKind::coordinatorKill && !scenario.rollout.isEnabled)
        table.problem("kind", "this kind of fault needs [roll] with at_ms");
    scenario.faults.push_back(std::move(fault));
}

void readCache(TomlTable& table, Scenario& scenario) {
    CachePlan cache;
    cache.name = table.string("name", std::nullopt);
    cache.count = table.integer("count", std::nullopt, 1, 200);
    cache.cores = table.number("cores", 4.0, 1, 1024);
    cache.speed = table.number("speed", 1.0, 0.001, 1000);
    cache.queueLimit = table.integer("queue", 12);
    cache.maxKeys = table.integer("keys", 20'000, 1);
    cache.maxConnections = table.integer("connections", 2'000, 1);
    cache.handshakeWork = table.micros("handshake_us", 300.0);
    cache.errorShare = table.fraction("errors", 0.0);
    scenario.caches.push_back(std::move(cache));
}

void readLoad(TomlTable& table, LoadPlan& load) {
    using Shape = LoadPlan::Shape;
    load.meanRate = table.number("per_second", std::nullopt, 0.1, 1e6);
    load.shape = table.word<Shape>(
        "shape",
        {{"steady", Shape::steady}, {"bursty", Shape::bursty}, {"ramp", Shape::ramp}, {"wave", Shape::wave}},
        Shape::steady);
    load.amplitude = table.fraction("swing", load.shape == Shape::steady ? 0.0 : 0.3);
    load.period = std::max<Nanos>(table.millis("period_ms", 5'000.0), kMillisecond);
    load.keyCount = table.integer("keys", 5'000, 1);
    load.zipfExponent = table.number("zipf", 1.0, 0, 5);
    load.keyDrift = table.fraction("drift", 0.0);
    load.maxTries = table.integer("tries", 2, 1, 10);
    load.initialBackoff = table.millis("backoff_ms", 50.0);
    load.impatientShare = table.fraction("impatient", 0.0);
    load.minPatience = table.millis("patience_ms", 0.0);
    load.maxPatience = table.millis("max_patience_ms", static_cast<double>(load.minPatience / kMillisecond));
    if (load.maxPatience < load.minPatience)
        table.problem("max_patience_ms",
                      fmt::format("is {} ms, must be at least patience_ms, which is {} ms",
                                  milliseconds(load.maxPatience), milliseconds(load.minPatience)));
}

Scenario readScenarioTable(TomlTable& table) {
    Scenario scenario;
    scenario.name = table.string("name", std::nullopt);
    scenario.about = table.string("about", "");
    scenario.length = table.millis("length_ms", std::nullopt);
    if (scenario.length < 100 * kMillisecond)
        table.problem("length_ms",
                      fmt::format("is {} ms, must be at least 100 ms", milliseconds(scenario.length)));
    scenario.drainGrace = table.millis("drain_grace_ms", 500.0);
    scenario.slack = table.millis("slack_ms", 100.0);
    table.one("machines", false, [&](TomlTable& section) {
        scenario.machines.count = section.integer("count", 0, 0, 40);
        scenario.machines.instances = section.integer("instances", 1, 1, 50);
        scenario.machines.listsServersInFile =
            section.word<bool>("list", {{"discovery", false}, {"file", true}}, false);
    });
    const int onMachines = scenario.machines.count * scenario.machines.instances;
    table.one("routers", onMachines == 0, [&](TomlTable& section) {
        if (onMachines > 0) {
            if (section.has("count"))
                section.problem("count", "must not be set beside [machines], where it is count * instances");
            section.skip("count");
            scenario.routers.count = onMachines;
        } else {
            scenario.routers.count = section.integer("count", std::nullopt, 1, 1000);
        }
        scenario.routers.loadWeightedCount = section.integer("moved", 0, 0, scenario.routers.count);
        scenario.routers.memoryMb = static_cast<std::size_t>(section.integer("memory_mb", 64, 16, 100'000));
        scenario.routers.descriptors =
            static_cast<std::size_t>(section.integer("descriptors", 512, 64, 100'000));
        scenario.routers.maxOpenRequests = static_cast<std::size_t>(section.integer("open", 20'000, 1));
        scenario.routers.maxAttempts = section.integer("relays", 3, 1, 100);
        scenario.routers.connectTimeout = section.millis("connect_ms", 200.0);
        scenario.routers.idleTimeout = section.millis("idle_ms", 15'000.0);
        scenario.routers.failureDetectionDelay = section.millis("notice_ms", 1'500.0);
        scenario.routers.restartDelay = section.millis("restart_ms", 1'500.0);
        scenario.routers.maxRetryAfter = section.millis("come_back_ms", 2'000.0);
    });
    table.one("network", true, [&](TomlTable& section) {
        scenario.network.zones = section.strings("zones");
        if (scenario.network.zones.empty()) section.problem("zones", "is empty, must name at least one zone");
        scenario.network.sameZoneDelay = section.micros("same_us", 250.0);
        scenario.network.crossZoneDelay = section.micros("cross_us", 5'000.0);
        scenario.network.jitter = section.fraction("jitter", 0.2);
        scenario.network.crossZoneCost = section.fraction("cross_price", 0.0);
    });
    table.each("caches", true, [&](TomlTable& section) { readCache(section, scenario); });
    if (scenario.caches.empty()) table.problem("caches", "must have at least one entry");
    if (scenario.cacheCount() > 240)
        table.problem("caches",
                      fmt::format("the counts add up to {}, must be at most 240", scenario.cacheCount()));
    table.one("cold", false, [&](TomlTable& section) {
        scenario.slowStart.initialFraction = section.number("share", 0.35, 0.01, 1);
        scenario.slowStart.rampDuration = section.millis("ramp_ms", 5'000.0);
        scenario.slowStart.overloadMultiple = section.number("tip", 4.0, 1, 100);
        scenario.slowStart.overloadWindow = section.millis("fall_ms", 1'500.0);
        scenario.slowStart.outageDuration = section.millis("down_ms", 5'000.0);
    });
    table.one("origin", true, [&](TomlTable& section) {
        scenario.origin.cores = section.number("cores", std::nullopt, 1, 10'000);
        scenario.origin.speed = section.number("speed", 1.0, 0.001, 1000);
        scenario.origin.queueLimit = section.integer("queue", 200);
        scenario.origin.maxConnections = section.integer("connections", 5'000, 1);
        scenario.origin.queueSlowdown = section.number("thrash", 0.1, 0, 100);
        scenario.origin.overloadMultiple = section.number("tip", 2.5, 0, 100);
        scenario.origin.outageDuration = section.millis("stopped_ms", 3'000.0);
        scenario.origin.readWorkFactor = section.number("read_work", 1.0, 0.001, 1000);
    });
    table.one("discovery", false, [&](TomlTable& section) {
        scenario.discovery.removalDelay = section.millis("notice_gone_ms", 1'500.0);
        scenario.discovery.returnDelay = section.millis("notice_back_ms", 600.0);
        scenario.discovery.pollRate = section.number("per_second", 200.0, 0.1, 1e6);
        scenario.discovery.maxQueueDelay = section.millis("limit_ms", 3'000.0);
        scenario.discovery.pollInterval = section.millis("ask_within_ms", 10'000.0);
        scenario.discovery.limitsPolls = section.boolean("crowded", false);
        scenario.discovery.assumedKnownAfter = section.millis("told_within_ms", 0.0);
        scenario.discovery.weightInterval = section.millis("weigh_every_ms", 1'000.0);
        if (scenario.discovery.weightInterval < 10 * kMillisecond)
            section.problem("weigh_every_ms", fmt::format("is {} ms, must be at least 10 ms",
                                                          milliseconds(scenario.discovery.weightInterval)));
    });
    table.one("load", true, [&](TomlTable& section) { readLoad(section, scenario.load); });
    table.each("verbs", true, [&](TomlTable& section) { readRequestClass(section, scenario); });
    double classShares = 0;
    for (const RequestClassPlan& plan : scenario.requestClasses) classShares += plan.share;
    if (classShares <= 0) table.problem("verbs", "the shares add up to 0");
    table.each("customers", false, [&](TomlTable& section) {
        scenario.tenants.push_back({section.string("name", std::nullopt),
                                    section.number("share", std::nullopt),
                                    section.number("quota", std::nullopt)});
    });
    double tenantShares = 0;
    for (const TenantPlan& tenant : scenario.tenants) tenantShares += tenant.share;
    if (!scenario.tenants.empty() && tenantShares <= 0) table.problem("customers", "the shares add up to 0");
    table.one("roll", false, [&](TomlTable& section) {
        scenario.rollout.isEnabled = section.has("at_ms");
        if (!scenario.rollout.isEnabled) return;
        scenario.rollout.at = section.millis("at_ms", std::nullopt);
        scenario.rollout.change = section.string("change", "same");
        scenario.rollout.size = section.number("size", 0.0, 0, 1000);
        scenario.rollout.baselineTime = section.millis("watch_ms", 3'000.0);
        scenario.rollout.minStageDuration = section.millis("least_ms", 4'000.0);
        scenario.rollout.maxStageDuration = section.millis("longest_ms", 20'000.0);
        scenario.rollout.settleTime = section.millis("settle_ms", 1'500.0);
        scenario.rollout.agentHoldDuration = section.millis("keep_ms", 4'000.0);
        scenario.rollout.rollbackTimeout = section.millis("back_ms", 15'000.0);
        scenario.rollout.harm = section.number("harm", 0.02, 0.0005, 0.5);
        scenario.rollout.silent = section.number("silent", 0.02, 0.0001, 0.5);
        scenario.rollout.machine =
            section.integer("machine", -1, -1, std::max(scenario.machines.count - 1, -1));
        scenario.rollout.stages =
            section.has("stages") ? section.strings("stages") : std::vector<std::string>{"1", "0.25", "1.0"};
        if (scenario.machines.count == 0)
            section.problem("at_ms", "a rollout needs [machines] with count > 0");
        if (scenario.rollout.changesSettings() && scenario.rollout.change == "deaf" &&
            !scenario.machines.listsServersInFile)
            section.problem("change", "'deaf' needs list = \"file\" in [machines]");
    });
    table.each("faults", false, [&](TomlTable& section) { readFault(section, scenario); });
    table.one("holds", false, [&](TomlTable& section) {
        scenario.bounds.goal = section.fraction("goal", 0.0);
        scenario.bounds.answered = section.fraction("answered", 0.0);
        scenario.bounds.attempts = section.number("relays", 1e9);
        scenario.bounds.connections = section.number("connections", 1e9);
        scenario.bounds.crossings = section.number("crossings", 1e9);
        scenario.bounds.coldLoad = section.number("cold_load", 1e9);
        scenario.bounds.coldExcess = section.number("cold_excess", 1e9);
        scenario.bounds.coldFalls = section.number("cold_falls", 1e9);
        scenario.bounds.originMean = section.number("origin_mean", 1e9);
        scenario.bounds.apart = section.fraction("apart", 1.0);
        scenario.bounds.sentOn = section.fraction("sent_on", 1.0);
        scenario.bounds.went = section.number("went", 0.0, 0, 1);
        scenario.bounds.undone = section.number("undone", 0.0, 0, 1);
        scenario.bounds.harmed = section.fraction("harmed", 1.0);
    });
    table.finish();
    return scenario;
}

template <class T>
std::string_view nameFor(const std::vector<std::pair<T, std::string_view>>& words, T value) {
    for (const auto& [key, name] : words)
        if (key == value) return name;
    return "";
}

}  // namespace

bool Scenario::hasProcessFaults() const {
    return std::any_of(faults.begin(), faults.end(), [](const FaultPlan& fault) {
        return fault.kind >= FaultKind::callsFail && fault.kind <= FaultKind::eventLoopDelay;
    });
}

int Scenario::cacheCount() const {
    int total = 0;
    for (const CachePlan& plan : caches) total += plan.count;
    return total;
}

Nanos Scenario::longestTimeout() const {
    Nanos longest = 0;
    for (const RequestClassPlan& plan : requestClasses) longest = std::max(longest, plan.timeout);
    return longest;
}

std::string_view nameOf(FaultKind kind) {
    for (const auto& [name, value] : faultNames())
        if (value == kind) return name;
    return "";
}

Scenario parseScenario(std::string_view text, const std::string& path) {
    config::ConfigProblems problems(path);
    Scenario scenario;
    if (const auto table = config::parseToml(text, path, problems)) {
        TomlTable top(*table, problems);
        scenario = readScenarioTable(top);
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

PolicySettings policySettingsOf(const Scenario& scenario, int router, std::uint64_t seed) {
    PolicySettings settings;
    settings.seed = seed;
    settings.routerCount = scenario.routers.count;
    settings.weightsFollowLoad = scenario.usesLoadWeights(router);
    settings.cacheAside = true;
    settings.originShape = "origin";
    settings.zone = scenario.zoneOf(router);
    settings.crossZoneCost = scenario.network.crossZoneCost;
    settings.pollsEndpoints = true;
    settings.retryAfterAllowed = scenario.routers.maxRetryAfter > 0;
    settings.maxAttempts = scenario.routers.maxAttempts;
    settings.maxRetryAfter = scenario.routers.maxRetryAfter;
    settings.pollInterval = scenario.discovery.pollInterval;
    settings.maxFirstPollDelay = settings.pollInterval / 2;
    settings.initialFraction = scenario.slowStart.initialFraction;
    settings.rampDuration = scenario.slowStart.rampDuration;
    settings.overloadMultiple = scenario.slowStart.overloadMultiple;
    settings.overloadWindow = scenario.slowStart.overloadWindow;
    for (const RequestClassPlan& plan : scenario.requestClasses) {
        settings.requestClasses.push_back(plan.requestClass);
        settings.requestClasses.back().timeout = plan.timeout;
    }
    for (const TenantPlan& tenant : scenario.tenants) settings.tenants.push_back({tenant.name, tenant.quota});
    return settings;
}

std::string operatorTemplateOf(const Scenario& scenario, const std::vector<TemplateServer>& servers,
                               int discoveryPort, const std::string& change) {
    std::string out = fmt::format(
        "[instance]\nname = \"{{name}}\"\nlisten = \"{{listen}}\"\nzone = \"{}\"\nmemory_mb = "
        "{}\ndescriptors = "
        "{}\nrouters = {}\n",
        change == "misnamed" ? "nowhere" : "{zone}", scenario.routers.memoryMb, scenario.routers.descriptors,
        scenario.routers.count);
    if (discoveryPort) out += fmt::format("discovery = \"{{address}}:{}\"\n", discoveryPort);
    out += fmt::format(
        "[admin]\nsocket = \"{{socket}}\"\n[limits]\nopen = {}\nrelays = {}\nidle_ms = {}\nconnect_ms = "
        "{}\ncross_price = {:.6f}\ncome_back_ms = {}\nask_within_ms = {}\n[cold]\nshare = {:.6f}\nramp_ms = "
        "{}\ntip = {:.6f}\nfall_ms = {}\n",
        scenario.routers.maxOpenRequests, scenario.routers.maxAttempts,
        milliseconds(scenario.routers.idleTimeout), milliseconds(scenario.routers.connectTimeout),
        scenario.network.crossZoneCost, milliseconds(scenario.routers.maxRetryAfter),
        milliseconds(scenario.discovery.pollInterval), scenario.slowStart.initialFraction,
        milliseconds(scenario.slowStart.rampDuration), scenario.slowStart.overloadMultiple,
        milliseconds(scenario.slowStart.overloadWindow));
    for (const RequestClassPlan& plan : scenario.requestClasses) {
        // The change "halved" sets the objective and the timeout of the first request class to an
        // eighth of its latency objective. A response that takes its usual time is then too late.
        const bool halved = change == "halved" && &plan == &scenario.requestClasses.front();
        out += fmt::format(
            "[[verbs]]\nname = \"{}\"\neffect = \"{}\"\ngoal_ms = {}\nlimit_ms = {}\nutility = "
            "{:.6f}\nlate_utility = {:.6f}\n",
            plan.requestClass.name,
            nameFor<Idempotency>({{Idempotency::safe, "pure"},
                                  {Idempotency::idempotentWithKey, "receipted"},
                                  {Idempotency::nonIdempotent, "effectful"}},
                                 plan.requestClass.idempotency),
            milliseconds(halved ? plan.requestClass.latencyObjective / 8
                                : plan.requestClass.latencyObjective),
            milliseconds(halved ? plan.requestClass.latencyObjective / 8 : plan.timeout),
            plan.requestClass.priorityWeight, plan.requestClass.lateWeight);
        if (plan.requestClass.idempotency == Idempotency::idempotentWithKey)
            out += fmt::format("remembered_ms = {}\ngroup = \"{}\"\n",
                               milliseconds(plan.requestClass.idempotencyKeyTtl),
                               nameFor<DeduplicationScope>({{DeduplicationScope::all, "all"},
                                                            {DeduplicationScope::zone, "zone"},
                                                            {DeduplicationScope::cell, "cell"}},
                                                           plan.requestClass.deduplicationScope));
    }
    for (const TenantPlan& tenant : scenario.tenants)
        out += fmt::format("[[customers]]\nname = \"{}\"\nquota = {:.6f}\n", tenant.name, tenant.quota);
    for (const TemplateServer& server : servers)
        out += fmt::format(
            "[[servers]]\nname = \"{}\"\naddress = \"{{address}}:{}\"\nzone = \"{}\"\ncell = {}\nsize = "
            "{:.6f}\norigin = {}\n",
            server.name, change == "deaf" ? server.port + 20'000 : server.port, server.zone, server.cell,
            server.size, server.origin);
    return out;
}

nlohmann::json configurationOf(const Scenario& scenario, const RouterAddressing& addressing,
                               std::uint64_t seed, const nlohmann::json& known) {
    using nlohmann::json;
    const auto us = [](Nanos ns) { return ns / 1000; };
    json requestClasses = json::array();
    for (const RequestClassPlan& plan : scenario.requestClasses) {
        json item{{"name", plan.requestClass.name},
                  {"effect", nameFor<Idempotency>({{Idempotency::safe, "free"},
                                                   {Idempotency::idempotentWithKey, "guarded"},
                                                   {Idempotency::nonIdempotent, "single_shot"}},
                                                  plan.requestClass.idempotency)},
                  {"responseGoalUs", us(plan.requestClass.latencyObjective)},
                  {"timeLimitUs", us(plan.timeout)},
                  {"utility", plan.requestClass.priorityWeight},
                  {"lateUtility", plan.requestClass.lateWeight}};
        if (plan.requestClass.idempotency == Idempotency::idempotentWithKey) {
            item["group"] = nameFor<DeduplicationScope>({{DeduplicationScope::all, "all"},
                                                         {DeduplicationScope::zone, "zone"},
                                                         {DeduplicationScope::cell, "cell"}},
                                                        plan.requestClass.deduplicationScope);
            item["keyTtlUs"] = us(plan.requestClass.idempotencyKeyTtl);
        }
        requestClasses.push_back(std::move(item));
    }
    json tenants = json::array();
    for (const TenantPlan& tenant : scenario.tenants)
        tenants.push_back({{"name", tenant.name}, {"quotaPerS", tenant.quota}});
    json settings{{"replicasOfMe", scenario.routers.count},
                  {"membershipMode", "on_request"},
                  {"shapes", {"cache", "origin"}},
                  {"familyInfo", {{"mode", "aside"}, {"originKind", 1}}},
                  {"allowed",
                   {{"connIdleUs", us(scenario.routers.idleTimeout)},
                    {"connectTimeoutUs", us(scenario.routers.connectTimeout)},
                    {"maxOpen", scenario.routers.maxOpenRequests},
                    {"maxRelays", scenario.routers.maxAttempts},
                    {"maxRetryAfterUs", us(scenario.routers.maxRetryAfter)},
                    {"retryAfter", scenario.routers.maxRetryAfter > 0}}},
                  {"rules",
                   {{"askWithinUs", us(scenario.discovery.pollInterval)},
                    {"fallUs", us(scenario.slowStart.overloadWindow)},
                    {"rampTimeUs", us(scenario.slowStart.rampDuration)},
                    {"startCapacity", scenario.slowStart.initialFraction},
                    {"tipMultiple", scenario.slowStart.overloadMultiple}}},
                  {"myZone", scenario.zoneOf(addressing.index)},
                  {"costs", {{"crossZone", scenario.network.crossZoneCost}}},
                  {"weights", scenario.usesLoadWeights(addressing.index) ? "live" : "nominal"},
                  {"verbs", std::move(requestClasses)}};
    if (!tenants.empty()) settings["orgs"] = std::move(tenants);
    return {{"name", addressing.name},
            {"listen", addressing.listen},
            {"discovery", addressing.discovery},
            {"seed", fmt::format("{:016x}", seed)},
            {"limits",
             {{"cores", 1.0},
              {"memory_mb", scenario.routers.memoryMb},
              {"sockets", scenario.routers.descriptors}}},
            {"known", known},
            {"settings", std::move(settings)}};
}

}  // namespace poppyscale::testbed
