#include "policy/server.hpp"

#include <algorithm>

#include "base/hash.hpp"

namespace poppyscale::policy {
namespace {

constexpr double kInitialLimit = 4;
constexpr double kRestartedLimit = 2;
// Lower than the target ratio of cache servers, since the latency of the origin adds to the latency
// of a cache miss.
constexpr double kOriginLatencyRatio = 0.25;
constexpr ConcurrencyLimiter::Target kCacheServerTarget{kTargetLatencyRatio};
constexpr ConcurrencyLimiter::Target kOriginTarget{kOriginLatencyRatio, kOriginLatencyRatio};

}  // namespace

Server::Server(const std::string& name, bool isOrigin, double initialRetryCredit)
    : limiter(isOrigin ? kOriginTarget : kCacheServerTarget, kInitialLimit),
      retryCredit(initialRetryCredit),
      endpoint_{name, "", "", EndpointState::removed, 0, 0},
      hash_(hashText(name)),
      isOrigin_(isOrigin) {}

void Server::applyListing(const Endpoint& listed, Nanos startedAt, double weight) {
    endpoint_ = listed;
    endpoint_.startedAt = startedAt;
    endpoint_.weight = weight;
}

void Server::raiseWeightTo(double weight) {
    endpoint_.weight = std::max({endpoint_.weight, weight, kMinServerWeight});
}

Nanos Server::startedAtOrAfterReadmission(Nanos listedStart) const {
    return std::max(listedStart, readmittedAt_);
}

void Server::restart() {
    hints.clear();
    limiter.lowerLimitTo(kRestartedLimit);
}

void Server::readmit(Nanos now) {
    hints.clear();
    limiter.restart(kCacheServerTarget, kRestartedLimit);  // an origin gets this target, too
    outcomes.restart();
    warmupBudget.restart(now);
    endpoint_.startedAt = now;
    readmittedAt_ = now;
    awaitsFirstAttempt_ = true;
}

bool Server::endGeneration() {
    const bool isRemoved = endpoint_.state == EndpointState::removed;
    const bool wasRemoved = wasRemoved_;
    wasRemoved_ = isRemoved;
    return wasRemoved && isRemoved;
}

}  // namespace poppyscale::policy
