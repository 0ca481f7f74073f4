// One attempt of a request at one upstream server.
#pragma once

#include "base/time.hpp"
#include "policy/types.hpp"
#include "protocol/request.hpp"
#include "proxy/attempt_end.hpp"
#include "proxy/attempt_progress.hpp"
#include "proxy/body_stream.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::proxy {

class UpstreamConnection;
class UpstreamServer;

// Owned by its request, which also owns the message and outlives the attempt. An attempt first waits for
// a connection (`connection()` is null) and is then in flight on one. `AttemptProgress` tells which time
// limit holds; when it passes, `UpstreamServer::onTimeLimit` is called.
class Attempt {
  public:
    struct Parameters {
        RequestId requestId = 0;
        int number = 0;               // the attempts of a request are numbered from 0
        Nanos startedAt = 0;          // when the attempt was decided on
        Nanos deadline = 0;           // the response must have begun by then
        Nanos requestDeadline = 0;    // when the client needs its final response; not before `deadline`
        Nanos latestStart = kNever;   // the request must not be written after this
        RequestBody* body = nullptr;  // the value of a write if it is streamed
    };

    Attempt(transport::EventLoop& loop, const protocol::Request& message, UpstreamServer& server,
            const Parameters& parameters);
    Attempt(const Attempt&) = delete;
    Attempt& operator=(const Attempt&) = delete;

    RequestId requestId() const { return requestId_; }
    int number() const { return number_; }
    const protocol::Request& message() const { return message_; }
    UpstreamServer& server() const { return server_; }
    Nanos deadline() const { return deadline_; }
    Nanos latestStart() const { return latestStart_; }
    Nanos startedAt() const { return startedAt_; }
    // When the attempt was decided on or, for a streamed write, when its last byte was sent.
    Nanos sentAt() const { return sentAt_; }
    // When the first chunk of a streamed response arrived; 0 before that, and if it is not streamed.
    Nanos firstByteAt() const { return firstByteAt_; }
    const AttemptProgress& progress() const { return progress_; }
    // Null while the attempt waits for a connection.
    UpstreamConnection* connection() const { return connection_; }

    void attach(UpstreamConnection& connection) { connection_ = &connection; }
    void detach() { connection_ = nullptr; }
    // Returns the value to stream; null if there is none, and from the second call on.
    RequestBody* takeBody();
    void onFirstByte(Nanos arrivedAt) { firstByteAt_ = arrivedAt; }

    // As the functions of `AttemptProgress`; the time limit is adjusted.
    void onRequestBegun(bool isStreamed);
    void onRequestPart(Nanos requestDeadline);
    void onRequestSent(Nanos requestDeadline);
    void onResponseBytes(std::size_t count);
    void onForwarding(std::size_t length);
    void pause();
    void resume();

    // Starts or adjusts the timer for the time limit of the present phase.
    void startTimeout();
    void stopTimeout() { timeout_.stop(); }

    // Why the attempt ended; to be set before `AttemptHandler::onAttemptEnded` is called.
    AttemptEndReason endReason() const { return endReason_; }
    void setEndReason(AttemptEndReason reason) { endReason_ = reason; }

  private:
    const RequestId requestId_;
    const int number_;
    const protocol::Request& message_;
    UpstreamServer& server_;
    const Nanos startedAt_;
    const Nanos deadline_;
    const Nanos latestStart_;
    Nanos sentAt_;
    Nanos firstByteAt_ = 0;
    AttemptProgress progress_;
    AttemptEndReason endReason_ = AttemptEndReason::responded;
    RequestBody* body_;
    UpstreamConnection* connection_ = nullptr;
    transport::Timer timeout_;
};

}  // namespace poppyscale::proxy
