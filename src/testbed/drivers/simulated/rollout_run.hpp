// A staged rollout in virtual time: the real rollout controller and agents over a simulated fleet.
#pragma once

#include <cstdint>
#include <string>

#include "testbed/drivers/simulated/simulated_run.hpp"

namespace poppyscale::testbed {

struct RolloutRunOptions {
    std::uint64_t seed = 1;
    RouterDefect defect;
    // A fault during a stage that is unrelated to the change: "" (none), "cache", "zone", "burst", "origin"
    // or "drawn" (a random one of the four).
    std::string fault;
    double maxSlowHarm = 0;  // threshold of the plan; 0: its default
    int routers = 300;
    int machines = 20;
    bool isUnstaged = false;  // replaces all routers one after another, without comparing
    bool isVerbose = false;   // prints comparisons and decisions on standard error
};

struct RolloutRunResult {
    bool stopped = false, rolledBack = false, completed = false;
    int stage = 0, stages = 0;
    int maxChangedCount = 0;  // instances that had the change at the same time, at most
    int instances = 0;
    double affectedShare = 0;     // share of the requests since the rollout began that the defect affected
    double detectionSeconds = 0;  // time from the first change to the stop
    double seconds = 0;           // length of the whole run in virtual time
    std::string reason;
};

RolloutRunResult runSimulatedRollout(const RolloutRunOptions& options);

// Throws ScenarioError for an unknown name.
RouterDefect::Kind parseRouterDefect(const std::string& name);

}  // namespace poppyscale::testbed
