// Polls the upstreams, one at a time: which one, when, and for how long a response may take.
//
// When an upstream fails, the next one is polled. The pauses between attempts grow from kMinBackoff to
// kMaxBackoff, divided by the number of upstreams and with jitter. The first poll after a failure does not
// wait for a change, so that an upstream which accepts connections and is silent is detected within the
// response timeout. Where all upstreams in turn have been silent, that timeout grows, to kMaxResponseTimeout
// at most, and stays so until kResponseTimeoutRetention after the last silence.
#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "endpoint_distribution/distributor_host.hpp"
#include "endpoint_distribution/options.hpp"

namespace poppyscale::endpoint_distribution {

class UpstreamPoller {
  public:
    // `options` and `host` have to outlive the poller.
    UpstreamPoller(const Options& options, DistributorHost& host, Nanos now);

    // Polls the present upstream. `version`: of the list here, nothing without a list. `mayWait`: for a
    // change.
    void poll(Nanos now, std::optional<Version> version, bool mayWait);

    // The upstream's response was taken. `listAge`: of its list, by its own account.
    void recordResponse(Nanos now, Nanos listAge);
    // The list here is the upstream's newest now, so the next poll may request changes.
    void recordCurrentList(Nanos now);
    // After recordResponse: whether the upstream's own list is too old.
    bool isStale() const;
    // After recordResponse: the upstream is healthy and may be polled again at once.
    void succeed(Nanos now);
    // The same upstream is polled for its complete list after a pause.
    void requestCompleteList(Nanos now, std::string_view reason);
    // The poll failed; the next upstream is polled after a pause.
    void fail(Nanos now, UpstreamFailure failure, std::string_view reason);
    // The next upstream is polled after a pause.
    void retryNext(Nanos now, std::string_view reason);
    // The next upstream is the present one.
    void moveToNext();

    bool isPolling() const { return state_ == State::polling; }
    // When the pause is over, or the response is too late.
    Nanos dueAt() const { return dueAt_; }
    std::size_t upstream() const { return upstream_; }
    bool needsCompleteList() const { return needsCompleteList_; }
    // Why the list can't be had from the upstream; empty while it can.
    const std::string& lastFailure() const { return lastFailure_; }
    // Since an upstream last responded, and the age of its list then; since the start before any response.
    Nanos listAge(Nanos now) const { return now - lastResponseAt_ + upstreamListAge_; }

  private:
    enum class State : std::uint8_t { backingOff, polling };

    Nanos drawWait();
    Nanos nextPause();
    void pause(Nanos now);
    void recordSilence(Nanos now);

    const Options& options_;
    DistributorHost& host_;
    std::mt19937_64 random_;

    State state_ = State::backingOff;
    std::size_t upstream_ = 0;
    Nanos dueAt_;
    bool needsCompleteList_ = true;
    bool isProbing_ = true;  // no response since the last failure
    int failures_ = 0;       // in a row
    std::string lastFailure_ = "nothing has been heard yet";

    Nanos responseTimeout_ = kResponseTimeout;
    std::size_t silences_ = 0;  // in a row, since the timeout last grew
    Nanos lastSilenceAt_ = 0;

    Nanos lastResponseAt_;
    Nanos upstreamListAge_ = 0;
};

}  // namespace poppyscale::endpoint_distribution
