// The front that speaks RESP2 with clients: commands in, answers out in their order.
#pragma once

#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "protocol/resp.hpp"
#include "proxy/request_dispatcher.hpp"
#include "transport/listener.hpp"

namespace poppyscale::proxy {

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
    // How the connections that there are go: each as soon as it was answered and nothing is owed on it, those
    // that idle spread over a time, so that few closes cross a command; then no command is taken any more.
    struct Emptying {
        Nanos since = 0;
        Nanos idleFrom = 0;
        Nanos idleUntil = 0;
        Nanos takenUntil = 0;
        Nanos over = std::numeric_limits<Nanos>::max();  // what may last longer is not taken either
    };
    void empty(const Emptying& how) {
        emptying_ = how;
        idleAtFirst_ = clients_.size();
    }
    void stay() { emptying_.reset(); }  // as if nothing had been said of going
    // Whoever asks whether this router wants clients gets a no.
    void standBy(bool on) { standsBy_ = on; }
    void bound(std::size_t most, std::size_t mostHeld) {
        most_ = most;
        mostHeld_ = mostHeld;
    }
    void patience(Nanos patience) { patience_ = patience; }
    // Takes what the kernel has accepted, then no more.
    void close();
    bool closed() const { return !listener_ && clients_.empty(); }
    std::size_t count() const { return clients_.size(); }
    // Those that have had their part of the last turn are read again.
    void turn();
    // The system has nothing left for another connection, for the reason given.
    std::function<void(std::string_view)> tellExhausted;

  private:
    friend class Client;
    void admit(const std::function<bool(transport::Connection&)>& finish);
    void drop(Client& client);  // which is gone after this
    using Place = std::list<std::unique_ptr<Client>>::iterator;
    // The only way in which a connection is closed that nothing is wrong with. False when it stays.
    bool closeIdle(Place client);
    bool makeRoom();
    void exhausted(std::string_view why);
    Nanos keptIdle() const;
    Place idlest();
    // False when `writing` itself had to go.
    bool relieve(const Client& writing);
    void letGo();
    void seeWhoLeft();
    bool takes(Nanos patience = 0) const {
        const Nanos now = transport::Loop::now();
        return !emptying_ || (now < emptying_->takenUntil && patience <= emptying_->over - now);
    }

    transport::Loop& loop_;
    transport::Pool& pool_;
    Core& core_;
    std::size_t most_;
    std::size_t mostHeld_;    // of each of the two below
    Nanos patience_;          // with a client that doesn't read its answers
    std::size_t ready_ = 0;   // bytes of answers that can't go out yet, over all clients
    std::size_t useful_ = 0;  // clients that have said something right
    std::size_t half_ = 0;    // bytes of commands that are not whole yet
    std::optional<Emptying> emptying_;
    std::size_t idleAtFirst_ = 0;
    bool standsBy_ = false;
    std::unique_ptr<transport::Listener> listener_;
    std::list<std::unique_ptr<Client>> clients_;  // the one heard of longest ago comes first
    std::vector<Client*> rested_;                 // not read until the next turn
    std::vector<Client*> left_;                   // seen to have left, to be dropped with the next turn
    Nanos lookAt_ = 0;
    Nanos exhaustionToldAt_ = 0;
    std::uint64_t turn_ = 1;
};

}  // namespace poppyscale::proxy
