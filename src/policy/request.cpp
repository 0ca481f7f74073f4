#include "policy/request.hpp"

#include <algorithm>
#include <utility>

#include "policy/server.hpp"

namespace poppyscale::policy {

Request::Request(RequestProperties properties, RequestState initial)
    : properties_(std::move(properties)), state_(initial) {}

std::shared_ptr<Server> Request::sharedServer(Server& server) { return server.shared_from_this(); }

const Attempt* Request::firstThatMayHaveExecuted() const {
    for (const Attempt& attempt : attempts_)
        if (attempt.state != AttemptState::neverExecuted) return &attempt;
    return nullptr;
}

void Request::startAttempt(Server& server, bool allowsFreeRetry, Nanos now) {
    attempts_.push_back({sharedServer(server), now, AttemptState::inFlight, allowsFreeRetry});
    state_ = RequestState::inFlight;
}

const Attempt* Request::findInFlight(int attempt) const {
    const auto index = static_cast<std::size_t>(attempt);
    if (index >= attempts_.size() || attempts_[index].state != AttemptState::inFlight) return nullptr;
    return &attempts_[index];
}

void Request::endAttempt(AttemptOutcome outcome) {
    // From `overloaded` on, outcomes prove that the request was not executed.
    const bool wasNotExecuted = outcome >= AttemptOutcome::overloaded;
    attempts_.back().state = wasNotExecuted ? AttemptState::neverExecuted : AttemptState::mayHaveExecuted;
}

void Request::queue(AttemptOutcome outcome, bool isServable) {
    const Attempt& last = attempts_.back();
    if (outcome != AttemptOutcome::cacheMiss && !last.allowsFreeRetry) hasFailedAttempt_ = true;
    if (last.state == AttemptState::mayHaveExecuted) {
        if (!last.allowsFreeRetry) needsRetryCredit_[last.server->isOrigin() ? 1 : 0] = true;
        if (requestClass().idempotency == Idempotency::idempotentWithKey)
            latestStart_ = std::min(latestStart_, last.startedAt + requestClass().idempotencyKeyTtl);
    }
    state_ = isServable ? RequestState::queued : RequestState::unservable;
}

}  // namespace poppyscale::policy
