#include "rollout/fault_detector.hpp"

namespace poppyscale::rollout {
namespace {

constexpr Nanos kRecentHalfLife = 3'000 * kMillisecond;
constexpr Nanos kBaselineHalfLife = 60'000 * kMillisecond;
// A fault begins above kFaultFactor times the baseline plus kFaultAllowance and ends below
// kRecoveryFactor times the baseline plus kRecoveryAllowance. The gap prevents flapping.
constexpr double kFaultFactor = 2;
constexpr double kFaultAllowance = 0.01;
constexpr double kRecoveryFactor = 1.5;
constexpr double kRecoveryAllowance = 0.005;
constexpr double kMinFaultEvents = 6;  // unsuccessful or late requests; fewer are no fault
// A fault ends this long after it was last seen, at the earliest.
constexpr Nanos kMinRecoveryTime = 2'000 * kMillisecond;

}  // namespace

FaultDetector::FaultDetector() : recent_(kRecentHalfLife), baseline_(kBaselineHalfLife) {}

std::optional<FaultTransition> FaultDetector::observe(Nanos now, const FleetView& fleet) {
    const FleetWindow window = sumWindows(fleet);
    if (window.instances == 0) return std::nullopt;
    recent_.add(now, window.referenceBad, window.referenceRequests);
    excuses_.observe(now, window);
    const double baselineRatio = baseline_.value();
    const bool wasActive = isActive_;
    updateState(now, baselineRatio);
    const std::string unreachable = fleet.unreachableAgents(now);
    if (!unreachable.empty()) excuses_.noteInterruption(now);
    const std::string excuse = excuses_.find(now, unreachable);
    // Keeps the excuse until the fault ends: towards its end, the servers that caused it are
    // already avoided, so that nothing shows the cause any more, while requests are still late.
    if (!isActive_ || !excuse.empty()) excuse_ = excuse;
    if (!isActive_) {
        baseline_.add(now, window.referenceBad, window.referenceRequests);
        excuses_.learn(now, window);
    }
    if (isActive_ == wasActive) return std::nullopt;
    return FaultTransition{isActive_, recent_.value(), baselineRatio};
}

void FaultDetector::updateState(Nanos now, double baselineRatio) {
    const bool isFaulty = recent_.numerator() >= kMinFaultEvents &&
                          recent_.value() > kFaultFactor * baselineRatio + kFaultAllowance;
    if (isFaulty) {
        if (!isActive_) beganAt_ = now;
        isActive_ = true;
        lastSeenAt_ = now;
        return;
    }
    const bool hasRecovered = recent_.value() < kRecoveryFactor * baselineRatio + kRecoveryAllowance &&
                              now - lastSeenAt_ >= kMinRecoveryTime;
    if (hasRecovered) isActive_ = false;
}

}  // namespace poppyscale::rollout
