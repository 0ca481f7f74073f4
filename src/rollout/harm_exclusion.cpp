#include "rollout/harm_exclusion.hpp"

#include <algorithm>
#include <array>

namespace poppyscale::rollout {
namespace {

constexpr double kErrorProbability = 0.02;  // probability of ruling out harm that exists
// Requests or responses. A changed side or a baseline with fewer proves nothing.
constexpr double kMinEvents = 60;

bool isRuledOut(const Comparison& comparison, double harm, bool hasUnchangedInstances) {
    const Evidence& evidence = comparison.evidence;
    // Unchanged instances without metrics prove nothing. Without any unchanged instance, no reference
    // is required: a coordinator that resumed a rollout after all instances had changed has only the
    // changed side's ratio.
    const bool hasReference =
        evidence.unchangedTotal() > 0 || comparison.baseline.denominator() >= kMinEvents;
    if (!hasReference && hasUnchangedInstances) return false;
    if (evidence.changedTotal() < kMinEvents) return false;
    const double upper =
        upperConfidenceBound(evidence.changedBad(), evidence.changedTotal(), kErrorProbability);
    return upper - comparison.referenceRatio() <= harm;
}

}  // namespace

bool isHarmRuledOut(const SideComparison& comparison, const Thresholds& thresholds,
                    const RolloutSchedule& schedule) {
    struct Limit {
        std::string_view kind;
        double harm;
    };
    const std::array<Limit, 4> limits{{{event_kind::kUnanswered, thresholds.harm},
                                       {event_kind::kLate, thresholds.harm},
                                       {event_kind::kSlower, thresholds.slowHarm},
                                       {event_kind::kNeverAnswered, thresholds.neverAnsweredHarm}}};
    const bool hasUnchangedInstances = schedule.targetCount() < schedule.instanceCount();
    // The harm to rule out for never answered requests is so small that the first stage's traffic
    // is seldom enough.
    const bool needsNeverAnswered = schedule.stage() >= std::min(2, schedule.stageCount());
    for (const Limit& limit : limits) {
        if (limit.kind == event_kind::kNeverAnswered && !needsNeverAnswered) continue;
        const Comparison* const found = comparison.find(limit.kind);
        // Without a threshold for slow responses there is nothing to compare.
        if (!found && limit.kind == event_kind::kSlower) continue;
        if (!found || !isRuledOut(*found, limit.harm, hasUnchangedInstances)) return false;
    }
    return true;
}

}  // namespace poppyscale::rollout
