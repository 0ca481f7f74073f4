#include "logging/logger.hpp"

#include <poll.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace poppyscale::logging {
namespace {

std::int64_t monotonicNowNs() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t unixTimeMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

bool isErrorOutputWritable() {
    pollfd output{STDERR_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT);
}

}  // namespace

Logger::Logger(std::string name, Format format, double maxLinesPerSecond, double maxBurstLines)
    : name_(std::move(name)),
      format_(format),
      maxLinesPerSecond_(maxLinesPerSecond),
      maxBurstLines_(maxBurstLines),
      allowedLines_(maxBurstLines) {
    logger_ = std::make_shared<spdlog::logger>(name_, std::make_shared<spdlog::sinks::stderr_sink_st>());
    logger_->set_level(spdlog::level::trace);
    logger_->flush_on(spdlog::level::trace);
    configure(format, maxLinesPerSecond);
}

void Logger::configure(Format format, double maxLinesPerSecond) {
    format_ = format;
    maxLinesPerSecond_ = maxLinesPerSecond;
    logger_->set_pattern(format_ == Format::json ? "%v" : "%n: %v");
}

bool Logger::consumeAllowance() {
    const std::int64_t now = monotonicNowNs();
    const double replenished = maxLinesPerSecond_ * static_cast<double>(now - replenishedAtNs_) / 1e9;
    allowedLines_ = std::min(maxBurstLines_, allowedLines_ + replenished);
    replenishedAtNs_ = now;
    // Writing to a full pipe whose reader has stopped reading would block the process.
    if (allowedLines_ < 1 || !isErrorOutputWritable()) {
        ++suppressedLines_;
        return false;
    }
    allowedLines_ -= 1;
    return true;
}

void Logger::write(spdlog::level::level_enum level, std::string_view text, nlohmann::json fields) {
    if (!consumeAllowance()) return;
    const unsigned long suppressed = suppressedLines_;
    suppressedLines_ = 0;
    if (format_ == Format::json) {
        fields["at_ms"] = unixTimeMs();
        fields["level"] = spdlog::level::to_string_view(level).data();
        if (suppressed) fields["left_out"] = suppressed;
        const auto line = fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        logger_->log(level, "{}", line);
    } else if (suppressed) {
        logger_->log(level, "{} ({} lines suppressed)", text, suppressed);
    } else {
        logger_->log(level, "{}", text);
    }
}

void Logger::log(spdlog::level::level_enum level, std::string_view event, const nlohmann::json& fields) {
    std::string text(event);
    nlohmann::json line{{"name", name_}, {"what", event}};
    if (fields.is_object()) {
        line.update(fields);
        for (const auto& [key, value] : fields.items())
            text += " " + key + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    write(level, text, std::move(line));
}

}  // namespace poppyscale::logging
