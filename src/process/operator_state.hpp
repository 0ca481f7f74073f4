// What operators set that holds until they change it, and the file that carries it to a later process. The
// file's lines, of which messages between processes carry single ones, are mapped here alone.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace poppyscale::process {

// One change that an operator makes.
struct OperatorStateChange {
    enum class Kind : std::uint8_t { eject, restore, enterStandby, leaveStandby };
    Kind kind = Kind::eject;
    std::string server;  // the id of the ejected or restored server, else empty

    // The change as a line of the file, without its end.
    std::string line() const;
    // The change in a line without its end, or nothing when it is none.
    static std::optional<OperatorStateChange> fromLine(std::string_view line);
};

struct OperatorState {
    std::set<std::string> ejectedServers;  // ids of servers that get no requests
    bool isStandby = false;

    // False, and nothing changes, when no further server can be ejected.
    bool apply(const OperatorStateChange& change);
    // The same for a change as a line; false also when the line is no change.
    bool applyLine(std::string_view line);
    // The text of a file.
    std::string serialize() const;
    // Applies the lines of a file that can be read; returns the first problem with the others.
    std::optional<std::string> parse(std::string_view text);
    bool operator==(const OperatorState&) const = default;
};

class OperatorStateFile {
  public:
    explicit OperatorStateFile(std::string path) : path_(std::move(path)) {}
    // Replaces the file in one step; returns the system's error when it stays as it was.
    std::optional<std::string> write(const OperatorState& state) const;
    // Applies the file's content to `state`. Returns what is wrong with the file; one that does not exist has
    // no problem and changes nothing.
    std::optional<std::string> read(OperatorState& state) const;

  private:
    std::string path_;
};

}  // namespace poppyscale::process
