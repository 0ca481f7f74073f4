// One connection to a source of the endpoint list, and the poll in flight on it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.hpp"
#include "protocol/http_response.hpp"
#include "transport/connection.hpp"

namespace poppyscale::discovery {

// A source of the list: discovery, or a distributor that speaks its protocol.
struct DiscoveryAddress {
    transport::Address address;
    std::string host;  // for the Host header and the log
};

// Times out by itself: after `kMaxSilence` past its wait without a byte, later while bytes arrive. Its
// handler, loop and pool have to outlive it; the handler may destroy it in each callback.
class EndpointPoll : private transport::Connection::Handler {
  public:
    class Handler {
      public:
        virtual ~Handler() = default;
        // The complete response has arrived. `start` may follow on the same connection if `canPollAgain`.
        virtual void onResponse(EndpointPoll& poll) = 0;
        // The poll is of no further use and has to be destroyed.
        virtual void onFailed(EndpointPoll& poll, std::string_view reason) = 0;
        // The connection is up, and the request is about to be written.
        virtual void onRequestSent() = 0;
    };

    struct Request {
        std::optional<std::int64_t>
            after;               // asks for what is newer than this version; none: the complete list
        Nanos wait = 0;          // that the source may wait for something newer
        std::int64_t known = 0;  // the version that was known when the poll began
    };

    enum class Phase : std::uint8_t { connecting, waiting, reading };

    EndpointPoll(transport::EventLoop& loop, transport::BufferPool& pool, Handler& owner,
                 DiscoveryAddress source, std::size_t maxListBytes);

    // False when it can't connect or write; the poll has to be destroyed then.
    bool start(const Request& request);

    const Request& request() const { return request_; }
    const DiscoveryAddress& source() const { return source_; }
    // The response, after `onResponse`.
    int status() const { return response_.status(); }
    std::string_view body() { return response_.body(); }
    bool canPollAgain() const { return connection_ && response_.isKeepAlive(); }
    Nanos startedAt() const { return startedAt_; }
    // Since it began, without the time that it may have waited for a change.
    Nanos durationBesideWait() const { return transport::EventLoop::now() - startedAt_ - request_.wait; }
    // What a poll without a response in time is waiting for.
    std::string_view lateReason() const;
    // For the log: when it began, its phase, and how many bytes of the response have arrived.
    std::string progress() const;

  private:
    void onConnected(bool up) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;

    bool write();
    // Moves the time-out on, as bytes have arrived.
    void extendTimeout();

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    Handler& handler_;
    const DiscoveryAddress source_;
    Request request_;
    Phase phase_ = Phase::connecting;
    Nanos startedAt_ = 0;
    std::size_t receivedBytes_ = 0;
    protocol::HttpResponse response_;
    transport::Timer timeout_;
    std::unique_ptr<transport::Connection> connection_;
};

}  // namespace poppyscale::discovery
