// Why attempts ended: counted for the metrics, and logged.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

#include "base/time.hpp"
#include "proxy/log_rate_limit.hpp"

namespace poppyscale::proxy {

class Attempt;

// Every attempt ends for one of these reasons.
enum class AttemptEndReason : std::uint8_t {
    responded,           // the response arrived completely
    malformedResponse,   // the response violates the protocol or a size limit
    connectFailed,       // no connection was established
    connectionLost,      // the server closed or reset the connection, or writing to it failed
    connectionTimeout,   // the attempt waited too long for a connection
    requestTimeout,      // the server did not read the whole request in time
    responseTimeout,     // no byte of the response arrived in time
    incompleteResponse,  // the response had begun, but was incomplete at the request's deadline
    stalledResponse,     // the rest of a response that was being passed on did not arrive
    cancelled,           // no client takes the rest of a response that was being passed on
    clientDisconnected,  // the client has closed its connection, or failed to send its request
    serverUnavailable,   // the server was draining, removed, ejected or without an address
    deadlinePassed,      // no time was left when a connection became available
    count
};

// Counts the ends of attempts by reason, and logs each one without a complete response. Lines beyond a rate
// are only counted, so that a failing server does not displace other lines of the log. Each belongs to one
// dispatcher and its thread.
class AttemptEndLog {
  public:
    using Log = std::function<void(std::string_view)>;
    explicit AttemptEndLog(Log log) : log_(std::move(log)) {}

    // `attempt` has ended at `now`.
    void record(const Attempt& attempt, std::string_view outcome, Nanos now);
    // All counts, under the names that replies on the operator socket use.
    nlohmann::json json() const;

  private:
    Log log_;
    LogRateLimit rateLimit_;
    std::array<std::uint64_t, static_cast<std::size_t>(AttemptEndReason::count)> counts_{};
};

}  // namespace poppyscale::proxy
