// The configuration that a router is started with, from JSON.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/time.hpp"
#include "policy/settings.hpp"
#include "protocol/endpoint_list.hpp"
#include "protocol/policy_settings.hpp"

namespace poppyscale::protocol {

struct StartupConfig {
    std::string name;
    std::string listen;     // ADDRESS:PORT for clients
    std::string discovery;  // ADDRESS:PORT
    std::string console;    // ADDRESS:PORT for operators; no console if empty
    PolicySettings policy;
    EndpointList knownEndpoints;      // used until discovery has answered; may be outdated
    Nanos serverIdleTimeout = 0;      // cache servers close a connection that is idle for this time
    bool endpointsArePushed = false;  // a change counts as notified as soon as discovery has it
    Nanos pollWait = 0;               // how long a poll may wait at discovery for a change
    Nanos connectTimeout = 0;         // limit for connecting to a cache server or the origin
    Nanos maxRequestTimeout = 0;      // the longest timeout of any request class
    std::size_t maxOpenRequests = 0;
    std::size_t maxDescriptors = 0;
    std::size_t memoryLimitBytes = 0;
};

// Throws `ParseError`.
StartupConfig readStartupConfig(std::string_view json);

}  // namespace poppyscale::protocol
