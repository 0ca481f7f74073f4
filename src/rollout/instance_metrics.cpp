#include "rollout/instance_metrics.hpp"

#include <algorithm>

namespace poppyscale::rollout {
namespace {

constexpr Nanos kMaxClockSlack = 1'500 * kMillisecond;  // a response may be in transit this long

// Subtracts counters and notes whether one of them fell.
class CounterDifference {
  public:
    std::uint64_t operator()(std::uint64_t after, std::uint64_t before) {
        if (after < before) hasFallen_ = true;
        return after - before;
    }
    bool hasFallen() const { return hasFallen_; }

  private:
    bool hasFallen_ = false;
};

void subtract(RequestClassMetrics& after, const RequestClassMetrics& before, CounterDifference& difference) {
    after.accepted = difference(after.accepted, before.accepted);
    after.withinObjective = difference(after.withinObjective, before.withinObjective);
    after.late = difference(after.late, before.late);
    after.rejected = difference(after.rejected, before.rejected);
    after.failed = difference(after.failed, before.failed);
    after.abandoned = difference(after.abandoned, before.abandoned);
    after.latencies.resize(std::max(after.latencies.size(), before.latencies.size()));
    for (std::size_t i = 0; i < before.latencies.size(); ++i)
        after.latencies[i] = difference(after.latencies[i], before.latencies[i]);
}

// A cache that the instance forgot between the samples counts from zero: all its attempts belong to
// the window.
void subtractCaches(InstanceMetrics& window, const InstanceMetrics& before) {
    for (auto& [name, cache] : window.caches) {
        const auto earlier = before.caches.find(name);
        if (earlier == before.caches.end() || earlier->second.attempts > cache.attempts) continue;
        cache.attempts -= earlier->second.attempts;
    }
}

}  // namespace

std::optional<InstanceMetrics> windowOf(const InstanceMetrics& before, const InstanceMetrics& after,
                                        Nanos elapsed) {
    if (before.incarnation != after.incarnation) return std::nullopt;
    const bool isClockAhead = after.up - before.up > elapsed + kMaxClockSlack;
    if (after.up < before.up || isClockAhead) return std::nullopt;
    CounterDifference difference;
    InstanceMetrics window = after;
    window.up = after.up - before.up;
    window.attempts = difference(after.attempts, before.attempts);
    window.originAttempts = difference(after.originAttempts, before.originAttempts);
    window.unsuccessfulAttempts = difference(after.unsuccessfulAttempts, before.unsuccessfulAttempts);
    window.connectionsOpened = difference(after.connectionsOpened, before.connectionsOpened);
    // A new process opens connections that it keeps using: these are no lasting pressure on the
    // caches.
    const auto growth = static_cast<std::uint64_t>(std::max(after.connections - before.connections, 0.0));
    window.surplusConnections = window.connectionsOpened - std::min(window.connectionsOpened, growth);
    window.endpointPolls = difference(after.endpointPolls, before.endpointPolls);
    window.attemptMs = after.attemptMs - before.attemptMs;
    for (const auto& [name, earlier] : before.requestClasses) {
        const auto later = window.requestClasses.find(name);
        if (later == window.requestClasses.end()) return std::nullopt;  // a counter can't disappear
        subtract(later->second, earlier, difference);
    }
    subtractCaches(window, before);
    if (difference.hasFallen() || window.attemptMs < 0) return std::nullopt;
    return window;
}

}  // namespace poppyscale::rollout
