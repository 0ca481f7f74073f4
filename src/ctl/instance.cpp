#include "ctl/instance.hpp"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>

namespace poppyscale::ctl {

nlohmann::json ask(const std::string& path, const nlohmann::json& what, int withinMs) {
    using Clock = std::chrono::steady_clock;
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    if (path.size() >= sizeof at.sun_path) throw Unreached("the socket's path is too long: " + path);
    std::memcpy(at.sun_path, path.data(), path.size());
    struct Closing {
        int fd;
        ~Closing() { ::close(fd); }
    } const socket{::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    const std::string line = what.dump() + "\n";
    if (::connect(socket.fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::send(socket.fd, line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size()))
        throw Unreached(fmt::format("no instance at {}: {}", path, std::strerror(errno)));
    const auto until = Clock::now() + std::chrono::milliseconds(withinMs);
    std::string said;
    while (!said.ends_with('\n')) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd one{socket.fd, POLLIN, 0};
        if (left <= 0 || ::poll(&one, 1, static_cast<int>(left)) != 1)
            throw Unreached("no answer in time from " + path);
        char buffer[65536];
        const ssize_t got = ::recv(socket.fd, buffer, sizeof buffer, 0);
        if (got <= 0) throw Unreached("no whole answer from " + path);
        said.append(buffer, static_cast<std::size_t>(got));
    }
    auto answer = nlohmann::json::parse(said, nullptr, false);
    if (!answer.is_object()) throw Unreached("no answer in form from " + path);
    return answer;
}

}  // namespace poppyscale::ctl
