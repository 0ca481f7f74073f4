#include "rollout/fleet_window.hpp"

#include <algorithm>

namespace poppyscale::rollout {
namespace {

double countRequests(const InstanceMetrics& window) {
    double count = 0;
    for (const auto& [name, requestClass] : window.requestClasses)
        count += static_cast<double>(requestClass.succeeded() + requestClass.unsuccessful());
    return count;
}

void addReference(FleetWindow& sums, const InstanceMetrics& window) {
    for (const auto& [name, requestClass] : window.requestClasses)
        sums.referenceBad += static_cast<double>(requestClass.unsuccessful() + requestClass.late);
    sums.referenceRequests += countRequests(window);
    sums.referenceAttemptsLost += static_cast<double>(window.unsuccessfulAttempts);
    sums.referenceAttempts += static_cast<double>(window.attempts);
}

}  // namespace

FleetWindow sumWindows(const FleetView& fleet) {
    FleetWindow sums;
    const bool hasUnchanged = fleet.hasUnchanged();
    for (const InstanceView& instance : fleet.instances()) {
        if (!instance.window) continue;
        const InstanceMetrics& window = *instance.window;
        ++sums.instances;
        sums.duration = std::max(sums.duration, window.up);
        sums.requests += countRequests(window);
        sums.attempts += static_cast<double>(window.attempts);
        sums.attemptMs += window.attemptMs;
        sums.cachesReady = std::max(sums.cachesReady, window.cachesReady);
        const bool isReference = hasUnchanged ? fleet.isUnchanged(instance) : fleet.isChanged(instance);
        if (isReference) addReference(sums, window);
    }
    return sums;
}

}  // namespace poppyscale::rollout
