// The new process's side of a hot restart. It runs before the event loop does, so it may block.
#pragma once

#include <sys/types.h>

#include <string>
#include <utility>

#include "base/file_descriptor.hpp"
#include "process/hot_restart/peer_client.hpp"
#include "transport/connection.hpp"

namespace poppyscale::process {

// The listening sockets of the process that serves so far. Owns them until they are taken. The old process
// serves on until `reportReady` has returned.
class InheritedSockets {
  public:
    // Requests the sockets at the operator's socket `path`. Throws std::runtime_error with the reason when
    // the old process does not pass them.
    explicit InheritedSockets(const std::string& path);

    // The clients' listening socket; the caller owns it from then on.
    FileDescriptor takeListener() { return std::move(listener_); }
    // The console's; not open when the old process has none.
    FileDescriptor takeConsole() { return std::move(console_); }
    // Whether clients connect to `address`.
    bool isListeningOn(const transport::Address& address) const;
    // The configuration files as the old process read them.
    const std::string& describedConfig() const { return describedConfig_; }
    // Reports that this process accepts from now on. When this returns the old process has stopped accepting;
    // else it throws std::runtime_error, and the old process serves on.
    void reportReady(pid_t process);
    // Reports why this process will not take over: it may be killed before its own log has it.
    void reportFailure(const std::string& reason) noexcept;

  private:
    PeerClient client_;
    FileDescriptor listener_;
    FileDescriptor console_;
    std::string describedConfig_;
};

}  // namespace poppyscale::process
