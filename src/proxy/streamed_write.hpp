// The value of a client's write that is too long to be buffered.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "proxy/body_stream.hpp"

namespace poppyscale::proxy {

class PipelinedRequest;

// Passes the value on, chunk by chunk, from the client's connection to the attempt that writes it.
// Buffers only the bytes that arrive before the attempt has an upstream connection, or while that
// connection has no capacity.
//
//     inactive --> discarding                                   until the request is accepted
//     discarding --> awaitingSink --> streaming <--> paused     the request was accepted
//     streaming --> delivered                                   all of the value was passed on
//     any but inactive --> discarding                           the rest of the value is not needed
//
// The write is active until its whole value has been read from the client, and has been delivered
// or discarded. Until then, its response must not be sent and input that follows it must not be
// parsed.
class StreamedWrite : public RequestBody {
  public:
    // The connection that the value arrives on.
    class Owner {
      public:
        virtual ~Owner() = default;
        // The attempt that writes the value has taken some of it, or needs no more of it.
        virtual void onStreamedWriteProgress() = 0;
        // The write is no longer active.
        virtual void onStreamedWriteFinished() = 0;
    };

    explicit StreamedWrite(Owner& owner) : owner_(owner) {}

    // Begins a write whose value has `length` bytes, which are discarded unless `accept` follows.
    void begin(PipelinedRequest& request, std::size_t length, Nanos arrivedAt);
    // The bytes that follow arrived at `arrivedAt`, `idleTime` after all earlier ones had been read.
    void onArrival(Nanos arrivedAt, Nanos idleTime);
    // The value is not read for a while, so that the rest of it may collect on the client's machine.
    void onReadingStopped() { wasReadingStopped_ = isActive(); }
    // An attempt is going to stream the value.
    void accept() { state_ = State::awaitingSink; }
    // Bytes of the value, from the client.
    void onBytes(std::string_view bytes);
    // The value has been read from the client completely.
    void onAllRead();
    // Discards the rest of the value, and aborts the attempt that is writing it.
    void discard();
    // As `discard`, and ends the write if its value has been read completely.
    void discardAndFinish();
    // As `discard`, and ends the write even if its value has not been read completely.
    void abandon();

    bool isActive() const { return request_ != nullptr; }
    // Null when inactive.
    PipelinedRequest* request() const { return request_; }
    // Further bytes of the value would have to be buffered.
    bool isBlocked() const {
        return isActive() &&
               (state_ == State::awaitingSink || state_ == State::paused || state_ == State::delivered);
    }
    // An attempt has begun to write the value.
    bool hasSink() const { return sink_ != nullptr; }
    // The value has been read completely, but input that follows it must not be parsed yet.
    bool holdsBackInput() const { return isActive() && isAllRead_; }
    std::size_t bufferedBytes() const { return buffered_.size(); }

  private:
    enum class State : std::uint8_t { inactive, discarding, awaitingSink, streaming, paused, delivered };

    void streamTo(BodySink& sink) override;
    Nanos sentAfter() const override { return sentAfter_; }
    void resume() override;
    void cancel() override;
    void forward(std::string_view bytes);
    void finishIfDone();

    Owner& owner_;
    State state_ = State::inactive;
    PipelinedRequest* request_ = nullptr;
    BodySink* sink_ = nullptr;  // receiver of the value; set while streaming or paused
    std::string buffered_;
    Nanos sentAfter_ = 0;
    bool wasReadingStopped_ = false;
    std::size_t bytesLeft_ = 0;  // bytes of the value that are not yet delivered
    bool isAllRead_ = false;
};

}  // namespace poppyscale::proxy
