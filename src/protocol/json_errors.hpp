// Converts the exceptions that the JSON library throws for malformed text, missing keys and wrong
// types.
#pragma once

#include <nlohmann/json.hpp>

#include "protocol/parse_error.hpp"

namespace poppyscale::protocol {

// Returns the result of `read`; throws `ParseError` if the JSON library throws.
template <class Read>
auto withParseErrors(Read read) {
    try {
        return read();
    } catch (const nlohmann::json::exception& problem) {
        throw ParseError(problem.what());
    }
}

}  // namespace poppyscale::protocol
