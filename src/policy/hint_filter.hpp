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
    // Begins a generation and drops the keys that were not inserted in the one that ends.
    void startGeneration();
    std::int64_t keyCount() const;

  private:
    // When the last filter is full, one of twice its size is added.
    using Generation = std::vector<CountingBloomFilter>;

    static bool contains(const Generation& generation, std::uint64_t key);
    static void removeFrom(Generation& generation, std::uint64_t key);
    static std::int64_t countKeys(const Generation& generation);

    Generation current_;
    Generation previous_;
};

}  // namespace poppyscale::policy
