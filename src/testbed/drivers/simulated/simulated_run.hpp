// The world in virtual time round the decision module itself: hundreds of routers in one process, no socket.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "testbed/emulator/event_log.hpp"
#include "testbed/emulator/scenario.hpp"

namespace poppyscale::testbed {

struct SimulatedRunResult {
    Nanos length = 0;        // of the scenario's time
    double wallSeconds = 0;  // that it took
};

// What a version of the router does worse than it should, to a share `size` of what it takes.
struct RouterDefect {
    enum class Kind : std::uint8_t {
        none,
        rejects,           // rejected at once
        silent,            // never answered
        slower,            // the answer comes later by this part of its time
        connections,       // attempts on a connection of their own, that is closed behind them
        retriesNeedlessly  // a fetch at the origin that nobody needs, beside the answer
    };
    Kind kind = Kind::none;
    double size = 0;
};

// The routers of a play, counted as the program counts, some of them of a defective version.
class SimulatedFleet {
  public:
    virtual ~SimulatedFleet() = default;
    virtual Nanos time() const = 0;
    virtual void at(Nanos when, std::function<void(Nanos)> what) = 0;
    // As the program's address tells them.
    virtual nlohmann::json figures(int router) = 0;
    // Another process takes the router's place, as by an upgrade: what the one before has taken it answers.
    virtual void change(int router, bool harmful) = 0;
    virtual void finish() = 0;  // the play is over
    virtual long asked() const = 0;
    virtual long affectedRequests() const = 0;  // commands that the harm was done to
};

struct SimulatedRunOptions {
    std::function<void(Nanos)> progress;  // told the time reached, about once a simulated second
    // Called before the first command; from then on routers are counted.
    std::function<void(SimulatedFleet&)> attach;
    std::function<void()> duration;  // while the fleet is still there
    RouterDefect defect;
    // A known mistake: changes what the configuration says to each router, and to nobody else.
    std::function<void(PolicySettings&)> mistake = {};
};

SimulatedRunResult simulate(const Scenario& scenario, std::uint64_t seed, EventLog& ledger,
                            const SimulatedRunOptions& wanted = {});

}  // namespace poppyscale::testbed
