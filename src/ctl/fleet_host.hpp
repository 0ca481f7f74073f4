// Joins what supervises the fleet of one machine.
#pragma once

#include <string>
#include <string_view>

#include "ctl/agent_endpoint.hpp"
#include "ctl/agent_state_store.hpp"
#include "ctl/fleet_description.hpp"
#include "ctl/fleet_status.hpp"
#include "ctl/instance_processes.hpp"
#include "ctl/signal_source.hpp"
#include "ctl/version_installer.hpp"
#include "ctl/version_store.hpp"
#include "logging/logger.hpp"
#include "rollout/rollout_agent.hpp"
#include "supervisor/instance_supervisor.hpp"

namespace poppyscale::ctl {

// The loop of `poppyctl fleet`. Passes the events of processes, signals and requests to the two controllers,
// InstanceSupervisor and RolloutAgent, and carries out the actions that they ask for. Decides nothing itself.
//
// Owns the controllers and all that they act through; processes of instances outlive it. The folder's lock
// must be held for as long as it lives.
class FleetHost : private supervisor::SupervisorHost, private rollout::AgentHost {
  public:
    // Stores the version that the description names, listens at the agent's socket, and resumes a rollout of
    // the process before. Throws std::runtime_error when it can't listen.
    explicit FleetHost(const FleetDescription& description);

    // Runs until a signal ends it (see runFleet) and returns the exit code.
    int run();

  private:
    enum class LoopState : std::uint8_t { running, leaving };
    using RollingOperation = supervisor::InstanceSupervisor::RollingOperation;

    void waitForEvents(const SignalSource& signals) const;
    LoopState handleSignals(SignalSource& signals);
    void startRolling(RollingOperation operation);
    void reloadDescription();
    rollout::Version storeDescribedVersion();
    void restoreAgentState();

    void findRunningInstance(int instance);
    bool attachServingInstance(int instance);
    void examineInstance(int instance);
    void onProcessExited(int instance);
    void checkReady(int instance);
    std::string prepareStart(int instance);

    // supervisor::SupervisorHost
    void start(int instance) override;
    void stop(int instance) override;
    void kill(int instance) override;
    void upgrade(int instance) override;
    // supervisor::SupervisorHost and rollout::AgentHost
    void log(std::string_view text) override { log_.info(text); }
    // rollout::AgentHost
    void persist(const rollout::AgentState& state) override;
    void install(int instance, const rollout::Version& version) override;

    void signal(int instance, int number);

    FleetDescription description_;
    logging::Logger log_;
    VersionStore versions_;
    supervisor::InstanceSupervisor supervisor_;
    rollout::RolloutAgent agent_;
    InstanceProcesses processes_;
    FleetStatus status_;
    VersionInstaller installer_;
    AgentStateStore agentStore_;
    AgentEndpoint endpoint_;
};

}  // namespace poppyscale::ctl
