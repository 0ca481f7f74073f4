#include "proxy/streamed_write.hpp"

#include <utility>

namespace poppyscale::proxy {
namespace {

// How long a client's machine takes at most to send what has waited for the receive window.
constexpr Nanos kMaxRoundTrip = 100 * kMillisecond;
constexpr std::size_t kMaxForwardedBytes = 32 * 1024;  // in one call of the sink

}  // namespace

void StreamedWrite::begin(PipelinedRequest& request, std::size_t length, Nanos arrivedAt) {
    request_ = &request;
    sentAfter_ = arrivedAt;
    wasReadingStopped_ = false;
    bytesLeft_ = length;
    isAllRead_ = false;
    state_ = State::discarding;
}

// Bytes that follow a stop at once may have waited for the receive window.
void StreamedWrite::onArrival(Nanos arrivedAt, Nanos idleTime) {
    if (wasReadingStopped_ && idleTime < kMaxRoundTrip) return;
    sentAfter_ = arrivedAt;
}

void StreamedWrite::onBytes(std::string_view bytes) {
    switch (state_) {
        case State::inactive:
        case State::discarding:
            return;
        case State::awaitingSink:
        case State::paused:
        case State::delivered:
            buffered_ += bytes;
            return;
        case State::streaming:
            return forward(bytes);
    }
}

void StreamedWrite::onAllRead() {
    isAllRead_ = true;
    finishIfDone();
}

void StreamedWrite::forward(std::string_view bytes) {
    const FlowControl control = sink_->onChunk(bytes);
    bytesLeft_ -= bytes.size();
    if (control == FlowControl::closed) {
        sink_ = nullptr;
        discard();
    } else if (bytesLeft_ == 0) {
        sink_ = nullptr;
        state_ = State::delivered;
    } else {
        state_ = control == FlowControl::full ? State::paused : State::streaming;
    }
    finishIfDone();
}

void StreamedWrite::finishIfDone() {
    if (!isActive() || !isAllRead_) return;
    const bool isDone = state_ == State::discarding || bytesLeft_ == 0;
    if (!isDone) return;
    request_ = nullptr;
    state_ = State::inactive;
    owner_.onStreamedWriteFinished();
}

void StreamedWrite::discard() {
    if (!isActive()) return;
    state_ = State::discarding;
    buffered_ = {};
    BodySink* const sink = std::exchange(sink_, nullptr);
    if (sink) sink->onAborted();
}

void StreamedWrite::discardAndFinish() {
    discard();
    finishIfDone();
}

void StreamedWrite::abandon() {
    discard();
    request_ = nullptr;
    state_ = State::inactive;
}

void StreamedWrite::streamTo(BodySink& sink) {
    sink_ = &sink;
    resume();
}

// Passes on what has been read ahead in parts, so that the sink can stop it.
void StreamedWrite::resume() {
    state_ = State::streaming;
    const std::string buffered = std::exchange(buffered_, {});
    std::string_view rest = buffered;
    while (!rest.empty() && state_ == State::streaming) {
        const std::string_view part = rest.substr(0, kMaxForwardedBytes);
        rest.remove_prefix(part.size());
        forward(part);
    }
    if (state_ == State::paused) buffered_ = rest;
    owner_.onStreamedWriteProgress();
}

void StreamedWrite::cancel() {
    sink_ = nullptr;
    discardAndFinish();
    owner_.onStreamedWriteProgress();
}

}  // namespace poppyscale::proxy
