// What a scale run would take of the machine, reckoned before anything is started.
#pragma once

#include "testbed/scale/scale.hpp"

namespace poppyscale::testbed::scale {

struct Demand {
    double memoryKib = 0;
    int descriptors = 0;  // of the process that holds most
};

Demand demandOf(const Options& options);

// Throws std::runtime_error for options that make no sense, for what is not built, and where the run would
// take over half of the machine's memory or more descriptors than a process may have.
void rejectImpossible(const Options& options);

}  // namespace poppyscale::testbed::scale
