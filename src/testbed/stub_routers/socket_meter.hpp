// Counts the payload bytes of this process's TCP connections from the kernel's TCP_INFO.
#pragma once

#include <cstdint>
#include <map>

#include "base/time.hpp"

namespace poppyscale::testbed::stub_routers {

// Samples all open connections. Bytes that a connection carried between the last sample and its end
// are missed.
class SocketMeter {
  public:
    // Resets the counts; bytes are counted from now on.
    void reset(Nanos now);
    void sample(Nanos now);

    std::uint64_t bytesIn() const { return bytesIn_; }
    std::uint64_t bytesOut() const { return bytesOut_; }
    // The highest rate of one connection between two samples, both directions together.
    double peakBytesPerSecond() const { return peakBytesPerSecond_; }

  private:
    struct ByteCounts {
        std::uint64_t in = 0;
        std::uint64_t out = 0;
    };
    using ByteCountsByInode = std::map<std::uint64_t, ByteCounts>;  // keyed by socket inode
    static ByteCountsByInode readByteCounts();

    ByteCountsByInode lastCounts_;
    Nanos lastSampleAt_ = 0;
    std::uint64_t bytesIn_ = 0;
    std::uint64_t bytesOut_ = 0;
    double peakBytesPerSecond_ = 0;
};

}  // namespace poppyscale::testbed::stub_routers
