// One router process from start to exit.
#pragma once

#include <csignal>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/file_descriptor.hpp"
#include "control/console_listener.hpp"
#include "control/operator_socket.hpp"
#include "process/active_config.hpp"
#include "process/config_reloader.hpp"
#include "process/console_commands.hpp"
#include "process/data_path.hpp"
#include "process/hot_restart/hot_restart.hpp"
#include "process/hot_restart/new_process.hpp"
#include "process/hot_restart/peer_processes.hpp"
#include "process/operator_commands.hpp"
#include "process/operator_state_store.hpp"
#include "process/process_lifecycle.hpp"
#include "process/process_logger.hpp"
#include "process/status_report.hpp"
#include "transport/buffer_pool.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::process {

struct ProcessOptions {
    // Reads the configuration, at the start and for each reload; throws protocol::ParseError.
    std::function<InstanceConfig()> readConfig;
    // The process is the new process of a hot restart: it inherits the sockets of the old one.
    bool isHotRestart = false;
    // The command line of the new process of a later hot restart.
    std::vector<std::string> newProcessCommand;
    // The clients' listening socket if the platform holds it, else not open.
    FileDescriptor passedListener;
    // The program's version, as `--version` prints it.
    std::string version;
    // The folder where the operator state is stored for a later process; empty to store none.
    std::string stateFolder;
    // Set by the testbed's defective variants; when empty, the router's own dispatcher is used.
    MakeDispatcher makeDispatcher;
};

// Creates and connects the parts of the process, and runs the event loop. The constructor opens all
// sockets, or requests them from the old process of a hot restart, and throws std::runtime_error
// with the reason when that fails. ProcessLifecycle owns the state of the process,
// OperatorStateStore the operator state.
class RouterProcess : private OperatorStateStore::Host, private PeerProcesses::Host {
  public:
    explicit RouterProcess(ProcessOptions options);
    ~RouterProcess() override;
    // Serves until the process stops; returns the exit code.
    int run();

  private:
    void openOwnSockets();
    void requestInheritedSockets();
    // Starts accepting on the sockets of the old process, which stops accepting.
    void takeInheritedSockets();
    void listenOnConsole();
    void listenForPeers();
    void runIteration();
    void requestStop();

    // OperatorStateStore::Host
    void setEjected(const std::string& server, bool isEjected) override;
    void setStandby(bool isStandby) override;
    // PeerProcesses::Host
    void onPeersChanged() override;
    // The descriptor of the console's listening socket; nothing without a console.
    std::optional<int> consoleDescriptor() const;
    // A new process accepts clients from now on.
    void onReplaced();

    ProcessOptions options_;
    const bool isListenerPassed_;  // the platform holds the clients' listening socket
    ActiveConfig config_;
    ProcessLogger logger_;
    const transport::Address listenAddress_;
    // Declared before the loop, which is therefore destroyed first: closing its handles returns
    // their buffers to the pool.
    transport::BufferPool pool_;
    transport::EventLoop loop_;
    transport::Signal terminate_{loop_, SIGTERM, [this] { requestStop(); }};
    transport::Signal interrupt_{loop_, SIGINT, [this] { requestStop(); }};
    transport::Signal hangUp_{loop_, SIGHUP, [this] { reloader_.reload(hotRestart_.isInProgress()); }};
    transport::Signal childExited_{loop_, SIGCHLD, [this] { hotRestart_.onChildExited(); }};
    DataPath dataPath_;
    ProcessLifecycle lifecycle_;
    std::optional<InheritedSockets> inheritedSockets_;
    HotRestart hotRestart_;
    OperatorStateStore operatorState_;
    PeerProcesses peers_;
    ConfigReloader reloader_;
    StatusReport report_;
    ConsoleCommands consoleCommands_;
    OperatorCommands operatorCommands_;
    std::optional<control::ConsoleListener> console_;
    std::optional<control::OperatorSocket> operatorSocket_;
};

}  // namespace poppyscale::process
