// What an operator may ask for at the console, and what comes of a line: no sockets here.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poppyscale::control {

struct Call {
    enum class Kind : std::uint8_t { status, ban, lift, standby, active };
    Kind kind = Kind::status;
    std::string server;  // of `ban` and `lift`
};

// What is said back: a yes or a no, and why.
struct Reply {
    bool yes = false;
    std::string words;
    std::string line() const;
};

constexpr std::size_t kLongestLine = 256;  // with its end

// A line without its LF; a CR before that is no part of it. Without a call, `wrong` says why.
std::optional<Call> readCall(std::string_view line, std::string& wrong);

}  // namespace poppyscale::control
