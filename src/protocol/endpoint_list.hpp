// Discovery's lists and the configuration a router is started with: JSON to types.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "policy/routing_policy.hpp"
#include "protocol/policy_settings.hpp"

namespace poppyscale::protocol {

struct Place {
    Listed listed;  // its `cameUp` stays 0: only the router knows how its clock lies to the machines'
    std::string address;
    std::int64_t startedMs = 0;  // Unix time; 0 for long ago
};

struct Roster {
    std::int64_t version = 0;
    bool full = false;
    std::vector<Place> places;
};

// Throws Malformed.
Roster readRoster(std::string_view json);

// What a router is started with.
struct Start {
    std::string name;
    std::string listen;
    std::string discovery;
    std::string console;  // where operators call; nowhere if empty
    Terms terms;
    Roster known;
    Nanos idle = 0;             // after which caches close a connection
    bool listPushed = false;    // what discovery has counts as told at once
    Nanos watchFor = 0;         // how long a call to discovery may wait for a change
    Nanos connectWithin = 0;    // a connection that is not up by then won't be
    Nanos longestPatience = 0;  // of any verb's client
    std::size_t mostOpen = 0;   // commands at once
    std::size_t descriptors = 0;
    std::size_t memory = 0;  // bytes
};

Start readStart(std::string_view json);

}  // namespace poppyscale::protocol
