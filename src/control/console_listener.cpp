#include "control/console_listener.hpp"

#include <memory>
#include <utility>

#include "control/listen_error.hpp"

namespace poppyscale::control {

ConsoleListener::ConsoleListener(transport::EventLoop& loop, transport::BufferPool& pool,
                                 std::size_t maxConnections, CommandHandler handler)
    : loop_(loop),
      pool_(pool),
      maxConnections_(maxConnections),
      handler_(std::move(handler)),
      listener_(loop, [this](const auto& finish) { onAccept(finish); }) {}

std::optional<std::string> ConsoleListener::listen(const transport::Address& address) {
    return listenError(listener_.listen(address));
}

std::optional<std::string> ConsoleListener::listenOn(FileDescriptor socket) {
    return listenError(listener_.adopt(socket.release()));
}

void ConsoleListener::onAccept(const std::function<bool(transport::Connection&)>& finish) {
    // The oldest connection has sent no line for longest, and is the least likely to be an
    // operator's.
    if (connections_.size() >= maxConnections_) connections_.removeOldest();
    ConsoleConnection::Owner& owner = *this;
    auto connection = std::make_unique<ConsoleConnection>(loop_, pool_, owner);
    if (!finish(connection->connection())) return;
    connections_.add(std::move(connection)).start();
}

}  // namespace poppyscale::control
