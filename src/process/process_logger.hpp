// The router's log: its parts and the level of each, as set in the operator's file.
#pragma once

#include <functional>
#include <string_view>

#include "config/operator_config.hpp"
#include "logging/logger.hpp"

namespace poppyscale::process {

// Parts of the log, named as in the operator's file and in the JSON field `part`.
inline constexpr const char* kLifecycleLog = "life";
inline constexpr const char* kPolicyLog = "decisions";
inline constexpr const char* kDiscoveryLog = "discovery";

// Writes one event as one log line.
using LogFunction = std::function<void(config::LogLevel level, std::string_view text)>;

class ProcessLogger {
  public:
    explicit ProcessLogger(const config::LogConfig& config) { configure(config); }

    // Sets the format, levels and rate limit of later lines.
    void configure(const config::LogConfig& config);
    // Writes `text` unless `level` is below the level of `part`.
    void log(std::string_view part, config::LogLevel level, std::string_view text);
    // Writes a line of the part `kLifecycleLog`.
    void logLifecycle(config::LogLevel level, std::string_view text) { log(kLifecycleLog, level, text); }

  private:
    config::LogConfig config_;
    logging::Logger logger_{"poppyscale", logging::Format::text, config::LogConfig{}.maxLinesPerSecond, 50};
};

}  // namespace poppyscale::process
