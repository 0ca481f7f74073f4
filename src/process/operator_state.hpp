// What operators have said that holds until they say otherwise, and the file in which a later process finds
// it.
#pragma once

#include <set>
#include <string>
#include <string_view>

namespace poppyscale::process {

struct OperatorState {
    std::set<std::string> ejectedServers;  // caches that nothing may go to
    bool isStandby = false;

    std::string serialize() const;
    // "out ID", "in ID", "standby" or "active"; false when it is none of these, or there is no room for
    // one more server that is out.
    bool apply(std::string_view word);
    // Takes what can be read; empty, or what is wrong with the rest.
    std::string parse(std::string_view text);
    bool operator==(const OperatorState&) const = default;
};

class OperatorStateFile {
  public:
    explicit OperatorStateFile(std::string path) : path_(std::move(path)) {}
    // Empty when the words are in the file, whole or not at all; else what the system said.
    std::string write(const OperatorState& words) const;
    // What is wrong with the file, if anything; none at all is well.
    std::string read(OperatorState& words) const;

  private:
    std::string path_;
};

}  // namespace poppyscale::process
