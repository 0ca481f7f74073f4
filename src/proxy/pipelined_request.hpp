// One request of a client, and the unsent part of its response.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "proxy/arrival_progress.hpp"
#include "proxy/body_stream.hpp"
#include "proxy/pending_request.hpp"
#include "proxy/response_sink.hpp"

namespace poppyscale::proxy {

// Receives the response to a request, and keeps the part of it that is not written to the
// connection yet.
//
//     awaiting --> complete
//     awaiting --> streaming --> complete
//
// A streamed response is delivered directly or collected. A direct one is passed on as it arrives; if it
// is cut, only the end of the connection can tell the client. A collected one is kept until it is whole; if
// it is cut, an error takes its place.
//
// Owned by its connection's `RequestPipeline`; its address does not change.
class PipelinedRequest : public ResponseSink, public BodySink {
  public:
    // The connection that the request arrived on.
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual bool isClientConnected() = 0;
        // `onCompleted` and `onStreamAborted` may destroy the request.
        virtual void onCompleted(PipelinedRequest& request, FinalResponse response) = 0;
        virtual void onStreamAborted(PipelinedRequest& request) = 0;
        virtual void onStreamBegins(PipelinedRequest& request, std::size_t length) = 0;
        // May destroy the request, in which case it returns `FlowControl::closed`.
        virtual FlowControl onStreamChunk(PipelinedRequest& request, std::string_view bytes) = 0;
    };

    explicit PipelinedRequest(Owner& owner) : owner_(owner) {}

    // The dispatcher's request; null if the dispatcher accepted none, or has released
    // this sink.
    PendingRequest* pending() const { return pending_; }
    void setPending(PendingRequest* pending) { pending_ = pending; }

    bool isAwaiting() const { return state_ == State::awaiting; }
    bool isComplete() const { return state_ == State::complete; }
    // Part of a streamed response is still to come.
    bool isStreaming() const { return state_ == State::streaming; }
    enum class Delivery : std::uint8_t { undecided, direct, collected };
    bool isDirect() const { return delivery_ == Delivery::direct; }
    bool isUndecided() const { return isStreaming() && delivery_ == Delivery::undecided; }
    void deliverDirectly() { delivery_ = Delivery::direct; }
    // Reserves memory for the rest of the response.
    void collect();
    bool isCollected() const { return delivery_ == Delivery::collected; }
    // Delivers what is collected, and passes on the rest as it arrives.
    void stopCollecting();
    // When it is decided whether a collected response that is incomplete is passed on or has failed; 0 for
    // other responses.
    Nanos collectEnd() const { return collectEnd_; }
    void setCollectEnd(Nanos end) { collectEnd_ = end; }
    // What the response takes of the memory once it is collected.
    std::size_t collectableBytes() const;
    // By when the client has to get the final response; a time of the event loop's clock.
    Nanos deadline() const { return deadline_; }
    void setDeadline(Nanos deadline) { deadline_ = deadline; }
    // Until when a streamed response may wait for memory; 0 before it waits.
    Nanos memoryWaitEnd() const { return memoryWaitEnd_; }
    void setMemoryWaitEnd(Nanos end) { memoryWaitEnd_ = end; }
    // The connection is closed after this response.
    bool closesConnection() const { return closesConnection_; }
    void setClosesConnection() { closesConnection_ = true; }

    // The part of the response that is not written yet.
    std::string_view unsent() const { return std::string_view(unsent_).substr(takenBytes_); }
    // Some of the response was passed to the connection.
    bool hasBegun() const { return isDirect() || takenBytes_ > 0; }
    // `bytes` more of `unsent` were passed to the connection.
    void onTaken(std::size_t bytes) { takenBytes_ += bytes; }
    // Sets the whole response or, if it is streamed, the header before its chunks.
    void respond(std::string_view text);
    void append(std::string_view text);
    // What the response takes of the memory, with what is reserved for its rest.
    std::size_t chargedBytes() const { return unsent_.size() + reservedBytes_; }
    void clearUnsent();
    // Replaces a response of which nothing is written, and cancels its source if it has one.
    void replaceResponse(std::string_view text);
    // Ends the source of a streamed response, the rest of which has not arrived in time.
    void expireSource();
    // Whether the rest of a streamed response is still arriving.
    bool isArriving(Nanos now) const { return arrival_.isArriving(now); }
    // The streamed response is not read, since it is behind another one.
    void noteBehindAnother() { wasBehindAnother_ = true; }
    bool wasBehindAnother() const { return wasBehindAnother_; }

    // Counts `size` more bytes of a streamed response. Returns whether they are the last ones.
    bool countStreamed(std::size_t size);
    // Detaches the source during a call that may destroy this request, so that it is not cancelled.
    BodySource* takeSource();
    // Attaches the source again. `isPaused` says whether it was told that the sink is full.
    void restoreSource(BodySource* source, bool isPaused);
    // Resumes a paused source.
    void resumeSource();
    bool hasSource() const { return source_ != nullptr; }
    bool hasPausedSource() const { return source_ != nullptr && isSourcePaused_; }
    // Cancels the source of a streamed response, if there is one, since the client is gone.
    void cancelSource();

  private:
    enum class State : std::uint8_t { awaiting, streaming, complete };

    void complete(FinalResponse response) override;
    bool isClientConnected() override;
    BodySink& beginStream(std::size_t length, BodySource& source) override;
    FlowControl onChunk(std::string_view bytes) override;
    void onAborted() override;

    Owner& owner_;
    State state_ = State::awaiting;
    Delivery delivery_ = Delivery::undecided;
    Nanos deadline_ = 0;
    Nanos memoryWaitEnd_ = 0;
    PendingRequest* pending_ = nullptr;
    std::string unsent_;
    std::size_t takenBytes_ = 0;  // of `unsent_`
    bool closesConnection_ = false;
    BodySource* source_ = nullptr;
    std::size_t streamedBytesLeft_ = 0;
    Nanos collectEnd_ = 0;
    ArrivalProgress arrival_;
    bool wasBehindAnother_ = false;
    std::size_t reservedBytes_ = 0;
    bool isSourcePaused_ = false;
};

}  // namespace poppyscale::proxy
