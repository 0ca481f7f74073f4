#include "endpoint_distributor/upstream_client.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "protocol/endpoint_list.hpp"

namespace poppyscale::endpoint_distributor {
namespace {

using endpoint_distribution::Distributor;

// All upstreams together must be tried within the time in which a change has to be told.
constexpr Nanos kConnectWithin = 1'000 * kMillisecond;
constexpr Nanos kConnectAllWithin = 3'000 * kMillisecond;

std::string targetOf(std::optional<endpoint_distribution::Version> after, Nanos wait) {
    if (!after) return "/api/targets";
    return fmt::format("/api/targets?after={}&wait_ms={}", *after, wait / kMillisecond);
}

}  // namespace

UpstreamClient::UpstreamClient(transport::EventLoop& loop, transport::BufferPool& pool,
                               Distributor& distributor, std::vector<Upstream> upstreams,
                               std::size_t maxListBytes)
    : loop_(loop),
      pool_(pool),
      distributor_(distributor),
      upstreams_(std::move(upstreams)),
      answer_(maxListBytes),
      connectBy_(loop, [this] { fail(Distributor::Failure::unreachable, "can't connect in time"); }) {}

void UpstreamClient::poll(std::size_t index, std::optional<endpoint_distribution::Version> after,
                          Nanos wait) {
    const bool canReuse = connection_ && index == index_ && state_ == State::idle;
    if (!canReuse) connection_.reset();
    index_ = index;
    target_ = targetOf(after, wait);
    answer_.clear();
    if (canReuse)
        write();
    else
        connect();
}

void UpstreamClient::stop() {
    state_ = State::idle;
    connectBy_.stop();
    connection_.reset();
}

void UpstreamClient::connect() {
    state_ = State::connecting;
    const auto share = kConnectAllWithin / static_cast<Nanos>(upstreams_.size());
    connectBy_.start(transport::EventLoop::now() + std::min(kConnectWithin, share));
    transport::Connection::Handler& self = *this;
    connection_ = std::make_unique<transport::Connection>(loop_, pool_, self);
    // One that fails at once is told as one that fails later: not within the call that asked for it.
    if (!connection_->connect(upstreams_[index_].address)) connectBy_.start(transport::EventLoop::now());
}

void UpstreamClient::onConnected(bool up) {
    connectBy_.stop();
    if (!up) return fail(Distributor::Failure::unreachable, "can't connect");
    connection_->setReading(true);
    write();
}

void UpstreamClient::write() {
    state_ = State::waiting;
    const std::string request =
        fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", target_, upstreams_[index_].name);
    if (!connection_->write(request)) connectBy_.start(transport::EventLoop::now());
}

void UpstreamClient::onData(std::string_view bytes) {
    if (state_ != State::waiting) return connection_.reset();
    const auto state = answer_.feed(bytes);
    if (state == protocol::HttpResponse::State::complete) return answered();
    if (state == protocol::HttpResponse::State::malformed)
        fail(Distributor::Failure::malformed, "an answer that is not HTTP, or is too long");
}

void UpstreamClient::onClosed() {
    if (state_ != State::waiting) return connection_.reset();
    const bool isWhole =
        connection_->hasPeerFinished() && answer_.end() == protocol::HttpResponse::State::complete;
    if (isWhole) return answered();
    fail(Distributor::Failure::unreachable, "the connection ended");
}

void UpstreamClient::answered() {
    state_ = State::idle;
    if (!answer_.isKeepAlive()) connection_.reset();
    if (answer_.status() != 200)
        return fail(Distributor::Failure::unreachable, fmt::format("answered {}", answer_.status()));
    const Nanos now = transport::EventLoop::now();
    try {
        auto update = endpoint_distribution::readListUpdate(answer_.body());
        distributor_.onUpstreamResponse(now, std::move(update), answer_.listAgeMs() * kMillisecond);
    } catch (const protocol::ParseError& problem) {
        fail(Distributor::Failure::malformed, problem.what());
    }
}

void UpstreamClient::fail(Distributor::Failure failure, const std::string& reason) {
    stop();
    distributor_.onUpstreamFailed(transport::EventLoop::now(), failure, reason);
}

}  // namespace poppyscale::endpoint_distributor
