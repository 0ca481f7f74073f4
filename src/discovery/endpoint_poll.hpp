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

// A source of the endpoint list: discovery, or a distributor that speaks its protocol.
struct EndpointSource {
    transport::Address address;
    std::string host;  // name of the source in the Host header and in log lines
};

// A poll times out when no byte of the response has arrived `kMaxSilence` after the end of its wait
// at the source. Once the response has begun, the poll times out `kMaxStall` after the last byte
// that arrived, and `kMaxResponseDuration` after the end of the wait at the latest. Handler, loop
// and pool have to outlive the poll; the handler may destroy the poll in any callback.
class EndpointPoll : private transport::Connection::Handler {
  public:
    class Handler {
      public:
        virtual ~Handler() = default;
        // The complete response has arrived. If `canPollAgain`, `start` polls on the same
        // connection again.
        virtual void onResponse(EndpointPoll& poll) = 0;
        // The poll can't be used any more and has to be destroyed.
        virtual void onFailed(EndpointPoll& poll, std::string_view reason) = 0;
        // The connection is established, and the request is about to be written.
        virtual void onRequestSent() = 0;
    };

    struct Request {
        // Requests the changes since this version; none: the complete list.
        std::optional<std::int64_t> after;
        Nanos wait = 0;          // how long the source may wait for a change before it responds
        std::int64_t known = 0;  // the version that was known when the poll began
    };

    enum class Phase : std::uint8_t { connecting, waiting, reading };

    EndpointPoll(transport::EventLoop& loop, transport::BufferPool& pool, Handler& handler,
                 EndpointSource source, std::size_t maxListBytes);

    // Returns false if connecting or writing fails at once; the poll has to be destroyed then.
    bool start(const Request& request);

    const Request& request() const { return request_; }
    const EndpointSource& source() const { return source_; }
    // Status and body of the response; valid from `onResponse` on.
    int status() const { return response_.status(); }
    std::string_view body() { return response_.body(); }
    bool canPollAgain() const { return connection_ && response_.isKeepAlive(); }
    Nanos startedAt() const { return startedAt_; }
    // Time since the poll began, minus the wait that it allowed the source.
    Nanos durationWithoutWait() const { return transport::EventLoop::now() - startedAt_ - request_.wait; }
    // The failure to report when the response is overdue, by the phase that the poll is in.
    std::string_view overdueReason() const;
    // For the log: source, time since the poll began, phase, and received bytes of the response.
    std::string progress() const;

  private:
    void onConnected(bool isConnected) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;

    bool write();
    // Called when bytes of the response have arrived.
    void extendTimeout();

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    Handler& handler_;
    const EndpointSource source_;
    Request request_;
    Phase phase_ = Phase::connecting;
    Nanos startedAt_ = 0;
    std::size_t receivedBytes_ = 0;
    protocol::HttpResponse response_;
    transport::Timer timeout_;
    std::unique_ptr<transport::Connection> connection_;
};

}  // namespace poppyscale::discovery
