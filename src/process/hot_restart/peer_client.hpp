// A blocking client of another process of the same router, for the time before the event loop runs.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>

#include "base/file_descriptor.hpp"
#include "base/time.hpp"

namespace poppyscale::process {

// The other process has not answered in time, or has closed the connection.
struct PeerUnresponsive : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A connection to a Unix socket on which each request waits for its reply.
class PeerClient {
  public:
    // Connects to `path`; each read and write waits for at most `timeout`. Throws std::system_error when it
    // can't connect, and std::runtime_error, here and below, for any other failure.
    PeerClient(const std::string& path, Nanos timeout);

    void write(const nlohmann::json& message);
    // The next message; an error that the other process replies with is thrown.
    nlohmann::json read();
    // The next message's descriptor, as sent by `OperatorSession::passDescriptor`.
    FileDescriptor receiveDescriptor();
    // Ends this side's direction, which the other process sees.
    void shutdownWrite();
    // The connection, for use on an event loop; this object is of no further use.
    FileDescriptor release() { return std::move(socket_); }

  private:
    std::string readPartOfLine();

    FileDescriptor socket_;
};

}  // namespace poppyscale::process
