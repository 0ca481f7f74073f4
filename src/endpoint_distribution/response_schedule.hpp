// When a waiting reader is answered, and whether it gets the complete list.
//
// A reader whose version is newer than the one here is parked until the list is past it. It gets a lower
// version only if its own is lost: known to no upstream, or of an old epoch. In a new epoch that happens
// after kEpochGrace, in which the list here may catch up with a reader that a quicker distributor has served.
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

    // A reader's request begins to wait.
    void recordRequest(Nanos now, const ReaderRequest& request);
    // The list has another version.
    void recordListChange(Nanos now);
    // From now on all readers are answered at once.
    void beginShutdown() { isShuttingDown_ = true; }
    bool isShuttingDown() const { return isShuttingDown_; }

    // When this waiting reader is answered, as things are.
    Nanos dueAt(const Reader& reader) const;
    // Whether this reader, answered now, gets the complete list and not changes.
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
