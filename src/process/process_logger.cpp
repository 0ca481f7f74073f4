#include "process/process_logger.hpp"

namespace poppyscale::process {
namespace {

spdlog::level::level_enum spdlogLevel(config::LogLevel level) {
    switch (level) {
        case config::LogLevel::debug:
            return spdlog::level::debug;
        case config::LogLevel::info:
            return spdlog::level::info;
        case config::LogLevel::warning:
            return spdlog::level::warn;
        case config::LogLevel::error:
            return spdlog::level::err;
        case config::LogLevel::off:
            break;
    }
    return spdlog::level::off;
}

}  // namespace

void ProcessLogger::configure(const config::LogConfig& config) {
    config_ = config;
    logger_.configure(config.isJson ? logging::Format::json : logging::Format::text,
                      config.maxLinesPerSecond);
}

void ProcessLogger::log(std::string_view part, config::LogLevel level, std::string_view text) {
    const auto partLevel = config_.partLevels.find(std::string(part));
    const config::LogLevel minLevel =
        partLevel == config_.partLevels.end() ? config_.level : partLevel->second;
    if (level < minLevel) return;
    nlohmann::json fields;
    if (config_.isJson) fields = {{"part", part}, {"text", text}};
    logger_.write(spdlogLevel(level), text, std::move(fields));
}

}  // namespace poppyscale::process
