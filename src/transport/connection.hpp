// A connection that was opened here or accepted: TCP, or a Unix socket.
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

// "10.1.0.18:6379"; nothing when the text is not of that form.
std::optional<Address> parseAddress(const std::string& text);
bool sameAddress(const Address& a, const Address& b);

// Reports to its handler until it is destroyed, which closes it and which the handler may do in any callback.
class Connection {
  public:
    class Handler {
      public:
        virtual ~Handler() = default;
        // After `connect`: whether the connection is established.
        virtual void onConnected(bool /*isConnected*/) {}
        // `bytes` are valid during the call.
        virtual void onData(std::string_view bytes) = 0;
        // The peer closed the connection, or it failed.
        virtual void onClosed() = 0;
        // The kernel has taken all that was written.
        virtual void onDrained() {}
    };

    enum class Kind : std::uint8_t { tcp, local };
    Connection(EventLoop& loop, BufferPool& pool, Handler& handler, Kind kind = Kind::tcp);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // `onConnected` follows; false when it does not.
    bool connect(const Address& address);
    // Owns a connected descriptor from then on; false when it can't be used, and it is closed.
    bool adopt(int descriptor);
    void setReading(bool on);
    // False when the peer is gone or the pool is empty; the connection is of no further use then.
    bool write(std::string_view bytes);
    // Bytes written that the kernel has not taken yet.
    std::size_t unsentBytes() const;
    // Bytes that the kernel has taken since the connection was made.
    std::uint64_t sentBytes() const;
    // Ends the sending side after what is written; reading goes on.
    void shutdownWrite();
    // The kernel has bytes that were not read.
    bool hasUnreadBytes() const;
    // The kernel has neither unread bytes nor an end of the stream.
    bool isIdle() const;
    // The peer has ended its stream in order, and no reset came with it.
    bool hasPeerFinished() const;
    // The peer has ended or reset the connection, which is known before what it sent earlier is read.
    bool hasPeerClosed() const;

    // The system's descriptor; below 0 without one.
    int descriptor() const;

  private:
    long peek() const;

    struct Handle;
    Handle* handle_;  // owned; freed by libuv's close callback
};

}  // namespace poppyscale::transport
