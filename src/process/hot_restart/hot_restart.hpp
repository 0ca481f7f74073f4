// The old process's side of a hot restart: a new process takes the sockets of this one over.
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

// Owns the one hot restart that may be in progress. The new process is started by an operator's `upgrade`, or
// by somebody else and joins by itself. Guarantees: this process serves on until the new one has reported
// that it is ready and still has its connection; else the hot restart fails, the reason is logged and
// answered, and a new process that was started here is killed. Runs on the event loop.
class HotRestart {
  public:
    // What the process does at two steps; called on the event loop.
    struct Callbacks {
        // The descriptor of the console's listening socket, which stays the process's; nothing without one.
        std::function<std::optional<int>()> consoleDescriptor;
        // The new process accepts from now on.
        std::function<void()> onReplaced;
    };

    // `newProcessCommand` is the command line of a new process. All references outlive this.
    HotRestart(transport::EventLoop& loop, const ProcessLifecycle& lifecycle, const DataPath& dataPath,
               const ActiveConfig& config, std::vector<std::string> newProcessCommand, LogFunction log,
               Callbacks callbacks);

    bool isInProgress() const { return attempt_.has_value(); }
    // An operator's command to start a new process. Null when the answer is sent later.
    nlohmann::json onStartCommand(control::OperatorSession& session, const nlohmann::json& message);
    // A new process requests the sockets. Null when they have been sent.
    nlohmann::json onPassSocketsRequest(control::OperatorSession& session);
    // The new process accepts.
    nlohmann::json onNewProcessReady(control::OperatorSession& session, const nlohmann::json& message);
    // The new process will not take over. Nothing when `session` is not its connection.
    std::optional<nlohmann::json> onNewProcessFailed(const control::OperatorSession& session,
                                                     const nlohmann::json& message);
    // A child process has exited.
    void onChildExited();
    // This process leaves its serving state; ends a hot restart that is in progress.
    void onLeavingServing();

  private:
    struct Attempt {
        control::OperatorSession* requester = nullptr;          // waits for the outcome
        control::OperatorSession* newProcessSession = nullptr;  // once it has requested the sockets
        std::unique_ptr<SpawnedProcess> process;                // if it was started here
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
