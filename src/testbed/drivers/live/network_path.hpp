// A way from one machine to another: a Unix socket that leads to another one, and can be cut, slow, or break.
#pragma once

#include <deque>
#include <list>
#include <string>

#include "base/time.hpp"
#include "testbed/emulator/random.hpp"

namespace poppyscale::testbed {

class NetworkPath {
  public:
    // Throws CannotRun when it can't listen at `from`.
    NetworkPath(std::string from, std::string to, std::uint64_t seed);
    ~NetworkPath();
    NetworkPath(const NetworkPath&) = delete;
    NetworkPath& operator=(const NetworkPath&) = delete;

    // What was sent while it was cut is lost; connections stay as they are until it heals, then they break.
    bool cutTo = false, cutFrom = false;
    Nanos delay = 0;
    bool stalls = false;  // a stream stops after some bytes, until it does not any more
    double drops = 0;     // share of connections that are broken as they come
    void healed();        // after a cut

    // Takes and passes on what there is; to be called often.
    void pump(Nanos now);

  private:
    struct Bytes {
        Nanos due;
        std::string text;
    };
    struct Direction {
        int from, to;
        std::deque<Bytes> on;
        bool over = false;  // nothing more comes
    };
    struct RelayedConnection {
        Direction there, back;
        long passed = 0;
        bool broken = false;
    };
    void pass(Nanos now, RelayedConnection& pipe, Direction& half, bool cut);

    std::string path_, to_;
    int fd_ = -1;
    Random random_;
    std::list<RelayedConnection> pipes_;
};

}  // namespace poppyscale::testbed
