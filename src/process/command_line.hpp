// The program's command line, shared by `main` and the testbed's defective variants.
#pragma once

#include "process/router_process.hpp"

namespace poppyscale::process {

// Runs the program and returns its exit code: 0 on success, 1 for an error at the start or an
// unusable configuration, 2 for a malformed command line. `makeDispatcher` is set by defective
// variants; when empty, the router's own dispatcher is used.
int runCommandLine(int argc, char** argv, const MakeDispatcher& makeDispatcher = {});

}  // namespace poppyscale::process
