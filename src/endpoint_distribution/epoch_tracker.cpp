#include "endpoint_distribution/epoch_tracker.hpp"

#include <algorithm>
#include <utility>

namespace poppyscale::endpoint_distribution {

void EpochTracker::recordOlderList(std::size_t upstream, ListUpdate list) {
    hasSentOlder_[upstream] = true;
    const bool isNewest = !newestOlder_ || newestOlder_->version < list.version;
    if (isNewest) newestOlder_ = std::move(list);
}

void EpochTracker::recordCurrentList() {
    std::fill(hasSentOlder_.begin(), hasSentOlder_.end(), false);
    newestOlder_.reset();
}

void EpochTracker::recordVersion(Version version) {
    if (oldEpochVersion_ && version > *oldEpochVersion_) oldEpochVersion_.reset();
}

bool EpochTracker::isEpochDue() const {
    return std::find(hasSentOlder_.begin(), hasSentOlder_.end(), false) == hasSentOlder_.end();
}

ListUpdate EpochTracker::beginEpoch(Nanos now, Version lastVersion) {
    oldEpochVersion_ = std::max(lastVersion, oldEpochVersion_.value_or(lastVersion));
    beganAt_ = now;
    ListUpdate first = std::move(*newestOlder_);
    recordCurrentList();
    return first;
}

}  // namespace poppyscale::endpoint_distribution
