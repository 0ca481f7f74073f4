// What an upstream connection speaks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.hpp"
#include "protocol/attempt_message.hpp"
#include "protocol/request.hpp"

namespace poppyscale::proxy {

// Encodes requests and decodes their responses, one at a time, without knowing of attempts or sockets. One
// for each connection.
class UpstreamCodec {
  public:
    enum class State : std::uint8_t { more, chunk, complete, malformed };

    virtual ~UpstreamCodec() = default;
    // All of a request, or what precedes a value that is streamed.
    virtual std::string encode(const protocol::Request& request, std::string_view host,
                               Nanos timeLeft) const = 0;
    // Follows a value that is streamed; may be empty.
    virtual std::string_view bodyTerminator() const = 0;

    // Takes from the front of `bytes` up to the end of a response, or of one chunk of it, at most. After
    // `chunk` it must be called again, also without bytes.
    virtual State feed(std::string_view& bytes) = 0;
    // The connection has ended behind what was fed: `complete` if the response lasts up to there.
    virtual State onConnectionEnd() = 0;
    // After `chunk`: the length of the whole value, and a part of it, which is valid until the next `feed`.
    virtual std::size_t streamedLength() const = 0;
    virtual std::string_view chunk() const = 0;
    // After `complete`.
    virtual protocol::AttemptResponse takeResponse() = 0;
    // After `complete`: another request may be sent on the connection.
    virtual bool isReusable() const = 0;
    // Of an incomplete response.
    virtual std::size_t bufferedBytes() const = 0;
    // Prepares for the next response.
    virtual void clear() = 0;
};

// RESP2, to cache servers.
std::unique_ptr<UpstreamCodec> makeCacheCodec();
// HTTP/1.1, to the origin.
std::unique_ptr<UpstreamCodec> makeOriginCodec();

}  // namespace poppyscale::proxy
