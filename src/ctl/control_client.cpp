#include "ctl/control_client.hpp"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>

namespace poppyscale::ctl {

nlohmann::json sendRequest(const std::string& path, const nlohmann::json& what, int withinMs) {
    using Clock = std::chrono::steady_clock;
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    if (path.size() >= sizeof at.sun_path) throw Unreachable("the socket's path is too long: " + path);
    std::memcpy(at.sun_path, path.data(), path.size());
    struct Closing {
        int fd;
        ~Closing() { ::close(fd); }
    } const socket{::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    const std::string line = what.dump() + "\n";
    if (::connect(socket.fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::send(socket.fd, line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size()))
        throw Unreachable(fmt::format("no instance at {}: {}", path, std::strerror(errno)));
    const auto until = Clock::now() + std::chrono::milliseconds(withinMs);
    std::string said;
    while (!said.ends_with('\n')) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd one{socket.fd, POLLIN, 0};
        if (left <= 0 || ::poll(&one, 1, static_cast<int>(left)) != 1)
            throw Unreachable("no answer in time from " + path);
        char buffer[65536];
        const ssize_t got = ::recv(socket.fd, buffer, sizeof buffer, 0);
        if (got <= 0) throw Unreachable("no whole answer from " + path);
        said.append(buffer, static_cast<std::size_t>(got));
    }
    auto answer = nlohmann::json::parse(said, nullptr, false);
    if (!answer.is_object()) throw Unreachable("no answer in form from " + path);
    return answer;
}

std::vector<nlohmann::json> sendRequests(const std::vector<std::string>& paths,
                                         const std::vector<nlohmann::json>& what, int withinMs) {
    using Clock = std::chrono::steady_clock;
    struct Call {
        int fd = -1;
        std::string out, in;
        ~Call() {
            if (fd >= 0) ::close(fd);
        }
        void end() {
            ::close(fd);
            fd = -1;
        }
    };
    std::vector<Call> calls(paths.size());
    std::vector<nlohmann::json> answers(paths.size());
    for (std::size_t i = 0; i < paths.size(); ++i) {
        sockaddr_un at{};
        at.sun_family = AF_UNIX;
        if (what[i].is_null() || paths[i].size() >= sizeof at.sun_path) continue;
        std::memcpy(at.sun_path, paths[i].data(), paths[i].size());
        calls[i].fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (::connect(calls[i].fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) calls[i].end();
        calls[i].out = what[i].dump() + "\n";
    }
    const auto until = Clock::now() + std::chrono::milliseconds(withinMs);
    for (;;) {
        std::vector<pollfd> polls;
        std::vector<std::size_t> whose;
        for (std::size_t i = 0; i < calls.size(); ++i) {
            if (calls[i].fd < 0) continue;
            polls.push_back({calls[i].fd, static_cast<short>(calls[i].out.empty() ? POLLIN : POLLOUT), 0});
            whose.push_back(i);
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        if (polls.empty() || left <= 0) return answers;
        ::poll(polls.data(), polls.size(), static_cast<int>(left));
        for (std::size_t k = 0; k < polls.size(); ++k) {
            if (!polls[k].revents) continue;
            Call& call = calls[whose[k]];
            if (!call.out.empty()) {
                const ssize_t sent = ::send(call.fd, call.out.data(), call.out.size(), MSG_NOSIGNAL);
                if (sent > 0) call.out.erase(0, static_cast<std::size_t>(sent));
                if (sent < 0 && errno != EAGAIN) call.end();
                continue;
            }
            char buffer[65536];
            const ssize_t got = ::recv(call.fd, buffer, sizeof buffer, 0);
            if (got > 0) call.in.append(buffer, static_cast<std::size_t>(got));
            if (got < 0 && errno == EAGAIN) continue;
            if (got > 0 && !call.in.ends_with('\n')) continue;
            if (got > 0) answers[whose[k]] = nlohmann::json::parse(call.in, nullptr, false);
            if (!answers[whose[k]].is_object()) answers[whose[k]] = nullptr;
            call.end();
        }
    }
}

}  // namespace poppyscale::ctl
