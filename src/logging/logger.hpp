// A log on standard error with one line for each event, as text or as JSON. spdlog writes the lines; Logger
// limits their rate and never waits for a slow reader.
#pragma once

#include <spdlog/logger.h>

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace poppyscale::logging {

enum class Format : std::uint8_t { text, json };

// Owns one log of a process. No call blocks. At most `maxBurstLines` lines are written in a burst, and
// `maxLinesPerSecond` on average after it; the next written line says how many were suppressed. Used by one
// thread.
class Logger {
  public:
    // `name` precedes each line of text, and is a field of each line that `log` writes as JSON.
    Logger(std::string name, Format format, double maxLinesPerSecond = 50, double maxBurstLines = 200);
    // Sets the format and the rate of all further lines.
    void configure(Format format, double maxLinesPerSecond);
    // Logs an event with fields; as text, the event is followed by `key=value` for each field.
    void log(spdlog::level::level_enum level, std::string_view event, const nlohmann::json& fields = {});
    void info(std::string_view event, const nlohmann::json& fields = {}) {
        log(spdlog::level::info, event, fields);
    }

    // Writes one line: `text` or, in JSON, `fields` with the time and the level added.
    void write(spdlog::level::level_enum level, std::string_view text, nlohmann::json fields);

  private:
    // Takes one line from the allowance. False when the line can't be written; it is counted as suppressed.
    bool consumeAllowance();

    std::string name_;
    Format format_;
    double maxLinesPerSecond_;
    double maxBurstLines_;
    double allowedLines_;
    std::int64_t replenishedAtNs_ = 0;   // when `allowedLines_` was last brought up to date
    unsigned long suppressedLines_ = 0;  // lines suppressed since the last written line
    std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace poppyscale::logging
