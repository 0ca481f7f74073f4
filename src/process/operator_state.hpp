// The operator state (ejected servers and standby), which holds until operators change it, and the
// file that carries it to a later process. Only this module maps changes to lines of the file;
// messages between processes carry single lines of the same form.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace poppyscale::process {

// One change of the operator state.
struct OperatorStateChange {
    enum class Kind : std::uint8_t { eject, restore, enterStandby, leaveStandby };
    Kind kind = Kind::eject;
    std::string server;  // the id of the ejected or restored server, else empty

    // The change as a line of the file, without the newline.
    std::string line() const;
    // Parses a line without its newline; nothing when it does not describe a change.
    static std::optional<OperatorStateChange> fromLine(std::string_view line);
};

struct OperatorState {
    std::set<std::string> ejectedServers;  // ids of servers that get no requests
    bool isStandby = false;

    // Returns false, without any effect, when the server id is invalid or no further server can be
    // ejected.
    bool apply(const OperatorStateChange& change);
    // The same for a change in the form of a line; also false when the line does not describe a
    // change.
    bool applyLine(std::string_view line);
    // The state as the content of a file.
    std::string serialize() const;
    // Applies the readable lines of a file's content; returns the first problem, if any.
    std::optional<std::string> parse(std::string_view text);
    bool operator==(const OperatorState&) const = default;
};

class OperatorStateFile {
  public:
    explicit OperatorStateFile(std::string path) : path_(std::move(path)) {}
    // Replaces the file atomically. On failure the file is unchanged and the error is returned.
    std::optional<std::string> write(const OperatorState& state) const;
    // Applies the file's content to `state` and returns the first problem, if any. A missing file
    // is not a problem and changes nothing.
    std::optional<std::string> read(OperatorState& state) const;

  private:
    std::string path_;
};

}  // namespace poppyscale::process
