// The old process's side of a hot restart, in which a new process takes over the listening sockets
// of this one.
#pragma once

#include <sys/types.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control/operator_socket.hpp"
#include "process/active_config.hpp"
#include "process/data_path.hpp"
#include "process/hot_restart/spawned_process.hpp"
#include "process/process_lifecycle.hpp"
#include "process/process_logger.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::process {

// Owns the hot restart in progress; there is at most one. The new process is started by this
// process on an operator's `upgrade` command, or independently, for example by a supervisor.
// Guarantees: this process serves until the new one has reported that it is ready, over a connection
// that is still open when the report is read. Otherwise the hot restart fails, the reason is logged
// and sent to the operator, and a new process that was started here is killed. Runs on the event
// loop.
class HotRestart {
  public:
    // Called on the event loop.
    struct Callbacks {
        // Returns the descriptor of the console's listening socket, which the process keeps;
        // nothing without a console.
        std::function<std::optional<int>()> consoleDescriptor;
        // The new process accepts clients from now on.
        std::function<void()> onReplaced;
    };

    // `newProcessCommand` is the command line of a new process. All references outlive this.
    HotRestart(transport::EventLoop& loop, const ProcessLifecycle& lifecycle, const DataPath& dataPath,
               const ActiveConfig& config, std::vector<std::string> newProcessCommand, LogFunction log,
               Callbacks callbacks);

    bool isInProgress() const { return attempt_.has_value(); }
    // An operator's command to start a new process. Returns null when the answer is sent later.
    nlohmann::json onStartCommand(control::OperatorSession& session, const nlohmann::json& message);
    // A new process requests the sockets. Returns null when they have been sent.
    nlohmann::json onPassSocketsRequest(control::OperatorSession& session);
    // The new process is ready to accept clients. Returns null when its connection has been closed
    // since.
    nlohmann::json onNewProcessReady(control::OperatorSession& session, const nlohmann::json& message);
    // The new process will not take over. Returns nothing when `session` is not its connection.
    std::optional<nlohmann::json> onNewProcessFailed(const control::OperatorSession& session,
                                                     const nlohmann::json& message);
    // A child process has exited.
    void onChildExited();
    // This process leaves its serving state; fails a hot restart that is in progress.
    void onLeavingServing();

  private:
    struct Attempt {
        control::OperatorSession* requester = nullptr;          // waits for the outcome, if not null
        control::OperatorSession* newProcessSession = nullptr;  // null until the sockets are requested
        std::unique_ptr<SpawnedProcess> process;                // null if it was started elsewhere
    };

    void begin(Attempt attempt);
    // Ends the attempt and returns it.
    Attempt end();
    void fail(const std::string& problem);
    bool isNewProcess(const control::OperatorSession& session) const;

    const ProcessLifecycle& lifecycle_;
    const DataPath& dataPath_;
    const ActiveConfig& config_;
    const std::vector<std::string> newProcessCommand_;
    LogFunction log_;
    Callbacks callbacks_;
    std::optional<Attempt> attempt_;
    transport::Timer timeout_;
};

}  // namespace poppyscale::process
