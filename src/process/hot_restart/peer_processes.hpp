// The processes of one router that run side by side while a new one replaces an old one.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "control/operator_socket.hpp"
#include "process/operator_state_store.hpp"
#include "process/process_logger.hpp"

namespace poppyscale::process {

// Owns the connections to the other processes of this router, and the Unix socket to which a new
// process connects. Exchanges changes of the operator state and the processes' numbers of clients.
// Runs on the event loop except for `joinOldProcess`. All references outlive it.
class PeerProcesses {
  public:
    class Host {
      public:
        virtual ~Host() = default;
        // A process has joined or left, or its number of clients has changed.
        virtual void onPeersChanged() = 0;
    };

    // `socketPath` is the path to which a new process connects; without it this process never has
    // peers.
    PeerProcesses(transport::EventLoop& loop, transport::BufferPool& pool,
                  std::optional<std::string> socketPath, OperatorStateStore& operatorState, Host& host,
                  LogFunction log);

    // Connects to the old process, if one listens, and takes over its operator state. Blocks for a
    // short time at most, because the old process may be suspended.
    void joinOldProcess();
    // Listens for a new process; logs an error when that fails.
    void listen();
    // Sends a change that an operator made at this process to all peers.
    void announce(const OperatorStateChange& change);
    // This process is shutting down: it does not listen at the path again when a new process
    // leaves.
    void onShutdown() { isShuttingDown_ = true; }

    bool isAlone() const { return peers_.empty(); }
    // The number of clients of all other processes.
    std::size_t peerClientCount() const;
    // Sends the number of clients of this process to the peers when it has changed by at least eight
    // since the last report, or has fallen to 0. To be called in each iteration.
    void reportClientCount(std::size_t clients);

  private:
    struct Peer {
        control::OperatorSession* session;
        bool isNewer;  // the peer connected to this process, not this process to the peer
        std::size_t clients = 0;
    };
    using PeerIterator = std::vector<Peer>::iterator;

    PeerIterator find(const control::OperatorSession& session);
    nlohmann::json handle(control::OperatorSession& session, const nlohmann::json& message);
    nlohmann::json onJoin(control::OperatorSession& session);
    void onNotice(Peer& peer, const nlohmann::json& message);
    void add(control::OperatorSession& session, bool isNewer);
    void onClosed(const control::OperatorSession& session);
    void sendToAll(const nlohmann::json& message, const control::OperatorSession* except = nullptr);

    OperatorStateStore& operatorState_;
    Host& host_;
    LogFunction log_;
    std::optional<std::string> socketPath_;
    std::optional<control::OperatorSocket> server_;
    std::vector<Peer> peers_;
    std::size_t reportedClients_ = 0;
    bool isShuttingDown_ = false;
};

}  // namespace poppyscale::process
