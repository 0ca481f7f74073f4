// Days of a randomized fault soak: which faults strike when is drawn from a seed, and they overlap. No I/O.
#pragma once

#include <cstdint>

#include "testbed/emulator/scenario.hpp"

namespace poppyscale::testbed::soak {

// The base's deployment and load with faults of its own choice: of servers, the network, discovery, clients,
// the routers' life and their system calls, some at a time. The same seed draws the same day.
Scenario drawScenario(const Scenario& base, std::uint64_t seed);

}  // namespace poppyscale::testbed::soak
