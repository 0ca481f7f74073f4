#include "discovery/endpoint_poll.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "discovery/poll_pacing.hpp"

namespace poppyscale::discovery {

ListCall::ListCall(transport::Loop& loop, transport::Pool& pool, Owner& owner, DiscoveryAddress source,
                   std::size_t longestList)
    : loop_(loop),
      pool_(pool),
      owner_(owner),
      source_(std::move(source)),
      answer_(longestList),
      limit_(loop, [this] { owner_.failed(*this, whyLate()); }) {}

std::string_view ListCall::whyLate() const {
    if (phase_ == Phase::connecting) return "can't connect in time";
    if (phase_ == Phase::waiting) return "no answer in time";
    return "the answer was not whole in time";
}

bool ListCall::begin(const Request& request) {
    request_ = request;
    begunAt_ = transport::Loop::now();
    bytes_ = 0;
    answer_.clear();
    limit_.set(begunAt_ + request_.wait + kLongestSilence);
    if (connection_) return write();
    phase_ = Phase::connecting;
    transport::Connection::Owner& self = *this;
    connection_ = std::make_unique<transport::Connection>(loop_, pool_, self);
    return connection_->open(source_.address);
}

bool ListCall::write() {
    phase_ = Phase::waiting;
    owner_.written();
    std::string query;
    if (request_.after)
        query = fmt::format("?after={}&wait_ms={}", *request_.after, request_.wait / kMillisecond);
    return connection_->write(
        fmt::format("GET /api/targets{} HTTP/1.1\r\nHost: {}\r\n\r\n", query, source_.host));
}

void ListCall::opened(bool up) {
    if (!up) return owner_.failed(*this, "can't connect");
    connection_->read(true);
    if (!write()) owner_.failed(*this, "the connection broke");
}

void ListCall::received(std::string_view bytes) {
    phase_ = Phase::reading;
    bytes_ += bytes.size();
    extend();
    const auto state = answer_.feed(bytes);
    if (state == protocol::HttpAnswer::State::whole) return owner_.answered(*this);
    if (state == protocol::HttpAnswer::State::broken) owner_.failed(*this, "an answer that is not HTTP");
}

// What has come is worth keeping: each byte moves the limit on, up to a bound.
void ListCall::extend() {
    const Nanos longest = begunAt_ + request_.wait + kLongestAnswer;
    limit_.set(std::min(transport::Loop::now() + kLongestStall, longest));
}

void ListCall::ended() {
    const bool whole = connection_->finished() && answer_.end() == protocol::HttpAnswer::State::whole;
    if (!whole) return owner_.failed(*this, "the connection ended");
    connection_.reset();
    owner_.answered(*this);
}

std::string ListCall::progress() const {
    static constexpr std::array<std::string_view, 3> kPhases{"connecting", "waiting", "reading"};
    return fmt::format("call to {} began {} ms ago, {}, {} bytes", source_.host,
                       (transport::Loop::now() - begunAt_) / kMillisecond,
                       kPhases[static_cast<std::size_t>(phase_)], bytes_);
}

}  // namespace poppyscale::discovery
