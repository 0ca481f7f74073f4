// The interface of the decisions: what a front tells them, and what they ask a front to do.
// Nothing here knows of any wire, socket or clock; a front keeps its protocol to itself.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "policy/policy_host.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace poppyscale {

class RoutingPolicy {
  public:
    RoutingPolicy(PolicySettings terms, PolicyHost& host, Nanos now);
    ~RoutingPolicy();
    RoutingPolicy(const RoutingPolicy&) = delete;
    RoutingPolicy& operator=(const RoutingPolicy&) = delete;

    void onEndpointUpdate(Nanos now, EndpointUpdateKind kind, const std::vector<Endpoint>& entries);
    // An operator's word: nothing goes to that cache, whatever the list says, until it is lifted. It counts
    // as just started from then on.
    void onOperatorEjection(Nanos now, const std::string& name, bool on);
    void onRequest(Nanos now, const IncomingRequest& arrival);
    void onAttemptEnded(Nanos now, const AttemptResult& end);
    void onClientDisconnected(Nanos now, RequestId id);
    // Other verbs, customers and figures from now on; `seed`, `aside`, `originShape`, `listOnRequest`,
    // `sizesMove` and `fallSpan` have to be those of the start. What has arrived ends by the verb it came
    // under, and by the smaller number of relays.
    void onSettingsChanged(Nanos now, PolicySettings terms);
    // Once after all events of a moment (a wake-up has no call of its own): emits what should change.
    void reconcile(Nanos now);
    // In the order in which the servers were first heard of.
    std::vector<EndpointStatus> endpointStatuses(Nanos now);

  private:
    struct Inside;
    std::unique_ptr<Inside> in_;
};

}  // namespace poppyscale
