// Where clients connect.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "transport/connection.hpp"

namespace poppyscale::transport {

class Listener {
  public:
    // `admit` gets the connection half made and finishes it with `accept` or `adopt`.
    using AcceptHandler = std::function<void(const std::function<bool(Connection&)>& finish)>;
    // The system has nothing left for another connection, for the reason given: whoever waits stays in the
    // backlog, and is accepted once that is over. Told with each pause that this makes.
    using ExhaustionHandler = std::function<void(std::string_view why)>;

    Listener(EventLoop& loop, AcceptHandler admit, Connection::Kind kind = Connection::Kind::tcp);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    void onExhausted(ExhaustionHandler told) { exhausted_ = std::move(told); }

    // Empty when it listens, else what the system said.
    std::string listen(const Address& at);
    // A Unix socket that only its owner may open. What a process that has died left at that path goes; a
    // living one's is taken over in one step, so that nobody finds the path empty in between.
    std::string listenAtPath(const std::string& path);
    // On a socket that another process has bound; it is ours from now on.
    std::string adopt(int descriptor);
    int descriptor() const { return descriptor_; }
    // Takes what stands in the backlog: the kernel has accepted it, so its clients count on an answer.
    void acceptBacklog();

  private:
    // Of accepting one connection. `none`: nobody waits.
    enum class Accepted : std::uint8_t { one, none, again, exhausted };

    std::string begin();
    std::string fail();
    void watch(bool on);
    void acceptSome();
    Accepted acceptOne();
    void rest(int error);

    EventLoop& loop_;
    AcceptHandler admit_;
    ExhaustionHandler exhausted_;
    Connection::Kind kind_;
    int descriptor_ = -1;
    uv_poll_t* poll_ = nullptr;  // of the loop's: told when somebody waits
    Timer retry_;                // rings when accepting is tried again after a failure
};

}  // namespace poppyscale::transport
