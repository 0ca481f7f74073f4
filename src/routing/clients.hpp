// The front that speaks RESP2 with clients: commands in, answers out in their order.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>

#include "protocol/resp.hpp"
#include "routing/core.hpp"
#include "transport/listener.hpp"

namespace poppyscale::routing {

class Client;

class Clients {
  public:
    Clients(transport::Loop& loop, transport::Pool& pool, Core& core, std::size_t most, std::size_t mostReady,
            Nanos patience);
    ~Clients();

    std::string listen(const transport::Address& at) { return listener_->listen(at); }
    // Takes what the kernel has accepted, then no more; connections are closed as soon as nothing is owed.
    void close();
    bool closed() const { return closing_ && clients_.empty(); }
    std::size_t count() const { return clients_.size(); }

  private:
    friend class Client;
    void admit(const std::function<bool(transport::Connection&)>& finish);
    void drop(Client& client);  // which is gone after this
    // False when `writing` itself had to go.
    bool relieve(const Client& writing);

    transport::Loop& loop_;
    transport::Pool& pool_;
    Core& core_;
    std::size_t most_;
    std::size_t mostReady_;
    Nanos patience_;         // with a client that neither sends nor reads what it should
    std::size_t ready_ = 0;  // bytes of answers that can't go out yet, over all clients
    bool closing_ = false;
    std::unique_ptr<transport::Listener> listener_;
    std::list<std::unique_ptr<Client>> clients_;  // the one heard of longest ago comes first
};

}  // namespace poppyscale::routing
