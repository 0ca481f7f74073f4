// Reads in flight at the origin, where the servers are cache-aside.
#pragma once

#include <cstdint>
#include <unordered_map>

namespace poppyscale::policy {

class Request;
class Server;

// Tracks the reads in flight at the origin, so that other requests for a key wait for its fetch,
// and limits reads that missed at servers that are warming up to a fraction of the origin's limit.
// Owns the fetches in flight.
class OriginFetches {
  public:
    // To be called for attempts at the origin only.
    void onAttemptStarted(const Request& request);
    void onAttemptEnded(const Request& request);

    bool isInFlight(std::uint64_t key) const { return fetches_.contains(key); }
    // Whether the limit for reads that missed at servers that are warming up lets the request be
    // sent to `origin`. Always true for other requests.
    bool hasCapacity(const Request& request, const Server& origin) const;

  private:
    // Reads in flight at the origin, by key.
    std::unordered_map<std::uint64_t, const Request*> fetches_;
    int warmupMissesInFlight_ = 0;
};

}  // namespace poppyscale::policy
