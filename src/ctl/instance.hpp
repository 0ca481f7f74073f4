// One question to a running instance through its operator's socket.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace poppyscale::ctl {

struct Unreached : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Waits `withinMs` for the whole answer. Throws Unreached.
nlohmann::json ask(const std::string& socket, const nlohmann::json& what, int withinMs);

}  // namespace poppyscale::ctl
