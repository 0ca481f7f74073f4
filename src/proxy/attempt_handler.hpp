// The interface through which upstream servers report on attempts.
#pragma once

#include <cstddef>

#include "protocol/attempt_message.hpp"
#include "proxy/body_stream.hpp"

namespace poppyscale::proxy {

class Attempt;

// Implemented by the owner of the attempts.
class AttemptHandler {
  public:
    virtual ~AttemptHandler() = default;
    // The response is a value of `length` bytes that `source` delivers in chunks. Returns the sink for
    // them, or null when no client waits for the response any more.
    virtual BodySink* onStreamBegins(Attempt& attempt, std::size_t length, BodySource& source) = 0;
    // Whether a client still waits for the response. Called before the request is written.
    virtual bool isAwaited(Attempt& attempt) = 0;
    // Called once for each attempt. The attempt may be destroyed within this call; the caller does not use it
    // afterwards.
    virtual void onAttemptEnded(Attempt& attempt, protocol::AttemptResponse response) = 0;
};

}  // namespace poppyscale::proxy
