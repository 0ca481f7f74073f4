// A request that the router has accepted and not yet forgotten.
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

// Written by the `RequestDispatcher` alone; to a client's connection it is a handle. It lives on after its
// final response for as long as an attempt is in flight.
struct PendingRequest {
    RequestId id = 0;
    Nanos acceptedAt = 0;
    protocol::Request message;
    ResponseSink* sink = nullptr;  // null once it has its final response, or when the client has disconnected
    RequestBody* body = nullptr;   // of a write that is streamed, until an attempt has taken it
    Nanos deadline = 0;
    int attemptCount = 0;
    std::unique_ptr<Attempt> attempt;  // in flight
    // By the settings under which it was accepted.
    Idempotency idempotency = Idempotency::nonIdempotent;
    Nanos idempotencyKeyTtl = 0;
    Nanos firstPossiblyExecutedAt = kNever;  // when the first attempt that may have executed was sent
};

// The present status of a request, for operators.
struct RequestStatus {
    std::string id;
    std::string requestClass;
    std::string tenant;
    std::string key;
    Nanos since = 0;
    Nanos deadline = 0;
    int attemptCount = 0;
    bool isAwaited = false;  // a client waits for its response
    std::string server;      // where an attempt is in flight, or empty
    Nanos sentAt = 0;        // of that attempt
};

}  // namespace poppyscale::proxy
