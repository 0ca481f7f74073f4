#include "logging/logger.hpp"

#include <poll.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace poppyscale::logging {
namespace {

std::int64_t monotonicNow() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

}  // namespace

Logger::Logger(std::string name, Format form, double perSecond, double atOnce)
    : name_(std::move(name)), form_(form), perSecond_(perSecond), burst_(atOnce), allowance_(atOnce) {
    logger_ = std::make_shared<spdlog::logger>(name_, std::make_shared<spdlog::sinks::stderr_sink_st>());
    logger_->set_level(spdlog::level::trace);
    logger_->flush_on(spdlog::level::trace);
    configure(form, perSecond);
}

void Logger::configure(Format form, double perSecond) {
    form_ = form;
    perSecond_ = perSecond;
    logger_->set_pattern(form_ == Format::json ? "%v" : "%n: %v");
}

bool Logger::mayWrite() {
    const std::int64_t now = monotonicNow();
    allowance_ = std::min(burst_, allowance_ + perSecond_ * static_cast<double>(now - filledAt_) / 1e9);
    filledAt_ = now;
    // A log that nobody reads must not hold up whoever writes it.
    pollfd out{STDERR_FILENO, POLLOUT, 0};
    if (allowance_ < 1 || ::poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT))
        return ++suppressedLines_, false;
    allowance_ -= 1;
    return true;
}

void Logger::write(spdlog::level::level_enum level, std::string_view text, nlohmann::json fields) {
    if (!mayWrite()) return;
    const unsigned long left = std::exchange(suppressedLines_, 0);
    if (form_ == Format::json) {
        const auto at = std::chrono::system_clock::now().time_since_epoch();
        fields["at_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(at).count();
        fields["level"] = spdlog::level::to_string_view(level).data();
        if (left) fields["left_out"] = left;
        const auto whole = fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        return logger_->log(level, "{}", whole);
    }
    if (left)
        logger_->log(level, "{} ({} lines left out)", text, left);
    else
        logger_->log(level, "{}", text);
}

void Logger::log(spdlog::level::level_enum level, std::string_view what, const nlohmann::json& fields) {
    std::string text(what);
    nlohmann::json all{{"name", name_}, {"what", what}};
    if (fields.is_object()) {
        all.update(fields);
        for (const auto& [key, value] : fields.items())
            text += " " + key + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    write(level, text, std::move(all));
}

}  // namespace poppyscale::logging
