// A staged change in virtual time: the real coordinator and the real agents over the fleet of `sim`.
#pragma once

#include <cstdint>
#include <string>

#include "testbed/drivers/simulated/simulated_run.hpp"

namespace poppyscale::testbed {

struct RolloutRunOptions {
    std::uint64_t seed = 1;
    RouterDefect defect;
    std::string fault;       // "", "cache", "zone", "burst", "origin" or "drawn": in the middle of a stage
    double maxSlowHarm = 0;  // of the plan; 0: its default
    int routers = 300;
    int machines = 20;
    bool unstaged = false;   // all, one after another, and nobody looks
    bool isVerbose = false;  // what is seen and decided, on standard error
};

struct RolloutRunResult {
    bool stopped = false, rolledBack = false, completed = false;
    int stage = 0, stages = 0;
    int most = 0;  // instances that had the change at once
    int instances = 0;
    double harmed = 0;         // share of commands since the roll began that the harm was done to
    double detectedAfter = 0;  // s, from the first change
    double seconds = 0;        // of the whole
    std::string reason;
};

RolloutRunResult runSimulatedRollout(const RolloutRunOptions& wanted);

// Throws BadScenario for an unknown name.
RouterDefect::Kind defectNamed(const std::string& name);

}  // namespace poppyscale::testbed
