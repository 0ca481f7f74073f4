#include "program/logger.hpp"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "transport/loop.hpp"

namespace poppyscale::program {
namespace {

constexpr double kMostAtOnce = 50;

}  // namespace

void Logger::line(std::string_view part, op::Level level, std::string_view text) {
    const auto own = plan_.parts.find(std::string(part));
    if (level < (own == plan_.parts.end() ? plan_.level : own->second)) return;
    const auto now = transport::Loop::now();
    allowance_ =
        std::min(kMostAtOnce, allowance_ + plan_.perSecond * static_cast<double>(now - filledAt_) / 1e9);
    filledAt_ = now;
    // A log that nobody reads must not hold up the loop.
    pollfd out{STDERR_FILENO, POLLOUT, 0};
    if (allowance_ < 1 || poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT)) {
        ++left_;
        return;
    }
    allowance_ -= 1;
    std::string whole;
    if (plan_.json) {
        const auto at = std::chrono::system_clock::now().time_since_epoch();
        nlohmann::json line{{"at_ms", std::chrono::duration_cast<std::chrono::milliseconds>(at).count()},
                            {"level", op::nameOf(level)},
                            {"part", part},
                            {"text", text}};
        if (left_) line["left_out"] = left_;
        whole = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    } else {
        whole = left_ ? fmt::format("poppyscale: {} ({} lines left out)\n", text, left_)
                      : fmt::format("poppyscale: {}\n", text);
    }
    left_ = 0;
    [[maybe_unused]] const auto written = ::write(STDERR_FILENO, whole.data(), whole.size());
}

}  // namespace poppyscale::program
