// An emulated deployment for trying out a router by hand.
#pragma once

#include <string>
#include <vector>

#include "testbed/emulator/scenario.hpp"

namespace poppyscale::testbed {

// Runs the scenario's routers and servers without load or faults until interrupted, and prints each
// attempt that the servers receive, start and finish.
void serveInteractive(const Scenario& scenario, const std::string& program);

// Sends one request to a router: `words` is `get KEY` or `set KEY VALUE`. Returns the text of the
// response; throws RunError if there is none.
std::string sendInteractiveRequest(const std::string& address, const std::vector<std::string>& words,
                                   const std::string& requestClass);

}  // namespace poppyscale::testbed
