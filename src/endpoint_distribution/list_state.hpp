// The newest state of the endpoint list, and the responses made of it.
//
// Each server's entry is retained with the version of its last change; a removed server's entry is retained
// as a tombstone. So the changes since a version can be given, each changed server once, as long as no
// tombstone newer than that version has been dropped. A reader with an earlier version gets the complete
// list. So does a reader whose version lies in a gap: between two consecutive versions here, the newer of
// which came as a complete list. What was changed and changed back between the two is unknown.
#pragma once

#include <cstddef>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "endpoint_distribution/list_update.hpp"

namespace poppyscale::endpoint_distribution {

using SharedBytes = std::shared_ptr<const std::string>;

class ListState {
  public:
    // Tombstones grow with time, not with the list. These are the removals of an hour at 20 changes a second,
    // 13 MB at about 200 bytes each. A reader that was away for longer is better served with a complete list.
    static constexpr std::size_t kDefaultTombstones = 65'536;

    // Which bounds of the given changes are respected. All are, except to prove that a test finds the
    // absence.
    struct RetainedBounds {
        bool gaps = true;
        bool droppedTombstones = true;
    };
    explicit ListState(std::size_t maxTombstones, RetainedBounds bounds = {true, true})
        : maxTombstones_(maxTombstones), retainedBounds_(bounds) {}

    // Whether there is a list.
    bool isKnown() const { return isKnown_; }
    Version version() const { return version_; }
    // Servers in the list.
    std::size_t entries() const { return live_.size(); }
    std::size_t tombstones() const { return tombstones_.size(); }

    // Takes a newer state. An entry of a complete list that is equal here keeps its version.
    void apply(ListUpdate update);
    // Forgets everything and begins with this complete list.
    void restart(ListUpdate list);

    // Responses, serialized once for all readers with the same request.

    SharedBytes completeList();
    // The complete list where the changes since that version are not known.
    SharedBytes changesSince(Version after);
    bool hasChangesSince(Version after) const;
    // No changes since that version.
    static SharedBytes unchanged(Version version);

  private:
    struct RetainedEntry {
        ServerEntry entry;
        Version changed;
    };
    using RetainedEntries = std::list<RetainedEntry>;  // in the order of the changes, the newest at the end

    struct Gap {
        Version older;
        Version newer;  // nothing is known of the versions between these
    };

    void put(ServerEntry entry, Version changed);
    void addTombstone(ServerEntry entry, Version changed);
    void applyCompleteList(ListUpdate list);
    void applyChanges(ListUpdate changes);
    void recordGap(Version newer);
    void dropOldTombstones();
    std::string serialize(bool isComplete, Version after) const;

    std::size_t maxTombstones_;
    RetainedBounds retainedBounds_;
    bool isKnown_ = false;
    Version version_ = 0;
    Version oldestBase_ = 0;  // the oldest version since which the changes are known
    RetainedEntries live_;
    RetainedEntries tombstones_;
    std::deque<Gap> gaps_;
    std::unordered_map<std::string, RetainedEntries::iterator> liveById_;
    std::unordered_map<std::string, RetainedEntries::iterator> tombstoneById_;
    // Responses at the newest version.
    SharedBytes completeList_;
    std::map<Version, SharedBytes> changesCache_;  // by the version since which they are
    std::size_t changesCacheBytes_ = 0;
};

}  // namespace poppyscale::endpoint_distribution
