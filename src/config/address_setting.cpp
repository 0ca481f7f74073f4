#include "config/address_setting.hpp"

#include <arpa/inet.h>

#include <cstdint>

#include "protocol/number.hpp"

namespace poppyscale::config {

bool isAddress(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return false;
    in_addr ignored{};
    const auto port = protocol::parse<std::uint16_t>(text.substr(colon + 1));
    return port && *port > 0 && ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &ignored) == 1;
}

std::string readAddress(TomlTable& table, std::string_view key, bool isRequired) {
    const std::string text = table.string(key, isRequired ? std::nullopt : std::optional<std::string>(""));
    if (table.has(key) && !isAddress(text))
        table.problem(key, "is not an IPv4 address and port above 0: found '" + text + "'");
    return text;
}

}  // namespace poppyscale::config
