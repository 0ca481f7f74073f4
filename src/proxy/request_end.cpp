#include "proxy/request_end.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

#include "proxy/pending_request.hpp"
#include "proxy/upstream_server.hpp"

namespace poppyscale::proxy {
namespace {

std::string_view nameOf(AttemptPhase phase) {
    switch (phase) {
        case AttemptPhase::awaitingConnection:
            return "awaiting_connection";
        case AttemptPhase::sendingRequest:
            return "sending_request";
        case AttemptPhase::awaitingResponse:
            return "awaiting_response";
        case AttemptPhase::receivingResponse:
            return "receiving_response";
        case AttemptPhase::forwardingResponse:
            return "forwarding_response";
    }
    return "unknown";
}

std::string describe(const Attempt* attempt, Nanos now) {
    if (!attempt) return "phase=no_attempt";
    const AttemptProgress& progress = attempt->progress();
    const Nanos lastProgressAt = std::max(progress.lastProgressAt(), attempt->startedAt());
    return fmt::format("server={} phase={} response_bytes={} silent_ms={}", attempt->server().host(),
                       nameOf(progress.phase()), progress.responseBytes(),
                       (now - lastProgressAt) / kMillisecond);
}

}  // namespace

void RequestEndLog::recordFinalResponse(const PendingRequest& request, std::string_view kind, Nanos now) {
    if (now <= request.deadline + kMaxLateness) return;
    ++lateResponses_;
    log(fmt::format("late final response: kind={}", kind), request, now);
}

void RequestEndLog::recordClientDisconnected(const PendingRequest& request, Nanos now) {
    ++clientsLeft_;
    if (now <= request.deadline) return;
    ++clientsLeftOverdue_;
    log("client left without a final response:", request, now);
}

void RequestEndLog::log(std::string_view event, const PendingRequest& request, Nanos now) {
    const auto note = rateLimit_.admit(now);
    if (!note) return;
    log_(fmt::format("{} id={} class={} after_ms={} timeout_ms={} attempts={} {}{}", event,
                     request.message.id, request.message.requestClass,
                     (now - request.acceptedAt) / kMillisecond,
                     (request.deadline - request.acceptedAt) / kMillisecond, request.attemptCount,
                     describe(request.attempt.get(), now), *note));
}

nlohmann::json RequestEndLog::json() const {
    return {{"late_responses", lateResponses_},
            {"clients_left", clientsLeft_},
            {"clients_left_overdue", clientsLeftOverdue_}};
}

}  // namespace poppyscale::proxy
