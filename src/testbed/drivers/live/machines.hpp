// Machines of the testbed: each a loopback address, a folder that is its disk, a zone, an agent (`poppyctl
// fleet`) and the routers that it runs; and a coordinator (`poppyctl roll`) that reaches the agents over the
// lab's ways.
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

// What machines tell of their routers, at the time at which it was so.
class MachineEvents {
  public:
    virtual ~MachineEvents() = default;
    virtual void onRouterUp(int router) = 0;
    virtual void onRouterStopping(int router, Nanos at) = 0;
    virtual void onRouterGone(int router, Nanos at) = 0;
    // What a process claims to do, and from when to when.
    virtual void onClaim(int router, Nanos at, const std::string& what) = 0;
};

struct MachinesOptions {
    std::string folder;
    std::string program;  // of the routers
    std::string ctl;      // poppyctl
    std::string changed;  // what a roll of `same` changes to, or empty
    std::string form;     // of the operator's file, and as the roll changes it
    std::string changedForm;
    std::uint64_t seed = 1;
    // Of the first router of a machine; the others' follow.
    std::function<std::string(int router)> address;
    int port = 0;
};

class Machines {
  public:
    Machines(const Scenario& scenario, const MachinesOptions& wanted, MachineEvents& host);
    // Ends everything that runs on them.
    ~Machines();

    void start();
    // Often: what the agents tell, what goes the ways, who has ended. `now` on the clock of all processes.
    void runIteration(Nanos now);
    void injectFault(Nanos now, const FaultPlan& fault, int machine, bool begins);
    void kill(int router);
    bool isUp(int router) const { return routers_[static_cast<std::size_t>(router)].up; }
    void startRollout();
    // Set once the coordinator has ended by itself: its exit code.
    std::optional<int> hasRolledOut() const { return hasRolledOut_; }
    // What each router runs now: "before", "change" or "nothing".
    std::string runs(int router) const;
    std::string lastOfCoordinator() const;

  private:
    struct Machine {
        std::string folder, file;
        std::unique_ptr<HostEnvironment> host;  // where its clock or its disk is to ail
        std::unique_ptr<ChildProcess> agent;
        int ask = -1;  // a connection to the agent's address
        std::string said;
        Nanos askedAt = 0;
        std::uint64_t after = 0;
        bool down = false;  // by a fault
        std::vector<pid_t> stopped;
        Nanos asleepSince = 0;
    };
    struct Router {
        pid_t pid = -1;
        bool up = false;
        bool isGone = false;
        bool changed = false;
    };
    int first(int machine) const { return machine * scenario_.machines.instances; }
    void startAgent(int machine);
    void startCoordinator(int machine);
    // The way from one machine, or from the operator's desk, to another machine's agent.
    NetworkPath& networkPath(int from, int to) {
        return *networkPaths_[static_cast<std::size_t>(from < 0 ? scenario_.machines.count : from)]
                             [static_cast<std::size_t>(to)];
    }
    std::string networkPathSocket(int from, int to) const;
    // From which `machine` is cut, and as each of them sees it.
    void cut(int machine, const FaultPlan& fault, bool begins);
    // All that lead to it or from it.
    void forEachNetworkPath(int machine, const std::function<void(NetworkPath&)>& what);
    void stopAll(Machine& one, int machine, Nanos now, bool begins);
    static bool needsHost(const Scenario& scenario, int machine);
    void pollAgents(Nanos now, int machine);
    void happened(int machine, const std::string& what, int router, Nanos at, pid_t pid,
                  const std::string& version);
    void endAll(int machine, int number);
    std::vector<pid_t> processesOf(int machine) const;
    std::string prepareChange();
    std::string marked() const;

    const Scenario& scenario_;
    MachinesOptions options_;
    MachineEvents& host_;
    std::vector<Machine> machines_;
    std::vector<Router> routers_;
    struct Coordinator {
        std::unique_ptr<ChildProcess> process;
        int machine;  // -1: at the operator's desk
    };
    std::vector<Coordinator> coordinators_;
    std::vector<std::vector<std::unique_ptr<NetworkPath>>>
        networkPaths_;  // by where from, the desk last, and where to
    int ended_ = 0;
    std::optional<int> hasRolledOut_;
    int coordinatorAt_ = -1;  // where the one was that was killed
    std::string change_;      // of the plan
    std::string before_;      // the version that runs before the roll
    std::vector<pid_t> seen_;
};

// All processes that descend from that one, itself not among them.
std::vector<pid_t> descendantsOf(pid_t process);

// Plays in a process of its own, and ends what that leaves behind, however it ended.
int guarded(const std::function<int()>& play);

}  // namespace poppyscale::testbed
