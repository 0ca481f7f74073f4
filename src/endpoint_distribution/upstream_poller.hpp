// Decides which upstream is polled, when, and how long its response may take. One upstream is
// polled at a time.
//
// When an upstream fails, the next one is polled. The pauses between attempts grow from kMinBackoff
// to kMaxBackoff; they are divided by the number of upstreams and have jitter. The first poll after
// a failure does not wait for a change, so that an upstream which accepts connections but never
// responds is detected within the response timeout. When as many polls as there are upstreams have
// timed out without a successful one in between, that timeout is doubled, up to
// kMaxResponseTimeout. It is reset kResponseTimeoutRetention after the last poll that timed out.
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

    // Polls the present upstream. `version` is the present list's, nullopt while there is no list.
    // With `mayWait` the upstream may hold the poll until there is a change.
    void poll(Nanos now, std::optional<Version> version, bool mayWait);

    // The upstream's response was accepted. `listAge` is the age that the upstream reports for its
    // list.
    void recordResponse(Nanos now, Nanos listAge);
    // The list here is now the upstream's newest, so the next poll may request changes.
    void recordCurrentList(Nanos now);
    // Whether the upstream's own list is too old, by the last recordResponse().
    bool isStale() const;
    // Ends a successful poll; the same upstream is polled again at once. Requires recordResponse()
    // before.
    void succeed(Nanos now);
    // Ends the poll; the same upstream is polled for its complete list after a pause.
    void requestCompleteList(Nanos now, std::string_view reason);
    // Ends a failed poll; the next upstream is polled after a pause.
    void fail(Nanos now, UpstreamFailure failure, std::string_view reason);
    // Ends the poll; the next upstream is polled after a pause.
    void retryNext(Nanos now, std::string_view reason);
    // Makes the next upstream the present one.
    void moveToNext();

    bool isPolling() const { return state_ == State::polling; }
    // When the poll times out, or when the pause ends.
    Nanos dueAt() const { return dueAt_; }
    std::size_t upstream() const { return upstream_; }
    bool needsCompleteList() const { return needsCompleteList_; }
    // Why the last poll failed; empty after a successful poll.
    const std::string& lastFailure() const { return lastFailure_; }
    // The time since an upstream last responded plus the age that it reported for its list. Before
    // the first response, the time since the start.
    Nanos listAge(Nanos now) const { return now - lastResponseAt_ + upstreamListAge_; }

  private:
    enum class State : std::uint8_t { backingOff, polling };

    Nanos jitteredWait();
    Nanos nextPause();
    void pause(Nanos now);
    void recordTimeout(Nanos now);

    const Options& options_;
    DistributorHost& host_;
    std::mt19937_64 random_;

    State state_ = State::backingOff;
    std::size_t upstream_ = 0;
    Nanos dueAt_;
    bool needsCompleteList_ = true;
    bool isProbing_ = true;  // no successful poll since the last failure
    int failures_ = 0;       // pauses since the last successful poll
    std::string lastFailure_ = "no upstream has responded yet";

    Nanos responseTimeout_ = kResponseTimeout;
    // Polls that have timed out since the last successful one, or since responseTimeout_ last grew.
    std::size_t timeoutsSinceSuccess_ = 0;
    Nanos lastTimeoutAt_ = 0;

    Nanos lastResponseAt_;
    Nanos upstreamListAge_ = 0;
};

}  // namespace poppyscale::endpoint_distribution
