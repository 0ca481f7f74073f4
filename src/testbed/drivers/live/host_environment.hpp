// The clock and disk that the processes of an emulated machine see.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "base/time.hpp"
#include "testbed/host_emulation/host_state.hpp"

namespace poppyscale::testbed {

// Exists for each machine with clock or disk faults. Processes of other machines see the real clock
// and disk.
class HostEnvironment {
  public:
    // `file` is the shared file that the machine's processes map, `disk` the folder that is their
    // disk. Throws RunError.
    HostEnvironment(const std::string& file, const std::string& disk, Nanos now);
    ~HostEnvironment();
    HostEnvironment(const HostEnvironment&) = delete;
    HostEnvironment& operator=(const HostEnvironment&) = delete;

    // Environment variables for all processes of the machine.
    std::vector<std::pair<std::string, std::string>> variables() const;

    // From `now` on, the machine's clocks run `rate` times as fast as the real ones.
    void setClockRate(Nanos now, double rate);
    // Moves the wall clock forward, or back if `offset` is negative.
    void jumpWallClock(Nanos offset);
    // The machine slept from `from` to `now`: its monotonic clock stood still, clocks that run
    // during sleep did not.
    void endSleep(Nanos from, Nanos now);
    void setReadOnly(bool isReadOnly);
    // Each sync takes longer by `delay`.
    void setSyncDelay(Nanos delay);
    // The next `count` syncs fail.
    void failNextSyncs(int count);

    // The true time at which the machine's monotonic clock showed `shown`.
    Nanos trueTimeOf(Nanos shown) const;

  private:
    struct ClockSegment {
        Nanos trueTime, shownTime;
        double rate;
    };
    void startSegment(Nanos trueTime, Nanos shownTime, double rate);
    Nanos shownTimeOf(Nanos trueTime) const;

    std::string file_;
    HostState* state_ = nullptr;
    std::vector<ClockSegment> segments_;  // ordered by time
};

}  // namespace poppyscale::testbed
