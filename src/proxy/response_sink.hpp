// Where the one final response of a request goes.
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
    std::string value;     // of one that succeeded
    Nanos retryAfter = 0;  // of one that was rejected; 0 for none
};

// The client's side of a request. Gets exactly one of `complete` and `beginStream`, unless it has reported
// before that its client is gone.
class ResponseSink {
  public:
    virtual ~ResponseSink() = default;
    virtual void complete(FinalResponse response) = 0;
    // Whether the client was seen connected recently enough for an attempt to start. Once this returns false,
    // the sink has released the request and is not called again.
    virtual bool isClientConnected() = 0;
    // In place of `complete`, for a value of `length` bytes that is too long to be buffered. Returns where
    // its chunks go; the first one follows at once.
    virtual BodySink& beginStream(std::size_t length, BodySource& source) = 0;
};

}  // namespace poppyscale::proxy
