// A scenario, as a TOML file in scenarios/ states it: the deployment, the load, the faults and the
// bounds that must hold.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "policy/settings.hpp"

namespace poppyscale::testbed {

// A scenario that can't be run. The message is "FILE:LINE: KEY: what is wrong", one line per
// problem.
struct ScenarioError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct RequestClassPlan {
    RequestClass requestClass;
    Nanos timeout = 0;  // how long a client waits for an answer, all tries together
    double share = 0;   // weight among the request classes
    Nanos work = 0;     // mean, on one core of speed 1
    double spread = 0;  // standard deviation of the work, as a share of the mean
    bool write = false;
};

struct TenantPlan {
    std::string name;
    double share = 0;  // weight among the tenants
    double quota = 0;  // requests per second
};

// A type of cache server. The servers of all types are assigned to the zones in turn.
struct CachePlan {
    std::string name;
    int count = 0;
    double cores = 1;
    double speed = 1;
    int queueLimit = 0;  // requests that may wait besides those that run
    int maxKeys = 0;     // beyond this the least recently used key is evicted
    int maxConnections = 0;
    Nanos handshakeWork = 0;  // work of accepting a new connection
    double errorShare = 0;    // share of requests that fail without any fault
};

struct OriginPlan {
    double cores = 1;
    double speed = 1;
    int queueLimit = 0;
    int maxConnections = 0;
    double queueSlowdown = 0;     // share added to the duration of a request that starts with a full queue
    double overloadMultiple = 0;  // work beyond this multiple of its capacity stops the origin; 0: never
    Nanos outageDuration = 0;     // how long the origin stays down after such a stop
    double readWorkFactor = 1;    // work of a fetch as a multiple of the request class's work
};

// Cache servers that have just started are cold: they have a reduced capacity, and too much work
// stops them.
struct SlowStartPlan {
    double initialFraction = 1;  // share of its capacity that a cache server starts with
    Nanos rampDuration = 0;      // time until the full capacity is reached
    // A cold cache server stops when the work that arrives within `overloadWindow` exceeds this
    // multiple of its present capacity.
    double overloadMultiple = 1;
    Nanos overloadWindow = 0;
    Nanos outageDuration = 0;  // how long the cache server stays down after such a stop
};

struct DiscoveryPlan {
    Nanos removalDelay = 0;   // time from a server's end until discovery lists it as gone
    Nanos returnDelay = 0;    // time from a server's start until discovery lists it as ready
    double pollRate = 0;      // polls that discovery can answer per second
    Nanos maxQueueDelay = 0;  // a poll that would wait longer for its turn fails
    Nanos pollInterval = 0;
    // When set, a router has one poll in flight at a time, and an older one is answered 503; a poll
    // whose turn would come after `maxQueueDelay` is answered 503 at once; the answer to a long
    // poll takes a turn too.
    bool limitsPolls = false;
    // Time after a change, or after discovery became reachable again, from which all running routers
    // count as knowing the change; 0: never.
    Nanos assumedKnownAfter = 0;
    Nanos weightInterval = 0;  // how often the weights that follow load are updated
};

struct NetworkPlan {
    std::vector<std::string> zones;
    Nanos sameZoneDelay = 0;   // one-way delay within a zone
    Nanos crossZoneDelay = 0;  // one-way delay between zones
    double jitter = 0;         // standard deviation of both delays, as a share of the delay
    double crossZoneCost = 0;  // passed to the routers: cost of an attempt to another zone, as a part of a
                               // request's priority weight
};

struct LoadPlan {
    enum class Shape : std::uint8_t { steady, bursty, ramp, wave };
    double meanRate = 0;  // requests per second
    Shape shape = Shape::steady;
    double amplitude = 0;  // deviation from the mean rate, as a share of it
    Nanos period = 0;
    int keyCount = 1;
    double zipfExponent = 1;
    double keyDrift = 0;  // pairs of keys that swap their popularity each second, as a share of all keys
    int maxTries = 1;
    Nanos initialBackoff = 0;
    double impatientShare = 0;  // share of requests whose client disconnects halfway to the deadline
    // How long after its deadline the client of an unanswered request leaves, drawn between these; 0: after
    // the scenario's slack.
    Nanos minPatience = 0, maxPatience = 0;
};

struct RouterPlan {
    int count = 1;
    // The last `loadWeightedCount` routers use cache weights that follow load. If there are any,
    // discovery updates its weights with the load.
    int loadWeightedCount = 0;
    std::size_t memoryMb = 64;
    std::size_t descriptors = 512;
    std::size_t maxOpenRequests = 0;
    int maxAttempts = 1;
    Nanos connectTimeout = 0;
    Nanos idleTimeout = 0;
    Nanos failureDetectionDelay = 0;  // time until the load balancer notices that a router has ended
    Nanos restartDelay = 0;           // time until a router that has ended is started again
    Nanos maxRetryAfter = 0;
};

enum class FaultKind : std::uint8_t {
    crash,    // cache servers stop: connections are reset, then refused; they return cold under the same id
    hang,     // cache servers accept requests and do not respond to them
    slow,     // cache servers run slower by the factor `magnitude`
    errors,   // a share `magnitude` of the requests sent to cache servers fails at once
    replace,  // cache servers end for good; cold ones with new ids take over their addresses
    drain,    // cache servers are listed as draining, then leave, and return when the fault ends
    zonePartition,       // no packets pass between `zone` and all other zones
    refuse,              // cache servers refuse new connections
    connectsDropped,     // connects to cache servers only succeed with a TCP retry after the fault's end
    clientsLeave,        // a share `magnitude` of the waiting clients disconnects at once
    reset,               // a share `magnitude` of requests has its connection reset while it is in flight
    slowReader,          // cache servers read requests `magnitude` ms later
    unresponsive,        // one-way loss: requests arrive, replies are lost
    malformedResponses,  // a share `magnitude` of replies is malformed
    slowReplies,     // a share `magnitude` of replies has its value sent late or slowly, by caches and origin
    stoppedReplies,  // a share `magnitude` of replies is never completed, by caches and origin
    originStop,      // the origin stops and returns when the fault ends
    originSlow,      // the origin runs slower by the factor `magnitude`
    discoveryDown,   // polls fail
    discoverySilent,  // polls are never answered
    discoverySlow,  // polls are answered up to `magnitude` ms later, at random down to three quarters of that
    discoveryRefuse,  // a share `magnitude` of polls is answered 503
    discoveryMove,    // discovery moves to another address, and the routers get SIGHUP
    hotKey,           // a share `magnitude` of requests is for one key
    heavy,            // a share `magnitude` of requests has ten times the work
    scan,             // a share `magnitude` of requests is for keys that were never requested before
    load,             // the load is multiplied by `magnitude`
    routerKill,       // SIGKILL to `count` routers, which are restarted
    routerRestart,    // SIGTERM to all routers, one after another
    // `count` routers get SIGHUP, SIGTERM and, when the deployment's longest timeout and 0.7 s have passed,
    // SIGKILL; clients use their open connections until then.
    routerTerminate,
    crowd,          // `magnitude` clients connect to each router and send nothing
    routerUpgrade,  // all routers hot restart, one after another
    reload,         // SIGHUP to all routers
    // Faults of the routers' processes, injected by a preloaded library.
    callsFail,        // a share `magnitude` of the system calls `call` fails with the given `effect`
    wallClockOffset,  // the wall clock that all machines share is `magnitude` ms ahead; behind if negative
    eventLoopDelay,   // one event loop iteration in fifty is delayed by up to `magnitude` ms
    // Faults of machines. `machine` names the machine, or else it is drawn.
    machineKill,       // SIGKILL to all processes of the machine; it returns with its disk
    machineLost,       // as machineKill, but the disk is empty when the machine returns
    machineStop,       // SIGSTOP to all processes of the machine, SIGCONT when the fault ends
    machinePartition,  // the machine's network paths lose everything in the directions that are cut
    agentKill,         // SIGKILL to the machine's agent only
    agentStop,         // SIGSTOP to the machine's agent only
    machineSleep,      // as machineStop, but the clocks that count suspended time keep running
    diskFull,          // the agent's writes fail
    diskReadOnly,      // no file on the machine can be created, opened for writing or renamed
    diskSlow,          // each sync takes `magnitude` ms longer
    syncFails,         // the next `count` syncs fail
    programsLost,      // the stored copies of programs are lost
    clockRate,         // the machine's clocks run at `magnitude` times the real rate
    clockJump,         // the machine's wall clock is `magnitude` ms ahead; behind if negative
    pathDelay,         // data on the machine's network paths arrives `magnitude` ms later
    pathStall,         // data on the machine's network paths stops midway; connections stay open
    pathDrop,          // a share `magnitude` of the connections to the machine is broken when they arrive
    coordinatorKill,   // SIGKILL to the coordinator; another one starts when the fault ends
    secondCoordinator  // a second coordinator runs besides the first
};

struct FaultPlan {
    FaultKind kind = FaultKind::crash;
    Nanos at = 0;
    Nanos length = 0;
    int count = 1;  // cache servers or routers, drawn with the seed; syncFails: number of syncs
    double magnitude = 0;
    std::string zone;
    int repetitions = 1;                           // spread over `length`
    int machine = -1;                              // -1: drawn
    bool cutsInbound = true, cutsOutbound = true;  // machinePartition: paths to, from the machine
    std::string call, effect;  // system call and effect, as named in fault_injection/fault_plan.hpp
    // machinePartition: machines that the machine is cut off from; empty: all others and the
    // operator's machine.
    std::vector<int> peers;
};

// With machines, routers run on them. A machine has a zone, a folder that is its disk, and an agent
// that runs its routers.
struct MachinePlan {
    int count = 0;  // 0: the testbed starts routers itself
    int instances = 0;
    bool listsServersInFile = false;  // the operator's file lists the servers instead of discovery
};

// A rollout in the course of the run.
struct RolloutScenario {
    bool isEnabled = false;
    Nanos at = 0;
    // "same" for an equal version, the name of a program's defect, or one of deaf, halved and
    // misnamed: settings that are valid but harmful.
    std::string change;
    double size = 0;  // size of a program's defect
    Nanos minStageDuration = 0, maxStageDuration = 0, settleTime = 0, baselineTime = 0, agentHoldDuration = 0,
          rollbackTimeout = 0;
    double harm = 0.02;               // share of unanswered or late requests that must be ruled out
    double silent = 0.02;             // share of requests without an answer that must be ruled out
    std::vector<std::string> stages;  // "1", "5", "0.25"
    // Machine on which the coordinator runs; -1: the operator's machine.
    int machine = -1;
    bool isHarmful() const { return isEnabled && change != "same"; }
    bool changesSettings() const { return change == "deaf" || change == "halved" || change == "misnamed"; }
};

// What must hold at the end of a run. The defaults are bounds that always hold.
struct Bounds {
    double goal = 0;           // least share of requests answered within their latency objective
    double answered = 0;       // least share of requests answered by their deadline
    double attempts = 1e9;     // most attempts per request
    double apart = 1;          // largest difference of `goal` between the routers with load-following weights
                               // and the others
    double sentOn = 1;         // largest share of the requests abandoned by their clients that is
                               // sent to a server more than 0.3 s after the client left
    double connections = 1e9;  // most connections opened to caches and the origin, per request
    double crossings = 1e9;    // most attempts to another zone, per request
    double coldLoad = 1e9;     // most work in a window at a cold cache server, divided by the work allowed
    double coldExcess = 1e9;   // most work above that allowed, as a multiple of what chance may add
    double coldFalls = 1e9;    // most stops of overloaded cold cache servers
    double went = 0, undone = 0;  // 1: the rollout must have been completed, or rolled back; 0: need not
    double harmed = 1;            // largest share of requests since the rollout's start that are not
                                  // answered within their latency objective
    double originMean = 1e9;      // largest mean load of the origin, as a share of its capacity
};

struct Scenario {
    std::string name;
    std::string about;
    Nanos length = 0;
    Nanos drainGrace = 0;
    Nanos slack = 0;  // how long after the deadline an answer still counts
    RouterPlan routers;
    MachinePlan machines;
    RolloutScenario rollout;
    NetworkPlan network;
    std::vector<CachePlan> caches;
    SlowStartPlan slowStart;
    OriginPlan origin;
    DiscoveryPlan discovery;
    LoadPlan load;
    std::vector<RequestClassPlan> requestClasses;
    std::vector<TenantPlan> tenants;
    std::vector<FaultPlan> faults;
    Bounds bounds;

