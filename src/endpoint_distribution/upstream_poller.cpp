#include "endpoint_distribution/upstream_poller.hpp"

#include <algorithm>

namespace poppyscale::endpoint_distribution {

UpstreamPoller::UpstreamPoller(const Options& options, DistributorHost& host, Nanos now)
    : options_(options), host_(host), random_(options.seed), dueAt_(now), lastResponseAt_(now) {}

void UpstreamPoller::poll(Nanos now, std::optional<Version> version, bool mayWait) {
    state_ = State::polling;
    if (now - lastSilenceAt_ > kResponseTimeoutRetention) responseTimeout_ = kResponseTimeout;
    if (needsCompleteList_ || !version) {
        dueAt_ = now + responseTimeout_ * kCompleteListFactor;
        host_.pollUpstream(upstream_, std::nullopt, 0);
        return;
    }
    // An upstream that has just failed is not waited for.
    Nanos wait = 0;
    if (mayWait && !isProbing_) wait = drawWait();
    dueAt_ = now + wait + responseTimeout_;
    host_.pollUpstream(upstream_, version, wait);
}

// With jitter, so that not all distributors' waits end together.
Nanos UpstreamPoller::drawWait() {
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
    return upstreamListAge_ > options_.upstreamWait + kStaleAfter && options_.has(Safeguard::staleUpstream);
}

void UpstreamPoller::succeed(Nanos now) {
    if (!lastFailure_.empty())
        host_.log("the endpoint list is received from upstream " + std::to_string(upstream_));
    lastFailure_.clear();
    failures_ = 0;
    silences_ = 0;
    isProbing_ = false;
    state_ = State::backingOff;
    dueAt_ = now;  // polled again at once: it parks the poll until there is a change
}

void UpstreamPoller::requestCompleteList(Nanos now, std::string_view reason) {
    needsCompleteList_ = true;
    pause(now);
    lastFailure_ = reason;
    host_.log("upstream " + std::to_string(upstream_) + ": " + lastFailure_ +
              "; its complete list is requested");
}

void UpstreamPoller::fail(Nanos now, UpstreamFailure failure, std::string_view reason) {
    // The same changes would be malformed in the same way again.
    if (failure == UpstreamFailure::malformed) needsCompleteList_ = true;
    if (failure == UpstreamFailure::unresponsive) recordSilence(now);
    retryNext(now, reason);
}

void UpstreamPoller::retryNext(Nanos now, std::string_view reason) {
    lastFailure_ = reason;
    host_.log("upstream " + std::to_string(upstream_) + ": " + lastFailure_ + "; last response " +
              std::to_string((now - lastResponseAt_) / kMillisecond) + " ms ago");
    if (options_.has(Safeguard::failOver)) moveToNext();
    isProbing_ = true;
    pause(now);
}

void UpstreamPoller::moveToNext() { upstream_ = (upstream_ + 1) % options_.upstreams; }

void UpstreamPoller::pause(Nanos now) {
    state_ = State::backingOff;
    dueAt_ = now + nextPause();
}

Nanos UpstreamPoller::nextPause() {
    constexpr int kMaxDoublings = 4;  // enough for kMaxBackoff
    const Nanos backoff = std::min(kMinBackoff << std::min(failures_, kMaxDoublings), kMaxBackoff);
    ++failures_;
    const Nanos pause = backoff / static_cast<Nanos>(options_.upstreams);
    if (!options_.has(Safeguard::backoffJitter)) return pause;
    return pause - std::uniform_int_distribution<Nanos>(0, pause / 2)(random_);
}

void UpstreamPoller::recordSilence(Nanos now) {
    lastSilenceAt_ = now;
    ++silences_;
    if (silences_ < options_.upstreams || !options_.has(Safeguard::patience)) return;
    silences_ = 0;
    responseTimeout_ = std::min(2 * responseTimeout_, kMaxResponseTimeout);
}

}  // namespace poppyscale::endpoint_distribution
