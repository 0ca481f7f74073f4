// Baseline routers: plain policies that the router is compared with, and defective variants that
// each break one rule, to show that the audit detects it.
#pragma once

#include <string>

namespace poppyscale::testbed {

enum class BaselinePolicy : std::uint8_t {
    random,       // any ready cache
    rendezvous,   // the key's first ready cache in rendezvous order
    boundedLoad,  // the first ready cache in rendezvous order with less than 1.25 times the mean in flight
    passThrough   // ready caches in turn, no retries: the least work that a proxy can do
};

enum class BaselineDefect : std::uint8_t {
    none,
    duplicateRequest,    // sends a non-idempotent request again after it succeeded
    dropRequest,         // never answers one request in 20
    fabricateValue,      // answers one request in 20 with a value that no server returned
    preferDraining,      // sends reads to a draining cache if there is one
    overloadColdCache,   // sends all reads to the cache that started last
    crash,               // exits by itself after three seconds
    forwardsFullTimeout  // forwards the client's whole timeout, however much of it has passed
};

// Serves until SIGTERM or SIGINT. Reads its configuration from the file named by $ROUTER_CONFIG, as
// the router does. Returns the exit code.
int runBaselineProxy(BaselinePolicy policy, BaselineDefect defect);

}  // namespace poppyscale::testbed
