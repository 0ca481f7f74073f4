// What an operator may ask for at the console, and what comes of a line: no sockets here.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poppyscale::control {

struct ConsoleCommand {
    enum class Kind : std::uint8_t { status, eject, restore, standby, active };
    Kind kind = Kind::status;
    std::string server;  // of `ban` and `lift`
};

// What is said back: a yes or a no, and why.
struct ConsoleReply {
    bool isAccepted = false;
    std::string text;
    std::string line() const;
};

constexpr std::size_t kMaxConsoleLine = 256;  // with its end

// A line without its LF; a CR before that is no part of it. Without a call, `wrong` says why.
std::optional<ConsoleCommand> readConsoleCommand(std::string_view line, std::string& wrong);

}  // namespace poppyscale::control
