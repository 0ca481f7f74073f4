#include "control/console_command.hpp"

#include <algorithm>
#include <array>
#include <vector>

namespace poppyscale::control {
namespace {

struct Entry {
    std::string_view word;
    ConsoleCommand::Kind kind;
    bool named;  // a server's id follows
};
constexpr std::array<Entry, 5> kCalls{{{"status", ConsoleCommand::Kind::status, false},
                                       {"maint-on", ConsoleCommand::Kind::eject, true},
                                       {"maint-off", ConsoleCommand::Kind::restore, true},
                                       {"standby", ConsoleCommand::Kind::standby, false},
                                       {"active", ConsoleCommand::Kind::active, false}}};

std::vector<std::string_view> wordsOf(std::string_view line) {
    std::vector<std::string_view> words;
    while (!line.empty()) {
        const auto word = line.substr(0, line.find_first_of(" \t"));
        if (!word.empty()) words.push_back(word);
        line.remove_prefix(std::min(line.size(), word.size() + 1));
    }
    return words;
}

}  // namespace

std::string ConsoleReply::line() const { return (isAccepted ? "ACK " : "NAK ") + text + "\n"; }

std::optional<ConsoleCommand> readConsoleCommand(std::string_view line, std::string& wrong) {
    if (line.ends_with('\r')) line.remove_suffix(1);
    const bool plain = std::all_of(line.begin(), line.end(),
                                   [](unsigned char c) { return c == '\t' || (c >= ' ' && c < 0x7f); });
    const auto words = plain ? wordsOf(line) : std::vector<std::string_view>{};
    if (!plain) wrong = "a call is a line of visible characters";
    if (plain && words.empty())
        wrong = "an empty line; known are status, maint-on, maint-off, standby, active";
    if (words.empty()) return std::nullopt;
    const auto entry =
        std::find_if(kCalls.begin(), kCalls.end(), [&](const Entry& e) { return e.word == words[0]; });
    if (entry == kCalls.end()) {
        wrong = "unknown call; known are status, maint-on, maint-off, standby, active";
        return std::nullopt;
    }
    if (words.size() != (entry->named ? 2U : 1U)) {
        wrong = std::string(words[0]) + (entry->named ? " takes one id" : " takes nothing more");
        return std::nullopt;
    }
    return ConsoleCommand{entry->kind, entry->named ? std::string(words[1]) : ""};
}

}  // namespace poppyscale::control
