// What the decision module costs by the number of caches: the module alone, with a host that answers each
// attempt at once, in virtual time at one router's part of the target's peak.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbed/scale/fit.hpp"

namespace poppyscale::testbed::scale {

struct ModuleOptions {
    int caches = 100;
    int zones = 10;
    int routers = 12'000;  // the module's terms name them
    int requests = 40'000;
    int changes = 300;
    std::uint64_t seed = 1;
    double requestsPerSecond = 1167;
};

// Processor time is the thread's own, so that other jobs on the machine count little.
struct ModuleCost {
    double requestMicros = 0;    // arrival, choice and end of one request
    double changeMicros = 0;     // one entry that changed, with the survey that the next request makes for it
    double wholeListMillis = 0;  // a list taken in by an empty module, with the first survey
    double parseMillis = 0;      // the same list out of discovery's JSON
    double listBytes = 0;        // of that JSON
    double listMemoryKib = 0;    // that the module holds after the list
    double usedMemoryKib = 0;    // and after the requests: windows and hints too
};

// Throws std::invalid_argument for what can't be measured.
ModuleCost measureModule(const ModuleOptions& options);

struct ModuleSeries {
    std::vector<int> sizes = {100, 200, 400, 600, 775};
    int seeds = 3;
    int factor = 4;  // of the largest size, for the prediction; 0 leaves it out
    ModuleOptions options;
};

// Prints the samples, each quantity's fit and its prediction beside what was measured there. True where every
// prediction held.
bool measureSeries(const ModuleSeries& series);

}  // namespace poppyscale::testbed::scale
