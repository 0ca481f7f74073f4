// Discovery's lists and the configuration a router is started with: JSON to types.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "policy/routing_policy.hpp"
#include "protocol/policy_settings.hpp"

namespace poppyscale::protocol {

struct EndpointEntry {
    Endpoint endpoint;  // its `cameUp` stays 0: only the router knows how its clock lies to the machines'
    std::string address;
    std::int64_t startedMs = 0;  // Unix time; 0 for long ago
};

struct EndpointList {
    std::int64_t version = 0;
    bool isComplete = false;
    std::vector<EndpointEntry> entries;
};

// Throws Malformed.
EndpointList readEndpointList(std::string_view json);

// What a router is started with.
struct StartupConfig {
    std::string name;
    std::string listen;
    std::string discovery;
    std::string console;  // where operators call; nowhere if empty
    PolicySettings policy;
    EndpointList knownEndpoints;
    Nanos serverIdleTimeout = 0;      // after which caches close a connection
    bool endpointsArePushed = false;  // what discovery has counts as told at once
    Nanos pollWait = 0;               // how long a call to discovery may wait for a change
    Nanos connectTimeout = 0;         // a connection that is not up by then won't be
    Nanos maxRequestTimeout = 0;      // of any verb's client
    std::size_t maxOpenRequests = 0;  // commands at once
    std::size_t maxDescriptors = 0;
    std::size_t memoryLimitBytes = 0;  // bytes
};

StartupConfig readStartupConfig(std::string_view json);

}  // namespace poppyscale::protocol
