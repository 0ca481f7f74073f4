// `poppyctl roll PLAN`: coordinates a rollout over the agents of several machines.
#pragma once

#include <string>

namespace poppyscale::ctl {

struct RolloutOptions {
    std::string plan;     // path of the plan
    bool dry = false;     // only shows by which means each instance would get the change
    bool status = false;  // only shows the state of the agents' instances
    bool json = false;    // prints JSON, and logs in JSON
};

constexpr int kExitCompleted = 0;
constexpr int kExitNotPossible = 1;
constexpr int kExitUsage = 2;
constexpr int kExitRolledBack = 3;          // stopped, and all instances run what they ran before
constexpr int kExitRollbackIncomplete = 4;  // stopped, and some instances could not be rolled back

// Runs the rollout to its end, or shows what the options ask for. Returns one of the exit codes. SIGTERM or
// SIGINT rolls the change back; a second one ends the coordinator at once.
int runRollout(const RolloutOptions& options);

}  // namespace poppyscale::ctl
