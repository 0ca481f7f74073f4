// Keeps keys in the router's own zone as long as that costs less than crossing zones.
#pragma once

#include "base/decaying_sum.hpp"
#include "base/time.hpp"
#include "policy/settings.hpp"

namespace poppyscale::policy {

class EndpointRegistry;
class Server;
class SlowStart;

// Gives the servers of other zones a lower weight, which depends on the cross-zone cost and on the
// load that the own zone can bear. This weight rises while more requests are lost in the own zone
// than in other zones. Inactive where crossing costs nothing, and where the own zone has no usable
// cache servers, or all of them. Owns the outcomes in the own zone and in others, and the weight of
// remote servers.
class ZoneAffinity {
  public:
    ZoneAffinity(const PolicySettings& settings, const EndpointRegistry& registry,
                 const SlowStart& slowStart);

    // Resets the weight of remote servers to the minimum that the settings give.
    void applySettings();
    // Recomputes the weights of servers; RendezvousRanking calls it when it is rebuilt.
    void rebuild(Nanos now);
    // The factor on the weight of a server with that warm-up fraction: 1 for a warmed-up server in
    // the own zone. A local server that is warming up is preferred less, since it cannot bear the
    // load of its zone yet.
    double weightFactor(const Server& server, double warmupFraction) const;
    // Records the outcome of a request that was, or would have been, first sent to `server`.
    // `isLost`: it got no response within its latency objective. Returns whether the weights have
    // changed so much that rebuild() is due.
    bool recordOutcome(const Server& server, bool isLost, Nanos now);

    bool isActive() const { return isActive_; }

  private:
    static constexpr Nanos kTimeConstant = 5'000 * kMillisecond;

    // Decaying sums over the requests whose first server is in the own zone, or over all other
    // requests.
    struct Outcomes {
        double lossRate(Nanos now) { return lost.read(now) / (requests.read(now) + 1); }
        DecayingSum requests{kTimeConstant};
        DecayingSum lost{kTimeConstant};
    };

    bool isLocalZone(const Server& server) const;
    double minRemoteWeight() const;

    const PolicySettings& settings_;
    const EndpointRegistry& registry_;
    const SlowStart& slowStart_;
    Outcomes local_;
    Outcomes remote_;
    double remoteWeight_ = 1;           // derived from the outcomes
    double rebuiltRemoteWeight_ = 1;    // remoteWeight_ at the last rebuild
    double effectiveRemoteWeight_ = 1;  // higher where the own zone cannot bear its traffic
    bool isActive_ = false;
};

}  // namespace poppyscale::policy
