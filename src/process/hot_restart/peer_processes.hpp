// The processes that are the same router for a while, as a new one replaces an old one.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "control/operator_socket.hpp"
#include "process/operator_state_store.hpp"
#include "process/process_logger.hpp"

namespace poppyscale::process {

// Owns the connections to the other processes of this router, and the Unix socket at which a new one finds
// this one. Passes operators' changes on in both directions, and each process's number of clients. Runs on
// the event loop but for `joinOldProcess`. All references outlive it.
class PeerProcesses {
  public:
    class Host {
      public:
        virtual ~Host() = default;
        // A process has joined or left, or its number of clients has changed.
        virtual void onPeersChanged() = 0;
    };

    // `socketPath` is where a new process connects; without one this process never has peers.
    PeerProcesses(transport::EventLoop& loop, transport::BufferPool& pool,
                  std::optional<std::string> socketPath, OperatorStateStore& operatorState, Host& host,
                  LogFunction log);

    // Connects to the old process, if one listens, and takes its operators' state. Blocks for a short time at
    // most: the old process may be suspended.
    void joinOldProcess();
    // Listens for a new process; logs when that fails.
    void listen();
    // Sends a change that an operator made here.
    void announce(const OperatorStateChange& change);
    // This process is to end: a new one that leaves does not give the socket's path back to it.
    void onShutdown() { isShuttingDown_ = true; }

    bool isAlone() const { return peers_.empty(); }
    // Clients of all other processes.
    std::size_t peerClientCount() const;
    // To be called in each iteration with the number of clients of this process.
    void reportClientCount(std::size_t clients);

  private:
    struct Peer {
        control::OperatorSession* session;
        bool isNewer;  // it has joined this process, and not this process it
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
