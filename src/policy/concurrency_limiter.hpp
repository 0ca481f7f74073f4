// An adaptive limit on the attempts that are in flight.
#pragma once

#include "base/time.hpp"

namespace poppyscale::policy {

// The median latency up to which a server is not taken to be queueing, as a fraction of the latency
// objective. The rest of the objective is left for the spread about the median.
constexpr double kTargetLatencyRatio = 0.4;

// Learns from latencies how many attempts may be in flight at one server, or at all cache servers
// together: raises the limit by small steps while it is nearly reached, and lowers it by a factor
// when the fast median of the latency lies above the target and the slow median is close to it (60
// to 80%, depending on the latency of the idle server) or above. All latencies are taken as ratios
// to the latency objective of their request, so that requests of different classes can be compared.
// Limits below one are enforced by a pause between attempts.
//
// Owns the count of attempts in flight: each onAttemptStarted() is followed by one
// onAttemptEnded().
class ConcurrencyLimiter {
  public:
    // The median latency ratio up to which a server that is quick when idle is not taken to be
    // queueing: `ratio` + `ratioAtLimitOne` / limit. The second term keeps a small limit usable
    // where many routers share a server.
    struct Target {
        double ratio;
        double ratioAtLimitOne = 0;
    };

    ConcurrencyLimiter(Target target, double initialLimit) : target_(target), limit_(initialLimit) {}

    // Whether one more attempt may be started. A request over its tenant's quota leaves a quarter of the
    // limit free for others.
    bool hasCapacity(Nanos now, bool isOverQuota) const;

    void onAttemptStarted() { ++inFlight_; }
    void onAttemptEnded() { --inFlight_; }
    // Records the latency of an attempt that ended at `now`, and adapts the limit.
    void recordLatency(Nanos now, Nanos latency, Nanos latencyObjective);
    // Multiplies the limit by `factor`, at most once per `window`: attempts that were in flight
    // together show the same overload.
    void decrease(Nanos now, Nanos window, double factor);

    void setLimit(double limit) { limit_ = limit; }
    void lowerLimitTo(double limit);
    void raiseLimitTo(double limit);
    // Starts over with this target and limit; attempts in flight stay counted.
    void restart(Target target, double initialLimit);

    int inFlight() const { return inFlight_; }
    double limit() const { return limit_; }
    bool hasDecreased() const { return lastDecreaseAt_ != 0; }
    // Slowly moving median of latency ratios; 0 before the first sample.
    double medianLatencyRatio() const { return slowMedian_; }
    // Approximately the minimum of medianLatencyRatio() so far.
    double idleLatencyRatio() const { return idleRatio_; }
    // Whether enough latencies were recorded for the medians to be reliable.
    bool hasEnoughSamples() const;
    Nanos lastSampleAt() const { return lastSampleAt_; }

  private:
    void updateMedians(Nanos now, double ratio);
    double targetRatio() const;
    void increase();
    void scheduleNextAttempt(Nanos now, Nanos latency);

    Target target_;
    double limit_;
    double fastMedian_ = 0;
    double slowMedian_ = 0;
    double idleRatio_ = 1;
    int sampleCount_ = 0;
    int inFlight_ = 0;
    Nanos lastDecreaseAt_ = 0;  // 0: never
    Nanos nextAttemptAt_ = 0;   // 0 if the limit was at least one at the last sample
    Nanos lastSampleAt_ = 0;
};

}  // namespace poppyscale::policy
