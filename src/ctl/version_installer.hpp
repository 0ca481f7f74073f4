// Installs another version on the instances of a fleet.
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

// Installs versions on running instances, by the least disruptive means that suffices: a reload of the
// configuration, an upgrade (a hot restart with a given program), or a restart. Does two kinds of work: an
// upgrade within a rolling operation of the supervisor, and an install that the rollout's agent requests.
//
// Guarantees: never blocks on an instance or on the disk, as that work runs on separate threads; each install
// ends with one RolloutAgent::onInstalled, each upgrade with one InstanceSupervisor::onUpgraded; an instance
// whose files could not be written is not restarted.
//
// Owns the work in progress and waits for it in the destructor. All constructor arguments must outlive it.
// Used only on the loop's thread.
class VersionInstaller {
  public:
    VersionInstaller(const FleetDescription& description, const VersionStore& versions,
                     supervisor::InstanceSupervisor& supervisor, rollout::RolloutAgent& agent,
                     InstanceProcesses& processes, FleetStatus& status);

    // Begins an upgrade of the instance to `program`, a path.
    void startUpgrade(int instance, std::string program);
    // Begins to install a version on the instance, whichever version it runs now.
    void startInstall(int instance, const rollout::Version& version);
    // True while an install that the agent requested is in progress.
    bool isInstalling(int instance) const { return at(instance).install.has_value(); }

    // Whether the caller may check the instance's process in this iteration of the loop.
    enum class Progress : std::uint8_t {
        busy,  // no: the process may be replaced at any moment
        idle   // yes: no work on the instance runs on another thread
    };
    // Takes the result of the work on the instance, if the work has ended.
    Progress collectResult(int instance);
    // Ends an install that restarts its instance, once the instance is ready or the restart has failed. To be
    // called after the instance's process has been checked.
    void checkRestart(int instance);

  private:
    struct ApplyResult {
        std::string problem;        // why the version could not be applied; empty: no failure
        bool needsRestart = false;  // the files are written, but only a restart applies them
        pid_t successorPid = 0;     // the process that has taken over; 0: none
    };
    struct Install {
        enum class State : std::uint8_t { applying, restarting };
        rollout::Version version;
        State state = State::applying;
        std::future<ApplyResult> result;  // valid while applying
        int exitsBefore = 0;              // while restarting: unexpected exits before the restart
        Nanos deadline = 0;               // while restarting: when the restart counts as failed
    };
    struct Instance {
        // Upgrade by a rolling operation; valid while in progress.
        std::future<UpgradeResult> upgrade;
        std::optional<Install> install;  // requested by the rollout's agent; set while in progress
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
