#include "policy/origin_fetches.hpp"

#include <algorithm>

#include "policy/request.hpp"
#include "policy/server.hpp"

namespace poppyscale::policy {
namespace {

// Fraction of the origin's limit for reads that missed at servers that are warming up.
constexpr double kWarmupMissFraction = 0.25;

}  // namespace

void OriginFetches::onAttemptStarted(const Request& request) {
    if (!request.isWrite() && request.hasKey()) fetches_[request.key()] = &request;
    if (request.hasMissedAtWarmingServer()) ++warmupMissesInFlight_;
}

void OriginFetches::onAttemptEnded(const Request& request) {
    const auto fetch = fetches_.find(request.key());
    if (fetch != fetches_.end() && fetch->second == &request) fetches_.erase(fetch);
    if (request.hasMissedAtWarmingServer()) --warmupMissesInFlight_;
}

bool OriginFetches::hasCapacity(const Request& request, const Server& origin) const {
    if (!request.hasMissedAtWarmingServer()) return true;
    const auto limit = static_cast<int>(origin.limiter.limit() * kWarmupMissFraction);
    return warmupMissesInFlight_ < std::max(1, limit);
}

}  // namespace poppyscale::policy
