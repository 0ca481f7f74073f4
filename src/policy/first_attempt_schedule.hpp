// When a router sends a readmitted server its first attempt.
#pragma once

#include "base/time.hpp"

namespace poppyscale::policy {

class Random;

// A router with little traffic would not use a readmitted server for a long time, since all of the
// server's keys are cached elsewhere by then. Each router therefore owes it one attempt, whose time
// is drawn at random so that the attempts of all routers are spread.
//
// Guarantees that a router decides at most once per overload window, across readmissions too, with
// a probability of at most its part of what all routers may send in a window. So the expected sum
// over all routers stays within that limit in every window, whenever their requests arrive and
// however long a router had no request. Each server has one schedule.
class FirstAttemptSchedule {
  public:
    // How many attempts all routers together may send.
    struct Limit {
        double attemptsPerWindow = 0;
        double routerCount = 1;
        Nanos window = 1;  // length of the overload window
    };

    // The server can be used again from `now` on.
    void start(Nanos now);
    // The attempt has been sent, also as an ordinary one.
    void end() { isAwaited_ = false; }
    bool isAwaited() const { return isAwaited_; }
    // The expected fraction of all routers that still owe the attempt.
    double awaitedFraction() const { return awaitedFraction_; }
    // Whether the attempt is to be sent now. To be called only if it could be. May draw random numbers.
    bool isDue(const Limit& limit, Nanos now, Random& random);

  private:
    static Nanos spread(const Limit& limit);
    double probability(const Limit& limit, Nanos now) const;

    bool isAwaited_ = false;
    bool isDrawn_ = false;  // whether the time of the first decision is drawn
    Nanos startedAt_ = 0;
    Nanos decidesAt_ = 0;  // no decision before this time
    double awaitedFraction_ = 1;
};

}  // namespace poppyscale::policy
