// The operators' door: one line to a connection, one line back.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "control/console_command.hpp"
#include "transport/listener.hpp"

namespace poppyscale::control {

class Caller;

class Door {
  public:
    using Answer = std::function<Reply(const Call&)>;
    Door(transport::Loop& loop, transport::Pool& pool, std::size_t mostCallers, Answer answer);
    ~Door();

    // Empty when it listens, else what is wrong.
    std::string listen(const transport::Address& at) { return listener_.listen(at); }
    std::string listenOn(int descriptor) { return listener_.listenOn(descriptor); }
    int descriptor() const { return listener_.descriptor(); }

  private:
    friend class Caller;
    void admit(const std::function<bool(transport::Connection&)>& finish);
    void drop(Caller& caller);  // which is gone after this

    transport::Loop& loop_;
    transport::Pool& pool_;
    std::size_t mostCallers_;
    Answer answer_;
    transport::Listener listener_;
    std::list<std::unique_ptr<Caller>> callers_;  // the oldest first
};

}  // namespace poppyscale::control
