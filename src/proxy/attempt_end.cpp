#include "proxy/attempt_end.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

#include "proxy/attempt.hpp"
#include "proxy/upstream_server.hpp"

namespace poppyscale::proxy {
namespace {

// In the order of the enumeration; these are the keys of the JSON and appear in log lines.
constexpr std::array<std::string_view, static_cast<std::size_t>(AttemptEndReason::count)> kReasonNames{
    "responded",          "malformed_response", "connect_failed",      "connection_lost",
    "connection_timeout", "request_timeout",    "response_timeout",    "incomplete_response",
    "stalled_response",   "cancelled",          "client_disconnected", "server_unavailable",
    "deadline_passed"};

std::string_view nameOf(AttemptEndReason reason) { return kReasonNames[static_cast<std::size_t>(reason)]; }

}  // namespace

void AttemptEndLog::record(const Attempt& attempt, std::string_view outcome, Nanos now) {
    const AttemptEndReason reason = attempt.endReason();
    ++counts_[static_cast<std::size_t>(reason)];
    if (reason == AttemptEndReason::responded) return;
    const auto note = rateLimit_.admit(now);
    if (!note) return;
    const AttemptProgress& progress = attempt.progress();
    const Nanos lastProgressAt = std::max(progress.lastProgressAt(), attempt.startedAt());
    log_(
        fmt::format("attempt ended: id={} number={} server={} reason={} outcome={} after_ms={} "
                    "response_bytes={} silent_ms={}{}",
                    attempt.message().id, attempt.number(), attempt.server().host(), nameOf(reason), outcome,
                    (now - attempt.startedAt()) / kMillisecond, progress.responseBytes(),
                    (now - lastProgressAt) / kMillisecond, *note));
}

nlohmann::json AttemptEndLog::json() const {
    auto counts = nlohmann::json::object();
    for (std::size_t i = 0; i < counts_.size(); ++i) counts[std::string(kReasonNames[i])] = counts_[i];
    return counts;
}

}  // namespace poppyscale::proxy
