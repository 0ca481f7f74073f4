// When faults were active that excuse a router's behaviour.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "testbed/emulator/event_log.hpp"

namespace poppyscale::testbed {

struct Interval {
    Nanos from, to;
};
// Whether one of `intervals` has a time in common with the one from `from` to `to`.
bool overlapsAny(const std::vector<Interval>& intervals, Nanos from, Nanos to);

// Collects the `fault` entries of an event log.
class FaultIntervals {
  public:
    // A fault has begun or ended.
    void note(const LogEvent& entry);
    // Whether the routers' system calls may report that a sound connection has ended.
    bool areConnectionsFailing(Nanos at) const;
    // For how long a router may be held up at that time; 0 if no fault holds routers up.
    Nanos allowedHoldUp(Nanos at) const;
    // Whether a machine's monotonic clock was wrong at some time from `from` to `to`.
    bool areClocksWrong(Nanos from, Nanos to) const { return overlapsAny(clockFaults_, from, to); }

  private:
    void noteCallFault(const LogEvent& entry);
    void noteClockFault(const LogEvent& entry);
    void noteHoldUp(const LogEvent& entry);

    // By call and error: intervals in which system calls report that the peer of a connection is gone.
    std::map<std::string, std::vector<Interval>> connectionFaults_;
    std::vector<Interval> holdUps_;
    std::vector<Interval> clockFaults_;
};

}  // namespace poppyscale::testbed
