// A listening socket: TCP, or a Unix socket at a path.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "transport/connection.hpp"

namespace poppyscale::transport {

// Accepts connections until it is destroyed, which closes its descriptor. While the system has no
// descriptor or memory left, connections stay in the backlog and are accepted later; none is closed for
// that reason.
class Listener {
  public:
    // Creates a Connection and passes it to `finish`, which makes it adopt the accepted descriptor and
    // returns false if that fails. If `finish` is not called, the accepted descriptor is closed.
    using AcceptHandler = std::function<void(const std::function<bool(Connection&)>& finish)>;
    // Called each time that accepting pauses because the system has no descriptor or memory left.
    using ExhaustionHandler = std::function<void(std::string_view reason)>;

    Listener(EventLoop& loop, AcceptHandler onAccept, Connection::Kind kind = Connection::Kind::tcp);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    void onExhausted(ExhaustionHandler handler) { onExhausted_ = std::move(handler); }

    // `listen`, `listenAtPath` and `adopt` return an empty string on success, else the system's error.
    std::string listen(const Address& address);
    // Listens on a Unix socket that only its owner may open. An existing socket at that path is replaced
    // atomically, so that there is a socket at the path at any time.
    std::string listenAtPath(const std::string& path);
    // Listens on a socket that another process has bound, and owns `descriptor` from then on.
    std::string adopt(int descriptor);

    // The listening socket's descriptor; below 0 without one.
    int descriptor() const { return descriptor_; }
    // Accepts all connections in the backlog: the kernel has established them, so their clients expect a
    // response.
    void acceptBacklog();

  private:
    enum class AcceptStatus : std::uint8_t { accepted, backlogEmpty, retry, exhausted };

    std::string startListening();
    std::string closeAfterError();
    void setPolling(bool on);
    void acceptSome();
    AcceptStatus acceptOne();
    void pause(int error);

    EventLoop& loop_;
    AcceptHandler onAccept_;
    ExhaustionHandler onExhausted_;
    Connection::Kind kind_;
    int descriptor_ = -1;
    uv_poll_t* poll_ = nullptr;  // owned; freed by libuv's close callback
    Timer retryTimer_;           // ends the pause after descriptors or memory ran out
};

}  // namespace poppyscale::transport
