// The platform's settings as the policy's types. No other code knows the settings' names and keywords.
#pragma once

#include <cstdint>

#include "policy/settings.hpp"
#include "protocol/parse_error.hpp"
#include "protocol/settings_map.hpp"

namespace poppyscale::protocol {

// Throws `ParseError` for what is missing or out of its range.
PolicySettings readPolicySettings(const SettingsMap& settings, std::uint64_t seed);

}  // namespace poppyscale::protocol
