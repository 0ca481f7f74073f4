// By when a draining listener parts with its connections.
#pragma once

#include <limits>

#include "base/time.hpp"

namespace poppyscale::proxy {

// A connection is closed as soon as a response went out on it and none is outstanding. Idle connections are
// closed spread over a time, so that few closes cross a request on the wire. All times are absolute, on the
// monotonic clock.
struct DrainSchedule {
    Nanos since = 0;      // a connection that got a response after this may be closed
    Nanos idleFrom = 0;   // idle connections are closed from here
    Nanos idleUntil = 0;  // to here
    Nanos acceptUntil = 0;
    Nanos deadline = std::numeric_limits<Nanos>::max();  // requests that may last longer are not accepted

    // Whether a request is accepted at `now` whose client waits up to `timeout`.
    bool acceptsRequests(Nanos timeout, Nanos now) const;
    // The part of the connections that may still be open and idle at `now`, from 1 down to 0.
    double idleFraction(Nanos now) const;
};

}  // namespace poppyscale::proxy
