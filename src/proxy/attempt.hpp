// One attempt of a request at one upstream server.
#pragma once

#include "base/time.hpp"
#include "policy/types.hpp"
#include "protocol/request.hpp"
#include "proxy/body_stream.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::proxy {

class UpstreamConnection;
class UpstreamServer;

// Owned by the request that it belongs to, which also owns the message and outlives the attempt. States:
// waiting for a connection (`connection()` is null), then in flight on one. When the timeout fires, the
// attempt is abandoned at its server.
class Attempt {
  public:
    struct Parameters {
        RequestId requestId = 0;
        int number = 0;               // attempts of a request count from 0
        Nanos startedAt = 0;          // when the attempt was decided on
        Nanos deadline = 0;           // the response must be complete by then
        Nanos latestStart = kNever;   // the request must not be written after this
        RequestBody* body = nullptr;  // the value of a write, where it comes in chunks
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
    // When the attempt started or, of a write that comes in chunks, when its last byte was sent.
    Nanos sentAt() const { return sentAt_; }
    // When the first chunk of a streamed response arrived; 0 before that, and for a response in one part.
    Nanos firstByteAt() const { return firstByteAt_; }
    // Null while the attempt waits for a connection.
    UpstreamConnection* connection() const { return connection_; }

    void attach(UpstreamConnection& connection) { connection_ = &connection; }
    void detach() { connection_ = nullptr; }
    // The value to stream, once; null without one and from the second call on.
    RequestBody* takeBody();
    void onBodySent(Nanos now);
    void onFirstByte(Nanos arrivedAt) { firstByteAt_ = arrivedAt; }
    // Replaces the timeout that was set before; an absolute time.
    void startTimeout(Nanos at) { timeout_.start(at); }
    void stopTimeout() { timeout_.stop(); }

  private:
    const RequestId requestId_;
    const int number_;
    const protocol::Request& message_;
    UpstreamServer& server_;
    const Nanos deadline_;
    const Nanos latestStart_;
    Nanos sentAt_;
    Nanos firstByteAt_ = 0;
    RequestBody* body_;
    UpstreamConnection* connection_ = nullptr;
    transport::Timer timeout_;
};

}  // namespace poppyscale::proxy
