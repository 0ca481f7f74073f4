#include "testbed/drivers/live/network_path.hpp"

#include <fmt/format.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "testbed/drivers/live/live_run.hpp"

namespace poppyscale::testbed {
namespace {

constexpr long kStallsAfter = 64;  // bytes of a stream
constexpr std::size_t kPiece = 64 * 1024;

sockaddr_un addressOf(const std::string& path) {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    if (path.size() >= sizeof at.sun_path) throw RunError("a socket's path is too long: " + path);
    std::memcpy(at.sun_path, path.data(), path.size());
    return at;
}

int connected(const std::string& path) {
    const sockaddr_un at = addressOf(path);
    const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) return fd;
    ::close(fd);
    return -1;
}

}  // namespace

NetworkPath::NetworkPath(std::string from, std::string to, std::uint64_t seed)
    : path_(std::move(from)), to_(std::move(to)), random_(seed) {
    const sockaddr_un at = addressOf(path_);
    ::unlink(path_.c_str());
    fd_ = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 && ::listen(fd_, 64) == 0) return;
    throw RunError(fmt::format("can't listen at {}: {}", path_, std::strerror(errno)));
}

NetworkPath::~NetworkPath() {
    for (RelayedConnection& p : pipes_) {
        ::close(p.there.from);
        if (p.there.to >= 0) ::close(p.there.to);
    }
    ::close(fd_);
}

void NetworkPath::healed() {
    for (RelayedConnection& p : pipes_) p.broken = true;
}

void NetworkPath::pass(Nanos now, RelayedConnection& pipe, Direction& half, bool cut) {
    char buffer[kPiece];
    ssize_t got = 0;
    while (half.from >= 0 && !half.over && (got = ::recv(half.from, buffer, sizeof buffer, 0)) > 0)
        if (!cut) half.on.push_back({now + delay, std::string(buffer, static_cast<std::size_t>(got))});
    // An end is told like bytes: not over a cut.
    if (got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) half.over = true;
    while (!half.on.empty() && half.on.front().due <= now && half.to >= 0 && !cut) {
        std::string& text = half.on.front().text;
        std::size_t most = text.size();
        if (stalls) most = std::min(most, static_cast<std::size_t>(std::max(kStallsAfter - pipe.passed, 0L)));
        if (most == 0) return;
        const ssize_t sent = ::send(half.to, text.data(), most, MSG_NOSIGNAL);
        if (sent <= 0) {
            pipe.broken |= errno != EAGAIN && errno != EWOULDBLOCK;
            return;
        }
        pipe.passed += sent;
        text.erase(0, static_cast<std::size_t>(sent));
        if (text.empty()) half.on.pop_front();
    }
    if (half.over && half.on.empty() && !cut) pipe.broken = true;
}

void NetworkPath::pump(Nanos now) {
    for (int fd; (fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;) {
        if (random_.chance(drops)) {
            ::close(fd);
            continue;
        }
        // Cut off, whoever connects hears nothing at all.
        const int on = cutTo || cutFrom ? -1 : connected(to_);
        if (on < 0 && !cutTo && !cutFrom)
            ::close(fd);
        else
            pipes_.push_back({{fd, on, {}, false}, {on, fd, {}, false}, 0, false});
    }
    for (RelayedConnection& p : pipes_) {
        // One that came over a cut in one direction leads on where the other is open.
        if (p.there.to < 0 && !cutTo) p.there.to = p.back.from = connected(to_);
        pass(now, p, p.there, cutTo);
        if (!p.broken) pass(now, p, p.back, cutFrom);
    }
    pipes_.remove_if([](const RelayedConnection& p) {
        if (!p.broken) return false;
        ::close(p.there.from);
        if (p.there.to >= 0) ::close(p.there.to);
        return true;
    });
}

}  // namespace poppyscale::testbed
