// One attempt of a request at one upstream server.
#pragma once

#include "base/time.hpp"
#include "policy/types.hpp"
#include "protocol/request.hpp"
#include "proxy/attempt_end.hpp"
#include "proxy/body_stream.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::proxy {

class UpstreamConnection;
class UpstreamServer;

// Owned by its request, which also owns the message and outlives the attempt. An attempt first waits for
// a connection (`connection()` is null) and is then in flight on one. When the timeout fires,
// `UpstreamServer::abandon` ends the attempt.
class Attempt {
  public:
    struct Parameters {
        RequestId requestId = 0;
        int number = 0;               // the attempts of a request are numbered from 0
        Nanos startedAt = 0;          // when the attempt was decided on
        Nanos deadline = 0;           // the response must be complete by then, unless a value is streamed
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
    // Null while the attempt waits for a connection.
    UpstreamConnection* connection() const { return connection_; }

    void attach(UpstreamConnection& connection) { connection_ = &connection; }
    void detach() { connection_ = nullptr; }
    // Returns the value to stream; null if there is none, and from the second call on.
    RequestBody* takeBody();
    // The response is due by `deadline`.
    void onBodySent(Nanos now, Nanos deadline);
    void onFirstByte(Nanos arrivedAt) { firstByteAt_ = arrivedAt; }
    // Bytes of the response have arrived.
    void onResponseBytes(std::size_t count, Nanos now);
    std::size_t responseBytes() const { return responseBytes_; }
    Nanos lastResponseByteAt() const { return lastResponseByteAt_; }
    // Why the attempt ended; to be set before `AttemptHandler::onAttemptEnded` is called.
    AttemptEndReason endReason() const { return endReason_; }
    void setEndReason(AttemptEndReason reason) { endReason_ = reason; }
    // Sets the timeout to the absolute time `at`, in place of an earlier one.
    void startTimeout(Nanos at) { timeout_.start(at); }
    void stopTimeout() { timeout_.stop(); }

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
    std::size_t responseBytes_ = 0;
    Nanos lastResponseByteAt_ = 0;
    AttemptEndReason endReason_ = AttemptEndReason::responded;
    RequestBody* body_;
    UpstreamConnection* connection_ = nullptr;
    transport::Timer timeout_;
};

}  // namespace poppyscale::proxy