    int cacheCount() const;
    bool hasProcessFaults() const;
    // Zones are assigned in turn to the machines, or to the routers where there are no machines.
    const std::string& zoneOf(int router) const {
        const int index = machines.count > 0 ? router / machines.instances : router;
        return network.zones[static_cast<std::size_t>(index) % network.zones.size()];
    }
    bool usesLoadWeights(int router) const { return router >= routers.count - routers.loadWeightedCount; }
    Nanos longestTimeout() const;
};

// Both throw ScenarioError.
Scenario readScenario(const std::string& path);
Scenario parseScenario(std::string_view text, const std::string& path);

std::string_view nameOf(FaultKind kind);

// The settings of a router, as the simulated driver passes them to the policy.
PolicySettings policySettingsOf(const Scenario& scenario, int router, std::uint64_t seed);
struct RouterAddressing {
    int index = 0;
    std::string name;
    std::string listen;
    std::string discovery;
};
struct TemplateServer {
    std::string name, zone;
    int port = 0;
    std::int64_t cell = 0;
    double size = 1;
    bool origin = false;
};
// The same settings as a template of the operator's file, with placeholders in braces for the
// values that differ between instances. `change` is the rollout's change of settings, made in this
// template.
std::string operatorTemplateOf(const Scenario& scenario, const std::vector<TemplateServer>& servers,
                               int discoveryPort, const std::string& change);
// The same settings as the platform's configuration of one router's process.
nlohmann::json configurationOf(const Scenario& scenario, const RouterAddressing& addressing,
                               std::uint64_t seed, const nlohmann::json& known);

}  // namespace poppyscale::testbed
