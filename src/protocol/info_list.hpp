// The info list of a request: "name=value" items, separated by commas.
#pragma once

#include <algorithm>
#include <string_view>

namespace poppyscale::protocol {

// Names that the router interprets; other items are only forwarded.
constexpr std::string_view kRequestClassItem = "c";
constexpr std::string_view kTenantItem = "t";
constexpr std::string_view kRetryItem = "r";
constexpr std::string_view kTimeoutItem = "d";  // how long the client will still wait, in milliseconds

struct InfoItem {
    std::string_view name;
    std::string_view value;  // empty without an equals sign
    std::string_view text;   // the whole item, as it was sent
};

// Calls `visit` with each item, in order.
template <class Visit>
void forEachInfoItem(std::string_view info, Visit visit) {
    while (!info.empty()) {
        const auto text = info.substr(0, info.find(','));
        const auto equals = text.find('=');
        InfoItem item;
        item.name = text.substr(0, equals);
        if (equals != std::string_view::npos) item.value = text.substr(equals + 1);
        item.text = text;
        visit(item);
        info.remove_prefix(std::min(info.size(), text.size() + 1));
    }
}

}  // namespace poppyscale::protocol
