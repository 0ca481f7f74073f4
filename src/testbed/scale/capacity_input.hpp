// What the capacity table is computed from: the target that operators set, and the slopes that runs gave.
#pragma once

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace poppyscale::testbed::scale {

// All problems of a file, one "FILE:LINE: KEY: what is wrong" a line.
struct BadInput : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Target {
    std::string name;
    double routers = 0, sites = 0, caches = 0, regions = 0, zones = 0;
    double requestsPerSecond = 0, terabitsPerSecond = 0, objects = 0;
    double purgesPerSecond = 0, changesPerDay = 0;
    double failuresPerDay = 0, restartsPerDay = 0, partitionHours = 0;
    double purgeSeconds = 0, inForceSeconds = 0;
    double routerProcessorPercent = 0;  // of one core, for control
    double routerMegabytes = 0, routerKilobytesPerSecond = 0;
    double controlMachines = 0;
    // Not told by the operators; each is named as an assumption where it is used.
    double controlProcessorPercent = 0;  // of a core that one control process may use
    double descriptors = 0;              // of one process
    double connectionBytes = 0;          // that an idle connection holds
    double purgeBytes = 0, callBytes = 0;
    double releaseHours = 0, rackCaches = 0;

    double changesPerSecond() const;
    double routersOfZone() const { return routers / zones; }
    double cachesOfZone() const { return caches / zones; }
    double routersOfRegion() const { return routers / regions; }
    double requestsOfRouter() const { return requestsPerSecond / routers; }
    double requestsOfCache() const { return requestsPerSecond / caches; }
};

// Throws BadInput.
Target readTarget(std::string_view toml, const std::string& file);

// A figure that a run gave, as a line over what was varied.
struct Slope {
    std::string name, unit, of;
    double base = 0, value = 0;       // base + value x count
    double spread = 0;                // (largest - smallest) / median of the repeats, the worst size's
    double largest = 0;               // measured
    std::optional<double> atLargest;  // the median measured there
    bool used = true;                 // past `largest`; false where the prediction failed or none was tested
    std::string run;
};

struct KnownSlope {
    std::string_view name, unit, of, what;
};
const std::vector<KnownSlope>& knownSlopes();

using Slopes = std::map<std::string, Slope, std::less<>>;

// Throws BadInput: also for a slope without a run, in a unit of its own or of an unknown name.
Slopes readSlopes(std::string_view toml, const std::string& file);

}  // namespace poppyscale::testbed::scale
