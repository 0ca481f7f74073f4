// Converts the platform's settings to the policy's types. Only this code and startup_config.cpp
// know the names and keywords of the settings.
#pragma once

#include <cstdint>

#include "policy/settings.hpp"
#include "protocol/parse_error.hpp"
#include "protocol/settings_map.hpp"

namespace poppyscale::protocol {

// Throws `ParseError` if a setting is missing or has an invalid value.
PolicySettings readPolicySettings(const SettingsMap& settings, std::uint64_t seed);

}  // namespace poppyscale::protocol
