#include "proxy/client_listener.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace poppyscale::proxy {
namespace {

// A connection may idle for `kIdleTimeout` between two requests. Once clients that have sent a
// valid request take more than `kReducedTimeoutFrom` of `maxClients`, the timeout is
// `kReducedIdleTimeout`, and it shrinks to `kShortestTimeoutFraction` of that as they approach
// `kShortestTimeoutFrom`. Otherwise, behind a load balancer that opens a limited number of
// connections, those that are used once and kept open would leave none for other clients.
constexpr Nanos kIdleTimeout = 2'000 * kMillisecond;
constexpr Nanos kReducedIdleTimeout = 250 * kMillisecond;
constexpr double kReducedTimeoutFrom = 0.5;    // fraction of `maxClients`
constexpr double kShortestTimeoutFrom = 0.65;  // fraction of `maxClients`
constexpr double kShortestTimeoutFraction = 0.1;

constexpr Nanos kExhaustionReportInterval = 1'000 * kMillisecond;
// The transport does not report the close of a connection that is not being read, so connections
// with a pending request are checked at this interval, to free their resources. Attempts do not
// depend on this check: `ClientConnection::isClientConnected` is called before each one, so that none
// starts after a close.
constexpr Nanos kDisconnectCheckInterval = 50 * kMillisecond;
// How long a client may read nothing of its responses while memory for responses is short.
constexpr Nanos kMaxStallDuration = 2'500 * kMillisecond;
constexpr Nanos kStallCheckInterval = 100 * kMillisecond;
// Connections are closed for the memory of their requests above this multiple of what may be reserved.
constexpr std::size_t kMaxPartialRequestsFactor = 4;

}  // namespace

ClientListener::ClientListener(transport::EventLoop& loop, transport::BufferPool& buffers,
                               RequestDispatcher& dispatcher, std::size_t maxClients,
                               std::size_t maxPartialRequestBytes, Nanos maxUnreadDuration)
    : loop_(loop),
      buffers_(buffers),
      dispatcher_(dispatcher),
      maxClients_(maxClients),
      maxPartialRequestBytes_(maxPartialRequestBytes),
      maxUnreadDuration_(maxUnreadDuration),
      requestBudget_(maxPartialRequestBytes),
      listener_(
          std::make_unique<transport::Listener>(loop, [this](const auto& finish) { onAccept(finish); })),
      wakeup_(loop, [] {}) {
    listener_->onExhausted([this](std::string_view reason) { reportExhaustion(reason); });
}

// Connections call `onDestroyed` from their destructors, when all members must still exist.
ClientListener::~ClientListener() { clients_.clear(); }

void ClientListener::close() {
    if (listener_) listener_->acceptBacklog();
    listener_.reset();
}

void ClientListener::rejectHeldRequests() {
    rejectsRequests_ = true;
    for (auto& client : clients_)
        if (client->holdsInput()) deferReading(*client);
    readDeferred();
}

void ClientListener::drain(const DrainSchedule& schedule) {
    drain_ = schedule;
    clientsAtDrainStart_ = clients_.size();
}

void ClientListener::setLimits(std::size_t maxClients, std::size_t maxPartialRequestBytes) {
    maxClients_ = maxClients;
    maxPartialRequestBytes_ = maxPartialRequestBytes;
    requestBudget_.setCapacity(maxPartialRequestBytes);
}

void ClientListener::runIteration() {
    ++iteration_;
    removeDisconnected();
    if (drain_) closeDueConnections();
    closeAboveIdleShare();
    closeStalled();
    wakeMemoryWaiters();
    admitRequests();
    readDeferred();
}

void ClientListener::onAccept(const std::function<bool(transport::Connection&)>& finish) {
    const bool hasCapacity = ensureCapacity();
    auto& owner = static_cast<ClientConnection::Owner&>(*this);
    auto accepted = std::make_unique<ClientConnection>(owner, dispatcher_, loop_, buffers_);
    const bool isAccepted = finish(accepted->connection());
    if (!isAccepted || !hasCapacity) return;
    ClientConnection& client = *clients_.emplace_back(std::move(accepted));
    client.setPosition(std::prev(clients_.end()));
    client.start();
}

