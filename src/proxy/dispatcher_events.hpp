// What an iteration of the event loop brings to the policy, and what the policy answers with.
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

// Applied in the order in which they occurred.
struct DispatcherEvent {
    Nanos at;
    std::variant<RequestArrived, AttemptEnded, ClientDisconnected, EndpointsUpdated, SettingsChanged,
                 EjectionChanged>
        what;
};

struct StartAttempt {
    UpstreamServer* server;  // null if it is not listed any more
    Nanos deadline;
    Nanos latestStart;
};

// Executed in the order in which the policy asked for them.
struct DispatcherAction {
    RequestId id;
    std::variant<StartAttempt, FinalResponse> what;
};

}  // namespace poppyscale::proxy
