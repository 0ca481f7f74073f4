// When the endpoint list is polled, where the policy does that.
#pragma once

#include "base/time.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace poppyscale::policy {

class Random;

// The first poll comes soon after the start, and one that fails is repeated with a growing backoff; later
// lists come without a poll. Both are spread by chance: the load on discovery must not grow with the routers,
// and all may have been restarted together. Owns the time of the next poll and the backoff.
class PollSchedule {
  public:
    PollSchedule(const PolicySettings& settings, Random& random, Nanos now);

    // kNever if none is due.
    Nanos nextPollAt() const { return nextPollAt_; }
    // The poll that was due has been started.
    void onPollStarted() { nextPollAt_ = kNever; }
    // An update of the endpoint list, or the failure of a poll.
    void onUpdate(Nanos now, EndpointUpdateKind kind);

  private:
    void onFailure(Nanos now);

    const PolicySettings& settings_;
    Random& random_;
    Nanos nextPollAt_ = kNever;
    Nanos backoff_;
};

}  // namespace poppyscale::policy
