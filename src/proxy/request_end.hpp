// Requests that end late or without a final response: counted for the metrics, and logged.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <utility>

#include "base/time.hpp"
#include "proxy/log_rate_limit.hpp"

namespace poppyscale::proxy {

struct PendingRequest;

// Counts final responses that come later than `kMaxLateness` after the deadline, and clients that leave while
// a request of theirs is open. Logs late responses, and clients that leave after their deadline, with what
// the request's attempt was waiting for. Each belongs to one dispatcher and its thread.
class RequestEndLog {
  public:
    using Log = std::function<void(std::string_view)>;
    // Timers and queued events delay a response that is given up at its deadline by no more than this.
    static constexpr Nanos kMaxLateness = 20 * kMillisecond;

    explicit RequestEndLog(Log log) : log_(std::move(log)) {}

    // The final response, or the first part of it, is being passed on.
    void recordFinalResponse(const PendingRequest& request, std::string_view kind, Nanos now);
    void recordClientDisconnected(const PendingRequest& request, Nanos now);
    // All counts, under the names that replies on the operator socket use.
    nlohmann::json json() const;

  private:
    void log(std::string_view event, const PendingRequest& request, Nanos now);

    Log log_;
    LogRateLimit rateLimit_;
    std::uint64_t lateResponses_ = 0;
    std::uint64_t clientsLeft_ = 0;
    std::uint64_t clientsLeftOverdue_ = 0;  // after the request's deadline
};

}  // namespace poppyscale::proxy
