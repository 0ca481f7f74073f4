// The network path from one machine to another: a Unix socket that relays connections to another
// Unix socket and emulates partitions, latency, stalls and broken connections.
#pragma once

#include <deque>
#include <list>
#include <string>

#include "base/time.hpp"
#include "testbed/emulator/random.hpp"

namespace poppyscale::testbed {

class NetworkPath {
  public:
    // Relays connections to the socket `from` on to the socket `to`. Throws RunError when it can't
    // listen at `from`.
    NetworkPath(std::string from, std::string to, std::uint64_t seed);
    ~NetworkPath();
    NetworkPath(const NetworkPath&) = delete;
    NetworkPath& operator=(const NetworkPath&) = delete;

    // Bytes sent in a direction that is cut are lost. Connections stay open during the cut; the
    // caller breaks them after it.
    bool isForwardCut = false, isBackwardCut = false;
    Nanos delay = 0;          // added to the transfer of all bytes, in both directions
    bool isStalled = false;   // each connection stops after 64 bytes until this is unset
    double dropShare = 0;     // share of new connections that are closed at once
    void breakConnections();  // breaks all connections; to be called after a cut

    // Accepts connections and relays bytes without blocking; to be called often.
    void pump(Nanos now);

  private:
    struct Bytes {
        Nanos due;
        std::string text;
    };
    struct Direction {
        int from, to;
        std::deque<Bytes> queue;
        bool hasEnded = false;  // the sender has closed its end
    };
    struct RelayedConnection {
        Direction forward, backward;
        long forwardedBytes = 0;
        bool isBroken = false;
    };
    void relay(Nanos now, RelayedConnection& connection, Direction& direction, bool isCut);

    std::string listenPath_, targetPath_;
    int listenFd_ = -1;
    Random random_;
    std::list<RelayedConnection> connections_;
};

}  // namespace poppyscale::testbed
