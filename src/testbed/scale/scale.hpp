// A scale run: many stub routers and some real ones poll a changing endpoint list with the
// product's list code over loopback sockets. The run measures the cost of this for each role.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"

namespace poppyscale::testbed::scale {

enum class EventKind : std::uint8_t {
    killDistributor,  // a distributor gets SIGKILL and is started again after `duration`
    stopDistributor,  // a distributor is stopped with SIGSTOP for `duration`
    restartRouters,   // a fraction of the stub routers drop their list and reconnect at once
    cutZone,          // the routers of one zone are cut off the network for `duration`; not built
    slowDiscovery,    // discovery delays each response by `delay`
    loseRack,         // a distributor and the routers of one zone are killed for `duration`; not built
    slowReader,       // a connection sends requests but never reads the responses
};

struct Event {
    EventKind kind = EventKind::killDistributor;
    Nanos at = 0;  // time since the start of the measured time
    Nanos duration = 0;
    Nanos delay = 0;
    double fraction = 0.1;  // fraction of the routers of each stub process
};

// Upper bounds that a run must stay within; 0: no bound.
struct Bounds {
    Nanos maxPropagationTime = 0;              // longest propagation time of a change to a router
    Nanos maxPropagationTimeDuringOutage = 0;  // the same for changes during a distributor outage
    double maxRouterBytesPerSecond = 0;
    double maxRouterProcessorShare = 0;  // share of one core
    double maxRouterMemoryKib = 0;
};

struct Options {
    int stubRouters = 0;
    int realRouters = 0;
    int caches = 0;
    int zones = 1;
    int distributors = 0;  // 0: routers poll discovery directly
    double changesPerSecond = 0;
    Nanos measuredDuration = 0;
    std::uint64_t seed = 1;
    std::string folder;  // folder for the run's files, which are kept after the run
    std::vector<Event> events;
    Bounds bounds;
    // Defective variant that the run has to detect: "apply" or "order"; empty: none.
    std::string defectiveVariant;
    std::function<void(std::string_view phase, Nanos at)> progress;  // about every second
};

// The measured figures: means over the measured time unless the name says otherwise. The
// `router...` figures are those of stub routers, or of real routers if there are no stub routers.
struct Result {
    int routers = 0;  // stub and real routers
    int caches = 0;
    // Propagation time: from the change at discovery until a router uses a list with it.
    double propagationP50Ms = 0;
    double propagationMaxMs = 0;
    double routerBytesPerSecond = 0;      // control traffic of one router, both directions
    double routerPeakBytesPerSecond = 0;  // largest figure of any router in any second
    double routerProcessorShare = 0;      // share of one core
    double routerMemoryKib = 0;
    double controlProcessorShare = 0;  // discovery and distributors together, of one core
    double controlMemoryKib = 0;
    double controlMessagesPerSecond = 0;  // responses of discovery and distributors
    std::uint64_t delivered = 0;          // (router, change) pairs where the change came into force
    std::uint64_t stale = 0;              // lists used at a router after a newer one
    std::uint64_t lost = 0;               // (router, change) pairs where it never came into force
    std::vector<std::string> violations;  // a message for each bound or rule that was violated

    // Costs of the real routers; the same as the `router...` figures if there are no stub routers.
    double realBytesPerSecond = 0;
    double realMessagesPerSecond = 0;  // responses to one router
    double realProcessorShare = 0;
    double realMemoryKib = 0;
    double routerMessagesPerSecond = 0;  // polls of one stub router
    // Longest propagation time of the changes made during a distributor outage.
    double propagationMaxMsDuringOutage = 0;
    double measuredSeconds = 0;
    int moduleMismatches = 0;  // stub routers whose module's servers differ from the list
};

// Starts poppyscale_testbed, poppyscale_stub_routers, poppyscale and
// poppyscale_endpoint_distributor from the folder of the running program. Throws std::runtime_error
// before it starts anything if the options are invalid, need something that is not built, or exceed
// the machine's memory or descriptors; also if a process ends unexpectedly or is not ready or
// stopped in time.
Result runScaleTest(const Options& options);

// The last line of a run's output: `name=value ...`.
std::string lineOf(const Result& result);
std::string jsonOf(const Result& result);

}  // namespace poppyscale::testbed::scale
