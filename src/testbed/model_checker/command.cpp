#include "testbed/model_checker/command.hpp"

#include <fmt/format.h>

#include <stdexcept>

#include "testbed/model_checker/lease_model.hpp"
#include "testbed/model_checker/state_explorer.hpp"

namespace poppyscale::testbed {
namespace {

template <class Model>
bool printResult(const Model& start, const ExplorationResult<Model>& result, const std::string& bounds) {
    fmt::print("{}: states={} steps={} walks={} depth={}{} seconds={:.1f} steps_per_second={:.0f}\n", bounds,
               result.states, result.steps, result.walks, result.depth,
               result.isExhaustive ? " (complete)" : "", result.seconds,
               static_cast<double>(result.steps) / std::max(result.seconds, 1e-9));
    if (result.violation.empty()) return true;
    fmt::print("violation after {} steps{}:\n", result.violatingSteps.size(),
               result.isShortest ? " (shortest run)" : "");
    Model model = start;
    int stepNumber = 0;
    for (const auto& step : result.violatingSteps) {
        fmt::print("  {:3}  {}\n", ++stepNumber, model.describe(step));
        model.apply(step);
    }
    if (result.isFoundAfterFaults) fmt::print("       then all faults end, and all messages arrive\n");
    fmt::print("verdict: broken: {}\n", result.violation);
    return false;
}

// Explores first with fast clocks at the acceptors and slow clocks at the holders, where a grant is shortest
// and a holder relies on it longest; then with random clocks.
bool exploreLeases(const ExplorationCommand& command) {
    LeaseModelOptions modelOptions;
    if (!command.disabledSafeguard.empty())
        modelOptions.disabledSafeguards = {lease::parseSafeguard(command.disabledSafeguard)};
    ExplorationOptions exploration;
    exploration.seed = command.seed;
    modelOptions.clocks = 0b00111;
    // First come complete runs with one, two, ... deviations from the fair order.
    constexpr int kMostDeviations = 4;
    exploration.hasRandomWalks = false;
    modelOptions.ticks = 16;  // about three leases, or a lease, a quarantine and the next lease
    exploration.breadthFirstShare = 1;
    double secondsLeft = command.seconds * 0.5;
    for (int deviations = 1; deviations <= kMostDeviations && secondsLeft > 1; ++deviations) {
        modelOptions.deviations = deviations;
        exploration.seconds = secondsLeft;
        const LeaseModel model(modelOptions);
        const auto result = StateExplorer(model, exploration).explore();
        secondsLeft -= result.seconds;
        if (!printResult(
                model, result,
                fmt::format("{} deviations from the fair order of {} ticks", deviations, modelOptions.ticks)))
            return false;
        if (!result.isExhaustive) break;
    }
    // Then come every order from the start, with any number of deviations, and long random runs.
    modelOptions.deviations = -1;
    modelOptions.ticks = LeaseModelOptions{}.ticks;
    exploration = {};
    exploration.seed = command.seed;
    exploration.seconds = command.seconds * 0.25;
    const LeaseModel model(modelOptions);
    if (!printResult(model, StateExplorer(model, exploration).explore(),
                     "3 acceptors with fast clocks, 2 holders with slow clocks"))
        return false;
    std::mt19937 random(static_cast<std::mt19937::result_type>(command.seed));
    constexpr int kMixedRuns = 6;
    exploration.seconds = command.seconds * 0.25 / kMixedRuns;
    exploration.maxStatesPerDepth = 1;  // leaves almost all the time to the random runs
    exploration.walkLength = 200;
    modelOptions.holders = 3;
    modelOptions.diskLosses = modelOptions.crashes = modelOptions.releases = 3;
    modelOptions.duplicates = modelOptions.suspensions = modelOptions.slowSyncs = 2;
    modelOptions.ticks = 80;
    for (int i = 0; i < kMixedRuns; ++i) {
        modelOptions.clocks = random() % 64;
        exploration.seed = random();
        const LeaseModel mixedModel(modelOptions);
        if (!printResult(mixedModel, StateExplorer(mixedModel, exploration).explore(),
                         fmt::format("3 acceptors, 3 holders, clocks {:06b}", modelOptions.clocks)))
            return false;
    }
    fmt::print("verdict: kept\n");
    return true;
}

}  // namespace

bool explore(const ExplorationCommand& command) {
    if (command.model == "leases") return exploreLeases(command);
    throw std::runtime_error(fmt::format("unknown model '{}': expected leases", command.model));
}

}  // namespace poppyscale::testbed
