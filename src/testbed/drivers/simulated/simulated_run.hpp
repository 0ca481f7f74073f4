// Runs a scenario in virtual time against the routing policy itself: hundreds of routers in one process,
// without sockets.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "testbed/emulator/event_log.hpp"
#include "testbed/emulator/scenario.hpp"

namespace poppyscale::testbed {

struct SimulatedRunResult {
    Nanos length = 0;        // length of the run in virtual time
    double wallSeconds = 0;  // real time that the run took
};

// A defect of a router version, which affects a share `size` of its requests or attempts.
struct RouterDefect {
    enum class Kind : std::uint8_t {
        none,
        rejects,           // rejects the request at once
        silent,            // never answers the request
        slower,            // delays every answer by `size` times the time that it took
        connections,       // closes the connection after an attempt instead of reusing it
        retriesNeedlessly  // sends a needless request to the origin after a successful answer
    };
    Kind kind = Kind::none;
    double size = 0;
};

// The routers of a run, with the metrics that the router program keeps. Some may run a defective version.
class SimulatedFleet {
  public:
    virtual ~SimulatedFleet() = default;
    virtual Nanos time() const = 0;
    virtual void schedule(Nanos when, std::function<void(Nanos)> callback) = 0;
    // The router's metrics, as the router program reports them; null while the router is down.
    virtual nlohmann::json metricsJson(int router) = 0;
    // Replaces the router's process, as an upgrade does: the old process still answers the requests that
    // it has accepted.
    virtual void replaceRouter(int router, bool isDefective) = 0;
    virtual void finish() = 0;  // ends the run after the current step
    virtual long requestCount() const = 0;
    virtual long affectedRequestCount() const = 0;  // requests that the defect affected
};

struct SimulatedRunOptions {
    std::function<void(Nanos)> progress;  // called with the time reached, about once per virtual second
    // Called before the first request. Routers keep metrics only if this is set.
    std::function<void(SimulatedFleet&)> onStart;
    std::function<void()> onEnd;  // called after the run, while the fleet still exists
    RouterDefect defect;          // of the routers that SimulatedFleet::replaceRouter() starts as defective
    // A known misconfiguration: changes the policy settings of every router, while the deployment and the
    // audit keep the right ones.
    std::function<void(PolicySettings&)> misconfigure = {};
};

SimulatedRunResult runSimulation(const Scenario& scenario, std::uint64_t seed, EventLog& eventLog,
                                 const SimulatedRunOptions& options = {});

}  // namespace poppyscale::testbed
