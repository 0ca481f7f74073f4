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

    Listener(Loop& loop, Admit admit, Connection::Kind kind = Connection::Kind::tcp);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    // Empty when it listens, else what the system said.
    std::string listen(const Address& at);
    // A Unix socket that only its owner may open. What a process that has died left at that path goes; a
    // living one's is taken over in one step, so that nobody finds the path empty in between.
    std::string listenAt(const std::string& path);
    // On a socket that another process has bound; it is ours from now on.
    std::string listenOn(int descriptor);
    int descriptor() const;
    // Takes what stands in the backlog: the kernel has accepted it, so its clients count on an answer.
    void takeBacklog();

  private:
    std::string begin(int status);
    union Socket {
        uv_tcp_t tcp;
        uv_pipe_t local;
    };
    uv_handle_t* handle() const { return reinterpret_cast<uv_handle_t*>(socket_); }
    Socket* socket_;
    Admit admit_;
};

}  // namespace poppyscale::transport
