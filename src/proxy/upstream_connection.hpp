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

// Carries one attempt at a time: responses come in order, so a second request would only wait behind a slow
// one.
//
//     connecting --> idle <--> busy
//
// Each state may end in the removal of the connection. Whatever ends it removes it from its owner, which
// destroys it within that call: functions that may do so say so, and nothing of the object is used after it.
class UpstreamConnection : private transport::Connection::Handler, private BodySource, private BodySink {
  public:
    // The server that the connection leads to.
    class Owner {
      public:
        virtual ~Owner() = default;
        // Where it is listed now; none if it has no usable address.
        virtual const std::optional<transport::Address>& address() const = 0;
        virtual const std::string& host() const = 0;
        // Whether requests may be sent to it.
        virtual bool isUsable() const = 0;
        // Bytes came from it, or a connection was established.
        virtual void onActivity() = 0;
        // Takes the attempt that has waited longest for a connection; null if none waits.
        virtual Attempt* takeNextWaiting() = 0;
        // Destroys the connection.
        virtual void remove(UpstreamConnection& connection) = 0;
    };

    UpstreamConnection(Owner& owner, ConnectionPool& pool, const transport::Address& address, bool isOrigin);
    // Aborts a response and cancels a value that are being streamed.
    ~UpstreamConnection() override;

    // Begins to connect. False when that failed at once.
    bool open();
    // Removes the connection, and fails the attempt that has waited longest.
    void onConnectFailed();
    // Writes the request of an attempt; only while idle. May remove the connection.
    void start(Attempt& attempt);
    // Parts with the attempt in flight; the caller removes the connection or makes it idle. Null without one.
    Attempt* releaseAttempt();

    bool isConnecting() const { return state_ == State::connecting; }
    bool isIdle() const { return state_ == State::idle; }
    bool isBusy() const { return state_ == State::busy; }
    // Neither bytes nor its end have arrived on it unread.
    bool isQuiet() const { return connection_.isIdle(); }
    // Whether the request's last byte is with the kernel: before that it can't have been executed.
    bool isWritten() const { return connection_.unsentBytes() == 0 && requestBodyLeft_ == 0; }
    // It leads to an earlier address, or to a server that must get nothing new.
    bool isStale() const;
    Nanos idleSince() const { return idleSince_; }

  private:
    enum class State : std::uint8_t {
        connecting,
        idle,      // open, without an attempt
        busy,      // open, with an attempt in flight
        releasing  // its attempt was taken from it, until it is idle again or removed
    };

    void onConnected(bool success) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;
    void onDrained() override;
    void onTimer();

    // As the source of a streamed response.
    void resume() override;
    void cancel() override;
    // As the sink of a streamed request body.
    FlowControl onChunk(std::string_view bytes) override;
    void onAborted() override;

    // False when the connection was removed.
    bool forwardChunk(std::size_t length, std::string_view bytes);
    void bufferBytes(std::size_t bytes);
    void extendTimeout();

    // Transitions.
    void becomeIdle();
    // Ends the attempt with a response, and keeps the connection only if that is safe.
    void endAttempt(protocol::AttemptResponse response, bool isReusable);
    // Removes the connection, and ends its attempt.
    void breakOff(AttemptOutcome outcome);
    // Removes the connection, and ends an attempt that it does not carry; none if null.
    void removeAndEnd(Attempt* attempt, AttemptOutcome outcome);

    Owner& owner_;
    ConnectionPool& pool_;
    const transport::Address address_;
    transport::Connection connection_;
    transport::Timer timer_;  // connecting: the connect timeout; idle: the idle timeout
    std::unique_ptr<UpstreamCodec> codec_;
    State state_ = State::connecting;
    Attempt* attempt_ = nullptr;
    BodySink* responseSink_ = nullptr;  // of a streamed response, until it has all of it
    std::size_t responseBodyLeft_ = 0;
    RequestBody* requestBody_ = nullptr;  // that is being streamed, until all of it came
    std::size_t requestBodyLeft_ = 0;
    Nanos idleSince_ = 0;
    std::size_t bufferedBytes_ = 0;  // of an incomplete response
};

}  // namespace poppyscale::proxy
