// Tracks readers' versions that are newer than the list here, and checks whether any upstream has
// them.
//
// A reader may be ahead because it was served by a faster distributor, or because discovery lost
// its versions before this distributor was started. A version that readers have polled with for at
// least `upstreamWait` plus kAheadCheckDelay is suspected lost. Then every upstream is polled in
// turn; if all have older versions, the version is lost. At most kMaxAheadVersions versions are
// tracked; further ones are ignored.
#pragma once

#include <map>
#include <vector>

#include "base/time.hpp"
#include "endpoint_distribution/list_update.hpp"

namespace poppyscale::endpoint_distribution {

struct AheadVersion {
    Nanos firstPolledAt = 0;
    Nanos lastPolledAt = 0;
    bool isLost = false;  // no upstream has it
};

class AheadVersions {
  public:
    AheadVersions(std::size_t upstreams, Nanos upstreamWait)
        : upstreamWait_(upstreamWait), isBehind_(upstreams, false) {}

    // A reader polls with a version that is newer than the list here.
    void recordPoll(Nanos now, Version version);
    // The list here has this version now, so this version and older ones are no longer ahead.
    void recordVersion(Version version);
    // Null if the version is not tracked.
    const AheadVersion* find(Version version) const;

    // Begins a check if a version is suspected lost and the last check ended at least
    // kAheadCheckDelay ago.
    void beginCheck(Nanos now);
    bool isChecking() const { return isChecking_; }

    enum class CheckProgress : std::uint8_t {
        pollNext,   // the next upstream is to be polled
        abandoned,  // an upstream responded twice before all others had responded
        concluded   // all upstreams are behind
    };
    // This upstream's newest version is the one here. Requires isChecking().
    CheckProgress recordBehind(Nanos now, std::size_t upstream);
    // To be called when a check has concluded: marks the suspected versions as lost and returns
    // them.
    std::vector<Version> markLost(Nanos now);

  private:
    bool isSuspectedLost(Nanos now, const AheadVersion& ahead) const;
    void endCheck(Nanos now);

    Nanos upstreamWait_;
    std::map<Version, AheadVersion> versions_;
    bool isChecking_ = false;
    std::vector<bool> isBehind_;  // whether each upstream was behind in the present check
    Nanos nextCheckAt_ = 0;
};

}  // namespace poppyscale::endpoint_distribution
