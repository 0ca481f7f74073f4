// The limits that all upstream connections of a router share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "base/time.hpp"
#include "proxy/attempt_handler.hpp"
#include "proxy/invariant_guard.hpp"
#include "proxy/response_budget.hpp"
#include "transport/buffer_pool.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::proxy {

class UpstreamConnection;
class UpstreamServer;

// Counts the connections of all upstream servers. At the connection limit, closes the connection that has
// been idle longest to make room for a new one. While memory for responses is short, lets connections read
// the rest of theirs in turn. Owns no connection: each belongs to its server, which is registered here
// during its lifetime. The pool outlives all servers.
class ConnectionPool {
  public:
    struct Limits {
        std::size_t maxConnections = 0;
        Nanos idleTimeout = 0;     // an idle connection is closed after this time
        Nanos connectTimeout = 0;  // a connection must be established within this time
    };

    ConnectionPool(transport::EventLoop& loop, transport::BufferPool& buffers, AttemptHandler& handler,
                   InvariantGuard& guard, ResponseBudget& responses, const Limits& limits)
        : loop_(loop),
          buffers_(buffers),
          handler_(handler),
          guard_(guard),
          responses_(responses),
          limits_(limits) {}
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    transport::EventLoop& loop() const { return loop_; }
    transport::BufferPool& buffers() const { return buffers_; }
    AttemptHandler& handler() const { return handler_; }
    InvariantGuard& guard() const { return guard_; }
    ResponseBudget& responses() const { return responses_; }

    // A new timeout applies to connections that become idle, or are opened, after the call.
    void setIdleTimeout(Nanos timeout) { limits_.idleTimeout = timeout; }
    void setConnectTimeout(Nanos timeout) { limits_.connectTimeout = timeout; }
    Nanos idleTimeout() const { return limits_.idleTimeout; }
    Nanos connectTimeout() const { return limits_.connectTimeout; }
    // Closes idle connections beyond the new limit.
    void setCapacity(std::size_t maxConnections);

    std::size_t connectionCount() const { return connectionCount_; }
    // Connections opened since the start of the process.
    std::uint64_t connectionsOpened() const { return connectionsOpened_; }

    void addServer(UpstreamServer& server) { servers_.push_back(&server); }
    void removeServer(UpstreamServer& server) { std::erase(servers_, &server); }

    // Whether one more connection may be opened. At the limit, closes the one that has been idle longest.
    bool ensureCapacity();
    void onConnectionOpened();
    void onConnectionsClosed(std::size_t count) { connectionCount_ -= count; }

    // A connection has become idle, or one more may be opened. Waiting attempts start in the next iteration
    // rather than at once, because only by then have further bytes, or the end of the connection, been read.
    void notifyCapacityFreed() { hasFreedCapacity_ = true; }
    bool hasFreedCapacity() const { return hasFreedCapacity_; }
    // Starts waiting attempts as far as there is capacity.
    void serveWaiting();

    // `connection` has stopped reading for want of memory.
    void awaitRead(UpstreamConnection& connection) { awaitingRead_.push_back(&connection); }
    void cancelRead(UpstreamConnection& connection) { std::erase(awaitingRead_, &connection); }
    // Lets connections read again for which there is memory now, the longest wait first.
    void admitReaders();

  private:
    bool closeLongestIdle();

    transport::EventLoop& loop_;
    transport::BufferPool& buffers_;
    AttemptHandler& handler_;
    InvariantGuard& guard_;
    ResponseBudget& responses_;
    Limits limits_;
    std::vector<UpstreamServer*> servers_;
    std::deque<UpstreamConnection*> awaitingRead_;
    std::size_t connectionCount_ = 0;
    std::uint64_t connectionsOpened_ = 0;
    bool hasFreedCapacity_ = false;
};

}  // namespace poppyscale::proxy
