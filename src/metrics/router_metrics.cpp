#include "metrics/router_metrics.hpp"

#include <algorithm>
#include <utility>

namespace poppyscale::metrics {
namespace {

// The counts of a histogram from the first to the last bucket that is not empty.
struct LatencyBuckets {
    int first = 0;  // index of the first bucket; bucket -1 has the latencies below kMinLatencyMs
    std::vector<std::uint64_t> counts;
};

template <class Histogram>
LatencyBuckets latencyBuckets(const Histogram& histogram) {
    LatencyBuckets buckets;
    for (int index = -1; index <= kLatencyBuckets; ++index) {
        const auto count = static_cast<std::uint64_t>(histogram.at(index));
        if (buckets.counts.empty() && count == 0) continue;
        if (buckets.counts.empty()) buckets.first = index;
        buckets.counts.push_back(count);
    }
    while (!buckets.counts.empty() && buckets.counts.back() == 0) buckets.counts.pop_back();
    return buckets;
}

}  // namespace

RouterMetrics::RouterMetrics(const std::vector<RequestClass>& requestClasses) {
    updateRequestClasses(requestClasses);
}

void RouterMetrics::updateRequestClasses(const std::vector<RequestClass>& requestClasses) {
    for (const RequestClass& requestClass : requestClasses)
        metricsOf(requestClass.name).latencyObjective = requestClass.latencyObjective;
}

RouterMetrics::RequestClassMetrics& RouterMetrics::metricsOf(std::string_view requestClass) {
    const auto known = requestClasses_.find(requestClass);
    if (known != requestClasses_.end()) return known->second;
    RequestClassMetrics metrics;
    metrics.latencies = boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(
            kLatencyBuckets, kMinLatencyMs, kMaxLatencyMs));
    return requestClasses_.emplace(std::string(requestClass), std::move(metrics)).first->second;
}

void RouterMetrics::recordAccepted(std::string_view requestClass) { ++metricsOf(requestClass).accepted; }

void RouterMetrics::recordSucceeded(std::string_view requestClass, Nanos latency) {
    RequestClassMetrics& metrics = metricsOf(requestClass);
    if (latency <= metrics.latencyObjective)
        ++metrics.withinObjective;
    else
        ++metrics.late;
    metrics.latencies(static_cast<double>(std::max<Nanos>(latency, 1)) / 1e6);
}

void RouterMetrics::recordRejected(std::string_view requestClass, Rejection reason) {
    RequestClassMetrics& metrics = metricsOf(requestClass);
    switch (reason) {
        case Rejection::requestLimit:
            ++metrics.rejectedByLimit;
            break;
        case Rejection::beforeFirstAttempt:
            ++metrics.rejectedBeforeAttempt;
            break;
        case Rejection::afterAttempt:
            ++metrics.rejectedAfterAttempt;
            break;
    }
}

void RouterMetrics::recordFailed(std::string_view requestClass) { ++metricsOf(requestClass).failed; }

void RouterMetrics::recordAbandoned(std::string_view requestClass) { ++metricsOf(requestClass).abandoned; }

void RouterMetrics::recordAttempt(bool toOrigin) {
    ++attempts_;
    if (toOrigin) ++originAttempts_;
}

void RouterMetrics::recordAttemptEnded(AttemptOutcome outcome, Nanos duration) {
    attemptMs_ += static_cast<double>(duration) / 1e6;
    switch (outcome) {
        case AttemptOutcome::failed:
            ++failed_;
            break;
        case AttemptOutcome::timedOut:
            ++timedOut_;
            break;
        case AttemptOutcome::connectionLost:
        case AttemptOutcome::notExecuted:
            ++connectionsLost_;
            break;
        case AttemptOutcome::overloaded:
            ++overloaded_;
            break;
        case AttemptOutcome::connectFailed:
        case AttemptOutcome::notSent:
            ++connectFailed_;
            break;
        case AttemptOutcome::succeeded:
        case AttemptOutcome::cacheMiss:
            break;
    }
}

void RouterMetrics::recordIteration(Nanos duration) {
    longestIteration_ = std::max(longestIteration_, duration);
}

nlohmann::json RouterMetrics::json() const {
    auto requestClasses = nlohmann::json::object();
    for (const auto& [name, metrics] : requestClasses_) {
        const LatencyBuckets latencies = latencyBuckets(metrics.latencies);
        requestClasses[name] = {{"goal_ms", metrics.latencyObjective / kMillisecond},
                                {"taken", metrics.accepted},
                                {"in_goal", metrics.withinObjective},
                                {"late", metrics.late},
                                {"declined",
                                 {{"full", metrics.rejectedByLimit},
                                  {"unsent", metrics.rejectedBeforeAttempt},
                                  {"after", metrics.rejectedAfterAttempt}}},
                                {"terminated", metrics.failed},
                                {"left", metrics.abandoned},
                                {"times_from", latencies.first},
                                {"times", latencies.counts}};
    }
    return {{"format", kFormat},
            {"verbs", std::move(requestClasses)},
            {"relays", attempts_},
            {"origin_relays", originAttempts_},
            {"relay_ms", attemptMs_},
            {"relays_errored", failed_},
            {"relays_timed_out", timedOut_},
            {"relays_cut", connectionsLost_},
            {"relays_turned_away", overloaded_},
            {"relays_found_dead", connectFailed_},
            {"longest_turn_us", longestIteration_ / 1000}};
}

}  // namespace poppyscale::metrics
