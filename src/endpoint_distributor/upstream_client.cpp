#include "endpoint_distributor/upstream_client.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "protocol/endpoint_list.hpp"

namespace poppyscale::endpoint_distributor {
namespace {

using endpoint_distribution::UpstreamFailure;

constexpr Nanos kMaxConnectTimeout = 1'000 * kMillisecond;
// Divided among the upstreams, so that all can be tried within the 5 s in which a change has to be
// sent.
constexpr Nanos kTotalConnectTimeout = 3'000 * kMillisecond;

std::string targetOf(std::optional<endpoint_distribution::Version> after, Nanos wait) {
    if (!after) return "/api/targets";
    return fmt::format("/api/targets?after={}&wait_ms={}", *after, wait / kMillisecond);
}

}  // namespace

UpstreamClient::UpstreamClient(transport::EventLoop& loop, transport::BufferPool& pool,
                               endpoint_distribution::Distributor& distributor,
                               std::vector<Upstream> upstreams, std::size_t maxListBytes)
    : loop_(loop),
      pool_(pool),
      distributor_(distributor),
      upstreams_(std::move(upstreams)),
      response_(maxListBytes),
      connectTimeout_(
          loop, [this] { fail(UpstreamFailure::unreachable, "can't connect or send the request in time"); }) {
}

void UpstreamClient::poll(std::size_t index, std::optional<endpoint_distribution::Version> after,
                          Nanos wait) {
    const bool canReuse = connection_ && index == index_ && state_ == State::idle;
    if (!canReuse) connection_.reset();
    index_ = index;
    target_ = targetOf(after, wait);
    response_.clear();
    if (canReuse)
        sendRequest();
    else
        connect();
}

void UpstreamClient::stop() {
    state_ = State::idle;
    connectTimeout_.stop();
    connection_.reset();
}

void UpstreamClient::connect() {
    state_ = State::connecting;
    const auto share = kTotalConnectTimeout / static_cast<Nanos>(upstreams_.size());
    connectTimeout_.start(transport::EventLoop::now() + std::min(kMaxConnectTimeout, share));
    transport::Connection::Handler& self = *this;
    connection_ = std::make_unique<transport::Connection>(loop_, pool_, self);
    // The timer reports an immediate failure, because poll() must not report a result itself.
    const bool isConnecting = connection_->connect(upstreams_[index_].address);
    if (!isConnecting) connectTimeout_.start(transport::EventLoop::now());
}

void UpstreamClient::onConnected(bool isConnected) {
    connectTimeout_.stop();
    if (!isConnected) return fail(UpstreamFailure::unreachable, "connection attempt failed");
    connection_->setReading(true);
    sendRequest();
}

void UpstreamClient::sendRequest() {
    state_ = State::waiting;
    const std::string request =
        fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", target_, upstreams_[index_].name);
    const bool isWritten = connection_->write(request);
    if (!isWritten) connectTimeout_.start(transport::EventLoop::now());
}

void UpstreamClient::onData(std::string_view bytes) {
    if (state_ != State::waiting) return connection_.reset();
    const auto state = response_.feed(bytes);
    if (state == protocol::HttpResponse::State::complete) return handleResponse();
    if (state == protocol::HttpResponse::State::malformed)
        fail(UpstreamFailure::malformed,
             "response is not valid HTTP, or its body is longer than max_list_kib");
}

void UpstreamClient::onClosed() {
    if (state_ != State::waiting) return connection_.reset();
    const bool isComplete =
        connection_->hasPeerFinished() && response_.end() == protocol::HttpResponse::State::complete;
    if (isComplete) return handleResponse();
    fail(UpstreamFailure::unreachable, "connection closed before the response was complete");
}

void UpstreamClient::handleResponse() {
    state_ = State::idle;
    if (!response_.isKeepAlive()) connection_.reset();
    if (response_.status() != 200)
        return fail(UpstreamFailure::unreachable,
                    fmt::format("expected HTTP status 200, got {}", response_.status()));
    const Nanos now = transport::EventLoop::now();
    try {
        auto update = endpoint_distribution::readListUpdate(response_.body());
        distributor_.onUpstreamResponse(now, std::move(update), response_.listAgeMs() * kMillisecond);
    } catch (const protocol::ParseError& problem) {
        fail(UpstreamFailure::malformed, problem.what());
    }
}

void UpstreamClient::fail(UpstreamFailure failure, const std::string& reason) {
    stop();
    distributor_.onUpstreamFailed(transport::EventLoop::now(), failure, reason);
}

}  // namespace poppyscale::endpoint_distributor
