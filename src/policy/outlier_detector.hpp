// Ejects servers that fail more than the others.
#pragma once

#include <vector>

#include "base/decaying_sum.hpp"
#include "base/time.hpp"
#include "policy/policy_host.hpp"

namespace poppyscale::policy {

class EndpointRegistry;
class Random;
class Server;

// The recent outcomes of one server's attempts, as decaying sums, and the end of its ejection as an
// outlier. Each server has one; only OutlierDetector ejects.
class OutcomeHistory {
  public:
    // Records that an attempt ended. Returns whether it is the first attempt that ended at this
    // time. Responses on one connection come in order: those that are delayed by a heavy request
    // arrive at the same time as its response, and their latencies must not count as well.
    bool noteEnd(Nanos now);
    // `latencyRatio`: the latency divided by the latency objective. A success or a cache miss
    // resets consecutiveTimeouts().
    void record(AttemptOutcome outcome, double latencyRatio, Nanos now);
    void recordFailure(Nanos now) { failures_.add(now, 1); }

    double outcomes(Nanos now) { return outcomes_.read(now); }
    double failures(Nanos now) { return failures_.read(now); }
    // Sum of the latency ratios of the outcomes.
    double latencyRatios(Nanos now) { return latencyRatios_.read(now); }
    int consecutiveTimeouts() const { return consecutiveTimeouts_; }

    bool isEjected(Nanos now) const { return ejectedUntil_ > now; }
    Nanos ejectedUntil() const { return ejectedUntil_; }
    // Ejects the server, and forgets its outcomes.
    void eject(Nanos until);
    // Forgets all outcomes, and ends an ejection.
    void restart();

  private:
    // Long, since a router with little traffic sees few outcomes of each server.
    static constexpr Nanos kTimeConstant = 15'000 * kMillisecond;

    void clearSums();

    DecayingSum outcomes_{kTimeConstant};
    DecayingSum latencyRatios_{kTimeConstant};
    DecayingSum failures_{kTimeConstant};
    int consecutiveTimeouts_ = 0;
    Nanos lastEndAt_ = 0;
    Nanos ejectedUntil_ = 0;
};

// Ejects a cache server for some seconds when it has more failures than are likely at the median
// failure rate of all cache servers. Guarantees that no more than half of the usable cache servers
// are ejected, and that the origin never is. Owns no state; each server has its OutcomeHistory.
class OutlierDetector {
  public:
    OutlierDetector(const EndpointRegistry& registry, PolicyHost& host, Random& random)
        : registry_(registry), host_(host), random_(random) {}

    // Records a failure of `server`. Returns whether the failure has caused its ejection.
    bool recordFailure(Server& server, Nanos now);

  private:
    // All usable cache servers.
    struct Population {
        std::vector<double> failureRates;  // failure rates of the servers with enough outcomes
        std::size_t usable = 0;
        std::size_t ejected = 0;
    };

    Population population(Nanos now) const;
    void eject(Server& server, double failures, double outcomes, Nanos now);

    const EndpointRegistry& registry_;
    PolicyHost& host_;
    Random& random_;
};

}  // namespace poppyscale::policy
