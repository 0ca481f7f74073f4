// The interface of the decisions: what a front tells them, and what they ask a front to do.
// Nothing here knows of any wire, socket or clock; a front keeps its protocol to itself.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace poppyscale {

using Nanos = std::int64_t;
using RequestId = std::uint64_t;

constexpr Nanos kMillisecond = 1'000'000;
constexpr Nanos kNever = std::numeric_limits<Nanos>::max();

enum class Idempotency : std::uint8_t { safe, idempotentWithKey, nonIdempotent };
enum class DeduplicationScope : std::uint8_t { all, zone, cell };
enum class EndpointState : std::uint8_t { removed, ready, draining };
enum class EndpointUpdateKind : std::uint8_t { delta, complete, cached, failed };
// How a relay ended. Those after `undone` prove that the command never ran there.
enum class AttemptOutcome : std::uint8_t {
    succeeded,
    failed,
    timedOut,
    connectionLost,
    notExecuted,
    overloaded,
    connectFailed,
    notSent,
    cacheMiss
};

// What a cache that fetches for itself told of a read.
enum class ReadThroughResult : std::uint8_t { unknown, cached, fetched };

struct RequestClass {
    std::string name;
    Idempotency idempotency = Idempotency::nonIdempotent;
    DeduplicationScope deduplicationScope =
        DeduplicationScope::all;  // where repeats of a receipted command are dropped
    Nanos idempotencyKeyTtl = 0;  // and for how long after the first relay that may have run
    Nanos latencyObjective = 0;
    Nanos timeout = 0;  // of a client, over all its tries; 0 if not known
    double priorityWeight = 1;
    double lateWeight = 0;  // the part of it that an answer after the goal still has
    bool operator==(const RequestClass&) const = default;
};

struct Tenant {
    std::string name;
    double quotaPerSecond = 0;  // over all routers together
    bool operator==(const Tenant&) const = default;
};

// What a deployment promises and allows, as far as the decisions read it.
struct PolicySettings {
    std::uint64_t seed = 0;
    int routerCount = 1;
    bool cacheAside = false;   // a cache that lacks a key says so, and the router asks the origin
    std::string originShape;   // the machine shape that marks the origin in the list
    std::string zone;          // this router's own
    double crossZoneCost = 0;  // of a relay to another zone, as a part of a command's utility
    bool pollsEndpoints = false;
    bool retryAfterAllowed = false;
    int maxAttempts = 1;
    Nanos maxRetryAfter = 0;
    Nanos pollInterval = 0;
    Nanos maxFirstPollDelay = kNever;  // by when after the start the list is first asked for
    bool weightsFollowLoad =
        false;  // a listed size falls with what the cache holds: size / (1 + held a core)
    double initialFraction = 1;
    Nanos rampDuration = 0;
    double overloadMultiple = 1;
    Nanos overloadWindow = 0;
    std::vector<RequestClass> requestClasses;
    std::vector<Tenant> tenants;
    bool operator==(const PolicySettings&) const = default;
};

struct Endpoint {
    std::string name;
    std::string zone;
    std::string shape;
    EndpointState state = EndpointState::ready;
    Nanos startedAt = 0;
    double weight = 1;
    std::int64_t cell = 0;
};

struct IncomingRequest {
    RequestId id = 0;
    std::string_view requestClass;
    std::string_view tenant;
    std::string_view key;
    Nanos deadline = 0;
    bool isWrite = false;
    bool isRetry = false;        // a client's further try, as it says itself
    bool singleAttempt = false;  // it can be relayed one time only, since what it writes is kept nowhere
};

struct AttemptResult {
    RequestId id = 0;
    int attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::succeeded;
    bool requestCompleted = false;  // the client has its final answer, by this or by something earlier
    Nanos duration = 0;
    ReadThroughResult readThrough = ReadThroughResult::unknown;
};

// What a router believes of a server, to be looked at and nothing else.
struct EndpointStatus {
    std::string name;
    std::string zone;
    EndpointState state = EndpointState::removed;
    bool isEjectedByOperator = false;
    bool isOrigin = false;
    int inFlight = 0;
    double concurrencyLimit = 0;  // relays that may be out
    double warmupFraction = 1;    // of what it bears when warm
    double recentOutcomes = 0;    // endings, a decaying sum
    double recentFailures = 0;    // of these
    double latencyRatio = 0;      // mean time as a part of the goal
    std::int64_t hintedKeys = 0;  // keys that it is held to have
    Nanos ejectedUntil = 0;       // past: not set aside
};

// What the decisions ask of whatever carries them out. Relays of a command count 0, 1, 2 ... as asked.
class PolicyHost {
  public:
    virtual ~PolicyHost() = default;
    // One that is not written by `startBy` isn't written at all: a repeat would not be known as one any more.
    virtual void startAttempt(RequestId id, std::string_view cache, Nanos deadline, Nanos latestStart) = 0;
    virtual void reject(RequestId id, Nanos retryAfter) = 0;
    virtual void fail(RequestId id) = 0;
    virtual void scheduleWakeup(Nanos at) = 0;
    virtual void pollEndpoints() = 0;
    virtual void log(std::string_view text) = 0;
};

class RoutingPolicy {
  public:
    RoutingPolicy(PolicySettings terms, PolicyHost& host, Nanos now);
    ~RoutingPolicy();
    RoutingPolicy(const RoutingPolicy&) = delete;
    RoutingPolicy& operator=(const RoutingPolicy&) = delete;

    void onEndpointUpdate(Nanos now, EndpointUpdateKind kind, const std::vector<Endpoint>& entries);
    // An operator's word: nothing goes to that cache, whatever the list says, until it is lifted. It counts
    // as just started from then on.
    void onOperatorEjection(Nanos now, const std::string& name, bool on);
    void onRequest(Nanos now, const IncomingRequest& arrival);
    void onAttemptEnded(Nanos now, const AttemptResult& end);
    void onClientDisconnected(Nanos now, RequestId id);
    // Other verbs, customers and figures from now on; `seed`, `aside`, `originShape`, `listOnRequest`,
    // `sizesMove` and `fallSpan` have to be those of the start. What has arrived ends by the verb it came
    // under, and by the smaller number of relays.
    void onSettingsChanged(Nanos now, PolicySettings terms);
    // Once after all events of a moment (a wake-up has no call of its own): emits what should change.
    void reconcile(Nanos now);
    // In the order in which the servers were first heard of.
    std::vector<EndpointStatus> endpointStatuses(Nanos now);

  private:
    struct Inside;
    std::unique_ptr<Inside> in_;
};

}  // namespace poppyscale
