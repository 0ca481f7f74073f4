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

class ListCall : private transport::Connection::Owner {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        // A whole answer has come; its call may be followed by another one on the same connection.
        virtual void answered(ListCall& call) = 0;
        // The call is of no further use, and is to be destroyed.
        virtual void failed(ListCall& call, std::string_view why) = 0;
        // About to be written, the connection being up.
        virtual void written() = 0;
    };

    // What is asked for.
    struct Request {
        std::optional<std::int64_t> after;  // what is newer than this version; none: the whole list
        Nanos wait = 0;                     // how long the source may wait for something newer
        std::int64_t known = 0;             // the version that was known when the call was begun
    };

    enum class Phase : std::uint8_t { connecting, waiting, reading };

    ListCall(transport::Loop& loop, transport::Pool& pool, Owner& owner, DiscoveryAddress source,
             std::size_t longestList);

    // False when there is no connection to be had; the call is to be destroyed then.
    bool begin(const Request& request);

    const Request& request() const { return request_; }
    const DiscoveryAddress& source() const { return source_; }
    // The answer, after `answered`.
    int status() const { return answer_.status(); }
    std::string_view body() { return answer_.body(); }
    bool mayCallAgain() const { return connection_ && answer_.keepsOpen(); }
    Nanos begunAt() const { return begunAt_; }
    // Since it began, but for what it may have waited for a change.
    Nanos tookBesideWait() const { return transport::Loop::now() - begunAt_ - request_.wait; }
    // What a call that is late has not done.
    std::string_view whyLate() const;
    // For the log: how long ago it began, in which phase it is, what has come of its answer.
    std::string progress() const;

  private:
    void opened(bool up) override;
    void received(std::string_view bytes) override;
    void ended() override;

    bool write();
    void extend();

    transport::Loop& loop_;
    transport::Pool& pool_;
    Owner& owner_;
    const DiscoveryAddress source_;
    Request request_;
    Phase phase_ = Phase::connecting;
    Nanos begunAt_ = 0;
    std::size_t bytes_ = 0;
    protocol::HttpAnswer answer_;
    transport::Alarm limit_;
    std::unique_ptr<transport::Connection> connection_;
};

}  // namespace poppyscale::discovery
