// Where clients connect.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "transport/connection.hpp"

namespace poppyscale::transport {

class Listener {
  public:
    // `admit` gets the connection half made and finishes it with `accept` or `adopt`.
    using Admit = std::function<void(const std::function<bool(Connection&)>& finish)>;

    Listener(Loop& loop, Admit admit);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    // Empty when it listens, else what the system said.
    std::string listen(const Address& at);
    // Takes what stands in the backlog: the kernel has accepted it, so its clients count on an answer.
    void takeBacklog();

  private:
    uv_tcp_t* handle_;
    Admit admit_;
};

}  // namespace poppyscale::transport
