// The operators' door: one line to a connection, one line back.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "control/console_command.hpp"
#include "transport/listener.hpp"

namespace poppyscale::control {

class ConsoleConnection;

class ConsoleListener {
  public:
    using CommandHandler = std::function<ConsoleReply(const ConsoleCommand&)>;
    ConsoleListener(transport::EventLoop& loop, transport::BufferPool& pool, std::size_t mostCallers,
                    CommandHandler answer);
    ~ConsoleListener();

    // Empty when it listens, else what is wrong.
    std::string listen(const transport::Address& at) { return listener_.listen(at); }
    std::string listenOn(int descriptor) { return listener_.adopt(descriptor); }
    int descriptor() const { return listener_.descriptor(); }

  private:
    friend class ConsoleConnection;
    void admit(const std::function<bool(transport::Connection&)>& finish);
    void drop(ConsoleConnection& caller);  // which is gone after this

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    std::size_t mostCallers_;
    CommandHandler answer_;
    transport::Listener listener_;
    std::list<std::unique_ptr<ConsoleConnection>> callers_;  // the oldest first
};

}  // namespace poppyscale::control
