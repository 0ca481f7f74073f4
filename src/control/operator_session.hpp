// One connection to the operator's socket.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "transport/connection.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::control {

// Reads requests, a line of JSON each, and sends the owner's answers in the same form. Its owner destroys it
// once the other side has closed, or has sent too long a line.
class OperatorSession : private transport::Connection::Handler {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        // The answer; null for none, or for one that is sent later. May throw nlohmann::json::exception.
        virtual nlohmann::json handle(OperatorSession& session, const nlohmann::json& message) = 0;
        // Destroys `session`.
        virtual void remove(OperatorSession& session) = 0;
    };

    OperatorSession(transport::EventLoop& loop, transport::BufferPool& pool, Owner& owner);

    // For the listener to accept into.
    transport::Connection& connection() { return connection_; }
    // Reads from now on.
    void start() { connection_.setReading(true); }
    void send(const nlohmann::json& message);
    // Sends a copy of `descriptor`, which stays the caller's and open until then, beside one byte after all
    // that was sent before. False when the system refuses it now; a later failure closes the connection.
    bool passDescriptor(int descriptor);
    // The other side has closed, though what it sent before may not have been read yet.
    bool hasPeerClosed() const { return connection_.hasPeerClosed(); }
    // Called once when the other side has closed; not when the owner destroys the session by itself.
    std::function<void()> onPeerClosed;

  private:
    void onData(std::string_view bytes) override;
    void onClosed() override;
    void onDrained() override;
    void handleLine(const std::string& line);
    bool sendDescriptor(int descriptor);

    Owner& owner_;
    transport::Connection connection_;
    std::string line_;
    std::vector<int> pendingDescriptors_;  // wait until all that was sent before is with the kernel
};

}  // namespace poppyscale::control
