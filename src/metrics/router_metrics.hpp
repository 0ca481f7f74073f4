// The counters and latency histograms of a router.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace poppyscale::metrics {

// The version of the format that `json` writes. A reader that does not know the version takes all values as
// unknown.
constexpr int kFormat = 1;

// Each latency bucket is an eighth wider than the one before, so that a shift of the median by a tenth
// is visible.
constexpr int kLatencyBuckets = 118;
constexpr double kMinLatencyMs = 0.1;
constexpr double kMaxLatencyMs = 100'000;

// Why a request was rejected.
enum class Rejection : std::uint8_t {
    requestLimit,        // rejected by the router, at its limit of open requests or of buffered bytes
    beforeFirstAttempt,  // rejected by the policy, before any attempt
    // Rejected by the policy, after an attempt that was not executed or may be repeated.
    afterAttempt
};

// Counts requests by request class, and attempts, since the router's start. Staged rollouts compare these
// counts. Created only if an operator's socket can read them. Used by one thread.
class RouterMetrics {
  public:
    explicit RouterMetrics(const std::vector<RequestClass>& requestClasses);
    // Adds new request classes and takes over latency objectives; removed classes keep their counters.
    void updateRequestClasses(const std::vector<RequestClass>& requestClasses);

    // Each accepted request ends with one call of `recordSucceeded`, `recordRejected`, `recordFailed`
    // or `recordAbandoned`. A request rejected for `requestLimit` is never accepted.
    void recordAccepted(std::string_view requestClass);
    void recordSucceeded(std::string_view requestClass, Nanos latency);
    void recordRejected(std::string_view requestClass, Rejection reason);
    void recordFailed(std::string_view requestClass);
    // The client disconnected before the response.
    void recordAbandoned(std::string_view requestClass);
    void recordAttempt(bool toOrigin);
    void recordAttemptEnded(AttemptOutcome outcome, Nanos duration);
    // The duration of one iteration of the event loop, without its wait for events.
    void recordIteration(Nanos duration);

    // All counters. The members' names are mapped to the output keys only here.
    nlohmann::json json() const;

  private:
    using LatencyHistogram = decltype(boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(
            kLatencyBuckets, kMinLatencyMs, kMaxLatencyMs)));
    struct RequestClassMetrics {
        Nanos latencyObjective = 0;
        std::uint64_t accepted = 0;
        std::uint64_t withinObjective = 0;
        std::uint64_t late = 0;
        std::uint64_t rejectedByLimit = 0;
        std::uint64_t rejectedBeforeAttempt = 0;
        std::uint64_t rejectedAfterAttempt = 0;
        std::uint64_t failed = 0;
        std::uint64_t abandoned = 0;
        LatencyHistogram latencies;  // latencies of succeeded requests, in milliseconds
    };
    RequestClassMetrics& metricsOf(std::string_view requestClass);

    std::map<std::string, RequestClassMetrics, std::less<>> requestClasses_;
    std::uint64_t attempts_ = 0;
    std::uint64_t originAttempts_ = 0;
    std::uint64_t failed_ = 0;  // counts attempts, as the four counters below do
    std::uint64_t timedOut_ = 0;
    std::uint64_t connectionsLost_ = 0;
    std::uint64_t overloaded_ = 0;
    std::uint64_t connectFailed_ = 0;
    double attemptMs_ = 0;  // total duration of the attempts that have ended
    Nanos longestIteration_ = 0;
};

}  // namespace poppyscale::metrics
