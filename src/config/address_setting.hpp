// Settings whose value is an address and port.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "config/toml_table.hpp"

namespace poppyscale::config {

// Whether `text` is an IPv4 address and a port above 0, as in "10.1.0.18:6379".
bool isAddress(const std::string& text);

// Reads an address; the result is empty if an optional address is missing.
std::string readAddress(TomlTable& table, std::string_view key, bool isRequired);

}  // namespace poppyscale::config
