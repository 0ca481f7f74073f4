// Discovery's endpoint lists, from JSON.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "policy/types.hpp"
#include "protocol/parse_error.hpp"

namespace poppyscale::protocol {

struct EndpointEntry {
    // Its `startedAt` stays 0: only the router knows the offset of its clock to the machines' clocks.
    Endpoint endpoint;
    std::string address;         // ADDRESS:PORT as written, or empty
    std::int64_t startedMs = 0;  // Unix time; 0 for long ago
};

// A complete list, or the changes since an earlier version.
struct EndpointList {
    std::int64_t version = 0;
    bool isComplete = false;
    std::vector<EndpointEntry> entries;
};

// Reads a response of discovery, with little memory beside the result. Throws `ParseError`. A weight that
// makes no sense counts as 0.
EndpointList readEndpointList(std::string_view json);

// Reads the list in a configuration, where a weight that makes no sense is an error as well. Throws
// `ParseError` or what the JSON library throws.
EndpointList readConfiguredEndpoints(const nlohmann::json& json);

}  // namespace poppyscale::protocol
