// The program by its command line, as `main` and the lab's harmful versions start it.
#pragma once

#include "process/router_process.hpp"

namespace poppyscale::process {

// The exit code: 0, 1 for what can't be used, 2 for a command line that is none.
int runCommandLine(int argc, char** argv, const MakeDispatcher& makeCore = {});

}  // namespace poppyscale::process
