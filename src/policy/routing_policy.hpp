// Makes all decisions of a router: receives events, and requests actions from a PolicyHost.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.hpp"
#include "policy/admission_queue.hpp"
#include "policy/candidate_selector.hpp"
#include "policy/concurrency_limiter.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/key_popularity.hpp"
#include "policy/latency_statistics.hpp"
#include "policy/load_estimator.hpp"
#include "policy/origin_fetches.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/policy_host.hpp"
#include "policy/poll_schedule.hpp"
#include "policy/random.hpp"
#include "policy/rendezvous_ranking.hpp"
#include "policy/request.hpp"
#include "policy/request_classes.hpp"
#include "policy/retry_policy.hpp"
#include "policy/settings.hpp"
#include "policy/slow_start.hpp"
#include "policy/tenant_fairness.hpp"
#include "policy/types.hpp"
#include "policy/zone_affinity.hpp"

namespace poppyscale {

// Decides where each request is sent, when, and how often. Does not depend on a protocol, socket or
// clock: the caller passes the time, which must not go backwards, and reports events as they come;
// only reconcile() asks the host for actions on requests.
//
// Guarantees that each request gets exactly one final response, unless its client disconnects
// first, and that a request that must not be repeated is not executed twice (see
// policy::RetryPolicy). The same seed and events give the same actions. Not thread-safe.
class RoutingPolicy {
  public:
    // `host` must outlive the policy. The constructor does not call it.
    RoutingPolicy(PolicySettings settings, PolicyHost& host, Nanos now);
    ~RoutingPolicy();
    RoutingPolicy(const RoutingPolicy&) = delete;
    RoutingPolicy& operator=(const RoutingPolicy&) = delete;

    // An update of the endpoint list, or the failure of a poll. `endpoints` is empty for a failure.
    void onEndpointUpdate(Nanos now, EndpointUpdateKind kind, const std::vector<Endpoint>& endpoints);
    // An operator has ejected a server or lifted its ejection. An ejected server is sent nothing,
    // whatever the endpoint list says; a server whose ejection is lifted counts as just started.
    void onOperatorEjection(Nanos now, const std::string& name, bool isEjected);
    // A request with the id of an open one is ignored.
    void onRequest(Nanos now, const IncomingRequest& incoming);
    // An attempt that is not in flight is ignored.
    void onAttemptEnded(Nanos now, const AttemptResult& result);
    void onClientDisconnected(Nanos now, RequestId id);
    // `seed`, `cacheAside`, `originShape`, `pollsEndpoints`, `weightsFollowLoad` and
    // `overloadWindow` must have their initial values. Open requests keep the request class that
    // they arrived with, and the smaller of the old and new numbers of attempts.
    void onSettingsChanged(Nanos now, PolicySettings settings);
    // To be called once after all events of one point in time, and at each wake-up. Starts
    // attempts, and gives final responses to requests that no server will serve in time.
    void reconcile(Nanos now);
    // The state of each known server, in the order in which the servers were first listed, the origin
    // last.
    std::vector<EndpointStatus> endpointStatuses(Nanos now);
    const WarmupAttemptCounts& warmupAttemptCounts() const { return slowStart_.counts(); }

  private:
    policy::RequestProperties propertiesOf(const IncomingRequest& incoming, Nanos now);

    void releaseCapacity(const policy::Request& request, policy::Server& server);
    void recordLatency(policy::Server& server, const policy::Request& request, const AttemptResult& result,
                       Nanos now);
    void recordOutcome(policy::Server& server, const policy::Request& request, const AttemptResult& result,
                       Nanos now);
    void recordZoneOutcome(policy::Request& request, bool isLost, Nanos now);
    void updateHints(policy::Request& request, policy::Server& server, AttemptOutcome outcome);

    void pollIfDue(Nanos now);
    bool processWaiting(policy::Request& request, Nanos now, Nanos& wakeupAt);
    bool mayWait(const policy::Request& request, bool awaitsFetch, Nanos latestStart, Nanos now);
    void startAttempt(policy::Request& request, const policy::CandidateSelector::Selection& selection,
                      Nanos now);
    void logFirstAttempt(const policy::Server& server, bool isPreferred, Nanos now);
    void respondFinally(policy::Request& request, Nanos now);
    void scheduleWakeup(Nanos now, Nanos at);
    EndpointStatus statusOf(policy::Server& server, Nanos now) const;

    PolicySettings settings_;  // declared first, since most other members refer to it
    PolicyHost& host_;
    policy::Random random_;
    policy::RequestClasses requestClasses_;
    policy::TenantFairness tenantFairness_;
    policy::KeyPopularity keyPopularity_;
    policy::PollSchedule pollSchedule_;
    policy::EndpointRegistry registry_;
    policy::LoadEstimator loadEstimator_;
    policy::SlowStart slowStart_;
    policy::ZoneAffinity zoneAffinity_;
    policy::RendezvousRanking ranking_;
    policy::RetryPolicy retryPolicy_;
    policy::OutlierDetector outlierDetector_;
    policy::LatencyStatistics statistics_;
    policy::ConcurrencyLimiter totalLimiter_;  // over all cache servers
    policy::OriginFetches originFetches_;
    policy::CandidateSelector selector_;
    std::unordered_map<RequestId, std::unique_ptr<policy::Request>> requests_;  // open requests
    policy::AdmissionQueue queue_;
    Nanos wakeupAt_ = 0;  // the last scheduled wake-up
};

}  // namespace poppyscale
