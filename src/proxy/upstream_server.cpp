#include "proxy/upstream_server.hpp"

#include <algorithm>
#include <utility>

namespace poppyscale::proxy {
namespace {

AttemptEndReason endReasonOf(BlockedAction action) {
    switch (action) {
        case BlockedAction::clientDisconnected:
            return AttemptEndReason::clientDisconnected;
        case BlockedAction::deadlinePassed:
            return AttemptEndReason::deadlinePassed;
        default:
            return AttemptEndReason::serverUnavailable;
    }
}

struct TimedOut {
    AttemptOutcome outcome;
    AttemptEndReason reason;
};

// What the passing of the time limit of `phase` shows.
TimedOut timedOutIn(AttemptPhase phase, const UpstreamConnection& connection) {
    if (phase == AttemptPhase::forwardingResponse)
        return {AttemptOutcome::failed, AttemptEndReason::stalledResponse};
    // The router stopped reading, which says nothing about the server.
    if (connection.wasReadDelayed())
        return {AttemptOutcome::notExecuted, AttemptEndReason::incompleteResponse};
    if (!connection.isWritten()) return {AttemptOutcome::connectFailed, AttemptEndReason::requestTimeout};
    if (phase == AttemptPhase::receivingResponse)
        return {AttemptOutcome::timedOut, AttemptEndReason::incompleteResponse};
    return {AttemptOutcome::timedOut, AttemptEndReason::responseTimeout};
}

}  // namespace

UpstreamServer::UpstreamServer(ConnectionPool& pool, bool isOrigin) : pool_(pool), isOrigin_(isOrigin) {
    pool_.addServer(*this);
}

UpstreamServer::~UpstreamServer() {
    pool_.onConnectionsClosed(connections_.size());
    pool_.removeServer(*this);
}

void UpstreamServer::updateEndpoint(EndpointState state, const std::optional<transport::Address>& address,
                                    const std::string& host) {
    state_ = state;
    address_ = address;
    host_ = host;
    closeStale();
}

void UpstreamServer::setEjected(bool ejected) {
    isEjected_ = ejected;
    closeStale();
}

template <class Predicate>
void UpstreamServer::removeConnections(Predicate isRemoved) {
    std::vector<UpstreamConnection*> removed;
    for (auto& connection : connections_)
        if (isRemoved(*connection)) removed.push_back(connection.get());
    for (UpstreamConnection* connection : removed) remove(*connection);
}

void UpstreamServer::closeStale() {
    removeConnections(
        [](const UpstreamConnection& connection) { return !connection.isBusy() && connection.isStale(); });
    if (isUsable()) return;
    // Attempts that wait for a connection must not be sent to an unusable server.
    while (!waiting_.empty()) {
        Attempt& attempt = *takeNextWaiting();
        endAttempt(attempt, AttemptOutcome::notSent, AttemptEndReason::serverUnavailable);
    }
}

// Closes connections that are being established and that no attempt waits for, the newest first.
void UpstreamServer::closeSurplus() {
    for (auto left = connectingCount(); left > waiting_.size(); --left) {
        const auto newest = std::find_if(connections_.rbegin(), connections_.rend(),
                                         [](auto& connection) { return connection->isConnecting(); });
        remove(**newest);
    }
}

std::size_t UpstreamServer::connectingCount() const {
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](auto& connection) { return connection->isConnecting(); }));
}

void UpstreamServer::send(Attempt& attempt) {
    if (isEjected_) {
        pool_.guard().recordBlocked(BlockedAction::serverUnavailable);
        return endAttempt(attempt, AttemptOutcome::notSent, AttemptEndReason::serverUnavailable);
    }
    if (!address_)
        return endAttempt(attempt, AttemptOutcome::connectFailed, AttemptEndReason::serverUnavailable);
    attempt.startTimeout();
    waiting_.push_back(&attempt);
    ++attemptCount_;
    serveWaiting();
}

void UpstreamServer::serveWaiting() {
    while (!waiting_.empty()) {
        UpstreamConnection* const connection = mostRecentlyUsed();
        if (!connection) break;
        // Unread bytes or the end of the stream have arrived while the connection was idle: a request on
        // it would be lost.
        if (!connection->isInputEmpty()) {
            remove(*connection);
            continue;
        }
        Attempt& attempt = *takeNextWaiting();
        startOn(*connection, attempt);
    }
    openConnections();
}

void UpstreamServer::startOn(UpstreamConnection& connection, Attempt& attempt) {
    const auto reason = reasonToBlock(attempt);
    if (!reason) return connection.start(attempt);
    pool_.guard().recordBlocked(*reason);
    endAttempt(attempt, AttemptOutcome::notSent, endReasonOf(*reason));
}

