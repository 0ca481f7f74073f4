// Requests to a Unix socket of a running instance or agent: one line of JSON each, answered by one.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace poppyscale::ctl {

// There is no answer: nobody listens, it did not come in time, or it is not a JSON object.
struct Unreachable : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Sends one request and waits for its answer, for `timeoutMs` at most. Throws Unreachable.
nlohmann::json sendRequest(const std::string& path, const nlohmann::json& request, int timeoutMs);

// Sends each path its request, all at once, and waits for all answers together, for `timeoutMs` at most. A
// path whose request is null is left out. The answers by path, null where there is none.
std::vector<nlohmann::json> sendRequests(const std::vector<std::string>& paths,
                                         const std::vector<nlohmann::json>& requests, int timeoutMs);

}  // namespace poppyscale::ctl
