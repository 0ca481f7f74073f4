#include "control/console_command.hpp"

#include <algorithm>
#include <array>
#include <vector>

namespace poppyscale::control {
namespace {

struct CommandEntry {
    std::string_view word;
    ConsoleCommand::Kind kind;
    bool takesServer;  // a server's id follows
};

constexpr std::array kCommands{
    // The state, the numbers of clients and open requests, and the ejected servers.
    CommandEntry{"status", ConsoleCommand::Kind::status, false},
    // Ejects a server: it gets no requests.
    CommandEntry{"maint-on", ConsoleCommand::Kind::eject, true},
    // Restores an ejected server.
    CommandEntry{"maint-off", ConsoleCommand::Kind::restore, true},
    // Health checks fail from now on, and connections are closed as they become idle.
    CommandEntry{"standby", ConsoleCommand::Kind::standby, false},
    // Ends the standby.
    CommandEntry{"active", ConsoleCommand::Kind::active, false},
};

std::string withKnownCommands(std::string_view problem) {
    std::string text(problem);
    std::string_view separator = "; known commands: ";
    for (const CommandEntry& command : kCommands) {
        text.append(separator).append(command.word);
        separator = ", ";
    }
    return text;
}

std::vector<std::string_view> splitWords(std::string_view line) {
    std::vector<std::string_view> words;
    while (!line.empty()) {
        const auto word = line.substr(0, line.find_first_of(" \t"));
        if (!word.empty()) words.push_back(word);
        line.remove_prefix(std::min(line.size(), word.size() + 1));
    }
    return words;
}

bool isPrintable(std::string_view line) {
    return std::all_of(line.begin(), line.end(),
                       [](unsigned char c) { return c == '\t' || (c >= ' ' && c < 0x7f); });
}

}  // namespace

std::string ConsoleReply::line() const { return (isAccepted ? "ACK " : "NAK ") + text + "\n"; }

ConsoleLine readConsoleLine(std::string_view line) {
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (!isPrintable(line))
        return {std::nullopt, "a line must consist of printable ASCII characters and tabs"};
    const auto words = splitWords(line);
    if (words.empty()) return {std::nullopt, withKnownCommands("the line has no command")};
    const auto command = std::find_if(kCommands.begin(), kCommands.end(),
                                      [&](const CommandEntry& entry) { return entry.word == words[0]; });
    if (command == kCommands.end())
        return {std::nullopt, withKnownCommands("unknown command '" + std::string(words[0]) + "'")};
    if (words.size() != (command->takesServer ? 2U : 1U))
        return {std::nullopt, std::string(words[0]) + (command->takesServer ? " takes exactly one server id"
                                                                            : " takes no arguments")};
    return {ConsoleCommand{command->kind, command->takesServer ? std::string(words[1]) : ""}, ""};
}

}  // namespace poppyscale::control
