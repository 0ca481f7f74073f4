// The operator's file: what a deployment's own configuration does not say, and, where there is none, all of
// it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/toml_table.hpp"
#include "protocol/endpoint_list.hpp"

namespace poppyscale::config {

enum class Level : std::uint8_t { debug, info, warning, error, off };

struct LogPlan {
    bool json = false;
    Level level = Level::info;
    std::map<std::string, Level> parts;  // of those in logParts()
    double perSecond = 10;
    bool operator==(const LogPlan&) const = default;
};

struct Plan {
    std::string admin;  // path of a Unix socket; none if empty
    LogPlan log;
    // Asked for the list, as discovery is; discovery itself if empty.
    std::vector<std::string> distributors;
    Nanos drainWithin = 0;  // 0: as long as the longest verb's clients wait
    // Set where the file describes the deployment. Without a place for discovery its list is in `known`.
    std::optional<protocol::Start> start;
};

// Reads all of it; what can't be used is noted in `problems`, and the plan is of no use then. `platform` says
// that the platform's configuration is there: then the file may not describe the deployment a second time.
Plan readPlan(std::string_view text, const std::string& file, bool platform, config::Problems& problems);

// Throws protocol::Malformed with all problems, a line each.
Plan loadPlan(const std::string& file, bool platform);

std::string_view nameOf(Level level);
const std::vector<std::string>& logParts();

// What differs between two starts in words, a line each: first what changes while running, then what waits.
struct Difference {
    std::vector<std::string> live;
    std::vector<std::string> waits;
};
Difference differenceOf(const protocol::Start& is, const protocol::Start& wanted);

// Everything that is in force, as TOML-like lines for people.
std::string described(const protocol::Start& start, const Plan& plan, bool platform);

}  // namespace poppyscale::config
