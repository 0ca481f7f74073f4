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

class ClientConnection;

class ClientListener {
  public:
    ClientListener(transport::EventLoop& loop, transport::BufferPool& pool, RequestDispatcher& core,
                   std::size_t most, std::size_t mostHeld, Nanos patience);
    ~ClientListener();

    std::string listen(const transport::Address& at) { return listener_->listen(at); }
    // On a socket that another process has listened on so far.
    std::string listenOn(int descriptor) { return listener_->adopt(descriptor); }
    int descriptor() const { return listener_ ? listener_->descriptor() : -1; }
    // Another process accepts from now on, also what stands in the backlog.
    void stopListening() { listener_.reset(); }
    // How the connections that there are go: each as soon as it was answered and nothing is owed on it, those
    // that idle spread over a time, so that few closes cross a command; then no command is taken any more.
    struct DrainSchedule {
        Nanos since = 0;
        Nanos idleFrom = 0;
        Nanos idleUntil = 0;
        Nanos acceptUntil = 0;
        Nanos deadline = std::numeric_limits<Nanos>::max();  // what may last longer is not taken either
    };
    void drain(const DrainSchedule& how) {
        drain_ = how;
        clientsAtDrainStart_ = clients_.size();
    }
    void cancelDrain() { drain_.reset(); }  // as if nothing had been said of going
    // Whoever asks whether this router wants clients gets a no.
    void setStandby(bool on) { isStandby_ = on; }
    void setLimits(std::size_t most, std::size_t mostHeld) {
        maxClients_ = most;
        maxBufferedBytes_ = mostHeld;
    }
    void setMaxRequestTimeout(Nanos patience) { maxRequestTimeout_ = patience; }
    // Takes what the kernel has accepted, then no more.
    void close();
    bool isClosed() const { return !listener_ && clients_.empty(); }
    std::size_t count() const { return clients_.size(); }
    // Those that have had their part of the last turn are read again.
    void runIteration();
    // The system has nothing left for another connection, for the reason given.
    std::function<void(std::string_view)> onExhausted;

  private:
    friend class ClientConnection;
    void onAccept(const std::function<bool(transport::Connection&)>& finish);
    void remove(ClientConnection& client);  // which is gone after this
    using ConnectionIterator = std::list<std::unique_ptr<ClientConnection>>::iterator;
    // The only way in which a connection is closed that nothing is wrong with. False when it stays.
    bool closeIdle(ConnectionIterator client);
    bool ensureCapacity();
    void exhausted(std::string_view why);
    Nanos idleTimeout() const;
    ConnectionIterator longestIdle();
    // False when `writing` itself had to go.
    bool relieveMemory(const ClientConnection& writing);
    void closeDueConnections();
    void detectDisconnects();
    bool acceptsRequests(Nanos patience = 0) const {
        const Nanos now = transport::EventLoop::now();
        return !drain_ || (now < drain_->acceptUntil && patience <= drain_->deadline - now);
    }

    transport::EventLoop& loop_;
    transport::BufferPool& pool_;
    RequestDispatcher& dispatcher_;
    std::size_t maxClients_;
    std::size_t maxBufferedBytes_;         // of each of the two below
    Nanos maxRequestTimeout_;              // with a client that doesn't read its answers
    std::size_t unsentBytes_ = 0;          // bytes of answers that can't go out yet, over all clients
    std::size_t usefulClients_ = 0;        // clients that have said something right
    std::size_t partialRequestBytes_ = 0;  // bytes of commands that are not whole yet
    std::optional<DrainSchedule> drain_;
    std::size_t clientsAtDrainStart_ = 0;
    bool isStandby_ = false;
    std::unique_ptr<transport::Listener> listener_;
    std::list<std::unique_ptr<ClientConnection>> clients_;  // the one heard of longest ago comes first
    std::vector<ClientConnection*> deferred_;               // not read until the next turn
    std::vector<ClientConnection*> disconnected_;  // seen to have left, to be dropped with the next turn
    Nanos nextCheckAt_ = 0;
    Nanos exhaustionReportedAt_ = 0;
    std::uint64_t iteration_ = 1;
};

}  // namespace poppyscale::proxy
