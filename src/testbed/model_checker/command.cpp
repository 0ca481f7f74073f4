#include "testbed/model_checker/command.hpp"

#include <fmt/format.h>

#include <stdexcept>

#include "testbed/model_checker/lease_model.hpp"
#include "testbed/model_checker/state_explorer.hpp"

namespace poppyscale::testbed {
namespace {

template <class Model>
bool tell(const Model& start, const ExplorationResult<Model>& e, const std::string& bounds) {
    fmt::print("{}: states={} steps={} walks={} depth={}{} seconds={:.1f} steps_per_second={:.0f}\n", bounds,
               e.states, e.steps, e.walks, e.depth, e.all ? " (all there is)" : "", e.seconds,
               static_cast<double>(e.steps) / std::max(e.seconds, 1e-9));
    if (e.broken.empty()) return true;
    fmt::print("found, in {} events{}:\n", e.run.size(), e.shortest ? ", and none of these is shorter" : "");
    Model m = start;
    int number = 0;
    for (const auto& action : e.run) {
        fmt::print("  {:3}  {}\n", ++number, m.describe(action));
        m.apply(action);
    }
    if (e.healed) fmt::print("       then nothing fails any more, and all that was sent comes\n");
    fmt::print("verdict: broken: {}\n", e.broken);
    return false;
}

// Voters whose clocks run fast and holders whose clocks are slow: where a grant is shortest and a holder
// believes longest. Then all sorts.
bool exploreLeases(const ExplorationCommand& call) {
    LeaseModelOptions wanted;
    if (!call.without.empty()) wanted.without = {lease::parseSafeguard(call.without)};
    ExplorationOptions how;
    how.seed = call.seed;
    wanted.clocks = 0b00111;
    // Whole runs, in which something else happens than a fair order has next, once, twice ... times.
    constexpr int kMostDeviations = 4;
    how.walks = false;
    wanted.ticks = 16;  // some three leases, or one, a quarantine and the next
    how.breadth = 1;
    double left = call.seconds * 0.5;
    for (int deviations = 1; deviations <= kMostDeviations && left > 1; ++deviations) {
        wanted.deviations = deviations;
        how.seconds = left;
        const LeaseModel fair(wanted);
        const auto found = StateExplorer(fair, how).explore();
        left -= found.seconds;
        if (!tell(fair, found,
                  fmt::format("{} deviations from a fair order of {} ticks", deviations, wanted.ticks)))
            return false;
        if (!found.all) break;
    }
    // Every order at all, from the start; then long random ones.
    wanted.deviations = -1;
    wanted.ticks = LeaseModelOptions{}.ticks;
    how = {};
    how.seed = call.seed;
    how.seconds = call.seconds * 0.25;
    const LeaseModel worst(wanted);
    if (!tell(worst, StateExplorer(worst, how).explore(),
              "3 voters with fast clocks, 2 holders with slow ones"))
        return false;
    std::mt19937 chance(static_cast<std::mt19937::result_type>(call.seed));
    constexpr int kMixed = 6;
    how.seconds = call.seconds * 0.25 / kMixed;
    how.mostStates = 1;  // straight to the long runs
    how.walkLength = 200;
    wanted.holders = 3;
    wanted.forgets = wanted.crashes = wanted.letGos = 3;
    wanted.doubles = wanted.stops = wanted.slowSyncs = 2;
    wanted.ticks = 80;
    for (int i = 0; i < kMixed; ++i) {
        wanted.clocks = chance() % 64;
        how.seed = chance();
        const LeaseModel mixed(wanted);
        if (!tell(mixed, StateExplorer(mixed, how).explore(),
                  fmt::format("3 voters, 3 holders, clocks {:06b}", wanted.clocks)))
            return false;
    }
    fmt::print("verdict: kept\n");
    return true;
}

}  // namespace

bool explore(const ExplorationCommand& call) {
    if (call.what == "leases") return exploreLeases(call);
    throw std::runtime_error(fmt::format("'{}' is none of: leases", call.what));
}

}  // namespace poppyscale::testbed
