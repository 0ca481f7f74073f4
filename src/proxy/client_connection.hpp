// One client's connection: its requests in, their responses out in the same order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.hpp"
#include "protocol/request.hpp"
#include "protocol/resp.hpp"
#include "proxy/peer_liveness.hpp"
#include "proxy/pipelined_request.hpp"
#include "proxy/request_dispatcher.hpp"
#include "proxy/request_pipeline.hpp"
#include "proxy/streamed_write.hpp"
#include "transport/buffer_pool.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::proxy {

// Reads requests, passes them to the dispatcher, and writes the responses. Stops reading while too much is
// outstanding, and removes itself when the client breaks a limit of time.
//
//     open --> closing --> lingering
//
// closing: the last response is known, and nothing more is parsed; lingering: all was written, and the client
// has a moment to read it. From each state the connection may be removed: its owner destroys it within the
// call of `Owner::remove`, and nothing of the object is used after that. Functions that may come to this and
// go on afterwards return `Existence`.
class ClientConnection : private transport::Connection::Handler,
                         private PipelinedRequest::Owner,
                         private StreamedWrite::Owner {
  public:
    using List = std::list<std::unique_ptr<ClientConnection>>;

    // The listener that the connection was accepted on.
    class Owner {
      public:
        virtual ~Owner() = default;
        // Whether a request is accepted whose client waits up to `timeout`.
        virtual bool acceptsRequests(Nanos timeout) const = 0;
        // Whether health checks are to fail.
        virtual bool isStandby() const = 0;
        // For which a client may leave responses unread.
        virtual Nanos maxRequestTimeout() const = 0;
        // Counts the iterations of the event loop.
        virtual std::uint64_t iteration() const = 0;

        // The client sent something or got a response.
        virtual void onActive(ClientConnection& connection) = 0;
        // The client has sent its first valid request.
        virtual void onUseful() = 0;
        // What this connection holds of responses, and of incomplete requests, changed; in bytes.
        virtual void updateUnsentBytes(std::size_t before, std::size_t after) = 0;
        virtual void updatePartialRequestBytes(std::size_t before, std::size_t after) = 0;
        // `continueReading` is due in the next iteration.
        virtual void deferReading(ClientConnection& connection) = 0;
        // The client has disconnected; to be removed in the next iteration.
        virtual void onDisconnected(ClientConnection& connection) = 0;
        // Removes connections while they hold too much memory. False when `writing` was removed as well.
        virtual bool relieveMemory(const ClientConnection& writing) = 0;
        // Destroys the connection.
        virtual void remove(ClientConnection& connection) = 0;
        // Called by its destructor.
        virtual void onDestroyed(ClientConnection& connection) = 0;
    };

    ClientConnection(Owner& owner, RequestDispatcher& dispatcher, transport::EventLoop& loop,
                     transport::BufferPool& buffers);
    // Aborts and cancels what is being streamed, and reports all its requests as disconnected.
    ~ClientConnection() override;

    transport::Connection& connection() { return connection_; }
    // Where its owner keeps it.
    List::iterator position() const { return position_; }
    void setPosition(List::iterator position) { position_ = position; }

    // Begins to read, once accepted. May remove the connection.
    void start();
    // Continues with what was deferred. May remove the connection.
    void continueReading();

    // Nothing is outstanding, neither in part nor unread: closing it loses nothing.
    bool mayClose() const { return isIdle() && !connection_.hasUnreadBytes(); }
    // A response is outstanding or not written yet.
    bool hasOutstandingResponses() const { return !pipeline_.isEmpty() || connection_.unsentBytes() > 0; }
    // It has not sent a valid request and waits for no response: silent, half sent, or all of it invalid.
    bool mayMakeRoom() const {
        return !isUseful_ && !hasOutstandingResponses() && state_ == State::open &&
               !connection_.hasUnreadBytes();
    }
    bool isEnding() const { return state_ != State::open; }
    // The client may only read what was written.
    bool isLingering() const { return state_ == State::lingering && connection_.unsentBytes() == 0; }
    // It has sent a valid request.
    bool isUseful() const { return isUseful_; }
    // It is not read at present, has a request outstanding, and its peer has closed it.
    bool hasDisconnectedUnread() const;
    Nanos lastActivity() const { return lastActivity_; }
    Nanos lastResponseAt() const { return lastResponseAt_; }
    // Bytes of responses, with those that the transport has.
    std::size_t unsentBytes() const { return reportedUnsentBytes_ + connection_.unsentBytes(); }
    // Bytes of responses that wait for one ahead of them, and of an incomplete request: as last reported.
    std::size_t queuedResponseBytes() const { return reportedUnsentBytes_; }
    std::size_t partialRequestBytes() const { return reportedPartialBytes_; }

  private:
    enum class State : std::uint8_t { open, closing, lingering };
    // Whether the connection still exists when a function returns.
    enum class Existence : std::uint8_t { exists, destroyed };

    // From the transport.
    void onData(std::string_view bytes) override;
    void onClosed() override { owner_.remove(*this); }
    void onDrained() override { flush(); }
    void onTimer();

    // From the requests.
    bool isClientConnected() override;
    void onCompleted(PipelinedRequest& request, FinalResponse response) override;
    void onStreamBegins(PipelinedRequest& request, std::size_t length) override;
    FlowControl onStreamChunk(PipelinedRequest& request, std::string_view bytes) override;
    void onStreamAborted() override { owner_.remove(*this); }

    // From the write that is being streamed.
    void onStreamedWriteProgress() override;
    void onStreamedWriteFinished() override;

    // Requests.
    void parse(std::string_view bytes, Nanos arrivedAt);
    void onDecoded(protocol::RespDecoder::State state, Nanos arrivedAt);
    void onMessage(protocol::RespValue message, Nanos arrivedAt);
    void onStreamedWriteHead(Nanos arrivedAt);
    void dispatch(PipelinedRequest& slot, protocol::Request request, Nanos arrivedAt, RequestBody* body);
    void abandonStreamedWrite();
    void markUseful();
    void markActive();
    void reportPartialRequest();

    // Responses.
    void respond(PipelinedRequest& request, std::string_view text);
    void append(PipelinedRequest& request, std::string_view text);
    void reportUnsent();
    // Responds to what is no request for the dispatcher.
    void reply(std::string_view text);
    // As `reply`, and closes the connection behind it.
    void replyAndClose(std::string_view text);
    // Writes the responses that are due, and adjusts reading and timer.
    [[nodiscard]] Existence tryFlush();
    // As the last step of a caller.
    void flush() { static_cast<void>(tryFlush()); }
    void linger();

    // Reading and time.
    void updateReading();
    void updateTimer();
    Nanos requestReadDeadline() const;
    bool isIdle() const {
        return !hasOutstandingResponses() && !decoder_.isInValue() && state_ == State::open;
    }

    Owner& owner_;
    RequestDispatcher& dispatcher_;
    transport::EventLoop& loop_;
    transport::Connection connection_;
    transport::Timer timer_;
    List::iterator position_;
    protocol::RespDecoder decoder_;
    RequestPipeline pipeline_;
    StreamedWrite write_;
    std::string unparsed_;  // what followed a streamed write, until that is finished
    State state_ = State::open;

    bool isReading_ = false;  // it would be read but for its share of this iteration
    std::uint64_t readIteration_ = 0;
    std::size_t readInIteration_ = 0;  // bytes
    std::size_t ignoredBytes_ = 0;     // after the connection began to end
    PeerLiveness liveness_;
    bool isUseful_ = false;   // has sent a valid request
    Nanos lastActivity_ = 0;  // when it last sent something or got a response
    Nanos lastReadAt_ = 0;    // when it last sent something, or was read again
    Nanos lastResponseAt_ = 0;
    Nanos requestBegunAt_ = 0;  // of the incomplete request, or the first one; 0 without one
    Nanos unreadSince_ = 0;     // since when the client has read nothing of its responses
    std::uint64_t sentBytesAtLastCheck_ = 0;
    std::size_t reportedUnsentBytes_ = 0;
    std::size_t reportedPartialBytes_ = 0;
};

}  // namespace poppyscale::proxy
