// Bytes that this process's TCP connections have carried, as the kernel counts them: payload without headers.
#pragma once

#include <cstdint>
#include <map>

#include "base/time.hpp"

namespace poppyscale::testbed::stub_routers {

// Looks at all connections from time to time. What one that is closed carried since the last look is missed.
class SocketMeter {
  public:
    // Counts from here on.
    void begin(Nanos now);
    void look(Nanos now);

    std::uint64_t bytesIn() const { return bytesIn_; }
    std::uint64_t bytesOut() const { return bytesOut_; }
    // Of one connection between two looks.
    double peakBytesPerSecond() const { return peak_; }

  private:
    struct Carried {
        std::uint64_t in = 0;
        std::uint64_t out = 0;
    };
    using Connections = std::map<std::uint64_t, Carried>;  // by the socket's inode
    static Connections carried();

    Connections last_;
    Nanos lastAt_ = 0;
    std::uint64_t bytesIn_ = 0;
    std::uint64_t bytesOut_ = 0;
    double peak_ = 0;
};

}  // namespace poppyscale::testbed::stub_routers
