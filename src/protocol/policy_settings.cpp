#include "protocol/policy_settings.hpp"

#include <array>
#include <cmath>

#include "protocol/number.hpp"

namespace poppyscale::protocol {
namespace {

constexpr std::int64_t kNanosPerMicro = 1000;
constexpr std::int64_t kLongestMicros = 1'000'000'000'000;  // a setting's time span: eleven days

template <class T>
using Words = std::array<std::pair<std::string_view, T>, 3>;
constexpr Words<Idempotency> kEffects{{{"free", Idempotency::safe},
                                       {"guarded", Idempotency::idempotentWithKey},
                                       {"single_shot", Idempotency::nonIdempotent}}};
constexpr Words<DeduplicationScope> kGroups{{{"all", DeduplicationScope::all},
                                             {"zone", DeduplicationScope::zone},
                                             {"cell", DeduplicationScope::cell}}};

template <class T>
T word(const SettingsMap& paths, const std::string& path, const Words<T>& words) {
    const auto text = paths.text(path);
    for (const auto& [name, value] : words)
        if (name == text) return value;
    throw ParseError("setting " + path + " has an unknown value");
}

std::string_view item(std::string_view list, std::int64_t index) {
    for (; index > 0; --index) {
        const auto comma = list.find(',');
        if (comma == std::string_view::npos) return {};
        list.remove_prefix(comma + 1);
    }
    return list.substr(0, list.find(','));
}

}  // namespace

std::string_view SettingsMap::text(const std::string& path) const {
    const auto it = values_.find(path);
    if (it == values_.end()) throw ParseError("missing setting " + path);
    return it->second;
}

double SettingsMap::number(const std::string& path) const {
    const auto value = parse<double>(text(path));
    if (value && std::isfinite(*value)) return *value;
    throw ParseError("setting " + path + " is not a number");
}

std::int64_t SettingsMap::integer(const std::string& path, std::int64_t most) const {
    const auto value = parse<std::int64_t>(text(path));
    if (value && *value >= 0 && *value <= most) return *value;
    throw ParseError("setting " + path + " is not a whole number in its range");
}

Nanos SettingsMap::duration(const std::string& path) const {
    return integer(path, kLongestMicros) * kNanosPerMicro;
}

bool SettingsMap::boolean(const std::string& path) const {
    const auto value = text(path);
    if (value == "true" || value == "1") return true;
    if (value == "false" || value == "0") return false;
    throw ParseError("setting " + path + " is neither true nor false");
}

PolicySettings readPolicySettings(const SettingsMap& paths, std::uint64_t seed) {
    PolicySettings terms;
    terms.seed = seed;
    terms.routerCount = static_cast<int>(paths.integer("replicasOfMe", 1'000'000));
    if (terms.routerCount == 0) throw ParseError("setting replicasOfMe is 0");
    terms.cacheAside = paths.text("familyInfo.mode") == "aside";
    if (terms.cacheAside) {
        const auto shape = paths.integer("familyInfo.originKind", 1'000'000);
        terms.originShape = item(paths.text("shapes"), shape);
    }
    if (paths.has("myZone")) terms.zone = paths.text("myZone");
    if (paths.has("costs.crossZone")) terms.crossZoneCost = paths.number("costs.crossZone");
    if (terms.crossZoneCost < 0) throw ParseError("setting costs.crossZone is negative");
    terms.pollsEndpoints = paths.text("membershipMode") == "on_request";
    if (terms.pollsEndpoints) terms.pollInterval = paths.duration("rules.askWithinUs");
    terms.maxFirstPollDelay = terms.pollInterval / 2;
    terms.retryAfterAllowed = paths.boolean("allowed.retryAfter");
    if (terms.retryAfterAllowed) terms.maxRetryAfter = paths.duration("allowed.maxRetryAfterUs");
    terms.maxAttempts = static_cast<int>(paths.integer("allowed.maxRelays", 1'000'000));
    if (paths.has("weights")) {
        const auto meaning = paths.text("weights");
        if (meaning != "off" && meaning != "nominal" && meaning != "rough" && meaning != "live")
            throw ParseError("setting weights has an unknown value");
        terms.weightsFollowLoad = meaning == "live";
    }
    terms.initialFraction = paths.number("rules.startCapacity");
    terms.rampDuration = paths.duration("rules.rampTimeUs");
    terms.overloadMultiple = paths.number("rules.tipMultiple");
    terms.overloadWindow = paths.duration("rules.fallUs");
    const auto requestClasses = paths.integer("verbs.count", 10'000);
    for (std::int64_t i = 0; i < requestClasses; ++i) {
        const std::string at = "verbs." + std::to_string(i) + ".";
        RequestClass requestClass;
        requestClass.name = paths.text(at + "name");
        requestClass.idempotency = word(paths, at + "effect", kEffects);
        if (requestClass.idempotency == Idempotency::idempotentWithKey) {
            requestClass.deduplicationScope = word(paths, at + "group", kGroups);
            requestClass.idempotencyKeyTtl = paths.duration(at + "keyTtlUs");
        }
        requestClass.latencyObjective = paths.duration(at + "responseGoalUs");
        if (paths.has(at + "timeLimitUs")) requestClass.timeout = paths.duration(at + "timeLimitUs");
        requestClass.priorityWeight = paths.number(at + "utility");
        if (paths.has(at + "lateUtility")) requestClass.lateWeight = paths.number(at + "lateUtility");
        terms.requestClasses.push_back(std::move(requestClass));
    }
    const auto tenants = paths.has("orgs.count") ? paths.integer("orgs.count", 10'000) : 0;
    for (std::int64_t i = 0; i < tenants; ++i) {
        const std::string at = "orgs." + std::to_string(i) + ".";
        terms.tenants.push_back({std::string(paths.text(at + "name")), paths.number(at + "quotaPerS")});
    }
    return terms;
}

}  // namespace poppyscale::protocol
