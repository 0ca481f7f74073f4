#include "ctl/control_listener.hpp"

#include <fmt/format.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace poppyscale::ctl {
namespace {

constexpr std::size_t kLongestLine = 4 << 20;  // an order carries an operator's form
constexpr std::size_t kMostCallers = 16;

}  // namespace

ControlListener::ControlListener(std::string path, RequestHandler asked)
    : path_(std::move(path)), asked_(std::move(asked)) {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    if (path_.size() >= sizeof at.sun_path)
        throw std::runtime_error("the socket's path is too long: " + path_);
    std::memcpy(at.sun_path, path_.data(), path_.size());
    ::unlink(path_.c_str());  // one that was left: who keeps this folder holds its lock
    fd_ = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const mode_t before = ::umask(0177);
    const bool bound = ::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    const int failed = errno;
    ::umask(before);
    if (bound && ::listen(fd_, 64) == 0) return;
    ::close(fd_);
    throw std::runtime_error(fmt::format("can't listen at {}: {}", path_, std::strerror(failed)));
}

ControlListener::~ControlListener() {
    for (const Client& c : callers_) ::close(c.fd);
    ::close(fd_);
    ::unlink(path_.c_str());
}

void ControlListener::addPollDescriptors(std::vector<pollfd>& all) const {
    all.push_back({fd_, POLLIN, 0});
    for (const Client& c : callers_)
        all.push_back({c.fd, static_cast<short>(c.out.empty() ? POLLIN : POLLIN | POLLOUT), 0});
}

void ControlListener::runIteration() {
    for (int fd; (fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;) {
        if (callers_.size() >= kMostCallers)
            ::close(fd);
        else
            callers_.push_back({++last_, fd, {}, {}, false});
    }
    for (Client& c : callers_) {
        char buffer[65536];
        ssize_t got = 0;
        while ((got = ::recv(c.fd, buffer, sizeof buffer, 0)) > 0) {
            c.in.append(buffer, static_cast<std::size_t>(got));
            if (c.in.size() > kLongestLine) break;
        }
        c.gone |= got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) ||
                  c.in.size() > kLongestLine;
        for (auto end = c.in.find('\n'); end != std::string::npos && !c.gone; end = c.in.find('\n')) {
            const auto what = nlohmann::json::parse(c.in.substr(0, end), nullptr, false);
            c.in.erase(0, end + 1);
            if (what.is_object())
                asked_(c.id, what);
            else
                answer(c.id, {{"error", "expected a line that holds a JSON object"}});
        }
        flush(c);
    }
    callers_.remove_if([](const Client& c) {
        if (c.gone) ::close(c.fd);
        return c.gone;
    });
}

void ControlListener::flush(Client& c) {
    while (!c.out.empty() && !c.gone) {
        const ssize_t sent = ::send(c.fd, c.out.data(), c.out.size(), MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
        c.gone |= sent <= 0;
        if (sent > 0) c.out.erase(0, static_cast<std::size_t>(sent));
    }
}

void ControlListener::answer(std::uint64_t who, const nlohmann::json& what) {
    for (Client& c : callers_) {
        if (c.id != who) continue;
        c.out += what.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
        flush(c);
    }
}

}  // namespace poppyscale::ctl
