// Small routers to compare with and to prove the audit by: plain policies, and one that breaks a named rule.
#pragma once

#include <string>

namespace poppyscale::testbed {

enum class BaselinePolicy : std::uint8_t {
    random,       // any cache that is ready
    rendezvous,   // the key's first in rendezvous order
    boundedLoad,  // the same, passing by who has a quarter more out than the mean
    passThrough   // the next in turn and no second try: the least that a proxy can do
};

enum class BaselineDefect : std::uint8_t {
    none,
    twice,          // sends what takes effect again when it has been answered
    lost,           // leaves a command in twenty without an answer
    foreign,        // answers one in twenty with what no server gave
    drain,          // goes on sending to what it was told leaves
    cold,           // sends all it has to the cache that came up last
    crash,          // ends by itself after three seconds
    tellsWholeTime  // each attempt tells its server all the time that the client gave, however much has
                    // passed
};

// Serves until SIGTERM, told by $ROUTER_CONFIG as the router is. The exit code.
int serveProxy(BaselinePolicy policy, BaselineDefect defect);

}  // namespace poppyscale::testbed
