// The new process's side of a hot restart. Runs before the event loop, so it may block.
#pragma once

#include <sys/types.h>

#include <string>
#include <utility>

#include "base/file_descriptor.hpp"
#include "process/hot_restart/peer_client.hpp"
#include "transport/connection.hpp"

namespace poppyscale::process {

// The listening sockets of the old process. Owns them until they are taken. The old process serves
// until `reportReady` has returned.
class InheritedSockets {
  public:
    // Requests the sockets at the operator's socket `path`. Throws std::runtime_error with the reason when
    // the old process does not pass them.
    explicit InheritedSockets(const std::string& path);

    // Passes the ownership of the clients' listening socket to the caller.
    FileDescriptor takeListener() { return std::move(listener_); }
    // The same for the console's listening socket; not open when the old process has no console.
    FileDescriptor takeConsole() { return std::move(console_); }
    // Whether the clients' listening socket is bound to `address`.
    bool isListeningOn(const transport::Address& address) const;
    // The content of the configuration files as read by the old process.
    const std::string& describedConfig() const { return describedConfig_; }
    // Reports that this process is ready to accept clients. When this returns, the old process has
    // stopped accepting. Throws std::runtime_error on failure; the old process then continues to
    // serve.
    void reportReady(pid_t process);
    // Reports why this process will not take over; this process may be killed before it can log the
    // reason.
    void reportFailure(const std::string& reason) noexcept;

  private:
    PeerClient client_;
    FileDescriptor listener_;
    FileDescriptor console_;
    std::string describedConfig_;
};

}  // namespace poppyscale::process
