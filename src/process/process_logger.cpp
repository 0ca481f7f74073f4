#include "process/process_logger.hpp"

namespace poppyscale::process {
namespace {

spdlog::level::level_enum levelOf(config::Level level) {
    switch (level) {
        case config::Level::debug:
            return spdlog::level::debug;
        case config::Level::info:
            return spdlog::level::info;
        case config::Level::warning:
            return spdlog::level::warn;
        case config::Level::error:
            return spdlog::level::err;
        case config::Level::off:
            break;
    }
    return spdlog::level::off;
}

}  // namespace

void Logger::plan(const config::LogPlan& plan) {
    plan_ = plan;
    log_.plan(plan.json ? logging::Form::json : logging::Form::text, plan.perSecond);
}

void Logger::line(std::string_view part, config::Level level, std::string_view text) {
    const auto own = plan_.parts.find(std::string(part));
    if (level < (own == plan_.parts.end() ? plan_.level : own->second)) return;
    nlohmann::json fields;
    if (plan_.json) fields = {{"part", part}, {"text", text}};
    log_.write(levelOf(level), text, std::move(fields));
}

}  // namespace poppyscale::process
