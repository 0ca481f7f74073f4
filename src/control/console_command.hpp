// The commands of the operators' console, and what a line says; no sockets here.
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
    std::string server;  // the id that `eject` and `restore` name, else empty
};

// The reply to a line: whether it is accepted, and the status or the reason.
struct ConsoleReply {
    bool isAccepted = false;
    std::string text;
    // The reply as it is sent, with its end of line.
    std::string line() const;
};

constexpr std::size_t kMaxConsoleLineBytes = 256;  // with its end

// A line that was read: a command, or the problem with it for the operator.
struct ConsoleLine {
    std::optional<ConsoleCommand> command;
    std::string problem;
};

// Reads a line without its LF; a CR at its end is ignored.
ConsoleLine readConsoleLine(std::string_view line);

}  // namespace poppyscale::control
