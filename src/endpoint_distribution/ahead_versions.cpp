#include "endpoint_distribution/ahead_versions.hpp"

#include <algorithm>

#include "endpoint_distribution/options.hpp"

namespace poppyscale::endpoint_distribution {

void AheadVersions::recordPoll(Nanos now, Version version) {
    if (versions_.size() >= kMaxAheadVersions && !versions_.contains(version)) return;
    const auto [entry, isNew] = versions_.try_emplace(version);
    if (isNew) entry->second.firstPolledAt = now;
    entry->second.lastPolledAt = now;
}

void AheadVersions::recordVersion(Version version) {
    versions_.erase(versions_.begin(), versions_.upper_bound(version));
}

const AheadVersion* AheadVersions::find(Version version) const {
    const auto found = versions_.find(version);
    return found != versions_.end() ? &found->second : nullptr;
}

bool AheadVersions::isSuspectedLost(Nanos now, const AheadVersion& ahead) const {
    return !ahead.isLost && now - ahead.firstPolledAt >= upstreamWait_ + kAheadCheckDelay;
}

void AheadVersions::beginCheck(Nanos now) {
    if (isChecking_ || now < nextCheckAt_) return;
    // Readers poll at least once in kMaxReaderWait, so after twice that time no reader has the
    // version.
    std::erase_if(versions_,
                  [now](const auto& entry) { return now - entry.second.lastPolledAt > 2 * kMaxReaderWait; });
    isChecking_ = std::any_of(versions_.begin(), versions_.end(),
                              [&](const auto& entry) { return isSuspectedLost(now, entry.second); });
    std::fill(isBehind_.begin(), isBehind_.end(), false);
}

void AheadVersions::endCheck(Nanos now) {
    isChecking_ = false;
    nextCheckAt_ = now + kAheadCheckDelay;
}

AheadVersions::CheckProgress AheadVersions::recordBehind(Nanos now, std::size_t upstream) {
    const bool wasPolledBefore = isBehind_[upstream];
    isBehind_[upstream] = true;
    const bool areAllBehind = std::find(isBehind_.begin(), isBehind_.end(), false) == isBehind_.end();
    if (!areAllBehind && !wasPolledBefore) return CheckProgress::pollNext;
    endCheck(now);
    return areAllBehind ? CheckProgress::concluded : CheckProgress::abandoned;
}

std::vector<Version> AheadVersions::markLost(Nanos now) {
    std::vector<Version> lost;
    for (auto& [version, ahead] : versions_) {
        if (!isSuspectedLost(now, ahead)) continue;
        ahead.isLost = true;
        lost.push_back(version);
    }
    return lost;
}

}  // namespace poppyscale::endpoint_distribution
