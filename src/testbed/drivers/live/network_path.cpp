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

// Bytes that a connection of a stalled path relays before it stops, both directions together.
constexpr long kStallAfterBytes = 64;
constexpr std::size_t kReadSize = 64 * 1024;

sockaddr_un unixAddress(const std::string& path) {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    if (path.size() >= sizeof at.sun_path) throw RunError("path is too long for a Unix socket: " + path);
    std::memcpy(at.sun_path, path.data(), path.size());
    return at;
}

int connectTo(const std::string& path) {
    const sockaddr_un at = unixAddress(path);
    const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) return fd;
    ::close(fd);
    return -1;
}

}  // namespace

NetworkPath::NetworkPath(std::string from, std::string to, std::uint64_t seed)
    : listenPath_(std::move(from)), targetPath_(std::move(to)), random_(seed) {
    const sockaddr_un at = unixAddress(listenPath_);
    ::unlink(listenPath_.c_str());
    listenFd_ = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (::bind(listenFd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
        ::listen(listenFd_, 64) == 0)
        return;
    throw RunError(fmt::format("can't listen at {}: {}", listenPath_, std::strerror(errno)));
}

NetworkPath::~NetworkPath() {
    for (RelayedConnection& connection : connections_) {
        ::close(connection.forward.from);
        if (connection.forward.to >= 0) ::close(connection.forward.to);
    }
    ::close(listenFd_);
}

void NetworkPath::breakConnections() {
    for (RelayedConnection& connection : connections_) connection.isBroken = true;
}

void NetworkPath::relay(Nanos now, RelayedConnection& connection, Direction& direction, bool isCut) {
    char buffer[kReadSize];
    ssize_t received = 0;
    while (direction.from >= 0 && !direction.hasEnded &&
           (received = ::recv(direction.from, buffer, sizeof buffer, 0)) > 0)
        if (!isCut)
            direction.queue.push_back({now + delay, std::string(buffer, static_cast<std::size_t>(received))});
    // The end of a stream is relayed after its bytes, and like them not across a cut.
    if (received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) direction.hasEnded = true;
    while (!direction.queue.empty() && direction.queue.front().due <= now && direction.to >= 0 && !isCut) {
        std::string& text = direction.queue.front().text;
        std::size_t allowed = text.size();
        if (isStalled)
            allowed = std::min(allowed, static_cast<std::size_t>(
                                            std::max(kStallAfterBytes - connection.forwardedBytes, 0L)));
        if (allowed == 0) return;
        const ssize_t sent = ::send(direction.to, text.data(), allowed, MSG_NOSIGNAL);
        if (sent <= 0) {
            connection.isBroken |= errno != EAGAIN && errno != EWOULDBLOCK;
            return;
        }
        connection.forwardedBytes += sent;
        text.erase(0, static_cast<std::size_t>(sent));
        if (text.empty()) direction.queue.pop_front();
    }
    if (direction.hasEnded && direction.queue.empty() && !isCut) connection.isBroken = true;
}

void NetworkPath::pump(Nanos now) {
    for (int fd; (fd = ::accept4(listenFd_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;) {
        if (random_.chance(dropShare)) {
            ::close(fd);
            continue;
        }
        // While the path is cut, a new connection is accepted but not connected to the target.
        const int target = isForwardCut || isBackwardCut ? -1 : connectTo(targetPath_);
        if (target < 0 && !isForwardCut && !isBackwardCut)
            ::close(fd);
        else
            connections_.push_back({{fd, target, {}, false}, {target, fd, {}, false}, 0, false});
    }
    for (RelayedConnection& connection : connections_) {
        // A connection accepted during a cut is connected to the target once the forward direction
        // is open.
        if (connection.forward.to < 0 && !isForwardCut)
            connection.forward.to = connection.backward.from = connectTo(targetPath_);
        relay(now, connection, connection.forward, isForwardCut);
        if (!connection.isBroken) relay(now, connection, connection.backward, isBackwardCut);
    }
    connections_.remove_if([](const RelayedConnection& connection) {
        if (!connection.isBroken) return false;
        ::close(connection.forward.from);
        if (connection.forward.to >= 0) ::close(connection.forward.to);
        return true;
    });
}

}  // namespace poppyscale::testbed
