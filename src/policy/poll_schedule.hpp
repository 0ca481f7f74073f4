// Schedules polls of the endpoint list, where the policy polls it.
#pragma once

#include "base/time.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace poppyscale::policy {

class Random;

// The first poll comes soon after the start, and a failed poll is repeated with a growing backoff;
// later lists arrive without a poll. Both delays are random, since all routers may have been
// restarted together and the load on discovery must not grow with their number. Owns the time of
// the next poll and the backoff.
class PollSchedule {
  public:
    PollSchedule(const PolicySettings& settings, Random& random, Nanos now);

    // kNever if no poll is scheduled.
    Nanos nextPollAt() const { return nextPollAt_; }
    // The scheduled poll has been started.
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
