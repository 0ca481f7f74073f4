// The process that supervises the fleet of one machine.
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
// InstanceSupervisor and RolloutAgent, and carries out the actions that they request. All decisions are the
// controllers'.
//
// Owns the controllers and everything through which they act. The instances' processes outlive it. The caller
// must hold the folder's lock during its lifetime.
class FleetHost : private supervisor::SupervisorHost, private rollout::AgentHost {
  public:
    // Stores the version that the description names, listens at the agent's socket, and resumes a rollout in
    // which the previous process took part. Throws std::runtime_error if it can't listen.
    explicit FleetHost(const FleetDescription& description);

    // Runs until it is ended by a signal (see runFleet) and returns the exit code.
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
