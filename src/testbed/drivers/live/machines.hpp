// Emulated machines. Each has a loopback address, a folder that is its disk, a zone, an agent
// (`poppyctl fleet`) and the routers that the agent runs. A coordinator (`poppyctl roll`) reaches
// the agents over emulated network paths.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "testbed/drivers/live/child_process.hpp"
#include "testbed/drivers/live/host_environment.hpp"
#include "testbed/drivers/live/network_path.hpp"
#include "testbed/emulator/scenario.hpp"

namespace poppyscale::testbed {

// Receives the events of the routers on machines; `at` is the time at which an event happened.
class MachineEvents {
  public:
    virtual ~MachineEvents() = default;
    virtual void onRouterUp(int router) = 0;
    virtual void onRouterStopping(int router, Nanos at) = 0;
    virtual void onRouterGone(int router, Nanos at) = 0;
    // A process is believed to begin or end an activity: `what` is the text of a `claims` entry of
    // the event log.
    virtual void onClaim(int router, Nanos at, const std::string& what) = 0;
};

struct MachinesOptions {
    std::string folder;
    std::string program;     // command line of the routers
    std::string ctlProgram;  // path of poppyctl
    // The program that a rollout of the change `same` installs; a copy of `program` if empty.
    std::string changedProgram;
    std::string operatorFile;         // contents of the operator's file for the routers
    std::string changedOperatorFile;  // the same with the rollout's settings
    std::uint64_t seed = 1;
    // The IP address of the first router of a machine; the machine's other routers have the next
    // ones.
    std::function<std::string(int router)> address;
    int firstPort = 0;
};

class Machines {
  public:
    Machines(const Scenario& scenario, const MachinesOptions& options, MachineEvents& events);
    // Kills everything that runs on the machines.
    ~Machines();

    void start();
    // Relays bytes on the network paths, reads the agents' events and looks for coordinators that
    // have exited. To be called often; `now` is on the steady clock, which all processes share.
    void runIteration(Nanos now);
    void injectFault(Nanos now, const FaultPlan& fault, int machine, bool begins);
    void kill(int router);
    bool isUp(int router) const { return routers_[static_cast<std::size_t>(router)].isUp; }
    void startRollout();
    // The coordinator's exit code; set once it has exited by itself.
    std::optional<int> rolloutExitCode() const { return rolloutExitCode_; }
    // The version that a router runs now: "before", "change" or "nothing".
    std::string runningVersion(int router) const;
    // The last line of the coordinators' log that states how a coordinator ended; empty if there is none.
    std::string coordinatorOutcome() const;

  private:
    struct MachineState {
        std::string folder, agentConfig;
        std::unique_ptr<HostEnvironment> hostEnvironment;  // null without clock and disk faults
        std::unique_ptr<ChildProcess> agent;
        int eventsFd = -1;  // connection to the agent while a poll for events is open; else -1
        std::string response;
        Nanos lastPollAt = 0;
        std::uint64_t lastEvent = 0;
        bool isDown = false;  // the machine or its agent is down because of a fault
        std::vector<pid_t> stoppedProcesses;
        Nanos asleepSince = 0;
    };
    struct RouterState {
        pid_t pid = -1;
        bool isUp = false;
        bool isAway = false;  // has ended or was told to stop, and has not become ready since
        bool runsChange = false;
    };
    int firstRouterOf(int machine) const { return machine * scenario_.machines.instances; }
    void startAgent(int machine);
    void startCoordinator(int machine);
    // The path to the agent of machine `to` from machine `from`, or from the operator's workstation
    // if `from` is below 0.
    NetworkPath& networkPath(int from, int to) {
        return *networkPaths_[static_cast<std::size_t>(from < 0 ? scenario_.machines.count : from)]
                             [static_cast<std::size_t>(to)];
    }
    std::string networkPathSocket(int from, int to) const;
    // Cuts or restores the paths between `machine` and the machines that the fault names.
    void setPartition(int machine, const FaultPlan& fault, bool begins);
    // All paths that lead to the machine or from it.
    void forEachNetworkPath(int machine, const std::function<void(NetworkPath&)>& apply);
    void setStopped(MachineState& state, int machine, Nanos now, bool begins);
    static bool needsHostEnvironment(const Scenario& scenario, int machine);
    void pollAgents(Nanos now, int machine);
    void onAgentEvent(int machine, const std::string& what, int router, Nanos at, pid_t pid,
                      const std::string& version);
    void signalAll(int machine, int signalNumber);
    std::vector<pid_t> processesOf(int machine) const;
    std::string prepareChange();
    std::string changeMarker() const;

    const Scenario& scenario_;
    MachinesOptions options_;
    MachineEvents& events_;
    std::vector<MachineState> machines_;
    std::vector<RouterState> routers_;
    struct Coordinator {
        std::unique_ptr<ChildProcess> process;
        int machine;  // -1: the operator's workstation
    };
    std::vector<Coordinator> coordinators_;
    // By source machine, the operator's workstation last, then by target machine.
    std::vector<std::vector<std::unique_ptr<NetworkPath>>> networkPaths_;
    int ended_ = 0;
    std::optional<int> rolloutExitCode_;
    // Machine of the coordinator that was killed last; -1: the workstation.
    int killedCoordinatorMachine_ = -1;
    std::string planChange_;     // the `[change]` part of the coordinators' plan
    std::string versionBefore_;  // the version that runs before the rollout
    std::vector<pid_t> seenProcesses_;
};

// All descendants of a process, without the process itself.
std::vector<pid_t> descendantsOf(pid_t process);

// Calls `run` in a child process and, however the child ends, kills all processes that it leaves
// behind. Returns the child's exit code, or 1 if a signal ended it.
int runInSupervisedChild(const std::function<int()>& run);

}  // namespace poppyscale::testbed
