#include "transport/listener.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

namespace poppyscale::transport {

Listener::Listener(Loop& loop, Admit admit, Connection::Kind kind)
    : socket_(new Socket{}), admit_(std::move(admit)) {
    if (kind == Connection::Kind::tcp)
        uv_tcp_init(loop.raw(), &socket_->tcp);
    else
        uv_pipe_init(loop.raw(), &socket_->local, 0);
    handle()->data = this;
}

Listener::~Listener() {
    uv_close(handle(), [](uv_handle_t* h) { delete reinterpret_cast<Socket*>(h); });
}

std::string Listener::begin(int status) {
    if (status == 0)
        status =
            uv_listen(reinterpret_cast<uv_stream_t*>(socket_), 4096, [](uv_stream_t* server, int failed) {
                if (failed) return;
                static_cast<Listener*>(server->data)->admit_([server](Connection& c) {
                    return c.accept(server);
                });
            });
    return status == 0 ? "" : uv_strerror(status);
}

std::string Listener::listen(const Address& at) {
    const std::string problem = begin(uv_tcp_bind(&socket_->tcp, reinterpret_cast<const sockaddr*>(&at), 0));
    // Without this libuv sleeps after each accept.
    uv_tcp_simultaneous_accepts(&socket_->tcp, 1);
    return problem;
}

std::string Listener::listenOn(int descriptor) {
    const std::string problem = begin(uv_tcp_open(&socket_->tcp, descriptor));
    uv_tcp_simultaneous_accepts(&socket_->tcp, 1);
    return problem;
}

std::string Listener::listenAt(const std::string& path) {
    const std::string fresh = path + "." + std::to_string(::getpid());
    ::unlink(fresh.c_str());
    // Before anyone can open it: between bind and chmod it would be open to all.
    const mode_t mask = ::umask(0177);
    const int bound = uv_pipe_bind(&socket_->local, fresh.c_str());
    ::umask(mask);
    std::string problem = begin(bound);
    if (problem.empty() && ::rename(fresh.c_str(), path.c_str()) != 0) problem = std::strerror(errno);
    if (!problem.empty()) ::unlink(fresh.c_str());
    return problem;
}

int Listener::descriptor() const {
    uv_os_fd_t descriptor{};
    return uv_fileno(handle(), &descriptor) == 0 ? descriptor : -1;
}

void Listener::takeBacklog() {
    const int from = descriptor();
    while (from >= 0) {
        const int accepted = ::accept4(from, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0) return;
        admit_([accepted](Connection& c) { return c.adopt(accepted); });
    }
}

}  // namespace poppyscale::transport
