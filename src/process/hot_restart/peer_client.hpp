// A blocking client of another process of the same router, used before the event loop runs.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>

#include "base/file_descriptor.hpp"
#include "base/time.hpp"

namespace poppyscale::process {

// The other process has not answered within the timeout or has closed the connection.
struct PeerUnresponsive : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A connection to a Unix socket on which each request waits for its reply.
class PeerClient {
  public:
    // Connects to `path`; each read and write waits for at most `timeout`. Throws std::system_error
    // when the connection can't be established. All functions throw std::runtime_error for any
    // other failure.
    PeerClient(const std::string& path, Nanos timeout);

    void write(const nlohmann::json& message);
    // Reads the next message. Throws std::runtime_error with the text of the other process when it
    // is an error reply.
    nlohmann::json read();
    // Receives a descriptor that was sent by `OperatorSession::passDescriptor`.
    FileDescriptor receiveDescriptor();
    // Shuts down the sending direction; the other process sees the end of the connection.
    void shutdownWrite();
    // Passes the connection to the caller, for use on an event loop; this object must not be used
    // afterwards.
    FileDescriptor release() { return std::move(socket_); }

  private:
    std::string readPartOfLine();

    FileDescriptor socket_;
};

}  // namespace poppyscale::process
