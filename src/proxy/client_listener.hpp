// Accepts client connections, and decides which of them to close.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "proxy/client_connection.hpp"
#include "proxy/drain_schedule.hpp"
#include "proxy/request_budget.hpp"
#include "proxy/request_dispatcher.hpp"
#include "transport/buffer_pool.hpp"
#include "transport/event_loop.hpp"
#include "transport/listener.hpp"

namespace poppyscale::proxy {

// Owns the client connections. Keeps their number and memory within limits by closing some of them,
// and closes all of them while draining. A connection is not closed while a request on it has no
// response, unless the client breaks the protocol or does not read.
class ClientListener : private ClientConnection::Owner {
  public:
    using DrainSchedule = proxy::DrainSchedule;

    // `maxPartialRequestBytes` limits the incomplete requests of all clients. `maxUnreadDuration` is how
    // long a client may leave responses unread.
    ClientListener(transport::EventLoop& loop, transport::BufferPool& buffers, RequestDispatcher& dispatcher,
                   std::size_t maxClients, std::size_t maxPartialRequestBytes, Nanos maxUnreadDuration);
    ~ClientListener() override;
    ClientListener(const ClientListener&) = delete;
    ClientListener& operator=(const ClientListener&) = delete;

    // Returns an empty string, or the system's error.
    std::string listen(const transport::Address& address) { return listener_->listen(address); }
    // As `listen`, on a socket that another process has bound.
    std::string listenOn(int descriptor) { return listener_->adopt(descriptor); }
    // The descriptor of the listening socket; negative without one.
    int descriptor() const { return listener_ ? listener_->descriptor() : -1; }
    // Stops listening and leaves the backlog to another process, which accepts from now on.
    void stopListening() { listener_.reset(); }
    // Accepts no further requests, and rejects those that were read and are held back.
    void rejectHeldRequests();
    // Accepts the connections in the backlog, then stops listening.
    void close();
    bool isClosed() const { return !listener_ && clients_.empty(); }

    // Closes connections by `schedule` from now on.
    void drain(const DrainSchedule& schedule);
    void cancelDrain() { drain_.reset(); }
    // While on standby, health checks of clients fail.
    void setStandby(bool standby) { isStandby_ = standby; }
    void setLimits(std::size_t maxClients, std::size_t maxPartialRequestBytes);
    void setMaxUnreadDuration(Nanos duration) { maxUnreadDuration_ = duration; }

    std::size_t count() const { return clients_.size(); }
    // Called in each event-loop iteration. Closes the connections that are due, and resumes those
    // that used up their share of the previous iteration.
    void runIteration();
    // Called with the system's error when it has no descriptor or memory for another connection.
    std::function<void(std::string_view)> onExhausted;

  private:
    using Position = ClientConnection::List::iterator;

    // ClientConnection::Owner
    bool acceptsRequests(Nanos timeout) const override;
    bool isStandby() const override { return isStandby_; }
    Nanos maxUnreadDuration() const override { return maxUnreadDuration_; }
    std::uint64_t iteration() const override { return iteration_; }
    void onActive(ClientConnection& client) override;
    void onFirstValidRequest() override { ++clientsWithValidRequest_; }
    RequestBudget& requestBudget() override { return requestBudget_; }
    ResponseBudget& responseBudget() override { return dispatcher_.responseBudget(); }
    bool mayHoldInput() const override;
    bool mayReadAhead() const override;
    void awaitMemory(ClientConnection& client) override { awaitingMemory_.push_back(&client); }
    void relieveResponses() override;
    void updatePartialRequestBytes(std::size_t before, std::size_t after) override;
    void deferReading(ClientConnection& client) override { deferred_.push_back(&client); }
    void onDisconnected(ClientConnection& client) override { disconnected_.push_back(&client); }
    void relievePartialRequests(const ClientConnection& writing) override;
    void remove(ClientConnection& client) override { clients_.erase(client.position()); }
    void onDestroyed(ClientConnection& client) override;

    void onAccept(const std::function<bool(transport::Connection&)>& finish);
    void reportExhaustion(std::string_view reason);
    // Whether there is room for one more client; closes another connection if that is necessary.
    bool ensureCapacity();
    Nanos idleTimeout() const;
    // Of the connections that have sent a valid request, the one that has idled longest and beyond
    // the idle timeout; the end of the list if there is none.
    Position longestIdle();
    // Closes the connection unless a response on it is outstanding. Returns whether it was closed.
    bool closeIdle(Position client);
    void closeStalled();
    Position incompleteRequest(const ClientConnection& writing);
    void closeDueConnections();
    void closeAboveIdleShare();
    void removeDisconnected();
    void readDeferred();
    void admitRequests();
    void wakeMemoryWaiters();

    transport::EventLoop& loop_;
    transport::BufferPool& buffers_;
    RequestDispatcher& dispatcher_;
    std::size_t maxClients_;
    std::size_t maxPartialRequestBytes_;
    Nanos maxUnreadDuration_;
    RequestBudget requestBudget_;
    std::size_t partialRequestBytes_ = 0;  // bytes of incomplete or held requests, over all clients
    std::size_t clientsWithValidRequest_ = 0;
    std::optional<DrainSchedule> drain_;
    std::size_t clientsAtDrainStart_ = 0;
    bool isStandby_ = false;
    bool rejectsRequests_ = false;
    std::unique_ptr<transport::Listener> listener_;
    ClientConnection::List clients_;          // the least recently active first
    std::deque<ClientConnection*> deferred_;  // read again with the next iteration
    transport::Timer wakeup_;                 // lets the next poll not wait while `deferred_` is not empty
    // Hold requests or a streamed response until there is memory for them; the longest wait first.
    std::vector<ClientConnection*> awaitingMemory_;
    std::vector<ClientConnection*> disconnected_;  // removed with the next iteration
    Nanos nextDisconnectCheckAt_ = 0;
    Nanos nextStallCheckAt_ = 0;
    Nanos exhaustionReportedAt_ = 0;
    std::uint64_t iteration_ = 1;
};

}  // namespace poppyscale::proxy
