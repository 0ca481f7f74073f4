#include "policy/first_attempt_schedule.hpp"

#include <algorithm>

#include "policy/random.hpp"

namespace poppyscale::policy {
namespace {

// The attempts of all routers are spread over this time at most, unless the limit needs longer. It is
// shorter than the 5 s within which operators expect the server to be used, since a router sends the
// attempt only with its next request.
constexpr Nanos kMaxSpread = 4'000 * kMillisecond;
// A few routers spread their attempts so that they take this fraction of the limit. It is well below
// one, since a server answers late long before it collapses.
constexpr double kSpreadLimitFraction = 0.25;

}  // namespace

void FirstAttemptSchedule::start(Nanos now) {
    isAwaited_ = true;
    isDrawn_ = false;
    startedAt_ = now;
    awaitedFraction_ = 1;
}

bool FirstAttemptSchedule::isDue(const Limit& limit, Nanos now, Random& random) {
    if (!isAwaited_) return false;
    if (!isDrawn_) {
        isDrawn_ = true;
        const Nanos delay = random.jitter(std::min(limit.window, spread(limit)));
        decidesAt_ = std::max(decidesAt_, startedAt_ + delay);
    }
    if (now < decidesAt_) return false;
    decidesAt_ = now + limit.window;
    const double chance = probability(limit, now);
    awaitedFraction_ = std::max(awaitedFraction_ * (1 - chance), 1 / limit.routerCount);
    return random.sample() < chance;
}

// Until the limit is reached, all decisions that are left in the spread have equal chances, and the
// last one is certain.
double FirstAttemptSchedule::probability(const Limit& limit, Nanos now) const {
    const Nanos left = startedAt_ + spread(limit) - now;
    const double decisionsLeft = std::max(1.0, static_cast<double>(left) / static_cast<double>(limit.window));
    const double share = limit.attemptsPerWindow / (limit.routerCount * awaitedFraction_);
    return std::min(share, 1 / decisionsLeft);
}

// A single router has no others to wait for.
Nanos FirstAttemptSchedule::spread(const Limit& limit) {
    const double windows = (limit.routerCount - 1) / (kSpreadLimitFraction * limit.attemptsPerWindow);
    const double duration = windows * static_cast<double>(limit.window);
    return duration < static_cast<double>(kMaxSpread) ? static_cast<Nanos>(duration) : kMaxSpread;
}

}  // namespace poppyscale::policy
