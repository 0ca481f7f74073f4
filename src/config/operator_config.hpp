// The operator's file: settings that the platform's configuration lacks, and the whole
// configuration if there is no platform.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/toml_table.hpp"
#include "protocol/startup_config.hpp"

namespace poppyscale::config {

enum class LogLevel : std::uint8_t { debug, info, warning, error, off };

// The file's `[log]`; the values here are the defaults.
struct LogConfig {
    bool isJson = false;
    LogLevel level = LogLevel::info;
    std::map<std::string, LogLevel> partLevels;  // those of logParts() that have a level of their own
    double maxLinesPerSecond = 10;
    bool operator==(const LogConfig&) const = default;
};

// The whole file; the values here are the defaults.
struct OperatorConfig {
    std::string operatorSocket;  // path of a Unix socket; none if empty
    LogConfig log;
    // Addresses that endpoint lists are polled from in place of discovery; discovery itself if empty.
    std::vector<std::string> distributors;
    Nanos drainTimeout = 0;  // 0: as long as the longest request timeout
    // Set if the file describes the deployment. Without discovery the endpoint list is in
    // `knownEndpoints`.
    std::optional<protocol::StartupConfig> startup;
};

// The problems of a file; the text has a line for each of them.
struct ConfigError : protocol::ParseError {
    explicit ConfigError(std::vector<ConfigProblem> problemsFound);

    std::vector<ConfigProblem> problems;
};

// Reads the text of the file named `file`. Records everything invalid in `problems`; if there are
// any, the result must not be used. If `hasPlatformConfig`, the file must not describe the
// deployment.
OperatorConfig readOperatorConfig(std::string_view text, const std::string& file, bool hasPlatformConfig,
                                  ConfigProblems& problems);

// Reads the file itself in the same way; throws ConfigError.
OperatorConfig loadOperatorConfig(const std::string& file, bool hasPlatformConfig);

// The level's name in the file.
std::string_view nameOf(LogLevel level);
// The parts of the log that may have a level of their own, by their keys in `[log.parts]`.
const std::vector<std::string>& logParts();

// The differences between two configurations, a line of text for each setting.
struct ConfigDifference {
    std::vector<std::string> appliesNow;
    std::vector<std::string> needsRestart;
};
ConfigDifference compareConfigs(const protocol::StartupConfig& current, const protocol::StartupConfig& fresh);

// All settings as text, one a line. Two processes of one router compare these texts before a hot restart.
std::string describeConfig(const protocol::StartupConfig& startup, const OperatorConfig& operatorConfig,
                           bool isFromPlatform);

}  // namespace poppyscale::config
