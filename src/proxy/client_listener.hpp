// Accepts clients, and decides which of their connections stay.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "proxy/client_connection.hpp"
#include "proxy/drain_schedule.hpp"
#include "proxy/request_dispatcher.hpp"
#include "transport/buffer_pool.hpp"
#include "transport/event_loop.hpp"
#include "transport/listener.hpp"

namespace poppyscale::proxy {

// Owns the clients' connections. Keeps their number and memory within limits, by closing those that are of
// least use, and closes them all while draining. Guarantees that a connection on which nothing is wrong is
// not closed while a request on it has no response.
class ClientListener : private ClientConnection::Owner {
  public:
    using DrainSchedule = proxy::DrainSchedule;

    // `maxBufferedBytes` bounds responses that can't be written and, apart from them, incomplete requests;
    // `maxRequestTimeout` is for how long a client may leave responses unread.
    ClientListener(transport::EventLoop& loop, transport::BufferPool& buffers, RequestDispatcher& dispatcher,
                   std::size_t maxClients, std::size_t maxBufferedBytes, Nanos maxRequestTimeout);
    ~ClientListener() override;
    ClientListener(const ClientListener&) = delete;
    ClientListener& operator=(const ClientListener&) = delete;

    // Both return an empty text, or what the system said.
    std::string listen(const transport::Address& address) { return listener_->listen(address); }
    // On a socket that another process has bound.
    std::string listenOn(int descriptor) { return listener_->adopt(descriptor); }
    // Below 0 when it does not listen.
    int descriptor() const { return listener_ ? listener_->descriptor() : -1; }
    // Leaves the socket's backlog to another process, which accepts from now on.
    void stopListening() { listener_.reset(); }
    // Accepts what is in the backlog, then no more.
    void close();
    bool isClosed() const { return !listener_ && clients_.empty(); }

    // Closes connections by that schedule from now on.
    void drain(const DrainSchedule& schedule);
    void cancelDrain() { drain_.reset(); }
    // While on standby, health checks of clients fail.
    void setStandby(bool standby) { isStandby_ = standby; }
    void setLimits(std::size_t maxClients, std::size_t maxBufferedBytes);
    void setMaxRequestTimeout(Nanos timeout) { maxRequestTimeout_ = timeout; }

    std::size_t count() const { return clients_.size(); }
    // Removes what is due, and reads the connections that have used their share of the last iteration.
    void runIteration();
    // The system has nothing left for another connection, for the reason given.
    std::function<void(std::string_view)> onExhausted;

  private:
    using Position = ClientConnection::List::iterator;

    // As the owner of the connections.
    bool acceptsRequests(Nanos timeout) const override;
    bool isStandby() const override { return isStandby_; }
    Nanos maxRequestTimeout() const override { return maxRequestTimeout_; }
    std::uint64_t iteration() const override { return iteration_; }
    void onActive(ClientConnection& client) override;
    void onUseful() override { ++usefulClients_; }
    void updateUnsentBytes(std::size_t before, std::size_t after) override;
    void updatePartialRequestBytes(std::size_t before, std::size_t after) override;
    void deferReading(ClientConnection& client) override { deferred_.push_back(&client); }
    void onDisconnected(ClientConnection& client) override { disconnected_.push_back(&client); }
    bool relieveMemory(const ClientConnection& writing) override;
    void remove(ClientConnection& client) override { clients_.erase(client.position()); }
    void onDestroyed(ClientConnection& client) override;

    void onAccept(const std::function<bool(transport::Connection&)>& finish);
    void reportExhaustion(std::string_view reason);
    // Whether one more client has a place; closes a connection of less use if it must.
    bool ensureCapacity();
    Nanos idleTimeout() const;
    // The useful connection that has idled longest, past the idle timeout; the end if there is none.
    Position longestIdle();
    // Closes a connection on which nothing is wrong. False when it stays.
    bool closeIdle(Position client);
    bool isOverMemory() const;
    Position largestMemoryUser();
    void closeDueConnections();
    void closeAboveIdleShare();
    void removeDisconnected();
    void readDeferred();

    transport::EventLoop& loop_;
    transport::BufferPool& buffers_;
    RequestDispatcher& dispatcher_;
    std::size_t maxClients_;
    std::size_t maxBufferedBytes_;
    Nanos maxRequestTimeout_;
    std::size_t unsentBytes_ = 0;          // of responses, over all clients
    std::size_t partialRequestBytes_ = 0;  // of incomplete requests, over all clients
    std::size_t usefulClients_ = 0;        // that have sent a valid request
    std::optional<DrainSchedule> drain_;
    std::size_t clientsAtDrainStart_ = 0;
    bool isStandby_ = false;
    std::unique_ptr<transport::Listener> listener_;
    ClientConnection::List clients_;               // the least recently active first
    std::vector<ClientConnection*> deferred_;      // read again with the next iteration
    std::vector<ClientConnection*> disconnected_;  // removed with the next iteration
    Nanos nextDisconnectCheckAt_ = 0;
    Nanos exhaustionReportedAt_ = 0;
    std::uint64_t iteration_ = 1;
};

}  // namespace poppyscale::proxy
