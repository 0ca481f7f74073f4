// Settings that hold an address.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "config/toml_table.hpp"

namespace poppyscale::config {

// Whether `text` is an IPv4 address and a port above 0, "10.1.0.18:6379".
bool isAddress(const std::string& text);

// Reads an address; an optional one that is missing is empty.
std::string readAddress(TomlTable& table, std::string_view key, bool isRequired);

}  // namespace poppyscale::config
