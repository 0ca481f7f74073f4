// One connection to the operators' console.
#pragma once

#include <string>
#include <string_view>

#include "control/console_command.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::control {

// Reads one line, sends one reply, and closes when the operator has closed or a time limit has
// expired.
class ConsoleConnection : private transport::Connection::Handler {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual ConsoleReply execute(const ConsoleCommand& command) = 0;
        // Destroys `connection`.
        virtual void remove(ConsoleConnection& connection) = 0;
    };

    ConsoleConnection(transport::EventLoop& loop, transport::BufferPool& pool, Owner& owner);

    // The connection that the listener accepts into.
    transport::Connection& connection() { return connection_; }
    // Starts to read, and starts the time limit for the line.
    void start();

  private:
    void onData(std::string_view bytes) override;
    void onClosed() override;
    void reply(const ConsoleReply& reply);

    Owner& owner_;
    transport::Connection connection_;
    transport::Timer timeout_;
    std::string line_;
    bool isAnswered_ = false;
};

}  // namespace poppyscale::control
