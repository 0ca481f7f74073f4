// The input of the capacity table: the operators' target and the slopes measured by runs.
#pragma once

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace poppyscale::testbed::scale {

// All problems of a file, one per line: "FILE:LINE: KEY: what is wrong".
struct CapacityInputError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Target {
    std::string name;
    double routers = 0, sites = 0, caches = 0, regions = 0, zones = 0;
    double requestsPerSecond = 0, terabitsPerSecond = 0, objects = 0;
    double purgesPerSecond = 0, changesPerDay = 0;
    double failuresPerDay = 0, restartsPerDay = 0, partitionHours = 0;
    double maxPurgeSeconds = 0, maxPropagationSeconds = 0;
    // The three `maxRouter...` limits are for control work; the first is in percent of one core.
    double maxRouterProcessorPercent = 0;
    double maxRouterMegabytes = 0, maxRouterKilobytesPerSecond = 0;
    double controlMachines = 0;
    // Assumptions that the operators did not state, marked as assumed in the table's budgets.
    double maxControlProcessorPercent = 0;  // limit of one control process, of one core
    double maxDescriptors = 0;              // limit of one process
    double connectionBytes = 0;             // memory of an idle connection
    double purgeBytes = 0, callBytes = 0;
    double releaseHours = 0, rackCaches = 0;

    double changesPerSecond() const;
    double routersPerZone() const { return routers / zones; }
    double cachesPerZone() const { return caches / zones; }
    double routersPerRegion() const { return routers / regions; }
    double requestsPerRouter() const { return requestsPerSecond / routers; }
    double requestsPerCache() const { return requestsPerSecond / caches; }
};

// Throws CapacityInputError.
Target readTarget(std::string_view toml, const std::string& file);

// A measured cost as a linear function of the quantity that the runs varied.
struct Slope {
    std::string name, unit, variedQuantity;  // `variedQuantity` is "of" in the file
    double base = 0, valuePerCount = 0;      // cost = base + valuePerCount x count
    double spread = 0;                       // largest (max - min) / median of a size's repeats
    double largestSize = 0;                  // largest measured size
    std::optional<double> atLargest;         // the median measured at `largestSize`
    // Whether the line may be used beyond `largestSize`: false if its prediction failed or was not
    // tested.
    bool canExtrapolate = true;
    std::string run;
};

struct KnownSlope {
    std::string_view name, unit, variedQuantity, what;
};
const std::vector<KnownSlope>& knownSlopes();

using Slopes = std::map<std::string, Slope, std::less<>>;

// Throws CapacityInputError, also for a slope without a run, with an unknown name, or with another
// unit or varied quantity than the known slope of that name.
Slopes readSlopes(std::string_view toml, const std::string& file);

}  // namespace poppyscale::testbed::scale
