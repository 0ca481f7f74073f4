// The status of an endpoint distributor, read by HTTP from the address where it listens for readers.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace poppyscale::ctl {

// The status as the distributor answers it, within `timeoutMs`. Throws Unreachable.
nlohmann::json distributorStatus(const std::string& address, int timeoutMs);

// The status as a table of two columns, a line for each key that the distributor knows.
std::string distributorTable(const nlohmann::json& status);

}  // namespace poppyscale::ctl
