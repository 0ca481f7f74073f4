// `poppyscale_testbed soak`: drawn days of overlapping faults round real routers, one seed after the other.
#pragma once

#include <cstdint>
#include <string>

namespace poppyscale::testbed::soak {

struct SoakOptions {
    std::string file = "scenarios/soak.toml";
    std::string program;
    std::string out;  // a folder for each seed's log and reports; none if empty
    std::uint64_t first = 1;
    int seeds = 1;
    int routers = 0;     // instead of the scenario's number
    double seconds = 0;  // instead of its length
};

// Prints a line for each seed: its verdict, what was broken and how often each fault happened. A day on which
// the testbed itself ran late proves nothing and is told as void. 0 when every day was kept, 1 when one was
// broken, 3 when one was void and none broken.
int run(const SoakOptions& wanted);

}  // namespace poppyscale::testbed::soak
