#include "transport/listener.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

namespace poppyscale::transport {
namespace {

constexpr int kBacklog = 4096;
// Accepted in one turn, so that a storm of clients does not keep those that are there waiting.
constexpr int kMostInTurn = 256;
// After a failure for want of descriptors or memory, which others may free at any time.
constexpr Nanos kPauseWhenExhausted = 10 * kMillisecond;
// Of a backlog that is emptied before the listener goes.
constexpr int kMostFailuresOfBacklog = 100;

}  // namespace

// libuv's own listener closes all who wait in the backlog where the system has no descriptor left for a
// moment: they have sent requests by then. So the socket is polled, and accepted on here.
Listener::Listener(EventLoop& loop, AcceptHandler admit, Connection::Kind kind)
    : loop_(loop), admit_(std::move(admit)), kind_(kind), retry_(loop, [this] { watch(true); }) {}

Listener::~Listener() {
    if (poll_)
        uv_close(reinterpret_cast<uv_handle_t*>(poll_),
                 [](uv_handle_t* h) { delete reinterpret_cast<uv_poll_t*>(h); });
    if (descriptor_ >= 0) ::close(descriptor_);
}

std::string Listener::fail() {
    const std::string problem = uv_strerror(-errno);
    if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
    return problem;
}

std::string Listener::begin() {
    if (::listen(descriptor_, kBacklog) != 0) return fail();
    poll_ = new uv_poll_t{};
    if (const int status = uv_poll_init(loop_.raw(), poll_, descriptor_); status != 0) {
        delete std::exchange(poll_, nullptr);
        return uv_strerror(status);
    }
    poll_->data = this;
    watch(true);
    return "";
}

void Listener::watch(bool on) {
    if (!on) return void(uv_poll_stop(poll_));
    uv_poll_start(poll_, UV_READABLE,
                  [](uv_poll_t* poll, int, int) { static_cast<Listener*>(poll->data)->acceptSome(); });
}

std::string Listener::listen(const Address& at) {
    descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor_ < 0) return fail();
    const int yes = 1;
    if (::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes) != 0 ||
        ::bind(descriptor_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
        return fail();
    return begin();
}

std::string Listener::adopt(int descriptor) {
    descriptor_ = descriptor;
    return begin();
}

std::string Listener::listenAtPath(const std::string& path) {
    const std::string fresh = path + "." + std::to_string(::getpid());
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    if (fresh.size() >= sizeof at.sun_path) return uv_strerror(UV_ENAMETOOLONG);
    std::memcpy(at.sun_path, fresh.data(), fresh.size());
    descriptor_ = ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor_ < 0) return fail();
    ::unlink(fresh.c_str());
    // Before anyone can open it: between bind and chmod it would be open to all.
    const mode_t mask = ::umask(0177);
    const int bound = ::bind(descriptor_, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    ::umask(mask);
    if (bound != 0) return fail();
    std::string problem = begin();
    if (problem.empty() && ::rename(fresh.c_str(), path.c_str()) != 0) problem = std::strerror(errno);
    if (!problem.empty()) ::unlink(fresh.c_str());
    return problem;
}

Listener::Accepted Listener::acceptOne() {
    const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
        if (errno == EAGAIN || errno == EWOULDBLOCK) return Accepted::none;
        const bool isFull = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
        // Others are of the connection that waited, which is gone, or of this call alone.
        return isFull ? Accepted::exhausted : Accepted::again;
    }
    bool adopted = false;
    admit_([&](Connection& connection) {
        adopted = true;
        return connection.adopt(accepted);
    });
    if (!adopted) ::close(accepted);
    return Accepted::one;
}

void Listener::acceptSome() {
    for (int i = 0; i < kMostInTurn && descriptor_ >= 0; ++i) {
        const Accepted result = acceptOne();
        if (result == Accepted::none) return;
        if (result == Accepted::exhausted) return rest(errno);
    }
}

void Listener::rest(int error) {
    watch(false);
    retry_.start(EventLoop::now() + kPauseWhenExhausted);
    if (exhausted_) exhausted_(std::strerror(error));
}

void Listener::acceptBacklog() {
    for (int failures = 0; descriptor_ >= 0 && failures < kMostFailuresOfBacklog;) {
        const Accepted result = acceptOne();
        if (result == Accepted::none) return;
        if (result != Accepted::one) ++failures;
    }
}

}  // namespace poppyscale::transport
