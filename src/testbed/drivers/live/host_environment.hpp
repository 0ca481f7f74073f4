// A machine's clock and disk, as the testbed has its processes see them.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "base/time.hpp"
#include "testbed/host_emulation/host_state.hpp"

namespace poppyscale::testbed {

// One for each machine whose clock or disk is to ail; others need none, and their processes see the true
// ones.
class HostEnvironment {
  public:
    // `file` is the seam to the machine's processes, `disk` their folder. Throws CannotRun.
    HostEnvironment(const std::string& file, const std::string& disk, Nanos now);
    ~HostEnvironment();
    HostEnvironment(const HostEnvironment&) = delete;
    HostEnvironment& operator=(const HostEnvironment&) = delete;

    // For the environment of all processes of the machine.
    std::vector<std::pair<std::string, std::string>> variables() const;

    // Times as fast as it is, from now on.
    void rate(Nanos now, double rate);
    // Of the wall clock, either way.
    void jump(Nanos by);
    // The machine slept from then to now: only the clocks that go on meanwhile have seen it.
    void slept(Nanos from, Nanos now);
    void readOnly(bool is);
    // Each sync takes so much longer.
    void syncTakes(Nanos time);
    // So many of the next syncs fail.
    void syncsFail(int count);

    // The true time at which the machine's clock that doesn't jump showed that.
    Nanos trueOf(Nanos shown) const;

  private:
    struct Piece {
        Nanos trueAt, shownAt;
        double rate;
    };
    void anchor(Nanos trueAt, Nanos shownAt, double rate);
    Nanos shownAt(Nanos trueAt) const;

    std::string file_;
    HostState* state_ = nullptr;
    std::vector<Piece> pieces_;  // the earliest first
};

}  // namespace poppyscale::testbed
