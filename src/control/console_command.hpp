// The commands of the operators' console and their parsing, without sockets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poppyscale::control {

struct ConsoleCommand {
    enum class Kind : std::uint8_t { status, eject, restore, standby, active };
    Kind kind = Kind::status;
    std::string server;  // the id of the server for `eject` and `restore`, otherwise empty
};

// The reply to a line: whether it is accepted, and the status or the reason of the rejection.
struct ConsoleReply {
    bool isAccepted = false;
    std::string text;
    // The reply as it is sent, including the end of line.
    std::string line() const;
};

constexpr std::size_t kMaxConsoleLineBytes = 256;  // including the end of line

// A parsed line: a command, or else the problem for the operator.
struct ConsoleLine {
    std::optional<ConsoleCommand> command;
    std::string problem;
};

// Reads a line without its LF; a CR at its end is ignored.
ConsoleLine readConsoleLine(std::string_view line);

}  // namespace poppyscale::control