// Opens connections until one is being established for each waiting attempt. The first connection that
// becomes reusable takes the next attempt.
void UpstreamServer::openConnections() {
    for (auto count = connectingCount(); count < waiting_.size() && address_; ++count) {
        if (!pool_.ensureCapacity()) return;
        auto& owner = static_cast<UpstreamConnection::Owner&>(*this);
        connections_.push_back(std::make_unique<UpstreamConnection>(owner, pool_, *address_, isOrigin_));
        pool_.onConnectionOpened();
        UpstreamConnection& connection = *connections_.back();
        const bool isConnecting = connection.open();
        if (!isConnecting) return connection.onConnectFailed();
    }
}

std::optional<BlockedAction> UpstreamServer::reasonToBlock(Attempt& attempt) const {
    const Nanos now = transport::EventLoop::now();
    if (!isUsable()) return BlockedAction::serverUnavailable;
    if (now >= attempt.latestStart() || attempt.deadline() - now < protocol::kMinForwardedTimeout)
        return BlockedAction::deadlinePassed;
    if (!pool_.handler().isAwaited(attempt)) return BlockedAction::clientDisconnected;
    return std::nullopt;
}

// Reusing the most recently used connection lets the others reach their idle timeout.
UpstreamConnection* UpstreamServer::mostRecentlyUsed() {
    UpstreamConnection* best = nullptr;
    for (auto& connection : connections_)
        if (connection->isReusable() && (!best || connection->idleSince() > best->idleSince()))
            best = connection.get();
    return best;
}

Nanos UpstreamServer::oldestIdleSince() const {
    Nanos since = 0;
    for (auto& connection : connections_)
        if (connection->isIdle() && (since == 0 || connection->idleSince() < since))
            since = connection->idleSince();
    return since;
}

void UpstreamServer::closeLongestIdle() {
    const auto oldest = std::min_element(connections_.begin(), connections_.end(), [](auto& a, auto& b) {
        return std::pair(!a->isIdle(), a->idleSince()) < std::pair(!b->isIdle(), b->idleSince());
    });
    std::swap(*oldest, connections_.back());
    connections_.pop_back();
    pool_.onConnectionsClosed(1);
}

Attempt* UpstreamServer::takeNextWaiting() {
    if (waiting_.empty()) return nullptr;
    Attempt* const attempt = waiting_.front();
    waiting_.pop_front();
    return attempt;
}

void UpstreamServer::onTimeLimit(Attempt& attempt) {
    UpstreamConnection* const connection = attempt.connection();
    if (!connection) {
        std::erase(waiting_, &attempt);
        return endAttempt(attempt,
                          connectingCount() > 0 ? AttemptOutcome::connectFailed : AttemptOutcome::notSent,
                          AttemptEndReason::connectionTimeout);
    }
    if (attempt.progress().isExpired(transport::EventLoop::now())) return endTimedOut(attempt);
    attempt.startTimeout();
}

// The connection is closed before the attempt's end is reported: a retry must not start while this attempt is
// in flight.
void UpstreamServer::endTimedOut(Attempt& attempt) {
    UpstreamConnection& connection = *attempt.connection();
    const TimedOut end = timedOutIn(attempt.progress().phase(), connection);
    connection.releaseAttempt();
    remove(connection);
    // If the server sent no byte while the attempt was in flight, its machine may be cut off, which leaves
    // its connections open although nothing arrives on them. The idle ones are closed then: the next attempt
    // on a new connection fails as not executed, while on an old one it would time out and might have
    // executed.
    if (lastActivity_ < attempt.sentAt())
        removeConnections([](const UpstreamConnection& candidate) { return candidate.isIdle(); });
    endAttempt(attempt, end.outcome, end.reason);
}

void UpstreamServer::withdraw(Attempt& attempt) {
    UpstreamConnection* const connection = attempt.connection();
    if (connection && connection->isWritten()) return;
    if (connection) {
        connection->releaseAttempt();
        remove(*connection);
    } else {
        std::erase(waiting_, &attempt);
        closeSurplus();
    }
    endAttempt(attempt, AttemptOutcome::notSent, AttemptEndReason::clientDisconnected);
}

void UpstreamServer::endAttempt(Attempt& attempt, AttemptOutcome outcome, AttemptEndReason reason) {
    attempt.setEndReason(reason);
    pool_.handler().onAttemptEnded(attempt, {outcome, {}});
}

// Destroys the connection on return, when it is no longer in `connections_` or counted by the pool.
void UpstreamServer::remove(UpstreamConnection& connection) {
    const auto it = std::find_if(connections_.begin(), connections_.end(),
                                 [&](auto& candidate) { return candidate.get() == &connection; });
    const auto removed = std::move(*it);
    connections_.erase(it);
    pool_.onConnectionsClosed(1);
    pool_.notifyCapacityFreed();
}

}  // namespace poppyscale::proxy
