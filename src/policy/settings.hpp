// The settings of a deployment that the routing policy reads.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "policy/types.hpp"

namespace poppyscale {

// Requests with the same guarantees and objectives.
struct RequestClass {
    std::string name;
    Idempotency idempotency = Idempotency::nonIdempotent;
    // Applies to idempotentWithKey.
    DeduplicationScope deduplicationScope = DeduplicationScope::all;
    // How long an idempotency key is remembered, from the first attempt that may have executed.
    Nanos idempotencyKeyTtl = 0;
    Nanos latencyObjective = 0;
    Nanos timeout = 0;          // timeout of a client, over all its retries; 0 if not known
    double priorityWeight = 1;  // weight of a response within the latency objective
    double lateWeight = 0;      // fraction of the priority weight that a later response has
    bool operator==(const RequestClass&) const = default;
};

struct Tenant {
    std::string name;
    double quotaPerSecond = 0;  // over all routers together; 0 for no quota
    bool operator==(const Tenant&) const = default;
};

struct PolicySettings {
    std::uint64_t seed = 0;  // seed of all random decisions
    int routerCount = 1;     // routers that share the servers, this one included
    // A server that lacks a key responds with a miss, and the router asks the origin.
    bool cacheAside = false;
    std::string originShape;  // the machine type that marks the origin in the endpoint list
    std::string zone;         // zone of this router
    // Cost of an attempt in another zone, as a fraction of a request's priority weight.
    double crossZoneCost = 0;
    bool pollsEndpoints = false;
    bool retryAfterAllowed = false;
    int maxAttempts = 1;  // most attempts for each request
    Nanos maxRetryAfter = 0;
    Nanos pollInterval = 0;            // a failed poll is repeated after at most half of this
    Nanos maxFirstPollDelay = kNever;  // longest time from the start to the first poll
    // A listed weight falls with the server's load: weight / (1 + requests per core).
    bool weightsFollowLoad = false;
    double initialFraction = 1;  // fraction of its full load that a just started server bears
    Nanos rampDuration = 0;      // time from its start until a server bears its full load
    // A server that is warming up collapses at this multiple of the load that it bears, counted
    // over `overloadWindow`.
    double overloadMultiple = 1;
    Nanos overloadWindow = 0;
    std::vector<RequestClass> requestClasses;
    std::vector<Tenant> tenants;
    bool operator==(const PolicySettings&) const = default;
};

}  // namespace poppyscale
