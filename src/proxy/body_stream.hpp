// Interfaces for passing a value that is too long to be buffered from a source to a sink, in chunks
// and with backpressure.
//
// Neither side owns the other. A side that ends the stream early notifies the other one, and is not
// called again after that: the source calls `BodySink::onAborted`, and the sink calls `BodySource::cancel` or
// `BodySource::expire`, or returns `FlowControl::closed`.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/time.hpp"

namespace poppyscale::proxy {

// A sink's reply to a chunk.
enum class FlowControl : std::uint8_t {
    ready,  // the next chunk may follow
    full,   // no chunk may follow before `BodySource::resume`
    closed  // the sink is gone: neither side calls the other again
};

// The receiving side of a stream.
class BodySink {
  public:
    virtual ~BodySink() = default;
    // Consumes all of `bytes`, whatever it returns. They are valid only during the call.
    virtual FlowControl onChunk(std::string_view bytes) = 0;
    // The rest of the value will not be sent.
    virtual void onAborted() = 0;
};

// The sending side of a stream.
class BodySource {
  public:
    virtual ~BodySource() = default;
    // The sink has capacity again.
    virtual void resume() = 0;
    // The sink needs no further chunk.
    virtual void cancel() = 0;
    // As `cancel`, because the rest of the value has not arrived in time.
    virtual void expire() { cancel(); }
};

// The value of a write, which waits until an attempt streams it.
class RequestBody : public BodySource {
  public:
    // Sends the value to `sink`, beginning within this call.
    virtual void streamTo(BodySink& sink) = 0;
    // The client had not sent the last byte of the value before this time. Its timeout counts from then: if
    // the value is read no faster than a server takes it, the rest may already be with the kernel.
    virtual Nanos sentAfter() const = 0;
};

}  // namespace poppyscale::proxy
