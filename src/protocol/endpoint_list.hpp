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
    // `startedAt` stays 0: only the router knows the offset between its clock and the machines'
    // clocks.
    Endpoint endpoint;
    std::string address;         // ADDRESS:PORT as written, or empty
    std::int64_t startedMs = 0;  // Unix time in milliseconds; 0 means long ago
};

// A complete list, or the changes since an earlier version.
struct EndpointList {
    std::int64_t version = 0;
    bool isComplete = false;
    std::vector<EndpointEntry> entries;
};

// Reads a response of discovery, using little memory beyond the result. An invalid weight counts as
// 0. Throws `ParseError`.
EndpointList readEndpointList(std::string_view json);

// Reads the list in a configuration, where an invalid weight is an error. Throws `ParseError` or
// `nlohmann::json::exception`.
EndpointList readConfiguredEndpoints(const nlohmann::json& json);

}  // namespace poppyscale::protocol
