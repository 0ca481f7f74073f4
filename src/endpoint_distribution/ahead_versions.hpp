// Versions that readers have and that are newer than the list here, and the check whether any upstream has
// them.
//
// A reader may be ahead because another distributor is quicker, or because discovery lost its versions before
// this distributor was started. A version that readers poll with for longer than the upstreams' wait and
// kAheadPatience is doubtful: every upstream is polled in turn, and if each has an older version it is lost.
// Over kMaxAheadVersions versions at once are not tracked.
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
    // The list here has that version now: nobody with it or an older one is ahead.
    void recordVersion(Version version);
    // Null for a version that is not tracked.
    const AheadVersion* find(Version version) const;

    // Begins a check if a version is doubtful and the check before is over for long enough.
    void beginCheck(Nanos now);
    bool isChecking() const { return isChecking_; }

    enum class CheckProgress : std::uint8_t {
        pollNext,   // the next upstream is to be polled
        abandoned,  // an upstream was polled twice, while another one was not reached
        concluded   // all upstreams are behind
    };
    // That upstream's newest version is the one here. Requires isChecking().
    CheckProgress recordBehind(Nanos now, std::size_t upstream);
    // After a concluded check: marks the doubtful versions as lost and gives them.
    std::vector<Version> markLost(Nanos now);

  private:
    bool isDoubtful(Nanos now, const AheadVersion& ahead) const;
    void endCheck(Nanos now);

    Nanos upstreamWait_;
    std::map<Version, AheadVersion> versions_;
    bool isChecking_ = false;
    std::vector<bool> isBehind_;  // by upstream, in this check
    Nanos nextCheckAt_ = 0;
};

}  // namespace poppyscale::endpoint_distribution
