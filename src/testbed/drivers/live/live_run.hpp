// The world behind real loopback sockets, round real router processes.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>

#include "testbed/emulator/event_log.hpp"
#include "testbed/emulator/scenario.hpp"

namespace poppyscale::testbed {

// The testbed or the program that it plays could not be brought to run.
struct RunError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct LiveResult {
    double latePart = 0;    // of all tenths of a second: those in which the testbed was over 20 ms late
    double cpuSeconds = 0;  // of all routers that lived to the end
    double memoryMb = 0;    // of the one with the most, at the end
    int upgrades = 0;       // that were done
    int upgradesFailed = 0;
    bool interrupted = false;
    std::map<std::string, std::uint64_t> processFaults;  // how often each happened
};

struct LiveRunOptions {
    std::string program = "build/poppyscale";
    std::string ctl;        // poppyctl, for machines: beside the program if empty
    std::string changed;    // the program that a roll of `same` changes to; a copy of `program` if empty
    bool operated = false;  // the program takes --operator, so that it can be asked to upgrade
    std::string folder;     // for configurations and the routers' own logs
    // Without clients of its own, until interrupted: `poppyscale_testbed serve`. Called once all routers are
    // up.
    std::function<void(const std::string& firstRouter)> serve;
    std::function<void(Nanos)> progress;
};

LiveResult runLive(const Scenario& scenario, std::uint64_t seed, EventLog& ledger,
                   const LiveRunOptions& wanted);

// By how much what two sockets tell may be read in the wrong order, for the audit.
constexpr Nanos kLiveTolerance = 25 * kMillisecond;

}  // namespace poppyscale::testbed
