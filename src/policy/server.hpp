// One server as the policy knows it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "policy/concurrency_limiter.hpp"
#include "policy/first_attempt_schedule.hpp"
#include "policy/hint_filter.hpp"
#include "policy/load_estimator.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/retry_policy.hpp"
#include "policy/slow_start.hpp"
#include "policy/types.hpp"

namespace poppyscale::policy {

constexpr double kMinServerWeight = 1e-9;  // least weight, also of a server without a known weight

// A cache server or the origin: its entry in the endpoint list, and the state that each part of the
// policy keeps about it. EndpointRegistry creates it and writes the entry. Requests share ownership
// of the servers of their attempts, so that a server may outlive its removal from the registry.
class Server : public std::enable_shared_from_this<Server> {
  public:
    Server(const std::string& name, bool isOrigin, double initialRetryCredit);

    const std::string& name() const { return endpoint_.name; }
    // Hash of the name, which determines the server's place in the rendezvous ranking of each key.
    std::uint64_t hash() const { return hash_; }
    bool isOrigin() const { return isOrigin_; }
    // The server's entry in the endpoint list, with three exceptions. `startedAt` is not before the
    // last readmission. `weight` is the full weight where weights follow load (see LoadEstimator),
    // else the last known weight. `state` is `removed` if a complete list leaves the server out.
    const Endpoint& endpoint() const { return endpoint_; }
    // When an operator's ejection was last lifted; before all other times if none was.
    Nanos readmittedAt() const { return readmittedAt_; }

    // Applies an entry of the endpoint list at `now`.
    void applyListing(const Endpoint& listed, Nanos startedAt, double weight, Nanos now);
    void raiseWeightTo(double weight);
    void markRemoved() { endpoint_.state = EndpointState::removed; }
    // The later of the listed start and the last readmission.
    Nanos startedAtOrAfterReadmission(Nanos listedStart) const;
    // The server's process has restarted and has lost its cached keys.
    void restart();
    // An operator's ejection was lifted: a cache server counts as just started, with its hints, limit
    // and outcomes reset, and awaits its first attempt. The origin has no slow start.
    void readmit(Nanos now);
    // The first attempt after a readmission is started. The warm-up budget fills from now on.
    void endWaitForFirstAttempt(Nanos now);
    // Ends a hint generation. Returns whether the server was removed at the end of this generation
    // and of the one before.
    bool endGeneration();

    HintFilter hints;
    ConcurrencyLimiter limiter;
    RetryCredit retryCredit;
    OutcomeHistory outcomes;
    WarmupBudget warmupBudget;
    FirstAttemptSchedule firstAttempt;
    LoadReport loadReport;

  private:
    Endpoint endpoint_;
    const std::uint64_t hash_;
    const bool isOrigin_;
    bool wasRemoved_ = false;  // whether the server was removed at the end of the last generation
    Nanos readmittedAt_ = -kNever;
};

}  // namespace poppyscale::policy
