// Detects that discovery has lost its versions, and tracks the epoch that begins then.
//
// A new epoch begins once every upstream, polled in turn for its complete list and without a newer response
// by any of them in between, has sent an older list than the one here. An unreachable upstream says nothing,
// so no epoch begins before it is back or is removed from the settings. The epoch's transition ends once its
// versions exceed those of the old one.
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
    // An upstream has sent a list that is not older: it is not discovery that lost its versions.
    void recordCurrentList();
    // The list here has that version now.
    void recordVersion(Version version);

    // Whether every upstream has sent an older list.
    bool isEpochDue() const;
    // The newest of the older lists. Requires isEpochDue().
    Version nextEpochVersion() const { return newestOlder_->version; }
    // Begins an epoch after `lastVersion`. Gives the list that it begins with. Requires isEpochDue().
    ListUpdate beginEpoch(Nanos now, Version lastVersion);

    // Whether readers may still have versions of the old epoch.
    bool isInTransition() const { return oldEpochVersion_.has_value(); }
    // Of the present epoch; 0 in the first one.
    Nanos beganAt() const { return beganAt_; }

  private:
    std::vector<bool> hasSentOlder_;          // by upstream
    std::optional<ListUpdate> newestOlder_;   // of the lists that were rejected
    std::optional<Version> oldEpochVersion_;  // until the new epoch's versions exceed it
    Nanos beganAt_ = 0;
};

}  // namespace poppyscale::endpoint_distribution
