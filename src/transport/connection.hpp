// An outgoing or accepted connection over TCP or a Unix socket.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "transport/buffer_pool.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::transport {

using Address = sockaddr_in;

// Parses an IPv4 address with its port, such as "10.1.0.18:6379"; none if the text is not of that form.
std::optional<Address> parseAddress(const std::string& text);
bool sameAddress(const Address& a, const Address& b);

// Reports to its handler until it is destroyed, which closes the connection. The handler may destroy it
// in any callback.
class Connection {
  public:
    class Handler {
      public:
        virtual ~Handler() = default;
        // After `connect`: whether the connection is established.
        virtual void onConnected(bool /*isConnected*/) {}
        // `bytes` are valid during the call.
        virtual void onData(std::string_view bytes) = 0;
        // The peer closed the connection, or the connection failed.
        virtual void onClosed() = 0;
        // The kernel has taken all that was written.
        virtual void onDrained() {}
    };

    enum class Kind : std::uint8_t { tcp, local };
    Connection(EventLoop& loop, BufferPool& pool, Handler& handler, Kind kind = Kind::tcp);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Starts to connect; `onConnected` follows. False when that failed at once: no callback follows.
    bool connect(const Address& address);
    // Takes ownership of a connected descriptor. False when it can't be used; it is closed then.
    bool adopt(int descriptor);
    void setReading(bool on);
    // False when the write failed or the pool is empty; the connection can't be used any more then.
    bool write(std::string_view bytes);
    // Writes what the kernel takes now, without a buffer for the rest: returns the number of bytes taken, and
    // 0 until `onDrained` if earlier ones were left over. If it is less than all, `onDrained` follows once
    // the kernel takes more. None when the write failed; the connection can't be used any more then.
    std::optional<std::size_t> writeSome(std::string_view bytes);
    // Bytes written that the kernel has not taken yet.
    std::size_t unsentBytes() const;
    // Bytes that the kernel has taken since the connection was established.
    std::uint64_t sentBytes() const;
    // Of these, bytes that the peer has acknowledged.
    std::uint64_t acknowledgedBytes() const;
    // Shuts down the sending side once all written bytes are sent; reading continues.
    void shutdownWrite();
    // The number of unread bytes that the kernel has; 0 if it is not known.
    std::size_t unreadBytes() const;
    // Whether the kernel has unread bytes.
    bool hasUnreadBytes() const;
    // Whether the kernel has neither unread bytes nor the end of the stream.
    bool isIdle() const;
    // Whether the end of the peer's stream was read, without a reset.
    bool hasPeerFinished() const;
    // Whether the peer has ended or reset the connection. Known even while earlier bytes are unread.
    bool hasPeerClosed() const;

    // The socket's descriptor; below 0 without one.
    int descriptor() const;

  private:
    long peek() const;

    struct Handle;
    Handle* handle_;  // owned; freed by libuv's close callback
};

}  // namespace poppyscale::transport
