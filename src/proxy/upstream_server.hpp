// One cache server or the origin: its connections, and the attempts that wait for one.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "policy/types.hpp"
#include "proxy/attempt.hpp"
#include "proxy/connection_pool.hpp"
#include "proxy/invariant_guard.hpp"
#include "proxy/upstream_connection.hpp"
#include "transport/connection.hpp"

namespace poppyscale::proxy {

// Guarantees that an attempt is written only while the server is listed as ready and is not ejected, and
// before the attempt's deadline and latest start; each attempt passed to `send` ends with exactly one call of
// `AttemptHandler::onAttemptEnded`. Opens one connection for each attempt that waits, within the pool's
// limits. Owns its connections; the attempts belong to their requests.
class UpstreamServer : private UpstreamConnection::Owner {
  public:
    UpstreamServer(ConnectionPool& pool, bool isOrigin);
    ~UpstreamServer() override;
    UpstreamServer(const UpstreamServer&) = delete;
    UpstreamServer& operator=(const UpstreamServer&) = delete;

    // Applies the server's entry of the endpoint list. `host` is the address as text; `address` is none
    // if that text is not a valid address. Closes connections without an attempt that lead to an earlier
    // address. If the server is not usable, closes all connections without an attempt, and waiting
    // attempts end as not sent.
    void updateEndpoint(EndpointState state, const std::optional<transport::Address>& address,
                        const std::string& host);
    // An ejected server gets no attempts, whatever its state in the endpoint list is.
    void setEjected(bool ejected);
    bool isOrigin() const { return isOrigin_; }
    const std::string& host() const override { return host_; }
    bool isUsable() const override { return state_ == EndpointState::ready && !isEjected_; }
    bool isDraining() const { return state_ == EndpointState::draining; }
    // Whether the server may be destroyed: removed from the list, without connections and attempts.
    bool isUnused() const {
        return state_ == EndpointState::removed && connections_.empty() && waiting_.empty();
    }

    // Writes the attempt's request on a reusable connection, or queues the attempt until there is one.
    void send(Attempt& attempt);
    // A time limit of the attempt has passed: ends it, unless another limit has replaced that one.
    void onTimeLimit(Attempt& attempt);
    // Ends an attempt that is in flight, as if its time limit had passed.
    void endTimedOut(Attempt& attempt);
    // No client waits for the response: ends the attempt as not sent unless its request was written.
    void withdraw(Attempt& attempt);
    // Attempts queued or written since the server was first listed.
    std::uint64_t attemptCount() const { return attemptCount_; }

    // Called by the pool.
    bool hasWaitingAttempts() const { return !waiting_.empty(); }
    void serveWaiting();
    // When the connection that has been idle longest became idle; 0 without an idle connection.
    Nanos oldestIdleSince() const;
    // Requires an idle connection.
    void closeLongestIdle();

  private:
    const std::optional<transport::Address>& address() const override { return address_; }
    void onActivity() override { lastActivity_ = transport::EventLoop::now(); }
    Attempt* takeNextWaiting() override;
    void remove(UpstreamConnection& connection) override;

    // Why the request of a waiting attempt must not be written now; none if it may be.
    std::optional<BlockedAction> reasonToBlock(Attempt& attempt) const;
    void endAttempt(Attempt& attempt, AttemptOutcome outcome, AttemptEndReason reason);
    void startOn(UpstreamConnection& connection, Attempt& attempt);
    void openConnections();
    void closeStale();
    void closeSurplus();
    std::size_t connectingCount() const;
    UpstreamConnection* mostRecentlyUsed();
    template <class Predicate>
    void removeConnections(Predicate isRemoved);

    ConnectionPool& pool_;
    const bool isOrigin_;
    EndpointState state_ = EndpointState::removed;
    bool isEjected_ = false;
    std::optional<transport::Address> address_;
    std::string host_;
    Nanos lastActivity_ = 0;  // when the server last sent bytes or a connection to it was established
    std::vector<std::unique_ptr<UpstreamConnection>> connections_;  // the newest last
    std::deque<Attempt*> waiting_;                                  // the oldest first
    std::uint64_t attemptCount_ = 0;
};

}  // namespace poppyscale::proxy
