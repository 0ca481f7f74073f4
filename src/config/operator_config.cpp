#include "config/operator_config.hpp"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <set>
#include <utility>

#include "config/address_setting.hpp"
#include "config/deployment_config.hpp"
#include "discovery/source_selector.hpp"

namespace poppyscale::config {
namespace {

constexpr std::size_t kMaxSocketPathBytes = 100;

const NamedValues<LogLevel>& logLevelNames() {
    static const NamedValues<LogLevel> names{{"debug", LogLevel::debug},
                                             {"info", LogLevel::info},
                                             {"warning", LogLevel::warning},
                                             {"error", LogLevel::error},
                                             {"off", LogLevel::off}};
    return names;
}

std::string problemText(const std::vector<ConfigProblem>& problems) {
    std::string lines;
    for (const ConfigProblem& problem : problems)
        lines.append(lines.empty() ? "" : "\n").append(problem.text());
    return lines;
}

std::string readOperatorSocket(TomlTable& table) {
    std::string path = table.string("socket", "");
    if (path.size() > kMaxSocketPathBytes)
        table.problem("socket", fmt::format("is {} bytes long, the path of a socket may have at most {}",
                                            path.size(), kMaxSocketPathBytes));
    if (table.has("socket") && !path.starts_with('/'))
        table.problem("socket", fmt::format("is not an absolute path: found '{}'", path));
    return path;
}

LogConfig readLogConfig(TomlTable& table) {
    const LogConfig defaults;
    LogConfig log;
    log.isJson = table.word<bool>("form", {{"text", false}, {"json", true}}, defaults.isJson);
    log.level = table.word<LogLevel>("level", logLevelNames(), defaults.level);
    log.maxLinesPerSecond = table.number("per_second", defaults.maxLinesPerSecond, 0.1, 100'000);
    table.one("parts", false, [&](TomlTable& parts) {
        for (const std::string& part : logParts())
            if (parts.has(part))
                log.partLevels[part] = parts.word<LogLevel>(part, logLevelNames(), defaults.level);
    });
    return log;
}

std::vector<std::string> readDistributors(TomlTable& table) {
    const auto addresses = table.strings("addresses");
    if (addresses.empty() && table.has("addresses")) table.problem("addresses", "names no distributor");
    if (addresses.size() > discovery::kMaxSources)
        table.problem("addresses", fmt::format("names {} distributors, at most {} are allowed",
                                               addresses.size(), discovery::kMaxSources));
    std::set<std::string> seen;
    for (const std::string& address : addresses) {
        if (!isAddress(address)) {
            table.problem("addresses", fmt::format("'{}' is not an IPv4 address and port", address));
            continue;
        }
        const bool isNew = seen.insert(address).second;
        if (!isNew) table.problem("addresses", fmt::format("names '{}' twice", address));
    }
    return addresses;
}

// Rejects the deployment's tables: two descriptions of one deployment would sooner or later
// contradict each other.
void rejectDeploymentConfig(TomlTable& root) {
    for (const char* const key : kDeploymentTables) {
        if (root.has(key))
            root.problem(key, "must not be set here: the platform's configuration describes the deployment");
        root.skip(key);
    }
}

}  // namespace

ConfigError::ConfigError(std::vector<ConfigProblem> problemsFound)
    : protocol::ParseError(problemText(problemsFound)), problems(std::move(problemsFound)) {}

std::string_view nameOf(LogLevel level) {
    for (const auto& [name, value] : logLevelNames())
        if (value == level) return name;
    return "";
}

const std::vector<std::string>& logParts() {
    static const std::vector<std::string> parts{"life", "decisions", "discovery"};
    return parts;
}

OperatorConfig readOperatorConfig(std::string_view text, const std::string& file, bool hasPlatformConfig,
                                  ConfigProblems& problems) {
    OperatorConfig config;
    const auto parsed = parseToml(text, file, problems);
    if (!parsed) return config;
    TomlTable root(*parsed, problems);
    root.one("admin", false, [&](TomlTable& table) { config.operatorSocket = readOperatorSocket(table); });
    root.one("log", false, [&](TomlTable& table) { config.log = readLogConfig(table); });
    root.one("drain", false, [&](TomlTable& table) { config.drainTimeout = table.millis("within_ms", 0.0); });
    const bool hasDistributors = root.has("distributors");
    if (hasDistributors)
        root.one("distributors", true,
                 [&](TomlTable& table) { config.distributors = readDistributors(table); });
    if (hasPlatformConfig)
        rejectDeploymentConfig(root);
    else
        config.startup = readDeploymentConfig(root, hasDistributors);
    root.finish();
    return config;
}

OperatorConfig loadOperatorConfig(const std::string& file, bool hasPlatformConfig) {
    std::ifstream stream(file, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    if (!stream) throw ConfigError({ConfigProblem{file, 1, "", "can't be read"}});
    ConfigProblems problems(file);
    OperatorConfig config = readOperatorConfig(text, file, hasPlatformConfig, problems);
    if (!problems.none()) throw ConfigError(problems.sorted());
    return config;
}

}  // namespace poppyscale::config
