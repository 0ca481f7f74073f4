#include "transport/connection.hpp"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
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

// The state that libuv refers to. It outlives its Connection until libuv has closed the handle;
// `handler` is null from the Connection's destruction on.
struct Connection::Handle {
    struct WriteChunk {
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
    Handler* handler;
    std::unique_ptr<Buffer> readBuffer;
    // Chunks that the kernel has not taken yet. The first is passed to libuv; small writes share a buffer.
    std::deque<WriteChunk> queue;
    std::size_t queuedBytes = 0;
    bool isWriting = false;  // libuv is writing the first chunk, or the marker
    // The last byte that `writeSome` has taken, which libuv writes as soon as the kernel takes more.
    char marker = 0;
    bool isMarkerUnsent = false;
    std::uint64_t sentBytes = 0;
    bool hasPeerFinished = false;

    Handle(BufferPool& pool, Handler& handler, Kind kind) : kind(kind), pool(pool), handler(&handler) {
        write.data = this;
    }
    ~Handle() {
        if (readBuffer) pool.give(std::move(readBuffer));
        for (WriteChunk& chunk : queue) pool.give(std::move(chunk.buffer));
    }
    uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&socket); }
    uv_handle_t* handle() { return reinterpret_cast<uv_handle_t*>(&socket); }
    void disableNagle() {
        if (kind == Kind::tcp) uv_tcp_nodelay(&socket.tcp, 1);
    }
    // libuv also reports an end of stream when bytes and a reset have arrived together.
    bool hasNoSocketError() {
        uv_os_fd_t descriptor{};
        int error = 0;
        socklen_t size = sizeof error;
        return uv_fileno(handle(), &descriptor) == 0 &&
               getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }
    static Handle& of(void* data) { return *static_cast<Handle*>(data); }

    bool enqueue(std::string_view bytes) {
        const bool wasQueued = !queue.empty() || isMarkerUnsent;
        while (!bytes.empty()) {
            // The first chunk is being written, so nothing may be added to it.
            if (queue.size() < 2 || queue.back().size == kBufferSize) {
                auto buffer = pool.take();
                if (!buffer) return false;
                queue.push_back({std::move(buffer), 0});
            }
            WriteChunk& last = queue.back();
            const std::size_t size = std::min(bytes.size(), kBufferSize - last.size);
            std::memcpy(last.buffer->data() + last.size, bytes.data(), size);
            last.size += size;
            queuedBytes += size;
            bytes.remove_prefix(size);
        }
        if (wasQueued || queue.empty()) return true;
        return writeFirst();
    }
    bool writeFirst() { return passToLibuv(queue.front().buffer->data(), queue.front().size); }
    bool writeMarker(char byte) {
        marker = byte;
        isMarkerUnsent = passToLibuv(&marker, sizeof marker);
        if (isMarkerUnsent) queuedBytes += sizeof marker;
        return isMarkerUnsent;
    }
    bool passToLibuv(char* bytes, std::size_t size) {
        const uv_buf_t data = uv_buf_init(bytes, static_cast<unsigned>(size));
        isWriting = uv_write(&write, stream(), &data, 1, [](uv_write_t* request, int status) {
                        of(request->data).onWritten(status);
                    }) == 0;
        return isWriting;
    }
    // Uses libuv's count for the first chunk: libuv calls back one iteration after the kernel took the
    // chunk's last byte.
    std::size_t unsentBytes() const {
        if (!isWriting) return queuedBytes;
        const auto* const uvStream = reinterpret_cast<const uv_stream_t*>(&socket);
        return queuedBytes - firstSize() + uv_stream_get_write_queue_size(uvStream);
    }
    // The size of what libuv is writing.
    std::size_t firstSize() const { return isMarkerUnsent ? sizeof marker : queue.front().size; }
    void removeFirst() {
        if (isMarkerUnsent) {
            isMarkerUnsent = false;
            return;
        }
        pool.give(std::move(queue.front().buffer));
        queue.pop_front();
    }
    void onWritten(int status) {
        isWriting = false;
        // Bytes whose write failed stay counted as unsent: callers must not take them for written.
        if (status == 0) {
            queuedBytes -= firstSize();
            sentBytes += firstSize();
        }
        removeFirst();
        if (!handler) return;
        bool isBroken = status < 0;
        if (!isBroken && !queue.empty()) isBroken = !writeFirst();
        if (isBroken) return handler->onClosed();
        if (queue.empty()) handler->onDrained();
    }
};

Connection::Connection(EventLoop& loop, BufferPool& pool, Handler& handler, Kind kind)
    : handle_(new Handle(pool, handler, kind)) {
    if (kind == Kind::tcp)
        uv_tcp_init(loop.raw(), &handle_->socket.tcp);
    else
        uv_pipe_init(loop.raw(), &handle_->socket.local, 0);
    handle_->handle()->data = handle_;
}

Connection::~Connection() {
    handle_->handler = nullptr;
    uv_close(handle_->handle(), [](uv_handle_t* h) { delete static_cast<Handle*>(h->data); });
}

