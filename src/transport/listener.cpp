#include "transport/listener.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

namespace poppyscale::transport {
namespace {

constexpr int kBacklog = 4096;
// Keeps a burst of new clients from delaying the connected ones.
constexpr int kMaxAcceptsPerIteration = 256;
// How long accepting pauses when descriptors or memory run out, which may be freed at any time.
constexpr Nanos kExhaustionPause = 10 * kMillisecond;
// Failed accepts after which `acceptBacklog` stops.
constexpr int kMaxBacklogFailures = 100;

}  // namespace

// libuv's own listener closes every connection in the backlog when the system is briefly out of
// descriptors, although the clients may have sent requests by then. So libuv only polls the socket, and
// connections are accepted here.
Listener::Listener(EventLoop& loop, AcceptHandler onAccept, Connection::Kind kind)
    : loop_(loop),
      onAccept_(std::move(onAccept)),
      kind_(kind),
      retryTimer_(loop, [this] { setPolling(true); }) {}

Listener::~Listener() {
    if (poll_)
        uv_close(reinterpret_cast<uv_handle_t*>(poll_),
                 [](uv_handle_t* h) { delete reinterpret_cast<uv_poll_t*>(h); });
    if (descriptor_ >= 0) ::close(descriptor_);
}

std::string Listener::closeAfterError() {
    const std::string problem = uv_strerror(-errno);
    if (descriptor_ >= 0) ::close(descriptor_);
    descriptor_ = -1;
    return problem;
}

std::string Listener::startListening() {
    if (::listen(descriptor_, kBacklog) != 0) return closeAfterError();
    poll_ = new uv_poll_t{};
    const int status = uv_poll_init(loop_.raw(), poll_, descriptor_);
    if (status != 0) {
        delete poll_;
        poll_ = nullptr;
        return uv_strerror(status);
    }
    poll_->data = this;
    setPolling(true);
    return "";
}

void Listener::setPolling(bool on) {
    if (!on) {
        uv_poll_stop(poll_);
        return;
    }
    uv_poll_start(poll_, UV_READABLE,
                  [](uv_poll_t* poll, int, int) { static_cast<Listener*>(poll->data)->acceptSome(); });
}

std::string Listener::listen(const Address& address) {
    descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor_ < 0) return closeAfterError();
    const int enabled = 1;
    if (::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled) != 0 ||
        ::bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        return closeAfterError();
    return startListening();
}

std::string Listener::adopt(int descriptor) {
    descriptor_ = descriptor;
    return startListening();
}

std::string Listener::listenAtPath(const std::string& path) {
    const std::string temporaryPath = path + "." + std::to_string(::getpid());
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    if (temporaryPath.size() >= sizeof address.sun_path) return uv_strerror(UV_ENAMETOOLONG);
    std::memcpy(address.sun_path, temporaryPath.data(), temporaryPath.size());
    descriptor_ = ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor_ < 0) return closeAfterError();
    ::unlink(temporaryPath.c_str());
    // The mask restricts access, since between bind and a later chmod anyone could open the socket.
    const mode_t mask = ::umask(0177);
    const int bindStatus = ::bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    ::umask(mask);
    if (bindStatus != 0) return closeAfterError();
    std::string problem = startListening();
    if (problem.empty() && ::rename(temporaryPath.c_str(), path.c_str()) != 0) problem = std::strerror(errno);
    if (!problem.empty()) ::unlink(temporaryPath.c_str());
    return problem;
}

Listener::AcceptStatus Listener::acceptOne() {
    const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
        if (errno == EAGAIN || errno == EWOULDBLOCK) return AcceptStatus::backlogEmpty;
        const bool isExhausted = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
        // Other errors concern only this call or the first connection in the backlog, which no longer exists.
        return isExhausted ? AcceptStatus::exhausted : AcceptStatus::retry;
    }
    bool isAdopted = false;
    onAccept_([&](Connection& connection) {
        isAdopted = true;
        return connection.adopt(accepted);
    });
    if (!isAdopted) ::close(accepted);
    return AcceptStatus::accepted;
}

void Listener::acceptSome() {
    for (int i = 0; i < kMaxAcceptsPerIteration && descriptor_ >= 0; ++i) {
        const AcceptStatus result = acceptOne();
        if (result == AcceptStatus::backlogEmpty) return;
        if (result == AcceptStatus::exhausted) return pause(errno);
    }
}

void Listener::pause(int error) {
    setPolling(false);
    retryTimer_.start(EventLoop::now() + kExhaustionPause);
    if (onExhausted_) onExhausted_(std::strerror(error));
}

void Listener::acceptBacklog() {
    int failures = 0;
    while (descriptor_ >= 0 && failures < kMaxBacklogFailures) {
        const AcceptStatus result = acceptOne();
        if (result == AcceptStatus::backlogEmpty) return;
        if (result != AcceptStatus::accepted) ++failures;
    }
}

}  // namespace poppyscale::transport
