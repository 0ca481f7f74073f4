#include "process/process_logger.hpp"

namespace poppyscale::process {
namespace {

spdlog::level::level_enum levelOf(config::LogLevel level) {
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

void ProcessLogger::configure(const config::LogConfig& plan) {
    config_ = plan;
    log_.configure(plan.json ? logging::Format::json : logging::Format::text, plan.perSecond);
}

void ProcessLogger::log(std::string_view part, config::LogLevel level, std::string_view text) {
    const auto own = config_.parts.find(std::string(part));
    if (level < (own == config_.parts.end() ? config_.level : own->second)) return;
    nlohmann::json fields;
    if (config_.json) fields = {{"part", part}, {"text", text}};
    log_.write(levelOf(level), text, std::move(fields));
}

}  // namespace poppyscale::process
