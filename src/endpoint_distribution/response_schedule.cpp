#include "endpoint_distribution/response_schedule.hpp"

#include <algorithm>

namespace poppyscale::endpoint_distribution {

ResponseSchedule::ResponseSchedule(const Options& options, const ListState& list, const EpochTracker& epochs,
                                   AheadVersions& aheadVersions)
    : options_(options), list_(list), epochs_(epochs), aheadVersions_(aheadVersions) {}

void ResponseSchedule::recordRequest(Nanos now, const ReaderRequest& request) {
    const bool isAhead = request.after && list_.hasList() && *request.after > list_.version();
    if (isAhead) aheadVersions_.recordPoll(now, *request.after);
}

void ResponseSchedule::recordListChange(Nanos now) {
    // A change joins the batch that is still to be sent, or begins the next one.
    if (now >= batchDueAt_) batchDueAt_ = std::max(now, batchDueAt_ + options_.batchInterval);
    if (!options_.isEnabled(Safeguard::batching)) batchDueAt_ = now;
}

Nanos ResponseSchedule::dueAt(const Reader& reader) const {
    const bool isImmediate = reader.isRejected() || !list_.hasList() || isShuttingDown_;
    if (isImmediate) return reader.stateSince;
    if (!reader.request.after) return std::max(reader.stateSince, reader.earliestResponseAt);
    const Version after = *reader.request.after;
    const Nanos waitEndsAt = std::max(reader.stateSince + reader.request.wait, reader.earliestResponseAt);
    if (after < list_.version())
        return std::min(waitEndsAt, std::max({reader.stateSince, reader.earliestResponseAt, batchDueAt_}));
    return std::min(waitEndsAt, std::max(lowerVersionDueAt(reader, after), reader.earliestResponseAt));
}

// When a reader whose version is not older than the one here gets a lower version. kNever unless
// its version is lost or from an old epoch.
Nanos ResponseSchedule::lowerVersionDueAt(const Reader& reader, Version after) const {
    if (after == list_.version()) return kNever;
    if (!options_.isEnabled(Safeguard::versionGuard)) return reader.stateSince;
    const AheadVersion* const ahead = aheadVersions_.find(after);
    if (ahead && ahead->isLost) return reader.stateSince;
    if (!epochs_.isInTransition()) return kNever;
    const Nanos firstPolledAt = ahead ? ahead->firstPolledAt : reader.stateSince;
    return std::max(firstPolledAt, epochs_.beganAt()) + kEpochGrace;
}

bool ResponseSchedule::needsCompleteList(Nanos now, const Reader& reader) const {
    if (!reader.request.after) return true;
    const Version after = *reader.request.after;
    if (after < list_.version()) return !list_.hasChangesSince(after);
    return now >= lowerVersionDueAt(reader, after);
}

}  // namespace poppyscale::endpoint_distribution
