// One connection to a cache server or to the origin.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "protocol/attempt_message.hpp"
#include "proxy/attempt.hpp"
#include "proxy/body_stream.hpp"
#include "proxy/connection_pool.hpp"
#include "proxy/upstream_codec.hpp"
#include "transport/connection.hpp"

namespace poppyscale::proxy {

// Carries one attempt at a time: responses come in order, so a second request would wait behind a slow
// first one.
//
//     connecting --> idle --> busy --> coolingDown --> idle
//
// Nothing in a response names its request. A server may send a second copy of a response some
// milliseconds late, which would be taken for the response to the next request on the connection. So no
// request is written before a fixed time has passed since the last response; bytes that arrive while no
// attempt is in flight close the connection.
//
// From each state the connection may be removed: it calls `Owner::remove`, which destroys it within that
// call. Functions that may remove the connection say so; the object must not be used afterwards.
class UpstreamConnection : private transport::Connection::Handler, private BodySource, private BodySink {
  public:
    // The server at the other end of the connection.
    class Owner {
      public:
        virtual ~Owner() = default;
        // The server's address in the latest endpoint list; none if the list has no valid one.
        virtual const std::optional<transport::Address>& address() const = 0;
        virtual const std::string& host() const = 0;
        // Whether requests may be sent to the server.
        virtual bool isUsable() const = 0;
        // The server sent bytes, or a connection to it was established.
        virtual void onActivity() = 0;
        // Takes the attempt that has waited longest for a connection; null if none waits.
        virtual Attempt* takeNextWaiting() = 0;
        // Destroys the connection.
        virtual void remove(UpstreamConnection& connection) = 0;
    };

    UpstreamConnection(Owner& owner, ConnectionPool& pool, const transport::Address& address, bool isOrigin);
    // Aborts the response and cancels the request body that are being streamed, if any.
    ~UpstreamConnection() override;

    // Starts to connect; false if that failed immediately.
    bool open();
    // Removes the connection, and fails the attempt that has waited longest.
    void onConnectFailed();
    // Writes the request of an attempt. The connection must be reusable; it may be removed.
    void start(Attempt& attempt);
    // Detaches and returns the attempt in flight; null without one. The caller must then remove the
    // connection or begin its cooldown.
    Attempt* releaseAttempt();

    bool isConnecting() const { return state_ == State::connecting; }
    // Whether no attempt is in flight on the open connection.
    bool isIdle() const { return state_ == State::idle || state_ == State::coolingDown; }
    // Whether a request may be written.
    bool isReusable() const { return state_ == State::idle; }
    bool isBusy() const { return state_ == State::busy; }
    // Whether neither unread bytes nor the end of the stream have arrived.
    bool isInputEmpty() const { return connection_.isIdle(); }
    // Whether the kernel has taken the request's last byte; before that the server can't execute it.
    bool isWritten() const { return connection_.unsentBytes() == 0 && requestBodyLeft_ == 0; }
    // Whether the connection must get no further request: it leads to an earlier address of the server,
    // or the server is not usable.
    bool isStale() const;
    Nanos idleSince() const { return idleSince_; }
    // Whether reading of the response has stopped at some time for want of memory.
    bool wasReadDelayed() const { return wasReadDelayed_; }
    // Reads on if there is memory for the rest of the response; else returns false.
    bool tryRead();

  private:
    enum class State : std::uint8_t {
        connecting,
        idle,         // open, without an attempt
        busy,         // open, with an attempt in flight
        releasing,    // the attempt was detached; the connection cools down or is removed next
        coolingDown,  // open, without an attempt; a second copy of its last response may still arrive
    };

    void onConnected(bool success) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;
    void onDrained() override;
    void onTimer();

    // BodySource of a streamed response.
    void resume() override;
    void cancel() override;
    void expire() override;
    // BodySink of a streamed request body.
    FlowControl onChunk(std::string_view bytes) override;
    void onAborted() override;

    // Passes a chunk of a streamed response to the client. False when the connection was removed.
    bool forwardChunk(std::size_t length, std::string_view bytes);
    // Reserves memory for an incomplete response. Without it, stops reading until the pool has some.
    void reserveResponse();
    void setReservedBytes(std::size_t bytes);
    void releaseResponse();
    // By when the client has to get the response to a write whose value is being sent.
    Nanos requestDeadline() const;

    // Transitions.
    void becomeIdle();
    void beginCooldown();
    // Ends the attempt with a response. The connection cools down if it can be reused, else is removed.
    void endAttempt(protocol::AttemptResponse response, bool isReusable, AttemptEndReason reason);
    // Removes the connection, and ends its attempt.
    void breakOff(AttemptOutcome outcome, AttemptEndReason reason);
    // Removes the connection, and ends `attempt`, which is not attached to it any more; null for none.
    void removeAndEnd(Attempt* attempt, AttemptOutcome outcome, AttemptEndReason reason);

    Owner& owner_;
    ConnectionPool& pool_;
    const transport::Address address_;
    transport::Connection connection_;
    transport::Timer timer_;  // connecting: the connect timeout; coolingDown: its end; idle: the idle timeout
    std::unique_ptr<UpstreamCodec> codec_;
    State state_ = State::connecting;
    Attempt* attempt_ = nullptr;
    // Receiver of a streamed response; null once all of it was delivered.
    BodySink* responseSink_ = nullptr;
    std::size_t responseBodyLeft_ = 0;
    // Request body that is being streamed; null once its last chunk has arrived.
    RequestBody* requestBody_ = nullptr;
    std::size_t requestBodyLeft_ = 0;
    Nanos idleSince_ = 0;
    std::size_t reservedBytes_ = 0;  // of an incomplete response
    bool isAwaitingRead_ = false;
    bool wasReadDelayed_ = false;
};

}  // namespace poppyscale::proxy
