#include "rollout/slow_latency_tracker.hpp"

#include <algorithm>
#include <numeric>

namespace poppyscale::rollout {
namespace {

constexpr double kSlowFraction = 0.25;
constexpr double kDecayPerWindow = 0.97;
constexpr double kMinResponses = 60;  // needed to set a threshold

std::size_t findFirstSlowBucket(const std::vector<double>& buckets, double total) {
    double slower = 0;
    std::size_t first = buckets.size();
    while (first > 1 && slower + buckets[first - 1] <= kSlowFraction * total) {
        --first;
        slower += buckets[first];
    }
    return first;
}

}  // namespace

void SlowLatencyTracker::observe(const FleetView& fleet, bool maySetThresholds) {
    for (auto& [requestClass, buckets] : latencies_)
        for (double& count : buckets) count *= kDecayPerWindow;
    for (const InstanceView& instance : fleet.instances()) {
        if (!fleet.isUnchanged(instance)) continue;
        for (const auto& [requestClass, metrics] : instance.window->requestClasses) {
            auto& buckets = latencies_[requestClass];
            buckets.resize(std::max(buckets.size(), metrics.latencies.size()));
            for (std::size_t i = 0; i < metrics.latencies.size(); ++i)
                buckets[i] += static_cast<double>(metrics.latencies[i]);
        }
    }
    if (maySetThresholds) setThresholds();
}

std::optional<std::size_t> SlowLatencyTracker::firstSlowBucket(const std::string& requestClass) const {
    const auto found = firstSlowBuckets_.find(requestClass);
    if (found == firstSlowBuckets_.end()) return std::nullopt;
    return found->second;
}

void SlowLatencyTracker::setThresholds() {
    for (const auto& [requestClass, buckets] : latencies_) {
        const double total = std::accumulate(buckets.begin(), buckets.end(), 0.0);
        if (firstSlowBuckets_.contains(requestClass) || total < kMinResponses) continue;
        firstSlowBuckets_[requestClass] = findFirstSlowBucket(buckets, total);
    }
}

}  // namespace poppyscale::rollout
