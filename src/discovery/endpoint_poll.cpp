#include "discovery/endpoint_poll.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "discovery/poll_pacing.hpp"

namespace poppyscale::discovery {

EndpointPoll::EndpointPoll(transport::EventLoop& loop, transport::BufferPool& pool, Handler& handler,
                           EndpointSource source, std::size_t maxListBytes)
    : loop_(loop),
      pool_(pool),
      handler_(handler),
      source_(std::move(source)),
      response_(maxListBytes),
      timeout_(loop, [this] { handler_.onFailed(*this, overdueReason()); }) {}

std::string_view EndpointPoll::overdueReason() const {
    if (phase_ == Phase::connecting) return "connection not established in time";
    if (phase_ == Phase::waiting) return "no response in time";
    return "response not complete in time";
}

bool EndpointPoll::start(const Request& request) {
    request_ = request;
    startedAt_ = transport::EventLoop::now();
    receivedBytes_ = 0;
    response_.clear();
    timeout_.start(startedAt_ + request_.wait + kMaxSilence);
    if (connection_) return write();
    phase_ = Phase::connecting;
    transport::Connection::Handler& self = *this;
    connection_ = std::make_unique<transport::Connection>(loop_, pool_, self);
    return connection_->connect(source_.address);
}

bool EndpointPoll::write() {
    phase_ = Phase::waiting;
    handler_.onRequestSent();
    std::string query;
    if (request_.after)
        query = fmt::format("?after={}&wait_ms={}", *request_.after, request_.wait / kMillisecond);
    return connection_->write(
        fmt::format("GET /api/targets{} HTTP/1.1\r\nHost: {}\r\n\r\n", query, source_.host));
}

void EndpointPoll::onConnected(bool isConnected) {
    if (!isConnected) return handler_.onFailed(*this, "can't connect");
    connection_->setReading(true);
    const bool isWritten = write();
    if (!isWritten) handler_.onFailed(*this, "can't write the request");
}

void EndpointPoll::onData(std::string_view bytes) {
    phase_ = Phase::reading;
    receivedBytes_ += bytes.size();
    extendTimeout();
    const auto state = response_.feed(bytes);
    if (state == protocol::HttpResponse::State::complete) return handler_.onResponse(*this);
    if (state == protocol::HttpResponse::State::malformed)
        handler_.onFailed(*this, "response is not valid HTTP or longer than the limit");
}

void EndpointPoll::extendTimeout() {
    const Nanos latest = startedAt_ + request_.wait + kMaxResponseDuration;
    timeout_.start(std::min(transport::EventLoop::now() + kMaxStall, latest));
}

void EndpointPoll::onClosed() {
    bool isComplete = false;
    if (connection_->hasPeerFinished())
        isComplete = response_.end() == protocol::HttpResponse::State::complete;
    if (!isComplete) return handler_.onFailed(*this, "connection closed before the response was complete");
    connection_.reset();
    handler_.onResponse(*this);
}

std::string EndpointPoll::progress() const {
    static constexpr std::array<std::string_view, 3> kPhases{"connecting", "waiting", "reading"};
    return fmt::format("poll of {} began {} ms ago, phase {}, {} bytes received", source_.host,
                       (transport::EventLoop::now() - startedAt_) / kMillisecond,
                       kPhases[static_cast<std::size_t>(phase_)], receivedBytes_);
}

}  // namespace poppyscale::discovery
