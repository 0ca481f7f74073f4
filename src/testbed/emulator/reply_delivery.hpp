// How servers send replies that come late, slowly or only in part.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.hpp"
#include "testbed/emulator/random.hpp"

namespace poppyscale::testbed {

// After which part of a reply its server sends nothing more.
enum class StopPoint : std::uint8_t { never, inHead, afterHead, inValue, beforeEnd };

struct ReplyDelivery {
    Nanos pause = 0;                 // between the head and the value
    std::size_t length = 0;          // the value is filled up to this length, in bytes
    std::size_t bytesPerSecond = 0;  // of the value; 0: it is sent at once
    StopPoint stop = StopPoint::never;

    bool isSlow() const { return bytesPerSecond > 0; }
    bool isStopped() const { return stop != StopPoint::never; }
};

// Values that are passed on at once and in parts, short and long, with a pause before the first byte and
// without; some take longer than the client waits.
ReplyDelivery drawSlowDelivery(Random& random);
// Short and long values, of which the server sends nothing after some byte.
ReplyDelivery drawStoppedDelivery(Random& random);
// The text of the event that the reply has begun.
std::string describe(const ReplyDelivery& delivery);

}  // namespace poppyscale::testbed
