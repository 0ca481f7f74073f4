#include "process/operator_state.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

namespace poppyscale::process {
namespace {

constexpr std::string_view kHead = "poppyscale words 1";
constexpr std::string_view kOut = "out ";
constexpr std::size_t kLongestFile = 1 << 20;  // it is read whole at a start, and handed over in one line
constexpr std::size_t kLongestId = 256;
// As many servers out as fit into the file, whatever their ids.
constexpr std::size_t kMostOut = (kLongestFile - 64) / (kOut.size() + kLongestId + 1);
static_assert(kMostOut > 4'000);

bool isId(std::string_view id) {
    return !id.empty() && id.size() <= kLongestId &&
           std::all_of(id.begin(), id.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

}  // namespace

std::string OperatorState::serialize() const {
    std::string text(kHead);
    text += '\n';
    for (const auto& id : ejectedServers) text.append(kOut).append(id) += '\n';
    if (isStandby) text += "standby\n";
    return text;
}

std::string OperatorState::parse(std::string_view text) {
    std::string problem;
    if (text.size() > kLongestFile) {
        problem = "it is too long";
        text = text.substr(0, kLongestFile);
    }
    bool first = true;
    while (!text.empty()) {
        const auto end = text.find('\n');
        // A line without its end may be half an id: another cache's, perhaps.
        if (end == std::string_view::npos) return "it is cut short";
        const auto line = text.substr(0, end);
        text.remove_prefix(end + 1);
        if (std::exchange(first, false) && line != kHead && problem.empty())
            problem = "it is of another version, or nonsense";
        if (line == kHead) continue;
        if (!apply(line) && problem.empty()) problem = "a line in it can't be read";
    }
    return problem;
}

bool OperatorState::apply(std::string_view word) {
    if (word == "standby" || word == "active") return isStandby = word == "standby", true;
    const auto id = word.substr(std::min(word.size(), word.find(' ') + 1));
    if (!isId(id)) return false;
    if (word.starts_with("in ")) return ejectedServers.erase(std::string(id)), true;
    if (!word.starts_with(kOut)) return false;
    if (ejectedServers.size() >= kMostOut && !ejectedServers.contains(std::string(id))) return false;
    ejectedServers.emplace(id);
    return true;
}

std::string OperatorStateFile::write(const OperatorState& words) const {
    // A name of its own: the other process may write at the same moment.
    const std::string text = words.serialize(), fresh = fmt::format("{}.{}", path_, ::getpid());
    const int file = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0) return std::strerror(errno);
    const auto written = ::write(file, text.data(), text.size());
    const std::string why = written < 0 ? std::strerror(errno) : "no room";
    ::close(file);
    if (written != static_cast<ssize_t>(text.size())) return ::unlink(fresh.c_str()), why;
    return ::rename(fresh.c_str(), path_.c_str()) == 0 ? "" : std::strerror(errno);
}

std::string OperatorStateFile::read(OperatorState& words) const {
    const int file = ::open(path_.c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0) return errno == ENOENT ? "" : std::strerror(errno);
    std::string text(kLongestFile + 1, '\0');
    const auto got = ::read(file, text.data(), text.size());
    ::close(file);
    if (got < 0) return std::strerror(errno);
    text.resize(static_cast<std::size_t>(got));
    return words.parse(text);
}

}  // namespace poppyscale::process
