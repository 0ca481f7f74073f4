// The protocols of upstream connections.
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

// Encodes requests and decodes their responses, one at a time. Independent of attempts and sockets;
// each connection has its own codec.
class UpstreamCodec {
  public:
    enum class State : std::uint8_t { more, chunk, complete, malformed };

    virtual ~UpstreamCodec() = default;
    // Returns the whole request or, if its value is streamed, the part that precedes the value.
    virtual std::string encode(const protocol::Request& request, std::string_view host,
                               Nanos timeLeft) const = 0;
    // The bytes that follow a streamed value; may be empty.
    virtual std::string_view bodyTerminator() const = 0;

    // Consumes bytes from the front of `bytes`, possibly all of them, and reports the end of a response
    // or one chunk of it. After `chunk` it must be called again, even without bytes.
    virtual State feed(std::string_view& bytes) = 0;
    // The connection ended after the bytes fed so far. Returns `complete` if the response extends to
    // the end of the connection.
    virtual State onConnectionEnd() = 0;
    // After `chunk`: the length of the whole value, and a part of it that is valid until the next `feed`.
    virtual std::size_t streamedLength() const = 0;
    virtual std::string_view chunk() const = 0;
    // After `complete`.
    virtual protocol::AttemptResponse takeResponse() = 0;
    // After `complete`: whether another request may be sent on the connection.
    virtual bool isReusable() const = 0;
    // The bytes of an incomplete response that are buffered and, as far as it has announced them, those that
    // will be.
    virtual std::size_t expectedBytes() const = 0;
    // Prepares for the next response.
    virtual void clear() = 0;
};

// RESP2, to cache servers.
std::unique_ptr<UpstreamCodec> makeCacheCodec();
// HTTP/1.1, to the origin.
std::unique_ptr<UpstreamCodec> makeOriginCodec();

}  // namespace poppyscale::proxy
