// Decides when a waiting reader is answered, and whether it gets the complete list.
//
// The request of a reader whose version is newer than the one here is held until the list here is
// newer. Such a reader gets a lower version only if its own is lost: no upstream has it, or it is
// from an old epoch. In a new epoch that happens after kEpochGrace: until then the list here may
// catch up with a reader that was served by a faster distributor.
#pragma once

#include "endpoint_distribution/ahead_versions.hpp"
#include "endpoint_distribution/epoch_tracker.hpp"
#include "endpoint_distribution/list_state.hpp"
#include "endpoint_distribution/options.hpp"
#include "endpoint_distribution/reader.hpp"

namespace poppyscale::endpoint_distribution {

class ResponseSchedule {
  public:
    // All arguments have to outlive the schedule.
    ResponseSchedule(const Options& options, const ListState& list, const EpochTracker& epochs,
                     AheadVersions& aheadVersions);

    // A reader has started to wait with this request.
    void recordRequest(Nanos now, const ReaderRequest& request);
    // The list's version has changed.
    void recordListChange(Nanos now);
    // From now on all readers are answered at once.
    void beginShutdown() { isShuttingDown_ = true; }
    bool isShuttingDown() const { return isShuttingDown_; }

    // When this waiting reader is to be answered, unless the schedule changes before.
    Nanos dueAt(const Reader& reader) const;
    // Whether this reader, if answered now, gets the complete list instead of changes.
    bool needsCompleteList(Nanos now, const Reader& reader) const;

  private:
    Nanos lowerVersionDueAt(const Reader& reader, Version after) const;

    const Options& options_;
    const ListState& list_;
    const EpochTracker& epochs_;
    AheadVersions& aheadVersions_;
    Nanos batchDueAt_ = 0;  // when the newest version may be sent
    bool isShuttingDown_ = false;
};

}  // namespace poppyscale::endpoint_distribution
