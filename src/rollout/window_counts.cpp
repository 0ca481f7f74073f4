#include "rollout/window_counts.hpp"

namespace poppyscale::rollout {
namespace {

EventCount& at(EventCounts& counts, std::string_view kind) { return counts[std::string(kind)]; }

std::string ofClass(std::string_view kind, const std::string& requestClass) {
    return std::string(kind) + " " + requestClass;
}

void countSlow(EventCounts& counts, const RequestClassMetrics& metrics, std::size_t firstSlowBucket) {
    EventCount& slower = at(counts, event_kind::kSlower);
    for (std::size_t i = firstSlowBucket; i < metrics.latencies.size(); ++i)
        slower.bad += static_cast<double>(metrics.latencies[i]);
    slower.total += static_cast<double>(metrics.succeeded());
}

// Returns the number of requests.
double countRequestClass(EventCounts& counts, const std::string& name, const RequestClassMetrics& metrics) {
    const auto succeeded = static_cast<double>(metrics.succeeded());
    const auto unsuccessful = static_cast<double>(metrics.unsuccessful());
    const auto late = static_cast<double>(metrics.late);
    const double requests = succeeded + unsuccessful;
    EventCount& unanswered = at(counts, event_kind::kUnanswered);
    unanswered.bad += unsuccessful;
    unanswered.total += requests;
    counts[ofClass(event_kind::kUnanswered, name)] = {unsuccessful, requests};
    // A request that is never answered ends when its client disconnects. Few other faults make many
    // clients disconnect so soon.
    EventCount& neverAnswered = at(counts, event_kind::kNeverAnswered);
    neverAnswered.bad += static_cast<double>(metrics.abandoned);
    neverAnswered.total += requests;
    EventCount& allLate = at(counts, event_kind::kLate);
    allLate.bad += late;
    allLate.total += succeeded;
    counts[ofClass(event_kind::kLate, name)] = {late, succeeded};
    return requests;
}

}  // namespace

EventCounts countEvents(const InstanceMetrics& window, const SlowLatencyTracker& slowLatencies,
                        const DrainingCaches& drainingCaches) {
    EventCounts counts;
    double requests = 0;
    for (const auto& [name, metrics] : window.requestClasses) {
        requests += countRequestClass(counts, name, metrics);
        const auto firstSlowBucket = slowLatencies.firstSlowBucket(name);
        if (firstSlowBucket) countSlow(counts, metrics, *firstSlowBucket);
    }
    const auto attempts = static_cast<double>(window.attempts);
    double attemptsToDraining = 0;
    for (const auto& [name, cache] : window.caches)
        if (drainingCaches.isKnownToAll(name)) attemptsToDraining += static_cast<double>(cache.attempts);
    at(counts, event_kind::kAttemptsLost) = {static_cast<double>(window.unsuccessfulAttempts), attempts};
    at(counts, event_kind::kAttemptsPerRequest) = {attempts, requests};
    at(counts, event_kind::kOriginAttemptsPerRequest) = {static_cast<double>(window.originAttempts),
                                                         requests};
    at(counts, event_kind::kConnectionsPerAttempt) = {static_cast<double>(window.surplusConnections),
                                                      attempts};
    at(counts, event_kind::kAttemptsToDraining) = {attemptsToDraining, attempts};
    at(counts, event_kind::kEndpointPolls) = {static_cast<double>(window.endpointPolls),
                                              static_cast<double>(window.up) / 1e9};
    return counts;
}

}  // namespace poppyscale::rollout
