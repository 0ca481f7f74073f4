// The keys that a cache server is expected to have.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "policy/counting_bloom_filter.hpp"

namespace poppyscale::policy {

// A key is reported from its insertion until the end of the next generation, unless it is removed.
// Each server has one filter, which takes no memory before the first key: most routers of a large
// fleet have only a key or two for each server.
class HintFilter {
  public:
    bool mayContain(std::uint64_t key) const;
    void insert(std::uint64_t key);
    void remove(std::uint64_t key);
    void clear();
    // Starts a new generation, and drops the keys that were not inserted in the generation that
    // ends.
    void startGeneration();
    // The number of keys; a key that was inserted in both generations counts twice.
    std::int64_t keyCount() const;

  private:
    // The filters of one generation. When the last of them is full, a filter of twice its size is
    // added, as long as the maximum size of a generation allows.
    using Generation = std::vector<CountingBloomFilter>;

    static bool contains(const Generation& generation, std::uint64_t key);
    static void removeFrom(Generation& generation, std::uint64_t key);
    static std::int64_t countKeys(const Generation& generation);

    Generation current_;
    Generation previous_;
};

}  // namespace poppyscale::policy
