// A scenario: the deployment, the load, the faults and what must hold, as the TOML files in scenarios/ say
// it.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "policy/settings.hpp"

namespace poppyscale::testbed {

// What can't be played; its text is "FILE:LINE: KEY: what is wrong".
struct ScenarioError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct RequestClassPlan {
    RequestClass requestClass;
    Nanos limit = 0;  // how long a client waits in all
    double share = 0;
    Nanos work = 0;  // on one core of speed 1, the mean
    double spread = 0;
    bool write = false;
};

struct TenantPlan {
    std::string name;
    double share = 0;
    double quota = 0;  // commands a second
};

// Of one kind: they are dealt to the zones in turn.
struct CachePlan {
    std::string name;
    int count = 0;
    double cores = 1;
    double speed = 1;
    int queue = 0;  // commands that may wait beside those that run
    int keys = 0;   // kept, the one used longest ago goes first
    int connections = 0;
    Nanos handshake = 0;  // work of a new connection
    double errors = 0;    // share of commands that fail on any day
};

struct OriginPlan {
    double cores = 1;
    double speed = 1;
    int queue = 0;
    int connections = 0;
    double thrash = 0;    // added to a command's time for each full queue ahead of it, as a share
    double tip = 0;       // times its capacity over `fallSpan`, then it stops; 0: never
    Nanos stopped = 0;    // for this long
    double readWork = 1;  // of a fetch, times the request class's own work
};

struct SlowStartPlan {
    double share = 1;  // of its capacity that a cache starts with
    Nanos ramp = 0;
    double tip = 1;
    Nanos fallSpan = 0;
    Nanos down = 0;  // how long it stays down after falling
};

struct DiscoveryPlan {
    Nanos noticeGone = 0;
    Nanos noticeBack = 0;
    double perSecond = 0;  // calls it can answer
    Nanos limit = 0;       // a call that waits longer for its turn fails
    Nanos pollInterval = 0;
    // One call of a router at a time, the older one ends with 503; a call whose turn would come after `limit`
    // is answered 503 at once; an answer to a call that waited for a change takes a turn too.
    bool crowded = false;
    Nanos toldWithin = 0;  // after which a change counts as told where discovery can be reached; 0: never
    Nanos weighEvery = 0;  // where sizes move with load: how often they are listed anew
};

struct NetworkPlan {
    std::vector<std::string> zones;
    Nanos same = 0;   // one way, within a zone
    Nanos cross = 0;  // between zones
    double jitter = 0;
    double crossPrice =
        0;  // told to routers: of an attempt to another zone, as a part of a command's utility
};

struct LoadPlan {
    enum class Shape : std::uint8_t { steady, bursty, ramp, wave };
    double perSecond = 0;  // at the mean
    Shape shape = Shape::steady;
    double swing = 0;  // share of the mean by which it goes up and down
    Nanos period = 0;
    int keys = 1;
    double zipf = 1;
    double drift = 0;  // of the keys that change places each second, as a share
    int tries = 1;
    Nanos backoff = 0;
    double impatient = 0;  // share of commands whose client leaves halfway
};

struct RouterPlan {
    int count = 1;
    int moved = 0;  // the last so many take listed sizes to move with load; then discovery's do
    std::size_t memoryMb = 64;
    std::size_t descriptors = 512;
    std::size_t open = 0;
    int attempts = 1;
    Nanos connectWithin = 0;
    Nanos idle = 0;
    Nanos notice = 0;   // in which the front sees that one has died
    Nanos restart = 0;  // in which a killed one is back
    Nanos mostComeBack = 0;
};

enum class FaultKind : std::uint8_t {
    crash,               // caches die; connections reset, then refused; back cold under their id
    hang,                // caches take and never answer
    slow,                // caches run `by` times slower
    errors,              // a share `by` of what caches are sent fails at once
    replace,             // caches go for good, new ones come cold at the old address under new ids
    drain,               // caches are told to drain, then leave; back after
    cut,                 // `zone` is silent to the routers of all others
    refuse,              // caches refuse new connections
    late,                // new connections to caches come up with the kernel's next try after the fault's end
    leave,               // a share `by` of the clients that wait go at once
    reset,               // a share `by` of commands has its connection reset while it is out
    slowReader,          // commands reach caches later by `by` ms
    unresponsive,        // one direction only: commands arrive, answers are lost
    malformedResponses,  // a share `by` of answers is noise
    originStop,          // the origin dies and comes back
    originSlow,          // runs `by` times slower
    discoveryDown,       // calls fail
    discoverySilent,
    discoverySlow,    // its answers come `by` ms late, up to a quarter less at random
    discoveryRefuse,  // a share `by` of calls is answered 503
    discoveryMove,    // to another address, the routers get SIGHUP
    hotKey,           // a share `by` of commands asks for one key
    heavy,            // a share `by` of commands has ten times the work
    scan,             // a share `by` of commands asks for keys never seen before
    load,             // the load times `by`
    routerKill,       // SIGKILL to `count` routers, restarted
    routerRestart,    // SIGTERM to all, one after the other
    routerUpgrade,    // each in turn hands its sockets to a new process
    reload,           // SIGHUP to all
    // Of the routers' processes, by a preloaded library.
    callsFail,  // a share `by` of system calls of the kind `call` ends in the way `way`
    wallStep,   // the one wall clock of all machines is ahead by `by` ms, or behind
    holdUp,     // a turn in fifty is held up for up to `by` ms
    // Of machines, named by `machine` or drawn.
    machineKill,      // SIGKILL to all of its processes; back with its disk
    machineLost,      // the same, and its disk is empty when it is back
    machineStop,      // SIGSTOP to all of its processes, then SIGCONT
    machineCut,       // its ways from and to others are silent: `way` = both, to or from
    agentKill,        // SIGKILL to its agent alone
    agentStop,        // SIGSTOP to its agent alone
    machineSleep,     // as stopped, and of its clocks only those that go on in sleep do
    diskFull,         // nothing more can be written by its agent
    diskReadOnly,     // nothing on it can be made, opened for writing or renamed
    diskSlow,         // each sync takes `by` ms longer
    syncFails,        // the next `count` syncs fail
    programGone,      // the copies of programs that it keeps are lost
    clockRate,        // its clocks go `by` times as fast
    clockJump,        // its wall clock is ahead by `by` ms, or behind
    wayDelay,         // what goes its ways comes `by` ms later
    wayStall,         // what goes its ways stops midway, connections stay
    wayDrop,          // a share `by` of the connections to it is broken as it comes
    coordinatorKill,  // SIGKILL; another one comes when the fault ends
    coordinatorTwice  // a second one beside it
};

struct FaultPlan {
    FaultKind kind = FaultKind::crash;
    Nanos at = 0;
    Nanos length = 0;
    int count = 1;  // caches or routers, drawn by the seed
    double by = 0;
    std::string zone;
    int times = 1;                // again, spread over `length`
    int machine = -1;             // drawn
    bool to = true, from = true;  // of a cut: what goes to the machine, what comes from it
    std::string call, way;        // of a system call, as in lab/faults/plan.hpp
    std::vector<int> others;      // from which it is cut; none named: from all, and from the operator's desk
};

// Routers live on machines: each has a zone, a folder that is its disk, and an agent that runs them.
struct MachinePlan {
    int count = 0;  // 0: the testbed starts routers itself
    int instances = 0;
    bool fileList = false;  // the operator's file says the servers, and not discovery
};

// A staged change in the middle of the day.
struct RolloutScenario {
    bool there = false;
    Nanos at = 0;
    std::string change;  // same, a harm's name, or deaf, halved, misnamed: settings that are valid and bad
    double size = 0;     // of a harm
    Nanos least = 0, longest = 0, settleTime = 0, watch = 0, keep = 0, back = 0;
    double harm = 0.02;
    double silent = 0.02;             // share never answered that is to be ruled out
    std::vector<std::string> stages;  // "1", "5", "0.25"
    int machine = -1;                 // on which its coordinator runs; -1: at the operator's desk
    bool harmful() const { return there && change != "same"; }
    bool bySettings() const { return change == "deaf" || change == "halved" || change == "misnamed"; }
};

struct Bounds {
    double goal = 0;           // share of commands answered within their goal, at least
    double answered = 0;       // within their limit
    double attempts = 1e9;     // a command, at most
    double apart = 1;          // between the goal shares of moved routers and the others, at most
    double sentOn = 1;         // of commands whose clients left waiting: share forwarded 0.3 s later, at most
    double connections = 1e9;  // to caches and origin that are opened, a command, at most
    double crossings = 1e9;    // attempts to another zone, a command, at most
    double coldLoad = 1e9;     // work that reached a cold cache in a span over what it is allowed, at most
    double coldExcess = 1e9;   // of what chance may add to that, the part that was used, at most
    double coldFalls = 1e9;    // cold caches that went down, at most
    double went = 0, undone = 0;  // of the roll, at least: 1 or not asked for
    double harmed = 1;        // share of commands that were not answered in goal, from the roll's begin on
    double originMean = 1e9;  // fetches and writes a second at the origin over its capacity, at most
};

struct Scenario {
    std::string name;
    std::string about;
    Nanos length = 0;
    Nanos drainGrace = 0;
    Nanos slack = 0;  // after a client's limit that an answer still counts
    RouterPlan routers;
    MachinePlan machines;
    RolloutScenario roll;
    NetworkPlan network;
    std::vector<CachePlan> caches;
    SlowStartPlan cold;
    OriginPlan origin;
    DiscoveryPlan discovery;
    LoadPlan load;
    std::vector<RequestClassPlan> requestClasses;
    std::vector<TenantPlan> tenants;
    std::vector<FaultPlan> faults;
    Bounds bounds;

