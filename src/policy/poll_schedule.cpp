#include "policy/poll_schedule.hpp"

#include <algorithm>

#include "policy/random.hpp"

namespace poppyscale::policy {
namespace {

constexpr Nanos kInitialBackoff = 500 * kMillisecond;
constexpr Nanos kFirstPollDelayPerRouter = 10 * kMillisecond;

}  // namespace

PollSchedule::PollSchedule(const PolicySettings& settings, Random& random, Nanos now)
    : settings_(settings), random_(random), backoff_(kInitialBackoff) {
    if (!settings.pollsEndpoints) return;
    const Nanos maxDelay =
        std::min(settings.maxFirstPollDelay, settings.routerCount * kFirstPollDelayPerRouter);
    nextPollAt_ = now + random.jitter(maxDelay);
}

void PollSchedule::onUpdate(Nanos now, EndpointUpdateKind kind) {
    switch (kind) {
        case EndpointUpdateKind::failed:
            onFailure(now);
            return;
        case EndpointUpdateKind::cached:  // does not show that discovery answers
            return;
        case EndpointUpdateKind::delta:
        case EndpointUpdateKind::complete:
            backoff_ = kInitialBackoff;
            return;
    }
}

void PollSchedule::onFailure(Nanos now) {
    if (!settings_.pollsEndpoints) return;
    backoff_ = std::min(2 * backoff_, std::max<Nanos>(settings_.pollInterval / 2, 1));
    nextPollAt_ = std::min(nextPollAt_, now + backoff_ / 2 + random_.jitter(backoff_ / 2));
}

}  // namespace poppyscale::policy
