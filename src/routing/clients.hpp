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
    Clients(transport::Loop& loop, transport::Pool& pool, Core& core, std::size_t most);
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

    transport::Loop& loop_;
    transport::Pool& pool_;
    Core& core_;
    std::size_t most_;
    bool closing_ = false;
    std::unique_ptr<transport::Listener> listener_;
    std::list<std::unique_ptr<Client>> clients_;  // the one heard of longest ago comes first
};

}  // namespace poppyscale::routing
