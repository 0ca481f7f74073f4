// A listening socket: TCP, or a Unix socket at a path.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "transport/connection.hpp"

namespace poppyscale::transport {

// Accepts connections for as long as it lives, and closes its descriptor at the end. Whoever waits while the
// system has no descriptor or memory left stays in the backlog and is accepted later; nobody is closed
// unanswered for that.
class Listener {
  public:
    // Makes the connection and passes it to `finish`, which adopts the accepted descriptor; false when that
    // fails. Without a call of `finish` the client is closed.
    using AcceptHandler = std::function<void(const std::function<bool(Connection&)>& finish)>;
    // Accepting pauses because the system has nothing left for another connection; called for each such
    // pause.
    using ExhaustionHandler = std::function<void(std::string_view reason)>;

    Listener(EventLoop& loop, AcceptHandler onAccept, Connection::Kind kind = Connection::Kind::tcp);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    void onExhausted(ExhaustionHandler handler) { exhausted_ = std::move(handler); }

    // Each of the three returns an empty string once it listens, else the system's error.
    std::string listen(const Address& address);
    // A Unix socket that only its owner may open. A socket that stands at that path already is replaced in
    // one step, so that nobody finds the path empty in between.
    std::string listenAtPath(const std::string& path);
    // Listens on a socket that another process has bound, and owns `descriptor` from then on.
    std::string adopt(int descriptor);

    // Below 0 while it does not listen.
    int descriptor() const { return descriptor_; }
    // Accepts all that the backlog holds: the kernel has completed those connections, so their clients expect
    // a response.
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
    ExhaustionHandler exhausted_;
    Connection::Kind kind_;
    int descriptor_ = -1;
    uv_poll_t* poll_ = nullptr;  // libuv's until its close callback
    Timer retry_;                // ends the pause after an exhaustion
};

}  // namespace poppyscale::transport
