// The listening side of the operators' console.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "base/file_descriptor.hpp"
#include "control/console_command.hpp"
#include "control/console_connection.hpp"
#include "control/session_list.hpp"
#include "transport/listener.hpp"

namespace poppyscale::control {

// Owns the console's listening socket and its connections, each for one line and one reply. The
// number of connections is bounded: a further one replaces the oldest. Runs on the event loop,
// which must outlive it.
class ConsoleListener : private ConsoleConnection::Owner {
  public:
    using CommandHandler = std::function<ConsoleReply(const ConsoleCommand&)>;
    ConsoleListener(transport::EventLoop& loop, transport::BufferPool& pool, std::size_t maxConnections,
                    CommandHandler handler);

    // Listens on `address`; returns the system's error, or nothing on success.
    std::optional<std::string> listen(const transport::Address& address);
    // Listens on a socket that another process has passed on, which already listens.
    std::optional<std::string> listenOn(FileDescriptor socket);
    // The listening socket, which this object still owns.
    int descriptor() const { return listener_.descriptor(); }

  private:
    ConsoleReply execute(const ConsoleCommand& command) override { return handler_(command); }
    void remove(ConsoleConnection& connection) override { connections_.remove(connection); }
    void onAccept(const std::function<bool(transport::Connection&)>& finish);

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    const std::size_t maxConnections_;
    CommandHandler handler_;
    transport::Listener listener_;
    SessionList<ConsoleConnection> connections_;
};

}  // namespace poppyscale::control
