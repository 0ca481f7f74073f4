// The reads that are in flight at the origin, where the servers are cache-aside.
#pragma once

#include <cstdint>
#include <unordered_map>

namespace poppyscale::policy {

class Request;
class Server;

// Lets one read of a key at a time be in flight at the origin, for others to wait for, and keeps reads that
// missed at servers that are warming up to a part of the origin's limit. Owns the fetches in flight.
class OriginFetches {
  public:
    // Of attempts at the origin.
    void onAttemptStarted(const Request& request);
    void onAttemptEnded(const Request& request);

    bool isInFlight(std::uint64_t key) const { return fetches_.contains(key); }
    // Whether the request may be sent to `origin` as far as misses at servers that are warming up go.
    bool hasCapacity(const Request& request, const Server& origin) const;

  private:
    std::unordered_map<std::uint64_t, const Request*> fetches_;  // by key
    int warmupMissesInFlight_ = 0;
};

}  // namespace poppyscale::policy
