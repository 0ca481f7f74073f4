#include "config/deployment_config.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "config/address_setting.hpp"
#include "protocol/number.hpp"

namespace poppyscale::config {
namespace {

// The defaults of the deployment's settings; durations in milliseconds, as in the file.
constexpr int kDefaultMemoryMb = 64;
constexpr int kDefaultDescriptors = 1024;
constexpr int kDefaultRouters = 1;
constexpr const char* kDefaultSeed = "0";  // hexadecimal
constexpr int kDefaultOpenRequests = 20'000;
constexpr double kDefaultServerIdleTimeoutMs = 15'000;
constexpr double kDefaultConnectTimeoutMs = 500;
constexpr int kDefaultMaxAttempts = 3;
constexpr double kDefaultCrossZoneCost = 0;
constexpr double kDefaultMaxRetryAfterMs = 1'000;
constexpr double kDefaultPollIntervalMs = 10'000;
constexpr bool kDefaultCacheAside = true;
constexpr bool kDefaultWeightsFollowLoad = false;
constexpr double kDefaultInitialFraction = 0.3;
constexpr double kDefaultRampDurationMs = 10'000;
constexpr double kDefaultOverloadMultiple = 3;
constexpr double kDefaultOverloadWindowMs = 1'500;
constexpr DeduplicationScope kDefaultDeduplicationScope = DeduplicationScope::all;
constexpr double kDefaultPriorityWeight = 1;
constexpr double kDefaultLateWeight = 0;
constexpr int kDefaultCell = 0;
constexpr double kDefaultServerWeight = 1;
constexpr double kDefaultStartedMs = 0;  // Unix time; 0 means long ago

constexpr std::size_t kBytesPerMb = 1'000'000;

const NamedValues<Idempotency> kIdempotencyNames{{"pure", Idempotency::safe},
                                                 {"receipted", Idempotency::idempotentWithKey},
                                                 {"effectful", Idempotency::nonIdempotent}};
const NamedValues<DeduplicationScope> kDeduplicationScopeNames{
    {"all", DeduplicationScope::all}, {"zone", DeduplicationScope::zone}, {"cell", DeduplicationScope::cell}};
const NamedValues<EndpointState> kEndpointStateNames{
    {"ready", EndpointState::ready}, {"draining", EndpointState::draining}, {"gone", EndpointState::removed}};

void readInstance(TomlTable& table, protocol::StartupConfig& startup) {
    startup.name = table.string("name", std::nullopt);
    startup.listen = readAddress(table, "listen", true);
    startup.discovery = readAddress(table, "discovery", false);
    startup.console = readAddress(table, "console", false);
    const int memoryMb = table.integer("memory_mb", kDefaultMemoryMb, 16, 1'000'000);
    startup.memoryLimitBytes = static_cast<std::size_t>(memoryMb) * kBytesPerMb;
    startup.maxDescriptors =
        static_cast<std::size_t>(table.integer("descriptors", kDefaultDescriptors, 64, 10'000'000));
    startup.policy.routerCount = table.integer("routers", kDefaultRouters, 1, 1'000'000);
    startup.policy.zone = table.string("zone", "");
    const std::string seedText = table.string("seed", kDefaultSeed);
    const auto seed = protocol::parse<std::uint64_t>(seedText, 16);
    if (!seed)
        table.problem("seed", "is not a hexadecimal number of up to 64 bits: found '" + seedText + "'");
    startup.policy.seed = seed.value_or(0);
}

void readLimits(TomlTable& table, protocol::StartupConfig& startup) {
    PolicySettings& policy = startup.policy;
    startup.maxOpenRequests = static_cast<std::size_t>(table.integer("open", kDefaultOpenRequests, 1));
    startup.serverIdleTimeout = table.millis("idle_ms", kDefaultServerIdleTimeoutMs);
    startup.connectTimeout = table.millis("connect_ms", kDefaultConnectTimeoutMs);
    policy.maxAttempts = table.integer("relays", kDefaultMaxAttempts, 1, 100);
    policy.crossZoneCost = table.fraction("cross_price", kDefaultCrossZoneCost);
    policy.maxRetryAfter = table.millis("come_back_ms", kDefaultMaxRetryAfterMs);
    policy.retryAfterAllowed = policy.maxRetryAfter > 0;
    policy.pollInterval = table.millis("ask_within_ms", kDefaultPollIntervalMs);
    policy.maxFirstPollDelay = policy.pollInterval / 2;
    startup.pollWait = policy.pollInterval;
}

void readCaches(TomlTable& table, PolicySettings& policy) {
    policy.cacheAside = table.word<bool>("mode", {{"aside", true}, {"through", false}}, kDefaultCacheAside);
    if (policy.cacheAside) policy.originShape = "origin";
    policy.weightsFollowLoad =
        table.word<bool>("weights", {{"nominal", false}, {"rough", false}, {"off", false}, {"live", true}},
                         kDefaultWeightsFollowLoad);
}

void readSlowStart(TomlTable& table, PolicySettings& policy) {
    policy.initialFraction = table.number("share", kDefaultInitialFraction, 0.001, 1);
    policy.rampDuration = table.millis("ramp_ms", kDefaultRampDurationMs);
    policy.overloadMultiple = table.number("tip", kDefaultOverloadMultiple, 1, 1000);
    policy.overloadWindow = table.millis("fall_ms", kDefaultOverloadWindowMs);
}

void readRequestClass(TomlTable& table, protocol::StartupConfig& startup) {
    RequestClass requestClass;
    requestClass.name = table.string("name", std::nullopt);
    requestClass.idempotency = table.word<Idempotency>("effect", kIdempotencyNames, std::nullopt);
    if (requestClass.idempotency == Idempotency::idempotentWithKey) {
        requestClass.deduplicationScope =
            table.word<DeduplicationScope>("group", kDeduplicationScopeNames, kDefaultDeduplicationScope);
        requestClass.idempotencyKeyTtl = table.millis("remembered_ms", std::nullopt);
    }
    requestClass.latencyObjective = table.millis("goal_ms", std::nullopt);
    requestClass.priorityWeight = table.number("utility", kDefaultPriorityWeight);
    requestClass.lateWeight = table.fraction("late_utility", kDefaultLateWeight);
    requestClass.timeout = table.millis("limit_ms", std::nullopt);
    if (requestClass.latencyObjective < kMillisecond || requestClass.timeout < requestClass.latencyObjective)
        table.problem("goal_ms", "is not from 1 to limit_ms");
    startup.maxRequestTimeout = std::max(startup.maxRequestTimeout, requestClass.timeout);
    for (const RequestClass& other : startup.policy.requestClasses)
        if (other.name == requestClass.name)
            table.problem("name", "is also the name of another verb: '" + requestClass.name + "'");
    startup.policy.requestClasses.push_back(std::move(requestClass));
}

void readTenant(TomlTable& table, PolicySettings& policy) {
    Tenant tenant;
    tenant.name = table.string("name", std::nullopt);
    tenant.quotaPerSecond = table.number("quota", std::nullopt);
    for (const Tenant& other : policy.tenants)
        if (other.name == tenant.name)
            table.problem("name", "is also the name of another customer: '" + tenant.name + "'");
    policy.tenants.push_back(std::move(tenant));
}

void readServer(TomlTable& table, protocol::EndpointList& list) {
    protocol::EndpointEntry entry;
    entry.endpoint.name = table.string("name", std::nullopt);
    if (entry.endpoint.name.empty()) table.problem("name", "is empty");
    entry.address = readAddress(table, "address", true);
    entry.endpoint.zone = table.string("zone", "");
    entry.endpoint.shape = table.boolean("origin", false) ? "origin" : "cache";
    entry.endpoint.cell = table.integer("cell", kDefaultCell);
    entry.endpoint.weight = table.number("size", kDefaultServerWeight, 1e-6, 1e9);
    entry.endpoint.state = table.word<EndpointState>("state", kEndpointStateNames, EndpointState::ready);
    entry.startedMs = static_cast<std::int64_t>(table.number("started_ms", kDefaultStartedMs, 0, 8e12));
    for (const auto& other : list.entries)
        if (other.endpoint.name == entry.endpoint.name)
            table.problem("name", "is also the name of another server: '" + entry.endpoint.name + "'");
    list.entries.push_back(std::move(entry));
}

// In cache-aside mode this router requests the origin itself, so a configured server list must name
// exactly one. In read-through mode only the caches do, and the list must name none.
void checkOrigins(TomlTable& root, const protocol::StartupConfig& startup) {
    const auto& entries = startup.knownEndpoints.entries;
    const auto origins = std::count_if(entries.begin(), entries.end(),
                                       [](const auto& entry) { return entry.endpoint.shape == "origin"; });
    const PolicySettings& policy = startup.policy;
    if (!policy.pollsEndpoints && policy.cacheAside && origins != 1)
        root.problem("servers",
                     "exactly one of them must have origin = true: found " + std::to_string(origins));
    if (!policy.cacheAside && origins > 0)
        root.problem("servers", "none may have origin = true with caches.mode = 'through': found " +
                                    std::to_string(origins));
}

}  // namespace

protocol::StartupConfig readDeploymentConfig(TomlTable& root, bool hasDistributors) {
    protocol::StartupConfig startup;
    PolicySettings& policy = startup.policy;
    root.one("instance", true, [&](TomlTable& table) { readInstance(table, startup); });
    root.one("limits", false, [&](TomlTable& table) { readLimits(table, startup); });
    root.one("caches", false, [&](TomlTable& table) { readCaches(table, policy); });
    root.one("cold", false, [&](TomlTable& table) { readSlowStart(table, policy); });
    root.each("verbs", true, [&](TomlTable& table) { readRequestClass(table, startup); });
    root.each("customers", false, [&](TomlTable& table) { readTenant(table, policy); });
    policy.pollsEndpoints = hasDistributors || !startup.discovery.empty();
    root.each("servers", !policy.pollsEndpoints,
              [&](TomlTable& table) { readServer(table, startup.knownEndpoints); });
    startup.knownEndpoints.isComplete = true;
    checkOrigins(root, startup);
    return startup;
}

}  // namespace poppyscale::config
