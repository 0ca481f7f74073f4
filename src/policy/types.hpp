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
    safe,  // has no effect
    // Has no effect while the servers of the deduplication scope remember the idempotency key.
    idempotentWithKey,
    nonIdempotent  // has the effect of the request once more
};

// The servers among which a repeated idempotency key is recognised.
enum class DeduplicationScope : std::uint8_t { all, zone, cell };

enum class EndpointState : std::uint8_t { removed, ready, draining };

enum class EndpointUpdateKind : std::uint8_t {
    delta,     // endpoints that changed; others stay as they are
    complete,  // all endpoints; endpoints that are not listed are removed
    cached,    // all endpoints, as of an unknown time
    failed     // no answer to a poll
};

// How an attempt ended. The outcomes from `overloaded` on prove that the attempt did not execute the
// request.
enum class AttemptOutcome : std::uint8_t {
    succeeded,
    failed,
    timedOut,
    connectionLost,
    notExecuted,  // counts as if the attempt may have executed the request
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
    std::string_view tenant;  // empty if the request has none
    std::string_view key;     // empty if the request has none
    Nanos deadline = 0;       // when the client times out
    bool isWrite = false;
    bool isRetry = false;  // the client marks it as a repeated attempt
    // The body is not buffered, so that the request can be sent only once.
    bool singleAttempt = false;
};

struct AttemptResult {
    RequestId id = 0;
    int attempt = 0;  // counted from 0 for each request, in the order of startAttempt
    AttemptOutcome outcome = AttemptOutcome::succeeded;
    bool requestCompleted = false;  // the client has its final response, or has disconnected
    Nanos duration = 0;             // time since the attempt was started
    ReadThroughResult readThrough = ReadThroughResult::unknown;
};

// Why attempts were sent to cache servers that were warming up; counted since the policy was created.
struct WarmupAttemptCounts {
    // First attempts after a readmission, sent to a server whether or not it was a candidate.
    std::uint64_t preferred = 0;
    std::uint64_t withinBudget = 0;   // attempts at a candidate within its slow-start budget
    std::uint64_t withoutBudget = 0;  // checks that found a candidate's slow-start budget spent
};

// The state of a server in the policy; for display only.
struct EndpointStatus {
    std::string name;
    std::string zone;
    EndpointState state = EndpointState::removed;
    bool isEjectedByOperator = false;
    bool isOrigin = false;
    int inFlight = 0;             // attempts in flight
    double concurrencyLimit = 0;  // attempts that may be in flight
    double warmupFraction = 1;    // fraction of its full load that the server bears now
    double recentOutcomes = 0;    // ended attempts, a decaying sum
    double recentFailures = 0;    // failed attempts among `recentOutcomes`
    double latencyRatio = 0;      // mean latency as a fraction of the latency objective
    std::int64_t hintedKeys = 0;  // approximate number of keys that the server is expected to have cached
    Nanos ejectedUntil = 0;       // end of the ejection as an outlier; not ejected if this is past
};

}  // namespace poppyscale
