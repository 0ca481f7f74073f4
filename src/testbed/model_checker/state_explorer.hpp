// Every order of events on real deciders: breadth first up to a bound, each state once by the hash of its
// image; then long random runs beyond it. What is found is printed as the shortest run that there is, or that
// is left when everything that it does not need has been taken out.
//
// Two images with one 128-bit hash would hide a state; with 10^8 states the chance of any is under 10^-22.
//
// `Model` is copied by value and has
//   struct Step: comparable, and the same thing wherever it is applied
//   std::vector<Step> actions() const          what may happen now
//   bool apply(const Step&)                    false: it can't here, and nothing changed
//   const std::string& broken() const            what must not be and is; empty: nothing
//   std::string image() const                    all that matters of it
//   std::string describe(const Step&) const    the step in words
//   Step drawn(std::mt19937&) const            one of actions(), what is rare in the world not too often
//   void heal()                                  nothing fails from now on: `broken` then names what does not
//   recover
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
    int walkLength = 120;              // of a random run
    std::size_t mostStates = 400'000;  // at one depth, kept at once: a few KB each
    bool walks = true;                 // after what breadth first has found
    double breadth = 0.5;              // of the time
};

template <class Model>
struct ExplorationResult {
    std::uint64_t states = 0, steps = 0, walks = 0;
    int depth = 0;     // to which every order was looked at
    bool all = false;  // there was nothing further
    double seconds = 0;
    std::string broken;
    std::vector<typename Model::Step> run;
    bool shortest = false;  // none is shorter
    bool healed = false;    // it shows once nothing fails any more and all that was sent has come
};

template <class Model>
class StateExplorer {
  public:
    using Step = typename Model::Step;
    StateExplorer(Model start, const ExplorationOptions& wanted)
        : start_(std::move(start)), wanted_(wanted) {}

    ExplorationResult<Model> explore() {
        const auto began = Clock::now();
        breadth(began, wanted_.seconds * wanted_.breadth);
        if (wanted_.walks && out_.broken.empty() && !out_.all) walk(began, wanted_.seconds * 0.9);
        if (!out_.broken.empty() && !out_.shortest) shrink(began);
        out_.seconds = since(began);
        return std::move(out_);
    }

  private:
    using Clock = std::chrono::steady_clock;
    struct Hash {
        std::size_t operator()(const XXH128_hash_t& h) const { return static_cast<std::size_t>(h.low64); }
    };
    struct Same {
        bool operator()(const XXH128_hash_t& a, const XXH128_hash_t& b) const { return XXH128_isEqual(a, b); }
    };
    static double since(Clock::time_point began) {
        return std::chrono::duration<double>(Clock::now() - began).count();
    }
    bool isNew(const Model& m) {
        const std::string image = m.image();
        return seen_.insert(XXH3_128bits(image.data(), image.size())).second;
    }

    void breadth(Clock::time_point began, double seconds) {
        struct Node {
            Model model;
            std::vector<Step> run;
        };
        std::vector<Node> level{{start_, {}}};
        isNew(start_);
        for (int depth = 1; !level.empty(); ++depth) {
            std::vector<Node> next;
            for (Node& node : level) {
                for (const Step& action : node.model.actions()) {
                    Model m = node.model;
                    if (!m.apply(action)) continue;
                    ++out_.steps;
                    if (!m.broken().empty()) {
                        out_.broken = m.broken();
                        out_.run = node.run;
                        out_.run.push_back(action);
                        out_.shortest = true;
                        return;
                    }
                    if (!isNew(m)) continue;
                    ++out_.states;
                    auto run = node.run;
                    run.push_back(action);
                    next.push_back({std::move(m), std::move(run)});
                }
                if (since(began) > seconds || next.size() > wanted_.mostStates) return;
                node.run = {};
            }
            out_.depth = depth;
            level = std::move(next);
        }
        out_.all = true;
    }

    void walk(Clock::time_point began, double seconds) {
        std::mt19937 chance(static_cast<std::mt19937::result_type>(wanted_.seed));
        while (since(began) < seconds) {
            ++out_.walks;
            Model m = start_;
            std::vector<Step> run;
            for (int i = 0; i < wanted_.walkLength && m.broken().empty(); ++i) {
                const Step action = m.drawn(chance);
                if (!m.apply(action)) continue;
                ++out_.steps;
                run.push_back(action);
            }
            out_.healed = m.broken().empty();
            if (out_.healed) m.heal();
            if (m.broken().empty()) continue;
            out_.broken = m.broken();
            out_.run = std::move(run);
            return;
        }
    }

    // The same break, or another one: any run that breaks something will do.
    std::string playedTo(const std::vector<Step>& run, std::vector<Step>& needed, bool& healed) const {
        Model m = start_;
        needed.clear();
        healed = false;
        for (const Step& action : run) {
            if (!m.apply(action)) continue;
            needed.push_back(action);
            if (!m.broken().empty()) return m.broken();
        }
        healed = true;
        m.heal();
        return m.broken();
    }

    void shrink(Clock::time_point began) {
        const double until = std::max(wanted_.seconds, since(began) + 5);
        for (std::size_t piece = std::max<std::size_t>(out_.run.size() / 2, 1); since(began) < until;) {
            bool less = false;
            for (std::size_t at = 0; at < out_.run.size() && since(began) < until;) {
                auto without = out_.run;
                const auto from = without.begin() + static_cast<std::ptrdiff_t>(at);
                without.erase(from, from + static_cast<std::ptrdiff_t>(std::min(piece, without.size() - at)));
                std::vector<Step> needed;
                bool healed = false;
                const std::string broken = playedTo(without, needed, healed);
                if (broken.empty()) {
                    at += piece;
                    continue;
                }
                out_.broken = broken;
                out_.run = std::move(needed);
                out_.healed = healed;
                less = true;
            }
            if (!less && piece == 1) return;
            if (!less) piece = std::max<std::size_t>(piece / 2, 1);
        }
    }

    Model start_;
    ExplorationOptions wanted_;
    ExplorationResult<Model> out_;
    std::unordered_set<XXH128_hash_t, Hash, Same> seen_;
};

}  // namespace poppyscale::testbed
