#include "policy/slow_start.hpp"

#include <algorithm>

#include "policy/random.hpp"
#include "policy/server.hpp"

namespace poppyscale::policy {
namespace {

// The most windows for which a budget is filled at once. More than one, since a router with little
// traffic rarely has a request for the server within one window.
constexpr double kMaxWindowsSaved = 12;
constexpr Nanos kRampSteps = 32;
// The budget of a server that is warming up is this fraction of the load at which it collapses.
constexpr double kSafetyMargin = 0.5;

}  // namespace

void WarmupBudget::skipTo(Nanos now) { filledAt_ = std::max(filledAt_, now); }

void WarmupBudget::restart(Nanos now) {
    attempts_ = 1;
    filledAt_ = now;
}

// A budget below one attempt is rounded at random: a thousand routers that all rounded up would
// overload the server.
bool WarmupBudget::fill(double rate, Nanos window, Nanos now, Random& random) {
    const double windows =
        std::min(kMaxWindowsSaved, static_cast<double>(now - filledAt_) / static_cast<double>(window));
    attempts_ = std::min(attempts_ + rate * windows, std::max(1.0, rate));
    filledAt_ = now;
    if (attempts_ < 1) attempts_ = random.sample() < attempts_ ? 1 : 0;
    return attempts_ >= 1;
}

SlowStart::SlowStart(const PolicySettings& settings)
    : settings_(settings), window_(std::max<Nanos>(settings.overloadWindow, 1)), answers_(window_) {}

double SlowStart::warmupFraction(const Server& server, Nanos now) const {
    const Nanos startedAt = server.endpoint().startedAt;
    if (startedAt <= 0 || now - startedAt >= settings_.rampDuration) return 1;
    const double progress = static_cast<double>(std::max<Nanos>(now - startedAt, 0)) /
                            static_cast<double>(settings_.rampDuration);
    return settings_.initialFraction + (1 - settings_.initialFraction) * progress;
}

Nanos SlowStart::stepDuration() const { return std::max(settings_.rampDuration / kRampSteps, kMillisecond); }

bool SlowStart::hasBudget(Server& server, Nanos now, Random& random) {
    const double fraction = warmupFraction(server, now);
    if (fraction >= 1) return true;
    updateThroughput(now);
    const double rate =
        kSafetyMargin * settings_.overloadMultiple * fraction * throughput_ * server.endpoint().weight;
    const bool isWithinBudget = server.warmupBudget.fill(rate, window_, now, random);
    if (!isWithinBudget) ++counts_.withoutBudget;
    return isWithinBudget;
}

void SlowStart::onAttemptStarted(Server& server, bool isPreferred, Nanos now) {
    server.warmupBudget.spend();
    if (server.isOrigin() || !isWarmingUp(server, now)) return;
    if (isPreferred)
        ++counts_.preferred;
    else
        ++counts_.withinBudget;
}

void SlowStart::setWarmWeight(double weight, Nanos now) {
    updateThroughput(now);
    warmWeight_ = weight;
}

void SlowStart::updateThroughput(Nanos now) {
    if (warmWeight_ > 0) throughput_ = answers_.read(now) / warmWeight_;
}

}  // namespace poppyscale::policy
