// A deployment to try a router with by hand.
#pragma once

#include <string>
#include <vector>

#include "testbed/emulator/scenario.hpp"

namespace poppyscale::testbed {

// Plays the scenario's servers round its routers, without load or faults, until interrupted; says what comes.
void serveByHand(const Scenario& scenario, const std::string& program);

// Asks a router for a key, or writes it; the answer in words. Throws CannotRun when there is none.
std::string askByHand(const std::string& address, const std::vector<std::string>& words,
                      const std::string& requestClass);

}  // namespace poppyscale::testbed
