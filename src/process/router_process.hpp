// One router from start to exit.
#pragma once

#include <csignal>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/operator_config.hpp"
#include "control/console_listener.hpp"
#include "control/operator_socket.hpp"
#include "discovery/endpoint_watcher.hpp"
#include "process/hot_restart/inherited_sockets.hpp"
#include "process/hot_restart/peer_processes.hpp"
#include "process/process_logger.hpp"
#include "protocol/startup_config.hpp"
#include "proxy/client_listener.hpp"
#include "proxy/request_dispatcher.hpp"
#include "transport/buffer_pool.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::process {

// All that an instance is told: by the platform's configuration, the operator's file, or both.
struct InstanceConfig {
    protocol::StartupConfig startup;
    config::OperatorConfig operatorConfig;
    bool fromPlatform = true;  // the deployment is described by the platform's configuration
};

using MakeDispatcher = std::function<std::unique_ptr<proxy::RequestDispatcher>(
    transport::EventLoop& loop, transport::BufferPool& pool, const protocol::StartupConfig& start,
    std::size_t mostLinks, proxy::Log log)>;

struct ProcessOptions {
    std::function<InstanceConfig()> readConfig;  // throws protocol::Malformed
    bool isHotRestart = false;                   // the sockets of the process that serves so far
    std::vector<std::string> newProcessCommand;  // the command line by which an upgrade starts its successor
    int passedListener = -1;                     // the clients' listening socket, where the platform holds it
    std::string version;                         // as `--version` tells it
    std::string stateFolder;        // where what operators said is kept for a later process, or empty
    MakeDispatcher makeDispatcher;  // of a harmful version in the lab; empty: the router's own
};

class RouterProcess : private PeerProcesses::Handler {
  public:
    explicit RouterProcess(ProcessOptions wanted);
    ~RouterProcess() override;
    // The exit code.
    int run();

  private:
    // serving: until told to stop. leaving: told, but clients still come. draining: no new ones, what was
    // taken is answered. done: nothing is owed any more, or the time for it is over.
    enum class State : std::uint8_t { starting, serving, lameDuck, draining, stopped };

    void enter(State state);
    void runIteration();
    void beginShutdown();
    void onHotRestartComplete();  // to a process beside this one, which serves from now on
    // Reads everything anew; what is not usable changes nothing. What came of it, in words.
    nlohmann::json reload();
    nlohmann::json readConfigAgain();
    void applyConfig(InstanceConfig fresh);
    void log(std::string_view part, config::LogLevel level, std::string_view text) {
        logger_.log(part, level, text);
    }
    // Whom to ask for the list: the distributors where these are set, else discovery, if there is one.
    std::vector<discovery::DiscoveryAddress> endpointSources(const InstanceConfig& told) const;
    Nanos drainDuration() const;

    control::ConsoleReply answer(const control::ConsoleCommand& call);
    control::ConsoleReply applyOperatorCommand(const std::string& word);
    std::string ejectedServersText() const;  // which caches are
    void setEjected(const std::string& server, bool on) override;
    void setStandby(bool on) override;
    void onPeersChanged() override;
    void openOperatorSockets();
    const char* stateName() const;

    nlohmann::json answer(control::OperatorSession& session, const nlohmann::json& asked);
    nlohmann::json status();
    nlohmann::json metrics();
    nlohmann::json requests();
    nlohmann::json caches();
    // Hand-over to a successor: it has until an alarm to be ready, and till then all goes on as before.
    nlohmann::json upgrade(control::OperatorSession& session, const nlohmann::json& asked);
    nlohmann::json passSockets(control::OperatorSession& session);
    nlohmann::json onNewProcessReady(control::OperatorSession& session, const nlohmann::json& asked);
    void endUpgrade(const std::string& problem);

    ProcessOptions options_;
    ProcessLogger logger_;
    InstanceConfig config_;
    std::string describedConfig_;  // what the files said, with what waits for a start
    State state_ = State::starting;
    Nanos startedAt_ = transport::EventLoop::now();
    int reloads_ = 0;
    bool stopRequested_ = false;
    bool isReplaced_ = false;
    // The loop goes first: its handles close as it does, and give their buffers back.
    transport::BufferPool pool_;
    transport::EventLoop loop_;
    std::unique_ptr<proxy::RequestDispatcher> dispatcher_;
    std::optional<proxy::ClientListener> clientListener_;
    std::optional<discovery::EndpointWatcher> endpointWatcher_;
    std::optional<transport::Timer> stateTimer_;
    std::optional<InheritedSockets> inheritedSockets_;
    struct Upgrade {
        control::OperatorSession* requester = nullptr;          // who waits for how it goes
        control::OperatorSession* newProcessSession = nullptr;  // the successor, once it has come
        std::unique_ptr<NewProcess> process;
    };
    std::optional<Upgrade> upgrade_;
    std::optional<transport::Timer> upgradeTimeout_;
    std::optional<PeerProcesses> peers_;
    std::optional<control::ConsoleListener> console_;
    std::optional<control::OperatorSocket> operatorSocket_;
    transport::Signal terminate_{loop_, SIGTERM, [this] { beginShutdown(); }};
    transport::Signal interrupt_{loop_, SIGINT, [this] { beginShutdown(); }};
    transport::Signal hangUp_{loop_, SIGHUP, [this] { reload(); }};
    transport::Signal child_{loop_, SIGCHLD, [this] {
                                 if (upgrade_ && upgrade_->process && upgrade_->process->hasExited())
                                     endUpgrade("the new process ended before it was ready");
                             }};
};

}  // namespace poppyscale::process
