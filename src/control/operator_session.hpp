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

// Reads requests, a line of JSON each, and sends the owner's answers in the same form. The owner
// destroys the session when the peer has closed, or has sent a line longer than the limit.
class OperatorSession : private transport::Connection::Handler {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        // Returns the answer, or null if there is none or it is sent later. May throw
        // nlohmann::json::exception.
        virtual nlohmann::json handle(OperatorSession& session, const nlohmann::json& message) = 0;
        // Destroys `session`.
        virtual void remove(OperatorSession& session) = 0;
    };

    OperatorSession(transport::EventLoop& loop, transport::BufferPool& pool, Owner& owner);

    // The connection that the listener accepts into.
    transport::Connection& connection() { return connection_; }
    // Starts to read.
    void start() { connection_.setReading(true); }
    void send(const nlohmann::json& message);
    // Sends a copy of `descriptor` with one byte, after all that was sent before. The caller owns
    // `descriptor` and must keep it open until then. Returns false if the system refuses to send it
    // now; a later failure closes the connection.
    bool passDescriptor(int descriptor);
    // Whether the peer has closed, though bytes that it sent before may not have been read yet.
    bool hasPeerClosed() const { return connection_.hasPeerClosed(); }
    // Called once after the peer has closed, or the session has been closed for an error; the session
    // is destroyed by then. Not called when the owner destroys the session for another reason.
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
    std::vector<int> pendingDescriptors_;  // sent once the kernel has taken all bytes written before them
};

}  // namespace poppyscale::control
