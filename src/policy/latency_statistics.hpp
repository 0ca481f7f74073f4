// Statistics over the attempts at all servers.
#pragma once

#include "base/decaying_sum.hpp"
#include "base/time.hpp"

namespace poppyscale::policy {

class ConcurrencyLimiter;

// Latencies and success rates over all servers, the origin included, as decaying sums over some seconds. Owns
// these sums and whether the system is under pressure.
class LatencyStatistics {
  public:
    explicit LatencyStatistics(Nanos now) : startedAt_(now) {}

    void recordSuccess(Nanos latency, Nanos now);
    // `latencyRatio`: the latency divided by the latency objective.
    void recordOutcome(double latencyRatio, Nanos now);
    // Recomputes isUnderPressure(). `totalLimiter`: the limiter over all cache servers.
    void updatePressure(const ConcurrencyLimiter& totalLimiter, Nanos now);

    // The mean latency of recent successful attempts; 0 if there are none.
    Nanos meanLatency(Nanos now);
    // The mean time between two successes, as seen by this router.
    Nanos successInterval(Nanos now);
    // Whether more than half of the recent attempts succeeded.
    bool haveMostSucceeded(Nanos now);
    // Whether responses are so slow that requests over their tenant's quota have to be shed.
    bool isUnderPressure() const { return isUnderPressure_; }

  private:
    static constexpr Nanos kTimeConstant = 5'000 * kMillisecond;

    const Nanos startedAt_;
    DecayingSum successes_{kTimeConstant};
    DecayingSum successLatencies_{kTimeConstant};
    DecayingSum outcomes_{kTimeConstant};
    DecayingSum latencyRatios_{kTimeConstant};
    bool isUnderPressure_ = false;
};

}  // namespace poppyscale::policy
