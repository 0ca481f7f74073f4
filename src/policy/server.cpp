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

constexpr ConcurrencyLimiter::Target targetOf(bool isOrigin) {
    return isOrigin ? kOriginTarget : kCacheServerTarget;
}

}  // namespace

Server::Server(const std::string& name, bool isOrigin, double initialRetryCredit)
    : limiter(targetOf(isOrigin), kInitialLimit),
      retryCredit(initialRetryCredit),
      endpoint_{name, "", "", EndpointState::removed, 0, 0},
      hash_(hashText(name)),
      isOrigin_(isOrigin) {}

void Server::applyListing(const Endpoint& listed, Nanos startedAt, double weight, Nanos now) {
    const bool hasBecomeReady =
        listed.state == EndpointState::ready && endpoint_.state != EndpointState::ready;
    if (hasBecomeReady && firstAttempt.isAwaited()) firstAttempt.start(now);
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
    limiter.restart(targetOf(isOrigin_), kRestartedLimit);
    outcomes.restart();
    if (isOrigin_) return;
    firstAttempt.start(now);
    endpoint_.startedAt = now;
    readmittedAt_ = now;
}

void Server::endWaitForFirstAttempt(Nanos now) {
    firstAttempt.end();
    warmupBudget.restart(now);
}

bool Server::endGeneration() {
    const bool isRemoved = endpoint_.state == EndpointState::removed;
    const bool wasRemoved = wasRemoved_;
    wasRemoved_ = isRemoved;
    return wasRemoved && isRemoved;
}

}  // namespace poppyscale::policy
