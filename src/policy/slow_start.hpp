// Limits what a server is sent while it warms up.
#pragma once

#include "base/decaying_sum.hpp"
#include "base/time.hpp"
#include "policy/settings.hpp"

namespace poppyscale::policy {

class Random;
class Server;

// The attempts that one server may be sent while it warms up. Fills with time; SlowStart gives the rate. One
// for each server.
class WarmupBudget {
  public:
    // It fills from `now` on.
    void fillFrom(Nanos now) { filledAt_ = now; }
    // It does not fill for the time before `now`.
    void skipTo(Nanos now);
    // One attempt at once, and it fills from `now` on.
    void restart(Nanos now);
    // Adds what `rate`, in attempts for each `window`, gives up to `now`. A budget below one attempt allows
    // one with that probability. Whether an attempt is left.
    bool fill(double rate, Nanos window, Nanos now, Random& random);
    void spend() { attempts_ -= 1; }

  private:
    double attempts_ = 0;
    Nanos filledAt_ = 0;
};

// Guarantees that all routers together send a server that is warming up at most half of the load at which it
// collapses, as long as the routers receive about equal traffic: the load is taken from what the warmed-up
// servers answered this router. Owns that throughput and the weight of the warmed-up servers.
class SlowStart {
  public:
    // `settings` is read at each call, but for its overloadWindow.
    explicit SlowStart(const PolicySettings& settings);

    // The part of its load that a server bears, up to 1; rises linearly from its start over the ramp.
    double warmupFraction(const Server& server, Nanos now) const;
    bool isWarmingUp(const Server& server, Nanos now) const { return warmupFraction(server, now) < 1; }
    // After which a server's warm-up fraction has risen enough to be worked out anew.
    Nanos stepDuration() const;
    // Whether an attempt may be sent to `server`; fills its budget.
    bool hasBudget(Server& server, Nanos now, Random& random);
    // An attempt was answered by a cache server that is warmed up.
    void recordAnswerOfWarmServer(Nanos now) { answers_.add(now, 1); }
    // The sum of the weights of the usable cache servers that are warmed up.
    void setWarmWeight(double weight, Nanos now);

  private:
    void updateThroughput(Nanos now);

    const PolicySettings& settings_;
    const Nanos window_;
    DecayingSum answers_;
    double warmWeight_ = 0;
    double throughput_ = 0;  // answers in a window of a warmed-up server of weight 1
};

}  // namespace poppyscale::policy
