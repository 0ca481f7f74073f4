// The status of a list distributor, asked by HTTP at the address where it listens for readers.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace poppyscale::ctl {

// Throws Unreached.
nlohmann::json distributorStatus(const std::string& address, int withinMs);

// A table of two columns, as it is printed.
std::string distributorTable(const nlohmann::json& status);

}  // namespace poppyscale::ctl
