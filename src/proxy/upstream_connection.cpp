#include "proxy/upstream_connection.hpp"

#include <algorithm>
#include <utility>

namespace poppyscale::proxy {
namespace {

// How late a second copy of a response may arrive without being taken for the next response.
constexpr Nanos kCooldownDuration = 50 * kMillisecond;

}  // namespace

UpstreamConnection::UpstreamConnection(Owner& owner, ConnectionPool& pool, const transport::Address& address,
                                       bool isOrigin)
    : owner_(owner),
      pool_(pool),
      address_(address),
      connection_(pool.loop(), pool.buffers(), *this),
      timer_(pool.loop(), [this] { onTimer(); }),
      codec_(isOrigin ? makeOriginCodec() : makeCacheCodec()) {}

UpstreamConnection::~UpstreamConnection() {
    releaseResponse();
    if (responseSink_) responseSink_->onAborted();
    if (requestBody_) requestBody_->cancel();
}

bool UpstreamConnection::open() {
    timer_.start(transport::EventLoop::now() + pool_.connectTimeout());
    return connection_.connect(address_);
}

bool UpstreamConnection::isStale() const {
    const auto& listed = owner_.address();
    return !owner_.isUsable() || !listed || !transport::sameAddress(address_, *listed);
}

void UpstreamConnection::start(Attempt& attempt) {
    timer_.stop();
    state_ = State::busy;
    wasReadDelayed_ = false;
    attempt_ = &attempt;
    attempt.attach(*this);
    const protocol::Request& message = attempt.message();
    const Nanos timeLeft = attempt.deadline() - transport::EventLoop::now();
    // Every request is written here, so the invariant is checked again, whatever was checked before.
    if (isStale() || timeLeft <= 0)
        pool_.guard().reportViolation(
            Invariant::sending, "request " + message.id + " to " + owner_.host() +
                                    ", which is unusable or has another address, or after its deadline");
    const std::string head = codec_->encode(message, owner_.host(), timeLeft);
    // The request's last byte was not accepted, so the server can't have executed the request.
    if (!connection_.write(head))
        return breakOff(AttemptOutcome::connectFailed, AttemptEndReason::connectionLost);
    requestBody_ = attempt.takeBody();
    attempt.onRequestBegun(requestBody_ != nullptr);
    if (!requestBody_) return;
    requestBodyLeft_ = message.streamedLength;
    attempt.onRequestPart(requestDeadline());
    requestBody_->streamTo(*this);
}

Attempt* UpstreamConnection::releaseAttempt() {
    Attempt* const attempt = std::exchange(attempt_, nullptr);
    if (!attempt) return nullptr;
    state_ = State::releasing;
    attempt->detach();
    return attempt;
}

void UpstreamConnection::onConnected(bool success) {
    if (!success) return onConnectFailed();
    state_ = State::idle;
    owner_.onActivity();
    // The server may have become unusable, or its address may have changed, while the connection was
    // being established.
    if (isStale()) return owner_.remove(*this);
    connection_.setReading(true);
    idleSince_ = transport::EventLoop::now();
    becomeIdle();
}

void UpstreamConnection::onConnectFailed() {
    Attempt* const waiting = owner_.takeNextWaiting();
    removeAndEnd(waiting, AttemptOutcome::connectFailed, AttemptEndReason::connectFailed);
}

void UpstreamConnection::onTimer() {
    if (state_ == State::connecting) return onConnectFailed();
    const bool isCooldownOver = state_ == State::coolingDown && pool_.idleTimeout() > kCooldownDuration;
    if (isCooldownOver) return becomeIdle();
    owner_.remove(*this);
}

void UpstreamConnection::onData(std::string_view bytes) {
    owner_.onActivity();
    // No request is in flight, so the bytes are no response.
    if (!attempt_) return owner_.remove(*this);
    attempt_->onResponseBytes(bytes.size());
    using CodecState = UpstreamCodec::State;
    CodecState state = codec_->feed(bytes);
    while (state == CodecState::chunk) {
        if (!forwardChunk(codec_->streamedLength(), codec_->chunk())) return;
        state = codec_->feed(bytes);
    }
    if (state == CodecState::complete) {
        auto response = codec_->takeResponse();
        return endAttempt(std::move(response), codec_->isReusable(), AttemptEndReason::responded);
    }
    if (state == CodecState::malformed) return endAttempt({}, false, AttemptEndReason::malformedResponse);
    reserveResponse();
}

// Each response has its own size limit, but many incomplete responses together could exhaust the memory of a
// small machine. A response that has its reservation can be read to its end, so that no two wait for each
// other's memory. What has been read without one is counted all the same.
void UpstreamConnection::reserveResponse() {
    if (codec_->expectedBytes() <= reservedBytes_ || tryRead()) return;
    isAwaitingRead_ = true;
    wasReadDelayed_ = true;
    connection_.setReading(false);
    pool_.awaitRead(*this);
}

bool UpstreamConnection::tryRead() {
    const std::size_t expected = codec_->expectedBytes();
    if (!pool_.responses().mayRead(expected - reservedBytes_)) return false;
    setReservedBytes(expected);
    if (isAwaitingRead_) connection_.setReading(true);
    isAwaitingRead_ = false;
    return true;
}

void UpstreamConnection::setReservedBytes(std::size_t bytes) {
    pool_.responses().updateIncomplete(reservedBytes_, bytes);
    reservedBytes_ = bytes;
}

void UpstreamConnection::releaseResponse() {
    setReservedBytes(0);
    if (!isAwaitingRead_) return;
    isAwaitingRead_ = false;
    pool_.cancelRead(*this);
}

void UpstreamConnection::onClosed() {
    if (state_ == State::connecting) return onConnectFailed();
    // A response without a length extends to the end of the connection. The peer must have closed it in
    // order: a response truncated by a reset would look like a complete, shorter one.
    if (attempt_ && isWritten() && connection_.hasPeerFinished() &&
        codec_->onConnectionEnd() == UpstreamCodec::State::complete)
        return endAttempt(codec_->takeResponse(), false, AttemptEndReason::responded);
    breakOff(isWritten() ? AttemptOutcome::connectionLost : AttemptOutcome::connectFailed,
             AttemptEndReason::connectionLost);
}

bool UpstreamConnection::forwardChunk(std::size_t length, std::string_view bytes) {
    if (attempt_->firstByteAt() == 0) {
        responseBodyLeft_ = length;
        responseSink_ = pool_.handler().onStreamBegins(*attempt_, length, *this);
        attempt_->onForwarding(length);
    }
    responseBodyLeft_ -= bytes.size();
    const FlowControl control = responseSink_ ? responseSink_->onChunk(bytes) : FlowControl::closed;
    if (control == FlowControl::closed) {
        responseSink_ = nullptr;
        endAttempt({AttemptOutcome::succeeded, {}, false}, false, AttemptEndReason::cancelled);
        return false;
    }
    if (responseBodyLeft_ == 0) responseSink_ = nullptr;
    if (control == FlowControl::full && responseSink_) {
        // The client reads slowly. `ClientConnection` limits for how long it may do so.
        connection_.setReading(false);
        attempt_->pause();
    }
    return true;
}

void UpstreamConnection::resume() {
    connection_.setReading(true);
    attempt_->resume();
}

void UpstreamConnection::cancel() {
    responseSink_ = nullptr;
    breakOff(AttemptOutcome::succeeded, AttemptEndReason::cancelled);
}

void UpstreamConnection::expire() {
    responseSink_ = nullptr;
    breakOff(AttemptOutcome::failed, AttemptEndReason::stalledResponse);
}

FlowControl UpstreamConnection::onChunk(std::string_view bytes) {
    requestBodyLeft_ -= bytes.size();
    const bool isLast = requestBodyLeft_ == 0;
    bool isWriteAccepted = connection_.write(bytes);
    const std::string_view terminator = codec_->bodyTerminator();
    if (isWriteAccepted && isLast && !terminator.empty()) isWriteAccepted = connection_.write(terminator);
    if (!isWriteAccepted) {
        requestBody_ = nullptr;
        breakOff(AttemptOutcome::connectFailed, AttemptEndReason::connectionLost);
        return FlowControl::closed;
    }
    attempt_->onRequestPart(requestDeadline());
    if (!isLast) return connection_.unsentBytes() > 0 ? FlowControl::full : FlowControl::ready;
    const Nanos deadline = requestDeadline();
    requestBody_ = nullptr;
    attempt_->onRequestSent(deadline);
    return FlowControl::ready;
}

// The client aborted the request body, which says nothing about the server.
void UpstreamConnection::onAborted() {
    requestBody_ = nullptr;
    breakOff(AttemptOutcome::notSent, AttemptEndReason::clientDisconnected);
}

void UpstreamConnection::onDrained() {
    if (requestBody_) requestBody_->resume();
}

Nanos UpstreamConnection::requestDeadline() const {
    return requestBody_->sentAfter() + attempt_->message().timeout;
}

void UpstreamConnection::becomeIdle() {
    state_ = State::idle;
    timer_.start(idleSince_ + pool_.idleTimeout());
    pool_.notifyCapacityFreed();
}

void UpstreamConnection::beginCooldown() {
    state_ = State::coolingDown;
    idleSince_ = transport::EventLoop::now();
    timer_.start(idleSince_ + std::min(kCooldownDuration, pool_.idleTimeout()));
    pool_.notifyCapacityFreed();
}

void UpstreamConnection::endAttempt(protocol::AttemptResponse response, bool isReusable,
                                    AttemptEndReason reason) {
    AttemptHandler& handler = pool_.handler();
    // If the response came before the whole request was written, it is unknown how much of the request
    // the server has read, so the connection is not reused.
    const bool isKept = isReusable && response.isWellFormed && isWritten() && !isStale();
    Attempt* const attempt = releaseAttempt();
    codec_->clear();
    releaseResponse();
    responseBodyLeft_ = 0;
    if (isKept)
        beginCooldown();
    else
        owner_.remove(*this);
    attempt->setEndReason(reason);
    handler.onAttemptEnded(*attempt, std::move(response));
}

void UpstreamConnection::breakOff(AttemptOutcome outcome, AttemptEndReason reason) {
    Attempt* const attempt = releaseAttempt();
    removeAndEnd(attempt, outcome, reason);
}

// Callers detach `attempt` from the connection or the queue first: removing the connection lets the pool
// open another one for each attempt that still waits.
void UpstreamConnection::removeAndEnd(Attempt* attempt, AttemptOutcome outcome, AttemptEndReason reason) {
    AttemptHandler& handler = pool_.handler();
    owner_.remove(*this);
    if (!attempt) return;
    attempt->setEndReason(reason);
    handler.onAttemptEnded(*attempt, {outcome, {}});
}

}  // namespace poppyscale::proxy
