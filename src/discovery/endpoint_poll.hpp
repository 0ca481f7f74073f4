// One connection to a source of the server list, and the call that is out on it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "policy/routing_policy.hpp"
#include "protocol/http_response.hpp"
#include "transport/connection.hpp"

namespace poppyscale::discovery {

// A source of the list: discovery itself, or a distributor that speaks its protocol.
struct DiscoveryAddress {
    transport::Address address;
    std::string host;  // as the request's Host names it
};

class EndpointPoll : private transport::Connection::Handler {
  public:
    class Handler {
      public:
        virtual ~Handler() = default;
        // A whole answer has come; its call may be followed by another one on the same connection.
        virtual void onResponse(EndpointPoll& call) = 0;
        // The call is of no further use, and is to be destroyed.
        virtual void onFailed(EndpointPoll& call, std::string_view why) = 0;
        // About to be written, the connection being up.
        virtual void onRequestSent() = 0;
    };

    // What is asked for.
    struct Request {
        std::optional<std::int64_t> after;  // what is newer than this version; none: the whole list
        Nanos wait = 0;                     // how long the source may wait for something newer
        std::int64_t known = 0;             // the version that was known when the call was begun
    };

    enum class Phase : std::uint8_t { connecting, waiting, reading };

    EndpointPoll(transport::EventLoop& loop, transport::BufferPool& pool, Handler& owner,
                 DiscoveryAddress source, std::size_t longestList);

    // False when there is no connection to be had; the call is to be destroyed then.
    bool start(const Request& request);

    const Request& request() const { return request_; }
    const DiscoveryAddress& source() const { return source_; }
    // The answer, after `answered`.
    int status() const { return response_.status(); }
    std::string_view body() { return response_.body(); }
    bool canPollAgain() const { return connection_ && response_.isKeepAlive(); }
    Nanos startedAt() const { return startedAt_; }
    // Since it began, but for what it may have waited for a change.
    Nanos durationBesideWait() const { return transport::EventLoop::now() - startedAt_ - request_.wait; }
    // What a call that is late has not done.
    std::string_view lateReason() const;
    // For the log: how long ago it began, in which phase it is, what has come of its answer.
    std::string progress() const;

  private:
    void onConnected(bool up) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;

    bool write();
    void extend();

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    Handler& owner_;
    const DiscoveryAddress source_;
    Request request_;
    Phase phase_ = Phase::connecting;
    Nanos startedAt_ = 0;
    std::size_t bytes_ = 0;
    protocol::HttpResponse response_;
    transport::Timer timeout_;
    std::unique_ptr<transport::Connection> connection_;
};

}  // namespace poppyscale::discovery
