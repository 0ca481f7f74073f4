// The result of transport::Listener, which says success by an empty text.
#pragma once

#include <optional>
#include <string>

namespace poppyscale::control {

// The error in `listenerResult`, or nothing.
inline std::optional<std::string> listenError(std::string listenerResult) {
    if (listenerResult.empty()) return std::nullopt;
    return listenerResult;
}

}  // namespace poppyscale::control
