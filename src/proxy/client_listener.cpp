#include "proxy/client_listener.hpp"

#include <algorithm>
#include <iterator>

namespace poppyscale::proxy {
namespace {

// Between two requests a client may count on its connection for as long as the first says. Where useful
// clients take over half of the places, it is the second and, as they take more, less of it: connections that
// are used once and kept would leave none behind a load balancer that opens only so many.
constexpr Nanos kIdleTimeout = 2'000 * kMillisecond;
constexpr Nanos kCrowdedIdleTimeout = 250 * kMillisecond;
constexpr double kCrowdedFrom = 0.5;           // of the places
constexpr double kShortestTimeoutFrom = 0.65;  // of the places
constexpr double kShortestTimeoutFraction = 0.1;

constexpr Nanos kExhaustionReportInterval = 1'000 * kMillisecond;
// Connections that are not read end unnoticed: those with a request outstanding are checked this often. This
// frees what they hold; that no attempt starts for them is ensured before each attempt.
constexpr Nanos kDisconnectCheckInterval = 50 * kMillisecond;

}  // namespace

ClientListener::ClientListener(transport::EventLoop& loop, transport::BufferPool& buffers,
                               RequestDispatcher& dispatcher, std::size_t maxClients,
                               std::size_t maxBufferedBytes, Nanos maxRequestTimeout)
    : loop_(loop),
      buffers_(buffers),
      dispatcher_(dispatcher),
      maxClients_(maxClients),
      maxBufferedBytes_(maxBufferedBytes),
      maxRequestTimeout_(maxRequestTimeout),
      listener_(
          std::make_unique<transport::Listener>(loop, [this](const auto& finish) { onAccept(finish); })) {
    listener_->onExhausted([this](std::string_view reason) { reportExhaustion(reason); });
}

// Connections call back when they are destroyed: all members must still be there.
ClientListener::~ClientListener() { clients_.clear(); }

void ClientListener::close() {
    if (listener_) listener_->acceptBacklog();
    listener_.reset();
}

void ClientListener::drain(const DrainSchedule& schedule) {
    drain_ = schedule;
    clientsAtDrainStart_ = clients_.size();
}

void ClientListener::setLimits(std::size_t maxClients, std::size_t maxBufferedBytes) {
    maxClients_ = maxClients;
    maxBufferedBytes_ = maxBufferedBytes;
}

void ClientListener::runIteration() {
    ++iteration_;
    removeDisconnected();
    if (drain_) closeDueConnections();
    closeAboveIdleShare();
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

// The system has no descriptor or memory for another connection. Clients wait in the backlog; none of the
// connections is closed for them, since what was sent on these may not have arrived yet.
void ClientListener::reportExhaustion(std::string_view reason) {
    const Nanos now = transport::EventLoop::now();
    if (now < exhaustionReportedAt_ + kExhaustionReportInterval) return;
    exhaustionReportedAt_ = now;
    if (onExhausted) onExhausted(reason);
}

// ---- For the connections

bool ClientListener::acceptsRequests(Nanos timeout) const {
    const Nanos now = transport::EventLoop::now();
    return !drain_ || drain_->acceptsRequests(timeout, now);
}

void ClientListener::onActive(ClientConnection& client) {
    clients_.splice(clients_.end(), clients_, client.position());
}

void ClientListener::updateUnsentBytes(std::size_t before, std::size_t after) {
    unsentBytes_ -= before;
    unsentBytes_ += after;
}

void ClientListener::updatePartialRequestBytes(std::size_t before, std::size_t after) {
    partialRequestBytes_ -= before;
    partialRequestBytes_ += after;
}

void ClientListener::onDestroyed(ClientConnection& client) {
    updateUnsentBytes(client.queuedResponseBytes(), 0);
    updatePartialRequestBytes(client.partialRequestBytes(), 0);
    if (client.isUseful()) --usefulClients_;
    std::erase(deferred_, &client);
    std::erase(disconnected_, &client);
}

// ---- Which connections stay

// First a connection whose client only reads its last response, then one that has not sent a valid request,
// the oldest first, so that clients which send nothing, or nothing valid, displace each other; then one that
// idles.
bool ClientListener::ensureCapacity() {
    if (clients_.size() < maxClients_) return true;
    auto victim = std::find_if(clients_.begin(), clients_.end(),
                               [](const auto& client) { return client->isLingering(); });
    if (victim == clients_.end())
        victim = std::find_if(clients_.begin(), clients_.end(),
                              [](const auto& client) { return client->mayMakeRoom(); });
    if (victim == clients_.end()) victim = longestIdle();
    if (victim == clients_.end()) return false;
    return closeIdle(victim);
}

Nanos ClientListener::idleTimeout() const {
    const double taken = static_cast<double>(usefulClients_) / static_cast<double>(maxClients_);
    if (taken <= kCrowdedFrom) return kIdleTimeout;
    const double fraction = std::clamp((kShortestTimeoutFrom - taken) / (kShortestTimeoutFrom - kCrowdedFrom),
                                       kShortestTimeoutFraction, 1.0);
    return static_cast<Nanos>(fraction * static_cast<double>(kCrowdedIdleTimeout));
}

ClientListener::Position ClientListener::longestIdle() {
    const Nanos since = transport::EventLoop::now() - idleTimeout();
    for (auto it = clients_.begin(); it != clients_.end() && (*it)->lastActivity() <= since; ++it)
        if ((*it)->isUseful() && (*it)->mayClose()) return it;
    return clients_.end();
}

bool ClientListener::closeIdle(Position client) {
    if ((*client)->hasOutstandingResponses()) {
        dispatcher_.guard().reportViolation(Invariant::closing,
                                            "a client's connection with a request that has no response");
        dispatcher_.guard().recordBlocked(BlockedAction::responsePending);
        return false;
    }
    clients_.erase(client);
    return true;
}

// Half of the places are for clients that do not idle.
void ClientListener::closeAboveIdleShare() {
    while (clients_.size() > maxClients_ / 2) {
        const auto client = longestIdle();
        if (client == clients_.end()) break;
        const bool isClosed = closeIdle(client);
        if (!isClosed) break;
    }
}

void ClientListener::readDeferred() {
    while (!deferred_.empty()) {
        ClientConnection* const client = deferred_.back();
        deferred_.pop_back();
        client->continueReading();
    }
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
        const bool isResponded = client.lastResponseAt() >= drain_->since;
        const bool isTooLate = !acceptsRequests(0) && !client.hasOutstandingResponses() &&
                               !client.isEnding() && client.partialRequestBytes() > 0;
        const bool isDue =
            isTooLate || (client.mayClose() && (isResponded || static_cast<double>(idle) > maxIdle));
        if (!isDue) continue;
        if (idle > 0) --idle;
        closeIdle(client.position());
    }
}

bool ClientListener::isOverMemory() const {
    // A quarter of the buffers is left for writing to the servers.
    return buffers_.available() < buffers_.capacity() / 4 || unsentBytes_ > maxBufferedBytes_ ||
           partialRequestBytes_ > maxBufferedBytes_;
}

// The connection whose incomplete request is oldest where these take too much, else the one with most bytes
// of responses.
ClientListener::Position ClientListener::largestMemoryUser() {
    if (partialRequestBytes_ > maxBufferedBytes_)
        return std::find_if(clients_.begin(), clients_.end(),
                            [](const auto& client) { return client->partialRequestBytes() > 0; });
    return std::max_element(clients_.begin(), clients_.end(),
                            [](const auto& a, const auto& b) { return a->unsentBytes() < b->unsentBytes(); });
}

// Clients that do not read, that have many responses waiting behind one, or that leave requests incomplete
// would otherwise fill the memory.
bool ClientListener::relieveMemory(const ClientConnection& writing) {
    while (isOverMemory()) {
        const auto client = largestMemoryUser();
        if (client == clients_.end()) return true;
        if ((*client)->unsentBytes() + (*client)->partialRequestBytes() == 0) return true;
        const bool isWriting = client->get() == &writing;
        clients_.erase(client);
        if (isWriting) return false;
    }
    return true;
}

}  // namespace poppyscale::proxy
