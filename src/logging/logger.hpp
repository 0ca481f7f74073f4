// A log on standard error: one line for one event, as text or as JSON. spdlog writes the lines; the limit on
// their rate and never waiting for the reader are this project's.
#pragma once

#include <spdlog/logger.h>

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace poppyscale::logging {

enum class Format : std::uint8_t { text, json };

// Owns one log of a process. Guarantees: no call blocks, and no more than a burst of lines and the mean rate
// after it are written; the next written line says how many were suppressed. Used by one thread.
class Logger {
  public:
    // `name` stands in front of each line of text, and is a field of each line that `log` writes as JSON.
    Logger(std::string name, Format format, double maxLinesPerSecond = 50, double maxBurstLines = 200);
    // Form and rate from now on.
    void configure(Format format, double maxLinesPerSecond);
    // An event with fields: as text the event and `key=value` for each field.
    void log(spdlog::level::level_enum level, std::string_view event, const nlohmann::json& fields = {});
    void info(std::string_view event, const nlohmann::json& fields = {}) {
        log(spdlog::level::info, event, fields);
    }

    // A line that is `text`, or in JSON `fields` with the time and the level.
    void write(spdlog::level::level_enum level, std::string_view text, nlohmann::json fields);

  private:
    // Takes one line from the allowance; counts the line as suppressed when it can't be written.
    bool mayWrite();

    std::string name_;
    Format format_;
    double maxLinesPerSecond_;
    double maxBurstLines_;
    double allowedLines_;
    std::int64_t replenishedAtNs_ = 0;   // when `allowedLines_` was last brought up to date
    unsigned long suppressedLines_ = 0;  // since the last one written
    std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace poppyscale::logging
