#include "config/operator_config.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>

#include "discovery/source_selector.hpp"
#include "protocol/number.hpp"

namespace poppyscale::config {
namespace {

using config::TomlTable;

const config::Words<LogLevel>& levels() {
    static const config::Words<LogLevel> words{{"debug", LogLevel::debug},
                                               {"info", LogLevel::info},
                                               {"warning", LogLevel::warning},
                                               {"error", LogLevel::error},
                                               {"off", LogLevel::off}};
    return words;
}

const config::Words<Idempotency> kEffects{{"pure", Idempotency::safe},
                                          {"receipted", Idempotency::idempotentWithKey},
                                          {"effectful", Idempotency::nonIdempotent}};
const config::Words<DeduplicationScope> kGroups{
    {"all", DeduplicationScope::all}, {"zone", DeduplicationScope::zone}, {"cell", DeduplicationScope::cell}};
const config::Words<EndpointState> kPresences{
    {"ready", EndpointState::ready}, {"draining", EndpointState::draining}, {"gone", EndpointState::removed}};

bool isAddress(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return false;
    in_addr ignored{};
    const auto port = protocol::parse<std::uint16_t>(text.substr(colon + 1));
    return port && *port > 0 && ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &ignored) == 1;
}

std::string address(TomlTable& t, std::string_view key, std::optional<std::string> otherwise) {
    const bool may = otherwise && otherwise->empty();
    std::string said = t.string(key, std::move(otherwise));
    const bool there = t.has(key) || !said.empty();
    if (there && !(may && !t.has(key)) && !isAddress(said)) t.problem(key, "is not an IPv4 address and port");
    return said;
}

void readVerb(TomlTable& t, protocol::StartupConfig& start) {
    RequestClass requestClass;
    requestClass.name = t.string("name", std::nullopt);
    requestClass.idempotency = t.word<Idempotency>("effect", kEffects, std::nullopt);
    if (requestClass.idempotency == Idempotency::idempotentWithKey) {
        requestClass.deduplicationScope =
            t.word<DeduplicationScope>("group", kGroups, DeduplicationScope::all);
        requestClass.idempotencyKeyTtl = t.millis("remembered_ms", std::nullopt);
    }
    requestClass.latencyObjective = t.millis("goal_ms", std::nullopt);
    requestClass.priorityWeight = t.number("utility", 1.0);
    requestClass.lateWeight = t.fraction("late_utility", 0.0);
    const Nanos limit = t.millis("limit_ms", std::nullopt);
    requestClass.timeout = limit;
    if (requestClass.latencyObjective < kMillisecond || limit < requestClass.latencyObjective)
        t.problem("goal_ms", "is not from 1 to limit_ms");
    start.maxRequestTimeout = std::max(start.maxRequestTimeout, limit);
    for (const RequestClass& other : start.policy.requestClasses)
        if (other.name == requestClass.name) t.problem("name", "is another verb's too");
    start.policy.requestClasses.push_back(std::move(requestClass));
}

void readServer(TomlTable& t, protocol::StartupConfig& start) {
    protocol::EndpointEntry place;
    place.endpoint.name = t.string("name", std::nullopt);
    if (place.endpoint.name.empty()) t.problem("name", "is empty");
    place.address = address(t, "address", std::nullopt);
    place.endpoint.zone = t.string("zone", "");
    place.endpoint.shape = t.boolean("origin", false) ? "origin" : "cache";
    place.endpoint.cell = t.integer("cell", 0);
    place.endpoint.weight = t.number("size", 1.0, 1e-6, 1e9);
    place.endpoint.state = t.word<EndpointState>("state", kPresences, EndpointState::ready);
    place.startedMs = static_cast<std::int64_t>(t.number("started_ms", 0.0, 0, 8e12));
    for (const auto& other : start.knownEndpoints.entries)
        if (other.endpoint.name == place.endpoint.name) t.problem("name", "is another server's too");
    start.knownEndpoints.entries.push_back(std::move(place));
}

std::vector<std::string> readDistributors(TomlTable& t) {
    const auto addresses = t.strings("addresses");
    if (addresses.empty() && t.has("addresses")) t.problem("addresses", "names none");
    if (addresses.size() > discovery::kMaxSources)
        t.problem("addresses", fmt::format("names more than {}", discovery::kMaxSources));
    std::set<std::string> named;
    for (const auto& one : addresses) {
        if (!isAddress(one))
            t.problem("addresses", fmt::format("'{}' is not an IPv4 address and port", one));
        else if (!named.insert(one).second)
            t.problem("addresses", fmt::format("names '{}' twice", one));
    }
    return addresses;
}

void readDeployment(TomlTable& t, protocol::StartupConfig& start, bool distributed) {
    PolicySettings& terms = start.policy;
    t.one("instance", true, [&](TomlTable& i) {
        start.name = i.string("name", std::nullopt);
        start.listen = address(i, "listen", std::nullopt);
        start.discovery = address(i, "discovery", "");
        start.console = address(i, "console", "");
        start.memoryLimitBytes =
            static_cast<std::size_t>(i.integer("memory_mb", 64, 16, 1'000'000)) * 1'000'000;
        start.maxDescriptors = static_cast<std::size_t>(i.integer("descriptors", 1024, 64, 10'000'000));
        terms.routerCount = i.integer("routers", 1, 1, 1'000'000);
        terms.zone = i.string("zone", "");
        const std::string seed = i.string("seed", "0");
        const auto number = protocol::parse<std::uint64_t>(seed, 16);
        if (!number) i.problem("seed", "is not a hexadecimal number");
        terms.seed = number.value_or(0);
    });
    t.one("limits", false, [&](TomlTable& l) {
        start.maxOpenRequests = static_cast<std::size_t>(l.integer("open", 20'000, 1));
        start.serverIdleTimeout = l.millis("idle_ms", 15'000.0);
        start.connectTimeout = l.millis("connect_ms", 500.0);
        terms.maxAttempts = l.integer("relays", 3, 1, 100);
        terms.crossZoneCost = l.fraction("cross_price", 0.0);
        terms.maxRetryAfter = l.millis("come_back_ms", 1'000.0);
        terms.retryAfterAllowed = terms.maxRetryAfter > 0;
        terms.pollInterval = l.millis("ask_within_ms", 10'000.0);
        terms.maxFirstPollDelay = terms.pollInterval / 2;
        start.pollWait = terms.pollInterval;
    });
    t.one("caches", false, [&](TomlTable& c) {
        terms.cacheAside = c.word<bool>("mode", {{"aside", true}, {"through", false}}, true);
        if (terms.cacheAside) terms.originShape = "origin";
        terms.weightsFollowLoad = c.word<bool>(
            "weights", {{"nominal", false}, {"rough", false}, {"off", false}, {"live", true}}, false);
    });
    t.one("cold", false, [&](TomlTable& c) {
        terms.initialFraction = c.number("share", 0.3, 0.001, 1);
        terms.rampDuration = c.millis("ramp_ms", 10'000.0);
        terms.overloadMultiple = c.number("tip", 3.0, 1, 1000);
        terms.overloadWindow = c.millis("fall_ms", 1'500.0);
    });
    t.each("verbs", true, [&](TomlTable& v) { readVerb(v, start); });
    t.each("customers", false, [&](TomlTable& c) {
        Tenant tenant{c.string("name", std::nullopt), c.number("quota", std::nullopt)};
        for (const Tenant& other : terms.tenants)
            if (other.name == tenant.name) c.problem("name", "is another customer's too");
        terms.tenants.push_back(std::move(tenant));
    });
    const bool discovered = distributed || !start.discovery.empty();
    terms.pollsEndpoints = discovered;
    t.each("servers", !discovered, [&](TomlTable& s) { readServer(s, start); });
    start.knownEndpoints.isComplete = true;
    const auto origins =
        std::count_if(start.knownEndpoints.entries.begin(), start.knownEndpoints.entries.end(),
                      [](const auto& p) { return p.endpoint.shape == "origin"; });
    if (!discovered && terms.cacheAside && origins != 1)
        t.problem("servers", "exactly one of them must have origin = true");
    if (!terms.cacheAside && origins > 0)
        t.problem("servers", "one has origin = true, but in mode 'through' the caches ask the origin");
}

std::string verbLine(const RequestClass& v) {
    static constexpr const char* effects[] = {"pure", "receipted", "effectful"};
    static constexpr const char* groups[] = {"all", "zone", "cell"};
    std::string line = fmt::format(
        "{} {} goal {} ms limit {} ms utility {} late {}", v.name, effects[static_cast<int>(v.idempotency)],
        v.latencyObjective / kMillisecond, v.timeout / kMillisecond, v.priorityWeight, v.lateWeight);
    if (v.idempotency == Idempotency::idempotentWithKey)
        line += fmt::format(" group {} remembered {} ms", groups[static_cast<int>(v.deduplicationScope)],
                            v.idempotencyKeyTtl / kMillisecond);
    return line;
}

template <class Items, class NameOf>
void compareNamed(const char* what, const Items& is, const Items& wanted, NameOf name,
                  std::vector<std::string>& out) {
    const auto in = [&](const Items& items, const auto& one) {
        return std::find_if(items.begin(), items.end(), [&](const auto& i) { return name(i) == name(one); });
    };
    for (const auto& one : is)
        if (in(wanted, one) == wanted.end()) out.push_back(fmt::format("{} {} is no more", what, name(one)));
    for (const auto& one : wanted) {
        const auto before = in(is, one);
        if (before == is.end())
            out.push_back(fmt::format("{} {} is new", what, name(one)));
        else if (!(*before == one))
            out.push_back(fmt::format("{} {} is another", what, name(one)));
    }
}

}  // namespace

std::string_view nameOf(LogLevel level) {
    for (const auto& [name, value] : levels())
        if (value == level) return name;
    return "";
}

const std::vector<std::string>& logParts() {
    static const std::vector<std::string> parts{"life", "decisions", "discovery"};
    return parts;
}

OperatorConfig readOperatorConfig(std::string_view said, const std::string& file, bool platform,
                                  config::ConfigProblems& problems) {
    OperatorConfig plan;
    const auto table = config::parseToml(said, file, problems);
    if (!table) return plan;
    TomlTable t(*table, problems);
    t.one("admin", false, [&](TomlTable& a) {
        plan.operatorSocket = a.string("socket", "");
        if (plan.operatorSocket.size() > 100)
            a.problem("socket", "is longer than the 100 characters of a socket's path");
        if (a.has("socket") && !plan.operatorSocket.starts_with('/'))
            a.problem("socket", "is not an absolute path");
    });
    t.one("log", false, [&](TomlTable& l) {
        plan.log.json = l.word<bool>("form", {{"text", false}, {"json", true}}, false);
        plan.log.level = l.word<LogLevel>("level", levels(), LogLevel::info);
        plan.log.perSecond = l.number("per_second", 10.0, 0.1, 100'000);
        l.one("parts", false, [&](TomlTable& p) {
            for (const auto& part : logParts())
                if (p.has(part)) plan.log.parts[part] = p.word<LogLevel>(part, levels(), LogLevel::info);
        });
    });
    t.one("drain", false, [&](TomlTable& d) { plan.drainTimeout = d.millis("within_ms", 0.0); });
    const char* const deployment[] = {"instance", "limits",    "caches", "cold",
                                      "verbs",    "customers", "servers"};
    if (t.has("distributors"))
        t.one("distributors", true, [&](TomlTable& d) { plan.distributors = readDistributors(d); });
    if (!platform) {
        readDeployment(t, plan.startup.emplace(), t.has("distributors"));
    } else {
        // Two places that say one thing would in time say two things.
        for (const char* key : deployment)
            if (t.has(key)) t.problem(key, "is the platform's to say: its configuration is there and holds");
    }
    // These have been told of already.
    if (platform)
        for (const char* key : deployment) t.skip(key);
    t.finish();
    return plan;
}

OperatorConfig loadOperatorConfig(const std::string& file, bool platform) {
    std::ifstream stream(file, std::ios::binary);
    const std::string said{std::istreambuf_iterator<char>(stream), {}};
    if (!stream) throw protocol::ParseError(file + ":1: can't be read");
    config::ConfigProblems problems(file);
    OperatorConfig plan = readOperatorConfig(said, file, platform, problems);
    if (!problems.none()) throw protocol::ParseError(problems.text());
    return plan;
}

ConfigDifference compareConfigs(const protocol::StartupConfig& is, const protocol::StartupConfig& wanted) {
    ConfigDifference d;
    const PolicySettings &a = is.policy, &b = wanted.policy;
    compareNamed(
        "verb", a.requestClasses, b.requestClasses, [](const RequestClass& v) { return v.name; },
        d.appliesNow);
    compareNamed(
        "customer", a.tenants, b.tenants, [](const Tenant& c) { return c.name; }, d.appliesNow);
    const auto live = [&](const char* what, const auto& before, const auto& after) {
        if (!(before == after))
            d.appliesNow.push_back(fmt::format("{}: {} before, {} now", what, before, after));
    };
    const auto waits = [&](const char* what, const auto& before, const auto& after) {
        if (!(before == after))
            d.needsRestart.push_back(fmt::format("{}: {} stays, {} waits for a start", what, before, after));
    };
    live("discovery", is.discovery, wanted.discovery);
    live("routers", a.routerCount, b.routerCount);
    live("relays of a command", a.maxAttempts, b.maxAttempts);
    live("own zone", a.zone, b.zone);
    live("price of crossing zones", a.crossZoneCost, b.crossZoneCost);
    live("longest pause told, ms", a.maxRetryAfter / kMillisecond, b.maxRetryAfter / kMillisecond);
    live("pauses are told", a.retryAfterAllowed, b.retryAfterAllowed);
    live("a cold cache's share", a.initialFraction, b.initialFraction);
    live("its ramp, ms", a.rampDuration / kMillisecond, b.rampDuration / kMillisecond);
    live("its tip", a.overloadMultiple, b.overloadMultiple);
    live("commands open", is.maxOpenRequests, wanted.maxOpenRequests);
    live("connections idle, ms", is.serverIdleTimeout / kMillisecond,
         wanted.serverIdleTimeout / kMillisecond);
    live("connecting, ms", is.connectTimeout / kMillisecond, wanted.connectTimeout / kMillisecond);
    live("longest patience, ms", is.maxRequestTimeout / kMillisecond,
         wanted.maxRequestTimeout / kMillisecond);
    waits("name", is.name, wanted.name);
    waits("listen", is.listen, wanted.listen);
    waits("console", is.console, wanted.console);
    waits("memory, MB", is.memoryLimitBytes / 1'000'000, wanted.memoryLimitBytes / 1'000'000);
    waits("descriptors", is.maxDescriptors, wanted.maxDescriptors);
    waits("asking within, ms", is.pollWait / kMillisecond, wanted.pollWait / kMillisecond);
    waits("a cold cache's span, ms", a.overloadWindow / kMillisecond, b.overloadWindow / kMillisecond);
    waits("aside", a.cacheAside, b.cacheAside);
    waits("weights move with load", a.weightsFollowLoad, b.weightsFollowLoad);
    waits("the origin's shape", a.originShape, b.originShape);
    waits("a list is asked for", a.pollsEndpoints, b.pollsEndpoints);
    return d;
}

std::string describeConfig(const protocol::StartupConfig& start, const OperatorConfig& plan, bool platform) {
    std::string out =
        fmt::format("deployment: {}\n", platform ? "the platform's configuration" : "the operator's file");
    const auto line = [&](const char* what, const auto& value) {
        out += fmt::format("{:<22} {}\n", what, value);
    };
    line("name", start.name);
    line("listen", start.listen);
    line("discovery", start.discovery.empty() ? "none, the list is in the file" : start.discovery);
    if (!plan.distributors.empty())
        line("distributors", fmt::format("{}", fmt::join(plan.distributors, " ")));
    line("console", start.console.empty() ? "off" : start.console);
    line("memory_mb", start.memoryLimitBytes / 1'000'000);
    line("descriptors", start.maxDescriptors);
    line("routers", start.policy.routerCount);
    line("zone", start.policy.zone.empty() ? "not told" : start.policy.zone);
    line("cross_price", start.policy.crossZoneCost);
    line("open", start.maxOpenRequests);
    line("relays", start.policy.maxAttempts);
    line("idle_ms", start.serverIdleTimeout / kMillisecond);
    line("connect_ms", start.connectTimeout / kMillisecond);
    line("come_back_ms", start.policy.retryAfterAllowed ? start.policy.maxRetryAfter / kMillisecond : 0);
    line("ask_within_ms", start.pollWait / kMillisecond);
    line("caches.mode", start.policy.cacheAside ? "aside" : "through");
    line("caches.weights", start.policy.weightsFollowLoad ? "live" : "sizes");
    line("cold.share", start.policy.initialFraction);
    line("cold.ramp_ms", start.policy.rampDuration / kMillisecond);
    line("cold.tip", start.policy.overloadMultiple);
    line("cold.fall_ms", start.policy.overloadWindow / kMillisecond);
    for (const RequestClass& v : start.policy.requestClasses) line("verb", verbLine(v));
    for (const Tenant& c : start.policy.tenants)
        line("customer", fmt::format("{} quota {}", c.name, c.quotaPerSecond));
    for (const auto& p : start.knownEndpoints.entries)
        line("server", fmt::format("{} {} {} zone {} size {}", p.endpoint.name, p.address, p.endpoint.shape,
                                   p.endpoint.zone, p.endpoint.weight));
    line("admin.socket", plan.operatorSocket.empty() ? "off" : plan.operatorSocket);
    line("log.form", plan.log.json ? "json" : "text");
    line("log.level", nameOf(plan.log.level));
    for (const auto& [part, level] : plan.log.parts) line(("log.parts." + part).c_str(), nameOf(level));
    line("log.per_second", plan.log.perSecond);
    line("drain.within_ms", (plan.drainTimeout ? plan.drainTimeout : start.maxRequestTimeout) / kMillisecond);
    return out;
}

}  // namespace poppyscale::config
