#include "process/hot_restart/peer_processes.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "process/hot_restart/messages.hpp"
#include "process/hot_restart/peer_client.hpp"

namespace poppyscale::process {
namespace {

using config::LogLevel;
using control::OperatorSession;

constexpr Nanos kJoinTimeout = 500 * kMillisecond;
constexpr std::size_t kMinReportedClientChange = 8;

// Returns nothing when no process listens at `path`. Throws std::runtime_error for any other
// failure to connect.
std::optional<PeerClient> connectToProcess(const std::string& path) {
    try {
        return PeerClient(path, kJoinTimeout);
    } catch (const std::system_error& error) {
        const int code = error.code().value();
        if (code == ENOENT || code == ECONNREFUSED) return std::nullopt;
        throw;
    }
}

}  // namespace

PeerProcesses::PeerProcesses(transport::EventLoop& loop, transport::BufferPool& pool,
                             std::optional<std::string> socketPath, OperatorStateStore& operatorState,
                             Host& host, LogFunction log)
    : operatorState_(operatorState), host_(host), log_(std::move(log)), socketPath_(std::move(socketPath)) {
    if (socketPath_)
        server_.emplace(loop, pool,
                        [this](auto& session, const auto& message) { return handle(session, message); });
}

void PeerProcesses::joinOldProcess() {
    if (!server_) return;
    try {
        auto client = connectToProcess(*socketPath_);
        if (!client) return;
        client->write(joinRequest());
        const std::string state = readJoinReply(client->read());
        operatorState_.replaceWith(state);
        add(server_->adopt(client->release()), false);
    } catch (const std::exception& problem) {
        log_(LogLevel::error,
             fmt::format("can't get the operator state from the old process, the state on file applies: {}",
                         problem.what()));
    }
}

void PeerProcesses::listen() {
    if (!server_) return;
    const auto error = server_->listen(*socketPath_);
    if (error)
        log_(LogLevel::error, fmt::format("can't listen for new processes at {}: {}", *socketPath_, *error));
}

void PeerProcesses::announce(const OperatorStateChange& change) {
    sendToAll(operatorCommandNotice(change.line()));
}

std::size_t PeerProcesses::peerClientCount() const {
    std::size_t sum = 0;
    for (const Peer& peer : peers_) sum += peer.clients;
    return sum;
}

void PeerProcesses::reportClientCount(std::size_t clients) {
    if (peers_.empty()) return;
    const auto difference = std::max(clients, reportedClients_) - std::min(clients, reportedClients_);
    if (difference < kMinReportedClientChange && (clients > 0 || difference == 0)) return;
    reportedClients_ = clients;
    sendToAll(clientCountNotice(clients));
}

nlohmann::json PeerProcesses::handle(OperatorSession& session, const nlohmann::json& message) {
    const std::string name = requestName(message);
    if (name == kJoinRequest) return onJoin(session);
    const auto peer = find(session);
    if (peer != peers_.end()) {
        onNotice(*peer, message);
        return nullptr;
    }
    return name.empty() ? nlohmann::json() : errorReply("unknown request, or not a peer process");
}

nlohmann::json PeerProcesses::onJoin(OperatorSession& session) {
    add(session, true);
    // The new process will listen at the path with its own socket.
    server_->releasePath();
    return joinReply(operatorState_.state().serialize());
}

void PeerProcesses::onNotice(Peer& peer, const nlohmann::json& message) {
    const std::string name = requestName(message);
    if (name == kClientCountNotice) {
        peer.clients = readClientCount(message);
        host_.onPeersChanged();
    }
    if (name == kOperatorCommandNotice) {
        const OperatorSession* const sender = peer.session;
        const bool isChanged = operatorState_.applyFromPeer(readOperatorCommand(message));
        if (isChanged) sendToAll(message, sender);
    }
}

PeerProcesses::PeerIterator PeerProcesses::find(const OperatorSession& session) {
    return std::find_if(peers_.begin(), peers_.end(),
                        [&](const Peer& peer) { return peer.session == &session; });
}

void PeerProcesses::add(OperatorSession& session, bool isNewer) {
    peers_.push_back({&session, isNewer});
    reportedClients_ = 0;
    session.onPeerClosed = [this, closed = &session] { onClosed(*closed); };
    host_.onPeersChanged();
}

void PeerProcesses::onClosed(const OperatorSession& session) {
    const auto peer = find(session);
    const bool wasNewer = peer->isNewer;
    peers_.erase(peer);
    // A new process took over the path when it joined. Once it has left, no process listens there,
    // so this process listens again unless it is shutting down.
    if (wasNewer && !isShuttingDown_) static_cast<void>(server_->listen(*socketPath_));
    host_.onPeersChanged();
}

void PeerProcesses::sendToAll(const nlohmann::json& message, const OperatorSession* except) {
    for (const Peer& peer : peers_)
        if (peer.session != except) peer.session->send(message);
}

}  // namespace poppyscale::process
