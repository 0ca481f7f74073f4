// The program by its command line, as `main` and the testbed's defective variants start it.
#pragma once

#include "process/router_process.hpp"

namespace poppyscale::process {

// Runs the program and returns its exit code: 0, 1 for what can't be used, 2 for a malformed command line.
// `makeDispatcher` is a defective variant's; empty for the router's own.
int runCommandLine(int argc, char** argv, const MakeDispatcher& makeDispatcher = {});

}  // namespace poppyscale::process
