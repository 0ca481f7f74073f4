// Detects that discovery has lost its versions, and tracks the new epoch that follows.
//
// A new epoch begins once every upstream, polled in turn for its complete list, has sent a list
// older than the one here, and none has sent a list that is not older in between. While an upstream
// is unreachable, no epoch begins until it is reachable again or removed from the settings. The
// transition to a new epoch ends once its versions exceed those of the old one.
#pragma once

#include <optional>
#include <vector>

#include "base/time.hpp"
#include "endpoint_distribution/list_update.hpp"

namespace poppyscale::endpoint_distribution {

class EpochTracker {
  public:
    explicit EpochTracker(std::size_t upstreams) : hasSentOlder_(upstreams, false) {}

    // An upstream has sent a complete list that is older than the one here.
    void recordOlderList(std::size_t upstream, ListUpdate list);
    // An upstream has sent a list that is not older, so discovery has not lost its versions.
    void recordCurrentList();
    // The list here has this version now.
    void recordVersion(Version version);

    // Whether every upstream has sent an older list.
    bool isEpochDue() const;
    // The version of the newest of the older lists. Requires isEpochDue().
    Version nextEpochVersion() const { return newestOlder_->version; }
    // Begins a new epoch; `lastVersion` is the old one's last version. Returns the new epoch's
    // first list. Requires isEpochDue().
    ListUpdate beginEpoch(Nanos now, Version lastVersion);

    // Whether readers may still have versions of the old epoch.
    bool isInTransition() const { return oldEpochVersion_.has_value(); }
    // When the present epoch began; 0 in the first one.
    Nanos beganAt() const { return beganAt_; }

  private:
    // Whether each upstream has sent an older list since the last current one.
    std::vector<bool> hasSentOlder_;
    std::optional<ListUpdate> newestOlder_;   // the newest rejected list
    std::optional<Version> oldEpochVersion_;  // set until the new epoch's versions exceed it
    Nanos beganAt_ = 0;
};

}  // namespace poppyscale::endpoint_distribution
