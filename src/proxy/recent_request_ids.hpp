// Ids of requests that must not be executed again, although this process does not hold them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

#include "base/time.hpp"

namespace poppyscale::proxy {

// Keeps hashes of ids for a time after they were added, and of more than kMaxIds only the latest. An id that
// comes again meanwhile is refused: what was sent under it before may have been executed.
class RecentRequestIds {
  public:
    static constexpr Nanos kLifetime = 10'000 * kMillisecond;
    static constexpr std::size_t kMaxIds = 8'192;

    void add(std::uint64_t hash, Nanos now) {
        removeExpired(now);
        if (!hashes_.insert(hash).second) return;
        expiries_.push_back({hash, now + kLifetime});
        if (expiries_.size() > kMaxIds) removeOldest();
    }
    bool contains(std::uint64_t hash, Nanos now) {
        removeExpired(now);
        return hashes_.contains(hash);
    }
    std::size_t size() const { return hashes_.size(); }

  private:
    struct Entry {
        std::uint64_t hash;
        Nanos expiresAt;
    };
    void removeExpired(Nanos now) {
        while (!expiries_.empty() && expiries_.front().expiresAt <= now) removeOldest();
    }
    void removeOldest() {
        hashes_.erase(expiries_.front().hash);
        expiries_.pop_front();
    }

    std::unordered_set<std::uint64_t> hashes_;
    std::deque<Entry> expiries_;
};

}  // namespace poppyscale::proxy
