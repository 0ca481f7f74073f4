#include "testbed/audit/fault_intervals.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace poppyscale::testbed {
namespace {

// For how long a router may be held up between two steps.
constexpr Nanos kMaxHoldUp = 150 * kMillisecond;
// How long after the end of a fault of system calls a connection may still end by it.
constexpr Nanos kCallFaultEffect = 150 * kMillisecond;

}  // namespace

bool overlapsAny(const std::vector<Interval>& intervals, Nanos from, Nanos to) {
    return std::any_of(intervals.begin(), intervals.end(),
                       [&](const Interval& interval) { return interval.from <= to && from <= interval.to; });
}

void FaultIntervals::note(const LogEvent& entry) {
    noteClockFault(entry);
    noteCallFault(entry);
    noteHoldUp(entry);
}

// A read or write that fails with one of these errors shows that the kernel has given the connection up.
void FaultIntervals::noteCallFault(const LogEvent& entry) {
    const auto call = wordAt(entry.text, 2), effect = wordAt(entry.text, 3);
    const bool isTransfer = call == "read" || call == "write";
    const bool isFinal = effect == "ETIMEDOUT" || effect == "EHOSTUNREACH";
    if (wordAt(entry.text, 1) != "calls_fail" || !isTransfer || !isFinal) return;
    auto& intervals = connectionFaults_[fmt::format("{} {}", call, effect)];
    if (wordAt(entry.text, 0) == "begins")
        intervals.push_back({entry.at, std::numeric_limits<Nanos>::max()});
    else if (!intervals.empty())
        intervals.back().to = entry.at + kCallFaultEffect;
}

bool FaultIntervals::areConnectionsFailing(Nanos at) const {
    return std::any_of(connectionFaults_.begin(), connectionFaults_.end(),
                       [at](const auto& fault) { return overlapsAny(fault.second, at, at); });
}

void FaultIntervals::noteHoldUp(const LogEvent& entry) {
    if (wordAt(entry.text, 1) != "hold_up") return;
    if (wordAt(entry.text, 0) == "begins")
        holdUps_.push_back({entry.at, std::numeric_limits<Nanos>::max()});
    else if (!holdUps_.empty())
        holdUps_.back().to = entry.at + kMaxHoldUp;
}

Nanos FaultIntervals::allowedHoldUp(Nanos at) const { return overlapsAny(holdUps_, at, at) ? kMaxHoldUp : 0; }

// On a machine whose clock runs at another rate, or stands still while the machine sleeps, no process can
// forward a correct timeout.
void FaultIntervals::noteClockFault(const LogEvent& entry) {
    const auto kind = wordAt(entry.text, 1);
    if (kind != "clock_rate" && kind != "machine_sleep") return;
    if (wordAt(entry.text, 0) == "begins")
        clockFaults_.push_back({entry.at, std::numeric_limits<Nanos>::max()});
    else if (!clockFaults_.empty())
        clockFaults_.back().to = entry.at;
}

}  // namespace poppyscale::testbed
