// Draws the days of a fault soak: kinds and times of overlapping faults follow from a seed. Does no I/O.
#pragma once

#include <cstdint>

#include "testbed/emulator/scenario.hpp"

namespace poppyscale::testbed::soak {

// Returns the deployment and load of `base` with drawn faults of servers, the network, discovery, clients,
// router processes and their system calls. The same seed draws the same day.
Scenario drawScenario(const Scenario& base, std::uint64_t seed);

}  // namespace poppyscale::testbed::soak
