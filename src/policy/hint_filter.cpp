#include "policy/hint_filter.hpp"

#include <algorithm>
#include <utility>

namespace poppyscale::policy {
namespace {

constexpr std::size_t kMinCounters = 1 << 8;
constexpr std::size_t kMaxCounters = 10 << 20;  // limit for each server and generation

}  // namespace

bool HintFilter::contains(const Generation& generation, std::uint64_t key) {
    return std::any_of(generation.begin(), generation.end(),
                       [&](const CountingBloomFilter& filter) { return filter.mayContain(key); });
}

void HintFilter::removeFrom(Generation& generation, std::uint64_t key) {
    for (CountingBloomFilter& filter : generation)
        if (filter.mayContain(key)) filter.remove(key);
}

std::int64_t HintFilter::countKeys(const Generation& generation) {
    std::int64_t sum = 0;
    for (const CountingBloomFilter& filter : generation) sum += filter.keyCount();
    return sum;
}

bool HintFilter::mayContain(std::uint64_t key) const {
    return contains(current_, key) || contains(previous_, key);
}

void HintFilter::insert(std::uint64_t key) {
    if (contains(current_, key)) return;
    const std::size_t lastCounters = current_.empty() ? 0 : current_.back().counterCount();
    const bool mayGrow = lastCounters < kMaxCounters / 4;
    if (lastCounters == 0 || (current_.back().isFull() && mayGrow))
        current_.emplace_back(std::max(2 * lastCounters, kMinCounters));
    current_.back().insert(key);
}

void HintFilter::remove(std::uint64_t key) {
    removeFrom(current_, key);
    removeFrom(previous_, key);
}

void HintFilter::clear() {
    current_ = {};
    previous_ = {};
}

void HintFilter::startGeneration() {
    previous_ = std::move(current_);
    current_ = {};
}

std::int64_t HintFilter::keyCount() const { return countKeys(current_) + countKeys(previous_); }

}  // namespace poppyscale::policy
