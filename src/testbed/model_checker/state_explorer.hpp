// Explores the orders of events of a model: breadth first up to a bound, each state once by the hash of its
// image; then beyond that by long random runs. The result is the shortest run that leads to a violation, or a
// random run without the steps that its violation does not need.
//
// Two images with the same 128-bit hash would hide a state; with 10^8 states the probability of any such pair
// is below 10^-22.
//
// `Model` is copied by value and has
//   struct Step                              comparable, with the same meaning in every run
//   std::vector<Step> enabledSteps() const   the steps that may happen next
//   bool apply(const Step&)                  false, and without effect, if the step can't happen
//   const std::string& violation() const     the violation; empty: none
//   std::string image() const                all state that matters
//   std::string describe(const Step&) const
//   Step randomStep(std::mt19937&) const     one of enabledSteps(), in which rare events stay rare
//   void endFaults()                         ends all faults; `violation` then names what does not recover
#pragma once

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace poppyscale::testbed {

struct ExplorationOptions {
    double seconds = 40;
    std::uint64_t seed = 1;
    int walkLength = 120;                     // steps of a random run
    std::size_t maxStatesPerDepth = 400'000;  // most states in memory at one depth, a few KB each
    bool hasRandomWalks = true;               // random walks follow the breadth-first search
    double breadthFirstShare = 0.5;           // share of `seconds` for the breadth-first search
};

template <class Model>
struct ExplorationResult {
    std::uint64_t states = 0, steps = 0, walks = 0;
    int depth = 0;              // depth to which every order was explored
    bool isExhaustive = false;  // no state was left to explore
    double seconds = 0;
    std::string violation;
    std::vector<typename Model::Step> violatingSteps;
    bool isShortest = false;          // no shorter run leads to a violation
    bool isFoundAfterFaults = false;  // the violation shows only after Model::endFaults()
};

template <class Model>
class StateExplorer {
  public:
    using Step = typename Model::Step;
    StateExplorer(Model start, const ExplorationOptions& options)
        : start_(std::move(start)), options_(options) {}

    ExplorationResult<Model> explore() {
        const auto startedAt = Clock::now();
        searchBreadthFirst(startedAt, options_.seconds * options_.breadthFirstShare);
        if (options_.hasRandomWalks && result_.violation.empty() && !result_.isExhaustive)
            walkRandomly(startedAt, options_.seconds * 0.9);
        if (!result_.violation.empty() && !result_.isShortest) shrinkRun(startedAt);
        result_.seconds = secondsSince(startedAt);
        return std::move(result_);
    }

  private:
    using Clock = std::chrono::steady_clock;
    struct Hash {
        std::size_t operator()(const XXH128_hash_t& h) const { return static_cast<std::size_t>(h.low64); }
    };
    struct Equal {
        bool operator()(const XXH128_hash_t& a, const XXH128_hash_t& b) const { return XXH128_isEqual(a, b); }
    };
    static double secondsSince(Clock::time_point startedAt) {
        return std::chrono::duration<double>(Clock::now() - startedAt).count();
    }
    bool isNew(const Model& model) {
        const std::string image = model.image();
        return seen_.insert(XXH3_128bits(image.data(), image.size())).second;
    }

    void searchBreadthFirst(Clock::time_point startedAt, double seconds) {
        struct Node {
            Model model;
            std::vector<Step> run;
        };
        std::vector<Node> level{{start_, {}}};
        isNew(start_);
        for (int depth = 1; !level.empty(); ++depth) {
            std::vector<Node> next;
            for (Node& node : level) {
                for (const Step& step : node.model.enabledSteps()) {
                    Model model = node.model;
                    if (!model.apply(step)) continue;
                    ++result_.steps;
                    if (!model.violation().empty()) {
                        result_.violation = model.violation();
                        result_.violatingSteps = node.run;
                        result_.violatingSteps.push_back(step);
                        result_.isShortest = true;
                        return;
                    }
                    if (!isNew(model)) continue;
                    ++result_.states;
                    auto run = node.run;
                    run.push_back(step);
                    next.push_back({std::move(model), std::move(run)});
                }
                if (secondsSince(startedAt) > seconds || next.size() > options_.maxStatesPerDepth) return;
                node.run = {};
            }
            result_.depth = depth;
            level = std::move(next);
        }
        result_.isExhaustive = true;
    }

    void walkRandomly(Clock::time_point startedAt, double seconds) {
        std::mt19937 random(static_cast<std::mt19937::result_type>(options_.seed));
        while (secondsSince(startedAt) < seconds) {
            ++result_.walks;
            Model model = start_;
            std::vector<Step> run;
            for (int i = 0; i < options_.walkLength && model.violation().empty(); ++i) {
                const Step step = model.randomStep(random);
                if (!model.apply(step)) continue;
                ++result_.steps;
                run.push_back(step);
            }
            result_.isFoundAfterFaults = model.violation().empty();
            if (result_.isFoundAfterFaults) model.endFaults();
            if (model.violation().empty()) continue;
            result_.violation = model.violation();
            result_.violatingSteps = std::move(run);
            return;
        }
    }

    // Returns the violation that a run leads to; empty: none. It may differ from the one found before: any
    // will do. `needed` gets the steps of the run that could happen.
    std::string replay(const std::vector<Step>& run, std::vector<Step>& needed,
                       bool& isFoundAfterFaults) const {
        Model model = start_;
        needed.clear();
        isFoundAfterFaults = false;
        for (const Step& step : run) {
            if (!model.apply(step)) continue;
            needed.push_back(step);
            if (!model.violation().empty()) return model.violation();
        }
        isFoundAfterFaults = true;
        model.endFaults();
        return model.violation();
    }

    void shrinkRun(Clock::time_point startedAt) {
        const double until = std::max(options_.seconds, secondsSince(startedAt) + 5);
        for (std::size_t chunkSize = std::max<std::size_t>(result_.violatingSteps.size() / 2, 1);
             secondsSince(startedAt) < until;) {
            bool isShortened = false;
            for (std::size_t position = 0;
                 position < result_.violatingSteps.size() && secondsSince(startedAt) < until;) {
                auto without = result_.violatingSteps;
                const auto from = without.begin() + static_cast<std::ptrdiff_t>(position);
                without.erase(
                    from, from + static_cast<std::ptrdiff_t>(std::min(chunkSize, without.size() - position)));
                std::vector<Step> needed;
                bool isFoundAfterFaults = false;
                const std::string violation = replay(without, needed, isFoundAfterFaults);
                if (violation.empty()) {
                    position += chunkSize;
                    continue;
                }
                result_.violation = violation;
                result_.violatingSteps = std::move(needed);
                result_.isFoundAfterFaults = isFoundAfterFaults;
                isShortened = true;
            }
            if (!isShortened && chunkSize == 1) return;
            if (!isShortened) chunkSize = std::max<std::size_t>(chunkSize / 2, 1);
        }
    }

    Model start_;
    ExplorationOptions options_;
    ExplorationResult<Model> result_;
    std::unordered_set<XXH128_hash_t, Hash, Equal> seen_;
};

}  // namespace poppyscale::testbed
