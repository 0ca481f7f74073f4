// Compares changed with unchanged instances, window by window, for each kind of event.
//
// The reference of a zone's changed instances is the unchanged instances of that zone; if they have
// no traffic, those of all zones; if those have none either, the baseline from earlier windows,
// with more than twice the overdispersion.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "rollout/decaying_statistics.hpp"
#include "rollout/evidence.hpp"
#include "rollout/fleet_view.hpp"
#include "rollout/rollout_plan.hpp"
#include "rollout/window_counts.hpp"

namespace poppyscale::rollout {

// The comparison of one kind of event.
struct Comparison {
    Evidence evidence;              // evidence that the changed side does worse
    DecayingRatio baseline;         // ratio of the unchanged side while no fault is active
    Overdispersion overdispersion;  // overdispersion among the unchanged instances

    // The unchanged side's ratio since the start, or its baseline if it had no traffic at the same
    // time as the changed side.
    double referenceRatio() const;
};

class SideComparison {
  public:
    // `thresholds` has to outlive the comparison.
    explicit SideComparison(const Thresholds& thresholds) : thresholds_(thresholds) {}

    // Reads the fleet's last window. Baselines are not updated during a fault.
    void observe(Nanos now, const FleetView& fleet, const SlowLatencyTracker& slowLatencies,
                 const DrainingCaches& drainingCaches, bool isFaultActive);
    // Describes the kind with the strongest evidence above the bound, with both sides' ratios and
    // totals; empty if there is none. `boundFactor`: multiplies the bound on the logarithm of the
    // evidence.
    std::string describeWorst(double boundFactor) const;
    // Null if no event of that kind was counted.
    const Comparison* find(std::string_view kind) const;
    const std::map<std::string, Comparison, std::less<>>& comparisons() const { return comparisons_; }

  private:
    struct SideCounts {
        EventCounts changed;
        EventCounts unchanged;
    };
    // The counts of one window.
    struct WindowCounts {
        std::map<std::string, SideCounts> zones;
        EventCounts unchanged;                  // counts of the unchanged instances of all zones
        std::map<int, EventCounts> byInstance;  // counts of each unchanged instance
    };

    WindowCounts countWindow(const FleetView& fleet, const SlowLatencyTracker& slowLatencies,
                             const DrainingCaches& drainingCaches) const;
    void addEvidence(const WindowCounts& counts);
    void addEvidence(const std::string& kind, const EventCount& changed, const EventCounts& zoneUnchanged,
                     const EventCounts& allUnchanged);
    void updateBaselines(Nanos now, const WindowCounts& counts, bool isFaultActive);
    void updateOverdispersion(Nanos now, const FleetView& fleet, const WindowCounts& counts);
    Comparison& comparisonOf(const std::string& kind);
    Evidence evidenceFor(std::string_view kind) const;

    const Thresholds& thresholds_;
    std::map<std::string, Comparison, std::less<>> comparisons_;  // comparisons by kind of event
};

}  // namespace poppyscale::rollout
