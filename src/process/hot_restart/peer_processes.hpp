// The processes that are one router for a while, as one takes over from the other: what operators said
// crosses between them both ways, and each knows what the other holds.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/operator_config.hpp"
#include "control/operator_socket.hpp"
#include "process/operator_state.hpp"

namespace poppyscale::process {

class PeerProcesses {
  public:
    class Handler {
      public:
        virtual ~Handler() = default;
        // The words that hold, wherever they were said.
        virtual void setEjected(const std::string& id, bool on) = 0;
        virtual void setStandby(bool on) = 0;
        // A process beside this one has come or gone, or holds another number of clients.
        virtual void onPeersChanged() = 0;
    };
    using Log = std::function<void(config::LogLevel level, std::string_view text)>;
    // `folder` is where processes that come later look, or empty.
    PeerProcesses(transport::EventLoop& loop, transport::BufferPool& pool, const std::string& folder,
                  const std::string& name, Handler& owner, Log say);

    // What was written down, and from a predecessor, if there is to be one, what holds now. Waits for its
    // answer, but not long: it may hang.
    void start(bool besides);
    // Where a successor finds this process; empty, or what is wrong.
    std::string listen();
    // A word from this process's door. Empty once it binds here and will bind later, else why it can't.
    std::string applyCommand(const std::string& word);
    // What another wrote while this one was held up.
    void reloadState();
    void onShutdown() { isShuttingDown_ = true; }

    const OperatorState& operatorState() const { return state_; }
    bool isAlone() const { return peers_.empty(); }
    std::size_t peerClientCount() const;
    void reportClientCount(std::size_t clients);

  private:
    struct PeerProcess {
        control::OperatorSession* session;
        bool isNewer;
        std::size_t clients = 0;
    };
    nlohmann::json answer(control::OperatorSession& session, const nlohmann::json& asked);
    void addPeer(control::OperatorSession& session, bool heir);
    void notifyPeers(const nlohmann::json& what, const control::OperatorSession* but = nullptr);
    void reconcile();

    Handler& owner_;
    Log log_;
    std::string path_;  // of the socket
    std::optional<OperatorStateFile> file_;
    std::optional<control::OperatorSocket> server_;
    std::vector<PeerProcess> peers_;
    OperatorState state_, applied_;
    std::size_t reportedClients_ = 0;  // clients
    bool isShuttingDown_ = false;
};

}  // namespace poppyscale::process
