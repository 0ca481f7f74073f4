// The value of a client's write that is too long to be buffered.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "proxy/body_stream.hpp"

namespace poppyscale::proxy {

class PipelinedRequest;

// Passes the value on, chunk by chunk, from the client's connection to the attempt that writes it; buffers
// only what arrives before that attempt has a connection or while that one has no capacity.
//
//     inactive --> discarding                                   the request was not accepted
//     discarding --> awaitingSink --> streaming <--> paused     it was accepted
//     streaming --> delivered
//     any but inactive --> discarding                           nothing of the value is needed any more
//
// The write is active until all of its value was read from the client and was delivered or discarded: a
// response to it must not go out, and nothing that follows it may be parsed, before that.
class StreamedWrite : public RequestBody {
  public:
    // The connection that the value arrives on.
    class Owner {
      public:
        virtual ~Owner() = default;
        // The attempt that writes the value has taken some of it, or needs no more.
        virtual void onStreamedWriteProgress() = 0;
        // The write is not active any more.
        virtual void onStreamedWriteFinished() = 0;
    };

    explicit StreamedWrite(Owner& owner) : owner_(owner) {}

    // Begins with a value of `length` bytes, which is discarded unless `accept` follows.
    void begin(PipelinedRequest& request, std::size_t length);
    // An attempt is going to stream the value.
    void accept() { state_ = State::awaitingSink; }
    // Bytes of the value, from the client.
    void onBytes(std::string_view bytes);
    // The client has sent all of it.
    void onAllRead();
    // Needs no more of the value; aborts the attempt that is writing it.
    void discard();
    // As `discard`, and ends the write if it was read to its end.
    void discardAndFinish();
    // Ends the write at once.
    void abandon();

    bool isActive() const { return request_ != nullptr; }
    // Null when inactive.
    PipelinedRequest* request() const { return request_; }
    // More of the value would have to be buffered.
    bool isBlocked() const {
        return isActive() &&
               (state_ == State::awaitingSink || state_ == State::paused || state_ == State::delivered);
    }
    // All was read of the value, but what follows it may not be parsed yet.
    bool holdsBackInput() const { return isActive() && isAllRead_; }
    std::size_t bufferedBytes() const { return buffered_.size(); }

  private:
    enum class State : std::uint8_t { inactive, discarding, awaitingSink, streaming, paused, delivered };

    void streamTo(BodySink& sink) override;
    void resume() override;
    void cancel() override;
    void forward(std::string_view bytes);
    void finishIfDone();

    Owner& owner_;
    State state_ = State::inactive;
    PipelinedRequest* request_ = nullptr;
    BodySink* sink_ = nullptr;  // while streaming or paused
    std::string buffered_;
    std::size_t bytesLeft_ = 0;  // not yet delivered
    bool isAllRead_ = false;
};

}  // namespace poppyscale::proxy
