// A request that the router has accepted and still holds.
#pragma once

#include <memory>
#include <string>

#include "base/time.hpp"
#include "policy/types.hpp"
#include "protocol/request.hpp"
#include "proxy/attempt.hpp"
#include "proxy/body_stream.hpp"
#include "proxy/response_sink.hpp"

namespace poppyscale::proxy {

// Only the `RequestDispatcher` modifies a request; to a client's connection it is a handle. The
// request outlives its final response while an attempt is in flight.
struct PendingRequest {
    RequestId id = 0;
    Nanos acceptedAt = 0;
    protocol::Request message;
    ResponseSink* sink = nullptr;  // null once the final response has begun, or the client has disconnected
    RequestBody* body = nullptr;   // value of a streamed write, until an attempt takes it
    Nanos deadline = 0;
    int attemptCount = 0;
    bool isAbandoned = false;          // the client has disconnected before the final response
    std::unique_ptr<Attempt> attempt;  // the attempt in flight; null without one
    // From the settings that were in force when the request was accepted.
    Idempotency idempotency = Idempotency::nonIdempotent;
    Nanos idempotencyKeyTtl = 0;
    Nanos firstPossiblyExecutedAt = kNever;  // when the first attempt that may have executed was sent
};

// The current status of a request, for operators.
struct RequestStatus {
    std::string id;
    std::string requestClass;
    std::string tenant;
    std::string key;
    Nanos acceptedAt = 0;  // when the request arrived
    Nanos deadline = 0;
    int attemptCount = 0;
    bool isAwaited = false;  // a client waits, and the final response has not begun
    std::string server;      // server of the attempt in flight; empty without one
    Nanos sentAt = 0;        // when the attempt in flight was sent
};

}  // namespace poppyscale::proxy