// The system has no descriptor or memory for another connection. New clients wait in the backlog.
// No open connection is closed for them, since a request on it may be on its way.
void ClientListener::reportExhaustion(std::string_view reason) {
    const Nanos now = transport::EventLoop::now();
    if (now < exhaustionReportedAt_ + kExhaustionReportInterval) return;
    exhaustionReportedAt_ = now;
    if (onExhausted) onExhausted(reason);
}

// ---- ClientConnection::Owner

bool ClientListener::acceptsRequests(Nanos timeout) const {
    const Nanos now = transport::EventLoop::now();
    return !rejectsRequests_ && (!drain_ || drain_->acceptsRequests(timeout, now));
}

// Half of the memory for incomplete requests is reserved for them.
bool ClientListener::mayHoldInput() const {
    return !rejectsRequests_ && partialRequestBytes_ <= maxPartialRequestBytes_ / 2;
}

// The other half of what may be held is left to requests that wait for the memory of their responses.
bool ClientListener::mayReadAhead() const {
    return !rejectsRequests_ && partialRequestBytes_ <= maxPartialRequestBytes_ / 4;
}

void ClientListener::onActive(ClientConnection& client) {
    clients_.splice(clients_.end(), clients_, client.position());
}

void ClientListener::updatePartialRequestBytes(std::size_t before, std::size_t after) {
    partialRequestBytes_ -= before;
    partialRequestBytes_ += after;
}

void ClientListener::onDestroyed(ClientConnection& client) {
    responseBudget().update(client.responseUsage(), {});
    updatePartialRequestBytes(client.partialRequestBytes(), 0);
    requestBudget_.cancel(client);
    requestBudget_.release(client.reservedRequestBytes());
    if (client.hasSentValidRequest()) --clientsWithValidRequest_;
    std::erase(deferred_, &client);
    std::erase(awaitingMemory_, &client);
    std::erase(disconnected_, &client);
}

// ---- Closing of connections

// At the limit, closes the first of these connections that exists: one whose client is only reading
// its last response; the least recently active one without a valid request, so that clients which
// send nothing, or nothing valid, displace each other; the one that has idled longest.
bool ClientListener::ensureCapacity() {
    if (clients_.size() < maxClients_) return true;
    auto victim = std::find_if(clients_.begin(), clients_.end(),
                               [](const auto& client) { return client->isLingering(); });
    if (victim == clients_.end())
        victim = std::find_if(clients_.begin(), clients_.end(),
                              [](const auto& client) { return client->isEvictable(); });
    if (victim == clients_.end()) victim = longestIdle();
    if (victim == clients_.end()) return false;
    return closeIdle(victim);
}

Nanos ClientListener::idleTimeout() const {
    const double taken = static_cast<double>(clientsWithValidRequest_) / static_cast<double>(maxClients_);
    if (taken <= kReducedTimeoutFrom) return kIdleTimeout;
    const double fraction =
        std::clamp((kShortestTimeoutFrom - taken) / (kShortestTimeoutFrom - kReducedTimeoutFrom),
                   kShortestTimeoutFraction, 1.0);
    return static_cast<Nanos>(fraction * static_cast<double>(kReducedIdleTimeout));
}

ClientListener::Position ClientListener::longestIdle() {
    const Nanos idleSince = transport::EventLoop::now() - idleTimeout();
    for (auto it = clients_.begin(); it != clients_.end() && (*it)->lastActivity() <= idleSince; ++it)
        if ((*it)->hasSentValidRequest() && (*it)->mayClose()) return it;
    return clients_.end();
}

bool ClientListener::closeIdle(Position client) {
    if ((*client)->hasOutstandingResponses()) {
        dispatcher_.guard().reportViolation(Invariant::closing,
                                            "client connection kept open: a request on it has no response");
        dispatcher_.guard().recordBlocked(BlockedAction::responsePending);
        return false;
    }
    clients_.erase(client);
    return true;
}

// Half of `maxClients` is reserved for clients that do not idle.
void ClientListener::closeAboveIdleShare() {
    while (clients_.size() > maxClients_ / 2) {
        const auto client = longestIdle();
        if (client == clients_.end()) break;
        const bool isClosed = closeIdle(client);
        if (!isClosed) break;
    }
}

