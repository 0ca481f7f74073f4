// The values that go in and out of the routing policy: endpoints, requests, attempts and their outcomes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace poppyscale {

// Identifies a request between the policy and its host; unique among the requests that are open.
using RequestId = std::uint64_t;

// What a repeated execution of a request does.
enum class Idempotency : std::uint8_t {
    safe,               // nothing
    idempotentWithKey,  // nothing, while the servers of its deduplication scope remember its key
    nonIdempotent       // its effect once more
};

// The servers among which a repeated idempotency key is recognised.
enum class DeduplicationScope : std::uint8_t { all, zone, cell };

enum class EndpointState : std::uint8_t { removed, ready, draining };

enum class EndpointUpdateKind : std::uint8_t {
    delta,     // endpoints that changed; others stay as they are
    complete,  // all endpoints; others are removed
    cached,    // all endpoints, as of an unknown time
    failed     // no answer to a poll
};

// How an attempt ended. Those from `overloaded` on prove that the request was not executed there.
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

// What a read-through cache reported about a read.
enum class ReadThroughResult : std::uint8_t {
    unknown,
    cached,  // served from the cache
    fetched  // the cache asked the origin
};

// One entry of the endpoint list.
struct Endpoint {
    std::string name;  // unique and stable
    std::string zone;
    std::string shape;  // machine type
    EndpointState state = EndpointState::ready;
    Nanos startedAt = 0;  // 0 if not known
    double weight = 1;    // relative capacity; 0 if not known
    std::int64_t cell = 0;
};

struct IncomingRequest {
    RequestId id = 0;
    std::string_view requestClass;
    std::string_view tenant;  // empty if it has none
    std::string_view key;     // empty if it has none
    Nanos deadline = 0;       // when the client times out
    bool isWrite = false;
    bool isRetry = false;        // the client marks it as a repeated attempt
    bool singleAttempt = false;  // its body is not buffered, so that it can be sent only once
};

struct AttemptResult {
    RequestId id = 0;
    int attempt = 0;  // counted from 0 for each request, in the order of startAttempt
    AttemptOutcome outcome = AttemptOutcome::succeeded;
    bool requestCompleted = false;  // the client has its final response, or has disconnected
    Nanos duration = 0;             // since the attempt was started
    ReadThroughResult readThrough = ReadThroughResult::unknown;
};

// The state of a server in the policy; for display only.
struct EndpointStatus {
    std::string name;
    std::string zone;
    EndpointState state = EndpointState::removed;
    bool isEjectedByOperator = false;
    bool isOrigin = false;
    int inFlight = 0;             // attempts
    double concurrencyLimit = 0;  // attempts that may be in flight
    double warmupFraction = 1;    // of the load that it bears when warmed up
    double recentOutcomes = 0;    // ended attempts, a decaying sum
    double recentFailures = 0;    // of these
    double latencyRatio = 0;      // mean latency as a fraction of the latency objective
    std::int64_t hintedKeys = 0;  // keys that it is expected to have cached
    Nanos ejectedUntil = 0;       // as an outlier; not ejected if this is past
};

}  // namespace poppyscale
