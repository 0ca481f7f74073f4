#include "rollout/side_comparison.hpp"

#include <fmt/format.h>

#include <cmath>

namespace poppyscale::rollout {
namespace {

constexpr Nanos kBaselineHalfLife = 60'000 * kMillisecond;
constexpr Nanos kOverdispersionHalfLife = 30'000 * kMillisecond;
// Tolerated on top of the ratio, as a fraction of the total.
constexpr double kConnectionAllowance = 0.1;
constexpr double kPressureAllowance = 0.02;
constexpr double kSlowerAllowance = 0.01;
constexpr double kAttemptsLostAllowance = 0.02;
// The allowance for kNeverAnswered is the plan's allowance divided by this.
constexpr double kNeverAnsweredDivisor = 8;

void add(EventCount& sum, const EventCount& count) {
    sum.bad += count.bad;
    sum.total += count.total;
}

// Returns null if no traffic of that kind was counted.
const EventCount* findTraffic(const EventCounts& counts, const std::string& kind) {
    const auto found = counts.find(kind);
    return found != counts.end() && found->second.total > 0 ? &found->second : nullptr;
}

}  // namespace

double Comparison::referenceRatio() const {
    return evidence.unchangedTotal() > 0 ? evidence.unchangedRatio() : baseline.value();
}

void SideComparison::observe(Nanos now, const FleetView& fleet, const SlowLatencyTracker& slowLatencies,
                             const DrainingCaches& drainingCaches, bool isFaultActive) {
    const WindowCounts counts = countWindow(fleet, slowLatencies, drainingCaches);
    // A window is weighed by the baselines from before it, so they are updated after the evidence.
    addEvidence(counts);
    updateBaselines(now, counts, isFaultActive);
    updateOverdispersion(now, fleet, counts);
}

SideComparison::WindowCounts SideComparison::countWindow(const FleetView& fleet,
                                                         const SlowLatencyTracker& slowLatencies,
                                                         const DrainingCaches& drainingCaches) const {
    WindowCounts counts;
    for (int i = 0; i < fleet.instanceCount(); ++i) {
        const InstanceView& instance = fleet.instance(i);
        const bool isChanged = fleet.isChanged(instance);
        if (!isChanged && !fleet.isUnchanged(instance)) continue;
        EventCounts events = countEvents(*instance.window, slowLatencies, drainingCaches);
        SideCounts& zone = counts.zones[instance.zone];
        EventCounts& side = isChanged ? zone.changed : zone.unchanged;
        for (const auto& [kind, count] : events) {
            add(side[kind], count);
            if (!isChanged) add(counts.unchanged[kind], count);
        }
        if (!isChanged) counts.byInstance.emplace(i, std::move(events));
    }
    return counts;
}

void SideComparison::addEvidence(const WindowCounts& counts) {
    for (const auto& [name, zone] : counts.zones)
        for (const auto& [kind, changed] : zone.changed)
            addEvidence(kind, changed, zone.unchanged, counts.unchanged);
}

void SideComparison::addEvidence(const std::string& kind, const EventCount& changed,
                                 const EventCounts& zoneUnchanged, const EventCounts& allUnchanged) {
    Comparison& comparison = comparisonOf(kind);
    PairedCounts counts{changed.bad, changed.total, 0, 0};
    double overdispersion = comparison.overdispersion.value();
    const EventCount* reference = findTraffic(zoneUnchanged, kind);
    if (!reference) reference = findTraffic(allUnchanged, kind);
    if (reference) {
        counts.unchangedBad = reference->bad;
        counts.unchangedTotal = reference->total;
    } else if (comparison.baseline.denominator() > 0) {
        counts.unchangedBad = comparison.baseline.value() * changed.total;
        counts.unchangedTotal = changed.total;
        overdispersion = 2 * overdispersion + 1;
    }
    comparison.evidence.add(counts, comparison.baseline.value(), overdispersion);
}

void SideComparison::updateBaselines(Nanos now, const WindowCounts& counts, bool isFaultActive) {
    for (const auto& [kind, count] : counts.unchanged) {
        Comparison& comparison = comparisonOf(kind);
        if (!isFaultActive) comparison.baseline.add(now, count.bad, count.total);
    }
}

void SideComparison::updateOverdispersion(Nanos now, const FleetView& fleet, const WindowCounts& counts) {
    for (const auto& [i, events] : counts.byInstance) {
        const EventCounts& zone = counts.zones.at(fleet.instance(i).zone).unchanged;
        for (const auto& [kind, count] : events) {
            const EventCount& all = zone.at(kind);
            if (all.total <= 0 || count.total <= 0) continue;
            const double expected = all.bad * count.total / all.total;
            comparisonOf(kind).overdispersion.add(now, i, count.bad, expected);
        }
    }
    for (int i = 0; i < fleet.instanceCount(); ++i) {
        if (counts.byInstance.contains(i)) continue;
        for (auto& [kind, comparison] : comparisons_) comparison.overdispersion.forget(i);
    }
}

Comparison& SideComparison::comparisonOf(const std::string& kind) {
    const auto found = comparisons_.find(kind);
    if (found != comparisons_.end()) return found->second;
    const Comparison fresh{evidenceFor(kind), DecayingRatio{kBaselineHalfLife},
                           Overdispersion{kOverdispersionHalfLife}};
    return comparisons_.emplace(kind, fresh).first->second;
}

Evidence SideComparison::evidenceFor(std::string_view kind) const {
    using namespace event_kind;
    if (kind == kConnectionsPerAttempt) return {thresholds_.pressure, kConnectionAllowance};
    if (kind == kAttemptsPerRequest || kind == kOriginAttemptsPerRequest || kind == kEndpointPolls)
        return {thresholds_.pressure, kPressureAllowance};
    if (kind == kSlower) return {thresholds_.slower, kSlowerAllowance};
    if (kind == kNeverAnswered) return {thresholds_.ratio, thresholds_.allowance / kNeverAnsweredDivisor};
    if (kind == kAttemptsLost) return {thresholds_.ratio, kAttemptsLostAllowance};
    return {thresholds_.ratio, thresholds_.allowance};
}

std::string SideComparison::describeWorst(double boundFactor) const {
    // Each kind gets an equal part of the tolerated false alarms, so that all kinds together stay
    // within them.
    const double bound =
        std::log(static_cast<double>(comparisons_.size()) / thresholds_.falseAlarms) * boundFactor;
    const Comparison* worst = nullptr;
    std::string worstKind;
    for (const auto& [kind, comparison] : comparisons_) {
        const double valueToExceed = worst ? worst->evidence.logValue() : bound;
        if (comparison.evidence.logValue() <= valueToExceed) continue;
        worst = &comparison;
        worstKind = kind;
    }
    if (!worst) return "";
    const Evidence& evidence = worst->evidence;
    return fmt::format("{}: changed side {:.4g} of {:.0f}, unchanged side {:.4g} of {:.0f}", worstKind,
                       evidence.changedRatio(), evidence.changedTotal(), worst->referenceRatio(),
                       evidence.unchangedTotal());
}

const Comparison* SideComparison::find(std::string_view kind) const {
    const auto found = comparisons_.find(kind);
    return found != comparisons_.end() ? &found->second : nullptr;
}

}  // namespace poppyscale::rollout
