// The memory of responses: those that are being read from servers, and those that wait on clients'
// connections.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

namespace poppyscale::proxy {

// What one client's connection takes of the budget.
struct ResponseUsage {
    std::size_t waitingBytes = 0;     // responses that wait for an earlier response or for the client
    std::size_t unreadBytes = 0;      // of `waitingBytes`, those that wait because the client does not read
    std::size_t collectedBytes = 0;   // streamed responses that are kept until they are whole
    std::size_t pendingRequests = 0;  // requests behind another one whose response is still to come
};

// Limits the responses that wait on all clients' connections together, and separately the streamed ones that
// are collected and the incomplete ones. While clients read slowly, responses are read from their servers no
// faster than clients take them: `mayRead` is false until they have taken some. Reserves memory for a request
// that is behind another one before it is forwarded, since its response has to be kept until the earlier one
// is sent. Responses differ in size, so the reservation is a recent maximum that decays, and an eighth of the
// capacity is not reserved; a sudden change can still exceed the capacity, which `isExceeded` reports. The
// first request of a connection needs no reservation.
class ResponseBudget {
  public:
    // `capacity` is in bytes, for waiting responses; half as many more are for collected ones, and as many
    // again for incomplete ones.
    explicit ResponseBudget(std::size_t capacity) : capacity_(capacity) {}
    void setCapacity(std::size_t capacity) { capacity_ = capacity; }

    // The usage of one connection has changed.
    void update(const ResponseUsage& before, const ResponseUsage& after) {
        const bool isReleased = after.waitingBytes < before.waitingBytes ||
                                after.collectedBytes < before.collectedBytes ||
                                after.pendingRequests < before.pendingRequests;
        hasReleased_ = hasReleased_ || isReleased;
        waitingBytes_ = waitingBytes_ - before.waitingBytes + after.waitingBytes;
        unreadBytes_ = unreadBytes_ - before.unreadBytes + after.unreadBytes;
        collectedBytes_ = collectedBytes_ - before.collectedBytes + after.collectedBytes;
        pendingRequests_ = pendingRequests_ - before.pendingRequests + after.pendingRequests;
    }
    // A response of `bytes` has arrived.
    void recordResponse(std::size_t bytes) {
        const std::size_t decay = expectedBytes_ / kDecayDivisor;
        expectedBytes_ = std::max({bytes, expectedBytes_ - decay, kMinExpectedBytes});
    }
    // Whether one more request that is behind another one may be forwarded.
    bool hasCapacity() const {
        const std::size_t reservable = capacity_ - capacity_ / kUnreservedDivisor;
        return waitingBytes_ + (pendingRequests_ + 1) * expectedBytes_ <= reservable;
    }
    // Whether a streamed response of `bytes` may be collected now, or once others have been sent.
    bool mayCollect(std::size_t bytes) const { return collectedBytes_ + bytes <= capacity_ / 2; }
    bool mayCollectLater(std::size_t bytes) const { return bytes <= capacity_ / 2; }
    // The bytes of an incomplete response have changed, with those that are reserved for its rest.
    void updateIncomplete(std::size_t before, std::size_t after) {
        incompleteBytes_ = incompleteBytes_ - before + after;
    }
    std::size_t incompleteBytes() const { return incompleteBytes_; }
    // Whether `bytes` more of incomplete responses may be read.
    bool mayRead(std::size_t bytes) const {
        const bool isAwaitingClients = unreadBytes_ > capacity_ / kUnreadShareDivisor;
        if (isAwaitingClients && waitingBytes_ + incompleteBytes_ + bytes > capacity_) return false;
        return incompleteBytes_ + bytes <= capacity_ / 2;
    }
    // Whether waiting responses leave little memory for further ones, and clients that don't read are a cause
    // of it: responses that wait for an earlier one do so until that has been read from its server.
    bool isNearlyExceeded() const {
        return waitingBytes_ > capacity_ - capacity_ / kReadReserveDivisor &&
               unreadBytes_ > capacity_ / kUnreadShareDivisor;
    }
    // Whether the usage of a connection has decreased since the last call.
    bool takeReleased() { return std::exchange(hasReleased_, false); }
    bool isExceeded() const { return waitingBytes_ > capacity_; }

  private:
    static constexpr std::size_t kMaxBufferedResponse = 64 * 1024;  // longer values are streamed
    static constexpr std::size_t kMinExpectedBytes = 512;           // covers a request's own objects
    static constexpr std::size_t kDecayDivisor = 64;
    static constexpr std::size_t kUnreservedDivisor = 8;
    // The part of the capacity for responses whose reading has begun before memory was short.
    static constexpr std::size_t kReadReserveDivisor = 4;
    static constexpr std::size_t kUnreadShareDivisor = 4;

    std::size_t capacity_;
    std::size_t waitingBytes_ = 0;
    std::size_t unreadBytes_ = 0;
    std::size_t collectedBytes_ = 0;
    std::size_t incompleteBytes_ = 0;
    std::size_t pendingRequests_ = 0;
    bool hasReleased_ = false;
    std::size_t expectedBytes_ = kMaxBufferedResponse;
};

}  // namespace poppyscale::proxy
