// Decides which further attempts of a request are allowed.
#pragma once

#include "base/time.hpp"
#include "policy/settings.hpp"

namespace poppyscale::policy {

class EndpointRegistry;
class LatencyStatistics;
class ConcurrencyLimiter;
class Random;
class Request;
class Server;

// The number of attempts that a server may be sent of requests that may already have been executed.
// It grows with the server's successes: each of these attempts can repeat work, so retries must not
// grow with failures. Each server has one.
class RetryCredit {
  public:
    explicit RetryCredit(double attempts) : attempts_(attempts) {}

    void earn();
    void spend() { attempts_ -= 1; }
    // A credit below one attempt allows one with that probability; `sample` is uniform in [0, 1).
    bool isEnough(double sample) const { return attempts_ >= sample; }

  private:
    double attempts_;
};

// Guarantees that no effect happens twice. A non-idempotent request that may have been executed is
// neither attempted again nor rejected. A request with an idempotency key that may have been
// executed is attempted again only where and while the key is remembered, and rejected only if all
// servers recognise the key. Every attempt and every rejection is checked here. Owns no state;
// requests keep their attempts, servers their credit.
class RetryPolicy {
  public:
    RetryPolicy(const PolicySettings& settings, const EndpointRegistry& registry)
        : settings_(settings), registry_(registry) {}

    int attemptsLeft(const Request& request) const;
    // Whether the request may be sent to `server`.
    bool mayAttempt(const Request& request, const Server& server, Nanos now) const;
    // Whether the request is safe to repeat, has had no attempt, and has the time and the number of
    // attempts for one more after a first one.
    bool mayBeRepeatedInTime(const Request& request, Nanos now) const;
    // Whether the client may be asked to retry.
    bool mayReject(const Request& request) const;
    // Whether `server` has the retry credit for an attempt. Draws a random number only if credit is
    // needed.
    bool hasCredit(const Request& request, const Server& server, Random& random) const;
    // The time by which the response to an attempt that starts at `now` must have begun: the request's
    // deadline, or earlier if another attempt would then still be of use. Only the first attempt of a safe
    // request at a cache server times out earlier, once enough latencies are known and unless weights follow
    // load. `totalLimiter`: the limiter over all cache servers.
    Nanos attemptDeadline(const Request& request, const Server& server, LatencyStatistics& statistics,
                          const ConcurrencyLimiter& totalLimiter, Nanos now) const;
    // The time by which the response must have begun so that another attempt can still be answered.
    Nanos deadlineBeforeRetry(const Request& request, LatencyStatistics& statistics, Nanos now) const;

  private:
    const PolicySettings& settings_;
    const EndpointRegistry& registry_;
};

}  // namespace poppyscale::policy