bool Connection::connect(const Address& address) {
    handle_->connect.data = handle_;
    return uv_tcp_connect(&handle_->connect, &handle_->socket.tcp,
                          reinterpret_cast<const sockaddr*>(&address), [](uv_connect_t* request, int status) {
                              Handle& handle = Handle::of(request->data);
                              if (!handle.handler) return;
                              if (status == 0) handle.disableNagle();
                              handle.handler->onConnected(status == 0);
                          }) == 0;
}

bool Connection::adopt(int descriptor) {
    const int opened = handle_->kind == Kind::tcp ? uv_tcp_open(&handle_->socket.tcp, descriptor)
                                                  : uv_pipe_open(&handle_->socket.local, descriptor);
    if (opened != 0) {
        ::close(descriptor);
        return false;
    }
    handle_->disableNagle();
    return true;
}

void Connection::setReading(bool on) {
    if (!on) {
        uv_read_stop(handle_->stream());
        return;
    }
    uv_read_start(
        handle_->stream(),
        [](uv_handle_t* h, std::size_t, uv_buf_t* buffer) {
            Handle& handle = Handle::of(h->data);
            if (!handle.readBuffer) handle.readBuffer = handle.pool.take(true);
            *buffer = handle.readBuffer ? uv_buf_init(handle.readBuffer->data(),
                                                      static_cast<unsigned>(handle.readBuffer->size()))
                                        : uv_buf_init(nullptr, 0);
        },
        [](uv_stream_t* s, ssize_t count, const uv_buf_t*) {
            Handle& handle = Handle::of(s->data);
            // The buffer is moved out before the call, since the handler may destroy this connection.
            auto buffer = std::move(handle.readBuffer);
            if (count == UV_EOF) handle.hasPeerFinished = handle.hasNoSocketError();
            if (handle.handler && count > 0)
                handle.handler->onData({buffer->data(), static_cast<std::size_t>(count)});
            else if (handle.handler && count < 0)
                handle.handler->onClosed();
            if (buffer) handle.pool.give(std::move(buffer));
        });
}

bool Connection::write(std::string_view bytes) {
    if (handle_->queue.empty()) {
        uv_buf_t data = uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
        const int written = uv_try_write(handle_->stream(), &data, 1);
        if (written < 0 && written != UV_EAGAIN) return false;
        if (written > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(written));
            handle_->sentBytes += static_cast<std::uint64_t>(written);
        }
    }
    return handle_->enqueue(bytes);
}

std::optional<std::size_t> Connection::writeSome(std::string_view bytes) {
    if (bytes.empty() || handle_->queuedBytes > 0) return 0;
    uv_buf_t data = uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
    const int result = uv_try_write(handle_->stream(), &data, 1);
    if (result < 0 && result != UV_EAGAIN) return std::nullopt;
    const std::size_t written = result < 0 ? 0 : static_cast<std::size_t>(result);
    handle_->sentBytes += written;
    if (written == bytes.size()) return written;
    if (!handle_->writeMarker(bytes[written])) return std::nullopt;
    return written + 1;
}

std::size_t Connection::unsentBytes() const { return handle_->unsentBytes(); }

std::uint64_t Connection::sentBytes() const { return handle_->sentBytes; }

std::uint64_t Connection::acknowledgedBytes() const {
    int inKernel = 0;
    const bool isKnown = ioctl(descriptor(), SIOCOUTQ, &inKernel) == 0 && inKernel > 0;
    return sentBytes() -
           (isKnown ? std::min<std::uint64_t>(sentBytes(), static_cast<unsigned>(inKernel)) : 0);
}

void Connection::shutdownWrite() {
    uv_shutdown(&handle_->shutdown, handle_->stream(), [](uv_shutdown_t*, int) {});
}

// The result of recv: above 0 with unread bytes, 0 at the end of the stream or without a descriptor, and
// below 0 for an error, which includes an open connection without data (EAGAIN).
long Connection::peek() const {
    char byte = 0;
    const int socketDescriptor = descriptor();
    return socketDescriptor < 0 ? 0 : recv(socketDescriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

int Connection::descriptor() const {
    uv_os_fd_t descriptor{};
    return uv_fileno(handle_->handle(), &descriptor) == 0 ? descriptor : -1;
}

bool Connection::hasPeerFinished() const { return handle_->hasPeerFinished; }

bool Connection::hasPeerClosed() const {
    pollfd polled{descriptor(), POLLRDHUP, 0};
    return polled.fd < 0 || ::poll(&polled, 1, 0) > 0;
}

std::size_t Connection::unreadBytes() const {
    int count = 0;
    const bool isKnown = ioctl(descriptor(), FIONREAD, &count) == 0 && count > 0;
    return isKnown ? static_cast<std::size_t>(count) : 0;
}

bool Connection::hasUnreadBytes() const { return peek() > 0; }

bool Connection::isIdle() const { return peek() < 0 && (errno == EAGAIN || errno == EWOULDBLOCK); }

}  // namespace poppyscale::transport
