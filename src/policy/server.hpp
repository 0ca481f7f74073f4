// One server as the policy knows it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "policy/concurrency_limiter.hpp"
#include "policy/hint_filter.hpp"
#include "policy/load_estimator.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/retry_policy.hpp"
#include "policy/slow_start.hpp"
#include "policy/types.hpp"

namespace poppyscale::policy {

constexpr double kMinServerWeight = 1e-9;  // of one that is listed without a weight

// A cache server or the origin: its entry in the endpoint list, and for each concern of the policy an object
// with what that concern has learnt about it. The EndpointRegistry makes it and writes the entry; requests
// share it while they have an attempt there, so that it may outlive its removal from the registry.
class Server : public std::enable_shared_from_this<Server> {
  public:
    Server(const std::string& name, bool isOrigin, double initialRetryCredit);

    const std::string& name() const { return endpoint_.name; }
    // Of the name; its place in the rendezvous ranking of each key.
    std::uint64_t hash() const { return hash_; }
    bool isOrigin() const { return isOrigin_; }
    // As listed, but for a weight that follows load, and for a start that readmit() has made later.
    const Endpoint& endpoint() const { return endpoint_; }
    // Whether no attempt has been sent there since an operator's ejection was lifted.
    bool awaitsFirstAttempt() const { return awaitsFirstAttempt_; }

    // Takes over an entry of the endpoint list.
    void applyListing(const Endpoint& listed, Nanos startedAt, double weight);
    void raiseWeightTo(double weight);
    void markRemoved() { endpoint_.state = EndpointState::removed; }
    // When it started, as far as known at `listed`: no earlier than the last readmission.
    Nanos startedAtOrAfterReadmission(Nanos listed) const;
    // Its process has lost what it had cached.
    void restart();
    // An operator's ejection was lifted: it counts as just started, with nothing cached and nothing learnt.
    void readmit(Nanos now);
    void endWaitForFirstAttempt() { awaitsFirstAttempt_ = false; }
    // Notes the end of a hint generation. Whether it was removed at the end of the last one, too.
    bool endGeneration();

    HintFilter hints;
    ConcurrencyLimiter limiter;
    RetryCredit retryCredit;
    OutcomeHistory outcomes;
    WarmupBudget warmupBudget;
    LoadReport loadReport;

  private:
    Endpoint endpoint_;
    const std::uint64_t hash_;
    const bool isOrigin_;
    bool awaitsFirstAttempt_ = false;
    bool wasRemoved_ = false;  // at the end of the last generation
    Nanos readmittedAt_ = -kNever;
};

}  // namespace poppyscale::policy
