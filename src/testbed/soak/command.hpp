// `poppyscale_testbed soak`: runs ("days") with random faults and real router processes, seed after seed.
#pragma once

#include <cstdint>
#include <string>

namespace poppyscale::testbed::soak {

struct SoakOptions {
    std::string file = "scenarios/soak.toml";
    std::string program;
    std::string out;  // folder with one folder per seed for its log and reports; empty: keeps none
    std::uint64_t first = 1;
    int seeds = 1;
    int routers = 0;     // replaces the scenario's number unless 0
    double seconds = 0;  // replaces the scenario's length unless 0
};

// Prints for each seed how often each fault happened, the violated rules and the verdict. A day on which the
// testbed itself was late too often proves nothing and is reported as void. Returns the exit code: 0 if all
// days were kept, 1 if one was broken, 3 if one was void and none was broken.
int run(const SoakOptions& options);

}  // namespace poppyscale::testbed::soak
