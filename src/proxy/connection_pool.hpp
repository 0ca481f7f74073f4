// The connections to one cache or to the origin, and the relays that are out on them.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy/routing_policy.hpp"
#include "protocol/request.hpp"
#include "proxy/body_stream.hpp"
#include "proxy/invariant_guard.hpp"
#include "transport/connection.hpp"

namespace poppyscale::proxy {

class UpstreamConnection;
class UpstreamServer;
struct Attempt;

class AttemptHandler {
  public:
    virtual ~AttemptHandler() = default;
    // It answers with a value that comes in pieces; null when nobody waits for it any more.
    virtual BodySink* onStreamBegins(Attempt& attempt, std::size_t length, BodySource& from) = 0;
    // Somebody still waits for what a relay brings; asked before its command is written.
    virtual bool isAwaited(Attempt& attempt) = 0;
    // The relay is gone after this.
    virtual void onAttemptEnded(Attempt& attempt, protocol::AttemptResponse outcome) = 0;
};

struct Attempt {
    Attempt(transport::EventLoop& loop, const protocol::Request& said, UpstreamServer& to);
    RequestId request = 0;
    const protocol::Request& message;
    UpstreamServer& server;
    int number = 0;
    Nanos sentAt = 0;
    Nanos deadline = 0;
    Nanos latestStart = kNever;                // not written after it
    Nanos firstByteAt = 0;                     // where the value comes in pieces: when the first one did
    RequestBody* body = nullptr;               // what it writes, where that comes in pieces
    UpstreamConnection* connection = nullptr;  // null while it waits for a connection
    transport::Timer timeout;
};

// What all upstreams of a router share: the loop, and how many connections there may be.
struct ConnectionPool {
    transport::EventLoop& loop;
    transport::BufferPool& pool;
    AttemptHandler& handler;
    InvariantGuard& guard;
    std::size_t maxConnections = 0;
    Nanos idleTimeout = 0;
    Nanos connectTimeout = 0;
    std::vector<UpstreamServer*> servers;
    std::size_t maxBufferedBytes = 0;  // bytes of answers that are not whole yet
    std::size_t bufferedBytes = 0;
    std::size_t connectionCount = 0;
    std::uint64_t connectionsOpened = 0;  // since the start
    // A connection is free or there is room for one. Relays that wait for that go with the next turn and not
    // at once: what else came on a connection, or that it has ended, is only read by then.
    bool hasCapacityFreed = false;

    bool ensureCapacity();  // closes the connection that has idled longest, if it must
    void trim();            // the same while there are more than may be
    void serveWaiting();    // to the relays that wait

  private:
    bool closeLongestIdle();
};

class UpstreamServer {
  public:
    UpstreamServer(ConnectionPool& links, bool origin);
    ~UpstreamServer();
    UpstreamServer(const UpstreamServer&) = delete;
    UpstreamServer& operator=(const UpstreamServer&) = delete;

    void updateEndpoint(EndpointState presence, const std::optional<transport::Address>& address,
                        const std::string& host);
    // Nothing goes there, whatever it is listed as, until this is undone.
    void setEjected(bool on);
    void send(Attempt& attempt);
    void abandon(Attempt& attempt);
    // Nobody waits for it any more: it ends as never sent, unless it was written.
    void withdraw(Attempt& attempt);
    bool isOrigin() const { return origin_; }
    bool isUsable() const { return state_ == EndpointState::ready && !isEjected_; }
    bool isDraining() const { return state_ == EndpointState::draining; }
    std::uint64_t attemptCount() const {
        return attemptCount_;
    }  // that it was given since it was first listed
    bool isUnused() const {
        return state_ == EndpointState::removed && connections_.empty() && waiting_.empty();
    }

  private:
    friend class UpstreamConnection;
    friend struct ConnectionPool;
    friend struct Attempt;

    // Why a relay that has waited for a connection may not be written on it now; none if it may.
    std::optional<BlockedAction> blockedBy(Attempt& attempt) const;
    void closeIdle();
    void serveWaiting();
    void closeSurplus();
    std::size_t connectingCount() const;
    void remove(UpstreamConnection& link);  // which is gone after this
    Attempt* nextWaiting();
    UpstreamConnection* idleConnection();
    Nanos maxIdleTime() const;

    ConnectionPool& pool_;
    bool origin_;
    EndpointState state_ = EndpointState::removed;
    bool isEjected_ = false;
    std::optional<transport::Address> address_;
    std::string host_;
    Nanos lastActivity_ = 0;  // when a byte last came from there, or a connection came up
    std::vector<std::unique_ptr<UpstreamConnection>> connections_;
    std::deque<Attempt*> waiting_;
    std::uint64_t attemptCount_ = 0;
};

}  // namespace poppyscale::proxy
