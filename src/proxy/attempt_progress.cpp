#include "proxy/attempt_progress.hpp"

#include <algorithm>

namespace poppyscale::proxy {
namespace {

// How long a transfer to or from a server may make no progress.
constexpr Nanos kTransferIdleTimeout = 5'000 * kMillisecond;
// Bounds the time in which a value is passed on, however often single bytes of it arrive.
constexpr Nanos kMinForwardingDuration = 30'000 * kMillisecond;
constexpr Nanos kForwardingNanosPerByte = 1'000'000'000 / 1024;

}  // namespace

void AttemptProgress::onRequestBegun(bool isStreamed, Nanos now) {
    phase_ = isStreamed ? AttemptPhase::sendingRequest : AttemptPhase::awaitingResponse;
    lastProgressAt_ = now;
}

void AttemptProgress::onRequestPart(Nanos requestDeadline, Nanos now) {
    deadlines_.request = requestDeadline;
    deadlines_.responseStart = requestDeadline;
    lastProgressAt_ = now;
}

void AttemptProgress::onRequestSent(Nanos requestDeadline) {
    deadlines_.request = requestDeadline;
    deadlines_.responseStart = requestDeadline;
    if (phase_ == AttemptPhase::sendingRequest) phase_ = AttemptPhase::awaitingResponse;
}

void AttemptProgress::onResponseBytes(std::size_t count, Nanos now) {
    responseBytes_ += count;
    lastProgressAt_ = now;
    if (phase_ != AttemptPhase::forwardingResponse) phase_ = AttemptPhase::receivingResponse;
}

void AttemptProgress::onForwarding(std::size_t length, Nanos now) {
    phase_ = AttemptPhase::forwardingResponse;
    forwardingEnd_ = now + kMinForwardingDuration + static_cast<Nanos>(length) * kForwardingNanosPerByte;
}

void AttemptProgress::resume(Nanos now) {
    isPaused_ = false;
    lastProgressAt_ = now;
}

Nanos AttemptProgress::phaseEnd() const {
    const Nanos idleEnd = lastProgressAt_ + kTransferIdleTimeout;
    switch (phase_) {
        case AttemptPhase::awaitingConnection:
            return deadlines_.connection;
        case AttemptPhase::sendingRequest:
            return std::min(deadlines_.request, idleEnd);
        case AttemptPhase::awaitingResponse:
            return deadlines_.responseStart;
        case AttemptPhase::receivingResponse:
            return deadlines_.request;
        case AttemptPhase::forwardingResponse:
            return isPaused_ ? forwardingEnd_ : std::min(forwardingEnd_, idleEnd);
    }
    return deadlines_.request;
}

}  // namespace poppyscale::proxy
