// `poppyctl roll PLAN`: coordinates a staged change over the agents of several machines.
#pragma once

#include <string>

namespace poppyscale::ctl {

struct RolloutOptions {
    std::string plan;
    bool dry = false;     // how each instance would come by the change; nothing is begun
    bool status = false;  // how the agents' instances stand
    bool json = false;    // what is told, for programs; the log's lines too
};

// Went through, can't, usage, stopped and undone, stopped and not all undone.
constexpr int kExitCompleted = 0, kExitNotPossible = 1, kExitUsage = 2, kExitRolledBack = 3,
              kExitRollbackIncomplete = 4;

int runRollout(const RolloutOptions& call);

}  // namespace poppyscale::ctl
