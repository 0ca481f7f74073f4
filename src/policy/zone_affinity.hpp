// Keeps keys in the router's own zone as long as that pays.
#pragma once

#include "base/decaying_sum.hpp"
#include "base/time.hpp"
#include "policy/settings.hpp"

namespace poppyscale::policy {

class EndpointRegistry;
class Server;
class SlowStart;

// Gives the servers of other zones a lower weight, by what crossing costs and by what the own zone can bear;
// that weight rises again while more is lost in the own zone than across. Inactive where crossing costs
// nothing, and where the own zone has no usable cache servers, or all of them. Owns the outcomes on both
// sides and the weight of remote servers.
class ZoneAffinity {
  public:
    ZoneAffinity(const PolicySettings& settings, const EndpointRegistry& registry,
                 const SlowStart& slowStart);

    // Starts again from the least weight that the settings give.
    void applySettings();
    // Works out the weights of servers anew; RendezvousRanking calls it when it is rebuilt.
    void rebuild(Nanos now);
    // Of a server with that warm-up fraction, relative to one in the own zone. A local one that is warming up
    // is not preferred before it can bear its zone.
    double weightFactor(const Server& server, double warmupFraction) const;
    // Takes in how a request fared that was, or would have been, first sent to `server`. Whether the weights
    // have changed so much that rebuild() is due.
    bool recordOutcome(const Server& server, bool isLost, Nanos now);

    bool isActive() const { return isActive_; }

  private:
    static constexpr Nanos kTimeConstant = 5'000 * kMillisecond;

    // Of the requests whose first server lies on one side.
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
    double remoteWeight_ = 1;           // as the outcomes have it
    double rebuiltRemoteWeight_ = 1;    // that at the last rebuild
    double effectiveRemoteWeight_ = 1;  // at least that, and what the own zone cannot bear
    bool isActive_ = false;
};

}  // namespace poppyscale::policy
