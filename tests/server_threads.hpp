// A test server that serves all its connections at once.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <thread>
#include <utility>

#include "fixtures.hpp"

namespace poppyscale::test {

// Serves each connection of a server in a thread of its own.
class ServerThreads {
  public:
    using Serve = std::function<void(Socket&)>;
    ServerThreads(TestServer& server, Serve serve) : server_(server), serve_(std::move(serve)) {}
    ~ServerThreads() {
        isStopping_ = true;
        acceptor_.join();
    }

  private:
    void acceptAll() {
        while (!isStopping_) {
            if (server_.isQuiet(20)) continue;
            threads_.emplace_back([this, connection = server_.accept()]() mutable {
                while (!isStopping_)
                    if (!connection.isQuiet(20)) {
                        if (connection.unreadBytes() == 0) return;  // the router has closed it
                        serve_(connection);
                    }
            });
        }
    }
    TestServer& server_;
    Serve serve_;
    std::atomic<bool> isStopping_{false};
    std::list<std::jthread> threads_;
    std::thread acceptor_{[this] { acceptAll(); }};
};

}  // namespace poppyscale::test
