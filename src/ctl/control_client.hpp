// Sends requests to the Unix socket of a running instance or agent. Each request is a line of JSON, and so is
// its answer.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace poppyscale::ctl {

// No valid answer was received: the connection failed, the timeout expired, or the answer is not a JSON
// object.
struct Unreachable : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Sends one request and waits up to `timeoutMs` for its answer. Throws Unreachable.
nlohmann::json sendRequest(const std::string& path, const nlohmann::json& request, int timeoutMs);

// Sends each socket path its request, all at once, and waits up to `timeoutMs` for all answers together. No
// request is sent to a path whose request is null. Returns the answers in the order of the paths; null
// stands for a missing or invalid answer.
std::vector<nlohmann::json> sendRequests(const std::vector<std::string>& paths,
                                         const std::vector<nlohmann::json>& requests, int timeoutMs);

}  // namespace poppyscale::ctl
