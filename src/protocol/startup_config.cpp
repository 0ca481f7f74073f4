#include "protocol/startup_config.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "protocol/json_errors.hpp"
#include "protocol/number.hpp"

namespace poppyscale::protocol {
namespace {

using Json = nlohmann::json;

// Bounds nested brackets, which take forty times the memory of their text.
constexpr int kMaxDepth = 8;
// The longest backoff after a failed poll is half of the poll interval: 50 ms with this one.
constexpr Nanos kMinPollInterval = 100 * kMillisecond;
constexpr std::int64_t kMaxOpenRequests = 100'000'000;

constexpr double kMinMemoryMegabytes = 16;
constexpr double kMaxMemoryMegabytes = 1e9;
constexpr std::int64_t kMinDescriptors = 64;
constexpr std::int64_t kMaxDescriptors = 10'000'000;

// Bounds the delays of polls by the drain grace period, which begins when a router counts as
// notified of a change. Where routers poll, that is 6 s after discovery has the change, even for a
// process that has just started with an older list. The first poll is made within half of the grace
// period, which leaves the rest for its response. Where changes are pushed, a router counts as
// notified from the first moment of its process and from the first moment after a failure, so that
// every poll has to fit into the grace period.
void setPollIntervalWithin(Nanos gracePeriod, StartupConfig& config) {
    config.policy.maxFirstPollDelay = std::max(gracePeriod / 2, kMinPollInterval);
    if (config.policy.pollsEndpoints) return;
    config.policy.pollInterval =
        std::clamp(gracePeriod / 2, kMinPollInterval, std::max(config.pollWait, kMinPollInterval));
    config.policy.maxFirstPollDelay = config.policy.pollInterval / 2;
}

std::string scalarText(const Json& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string joined(const Json& items) {
    std::string list;
    for (const Json& item : items) {
        if (&item != &items[0]) list += ',';
        list += scalarText(item);
    }
    return list;
}

// Adds `value` and all values within it to the map, under paths that begin with `path`.
void flatten(const Json& value, const std::string& path, SettingsMap& settings) {
    const auto pathOf = [&](const std::string& name) { return path.empty() ? name : path + "." + name; };
    if (value.is_object()) {
        for (const auto& [name, item] : value.items()) flatten(item, pathOf(name), settings);
    } else if (value.is_array() && !value.empty() && value[0].is_object()) {
        settings.add(path + ".count", std::to_string(value.size()));
        for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], pathOf(std::to_string(i)), settings);
    } else if (value.is_array()) {
        settings.add(path, joined(value));
    } else {
        settings.add(path, scalarText(value));
    }
}

std::uint64_t readSeed(const Json& json) {
    const auto digits = json.at("seed").get<std::string>();
    const auto seed = parse<std::uint64_t>(digits, 16);
    if (!seed) throw ParseError("seed is '" + digits + "', expected a hexadecimal number of up to 64 bits");
    return *seed;
}

void readLimits(const Json& limits, StartupConfig& config) {
    const double megabytes = limits.at("memory_mb").get<double>();
    const auto descriptors = limits.at("sockets").get<std::int64_t>();
    const bool isMemoryInRange = megabytes >= kMinMemoryMegabytes && megabytes < kMaxMemoryMegabytes;
    if (!isMemoryInRange || descriptors < kMinDescriptors || descriptors > kMaxDescriptors)
        throw ParseError("limits out of range: memory_mb is " + limits.at("memory_mb").dump() +
                         ", expected at least 16 and less than 1e9; sockets is " +
                         std::to_string(descriptors) + ", expected 64 to " + std::to_string(kMaxDescriptors));
    config.memoryLimitBytes = static_cast<std::size_t>(megabytes * 1e6);
    config.maxDescriptors = static_cast<std::size_t>(descriptors);
}

SettingsMap readSettingsMap(const Json& json) {
    if (json.contains("weights") && !json.at("weights").is_string())
        throw SettingError("weights", "is not a string");
    SettingsMap settings;
    flatten(json, "", settings);
    return settings;
}

// Discovery can't push lists over sockets, so that lists which the simulator pushes are polled
// here.
void readPolls(const SettingsMap& settings, StartupConfig& config) {
    config.pollWait = settings.duration("rules.askWithinUs");
    config.policy.pollInterval = config.pollWait;
    config.policy.maxFirstPollDelay = config.pollWait / 2;
    if (settings.has("rules.drainGraceUs"))
        setPollIntervalWithin(settings.duration("rules.drainGraceUs"), config);
    config.endpointsArePushed = !config.policy.pollsEndpoints;
    config.policy.pollsEndpoints = true;
}

void readTimeouts(const SettingsMap& settings, StartupConfig& config) {
    config.serverIdleTimeout = settings.duration("allowed.connIdleUs");
    config.connectTimeout = settings.duration("allowed.connectTimeoutUs");
    config.maxOpenRequests = static_cast<std::size_t>(settings.integer("allowed.maxOpen", kMaxOpenRequests));
    for (std::size_t i = 0; i < config.policy.requestClasses.size(); ++i) {
        const Nanos timeout = settings.duration("verbs." + std::to_string(i) + ".timeLimitUs");
        config.maxRequestTimeout = std::max(config.maxRequestTimeout, timeout);
    }
}

// The order matters: if there are several problems, only the first one is reported.
StartupConfig startupConfigOf(const Json& json) {
    StartupConfig config;
    config.name = json.at("name").get<std::string>();
    config.listen = json.at("listen").get<std::string>();
    config.discovery = json.at("discovery").get<std::string>();
    config.console = json.value("console", "");
    const std::uint64_t seed = readSeed(json);
    readLimits(json.at("limits"), config);
    if (json.contains("known")) config.knownEndpoints = readConfiguredEndpoints(json.at("known"));
    const SettingsMap settings = readSettingsMap(json.at("settings"));
    config.policy = readPolicySettings(settings, seed);
    readPolls(settings, config);
    readTimeouts(settings, config);
    return config;
}

}  // namespace

StartupConfig readStartupConfig(std::string_view text) {
    const auto isShallow = [](int depth, Json::parse_event_t, Json&) { return depth <= kMaxDepth; };
    return withParseErrors([&] { return startupConfigOf(Json::parse(text, isShallow)); });
}

}  // namespace poppyscale::protocol
