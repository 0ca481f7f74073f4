#include "proxy/pipelined_request.hpp"

#include <algorithm>
#include <utility>

#include "protocol/resp.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::proxy {

void PipelinedRequest::respond(std::string_view text) {
    if (state_ == State::awaiting) state_ = State::complete;
    unsent_ = text;
}

bool PipelinedRequest::countStreamed(std::size_t size) {
    streamedBytesLeft_ -= size;
    const bool isLast = streamedBytesLeft_ == 0;
    if (isLast) state_ = State::complete;
    return isLast;
}

std::size_t PipelinedRequest::collectableBytes() const {
    return unsent_.size() + streamedBytesLeft_ + protocol::kBulkTerminator.size();
}

void PipelinedRequest::collect() {
    delivery_ = Delivery::collected;
    reservedBytes_ = collectableBytes() - unsent_.size();
    unsent_.reserve(collectableBytes());
}

void PipelinedRequest::stopCollecting() {
    delivery_ = Delivery::direct;
    reservedBytes_ = 0;
}

void PipelinedRequest::append(std::string_view text) {
    unsent_.append(text);
    reservedBytes_ -= std::min(reservedBytes_, text.size());
}

void PipelinedRequest::clearUnsent() {
    unsent_.clear();
    takenBytes_ = 0;
}

void PipelinedRequest::replaceResponse(std::string_view text) {
    BodySource* const source = takeSource();
    if (source) source->cancel();
    state_ = State::complete;
    // Assigning would keep the capacity of the longer text.
    unsent_ = std::string(text);
    takenBytes_ = 0;
    reservedBytes_ = 0;
}

BodySource* PipelinedRequest::takeSource() { return std::exchange(source_, nullptr); }

void PipelinedRequest::restoreSource(BodySource* source, bool isPaused) {
    source_ = source;
    isSourcePaused_ = isPaused;
}

void PipelinedRequest::resumeSource() {
    isSourcePaused_ = false;
    arrival_.restart(transport::EventLoop::now());
    source_->resume();
}

void PipelinedRequest::expireSource() {
    BodySource* const source = takeSource();
    if (source) source->expire();
}

void PipelinedRequest::cancelSource() {
    if (source_) source_->cancel();
}

void PipelinedRequest::complete(FinalResponse response) {
    pending_ = nullptr;
    owner_.onCompleted(*this, std::move(response));
}

bool PipelinedRequest::isClientConnected() {
    if (owner_.isClientConnected()) return true;
    pending_ = nullptr;
    return false;
}

BodySink& PipelinedRequest::beginStream(std::size_t length, BodySource& source) {
    pending_ = nullptr;
    source_ = &source;
    streamedBytesLeft_ = length;
    state_ = State::streaming;
    arrival_.restart(transport::EventLoop::now());
    owner_.onStreamBegins(*this, length);
    return *this;
}

FlowControl PipelinedRequest::onChunk(std::string_view bytes) {
    arrival_.onBytes(bytes.size(), transport::EventLoop::now());
    return owner_.onStreamChunk(*this, bytes);
}

void PipelinedRequest::onAborted() {
    source_ = nullptr;
    owner_.onStreamAborted(*this);
}

}  // namespace poppyscale::proxy
