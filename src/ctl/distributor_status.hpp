// Reads the status of an endpoint distributor by HTTP, from the address at which it listens for readers.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace poppyscale::ctl {

// Requests the status and waits up to `timeoutMs` for the answer, which is returned unchanged. Throws
// Unreachable.
nlohmann::json distributorStatus(const std::string& address, int timeoutMs);

// Formats the status as a table of two columns, with a line for each known key that the status contains.
std::string distributorTable(const nlohmann::json& status);

}  // namespace poppyscale::ctl
