// What the router logs: its parts and their levels, as the operator's file sets them.
#pragma once

#include <functional>
#include <string_view>

#include "config/operator_config.hpp"
#include "logging/logger.hpp"

namespace poppyscale::process {

// Parts of the log, by their keys in the operator's file and in the JSON field `part`.
inline constexpr const char* kLifecycleLog = "life";
inline constexpr const char* kPolicyLog = "decisions";
inline constexpr const char* kDiscoveryLog = "discovery";

// Writes one line of the log for one event.
using LogFunction = std::function<void(config::LogLevel level, std::string_view text)>;

class ProcessLogger {
  public:
    explicit ProcessLogger(const config::LogConfig& config) { configure(config); }

    // Form, levels and rate from now on.
    void configure(const config::LogConfig& config);
    // Writes `text`, a sentence, unless the part's level is above `level`.
    void log(std::string_view part, config::LogLevel level, std::string_view text);
    // A line of the process's own part, `kLifecycleLog`.
    void logLifecycle(config::LogLevel level, std::string_view text) { log(kLifecycleLog, level, text); }

  private:
    config::LogConfig config_;
    logging::Logger logger_{"poppyscale", logging::Format::text, config::LogConfig{}.maxLinesPerSecond, 50};
};

}  // namespace poppyscale::process
