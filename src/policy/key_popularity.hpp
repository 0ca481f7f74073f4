// Detects keys that are requested more often than one server should bear.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace poppyscale::policy {

class Random;

// Spreads the requests for a popular key over a number of servers in proportion to its share of the
// recent requests. Owns the keys of the recent requests.
class KeyPopularity {
  public:
    // The place in the key's ranking from which a request takes its candidates: 0 unless the key is
    // popular. Draws a random number only for a popular key. `serverCount`: the number of servers
    // in the ranking.
    std::size_t firstCandidate(std::uint64_t key, std::size_t serverCount, Random& random) const;
    void record(std::uint64_t key);

  private:
    static constexpr std::size_t kRecentKeys = 64;

    std::array<std::uint64_t, kRecentKeys> recent_{};  // ring buffer
    std::size_t next_ = 0;
};

}  // namespace poppyscale::policy
