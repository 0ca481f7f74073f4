// The actions that the routing policy asks for.
#pragma once

#include <string_view>

#include "policy/types.hpp"

namespace poppyscale {

// Carries out the policy's decisions. It must not call the policy from within one of these functions.
class PolicyHost {
  public:
    virtual ~PolicyHost() = default;

    // Sends the request to the server. The attempts of a request are numbered 0, 1, 2 ... in the order of
    // these calls; each is ended by exactly one RoutingPolicy::onAttemptEnded. An attempt whose
    // response has not begun by `deadline` times out; one that has begun has until the request's deadline.
    // One that is not written by `latestStart` must not be written at all, since its idempotency key may have
    // been forgotten by then.
    virtual void startAttempt(RequestId id, std::string_view server, Nanos deadline, Nanos latestStart) = 0;
    // Sends the final response: the request was not executed, and the client may retry after
    // `retryAfter`.
    virtual void reject(RequestId id, Nanos retryAfter) = 0;
    // Sends the final response: the request may have been executed, and must not be repeated.
    virtual void fail(RequestId id) = 0;
    // Calls RoutingPolicy::reconcile at the time `at`.
    virtual void scheduleWakeup(Nanos at) = 0;
    // Requests the endpoint list; the result is reported through RoutingPolicy::onEndpointUpdate.
    virtual void pollEndpoints() = 0;
    virtual void log(std::string_view text) = 0;
};

}  // namespace poppyscale
