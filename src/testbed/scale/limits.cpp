#include "testbed/scale/limits.hpp"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <string>

#include "testbed/scale/processes.hpp"
#include "testbed/scale/scenario.hpp"

namespace poppyscale::testbed::scale {
namespace {

// Memory of each role in KiB, slightly above the measured figures.
constexpr double kStubRouterKib = 100;
constexpr double kStubRouterKibPerCache = 1.8;
constexpr double kRealRouterKib = 8'000;
constexpr double kRealRouterKibPerCache = 3;
constexpr double kControlKib = 50'000;  // discovery, or a distributor
constexpr double kControlKibPerCache = 2;
constexpr double kControlKibPerRouter = 40;
// Memory for records in the driver, per router and change.
constexpr double kRecordKibPerChange = 0.1;
constexpr int kReservedDescriptors = 64;

void validateEvent(const Options& options, const Event& event) {
    const std::string name(nameOf(event.kind));
    if (event.kind == EventKind::cutZone || event.kind == EventKind::loseRack)
        throw std::runtime_error("event " + name + ": this kind of event is not built");
    const bool needsDistributor =
        event.kind == EventKind::killDistributor || event.kind == EventKind::stopDistributor;
    if (needsDistributor && options.distributors == 0)
        throw std::runtime_error("event " + name + ": needs a distributor, but --distributors is 0");
    if (event.kind == EventKind::restartRouters && options.stubRouters == 0)
        throw std::runtime_error("event " + name + ": needs a stub router, but --routers is 0");
    if (event.at + event.duration > options.measuredDuration)
        throw std::runtime_error(
            fmt::format("event {}: ends at {:.1f} s, after the measured time of {:.1f} s", name,
                        static_cast<double>(event.at + event.duration) / 1e9,
                        static_cast<double>(options.measuredDuration) / 1e9));
}

}  // namespace

ResourceDemand resourceDemandOf(const Options& options) {
    const double caches = options.caches;
    const int routers = options.stubRouters + options.realRouters;
    const double changes = options.changesPerSecond * static_cast<double>(options.measuredDuration) / 1e9;
    ResourceDemand demand;
    demand.memoryKib += options.stubRouters * (kStubRouterKib + kStubRouterKibPerCache * caches);
    demand.memoryKib += options.realRouters * (kRealRouterKib + kRealRouterKibPerCache * caches);
    demand.memoryKib += (1 + options.distributors) * (kControlKib + kControlKibPerCache * caches);
    demand.memoryKib += routers * (kControlKibPerRouter + kRecordKibPerChange * changes);
    // Discovery has one listener per real router. A single distributor may have to serve all
    // routers while the others are lost.
    demand.descriptors = routers + options.realRouters + options.distributors + kReservedDescriptors;
    return demand;
}

void validateOptions(const Options& options) {
    if (options.stubRouters + options.realRouters < 1)
        throw std::runtime_error("a scale run needs at least one router (--routers or --real)");
    if (options.caches < 1)
        throw std::runtime_error("a scale run needs at least one cache server (--caches)");
    if (options.zones < 1) throw std::runtime_error("a scale run needs at least one zone (--zones)");
    if (options.measuredDuration <= 0)
        throw std::runtime_error("a scale run needs a measured time above 0 s (--seconds)");
    if (!options.defectiveVariant.empty() && options.defectiveVariant != "apply" &&
        options.defectiveVariant != "order")
        throw std::runtime_error("--without: unknown defective variant '" + options.defectiveVariant +
                                 "', expected apply or order");
    if (options.distributors > 0 && options.realRouters > 0)
        throw std::runtime_error(
            "--real with --distributors is not built: the version in force at a real router is read from its "
            "polls to discovery");
    for (const Event& event : options.events) validateEvent(options, event);
    if (options.stubRouters > 0) programPath("poppyscale_stub_routers");
    if (options.realRouters > 0) programPath("poppyscale");
    if (options.distributors > 0) programPath("poppyscale_endpoint_distributor");
    const ResourceDemand demand = resourceDemandOf(options);
    const double machineKib =
        static_cast<double>(::sysconf(_SC_PHYS_PAGES)) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1024;
    if (demand.memoryKib > machineKib / 2)
        throw std::runtime_error(
            fmt::format("the run would need {:.0f} MiB of memory, over half of the machine's {:.0f} MiB",
                        demand.memoryKib / 1024, machineKib / 1024));
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    if (static_cast<rlim_t>(demand.descriptors) > files.rlim_max)
        throw std::runtime_error(
            fmt::format("the run would need {} descriptors in one process, over its limit of {}",
                        demand.descriptors, files.rlim_max));
}

}  // namespace poppyscale::testbed::scale
