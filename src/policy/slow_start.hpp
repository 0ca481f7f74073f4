// Limits the attempts at a server while it warms up.
#pragma once

#include "base/decaying_sum.hpp"
#include "base/time.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace poppyscale::policy {

class Random;
class Server;

// The attempts that one server may be sent while it warms up. Fills with time, at the rate that
// SlowStart gives. Each server has one.
class WarmupBudget {
  public:
    // Starts filling at `now`.
    void fillFrom(Nanos now) { filledAt_ = now; }
    // Skips the time before `now`, for which the budget is not filled.
    void skipTo(Nanos now);
    // Empties the budget, and starts filling it at `now`.
    void restart(Nanos now);
    // Adds the attempts for the time up to `now`, at `rate` attempts per `window`. A budget below
    // one attempt allows one with that probability. Returns whether an attempt is left.
    bool fill(double rate, Nanos window, Nanos now, Random& random);
    void spend() { attempts_ -= 1; }

  private:
    double attempts_ = 0;
    Nanos filledAt_ = 0;
};

// Guarantees that all routers together send a server that is warming up at most half of the load at
// which it collapses, and all of it while routers owe it their first attempts after a readmission, as
// long as the routers receive about equal traffic: the load is estimated from the answers that this
// router gets from warmed-up servers. Owns the throughput, the latency and the weight of these
// servers.
class SlowStart {
  public:
    // `settings` is read at each call, except for its overloadWindow, which must not change.
    explicit SlowStart(const PolicySettings& settings);

    // The fraction of its full load that a server bears. Rises linearly from the server's start to
    // 1 at the end of the ramp.
    double warmupFraction(const Server& server, Nanos now) const;
    bool isWarmingUp(const Server& server, Nanos now) const { return warmupFraction(server, now) < 1; }
    // Whether the server is warming up and counts as started because an operator readmitted it.
    bool isWarmingUpAfterReadmission(const Server& server, Nanos now) const;
    // The time after which a server's warm-up fraction has risen enough for it to be recomputed.
    Nanos stepDuration() const;
    // Whether an attempt may be sent to `server`; fills its budget. While the server awaits its first
    // attempt, the same as isFirstAttemptDue().
    bool hasBudget(Server& server, Nanos now, Random& random);
    // Whether a readmitted server is to get its first attempt now. To be called only if it can be sent.
    bool isFirstAttemptDue(Server& server, Nanos now, Random& random);
    // An attempt at `server` is started. `isPreferred`: the server was not chosen as a candidate.
    void onAttemptStarted(Server& server, bool isPreferred, Nanos now);
    const WarmupAttemptCounts& counts() const { return counts_; }
    // Records an answer of a cache server that is warmed up, and the latency of a success.
    void recordAnswerOfWarmServer(Nanos now) { answers_.add(now, 1); }
    void recordLatencyOfWarmServer(Nanos latency);
    // `weight`: the sum of the weights of the `count` usable cache servers that are warmed up.
    void setWarmServers(double weight, int count, Nanos now);

  private:
    void updateThroughput(Nanos now);
    // The attempts that a warmed-up server of this weight is known to bear in a window, from all routers.
    double knownCapacity(double weight) const;
    Nanos largestLatencyObjective() const;

    const PolicySettings& settings_;
    const Nanos window_;
    WarmupAttemptCounts counts_;
    DecayingSum answers_;
    double warmWeight_ = 0;
    int warmCount_ = 0;
    double throughput_ = 0;   // answers per window of a warmed-up server of weight 1
    double meanLatency_ = 0;  // of recent successes of warmed-up servers, in ns; 0 if there was none
    int latencySamples_ = 0;
};

}  // namespace poppyscale::policy
