// Runs a scenario with real router processes; the emulated deployment is behind loopback sockets.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>

#include "testbed/emulator/event_log.hpp"
#include "testbed/emulator/scenario.hpp"

namespace poppyscale::testbed {

// The testbed, or a program that it needs, can't run.
struct RunError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct LiveResult {
    double lateShare = 0;   // share of tenths of a second in which the testbed was over 20 ms late
    double cpuSeconds = 0;  // CPU time of all routers that run at the end, in sum
    double memoryMb = 0;    // memory of the router that uses the most at the end
    int upgrades = 0;       // successful hot restarts
    int upgradesFailed = 0;
    bool wasInterrupted = false;
    std::map<std::string, std::uint64_t> processFaults;  // occurrences of each fault
};

struct LiveRunOptions {
    std::string program = "build/poppyscale";
    std::string ctlProgram;  // path of poppyctl, which machines need; beside `program` if empty
    // The program that a rollout of the change `same` installs; a copy of `program` if empty.
    std::string changedProgram;
    // The program accepts --operator, so that it can be requested to upgrade.
    bool acceptsOperatorFile = false;
    std::string folder;  // folder for configurations and the routers' logs; empty: a temporary one
    // If set, the run has no load and lasts until interrupted (`poppyscale_testbed serve`). Called
    // once all routers are up.
    std::function<void(const std::string& firstRouter)> onRoutersReady;
    std::function<void(Nanos)> progress;  // called about once a second of the run
};

LiveResult runLive(const Scenario& scenario, std::uint64_t seed, EventLog& eventLog,
                   const LiveRunOptions& options);

// Tolerance for the audit: events from two sockets may be read in the wrong order by this much.
constexpr Nanos kLiveTolerance = 25 * kMillisecond;

}  // namespace poppyscale::testbed
