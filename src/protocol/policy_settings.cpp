#include "protocol/policy_settings.hpp"

#include <array>
#include <string>
#include <string_view>

namespace poppyscale::protocol {
namespace {

constexpr std::int64_t kMaxCount = 1'000'000;
constexpr std::int64_t kMaxListedItems = 10'000;  // request classes, or tenants

template <class T>
struct Keyword {
    std::string_view text;
    T value;
};
constexpr std::array<Keyword<Idempotency>, 3> kIdempotencyKeywords{
    {{"free", Idempotency::safe},
     {"guarded", Idempotency::idempotentWithKey},
     {"single_shot", Idempotency::nonIdempotent}}};
constexpr std::array<Keyword<DeduplicationScope>, 3> kDeduplicationScopeKeywords{
    {{"all", DeduplicationScope::all},
     {"zone", DeduplicationScope::zone},
     {"cell", DeduplicationScope::cell}}};

template <class T, std::size_t Size>
T readKeyword(const SettingsMap& settings, const std::string& path,
              const std::array<Keyword<T>, Size>& keywords) {
    const auto text = settings.text(path);
    std::string known;
    for (const Keyword<T>& keyword : keywords) {
        if (keyword.text == text) return keyword.value;
        known.append(known.empty() ? "" : ", ").append(keyword.text);
    }
    throw SettingError(path, "is '" + std::string(text) + "', expected one of " + known);
}

// The item at `index` of a list separated by commas; empty past the end of the list.
std::string_view itemAt(std::string_view list, std::int64_t index) {
    for (; index > 0; --index) {
        const auto comma = list.find(',');
        if (comma == std::string_view::npos) return {};
        list.remove_prefix(comma + 1);
    }
    return list.substr(0, list.find(','));
}

void readDeployment(const SettingsMap& settings, PolicySettings& policy) {
    policy.routerCount = static_cast<int>(settings.integer("replicasOfMe", kMaxCount));
    if (policy.routerCount == 0) throw SettingError("replicasOfMe", "is 0, expected at least 1");
    policy.cacheAside = settings.text("familyInfo.mode") == "aside";
    if (policy.cacheAside) {
        const auto shape = settings.integer("familyInfo.originKind", kMaxCount);
        policy.originShape = itemAt(settings.text("shapes"), shape);
    }
    if (settings.has("myZone")) policy.zone = settings.text("myZone");
    if (settings.has("costs.crossZone")) policy.crossZoneCost = settings.number("costs.crossZone");
    if (policy.crossZoneCost < 0) throw SettingError("costs.crossZone", "is negative, expected at least 0");
}

void readPolls(const SettingsMap& settings, PolicySettings& policy) {
    policy.pollsEndpoints = settings.text("membershipMode") == "on_request";
    if (policy.pollsEndpoints) policy.pollInterval = settings.duration("rules.askWithinUs");
    policy.maxFirstPollDelay = policy.pollInterval / 2;
}

void readAttempts(const SettingsMap& settings, PolicySettings& policy) {
    policy.retryAfterAllowed = settings.boolean("allowed.retryAfter");
    if (policy.retryAfterAllowed) policy.maxRetryAfter = settings.duration("allowed.maxRetryAfterUs");
    policy.maxAttempts = static_cast<int>(settings.integer("allowed.maxRelays", kMaxCount));
}

void readWeights(const SettingsMap& settings, PolicySettings& policy) {
    if (!settings.has("weights")) return;
    const auto meaning = settings.text("weights");
    if (meaning != "off" && meaning != "nominal" && meaning != "rough" && meaning != "live")
        throw SettingError("weights",
                           "is '" + std::string(meaning) + "', expected one of off, nominal, rough, live");
    policy.weightsFollowLoad = meaning == "live";
}

void readSlowStart(const SettingsMap& settings, PolicySettings& policy) {
    policy.initialFraction = settings.number("rules.startCapacity");
    policy.rampDuration = settings.duration("rules.rampTimeUs");
    policy.overloadMultiple = settings.number("rules.tipMultiple");
    policy.overloadWindow = settings.duration("rules.fallUs");
}

RequestClass readRequestClass(const SettingsMap& settings, const std::string& prefix) {
    RequestClass requestClass;
    requestClass.name = settings.text(prefix + "name");
    requestClass.idempotency = readKeyword(settings, prefix + "effect", kIdempotencyKeywords);
    if (requestClass.idempotency == Idempotency::idempotentWithKey) {
        requestClass.deduplicationScope =
            readKeyword(settings, prefix + "group", kDeduplicationScopeKeywords);
        requestClass.idempotencyKeyTtl = settings.duration(prefix + "keyTtlUs");
    }
    requestClass.latencyObjective = settings.duration(prefix + "responseGoalUs");
    if (settings.has(prefix + "timeLimitUs"))
        requestClass.timeout = settings.duration(prefix + "timeLimitUs");
    requestClass.priorityWeight = settings.number(prefix + "utility");
    if (settings.has(prefix + "lateUtility"))
        requestClass.lateWeight = settings.number(prefix + "lateUtility");
    return requestClass;
}

void readRequestClasses(const SettingsMap& settings, PolicySettings& policy) {
    const auto count = settings.integer("verbs.count", kMaxListedItems);
    for (std::int64_t i = 0; i < count; ++i)
        policy.requestClasses.push_back(readRequestClass(settings, "verbs." + std::to_string(i) + "."));
}

void readTenants(const SettingsMap& settings, PolicySettings& policy) {
    if (!settings.has("orgs.count")) return;
    const auto count = settings.integer("orgs.count", kMaxListedItems);
    for (std::int64_t i = 0; i < count; ++i) {
        const std::string prefix = "orgs." + std::to_string(i) + ".";
        const auto name = settings.text(prefix + "name");
        policy.tenants.push_back({std::string(name), settings.number(prefix + "quotaPerS")});
    }
}

}  // namespace

// The order matters: if there are several problems, only the first one is reported.
PolicySettings readPolicySettings(const SettingsMap& settings, std::uint64_t seed) {
    PolicySettings policy;
    policy.seed = seed;
    readDeployment(settings, policy);
    readPolls(settings, policy);
    readAttempts(settings, policy);
    readWeights(settings, policy);
    readSlowStart(settings, policy);
    readRequestClasses(settings, policy);
    readTenants(settings, policy);
    return policy;
}

}  // namespace poppyscale::protocol
