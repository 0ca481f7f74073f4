// Every use of the JSON library goes through here: it throws its own kinds for what is missing or of another
// type.
#pragma once

#include <nlohmann/json.hpp>

#include "protocol/parse_error.hpp"

namespace poppyscale::protocol {

// Calls `read`, and throws `ParseError` where the library fails.
template <class Read>
auto withParseErrors(Read read) {
    try {
        return read();
    } catch (const nlohmann::json::exception& problem) {
        throw ParseError(problem.what());
    }
}

}  // namespace poppyscale::protocol
