// Conversion of the results of transport::Listener, for which an empty text means success.
#pragma once

#include <optional>
#include <string>

namespace poppyscale::control {

// The error in `listenerResult`, or nothing on success.
inline std::optional<std::string> listenError(std::string listenerResult) {
    if (listenerResult.empty()) return std::nullopt;
    return listenerResult;
}

}  // namespace poppyscale::control