// A connection that defers its reading again waits for the next iteration: one client that sends many small
// requests does not delay the others.
void ClientListener::readDeferred() {
    for (std::size_t left = deferred_.size(); left > 0 && !deferred_.empty(); --left) {
        ClientConnection* const client = deferred_.front();
        deferred_.pop_front();
        client->continueReading();
    }
    admitRequests();
    if (!deferred_.empty()) wakeup_.start(transport::EventLoop::now());
}

void ClientListener::admitRequests() {
    while (ClientConnection* const client = requestBudget_.admitNext()) client->onReservationGranted();
}

// A connection that still lacks memory registers again.
void ClientListener::wakeMemoryWaiters() {
    const bool isReleased = responseBudget().takeReleased();
    if (!isReleased && mayHoldInput()) return;
    const std::vector<ClientConnection*> waiting = std::exchange(awaitingMemory_, {});
    for (ClientConnection* const client : waiting) client->onMemoryReleased();
}

void ClientListener::removeDisconnected() {
    while (!disconnected_.empty()) remove(*disconnected_.back());
    const Nanos now = transport::EventLoop::now();
    if (now < nextDisconnectCheckAt_) return;
    nextDisconnectCheckAt_ = now + kDisconnectCheckInterval;
    std::erase_if(clients_, [](const auto& client) { return client->hasDisconnectedUnread(); });
}

void ClientListener::closeDueConnections() {
    const Nanos now = transport::EventLoop::now();
    const double maxIdle = drain_->idleFraction(now) * static_cast<double>(clientsAtDrainStart_);
    auto idle = static_cast<std::size_t>(std::count_if(
        clients_.begin(), clients_.end(), [](const auto& client) { return client->mayClose(); }));
    // The least recently active are closed first.
    for (auto it = clients_.begin(); it != clients_.end();) {
        ClientConnection& client = **it;
        ++it;
        const bool hasResponseSinceDrain = client.lastResponseAt() >= drain_->startedAt;
        const bool isRequestTooLate = !acceptsRequests(0) && !client.hasOutstandingResponses() &&
                                      !client.isEnding() && client.partialRequestBytes() > 0;
        const bool isDue =
            isRequestTooLate ||
            (client.mayClose() && (hasResponseSinceDrain || static_cast<double>(idle) > maxIdle));
        if (!isDue) continue;
        if (idle > 0) --idle;
        closeIdle(client.position());
    }
}

// No request loses its response: the largest ones are replaced by errors.
void ClientListener::relieveResponses() {
    while (responseBudget().isExceeded()) {
        const auto client =
            std::max_element(clients_.begin(), clients_.end(), [](const auto& a, const auto& b) {
                return a->responseUsage().waitingBytes < b->responseUsage().waitingBytes;
            });
        if (client == clients_.end() || !(*client)->failLargestResponse()) return;
    }
}

// Of the connections with an incomplete request, the least recently active one; if possible, one without
// further requests behind it.
ClientListener::Position ClientListener::incompleteRequest(const ClientConnection& writing) {
    const auto isIncomplete = [&](const auto& client) {
        return client->partialRequestBytes() > 0 && client.get() != &writing;
    };
    const auto client = std::find_if(clients_.begin(), clients_.end(), [&](const auto& candidate) {
        return isIncomplete(candidate) && !candidate->holdsInput();
    });
    return client != clients_.end() ? client : std::find_if(clients_.begin(), clients_.end(), isIncomplete);
}

// A last resort: beside the reservations each connection may have read one buffer of an incomplete request,
// and hold others.
void ClientListener::relievePartialRequests(const ClientConnection& writing) {
    while (partialRequestBytes_ > kMaxPartialRequestsFactor * maxPartialRequestBytes_) {
        const auto client = incompleteRequest(writing);
        if (client == clients_.end()) return;
        (*client)->rejectIncompleteRequest();
    }
}

// While memory for responses is short, ends clients that read nothing of theirs. Clients that read slowly are
// waited for.
void ClientListener::closeStalled() {
    if (!responseBudget().isNearlyExceeded()) return;
    const Nanos now = transport::EventLoop::now();
    if (now < nextStallCheckAt_) return;
    nextStallCheckAt_ = now + kStallCheckInterval;
    std::erase_if(clients_, [](const auto& client) { return client->hasStalled(kMaxStallDuration); });
}

}  // namespace poppyscale::proxy
