// The newest state of the endpoint list, and the responses serialized from it.
//
// Each server's entry is kept with the version of its last change; a removed server's entry is kept
// as a tombstone. This gives the changes since a version, with each changed server once, as long as
// no tombstone newer than that version has been dropped. A reader with an earlier version gets the
// complete list. So does a reader whose version lies in a gap, that is, between two consecutive
// versions held here of which the newer was received as a complete list: changes that were made and
// undone between the two are unknown.
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
    // The number of tombstones grows with time, not with the size of the list. This many are the
    // removals of about an hour at 20 a second, 13 MB at 200 bytes each. For a reader that was
    // disconnected for longer, a complete list is cheaper.
    static constexpr std::size_t kDefaultTombstones = 65'536;

    // Which limits `hasChangesSince` respects. Only tests disable one, to prove that they fail
    // without it.
    struct RetainedBounds {
        bool gaps = true;
        bool droppedTombstones = true;
    };
    explicit ListState(std::size_t maxTombstones, RetainedBounds bounds = {true, true})
        : maxTombstones_(maxTombstones), retainedBounds_(bounds) {}

    // Whether a list has been received.
    bool hasList() const { return hasList_; }
    Version version() const { return version_; }
    // The number of servers in the list.
    std::size_t entries() const { return live_.size(); }
    std::size_t tombstones() const { return tombstones_.size(); }

    // Applies a newer state. Entries of a complete list that equal the present ones keep their
    // version.
    void apply(ListUpdate update);
    // Discards the present state, including tombstones, and starts with this complete list.
    void restart(ListUpdate list);

    // Responses. They are serialized once for all readers with the same request.

    SharedBytes completeList();
    // Returns the complete list if the changes since that version are not known.
    SharedBytes changesSince(Version after);
    bool hasChangesSince(Version after) const;
    // A response with this version and no changes.
    static SharedBytes unchanged(Version version);

  private:
    struct RetainedEntry {
        ServerEntry entry;
        Version changed;
    };
    using RetainedEntries = std::list<RetainedEntry>;  // ordered by change, the newest at the end

    // The versions between these two (exclusive) are unknown.
    struct Gap {
        Version older;
        Version newer;
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
    bool hasList_ = false;
    Version version_ = 0;
    Version oldestBase_ = 0;  // the changes since older versions are not known
    RetainedEntries live_;
    RetainedEntries tombstones_;
    std::deque<Gap> gaps_;
    std::unordered_map<std::string, RetainedEntries::iterator> liveById_;
    std::unordered_map<std::string, RetainedEntries::iterator> tombstoneById_;
    // Cached responses at the newest version.
    SharedBytes completeList_;
    // Responses with changes, by the reader's version.
    std::map<Version, SharedBytes> changesCache_;
    std::size_t changesCacheBytes_ = 0;
};

}  // namespace poppyscale::endpoint_distribution
