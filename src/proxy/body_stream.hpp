// A long value on its way, in pieces, between two sides of which neither keeps it. Each tells the other when
// it goes, and is not called again after that.
#pragma once

#include <cstdint>
#include <string_view>

namespace poppyscale::proxy {

enum class FlowControl : std::uint8_t { ready, full, closed };

class BodySink {
  public:
    virtual ~BodySink() = default;
    // All of it is taken, whatever is said. After `full` nothing may come until `more`, after `gone` nothing.
    virtual FlowControl onChunk(std::string_view bytes) = 0;
    virtual void onAborted() = 0;  // the rest won't come
};

class BodySource {
  public:
    virtual ~BodySource() = default;
    virtual void resume() = 0;  // there is room again
    virtual void cancel() = 0;  // nothing more is wanted
};

// The value of a write, which waits until somebody takes it.
class RequestBody : public BodySource {
  public:
    virtual void streamTo(BodySink& taker) = 0;
};

}  // namespace poppyscale::proxy
