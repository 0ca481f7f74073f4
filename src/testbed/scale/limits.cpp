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

// Somewhat more than what was measured of each role, in KiB.
constexpr double kStubRouterDemand = 100;
constexpr double kStubRouterPerCache = 1.8;
constexpr double kRealRouter = 8'000;
constexpr double kRealRouterPerCache = 3;
constexpr double kControl = 50'000;  // discovery, or a distributor
constexpr double kControlPerCache = 2;
constexpr double kControlPerRouter = 40;
constexpr double kRecordPerChange = 0.1;  // in the driver, of a router
constexpr int kOwnDescriptors = 64;

void refuseEvent(const Options& options, const Event& event) {
    const std::string name(nameOf(event.kind));
    if (event.kind == EventKind::cutZone || event.kind == EventKind::loseRack)
        throw std::runtime_error("event " + name + ": not built");
    const bool needsDistributor =
        event.kind == EventKind::killDistributor || event.kind == EventKind::stopDistributor;
    if (needsDistributor && options.distributors == 0)
        throw std::runtime_error("event " + name + ": there is no distributor in this run");
    if (event.kind == EventKind::restartRouters && options.stubRouters == 0)
        throw std::runtime_error("event " + name + ": there is no hollow router in this run");
    if (event.at + event.length > options.length)
        throw std::runtime_error(fmt::format("event {}: ends at {:.1f} s, after the measured {:.1f} s", name,
                                             static_cast<double>(event.at + event.length) / 1e9,
                                             static_cast<double>(options.length) / 1e9));
}

}  // namespace

Demand demandOf(const Options& options) {
    const double caches = options.caches;
    const int routers = options.stubRouters + options.realRouters;
    const double changes = options.changesPerSecond * static_cast<double>(options.length) / 1e9;
    Demand demand;
    demand.memoryKib += options.stubRouters * (kStubRouterDemand + kStubRouterPerCache * caches);
    demand.memoryKib += options.realRouters * (kRealRouter + kRealRouterPerCache * caches);
    demand.memoryKib += (1 + options.distributors) * (kControl + kControlPerCache * caches);
    demand.memoryKib += routers * (kControlPerRouter + kRecordPerChange * changes);
    // Discovery listens for each real router apart; a distributor may be left with all routers.
    demand.descriptors = routers + options.realRouters + options.distributors + kOwnDescriptors;
    return demand;
}

void rejectImpossible(const Options& options) {
    if (options.stubRouters + options.realRouters < 1) throw std::runtime_error("a run needs a router");
    if (options.caches < 1) throw std::runtime_error("a run needs a cache server");
    if (options.zones < 1) throw std::runtime_error("a run needs a zone");
    if (options.length <= 0) throw std::runtime_error("a run needs some seconds");
    if (!options.without.empty() && options.without != "apply" && options.without != "order")
        throw std::runtime_error("no known mistake is called '" + options.without + "': apply, order");
    if (options.distributors > 0 && options.realRouters > 0)
        throw std::runtime_error(
            "real routers behind distributors: not built, since what is in force there is read from their "
            "calls to discovery");
    for (const Event& event : options.events) refuseEvent(options, event);
    if (options.stubRouters > 0) programPath("poppyscale_stub_routers");
    if (options.realRouters > 0) programPath("poppyscale");
    if (options.distributors > 0) programPath("poppyscale_endpoint_distributor");
    const Demand demand = demandOf(options);
    const double machineKib =
        static_cast<double>(::sysconf(_SC_PHYS_PAGES)) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1024;
    if (demand.memoryKib > machineKib / 2)
        throw std::runtime_error(
            fmt::format("this run would take {:.0f} MiB of memory, over half of the machine's {:.0f} MiB",
                        demand.memoryKib / 1024, machineKib / 1024));
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    if (static_cast<rlim_t>(demand.descriptors) > files.rlim_max)
        throw std::runtime_error(fmt::format("this run would take {} descriptors of a process, over its {}",
                                             demand.descriptors, files.rlim_max));
}

}  // namespace poppyscale::testbed::scale
