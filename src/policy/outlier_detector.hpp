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

// The recent outcomes of one server's attempts, as decaying sums, and whether it is ejected for them. One for
// each server; OutlierDetector alone ejects.
class OutcomeHistory {
  public:
    // Notes that an attempt ended. Whether it is the first that ended at this time: responses on one
    // connection come in order, so that what a heavy one delayed ends with it.
    bool noteEnd(Nanos now);
    // `latencyRatio`: of the latency to the latency objective. A success or a miss is an answer.
    void record(AttemptOutcome outcome, double latencyRatio, Nanos now);
    void recordFailure(Nanos now) { failures_.add(now, 1); }

    double outcomes(Nanos now) { return outcomes_.read(now); }
    double failures(Nanos now) { return failures_.read(now); }
    // Sum over the outcomes.
    double latencyRatios(Nanos now) { return latencyRatios_.read(now); }
    int consecutiveTimeouts() const { return consecutiveTimeouts_; }

    bool isEjected(Nanos now) const { return ejectedUntil_ > now; }
    Nanos ejectedUntil() const { return ejectedUntil_; }
    // Ejects the server, and forgets its outcomes.
    void eject(Nanos until);
    // Forgets all, an ejection included.
    void restart();

  private:
    // A quiet router sees few outcomes of each server.
    static constexpr Nanos kTimeConstant = 15'000 * kMillisecond;

    void clearSums();

    DecayingSum outcomes_{kTimeConstant};
    DecayingSum latencyRatios_{kTimeConstant};
    DecayingSum failures_{kTimeConstant};
    int consecutiveTimeouts_ = 0;
    Nanos lastEndAt_ = 0;
    Nanos ejectedUntil_ = 0;
};

// Ejects a cache server for some seconds when its failures lie above what the median of all servers makes
// likely. Guarantees that no more than half of the usable cache servers are ejected, and that the origin
// never is. Owns no state; each server has its OutcomeHistory.
class OutlierDetector {
  public:
    OutlierDetector(const EndpointRegistry& registry, PolicyHost& host, Random& random)
        : registry_(registry), host_(host), random_(random) {}

    // Records a failure of `server`; whether it is ejected for it now.
    bool recordFailure(Server& server, Nanos now);

  private:
    // Of all usable cache servers.
    struct Population {
        std::vector<double> failureRates;
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
