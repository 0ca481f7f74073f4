// A limit on the rate of similar log lines.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "base/time.hpp"

namespace poppyscale::proxy {

// Allows a number of lines per second, and counts the others, so that a failing peer does not displace other
// lines of the log.
class LogRateLimit {
  public:
    // If a line may be written, returns the note to append to it: how many lines were suppressed before, or
    // nothing. Else counts the line as suppressed.
    std::optional<std::string> admit(Nanos now) {
        if (now >= intervalStart_ + kInterval) {
            intervalStart_ = now;
            linesInInterval_ = 0;
        }
        if (linesInInterval_ >= kMaxLinesPerInterval) {
            ++suppressedLines_;
            return std::nullopt;
        }
        ++linesInInterval_;
        const std::uint64_t suppressed = std::exchange(suppressedLines_, 0);
        return suppressed ? " (" + std::to_string(suppressed) + " such lines were suppressed)"
                          : std::string();
    }

  private:
    static constexpr Nanos kInterval = 1'000 * kMillisecond;
    static constexpr int kMaxLinesPerInterval = 10;

    Nanos intervalStart_ = 0;
    int linesInInterval_ = 0;
    std::uint64_t suppressedLines_ = 0;
};

}  // namespace poppyscale::proxy
