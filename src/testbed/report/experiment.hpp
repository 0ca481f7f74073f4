// Compares two routers on the same seeds, and measures a router's processor time per request.
#pragma once

#include <string>
#include <vector>

#include "testbed/emulator/scenario.hpp"

namespace poppyscale::testbed {

// The p-value of a paired permutation test over all 2^n sign patterns: how likely the sum of the differences
// is at least this far from 0 if the pairs differ by chance only.
double permutationPValue(const std::vector<double>& differences);

struct RunResult {
    std::vector<std::string> brokenRules;
    std::vector<std::pair<std::string, double>> figures;
    bool isLate = false;
    double valueOf(const std::string& name) const;
};
RunResult runOnce(const Scenario& scenario, std::uint64_t seed, const std::string& program);

struct ComparisonOptions {
    std::string a, b;
    int runs = 8;
    std::string figure = "utility";
};
// Prints a table for each scenario. Returns true if no scenario shows a significant difference.
bool compare(const std::vector<Scenario>& scenarios, const ComparisonOptions& options);

// Prints the processor time per request of `program` and of the pass-through proxy, from one run of each.
void cost(const Scenario& scenario, std::uint64_t seed, const std::string& program,
          const std::string& testbedProgram);

}  // namespace poppyscale::testbed
