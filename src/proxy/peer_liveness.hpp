// Tracks when a client's connection was last known to be open.
#pragma once

#include <algorithm>
#include <cstddef>

#include "base/time.hpp"
#include "transport/buffer_pool.hpp"

namespace poppyscale::proxy {

// No attempt may start more than 0.1 s after its client has closed the connection. If the connection was
// known to be open within the last `kKnownOpenDuration`, an attempt starts without a system call;
// otherwise the kernel is asked first.
//
// The recorded arrival time of bytes may be up to 40 ms too late: a poll takes up to 20 ms, and
// `EventLoop::earliestArrival` ignores delays of up to 10 ms each in the poll and in the iteration before
// it. An attempt therefore starts at most 60 ms after the close, provided that the kernel has received the
// end of the stream by then. If the client closed after sending more bytes than fit in this machine's receive
// window (64 KiB initially), the end stays on the client's machine until the router reads more, which
// `ClientConnection::mayReadAhead` lets it do within a memory limit. Beyond that limit the close is not
// noticed.
class PeerLiveness {
  public:
    static constexpr Nanos kKnownOpenDuration = 20 * kMillisecond;

    bool isKnownOpen(Nanos now) const { return now - knownOpenAt_ < kKnownOpenDuration; }
    // The kernel had not received the end of the connection at `now`.
    void onFoundOpen(Nanos now) { knownOpenAt_ = now; }
    // Bytes prove that the connection was open when they arrived. `arrivedAt` is only reliable if all
    // earlier bytes had been read: otherwise these bytes, and the end of the connection after them, may
    // have been in the kernel for a long time.
    // Returns whether that was so.
    bool onRead(std::size_t size, Nanos arrivedAt) {
        const bool hadReadAll = hasReadAll_;
        if (hadReadAll) knownOpenAt_ = std::max(knownOpenAt_, arrivedAt);
        hasReadAll_ = size < transport::kBufferSize;
        return hadReadAll;
    }
    void onReadingStopped() { hasReadAll_ = false; }

  private:
    bool hasReadAll_ = false;  // reading is on, and the last read took all bytes that the kernel had
    Nanos knownOpenAt_ = 0;    // the latest time at which the connection was known to be open
};

}  // namespace poppyscale::proxy
