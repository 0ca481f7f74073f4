// Compares changed with unchanged instances, window by window, for each kind of event.
//
// Within a zone the unchanged instances of that zone are the reference; without any, those of all zones; and
// without those the baseline from before, at more than twice the overdispersion.
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

// What is known of one kind of event.
struct Comparison {
    Evidence evidence;              // that the changed side does worse
    DecayingRatio baseline;         // of the unchanged side, without faults
    Overdispersion overdispersion;  // among the unchanged instances

    // The unchanged side's ratio since the start, or its baseline if it never had any traffic beside the
    // changed side.
    double referenceRatio() const;
};

class SideComparison {
  public:
    // `thresholds` has to outlive the comparison.
    explicit SideComparison(const Thresholds& thresholds) : thresholds_(thresholds) {}

    // Reads the fleet's last window. Baselines are not updated during a fault.
    void observe(Nanos now, const FleetView& fleet, const SlowLatencyTracker& slowLatencies,
                 const DrainingCaches& drainingCaches, bool isFaultActive);
    // The kind with the strongest evidence over the bound, with both sides' figures; empty if none is over
    // it. `boundFactor`: multiplies the bound on the logarithm of the evidence.
    std::string describeWorst(double boundFactor) const;
    // Null if nothing of that kind was seen.
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
        EventCounts unchanged;                  // of all zones
        std::map<int, EventCounts> byInstance;  // unchanged ones
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
    std::map<std::string, Comparison, std::less<>> comparisons_;  // by kind
};

}  // namespace poppyscale::rollout
