// One client's connection: reads its requests and writes their responses in the same order.
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
#include "proxy/held_input.hpp"
#include "proxy/peer_liveness.hpp"
#include "proxy/pipelined_request.hpp"
#include "proxy/request_budget.hpp"
#include "proxy/request_dispatcher.hpp"
#include "proxy/request_pipeline.hpp"
#include "proxy/response_budget.hpp"
#include "proxy/streamed_write.hpp"
#include "transport/buffer_pool.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::proxy {

// Reads requests, passes them to the dispatcher, and writes the responses. Stops reading while too
// many requests or response bytes are outstanding, or while there is no memory for the rest of a request;
// holds back requests that were read while there is no memory for their responses; and removes itself when
// the client exceeds a time limit.
//
//     open --> closing --> lingering
//
// In `closing`, the last response is known and no further input is parsed. In `lingering`, all
// responses have been written and the client has 1 s to read them. The connection can be removed in
// every state: its owner destroys it within the call of `Owner::remove`, and the object must not be
// used afterwards. A function that may remove the connection returns `Existence` if its callers use
// the connection after the call.
class ClientConnection : private transport::Connection::Handler,
                         private PipelinedRequest::Owner,
                         private StreamedWrite::Owner {
  public:
    using List = std::list<std::unique_ptr<ClientConnection>>;

    // The listener that the connection was accepted on.
    class Owner {
      public:
        virtual ~Owner() = default;
        // Whether a request whose client waits up to `timeout` is accepted.
        virtual bool acceptsRequests(Nanos timeout) const = 0;
        // Whether health checks (PING) fail.
        virtual bool isStandby() const = 0;
        // How long a client may leave responses unread.
        virtual Nanos maxUnreadDuration() const = 0;
        // The number of the current event-loop iteration.
        virtual std::uint64_t iteration() const = 0;

        // The client sent something or got a response.
        virtual void onActive(ClientConnection& connection) = 0;
        // The client has sent its first valid request.
        virtual void onFirstValidRequest() = 0;
        // The budget for the incomplete requests of all connections.
        virtual RequestBudget& requestBudget() = 0;
        // The budget for the responses of all connections.
        virtual ResponseBudget& responseBudget() = 0;
        // Whether requests may wait for that budget; else they are rejected.
        virtual bool mayHoldInput() const = 0;
        // Whether input may be read that can't be parsed yet, to notice that the client closes.
        virtual bool mayReadAhead() const = 0;
        // Calls `onMemoryReleased` once the budget has released memory, or no input may be held any more.
        virtual void awaitMemory(ClientConnection& connection) = 0;
        // The number of buffered bytes of the connection's incomplete or held requests has changed from
        // `before` to `after`.
        virtual void updatePartialRequestBytes(std::size_t before, std::size_t after) = 0;
        // Calls `continueReading` in the next iteration.
        virtual void deferReading(ClientConnection& connection) = 0;
        // The client has disconnected: removes the connection in the next iteration.
        virtual void onDisconnected(ClientConnection& connection) = 0;
        // Replaces responses by errors while those that wait exceed the budget.
        virtual void relieveResponses() = 0;
        // Ends other connections than `writing` while the incomplete requests of all connections take too
        // much memory.
        virtual void relievePartialRequests(const ClientConnection& writing) = 0;
        // Destroys the connection.
        virtual void remove(ClientConnection& connection) = 0;
        // Called by the connection's destructor.
        virtual void onDestroyed(ClientConnection& connection) = 0;
    };

    ClientConnection(Owner& owner, RequestDispatcher& dispatcher, transport::EventLoop& loop,
                     transport::BufferPool& buffers);
    // Aborts a streamed write, cancels streamed responses, and reports the client of all pending
    // requests as disconnected.
    ~ClientConnection() override;

    transport::Connection& connection() { return connection_; }
    // The connection's position in its owner's list.
    List::iterator position() const { return position_; }
    void setPosition(List::iterator position) { position_ = position; }

    // Begins to read after the connection was accepted. May remove the connection.
    void start();
    // Continues the reading or parsing that `Owner::deferReading` put off. May remove the
    // connection.
    void continueReading();
    // Continues what has waited for memory in the next iteration.
    void onMemoryReleased();
    // The request budget has reserved the memory that the connection waits for. Reads on in the next
    // iteration.
    void onReservationGranted();

    // No request is outstanding, incomplete or unread, so that closing the connection loses
    // nothing.
    bool mayClose() const { return isIdle() && !connection_.hasUnreadBytes(); }
    // A response is outstanding, or the kernel has not taken all of it yet.
    bool hasOutstandingResponses() const {
        return !pipeline_.isEmpty() || !unparsed_.isEmpty() || unsentBytes() > 0;
    }
    // Whether the connection may be closed in favour of a new client: its client waits for no
    // response, and has sent nothing, an incomplete request, or only invalid ones.
    bool isEvictable() const {
        return !hasSentValidRequest_ && !hasOutstandingResponses() && state_ == State::open &&
               !connection_.hasUnreadBytes();
    }
    bool isEnding() const { return state_ != State::open; }
    // The connection is kept open only to let the client read the last response.
    bool isLingering() const { return state_ == State::lingering && unsentBytes() == 0; }
    bool hasSentValidRequest() const { return hasSentValidRequest_; }
    // The client has closed the connection while a request is pending and reading is paused, so
    // that the transport does not report the close.
    bool hasDisconnectedUnread() const;
    Nanos lastActivity() const { return lastActivity_; }
    Nanos lastResponseAt() const { return lastResponseAt_; }
    // Bytes of responses whose turn it is, which the kernel has not taken.
    std::size_t unsentBytes() const { return connection_.unsentBytes() + output_.size(); }
    // Whether the client has left responses unread for `duration`.
    bool hasStalled(Nanos duration);
    // As last reported: what responses that are not written take of the budget, and the bytes of
    // incomplete or held requests.
    const ResponseUsage& responseUsage() const { return reportedUsage_; }
    std::size_t partialRequestBytes() const { return reportedPartialBytes_; }
    // What the connection has reserved of the request budget.
    std::size_t reservedRequestBytes() const { return reservedRequestBytes_; }
    // Whether the bytes of requests are held until earlier ones are answered.
    bool holdsInput() const { return !unparsed_.isEmpty(); }

    // Answers the request with the largest response that is not written as failed instead, to free
    // memory. Returns false if there is none.
    bool failLargestResponse();
    // Discards an incomplete request, to free memory, and closes the connection after an error and the
    // outstanding responses. May remove the connection.
    void rejectIncompleteRequest();

  private:
    enum class State : std::uint8_t { open, closing, lingering };
    // Whether the connection still exists when a function returns.
    enum class Existence : std::uint8_t { exists, destroyed };

    // transport::Connection::Handler
    void onData(std::string_view bytes) override;
    void onClosed() override { owner_.remove(*this); }
    void onDrained() override { flush(); }
    void onTimer();

    // PipelinedRequest::Owner
    bool isClientConnected() override;
    void onCompleted(PipelinedRequest& request, FinalResponse response) override;
    void onStreamBegins(PipelinedRequest& request, std::size_t length) override;
    FlowControl onStreamChunk(PipelinedRequest& request, std::string_view bytes) override;
    void onStreamAborted(PipelinedRequest& request) override;

    // StreamedWrite::Owner
    void onStreamedWriteProgress() override;
    void onStreamedWriteFinished() override;

    // Requests.
    // Parses as much of `bytes` as possible and returns the rest.
    std::string_view parse(std::string_view bytes, Nanos arrivedAt);
    void afterParsing();
    void onDecoded(protocol::RespDecoder::State state, Nanos arrivedAt);
    void onMessage(protocol::RespValue message, Nanos arrivedAt);
    void onStreamedWriteHead(Nanos arrivedAt);
    void dispatch(PipelinedRequest& slot, protocol::Request request, Nanos arrivedAt, RequestBody* body);
    void abandonStreamedWrite();
    void markValidRequestSent();
    void markActive();
    void reportPartialRequest();
    // Reserves memory for the incomplete request, or releases it after the request's end. Without memory
    // nothing is read until there is some.
    void updateReservation();
    std::size_t wantedReservation() const;
    bool isAwaitingReservation() const { return awaitedReservation_ > 0; }
    // Reserves the memory that is waited for if the kernel has all of the request. Else notes whether the
    // client has sent something since the last check.
    void checkUnread();

    // Responses.
    // Decides whether the streamed response of the first request is delivered directly or collected. An
    // error replaces it if neither is possible.
    void decideDelivery(PipelinedRequest& front);
    void decideFrontDelivery();
    // Whether the response goes on waiting for memory.
    bool mayAwaitMemory(PipelinedRequest& front);
    void awaitMemory();
    // Nothing would be lost beside the first request if the connection were closed.
    bool isOnlyRequest() const {
        return pipeline_.size() == 1 && unparsed_.isEmpty() && !connection_.hasUnreadBytes();
    }
    void onCollectTimeout();
    // Passes on a collected response that is still arriving at the end of its time, or else fails it.
    void decideIncomplete(PipelinedRequest& front, Nanos now);
    void fail(PipelinedRequest& request);
    void respond(PipelinedRequest& request, std::string_view text);
    void append(PipelinedRequest& request, std::string_view text);
    void reportUsage();
    // Responds to a message that is not passed to the dispatcher.
    void reply(std::string_view text);
    // As `reply`, and closes the connection after that response.
    void replyAndClose(std::string_view text);
    // Writes the responses whose turn it is, and adjusts reading and the timer.
    [[nodiscard]] Existence tryFlush();
    // As `tryFlush`, for callers that do not use the connection afterwards.
    void flush() { static_cast<void>(tryFlush()); }
    [[nodiscard]] Existence writeOutput();
    void takeOutput();
    // Passes `bytes` to the kernel, and keeps what it does not take in `output_`, which must be empty.
    [[nodiscard]] Existence write(std::string_view bytes);
    void linger();

    // Reading and time.
    // The rest of the input must not be parsed yet.
    bool holdsBackInput() const {
        return write_.holdsBackInput() || isPipelineFull() || lacksResponseCapacity() ||
               isAwaitingReservation();
    }
    // Too many requests, or response bytes that the client does not read, are outstanding.
    bool isPipelineFull() const;
    // The next request would be behind another one, and there is no memory for its response.
    bool lacksResponseCapacity() const;
    // The response to the next request has to wait for others, or for the client to read them.
    bool hasResponsesAhead() const { return !pipeline_.isEmpty() || unsentBytes() > 0; }
    std::size_t unreadBytes() const;
    void updateUnreadSince();
    bool mayRead() const;
    bool mayReadAhead() const;
    void updateReading();
    void updateTimer();
    void onReservationCheck();
    void endIncompleteRequest();
    Nanos requestReadDeadline() const;
    bool isIdle() const {
        return !hasOutstandingResponses() && !decoder_.isInValue() && state_ == State::open;
    }

    Owner& owner_;
    RequestDispatcher& dispatcher_;
    transport::EventLoop& loop_;
    transport::Connection connection_;
    transport::Timer timer_;
    transport::Timer collectTimer_;  // the deadline of a response that is being collected
    List::iterator position_;
    protocol::RespDecoder decoder_;
    RequestPipeline pipeline_;
    StreamedWrite write_;
    HeldInput unparsed_;
    bool isAwaitingMemory_ = false;
    State state_ = State::open;
    // Taken from the pipeline, but not by the kernel yet: of one part of the output, the rest.
    std::string output_;
    bool closesAfterOutput_ = false;

    // Whether the connection may be read, unless its share of the current iteration is used up.
    bool isReadingAllowed_ = false;
    std::uint64_t readIteration_ = 0;  // the last iteration in which bytes were read
    std::size_t readInIteration_ = 0;  // the number of bytes read in `readIteration_`
    std::size_t ignoredBytes_ = 0;     // read after the connection left the state `open`
    PeerLiveness liveness_;
    bool hasSentValidRequest_ = false;
    Nanos lastActivity_ = 0;  // when the client last sent something or got a response
    Nanos lastReadAt_ = 0;    // when bytes were last read, or reading last resumed
    Nanos lastResponseAt_ = 0;
    // When the wait for the client's first request, or for the rest of an incomplete one, began; 0 if
    // neither is awaited.
    Nanos requestBegunAt_ = 0;
    // When the client last read a part of its responses or had none to read.
    Nanos unreadSince_ = 0;
    std::uint64_t acknowledgedBytesAtLastCheck_ = 0;
    ResponseUsage reportedUsage_;
    std::size_t reportedPartialBytes_ = 0;
    std::size_t reservedRequestBytes_ = 0;
    std::size_t awaitedReservation_ = 0;  // what the connection waits for; 0 if it does not wait
    Nanos reservationCheckAt_ = 0;        // when it is checked next whether the waiting client still sends
    std::size_t unreadAtLastCheck_ = 0;   // bytes that the kernel had then, and that are not read yet
    // When the client last sent something while the connection waited; 0 if it did not wait.
    Nanos lastUnreadArrivalAt_ = 0;
};

}  // namespace poppyscale::proxy