    int cacheCount() const;
    bool hasProcessFaults() const;
    const std::string& zoneOf(int router) const {  // dealt in turn, to routers or to machines
        const int place = machines.count > 0 ? router / machines.instances : router;
        return network.zones[static_cast<std::size_t>(place) % network.zones.size()];
    }
    bool isMoved(int router) const { return router >= routers.count - routers.moved; }
    Nanos longestLimit() const;
};

// Throws BadScenario.
Scenario readScenario(const std::string& path);
Scenario parseScenario(std::string_view text, const std::string& path);

std::string_view nameOf(FaultKind kind);

// What the module is told of a scenario, and the same as the configuration that the program reads.
PolicySettings policySettingsOf(const Scenario& scenario, int router, std::uint64_t seed);
struct RouterPlace {
    int index = 0;
    std::string name;
    std::string listen;
    std::string discovery;
};
// The same as an operator's form, with its parts in braces; `change` of a roll's settings is made in it.
struct FormServer {
    std::string name, zone;
    int port = 0;
    std::int64_t cell = 0;
    double size = 1;
    bool origin = false;
};
std::string operatorFormOf(const Scenario& scenario, const std::vector<FormServer>& servers,
                           int discoveryPort, const std::string& change);
nlohmann::json configurationOf(const Scenario& scenario, const RouterPlace& place, std::uint64_t seed,
                               const nlohmann::json& known);

}  // namespace poppyscale::testbed
