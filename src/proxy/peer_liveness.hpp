// Whether a client's connection was open a moment ago.
#pragma once

#include <algorithm>
#include <cstddef>

#include "base/time.hpp"
#include "transport/buffer_pool.hpp"

namespace poppyscale::proxy {

// No attempt may start more than 0.1 s after its client has closed the connection. An attempt starts without
// a system call if the connection was known to be open within a short time; otherwise the kernel is asked
// first. The time of arrival that counts as known to be open may itself be late by 40 ms: a poll of 20 ms,
// and 10 ms of delay each in the poll and in the iteration before it, which `EventLoop::earliestArrival` does
// not take for a hold-up. An attempt thus starts 60 ms after the close at the latest, if the kernel has the
// end by then. It has not where a client has closed behind more bytes than fit in this machine's receive
// window (64 KiB at first): the end stays on the client's machine until the router reads on.
class PeerLiveness {
  public:
    static constexpr Nanos kKnownOpenDuration = 20 * kMillisecond;

    bool isKnownOpen(Nanos now) const { return now - knownOpenAt_ < kKnownOpenDuration; }
    // The kernel had not got the end of the connection at `now`.
    void onFoundOpen(Nanos now) { knownOpenAt_ = now; }
    // Bytes prove that the connection was open when they arrived. When that was is only known if everything
    // before them had been read: otherwise they, and the end behind them, may have been in the kernel for
    // long.
    void onRead(std::size_t size, Nanos arrivedAt) {
        if (hasReadAll_) knownOpenAt_ = std::max(knownOpenAt_, arrivedAt);
        hasReadAll_ = size < transport::kBufferSize;
    }
    void onReadingStopped() { hasReadAll_ = false; }

  private:
    bool hasReadAll_ = false;  // it is being read, and the last read took all that the kernel had
    Nanos knownOpenAt_ = 0;    // the latest time at which it was known to be open
};

}  // namespace poppyscale::proxy
