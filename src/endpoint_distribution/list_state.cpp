#include "endpoint_distribution/list_state.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

namespace poppyscale::endpoint_distribution {
namespace {

// Readers are nearly always only a few versions behind, so few different responses are needed.
constexpr std::size_t kMaxCachedResponses = 256;
constexpr std::size_t kMaxCachedBytes = 16 * 1024 * 1024;
// Gaps are rare: upstreams send a complete list to replace an existing one only after faults.
constexpr std::size_t kMaxGaps = 64;

std::string responseHead(Version version, bool isComplete) {
    return "{\"version\":" + std::to_string(version) + ",\"full\":" + (isComplete ? "true" : "false") +
           ",\"servers\":[";
}

void appendEntry(std::string& text, const std::string& entry) {
    if (text.back() != '[') text += ',';
    text += entry;
}

}  // namespace

void ListState::apply(ListUpdate update) {
    if (!hasList_) return restart(std::move(update));
    const Version newer = update.version;
    if (update.isComplete)
        applyCompleteList(std::move(update));
    else
        applyChanges(std::move(update));
    version_ = newer;
    completeList_.reset();
    changesCache_.clear();
    changesCacheBytes_ = 0;
    dropOldTombstones();
}

void ListState::restart(ListUpdate list) {
    live_.clear();
    tombstones_.clear();
    gaps_.clear();
    liveById_.clear();
    tombstoneById_.clear();
    hasList_ = true;
    version_ = list.version;
    oldestBase_ = list.version;
    apply(std::move(list));
}

// An entry that equals the present one counts as changed too: it may have differed in between.
void ListState::applyChanges(ListUpdate changes) {
    for (ServerEntry& entry : changes.entries) {
        if (entry.isRemoved)
            addTombstone(std::move(entry), changes.version);
        else
            put(std::move(entry), changes.version);
    }
}

void ListState::applyCompleteList(ListUpdate list) {
    recordGap(list.version);
    std::unordered_set<std::string> listedIds;
    for (ServerEntry& entry : list.entries) {
        if (entry.isRemoved) continue;
        listedIds.insert(entry.id);
        const auto found = liveById_.find(entry.id);
        const bool isEqual = found != liveById_.end() && found->second->entry.text == entry.text;
        if (!isEqual) put(std::move(entry), list.version);
    }
    std::vector<ServerEntry> missing;
    for (const RetainedEntry& retained : live_)
        if (!listedIds.contains(retained.entry.id)) missing.push_back(removedEntry(retained.entry));
    for (ServerEntry& entry : missing) addTombstone(std::move(entry), list.version);
}

void ListState::recordGap(Version newer) {
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
    const auto tombstone = tombstoneById_.find(entry.id);
    if (tombstone != tombstoneById_.end()) {
        tombstones_.erase(tombstone->second);
        tombstoneById_.erase(tombstone);
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
    const auto tombstone = tombstoneById_.find(entry.id);
    if (tombstone != tombstoneById_.end()) {
        *tombstone->second = {std::move(entry), changed};
        tombstones_.splice(tombstones_.end(), tombstones_, tombstone->second);
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

std::string ListState::serialize(bool isComplete, Version after) const {
    std::string text = responseHead(version_, isComplete);
    const auto appendChanged = [&](const RetainedEntries& entries) {
        for (auto retained = entries.rbegin(); retained != entries.rend(); ++retained) {
            if (retained->changed <= after) break;
            appendEntry(text, retained->entry.text);
        }
    };
    if (isComplete) {
        for (const RetainedEntry& retained : live_) appendEntry(text, retained.entry.text);
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
    const auto cached = changesCache_.find(after);
    if (cached != changesCache_.end()) return cached->second;
    const auto response = std::make_shared<const std::string>(serialize(false, after));
    if (changesCache_.size() >= kMaxCachedResponses ||
        changesCacheBytes_ + response->size() > kMaxCachedBytes) {
        changesCache_.clear();
        changesCacheBytes_ = 0;
    }
    changesCacheBytes_ += response->size();
    changesCache_[after] = response;
    return response;
}

SharedBytes ListState::unchanged(Version version) {
    return std::make_shared<const std::string>(responseHead(version, false) + "]}");
}

}  // namespace poppyscale::endpoint_distribution
