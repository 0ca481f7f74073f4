#include "discovery/source_selector.hpp"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <utility>

namespace poppyscale::discovery {

SourceSelector::SourceSelector(std::size_t count, std::uint64_t seed, std::set<Safeguard> disabled)
    : disabled_(std::move(disabled)), random_(seed), sources_(count), order_(count) {
    assert(count >= 1 && count <= kMaxSources);
    std::iota(order_.begin(), order_.end(), std::size_t{0});
    if (isEnabled(Safeguard::spread)) std::shuffle(order_.begin(), order_.end(), random_);
}

Nanos SourceSelector::firstTimeout() const {
    const auto attempts = static_cast<Nanos>(count());
    const Nanos pauses = kLossJitter + (attempts - 1) * kRoundJitter;
    return (kRecoveryBound - pauses) / attempts;
}

Nanos SourceSelector::attemptTimeout() const {
    const std::size_t round = failures_ == 0 ? 0 : (failures_ - 1) / count();
    Nanos timeout = firstTimeout();
    for (std::size_t i = 0; i < round && timeout < kMaxTimeout; ++i) timeout *= 2;
    return std::min(timeout, kMaxTimeout);
}

void SourceSelector::resumeAt(std::size_t source) {
    const auto it = std::find(order_.begin(), order_.end(), source);
    position_ = static_cast<std::size_t>(it - order_.begin());
    isConfirmed_ = true;
}

Attempt SourceSelector::onFailed(Nanos now) {
    Source& failed = sources_[current()];
    ++failures_;
    ++failed.failures;
    failed.retryAt = now + backoffAfter(failed.failures);
    isConfirmed_ = false;
    if (isFirstRound()) {
        position_ = (position_ + 1) % count();
        return {current(), now + firstRoundPause()};
    }
    moveToEarliestRetry();
    return {current(), std::max(now, sources_[current()].retryAt)};
}

void SourceSelector::onResponded() {
    failures_ = 0;
    for (Source& source : sources_) source = Source{};
    isConfirmed_ = true;
    if (!isEnabled(Safeguard::stickiness)) position_ = 0;
}

ListVerdict SourceSelector::judgeVersion(std::int64_t offered, std::int64_t known) {
    if (offered >= known) return ListVerdict::usable;
    if (!isEnabled(Safeguard::versionGuard)) return ListVerdict::allOlder;
    sources_[current()].hasOfferedOlder = true;
    const bool all = std::all_of(sources_.begin(), sources_.end(),
                                 [](const Source& source) { return source.hasOfferedOlder; });
    return all ? ListVerdict::allOlder : ListVerdict::older;
}

Nanos SourceSelector::randomBetween(Nanos min, Nanos max) {
    if (!isEnabled(Safeguard::jitter)) return max;
    return std::uniform_int_distribution<Nanos>(min, max)(random_);
}

Nanos SourceSelector::backoffAfter(int failures) {
    if (!isEnabled(Safeguard::backoff)) return 0;
    Nanos max = kFirstBackoff;
    for (int i = 1; i < failures && max < kMaxBackoff; ++i) max *= 2;
    return randomBetween(max / 2, max);
}

Nanos SourceSelector::firstRoundPause() {
    if (!isEnabled(Safeguard::bound)) return backoffAfter(static_cast<int>(failures_));
    return randomBetween(0, failures_ == 1 ? kLossJitter : kRoundJitter);
}

void SourceSelector::moveToEarliestRetry() {
    const auto earlier = [this](std::size_t a, std::size_t b) {
        return sources_[a].retryAt < sources_[b].retryAt;
    };
    const auto next = std::min_element(order_.begin(), order_.end(), earlier);
    position_ = static_cast<std::size_t>(next - order_.begin());
}

}  // namespace poppyscale::discovery
