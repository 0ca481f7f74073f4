#include "endpoint_distribution/upstream_poller.hpp"

#include <algorithm>

namespace poppyscale::endpoint_distribution {

UpstreamPoller::UpstreamPoller(const Options& options, DistributorHost& host, Nanos now)
    : options_(options), host_(host), random_(options.seed), dueAt_(now), lastResponseAt_(now) {}

void UpstreamPoller::poll(Nanos now, std::optional<Version> version, bool mayWait) {
    state_ = State::polling;
    if (now - lastTimeoutAt_ > kResponseTimeoutRetention) responseTimeout_ = kResponseTimeout;
    if (needsCompleteList_ || !version) {
        dueAt_ = now + responseTimeout_ * kCompleteListFactor;
        host_.pollUpstream(upstream_, std::nullopt, 0);
        return;
    }
    // The first poll after a failure does not wait for a change.
    Nanos wait = 0;
    if (mayWait && !isProbing_) wait = jitteredWait();
    dueAt_ = now + wait + responseTimeout_;
    host_.pollUpstream(upstream_, version, wait);
}

// Jitter keeps the distributors' long polls from ending at the same time.
Nanos UpstreamPoller::jitteredWait() {
    std::uniform_int_distribution<Nanos> jitter(0, options_.upstreamWait / 2);
    return options_.upstreamWait - jitter(random_);
}

void UpstreamPoller::recordResponse(Nanos now, Nanos listAge) {
    recordCurrentList(now);
    upstreamListAge_ = listAge;
}

void UpstreamPoller::recordCurrentList(Nanos now) {
    needsCompleteList_ = false;
    lastResponseAt_ = now;
}

bool UpstreamPoller::isStale() const {
    return upstreamListAge_ > options_.upstreamWait + kStaleAfter &&
           options_.isEnabled(Safeguard::staleUpstream);
}

void UpstreamPoller::succeed(Nanos now) {
    if (!lastFailure_.empty())
        host_.log("receiving the endpoint list from upstream " + std::to_string(upstream_));
    lastFailure_.clear();
    failures_ = 0;
    timeoutsSinceSuccess_ = 0;
    isProbing_ = false;
    state_ = State::backingOff;
    dueAt_ = now;  // no pause, as the upstream holds the next poll until there is a change
}

void UpstreamPoller::requestCompleteList(Nanos now, std::string_view reason) {
    needsCompleteList_ = true;
    pause(now);
    lastFailure_ = reason;
    host_.log("upstream " + std::to_string(upstream_) + ": " + lastFailure_ +
              "; requesting its complete list");
}

void UpstreamPoller::fail(Nanos now, UpstreamFailure failure, std::string_view reason) {
    // A poll for changes would return the same malformed changes again.
    if (failure == UpstreamFailure::malformed) needsCompleteList_ = true;
    if (failure == UpstreamFailure::unresponsive) recordTimeout(now);
    retryNext(now, reason);
}

void UpstreamPoller::retryNext(Nanos now, std::string_view reason) {
    lastFailure_ = reason;
    host_.log("upstream " + std::to_string(upstream_) + ": " + lastFailure_ + "; last accepted response " +
              std::to_string((now - lastResponseAt_) / kMillisecond) + " ms ago");
    if (options_.isEnabled(Safeguard::failOver)) moveToNext();
    isProbing_ = true;
    pause(now);
}

void UpstreamPoller::moveToNext() { upstream_ = (upstream_ + 1) % options_.upstreams; }

void UpstreamPoller::pause(Nanos now) {
    state_ = State::backingOff;
    dueAt_ = now + nextPause();
}

Nanos UpstreamPoller::nextPause() {
    constexpr int kMaxDoublings = 4;  // enough to reach kMaxBackoff
    const Nanos backoff = std::min(kMinBackoff << std::min(failures_, kMaxDoublings), kMaxBackoff);
    ++failures_;
    const Nanos pause = backoff / static_cast<Nanos>(options_.upstreams);
    if (!options_.isEnabled(Safeguard::backoffJitter)) return pause;
    return pause - std::uniform_int_distribution<Nanos>(0, pause / 2)(random_);
}

void UpstreamPoller::recordTimeout(Nanos now) {
    lastTimeoutAt_ = now;
    ++timeoutsSinceSuccess_;
    if (timeoutsSinceSuccess_ < options_.upstreams || !options_.isEnabled(Safeguard::growingTimeout)) return;
    timeoutsSinceSuccess_ = 0;
    responseTimeout_ = std::min(2 * responseTimeout_, kMaxResponseTimeout);
}

}  // namespace poppyscale::endpoint_distribution
