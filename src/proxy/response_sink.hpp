// The receiver of a request's final response.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.hpp"
#include "proxy/body_stream.hpp"

namespace poppyscale::proxy {

struct FinalResponse {
    enum class Kind : std::uint8_t { succeeded, rejected, failed };
    Kind kind = Kind::failed;
    std::string value;     // if succeeded
    Nanos retryAfter = 0;  // if rejected; 0 for no Retry-After
};

// The client's side of a request. Exactly one of `complete` and `beginStream` is called, unless the
// sink has reported before that its client is gone.
class ResponseSink {
  public:
    virtual ~ResponseSink() = default;
    virtual void complete(FinalResponse response) = 0;
    // Whether the client was seen connected recently enough for an attempt to start. Once this returns false,
    // the sink has released the request and is not called again.
    virtual bool isClientConnected() = 0;
    // Called instead of `complete` for a value of `length` bytes that is too long to be buffered.
    // Returns the sink for its chunks, the first of which follows at once.
    virtual BodySink& beginStream(std::size_t length, BodySource& source) = 0;
};

}  // namespace poppyscale::proxy
