// `poppyscale_testbed explore`: every order of events, up to stated bounds, and whether a known mistake is
// found.
#pragma once

#include <cstdint>
#include <string>

namespace poppyscale::testbed {

struct ExplorationCommand {
    std::string what;     // leases
    std::string without;  // a guard that is left out, or empty
    double seconds = 40;
    std::uint64_t seed = 1;
};

// True when nothing was found. Prints bounds, states, and the run that breaks something. Throws
// std::runtime_error for names that nobody knows.
bool explore(const ExplorationCommand& call);

}  // namespace poppyscale::testbed
