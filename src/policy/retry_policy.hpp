// Which further attempts of a request are allowed.
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

// What one server's successes allow it in attempts of requests that may already have been executed: such an
// attempt can double its work, so that retries must not grow with failures. One for each server.
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

// Guarantees that no effect happens twice: a non-idempotent request that may have been executed is neither
// attempted again nor rejected, and one with an idempotency key only where and while its key is remembered.
// Every attempt and every rejection passes this class. Owns no state; requests keep their attempts, servers
// their credit.
class RetryPolicy {
  public:
    RetryPolicy(const PolicySettings& settings, const EndpointRegistry& registry)
        : settings_(settings), registry_(registry) {}

    int attemptsLeft(const Request& request) const;
    // Whether the request may be sent to `server`.
    bool mayAttempt(const Request& request, const Server& server, Nanos now) const;
    // Whether the client may be asked to retry.
    bool mayReject(const Request& request) const;
    // Whether `server` has the credit for it. Draws a number if any is needed.
    bool hasCredit(const Request& request, const Server& server, Random& random) const;
    // When an attempt that starts at `now` is given up, so that another one still meets the objective; the
    // request's deadline if none would. `totalLimiter` is the one over all cache servers.
    Nanos attemptDeadline(const Request& request, const Server& server, LatencyStatistics& statistics,
                          const ConcurrencyLimiter& totalLimiter, Nanos now) const;

  private:
    const PolicySettings& settings_;
    const EndpointRegistry& registry_;
};

}  // namespace poppyscale::policy
