// What a router has done since its start, by verb: what a staged change is judged by. Made only where an
// operator's socket can ask for it; a router without one has no such object.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "policy/routing_policy.hpp"

namespace poppyscale::metrics {

// The form of `json`; a reader that does not know it takes all of it for unknown.
constexpr int kFormat = 1;

// Times of answers in classes that grow by an eighth, 0.1 ms to 100 s: a shift of the median by a tenth
// shows.
constexpr int kLatencyBuckets = 118;
constexpr double kMinLatencyMs = 0.1, kMaxLatencyMs = 100'000;

enum class Rejection : std::uint8_t {
    requestLimit,        // the router held as many commands as it may
    beforeFirstAttempt,  // by the decisions, before any relay
    afterAttempt         // by the decisions, after a relay that never ran or may run again
};

class RouterMetrics {
  public:
    explicit RouterMetrics(const std::vector<RequestClass>& requestClasses);
    // Verbs that are new are added; what is gone keeps its figures.
    void updateRequestClasses(const std::vector<RequestClass>& requestClasses);

    void recordAccepted(std::string_view requestClass);
    void recordSucceeded(std::string_view requestClass, Nanos took);
    void recordRejected(std::string_view requestClass, Rejection why);
    void recordFailed(std::string_view requestClass);
    void recordAbandoned(std::string_view requestClass);  // its client went before its answer
    void recordAttempt(bool toOrigin);
    void recordAttemptEnded(AttemptOutcome how, Nanos spent);
    void recordIteration(Nanos took);

    nlohmann::json json() const;

  private:
    using Times = decltype(boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(
            kLatencyBuckets, kMinLatencyMs, kMaxLatencyMs)));
    struct RequestClassMetrics {
        Nanos latencyObjective = 0;
        std::uint64_t accepted = 0, withinObjective = 0, late = 0, full = 0, unsent = 0, after = 0,
                      failed = 0, abandoned = 0;
        Times latencies;
    };
    RequestClassMetrics& metricsOf(std::string_view requestClass);

    std::map<std::string, RequestClassMetrics, std::less<>> requestClasses_;
    std::uint64_t attempts_ = 0, originAttempts_ = 0, failed_ = 0, timedOut_ = 0, connectionsLost_ = 0,
                  overloaded_ = 0, connectFailed_ = 0;
    double attemptMs_ = 0;
    Nanos longestIteration_ = 0;
};

}  // namespace poppyscale::metrics
