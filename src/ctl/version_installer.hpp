// Brings the instances of a fleet to another version.
#pragma once

#include <future>
#include <optional>
#include <string>
#include <vector>

#include "ctl/fleet_description.hpp"
#include "ctl/fleet_status.hpp"
#include "ctl/instance_client.hpp"
#include "ctl/instance_processes.hpp"
#include "ctl/version_store.hpp"
#include "rollout/rollout_agent.hpp"
#include "supervisor/instance_supervisor.hpp"

namespace poppyscale::ctl {

// Installs versions on running instances, each by the mildest means that will do: a reload of the
// configuration, an upgrade that hands the sockets to a new process, or a restart. There are two kinds: an
// upgrade within a rolling operation of the supervisor, and an install that the rollout's agent asked for.
//
// Guarantees: never blocks on an instance or on the disk, as that work runs on threads of its own; each
// install ends with one RolloutAgent::onInstalled, each upgrade with one InstanceSupervisor::onUpgraded; an
// instance whose files could not be written is not restarted.
//
// Owns the work in progress, and waits for it at its own end. All that is passed to the constructor must
// outlive it; it is used from the loop's thread alone.
class VersionInstaller {
  public:
    VersionInstaller(const FleetDescription& description, const VersionStore& versions,
                     supervisor::InstanceSupervisor& supervisor, rollout::RolloutAgent& agent,
                     InstanceProcesses& processes, FleetStatus& status);

    // Begins an upgrade of the instance to that program (a path).
    void startUpgrade(int instance, std::string program);
    // Begins to install a version on the instance, whatever it runs now.
    void startInstall(int instance, const rollout::Version& version);
    // An install that the agent asked for is in progress.
    bool isInstalling(int instance) const { return at(instance).install.has_value(); }

    // What the work on an instance means for its process in this iteration of the loop.
    enum class Progress : std::uint8_t {
        busy,  // the process may be replaced at any moment: it is not to be examined
        idle   // no work runs on a thread
    };
    // Takes the result of the work, if it has ended.
    Progress collectResult(int instance);
    // Ends the install whose instance was restarted, once that is ready with the right program or has failed.
    // To be called after the instance's process has been examined.
    void checkRestart(int instance);

  private:
    struct ApplyResult {
        std::string problem;
        bool needsRestart = false;
        pid_t successorPid = 0;  // the process that has taken over; 0: none
    };
    struct Install {
        enum class State : std::uint8_t { applying, restarting };
        rollout::Version version;
        State state = State::applying;
        std::future<ApplyResult> result;  // while applying
        int restartsBefore = 0;           // while restarting: unexpected exits until then
        Nanos deadline = 0;               // while restarting
    };
    struct Instance {
        std::future<UpgradeResult> upgrade;  // within a rolling operation
        std::optional<Install> install;      // for the rollout's agent
    };
    Instance& at(int instance) { return instances_[static_cast<std::size_t>(instance)]; }
    const Instance& at(int instance) const { return instances_[static_cast<std::size_t>(instance)]; }

    static ApplyResult apply(const VersionStore& versions, const rollout::Version& version,
                             const FleetDescription& description, int instance);
    static ApplyResult applyToProcess(const VersionStore& versions, const rollout::Version& version,
                                      const std::string& socket);
    void onApplied(int instance, const ApplyResult& result);
    bool needsRestart(int instance, const ApplyResult& result) const;
    void restart(int instance);
    void finishInstall(int instance, const std::string& problem);
    bool runsProgram(int instance, const std::string& digest) const;

    const FleetDescription& description_;
    const VersionStore& versions_;
    supervisor::InstanceSupervisor& supervisor_;
    rollout::RolloutAgent& agent_;
    InstanceProcesses& processes_;
    FleetStatus& status_;
    std::vector<Instance> instances_;
};

}  // namespace poppyscale::ctl
