// Two routers side by side on the same seeds, and what a router costs.
#pragma once

#include <string>
#include <vector>

#include "testbed/emulator/scenario.hpp"

namespace poppyscale::testbed {

// How likely pairs that differ by nothing but chance would differ this much: all 2^n ways to turn them round.
double chanceOf(const std::vector<double>& differences);

struct RunResult {
    std::vector<std::string> broken;
    std::vector<std::pair<std::string, double>> figures;
    bool late = false;
    double of(const std::string& name) const;
};
RunResult runOnce(const Scenario& scenario, std::uint64_t seed, const std::string& program);

struct ComparisonOptions {
    std::string a, b;
    int plays = 8;
    std::string figure = "utility";
};
// Prints a table for each scenario; true when none differs by more than noise.
bool compare(const std::vector<Scenario>& scenarios, const ComparisonOptions& wanted);

// CPU a command of `program` beside the pass-through proxy's, from one run of both.
void cost(const Scenario& scenario, std::uint64_t seed, const std::string& program, const std::string& lab);

}  // namespace poppyscale::testbed
