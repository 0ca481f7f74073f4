#include "policy/counting_bloom_filter.hpp"

#include <iterator>
#include <limits>

#include "base/hash.hpp"

namespace poppyscale::policy {
namespace {

constexpr int kHashCount = 4;                 // counters for each key
constexpr std::int64_t kCountersPerKey = 16;  // a quarter of the counters in use when full
constexpr std::uint8_t kSaturated = std::numeric_limits<std::uint8_t>::max();

}  // namespace

// Double hashing: the step is odd, so the counters of a key are distinct.
std::size_t CountingBloomFilter::counterIndex(std::uint64_t key, int hash) const {
    const std::uint64_t step = mixBits(key ^ 0x9e3779b97f4a7c15ULL) | 1;
    return (key + static_cast<std::uint64_t>(hash) * step) & (counters_.size() - 1);
}

bool CountingBloomFilter::mayContain(std::uint64_t key) const {
    for (int hash = 0; hash < kHashCount; ++hash)
        if (counters_[counterIndex(key, hash)] == 0) return false;
    return true;
}

void CountingBloomFilter::insert(std::uint64_t key) {
    for (int hash = 0; hash < kHashCount; ++hash) {
        std::uint8_t& counter = counters_[counterIndex(key, hash)];
        if (counter != kSaturated) ++counter;
    }
    ++keyCount_;
}

// A saturated counter has lost its count: decrementing it could remove keys that are still in the filter.
void CountingBloomFilter::remove(std::uint64_t key) {
    for (int hash = 0; hash < kHashCount; ++hash) {
        std::uint8_t& counter = counters_[counterIndex(key, hash)];
        if (counter != kSaturated) --counter;
    }
    --keyCount_;
}

bool CountingBloomFilter::isFull() const { return keyCount_ * kCountersPerKey >= std::ssize(counters_); }

}  // namespace poppyscale::policy
