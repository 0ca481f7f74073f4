// The resources that a scale run needs, estimated before any process is started.
#pragma once

#include "testbed/scale/scale.hpp"

namespace poppyscale::testbed::scale {

struct ResourceDemand {
    double memoryKib = 0;
    int descriptors = 0;  // file descriptors of the process that needs the most
};

ResourceDemand resourceDemandOf(const Options& options);

// Throws std::runtime_error if the options are invalid, need something that is not built, or if the
// run would need over half of the machine's memory or more descriptors than a process may open.
void validateOptions(const Options& options);

}  // namespace poppyscale::testbed::scale
