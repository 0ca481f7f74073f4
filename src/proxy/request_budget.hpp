// The memory of requests that are being read from clients.
#pragma once

#include <cstddef>
#include <deque>

namespace poppyscale::proxy {

class ClientConnection;

// A request that has announced more than `kUnreservedBytes` is read on only with a reservation for all that
// it has announced, so that no two wait for each other's memory. Without one its connection is not read, so
// that the client is slowed down, and waits in the order of arrival. A request that the kernel has completely
// needs its memory only for a moment and goes before those that are still being sent, whose clients may be
// slow. Owns no connection.
class RequestBudget {
  public:
    // What each connection may hold of an incomplete request without a reservation, in bytes.
    static constexpr std::size_t kUnreservedBytes = 4 * 1024;

    // `capacity` is in bytes.
    explicit RequestBudget(std::size_t capacity) : capacity_(capacity) {}
    void setCapacity(std::size_t capacity) { capacity_ = capacity; }

    // Raises the reservation of a connection by `bytes`; false while there is no memory or others wait for
    // it.
    bool tryReserve(std::size_t bytes) { return waiting_.empty() && take(bytes); }
    void release(std::size_t bytes) { reservedBytes_ -= bytes; }
    // `connection` wants to raise its reservation by `bytes` as soon as there is memory.
    void await(ClientConnection& connection, std::size_t bytes) { waiting_.push_back({&connection, bytes}); }
    // As `tryReserve` for a request that the kernel has completely, whether or not others wait. The
    // connection does not wait any more if this returns true.
    bool tryReserveComplete(const ClientConnection& connection, std::size_t bytes) {
        const std::size_t capacity = capacity_ + capacity_ / kCompleteDivisor;
        if (reservedBytes_ > 0 && reservedBytes_ + bytes > capacity) return false;
        reservedBytes_ += bytes;
        cancel(connection);
        return true;
    }
    void cancel(const ClientConnection& connection) {
        std::erase_if(waiting_, [&](const Waiting& entry) { return entry.connection == &connection; });
    }
    // Raises the reservation of the connection that has waited longest, and returns it; null if none waits or
    // there is no memory.
    ClientConnection* admitNext() {
        if (waiting_.empty() || !take(waiting_.front().bytes)) return nullptr;
        ClientConnection* const connection = waiting_.front().connection;
        waiting_.pop_front();
        return connection;
    }

  private:
    // The part (1/n) of the capacity that complete requests may take beside it.
    static constexpr std::size_t kCompleteDivisor = 2;

    struct Waiting {
        ClientConnection* connection;
        std::size_t bytes;
    };

    // A request that is longer than the whole capacity gets its reservation once there is no other.
    bool take(std::size_t bytes) {
        if (reservedBytes_ > 0 && reservedBytes_ + bytes > capacity_) return false;
        reservedBytes_ += bytes;
        return true;
    }

    std::size_t capacity_;
    std::size_t reservedBytes_ = 0;
    std::deque<Waiting> waiting_;
};

}  // namespace poppyscale::proxy
