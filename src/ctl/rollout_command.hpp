// `poppyctl roll PLAN`: coordinates a rollout over the agents of several machines.
#pragma once

#include <string>

namespace poppyscale::ctl {

struct RolloutOptions {
    std::string plan;          // path of the plan
    bool isDryRun = false;     // only shows by which means each instance would get the change
    bool showsStatus = false;  // only shows the state of the agents' instances
    bool asJson = false;       // prints and logs JSON
};

constexpr int kExitCompleted = 0;
constexpr int kExitNotPossible = 1;
constexpr int kExitUsage = 2;
constexpr int kExitRolledBack = 3;          // stopped; all instances run their previous version
constexpr int kExitRollbackIncomplete = 4;  // stopped; some instances could not be rolled back

// Runs the rollout to its end, or a dry run or status query according to the options. Returns one of the exit
// codes. SIGTERM or SIGINT rolls the change back; a second signal ends the coordinator at once.
int runRollout(const RolloutOptions& options);

}  // namespace poppyscale::ctl
