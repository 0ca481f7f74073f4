// A scale run: many stub routers and some real ones before a list that changes, through the real list code
// and real sockets on loopback, and what that costs each role.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"

namespace poppyscale::testbed::scale {

enum class EventKind : std::uint8_t {
    killDistributor,  // SIGKILL, started again after `length`
    stopDistributor,  // SIGSTOP for `length`
    restartRouters,   // a part of the stub routers forget their list and connect anew at once
    cutZone,          // the routers of one zone reach nothing for `length`
    slowDiscovery,    // each answer of discovery is held back for `delay`
    loseRack,         // a distributor is killed together with the routers of one zone, for `length`
    slowReader,       // a connection that asks and never reads its answers
};

struct Event {
    EventKind kind = EventKind::killDistributor;
    Nanos at = 0;  // since the start of the measured time
    Nanos length = 0;
    Nanos delay = 0;
    double part = 0.1;  // of the routers
};

// Bounds that a run has to keep; 0 leaves one out.
struct Bounds {
    Nanos inForce = 0;             // the slowest router and change
    Nanos inForceThroughLoss = 0;  // the same while a distributor is lost
    double routerBytesPerSecond = 0;
    double routerProcessorShare = 0;  // of one core
    double routerMemoryKib = 0;
};

struct Options {
    int stubRouters = 0;
    int realRouters = 0;
    int caches = 0;
    int zones = 1;
    int distributors = 0;  // 0: routers ask discovery itself
    double changesPerSecond = 0;
    Nanos length = 0;
    std::uint64_t seed = 1;
    std::string folder;  // for the run's files; kept
    std::vector<Event> events;
    Bounds bounds;
    std::string without;  // a known mistake that has to be found: "apply" or "order"
    std::function<void(std::string_view phase, Nanos at)> progress;  // about every second
};

// What was measured; means over the measured time unless a name says otherwise.
struct Result {
    int routers = 0;  // hollow and real
    int caches = 0;
    double inForceP50Ms = 0;  // from the moment discovery had a change until a router decides by it
    double inForceMaxMs = 0;
    double routerBytesPerSecond = 0;      // control bytes in and out of one router
    double routerPeakBytesPerSecond = 0;  // the worst router's worst second
    double routerProcessorShare = 0;      // of one core
    double routerMemoryKib = 0;
    double controlProcessorShare = 0;  // discovery and distributors together, of one core
    double controlMemoryKib = 0;
    double controlMessagesPerSecond = 0;  // answers of discovery and distributors
    std::uint64_t delivered = 0;          // pairs of a router and a change that came into force there
    std::uint64_t stale = 0;              // versions that fell at a router
    std::uint64_t lost = 0;               // pairs of a router and a change that never came into force
    std::vector<std::string> broken;      // bounds that were not kept, each in words

    // Beside the above, where they are of stub routers if there are any: what real routers cost.
    double realBytesPerSecond = 0;
    double realMessagesPerSecond = 0;  // answers to one router
    double realProcessorShare = 0;
    double realMemoryKib = 0;
    double routerMessagesPerSecond = 0;  // calls of one stub router
    double inForceThroughLossMaxMs = 0;  // of changes made while a distributor was lost
    double measuredSeconds = 0;
    int modulesDisagreeing = 0;  // stub routers whose decision module held other servers than it was handed
};

// Throws std::runtime_error, before anything is started, for what the machine can't hold and for what is not
// built. Starts poppyscale_testbed, poppyscale_stub_routers, poppyscale and poppyscale_endpoint_distributor
// of the caller's own folder.
Result runScaleTest(const Options& options);

// `name=value ...`, the last line of a run.
std::string lineOf(const Result& result);
std::string jsonOf(const Result& result);

}  // namespace poppyscale::testbed::scale
