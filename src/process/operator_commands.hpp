// The requests of the operator's socket.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string_view>

#include "control/operator_socket.hpp"
#include "process/config_reloader.hpp"
#include "process/hot_restart/hot_restart.hpp"
#include "process/process_lifecycle.hpp"
#include "process/status_report.hpp"

namespace poppyscale::process {

// Carries out the requests of operators' tools, and those of the new process during a hot restart.
// All references outlive it.
class OperatorCommands {
  public:
    // `requestStop` starts the graceful shutdown of the process.
    OperatorCommands(StatusReport& report, ConfigReloader& reloader, HotRestart& hotRestart,
                     ProcessLifecycle& lifecycle, DataPath& dataPath, std::function<void()> requestStop);

    // Returns the answer to a request, or null when the answer is sent later. Throws
    // nlohmann::json::exception for a malformed request.
    nlohmann::json handle(control::OperatorSession& session, const nlohmann::json& message);

  private:
    using Handler = nlohmann::json (OperatorCommands::*)(control::OperatorSession& session,
                                                         const nlohmann::json& message);
    struct Command {
        std::string_view name;  // value of the request's "do" field
        Handler handle;
    };
    static const Command kCommands[];

    nlohmann::json status(control::OperatorSession& session, const nlohmann::json& message);
    nlohmann::json metrics(control::OperatorSession& session, const nlohmann::json& message);
    nlohmann::json requests(control::OperatorSession& session, const nlohmann::json& message);
    nlohmann::json endpoints(control::OperatorSession& session, const nlohmann::json& message);
    nlohmann::json reload(control::OperatorSession& session, const nlohmann::json& message);
    nlohmann::json drain(control::OperatorSession& session, const nlohmann::json& message);
    nlohmann::json stop(control::OperatorSession& session, const nlohmann::json& message);
    nlohmann::json startHotRestart(control::OperatorSession& session, const nlohmann::json& message);
    nlohmann::json passSockets(control::OperatorSession& session, const nlohmann::json& message);
    nlohmann::json completeHotRestart(control::OperatorSession& session, const nlohmann::json& message);
    nlohmann::json failHotRestart(control::OperatorSession& session, const nlohmann::json& message);

    StatusReport& report_;
    ConfigReloader& reloader_;
    HotRestart& hotRestart_;
    ProcessLifecycle& lifecycle_;
    DataPath& dataPath_;
    std::function<void()> requestStop_;
};

}  // namespace poppyscale::process
