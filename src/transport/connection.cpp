#include "transport/connection.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <deque>
#include <memory>

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

// Outlives its Connection until libuv has let go of it: `owner` is null from then on.
struct Connection::Handle {
    struct Piece {
        std::unique_ptr<Buffer> buffer;
        std::size_t size;
    };
    union Stream {
        uv_tcp_t tcp;
        uv_pipe_t local;
    } socket{};
    const Kind kind;
    uv_connect_t connect{};
    uv_shutdown_t shutdown{};
    BufferPool& pool;
    uv_write_t write{};
    Handler* owner;
    std::unique_ptr<Buffer> reading;
    // What the kernel has not taken yet; libuv has the first piece of it, and small ones share a buffer.
    std::deque<Piece> queue;
    std::size_t queued = 0;
    bool writing = false;  // libuv has the first one
    std::uint64_t sent = 0;
    bool finished = false;

    Handle(BufferPool& pool, Handler& owner, Kind kind) : kind(kind), pool(pool), owner(&owner) {
        write.data = this;
    }
    ~Handle() {
        if (reading) pool.give(std::move(reading));
        for (Piece& piece : queue) pool.give(std::move(piece.buffer));
    }
    uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&socket); }
    uv_handle_t* handle() { return reinterpret_cast<uv_handle_t*>(&socket); }
    void atOnce() {
        if (kind == Kind::tcp) uv_tcp_nodelay(&socket.tcp, 1);
    }
    // libuv tells of an end as well where bytes and a reset have come together.
    bool unbroken() {
        uv_os_fd_t descriptor{};
        int error = 0;
        socklen_t size = sizeof error;
        return uv_fileno(handle(), &descriptor) == 0 &&
               getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }
    static Handle& of(void* data) { return *static_cast<Handle*>(data); }

    bool enqueue(std::string_view bytes) {
        const bool behind = !queue.empty();
        while (!bytes.empty()) {
            // The first one is being written, so nothing may be added to it.
            if (queue.size() < 2 || queue.back().size == kBufferSize) {
                auto buffer = pool.take();
                if (!buffer) return false;
                queue.push_back({std::move(buffer), 0});
            }
            Piece& last = queue.back();
            const std::size_t size = std::min(bytes.size(), kBufferSize - last.size);
            std::memcpy(last.buffer->data() + last.size, bytes.data(), size);
            last.size += size;
            queued += size;
            bytes.remove_prefix(size);
        }
        return behind || queue.empty() || writeFirst();
    }
    bool writeFirst() {
        const uv_buf_t piece =
            uv_buf_init(queue.front().buffer->data(), static_cast<unsigned>(queue.front().size));
        writing = uv_write(&write, stream(), &piece, 1,
                           [](uv_write_t* request, int status) { of(request->data).written(status); }) == 0;
        return writing;
    }
    // By libuv's own count: it calls back a turn after the one in which the kernel took the last byte.
    std::size_t unsent() const {
        if (!writing) return queued;
        const auto* const s = reinterpret_cast<const uv_stream_t*>(&socket);
        return queued - queue.front().size + uv_stream_get_write_queue_size(s);
    }
    void written(int status) {
        writing = false;
        // What failed stays counted as unsent: whoever asks must not take it for written.
        if (status == 0) {
            queued -= queue.front().size;
            sent += queue.front().size;
        }
        pool.give(std::move(queue.front().buffer));
        queue.pop_front();
        if (!owner) return;
        if (status < 0 || (!queue.empty() && !writeFirst())) return owner->onClosed();
        if (queue.empty()) owner->onDrained();
    }
};

Connection::Connection(EventLoop& loop, BufferPool& pool, Handler& owner, Kind kind)
    : handle_(new Handle(pool, owner, kind)) {
    if (kind == Kind::tcp)
        uv_tcp_init(loop.raw(), &handle_->socket.tcp);
    else
        uv_pipe_init(loop.raw(), &handle_->socket.local, 0);
    handle_->handle()->data = handle_;
}

Connection::~Connection() {
    handle_->owner = nullptr;
    uv_close(handle_->handle(), [](uv_handle_t* h) { delete static_cast<Handle*>(h->data); });
}

bool Connection::connect(const Address& to) {
    handle_->connect.data = handle_;
    return uv_tcp_connect(&handle_->connect, &handle_->socket.tcp, reinterpret_cast<const sockaddr*>(&to),
                          [](uv_connect_t* request, int status) {
                              Handle& handle = Handle::of(request->data);
                              if (!handle.owner) return;
                              if (status == 0) handle.atOnce();
                              handle.owner->onConnected(status == 0);
                          }) == 0;
}

bool Connection::adopt(int descriptor) {
    const int opened = handle_->kind == Kind::tcp ? uv_tcp_open(&handle_->socket.tcp, descriptor)
                                                  : uv_pipe_open(&handle_->socket.local, descriptor);
    if (opened != 0) return ::close(descriptor), false;
    handle_->atOnce();
    return true;
}

void Connection::setReading(bool on) {
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
            if (count == UV_EOF) handle.finished = handle.unbroken();
            if (handle.owner && count > 0)
                handle.owner->onData({buffer->data(), static_cast<std::size_t>(count)});
            else if (handle.owner && count < 0)
                handle.owner->onClosed();
            if (buffer) handle.pool.give(std::move(buffer));
        });
}

bool Connection::write(std::string_view bytes) {
    if (handle_->queue.empty()) {
        uv_buf_t piece = uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
        const int written = uv_try_write(handle_->stream(), &piece, 1);
        if (written < 0 && written != UV_EAGAIN) return false;
        if (written > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(written));
            handle_->sent += static_cast<std::uint64_t>(written);
        }
    }
    return handle_->enqueue(bytes);
}

std::size_t Connection::unsentBytes() const { return handle_->unsent(); }

std::uint64_t Connection::sentBytes() const { return handle_->sent; }

void Connection::shutdownWrite() {
    uv_shutdown(&handle_->shutdown, handle_->stream(), [](uv_shutdown_t*, int) {});
}

// As recv tells it: bytes, 0 at the end, below 0 an error, which is what an open and silent one has too.
long Connection::peek() const {
    char byte = 0;
    const int from = descriptor();
    return from < 0 ? 0 : recv(from, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

int Connection::descriptor() const {
    uv_os_fd_t descriptor{};
    return uv_fileno(handle_->handle(), &descriptor) == 0 ? descriptor : -1;
}

bool Connection::hasPeerFinished() const { return handle_->finished; }

bool Connection::hasPeerClosed() const {
    pollfd at{descriptor(), POLLRDHUP, 0};
    return at.fd < 0 || ::poll(&at, 1, 0) > 0;
}

bool Connection::hasUnreadBytes() const { return peek() > 0; }

bool Connection::isIdle() const { return peek() < 0 && (errno == EAGAIN || errno == EWOULDBLOCK); }

}  // namespace poppyscale::transport
