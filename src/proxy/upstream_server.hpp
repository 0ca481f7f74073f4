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

// Guarantees that an attempt is written only while the server is listed as ready, is not ejected, and the
// attempt's time has not passed; each attempt that was sent ends with exactly one call of
// `AttemptHandler::onAttemptEnded`. Opens as many connections as attempts wait for one, within the pool's
// limits. Owns its connections; the attempts belong to their requests.
class UpstreamServer : private UpstreamConnection::Owner {
  public:
    UpstreamServer(ConnectionPool& pool, bool isOrigin);
    ~UpstreamServer() override;
    UpstreamServer(const UpstreamServer&) = delete;
    UpstreamServer& operator=(const UpstreamServer&) = delete;

    // What the endpoint list says of it. `address` is none where `host`, its text, is no address. Idle
    // connections to an earlier address are closed; attempts that wait end as not sent unless it is usable.
    void updateEndpoint(EndpointState state, const std::optional<transport::Address>& address,
                        const std::string& host);
    // While ejected it gets no attempts, whatever it is listed as.
    void setEjected(bool ejected);
    bool isOrigin() const { return isOrigin_; }
    bool isUsable() const override { return state_ == EndpointState::ready && !isEjected_; }
    bool isDraining() const { return state_ == EndpointState::draining; }
    // Removed from the list, without connections and attempts: it may be destroyed.
    bool isUnused() const {
        return state_ == EndpointState::removed && connections_.empty() && waiting_.empty();
    }

    // Writes the attempt's request on an idle connection, or lets it wait for one.
    void send(Attempt& attempt);
    // Ends the attempt because its time has passed.
    void abandon(Attempt& attempt);
    // Ends the attempt as not sent unless its request was written: no client waits for the response.
    void withdraw(Attempt& attempt);
    // Attempts that it was given since it was first listed.
    std::uint64_t attemptCount() const { return attemptCount_; }

    // For the pool.
    bool hasWaitingAttempts() const { return !waiting_.empty(); }
    void serveWaiting();
    // Since when its longest idle connection has been idle; 0 without an idle connection.
    Nanos oldestIdleSince() const;
    // Only with an idle connection.
    void closeLongestIdle();

  private:
    const std::optional<transport::Address>& address() const override { return address_; }
    const std::string& host() const override { return host_; }
    void onActivity() override { lastActivity_ = transport::EventLoop::now(); }
    Attempt* takeNextWaiting() override;
    void remove(UpstreamConnection& connection) override;

    // Why an attempt that has waited for a connection may not be written now; none if it may.
    std::optional<BlockedAction> blockedBy(Attempt& attempt) const;
    void endAttempt(Attempt& attempt, AttemptOutcome outcome);
    void startOn(UpstreamConnection& connection, Attempt& attempt);
    void openConnections();
    void closeStale();
    void closeSurplus();
    std::size_t connectingCount() const;
    UpstreamConnection* mostRecentlyUsedIdle();

    ConnectionPool& pool_;
    const bool isOrigin_;
    EndpointState state_ = EndpointState::removed;
    bool isEjected_ = false;
    std::optional<transport::Address> address_;
    std::string host_;
    Nanos lastActivity_ = 0;  // when a byte last came from there, or a connection was established
    std::vector<std::unique_ptr<UpstreamConnection>> connections_;  // the newest last
    std::deque<Attempt*> waiting_;                                  // the oldest first
    std::uint64_t attemptCount_ = 0;
};

}  // namespace poppyscale::proxy
