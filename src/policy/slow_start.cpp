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
// The budgets of a server that is warming up add up to this fraction of the load at which it collapses.
constexpr double kBudgetFraction = 0.5;
// Where the settings name no overload window, each router may send its first attempt within this time.
constexpr Nanos kUnlimitedWindow = 1'000 * kMillisecond;
constexpr int kMaxLatencySamples = 32;  // weight of earlier samples in the mean latency

}  // namespace

void WarmupBudget::skipTo(Nanos now) { filledAt_ = std::max(filledAt_, now); }

void WarmupBudget::restart(Nanos now) {
    attempts_ = 0;
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

bool SlowStart::isWarmingUpAfterReadmission(const Server& server, Nanos now) const {
    return server.readmittedAt() >= server.endpoint().startedAt && isWarmingUp(server, now);
}

Nanos SlowStart::stepDuration() const { return std::max(settings_.rampDuration / kRampSteps, kMillisecond); }

bool SlowStart::hasBudget(Server& server, Nanos now, Random& random) {
    const double fraction = warmupFraction(server, now);
    if (fraction >= 1) return true;
    if (server.firstAttempt.isAwaited()) return isFirstAttemptDue(server, now, random);
    updateThroughput(now);
    const double rate =
        kBudgetFraction * settings_.overloadMultiple * fraction * throughput_ * server.endpoint().weight;
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

// Routers that still owe the server its first attempt have no budget, and leave their part to the first
// attempts.
bool SlowStart::isFirstAttemptDue(Server& server, Nanos now, Random& random) {
    const auto routerCount = static_cast<double>(std::max(settings_.routerCount, 1));
    if (settings_.overloadWindow <= 0)
        return server.firstAttempt.isDue({routerCount, routerCount, kUnlimitedWindow}, now, random);
    updateThroughput(now);
    const double collapseLoad =
        settings_.overloadMultiple * warmupFraction(server, now) * knownCapacity(server.endpoint().weight);
    const double ofBudgets = kBudgetFraction * (1 - server.firstAttempt.awaitedFraction());
    return server.firstAttempt.isDue({(1 - ofBudgets) * collapseLoad, routerCount, window_}, now, random);
}

// A server bears what it answers. Where it has little to do, that is less than it could: it also
// bears one request after another.
double SlowStart::knownCapacity(double weight) const {
    const double answered = throughput_ * weight * settings_.routerCount;
    const double meanWeight = warmCount_ > 0 ? warmWeight_ / warmCount_ : weight;
    const double latency =
        latencySamples_ > 0 ? meanLatency_ : static_cast<double>(largestLatencyObjective());
    const double oneByOne = static_cast<double>(window_) / std::max(latency, 1.0);
    return std::max(answered, oneByOne * std::min(1.0, weight / meanWeight));
}

Nanos SlowStart::largestLatencyObjective() const {
    Nanos largest = kMillisecond;
    for (const RequestClass& requestClass : settings_.requestClasses)
        largest = std::max(largest, requestClass.latencyObjective);
    return largest;
}

void SlowStart::recordLatencyOfWarmServer(Nanos latency) {
    latencySamples_ = std::min(latencySamples_ + 1, kMaxLatencySamples);
    meanLatency_ += (static_cast<double>(latency) - meanLatency_) / latencySamples_;
}

void SlowStart::setWarmServers(double weight, int count, Nanos now) {
    updateThroughput(now);
    warmWeight_ = weight;
    warmCount_ = count;
}

void SlowStart::updateThroughput(Nanos now) {
    if (warmWeight_ > 0) throughput_ = answers_.read(now) / warmWeight_;
}

}  // namespace poppyscale::policy
