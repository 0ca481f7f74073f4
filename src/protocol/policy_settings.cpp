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
constexpr Words<Effect> kEffects{
    {{"free", Effect::pure}, {"guarded", Effect::receipted}, {"single_shot", Effect::effectful}}};
constexpr Words<Group> kGroups{{{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}}};

template <class T>
T word(const Paths& paths, const std::string& path, const Words<T>& words) {
    const auto text = paths.text(path);
    for (const auto& [name, value] : words)
        if (name == text) return value;
    throw Malformed("setting " + path + " has an unknown value");
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

std::string_view Paths::text(const std::string& path) const {
    const auto it = values_.find(path);
    if (it == values_.end()) throw Malformed("missing setting " + path);
    return it->second;
}

double Paths::real(const std::string& path) const {
    const auto value = parse<double>(text(path));
    if (value && std::isfinite(*value)) return *value;
    throw Malformed("setting " + path + " is not a number");
}

std::int64_t Paths::whole(const std::string& path, std::int64_t most) const {
    const auto value = parse<std::int64_t>(text(path));
    if (value && *value >= 0 && *value <= most) return *value;
    throw Malformed("setting " + path + " is not a whole number in its range");
}

Nanos Paths::time(const std::string& path) const { return whole(path, kLongestMicros) * kNanosPerMicro; }

bool Paths::yes(const std::string& path) const {
    const auto value = text(path);
    if (value == "true" || value == "1") return true;
    if (value == "false" || value == "0") return false;
    throw Malformed("setting " + path + " is neither true nor false");
}

Terms readTerms(const Paths& paths, std::uint64_t seed) {
    Terms terms;
    terms.seed = seed;
    terms.routers = static_cast<int>(paths.whole("replicasOfMe", 1'000'000));
    if (terms.routers == 0) throw Malformed("setting replicasOfMe is 0");
    terms.aside = paths.text("familyInfo.mode") == "aside";
    if (terms.aside) {
        const auto shape = paths.whole("familyInfo.originKind", 1'000'000);
        terms.originShape = item(paths.text("shapes"), shape);
    }
    if (paths.has("myZone")) terms.zone = paths.text("myZone");
    if (paths.has("costs.crossZone")) terms.crossPrice = paths.real("costs.crossZone");
    if (terms.crossPrice < 0) throw Malformed("setting costs.crossZone is negative");
    terms.listOnRequest = paths.text("membershipMode") == "on_request";
    if (terms.listOnRequest) terms.askWithin = paths.time("rules.askWithinUs");
    terms.firstAskWithin = terms.askWithin / 2;
    terms.comeBackAllowed = paths.yes("allowed.retryAfter");
    if (terms.comeBackAllowed) terms.maxComeBack = paths.time("allowed.maxRetryAfterUs");
    terms.maxRelays = static_cast<int>(paths.whole("allowed.maxRelays", 1'000'000));
    if (paths.has("weights")) {
        const auto meaning = paths.text("weights");
        if (meaning != "off" && meaning != "nominal" && meaning != "rough" && meaning != "live")
            throw Malformed("setting weights has an unknown value");
        terms.sizesMove = meaning == "live";
    }
    terms.startShare = paths.real("rules.startCapacity");
    terms.ramp = paths.time("rules.rampTimeUs");
    terms.tipMultiple = paths.real("rules.tipMultiple");
    terms.fallSpan = paths.time("rules.fallUs");
    const auto verbs = paths.whole("verbs.count", 10'000);
    for (std::int64_t i = 0; i < verbs; ++i) {
        const std::string at = "verbs." + std::to_string(i) + ".";
        Verb verb;
        verb.name = paths.text(at + "name");
        verb.effect = word(paths, at + "effect", kEffects);
        if (verb.effect == Effect::receipted) {
            verb.group = word(paths, at + "group", kGroups);
            verb.remembered = paths.time(at + "keyTtlUs");
        }
        verb.goal = paths.time(at + "responseGoalUs");
        if (paths.has(at + "timeLimitUs")) verb.limit = paths.time(at + "timeLimitUs");
        verb.utility = paths.real(at + "utility");
        if (paths.has(at + "lateUtility")) verb.lateUtility = paths.real(at + "lateUtility");
        terms.verbs.push_back(std::move(verb));
    }
    const auto customers = paths.has("orgs.count") ? paths.whole("orgs.count", 10'000) : 0;
    for (std::int64_t i = 0; i < customers; ++i) {
        const std::string at = "orgs." + std::to_string(i) + ".";
        terms.customers.push_back({std::string(paths.text(at + "name")), paths.real(at + "quotaPerS")});
    }
    return terms;
}

}  // namespace poppyscale::protocol
