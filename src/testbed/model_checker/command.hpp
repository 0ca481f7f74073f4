// The command `poppyscale_testbed explore`: the model checker over all orders of events up to stated bounds.
#pragma once

#include <cstdint>
#include <string>

namespace poppyscale::testbed {

struct ExplorationCommand {
    std::string model;              // leases
    std::string disabledSafeguard;  // empty: none
    double seconds = 40;
    std::uint64_t seed = 1;
};

// Returns true if no violation was found. Prints the bounds, the number of states, and the run that leads to
// a violation. Throws std::runtime_error for an unknown model or safeguard.
bool explore(const ExplorationCommand& command);

}  // namespace poppyscale::testbed
