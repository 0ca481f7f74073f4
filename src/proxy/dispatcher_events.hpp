// The events that the dispatcher passes to the policy, and the actions that the policy asks for.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/time.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"
#include "proxy/pending_request.hpp"
#include "proxy/response_sink.hpp"
#include "proxy/upstream_server.hpp"

namespace poppyscale::proxy {

struct RequestArrived {
    PendingRequest* request;
};

struct AttemptEnded {
    AttemptResult result;
};

struct ClientDisconnected {
    RequestId id;
};

struct EndpointsUpdated {
    EndpointUpdateKind kind;
    std::vector<Endpoint> endpoints;
};

struct SettingsChanged {
    PolicySettings settings;
};

struct EjectionChanged {
    std::string server;
    bool isEjected;
};

// Events are applied in the order in which the dispatcher recorded them.
struct DispatcherEvent {
    Nanos occurredAt;
    std::variant<RequestArrived, AttemptEnded, ClientDisconnected, EndpointsUpdated, SettingsChanged,
                 EjectionChanged>
        payload;
};

struct StartAttempt {
    UpstreamServer* server;  // null if it is no longer listed
    Nanos deadline;
    Nanos latestStart;
};

// Actions are executed in the order in which the policy asked for them.
struct DispatcherAction {
    RequestId id;
    std::variant<StartAttempt, FinalResponse> payload;
};

}  // namespace poppyscale::proxy
