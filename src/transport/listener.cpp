#include "transport/listener.hpp"

#include <sys/socket.h>

namespace poppyscale::transport {

Listener::Listener(Loop& loop, Admit admit) : handle_(new uv_tcp_t{}), admit_(std::move(admit)) {
    uv_tcp_init(loop.raw(), handle_);
    handle_->data = this;
}

Listener::~Listener() {
    uv_close(reinterpret_cast<uv_handle_t*>(handle_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_tcp_t*>(h); });
}

std::string Listener::listen(const Address& at) {
    int status = uv_tcp_bind(handle_, reinterpret_cast<const sockaddr*>(&at), 0);
    if (status == 0)
        status =
            uv_listen(reinterpret_cast<uv_stream_t*>(handle_), 4096, [](uv_stream_t* server, int failed) {
                if (failed) return;
                static_cast<Listener*>(server->data)->admit_([server](Connection& c) {
                    return c.accept(server);
                });
            });
    // Without this libuv sleeps after each accept.
    uv_tcp_simultaneous_accepts(handle_, 1);
    return status == 0 ? "" : uv_strerror(status);
}

void Listener::takeBacklog() {
    uv_os_fd_t descriptor{};
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(handle_), &descriptor) != 0) return;
    for (;;) {
        const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0) return;
        admit_([accepted](Connection& c) { return c.adopt(accepted); });
    }
}

}  // namespace poppyscale::transport
