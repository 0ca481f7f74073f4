#include "metrics/router_metrics.hpp"

#include <algorithm>

namespace poppyscale::metrics {

RouterMetrics::RouterMetrics(const std::vector<RequestClass>& requestClasses) {
    updateRequestClasses(requestClasses);
}

void RouterMetrics::updateRequestClasses(const std::vector<RequestClass>& requestClasses) {
    for (const RequestClass& requestClass : requestClasses)
        metricsOf(requestClass.name).latencyObjective = requestClass.latencyObjective;
}

RouterMetrics::RequestClassMetrics& RouterMetrics::metricsOf(std::string_view requestClass) {
    const auto it = requestClasses_.find(requestClass);
    if (it != requestClasses_.end()) return it->second;
    RequestClassMetrics made;
    made.latencies = boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(
            kLatencyBuckets, kMinLatencyMs, kMaxLatencyMs));
    return requestClasses_.emplace(std::string(requestClass), std::move(made)).first->second;
}

void RouterMetrics::recordAccepted(std::string_view requestClass) { ++metricsOf(requestClass).accepted; }

void RouterMetrics::recordSucceeded(std::string_view requestClass, Nanos took) {
    RequestClassMetrics& v = metricsOf(requestClass);
    ++(took <= v.latencyObjective ? v.withinObjective : v.late);
    v.latencies(static_cast<double>(std::max<Nanos>(took, 1)) / 1e6);
}

void RouterMetrics::recordRejected(std::string_view requestClass, Rejection why) {
    RequestClassMetrics& v = metricsOf(requestClass);
    ++(why == Rejection::requestLimit ? v.full : why == Rejection::beforeFirstAttempt ? v.unsent : v.after);
}

void RouterMetrics::recordFailed(std::string_view requestClass) { ++metricsOf(requestClass).failed; }
void RouterMetrics::recordAbandoned(std::string_view requestClass) { ++metricsOf(requestClass).abandoned; }

void RouterMetrics::recordAttempt(bool toOrigin) {
    ++attempts_;
    originAttempts_ += toOrigin;
}

void RouterMetrics::recordAttemptEnded(AttemptOutcome how, Nanos spent) {
    attemptMs_ += static_cast<double>(spent) / 1e6;
    failed_ += how == AttemptOutcome::failed;
    timedOut_ += how == AttemptOutcome::timedOut;
    connectionsLost_ += how == AttemptOutcome::connectionLost || how == AttemptOutcome::notExecuted;
    overloaded_ += how == AttemptOutcome::overloaded;
    connectFailed_ += how == AttemptOutcome::connectFailed || how == AttemptOutcome::notSent;
}

void RouterMetrics::recordIteration(Nanos took) { longestIteration_ = std::max(longestIteration_, took); }

nlohmann::json RouterMetrics::json() const {
    auto requestClasses = nlohmann::json::object();
    for (const auto& [name, v] : requestClasses_) {
        auto times = nlohmann::json::array();  // from the fastest class that was met, then one by one
        int first = 0;
        for (int i = -1; i <= kLatencyBuckets; ++i) {
            const auto count = static_cast<std::uint64_t>(v.latencies.at(i));
            if (times.empty() && count == 0) continue;
            if (times.empty()) first = i;
            times.push_back(count);
        }
        while (!times.empty() && times.back() == 0) times.erase(times.size() - 1);
        requestClasses[name] = {{"goal_ms", v.latencyObjective / kMillisecond},
                                {"taken", v.accepted},
                                {"in_goal", v.withinObjective},
                                {"late", v.late},
                                {"declined", {{"full", v.full}, {"unsent", v.unsent}, {"after", v.after}}},
                                {"terminated", v.failed},
                                {"left", v.abandoned},
                                {"times_from", first},
                                {"times", std::move(times)}};
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
