#include "endpoint_distribution/list_state.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

namespace poppyscale::endpoint_distribution {
namespace {

// Readers are nearly always one or a few versions behind; more kinds of answers than that are not worth
// keeping.
constexpr std::size_t kMaxCachedAnswers = 256;
constexpr std::size_t kMaxCachedBytes = 16 * 1024 * 1024;
// Each is one whole list that was had while one was here, which only trouble brings.
constexpr std::size_t kMaxGaps = 64;

std::string head(Version version, bool full) {
    return "{\"version\":" + std::to_string(version) + ",\"full\":" + (full ? "true" : "false") +
           ",\"servers\":[";
}

void append(std::string& text, const std::string& entry) {
    if (text.back() != '[') text += ',';
    text += entry;
}

}  // namespace

void ListState::apply(ListUpdate update) {
    if (!known_) return restart(std::move(update));
    const Version newer = update.version;
    if (update.isComplete)
        applyCompleteList(std::move(update));
    else
        applyChanges(std::move(update));
    version_ = newer;
    completeList_.reset();
    sinceCache_.clear();
    sinceCacheBytes_ = 0;
    dropOldTombstones();
}

void ListState::restart(ListUpdate whole) {
    live_.clear();
    tombstones_.clear();
    gaps_.clear();
    liveById_.clear();
    tombstoneById_.clear();
    known_ = true;
    version_ = oldestBase_ = whole.version;
    apply(std::move(whole));
}

// A server that is named as it is here may have been another in between, so it has changed all the same.
void ListState::applyChanges(ListUpdate changes) {
    for (ServerEntry& entry : changes.entries) {
        if (entry.isRemoved)
            addTombstone(std::move(entry), changes.version);
        else
            put(std::move(entry), changes.version);
    }
}

void ListState::applyCompleteList(ListUpdate whole) {
    noteGap(whole.version);
    std::unordered_set<std::string> named;
    for (ServerEntry& entry : whole.entries) {
        if (entry.isRemoved) continue;
        named.insert(entry.id);
        const auto found = liveById_.find(entry.id);
        const bool same = found != liveById_.end() && found->second->entry.text == entry.text;
        if (!same) put(std::move(entry), whole.version);
    }
    std::vector<ServerEntry> missing;
    for (const RetainedEntry& kept : live_)
        if (!named.contains(kept.entry.id)) missing.push_back(removedEntry(kept.entry));
    for (ServerEntry& entry : missing) addTombstone(std::move(entry), whole.version);
}

void ListState::noteGap(Version newer) {
    if (newer <= version_ + 1 || !retainedBounds_.gaps) return;
    gaps_.push_back({version_, newer});
    if (gaps_.size() <= kMaxGaps) return;
    oldestBase_ = std::max(oldestBase_, gaps_.front().newer);
    gaps_.pop_front();
}

bool ListState::hasChangesSince(Version after) const {
    const auto isWithin = [after](const Gap& gap) { return gap.older < after && after < gap.newer; };
    return after >= oldestBase_ && std::none_of(gaps_.begin(), gaps_.end(), isWithin);
}

void ListState::put(ServerEntry entry, Version changed) {
    const auto grave = tombstoneById_.find(entry.id);
    if (grave != tombstoneById_.end()) {
        tombstones_.erase(grave->second);
        tombstoneById_.erase(grave);
    }
    const auto found = liveById_.find(entry.id);
    if (found == liveById_.end()) {
        live_.push_back({std::move(entry), changed});
        liveById_[live_.back().entry.id] = std::prev(live_.end());
        return;
    }
    *found->second = {std::move(entry), changed};
    live_.splice(live_.end(), live_, found->second);
}

void ListState::addTombstone(ServerEntry entry, Version changed) {
    const auto found = liveById_.find(entry.id);
    if (found != liveById_.end()) {
        live_.erase(found->second);
        liveById_.erase(found);
    }
    const auto grave = tombstoneById_.find(entry.id);
    if (grave != tombstoneById_.end()) {
        *grave->second = {std::move(entry), changed};
        tombstones_.splice(tombstones_.end(), tombstones_, grave->second);
        return;
    }
    tombstones_.push_back({std::move(entry), changed});
    tombstoneById_[tombstones_.back().entry.id] = std::prev(tombstones_.end());
}

void ListState::dropOldTombstones() {
    while (tombstones_.size() > maxTombstones_) {
        if (retainedBounds_.droppedTombstones)
            oldestBase_ = std::max(oldestBase_, tombstones_.front().changed);
        tombstoneById_.erase(tombstones_.front().entry.id);
        tombstones_.pop_front();
    }
}

std::string ListState::serialize(bool full, Version after) const {
    std::string text = head(version_, full);
    const auto appendChanged = [&](const RetainedEntries& kept) {
        for (auto it = kept.rbegin(); it != kept.rend() && it->changed > after; ++it)
            append(text, it->entry.text);
    };
    if (full) {
        for (const RetainedEntry& kept : live_) append(text, kept.entry.text);
    } else {
        appendChanged(live_);
        appendChanged(tombstones_);
    }
    return text + "]}";
}

SharedBytes ListState::completeList() {
    if (!completeList_) completeList_ = std::make_shared<const std::string>(serialize(true, 0));
    return completeList_;
}

SharedBytes ListState::changesSince(Version after) {
    if (!hasChangesSince(after)) return completeList();
    const auto cached = sinceCache_.find(after);
    if (cached != sinceCache_.end()) return cached->second;
    const auto made = std::make_shared<const std::string>(serialize(false, after));
    if (sinceCache_.size() >= kMaxCachedAnswers || sinceCacheBytes_ + made->size() > kMaxCachedBytes) {
        sinceCache_.clear();
        sinceCacheBytes_ = 0;
    }
    sinceCacheBytes_ += made->size();
    sinceCache_[after] = made;
    return made;
}

SharedBytes ListState::unchanged(Version version) {
    return std::make_shared<const std::string>(head(version, false) + "]}");
}

}  // namespace poppyscale::endpoint_distribution
