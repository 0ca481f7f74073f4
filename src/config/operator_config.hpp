// The operator's file: what a deployment's own configuration does not say, and, where there is none, all of
// it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/toml_table.hpp"
#include "protocol/startup_config.hpp"

namespace poppyscale::config {

enum class LogLevel : std::uint8_t { debug, info, warning, error, off };

struct LogConfig {
    bool json = false;
    LogLevel level = LogLevel::info;
    std::map<std::string, LogLevel> parts;  // of those in logParts()
    double perSecond = 10;
    bool operator==(const LogConfig&) const = default;
};

struct OperatorConfig {
    std::string operatorSocket;  // path of a Unix socket; none if empty
    LogConfig log;
    // Asked for the list, as discovery is; discovery itself if empty.
    std::vector<std::string> distributors;
    Nanos drainTimeout = 0;  // 0: as long as the longest verb's clients wait
    // Set where the file describes the deployment. Without a place for discovery its list is in `known`.
    std::optional<protocol::StartupConfig> startup;
};

// Reads all of it; what can't be used is noted in `problems`, and the plan is of no use then. `platform` says
// that the platform's configuration is there: then the file may not describe the deployment a second time.
OperatorConfig readOperatorConfig(std::string_view text, const std::string& file, bool platform,
                                  config::ConfigProblems& problems);

// Throws protocol::Malformed with all problems, a line each.
OperatorConfig loadOperatorConfig(const std::string& file, bool platform);

std::string_view nameOf(LogLevel level);
const std::vector<std::string>& logParts();

// What differs between two starts in words, a line each: first what changes while running, then what waits.
struct ConfigDifference {
    std::vector<std::string> appliesNow;
    std::vector<std::string> needsRestart;
};
ConfigDifference compareConfigs(const protocol::StartupConfig& is, const protocol::StartupConfig& wanted);

// Everything that is in force, as TOML-like lines for people.
std::string describeConfig(const protocol::StartupConfig& start, const OperatorConfig& plan, bool platform);

}  // namespace poppyscale::config
