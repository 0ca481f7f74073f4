#include "transport/connection.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace poppyscale::transport {

std::optional<Address> parseAddress(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    std::uint16_t port = 0;
    const char* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
    if (error != std::errc{} || end != last || port == 0) return std::nullopt;
    Address address{};
    if (uv_ip4_addr(text.substr(0, colon).c_str(), port, &address) != 0) return std::nullopt;
    return address;
}

bool sameAddress(const Address& a, const Address& b) {
    return a.sin_addr.s_addr == b.sin_addr.s_addr && a.sin_port == b.sin_port;
}

// Outlives its Connection until libuv has let go of it: `connection` is null from then on.
struct Connection::Handle {
    uv_tcp_t tcp{};
    uv_connect_t connect{};
    uv_shutdown_t shutdown{};
    Pool& pool;
    Owner* owner;
    std::unique_ptr<Buffer> reading;

    Handle(Pool& pool, Owner& owner) : pool(pool), owner(&owner) { tcp.data = this; }
    ~Handle() {
        if (reading) pool.give(std::move(reading));
    }
    uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&tcp); }
    static Handle& of(void* data) { return *static_cast<Handle*>(data); }
};

namespace {

struct Write {
    uv_write_t request{};
    std::unique_ptr<Buffer> buffer;
};

}  // namespace

Connection::Connection(Loop& loop, Pool& pool, Owner& owner) : handle_(new Handle(pool, owner)) {
    uv_tcp_init(loop.raw(), &handle_->tcp);
}

Connection::~Connection() {
    handle_->owner = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->tcp),
             [](uv_handle_t* h) { delete static_cast<Handle*>(h->data); });
}

bool Connection::open(const Address& to) {
    handle_->connect.data = handle_;
    return uv_tcp_connect(&handle_->connect, &handle_->tcp, reinterpret_cast<const sockaddr*>(&to),
                          [](uv_connect_t* request, int status) {
                              Handle& handle = Handle::of(request->data);
                              if (!handle.owner) return;
                              if (status == 0) uv_tcp_nodelay(&handle.tcp, 1);
                              handle.owner->opened(status == 0);
                          }) == 0;
}

bool Connection::accept(uv_stream_t* listener) {
    if (uv_accept(listener, handle_->stream()) != 0) return false;
    uv_tcp_nodelay(&handle_->tcp, 1);
    return true;
}

bool Connection::adopt(int descriptor) {
    if (uv_tcp_open(&handle_->tcp, descriptor) != 0) return ::close(descriptor), false;
    uv_tcp_nodelay(&handle_->tcp, 1);
    return true;
}

void Connection::read(bool on) {
    if (!on) return void(uv_read_stop(handle_->stream()));
    uv_read_start(
        handle_->stream(),
        [](uv_handle_t* h, std::size_t, uv_buf_t* buffer) {
            Handle& handle = Handle::of(h->data);
            if (!handle.reading) handle.reading = handle.pool.take(true);
            *buffer = handle.reading
                          ? uv_buf_init(handle.reading->data(), static_cast<unsigned>(handle.reading->size()))
                          : uv_buf_init(nullptr, 0);
        },
        [](uv_stream_t* s, ssize_t count, const uv_buf_t*) {
            Handle& handle = Handle::of(s->data);
            // The buffer goes back before the call: the owner may want one to answer with.
            auto buffer = std::move(handle.reading);
            if (handle.owner && count > 0)
                handle.owner->received({buffer->data(), static_cast<std::size_t>(count)});
            else if (handle.owner && count < 0)
                handle.owner->ended();
            if (buffer) handle.pool.give(std::move(buffer));
        });
}

bool Connection::write(std::string_view bytes) {
    uv_stream_t* const stream = handle_->stream();
    if (uv_stream_get_write_queue_size(stream) == 0) {
        uv_buf_t piece = uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
        const int written = uv_try_write(stream, &piece, 1);
        if (written < 0 && written != UV_EAGAIN) return false;
        if (written > 0) bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    while (!bytes.empty()) {
        auto write = std::make_unique<Write>();
        write->buffer = handle_->pool.take();
        if (!write->buffer) return false;
        const std::size_t size = std::min(bytes.size(), write->buffer->size());
        std::memcpy(write->buffer->data(), bytes.data(), size);
        bytes.remove_prefix(size);
        uv_buf_t piece = uv_buf_init(write->buffer->data(), static_cast<unsigned>(size));
        write->request.data = write.get();
        const int failed = uv_write(&write->request, stream, &piece, 1, [](uv_write_t* request, int status) {
            const std::unique_ptr<Write> done(static_cast<Write*>(request->data));
            Handle& handle = Handle::of(request->handle->data);
            handle.pool.give(std::move(done->buffer));
            if (!handle.owner) return;
            if (status < 0) return handle.owner->ended();
            if (uv_stream_get_write_queue_size(handle.stream()) == 0) handle.owner->emptied();
        });
        if (failed) {
            handle_->pool.give(std::move(write->buffer));
            return false;
        }
        write.release();
    }
    return true;
}

std::size_t Connection::unsent() const { return uv_stream_get_write_queue_size(handle_->stream()); }

void Connection::finishSending() {
    uv_shutdown(&handle_->shutdown, handle_->stream(), [](uv_shutdown_t*, int) {});
}

bool Connection::bytesWait() const {
    uv_os_fd_t descriptor{};
    char byte = 0;
    return uv_fileno(reinterpret_cast<uv_handle_t*>(&handle_->tcp), &descriptor) == 0 &&
           recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

}  // namespace poppyscale::transport
