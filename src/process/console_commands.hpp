// The commands of the operators' console.
#pragma once

#include "control/console_command.hpp"
#include "process/data_path.hpp"
#include "process/hot_restart/peer_processes.hpp"
#include "process/operator_state_store.hpp"
#include "process/process_lifecycle.hpp"

namespace poppyscale::process {

// Carries out console commands. A change of the operator state is applied in this process, written
// to its file and announced to the other processes of this router before it is acknowledged. All
// references outlive it.
class ConsoleCommands {
  public:
    ConsoleCommands(OperatorStateStore& operatorState, PeerProcesses& peers,
                    const ProcessLifecycle& lifecycle, DataPath& dataPath);

    control::ConsoleReply handle(const control::ConsoleCommand& command);

  private:
    control::ConsoleReply apply(const OperatorStateChange& change);
    control::ConsoleReply applyToServer(const OperatorStateChange& change);
    control::ConsoleReply status() const;

    OperatorStateStore& operatorState_;
    PeerProcesses& peers_;
    const ProcessLifecycle& lifecycle_;
    DataPath& dataPath_;
};

}  // namespace poppyscale::process
