// A connection, ours or a client's: TCP, or local by a Unix socket. Closed when it is destroyed, which its
// owner may do in any call.
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

// "10.1.0.18:6379"; nothing when it is not of that form.
std::optional<Address> parseAddress(const std::string& text);
bool sameAddress(const Address& a, const Address& b);

class Connection {
  public:
    class Handler {
      public:
        virtual ~Handler() = default;
        virtual void onConnected(bool /*up*/) {}
        virtual void onData(std::string_view bytes) = 0;
        virtual void onClosed() = 0;  // by the peer or by an error
        virtual void onDrained() {}   // all that was written is with the kernel
    };

    enum class Kind : std::uint8_t { tcp, local };
    Connection(EventLoop& loop, BufferPool& pool, Handler& owner, Kind kind = Kind::tcp);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool connect(const Address& to);  // then `opened`
    bool adopt(int descriptor);       // one accepted, or connected, by hand
    void setReading(bool on);
    // False when the peer is gone or the pool is empty; the connection is of no further use then.
    bool write(std::string_view bytes);
    std::size_t unsentBytes() const;
    std::uint64_t sentBytes() const;  // bytes in all that the kernel has taken
    void shutdownWrite();             // after what is written; reading goes on
    bool hasUnreadBytes() const;      // something stands in the kernel that was not read
    bool isIdle() const;              // nothing does, and the peer has not ended it either
    bool hasPeerFinished() const;     // the peer has said its end, and was not cut off
    // The peer has ended or reset it, which is known before what came ahead of that is read.
    bool hasPeerClosed() const;

    int descriptor() const;  // of the system; below 0 without one

  private:
    long peek() const;
    struct Handle;
    Handle* handle_;
};

}  // namespace poppyscale::transport
