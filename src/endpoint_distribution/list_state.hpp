// The newest state of the list, held once, and the answers made of it.
//
// Each server's entry is kept with the version of its last change, a removed server's as a tombstone. So what
// has changed since any version can be told, each changed server once, as long as no tombstone newer than
// that version has been dropped; a reader of before that gets the whole list. So does one whose version lies
// between two that were had here one after the other by a whole list: what was changed and changed back
// between them is not known.
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
    // Tombstones are what grows with time and not with the list. 65,536 of them are the removals of an hour
    // at the highest rate of 20 changes a second, at about 200 bytes each 13 MB: a reader that was away for
    // longer is better served with the whole list of some 3,100 servers.
    static constexpr std::size_t kDefaultTombstones = 65'536;

    // Without `minds` the bounds of what can be told are not kept: known mistakes, for proofs.
    struct RetainedBounds {
        bool gaps = true;
        bool droppedTombstones = true;
    };
    explicit ListState(std::size_t maxTombstones, RetainedBounds minds = {true, true})
        : maxTombstones_(maxTombstones), retainedBounds_(minds) {}

    bool isKnown() const { return known_; }
    Version version() const { return version_; }
    std::size_t entries() const { return live_.size(); }
    std::size_t tombstones() const { return tombstones_.size(); }
    // The oldest version since which the changes can be told.
    Version oldestBase() const { return oldestBase_; }

    // A newer state than this one. What is in `update` and has not changed here keeps its version.
    void apply(ListUpdate update);
    // Forgets everything, and begins with this whole list.
    void restart(ListUpdate whole);

    // Answers, serialized once for all readers that ask the same.
    SharedBytes completeList();
    SharedBytes changesSince(Version after);  // the whole list where the changes can't be told any more
    bool hasChangesSince(Version after) const;
    static SharedBytes unchanged(Version version);

  private:
    struct RetainedEntry {
        ServerEntry entry;
        Version changed;
    };
    using RetainedEntries = std::list<RetainedEntry>;  // in the order of the changes, the newest at the end

    void put(ServerEntry entry, Version changed);
    void addTombstone(ServerEntry entry, Version changed);
    void applyCompleteList(ListUpdate whole);
    void applyChanges(ListUpdate changes);
    void noteGap(Version newer);
    void dropOldTombstones();
    std::string serialize(bool full, Version after) const;

    struct Gap {
        Version older, newer;  // nothing is known of the versions between these
    };

    std::size_t maxTombstones_;
    RetainedBounds retainedBounds_;
    bool known_ = false;
    Version version_ = 0;
    Version oldestBase_ = 0;
    RetainedEntries live_;
    RetainedEntries tombstones_;
    std::deque<Gap> gaps_;
    std::unordered_map<std::string, RetainedEntries::iterator> liveById_;
    std::unordered_map<std::string, RetainedEntries::iterator> tombstoneById_;
    // Of the newest version alone.
    SharedBytes completeList_;
    std::map<Version, SharedBytes> sinceCache_;
    std::size_t sinceCacheBytes_ = 0;
};

}  // namespace poppyscale::endpoint_distribution
