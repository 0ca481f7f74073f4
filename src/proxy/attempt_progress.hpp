// The phases of an attempt, and the time limit of each.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.hpp"

namespace poppyscale::proxy {

// What an attempt waits for.
enum class AttemptPhase : std::uint8_t {
    awaitingConnection,  // a connection to the server
    sendingRequest,      // the rest of the request's streamed value, from the client or to the server
    awaitingResponse,    // the first byte of the response
    receivingResponse,   // the rest of the response, of which nothing was passed on
    forwardingResponse   // the rest of a value whose first bytes were passed on to the client
};

// Tells at each time which limit holds for an attempt, so that no limit of one phase acts in the next:
//
// | phase              | ends the attempt                                                              |
// | ------------------ | ----------------------------------------------------------------------------- |
// | awaitingConnection | `Deadlines::connection`                                                       |
// | sendingRequest     | `Deadlines::request`, or 5 s in which the server takes nothing                |
// | awaitingResponse   | `Deadlines::responseStart`                                                    |
// | receivingResponse  | `Deadlines::request`                                                          |
// | forwardingResponse | 5 s without a byte while the client reads; 30 s, and 1 s more for each KiB of |
// |                    | the value                                                                     |
//
// A response that is not complete at `Deadlines::request` is given up, however much of it has arrived: its
// client may leave at that time. Only a value whose first bytes were passed on before goes on. Owned by its
// attempt; does no I/O.
class AttemptProgress {
  public:
    struct Deadlines {
        Nanos connection = 0;     // the request must be written by then
        Nanos responseStart = 0;  // the response must have begun by then
        Nanos request = 0;        // the client needs its final response by then
    };

    explicit AttemptProgress(const Deadlines& deadlines) : deadlines_(deadlines) {}

    // The request is being written. `isStreamed`: its value follows in parts.
    void onRequestBegun(bool isStreamed, Nanos now);
    // The server has taken a part of a streamed value. `requestDeadline` replaces `Deadlines::request` and
    // `Deadlines::responseStart`: the client's timeout counts from the last byte that it has sent.
    void onRequestPart(Nanos requestDeadline, Nanos now);
    void onRequestSent(Nanos requestDeadline);
    // `count` bytes of the response have arrived.
    void onResponseBytes(std::size_t count, Nanos now);
    // The first bytes of a value of `length` bytes are being passed on.
    void onForwarding(std::size_t length, Nanos now);
    // The client takes nothing of a response that is passed on, so that nothing is read from the server.
    void pause() { isPaused_ = true; }
    void resume(Nanos now);

    AttemptPhase phase() const { return phase_; }
    std::size_t responseBytes() const { return responseBytes_; }
    // When bytes were last transferred, or reading was resumed.
    Nanos lastProgressAt() const { return lastProgressAt_; }
    // The limit of the present phase.
    Nanos phaseEnd() const;
    // Whether it has passed.
    bool isExpired(Nanos now) const { return now >= phaseEnd(); }

  private:
    Deadlines deadlines_;
    AttemptPhase phase_ = AttemptPhase::awaitingConnection;
    std::size_t responseBytes_ = 0;
    Nanos lastProgressAt_ = 0;
    Nanos forwardingEnd_ = kNever;
    bool isPaused_ = false;
};

}  // namespace poppyscale::proxy
