// Measures the cost of the decision module by the number of caches. The module runs alone in
// virtual time, with a host that completes each attempt at once, at one router's share of the
// target's peak request rate.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbed/scale/fit.hpp"

namespace poppyscale::testbed::scale {

struct ModuleOptions {
    int caches = 100;
    int zones = 10;
    int routers = 12'000;  // router count in the module's settings; has no other use
    int requests = 40'000;
    int changes = 300;
    std::uint64_t seed = 1;
    double requestsPerSecond = 1167;
};

// Times are processor time of the measuring thread, so that other load on the machine has little
// influence.
struct ModuleCost {
    double requestMicros = 0;    // arrival, choice and end of one request
    double changeMicros = 0;     // one changed entry, and its extra work in the next request
    double wholeListMillis = 0;  // a complete list and the first request, in an empty module
    double parseMillis = 0;      // parsing the same list from discovery's JSON
    double listBytes = 0;        // size of that JSON
    double listMemoryKib = 0;    // heap of the module after the list
    double usedMemoryKib = 0;    // heap of the module after the requests, with windows and hints
};

// Throws std::invalid_argument if the options are too small to measure anything.
ModuleCost measureModule(const ModuleOptions& options);

struct ModuleSeries {
    std::vector<int> sizes = {100, 200, 400, 600, 775};
    int seeds = 3;
    int predictionFactor = 4;  // predicted size / largest measured size; 0: no prediction
    ModuleOptions options;
};

// Prints the samples, each quantity's fit, and its prediction beside the measurement at that size.
// Returns whether every prediction held.
bool runModuleSeries(const ModuleSeries& series);

}  // namespace poppyscale::testbed::scale
