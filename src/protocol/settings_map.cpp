#include "protocol/settings_map.hpp"

#include <cmath>

#include "protocol/number.hpp"
#include "protocol/parse_error.hpp"

namespace poppyscale::protocol {
namespace {

constexpr std::int64_t kNanosPerMicrosecond = 1000;
constexpr std::int64_t kMaxDurationMicroseconds = 1'000'000'000'000;  // about 11.6 days

}  // namespace

std::string_view SettingsMap::text(const std::string& path) const {
    const auto it = values_.find(path);
    if (it == values_.end()) throw SettingError::missing(path);
    return it->second;
}

double SettingsMap::number(const std::string& path) const {
    const auto value = parse<double>(text(path));
    if (value && std::isfinite(*value)) return *value;
    throw SettingError(path, "is '" + std::string(text(path)) + "', expected a finite number");
}

std::int64_t SettingsMap::integer(const std::string& path, std::int64_t max) const {
    const auto value = parse<std::int64_t>(text(path));
    if (value && *value >= 0 && *value <= max) return *value;
    throw SettingError(path, "is '" + std::string(text(path)) + "', expected a whole number from 0 to " +
                                 std::to_string(max));
}

Nanos SettingsMap::duration(const std::string& path) const {
    return integer(path, kMaxDurationMicroseconds) * kNanosPerMicrosecond;
}

bool SettingsMap::boolean(const std::string& path) const {
    const auto value = text(path);
    if (value == "true" || value == "1") return true;
    if (value == "false" || value == "0") return false;
    throw SettingError(path, "is '" + std::string(value) + "', expected true or false");
}

}  // namespace poppyscale::protocol
