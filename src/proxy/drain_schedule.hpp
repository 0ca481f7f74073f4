// The times at which a draining listener closes its connections.
#pragma once

#include <limits>

#include "base/time.hpp"

namespace poppyscale::proxy {

// While draining, a connection is closed as soon as a response was sent on it and none is
// outstanding. The closing of idle connections is spread over an interval, so that few of them are
// closed while a request is on its way. All times are absolute, on the monotonic clock.
struct DrainSchedule {
    Nanos startedAt = 0;    // a connection may be closed once a response was sent on it after this
    Nanos idleFrom = 0;     // when the first idle connections are closed
    Nanos idleUntil = 0;    // when the last idle connections are closed
    Nanos acceptUntil = 0;  // when requests are no longer accepted
    Nanos deadline = std::numeric_limits<Nanos>::max();  // requests that may last beyond it are not accepted

    // Whether a request whose client waits up to `timeout` is accepted at `now`.
    bool acceptsRequests(Nanos timeout, Nanos now) const;
    // The fraction of the connections that may still be open and idle at `now`; falls from 1 to 0.
    double idleFraction(Nanos now) const;
};

}  // namespace poppyscale::proxy
