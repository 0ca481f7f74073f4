#include "policy/key_popularity.hpp"

#include <algorithm>

#include "policy/random.hpp"

namespace poppyscale::policy {

std::size_t KeyPopularity::firstCandidate(std::uint64_t key, std::size_t serverCount, Random& random) const {
    const auto count = static_cast<double>(std::count(recent_.begin(), recent_.end(), key));
    const double servers = count / kRecentKeys * static_cast<double>(serverCount);
    if (servers <= 1) return 0;
    return static_cast<std::size_t>(servers * random.sample());
}

void KeyPopularity::record(std::uint64_t key) {
    recent_[next_] = key;
    next_ = (next_ + 1) % kRecentKeys;
}

}  // namespace poppyscale::policy
