#include "program/logger.hpp"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>

#include "transport/loop.hpp"

namespace poppyscale::program {
namespace {

constexpr double kLinesPerSecond = 10;
constexpr double kMostAtOnce = 50;

}  // namespace

void Logger::line(std::string_view text) {
    const auto now = transport::Loop::now();
    allowance_ =
        std::min(kMostAtOnce, allowance_ + kLinesPerSecond * static_cast<double>(now - filledAt_) / 1e9);
    filledAt_ = now;
    // A log that nobody reads must not hold up the loop.
    pollfd out{STDERR_FILENO, POLLOUT, 0};
    if (allowance_ < 1 || poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT)) {
        ++left_;
        return;
    }
    allowance_ -= 1;
    std::string whole = left_ ? fmt::format("poppyscale: {} ({} lines left out)\n", text, left_)
                              : fmt::format("poppyscale: {}\n", text);
    left_ = 0;
    [[maybe_unused]] const auto written = ::write(STDERR_FILENO, whole.data(), whole.size());
}

}  // namespace poppyscale::program
