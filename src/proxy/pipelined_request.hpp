// One request's place in the order of a client's responses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "proxy/body_stream.hpp"
#include "proxy/pending_request.hpp"
#include "proxy/response_sink.hpp"

namespace poppyscale::proxy {

// The sink of a request's response, and what of that response is not written to the connection yet.
//
//     awaiting --> complete
//     awaiting --> streaming --> complete
//
// Lives in its connection's `RequestPipeline` at a fixed address.
class PipelinedRequest : public ResponseSink, public BodySink {
  public:
    // The connection that the request came on.
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual bool isClientConnected() = 0;
        // Both may destroy the request.
        virtual void onCompleted(PipelinedRequest& request, FinalResponse response) = 0;
        virtual void onStreamAborted() = 0;
        virtual void onStreamBegins(PipelinedRequest& request, std::size_t length) = 0;
        // May destroy the request; returns `FlowControl::closed` then.
        virtual FlowControl onStreamChunk(PipelinedRequest& request, std::string_view bytes) = 0;
    };

    explicit PipelinedRequest(Owner& owner) : owner_(owner) {}

    // The request as the dispatcher holds it; null without one, or once that has released this sink.
    PendingRequest* pending() const { return pending_; }
    void setPending(PendingRequest* pending) { pending_ = pending; }

    bool isAwaiting() const { return state_ == State::awaiting; }
    // Part of a streamed response is still to come.
    bool isStreaming() const { return state_ == State::streaming; }
    // The connection ends behind this response.
    bool closesConnection() const { return closesConnection_; }
    void setClosesConnection() { closesConnection_ = true; }

    // What is to be written of the response.
    const std::string& unsent() const { return unsent_; }
    // Begins the response with `text`.
    void respond(std::string_view text);
    void append(std::string_view text) { unsent_.append(text); }
    void clearUnsent() { unsent_.clear(); }

    // Of `size` more bytes of a streamed response. True when these are the last ones.
    bool countStreamed(std::size_t size);
    // Takes the source away for the time of a call in which the client may be removed.
    BodySource* takeSource();
    // Gives it back, and notes whether it was told that there is no capacity.
    void restoreSource(BodySource* source, bool isPaused);
    // Has a paused source go on.
    void resumeSource();
    bool hasPausedSource() const { return source_ != nullptr && isSourcePaused_; }
    // Of a streamed response whose client goes away.
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
    PendingRequest* pending_ = nullptr;
    std::string unsent_;
    bool closesConnection_ = false;
    BodySource* source_ = nullptr;
    std::size_t streamedBytesLeft_ = 0;
    bool isSourcePaused_ = false;
};

}  // namespace poppyscale::proxy
