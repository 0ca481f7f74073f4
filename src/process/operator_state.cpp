#include "process/operator_state.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

#include "base/file_descriptor.hpp"

namespace poppyscale::process {
namespace {

constexpr std::string_view kHeader = "poppyscale words 1";
constexpr std::string_view kEjectPrefix = "out ";
constexpr std::string_view kRestorePrefix = "in ";
constexpr std::string_view kEnterStandbyLine = "standby";
constexpr std::string_view kLeaveStandbyLine = "active";
// The file is read in one piece at the start, and its content is sent to a new process in one
// message.
constexpr std::size_t kMaxFileBytes = 1 << 20;
constexpr std::size_t kMaxServerIdBytes = 256;
// The number of servers that fit into the file even if all ids have the maximum length.
constexpr std::size_t kMaxEjectedServers =
    (kMaxFileBytes - 64) / (kEjectPrefix.size() + kMaxServerIdBytes + 1);
static_assert(kMaxEjectedServers > 4'000);

bool isServerId(std::string_view id) {
    return !id.empty() && id.size() <= kMaxServerIdBytes &&
           std::all_of(id.begin(), id.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

}  // namespace

std::string OperatorStateChange::line() const {
    switch (kind) {
        case Kind::eject:
            return std::string(kEjectPrefix) + server;
        case Kind::restore:
            return std::string(kRestorePrefix) + server;
        case Kind::enterStandby:
            return std::string(kEnterStandbyLine);
        case Kind::leaveStandby:
            break;
    }
    return std::string(kLeaveStandbyLine);
}

std::optional<OperatorStateChange> OperatorStateChange::fromLine(std::string_view line) {
    if (line == kEnterStandbyLine) return OperatorStateChange{Kind::enterStandby, ""};
    if (line == kLeaveStandbyLine) return OperatorStateChange{Kind::leaveStandby, ""};
    for (const auto& [prefix, kind] :
         {std::pair(kEjectPrefix, Kind::eject), std::pair(kRestorePrefix, Kind::restore)}) {
        if (!line.starts_with(prefix)) continue;
        const auto server = line.substr(prefix.size());
        if (!isServerId(server)) return std::nullopt;
        return OperatorStateChange{kind, std::string(server)};
    }
    return std::nullopt;
}

bool OperatorState::apply(const OperatorStateChange& change) {
    switch (change.kind) {
        case OperatorStateChange::Kind::enterStandby:
            isStandby = true;
            return true;
        case OperatorStateChange::Kind::leaveStandby:
            isStandby = false;
            return true;
        case OperatorStateChange::Kind::restore:
            if (!isServerId(change.server)) return false;
            ejectedServers.erase(change.server);
            return true;
        case OperatorStateChange::Kind::eject:
            break;
    }
    if (!isServerId(change.server)) return false;
    const bool isFull = ejectedServers.size() >= kMaxEjectedServers;
    if (isFull && !ejectedServers.contains(change.server)) return false;
    ejectedServers.emplace(change.server);
    return true;
}

bool OperatorState::applyLine(std::string_view line) {
    const auto change = OperatorStateChange::fromLine(line);
    return change && apply(*change);
}

std::string OperatorState::serialize() const {
    std::string text(kHeader);
    text += '\n';
    for (const auto& server : ejectedServers) text.append(kEjectPrefix).append(server) += '\n';
    if (isStandby) text.append(kEnterStandbyLine) += '\n';
    return text;
}

std::optional<std::string> OperatorState::parse(std::string_view text) {
    std::optional<std::string> problem;
    if (text.size() > kMaxFileBytes) {
        problem = "the content is too long";
        text = text.substr(0, kMaxFileBytes);
    }
    bool isFirstLine = true;
    while (!text.empty()) {
        const auto end = text.find('\n');
        // A line without a newline may hold a truncated id, which may be the id of another server.
        if (end == std::string_view::npos) return "the last line is cut short";
        const auto line = text.substr(0, end);
        text.remove_prefix(end + 1);
        if (isFirstLine && line != kHeader && !problem)
            problem = "the first line is not this version's header";
        isFirstLine = false;
        if (line == kHeader) continue;
        const bool isApplied = applyLine(line);
        if (!isApplied && !problem) problem = "a line can't be read";
    }
    return problem;
}

std::optional<std::string> OperatorStateFile::write(const OperatorState& state) const {
    const std::string text = state.serialize();
    // The temporary name contains the process id: another process of this router may write at the
    // same time.
    const std::string temporaryPath = fmt::format("{}.{}", path_, ::getpid());
    FileDescriptor file(::open(temporaryPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (!file.isOpen()) return std::strerror(errno);
    const auto writtenBytes = ::write(file.get(), text.data(), text.size());
    const std::string error = writtenBytes < 0 ? std::strerror(errno) : "incomplete write";
    file.reset();
    if (writtenBytes != static_cast<ssize_t>(text.size())) {
        ::unlink(temporaryPath.c_str());
        return error;
    }
    if (::rename(temporaryPath.c_str(), path_.c_str()) != 0) return std::strerror(errno);
    return std::nullopt;
}

std::optional<std::string> OperatorStateFile::read(OperatorState& state) const {
    const FileDescriptor file(::open(path_.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.isOpen()) {
        if (errno == ENOENT) return std::nullopt;
        return std::strerror(errno);
    }
    std::string text(kMaxFileBytes + 1, '\0');
    const auto readBytes = ::read(file.get(), text.data(), text.size());
    if (readBytes < 0) return std::strerror(errno);
    text.resize(static_cast<std::size_t>(readBytes));
    return state.parse(text);
}

}  // namespace poppyscale::process
