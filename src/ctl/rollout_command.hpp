// `poppyctl roll PLAN`: coordinates a staged change over the agents of several machines.
#pragma once

#include <string>

namespace poppyscale::ctl {

struct RollCall {
    std::string plan;
    bool dry = false;     // how each instance would come by the change; nothing is begun
    bool status = false;  // how the agents' instances stand
    bool json = false;    // what is told, for programs; the log's lines too
};

// Went through, can't, usage, stopped and undone, stopped and not all undone.
constexpr int kWent = 0, kCant = 1, kRollUsage = 2, kUndone = 3, kNotUndone = 4;

int runRoll(const RollCall& call);

}  // namespace poppyscale::ctl
