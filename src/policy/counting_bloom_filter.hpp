// A set of keys in constant memory that may report keys it does not contain.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace poppyscale::policy {

// Guarantees no false negatives for keys that were inserted and not removed, as long as only keys that are in
// the filter are removed; about 0.4% false positives when full.
class CountingBloomFilter {
  public:
    // `counterCount` is a power of two of at least four.
    explicit CountingBloomFilter(std::size_t counterCount) : counters_(counterCount, 0) {}

    bool mayContain(std::uint64_t key) const;
    void insert(std::uint64_t key);
    // Only for a key for which mayContain() is true.
    void remove(std::uint64_t key);

    // Whether further keys would raise the rate of false positives above 0.4%.
    bool isFull() const;
    std::size_t counterCount() const { return counters_.size(); }
    std::int64_t keyCount() const { return keyCount_; }

  private:
    std::size_t counterIndex(std::uint64_t key, int hash) const;

    std::vector<std::uint8_t> counters_;
    std::int64_t keyCount_ = 0;
};

}  // namespace poppyscale::policy
