#include "control/console_connection.hpp"

#include <algorithm>

namespace poppyscale::control {
namespace {

constexpr Nanos kLineTimeout = 8'000 * kMillisecond;
constexpr Nanos kCloseTimeout = 1'000 * kMillisecond;  // time for the operator to read the reply

}  // namespace

ConsoleConnection::ConsoleConnection(transport::EventLoop& loop, transport::BufferPool& pool, Owner& owner)
    : owner_(owner), connection_(loop, pool, *this), timeout_(loop, [this] { owner_.remove(*this); }) {}

void ConsoleConnection::start() {
    timeout_.start(transport::EventLoop::now() + kLineTimeout);
    connection_.setReading(true);
}

void ConsoleConnection::onData(std::string_view bytes) {
    if (isAnswered_) return;  // further bytes are read only to notice when the operator closes
    const auto end = bytes.find('\n');
    line_ += bytes.substr(0, std::min(end, kMaxConsoleLineBytes));
    if (line_.size() >= kMaxConsoleLineBytes) {
        reply({false, "the line is longer than 256 bytes"});
        return;
    }
    if (end == std::string_view::npos) return;
    const ConsoleLine line = readConsoleLine(line_);
    if (line.command)
        reply(owner_.execute(*line.command));
    else
        reply({false, line.problem});
}

void ConsoleConnection::onClosed() { owner_.remove(*this); }

void ConsoleConnection::reply(const ConsoleReply& reply) {
    isAnswered_ = true;
    if (!connection_.write(reply.line())) {
        onClosed();
        return;
    }
    connection_.shutdownWrite();
    timeout_.start(transport::EventLoop::now() + kCloseTimeout);
}

}  // namespace poppyscale::control
