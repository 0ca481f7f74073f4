// One question to a running instance through its operator's socket.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace poppyscale::ctl {

struct Unreachable : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Waits `withinMs` for the whole answer. Throws Unreached.
nlohmann::json sendRequest(const std::string& socket, const nlohmann::json& what, int withinMs);

// Asks several at once and waits for all of them together; null where none came in time or in form.
std::vector<nlohmann::json> sendRequests(const std::vector<std::string>& paths,
                                         const std::vector<nlohmann::json>& what, int withinMs);

}  // namespace poppyscale::ctl
