// The front that speaks RESP2 with clients: commands in, answers out in their order.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "protocol/resp.hpp"
#include "routing/core.hpp"
#include "transport/listener.hpp"

namespace poppyscale::routing {

class Client;

class Clients {
  public:
    Clients(transport::Loop& loop, transport::Pool& pool, Core& core, std::size_t most, std::size_t mostHeld,
            Nanos patience);
    ~Clients();

    std::string listen(const transport::Address& at) { return listener_->listen(at); }
    // On a socket that another process has listened on so far.
    std::string listenOn(int descriptor) { return listener_->listenOn(descriptor); }
    int descriptor() const { return listener_ ? listener_->descriptor() : -1; }
    // Another process accepts from now on, also what stands in the backlog.
    void handedOver() { listener_.reset(); }
    void patience(Nanos patience) { patience_ = patience; }
    // Takes what the kernel has accepted, then no more; connections are closed as soon as nothing is owed.
    void close();
    bool closed() const { return closing_ && clients_.empty(); }
    std::size_t count() const { return clients_.size(); }
    // Those that have had their part of the last turn are read again.
    void turn();

  private:
    friend class Client;
    void admit(const std::function<bool(transport::Connection&)>& finish);
    void drop(Client& client);  // which is gone after this
    using Place = std::list<std::unique_ptr<Client>>::iterator;
    bool makeRoom();
    Place idlest();
    // False when `writing` itself had to go.
    bool relieve(const Client& writing);

    transport::Loop& loop_;
    transport::Pool& pool_;
    Core& core_;
    std::size_t most_;
    std::size_t mostHeld_;   // of each of the two below
    Nanos patience_;         // with a client that doesn't read its answers
    std::size_t ready_ = 0;  // bytes of answers that can't go out yet, over all clients
    std::size_t half_ = 0;   // bytes of commands that are not whole yet
    bool closing_ = false;
    std::unique_ptr<transport::Listener> listener_;
    std::list<std::unique_ptr<Client>> clients_;  // the one heard of longest ago comes first
    std::vector<Client*> rested_;                 // not read until the next turn
    std::uint64_t turn_ = 1;
};

}  // namespace poppyscale::routing
