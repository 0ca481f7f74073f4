// Lines of a log on standard error, as text or as JSON: one word for what it is, and fields. spdlog writes
// them; what is ours is the bound on lines a second and never to wait for who reads them.
#pragma once

#include <spdlog/logger.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace poppyscale::logging {

enum class Format : std::uint8_t { text, json };

class Logger {
  public:
    // `name` is in front of each line of text, and a field of each one of JSON. `perSecond` lines are written
    // on the mean and `atOnce` at most; the others are left out, and the next one says how many.
    Logger(std::string name, Format form, double perSecond = 50, double atOnce = 200);
    void configure(Format form, double perSecond);
    void log(spdlog::level::level_enum level, std::string_view what, const nlohmann::json& fields = {});
    void info(std::string_view what, const nlohmann::json& fields = {}) {
        log(spdlog::level::info, what, fields);
    }

    // A line that is `text`, or `fields` with the time and the level.
    void write(spdlog::level::level_enum level, std::string_view text, nlohmann::json fields);

  private:
    bool mayWrite();

    std::string name_;
    Format form_;
    double perSecond_, burst_;
    double allowance_;
    std::int64_t filledAt_ = 0;
    unsigned long suppressedLines_ = 0;  // lines since the last one written
    std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace poppyscale::logging
