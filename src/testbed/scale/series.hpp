// Measures quantities at growing sizes, fits a line to each, predicts their values at a larger size
// and checks the predictions by a measurement there.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "testbed/scale/fit.hpp"

namespace poppyscale::testbed::scale {

template <class Cost>
struct Quantity {
    const char* name;
    const char* unit;
    double Cost::*value;
};

template <class Cost>
using Measure = std::function<Cost(double size, std::uint64_t seed)>;

template <class Cost>
void printSamples(const std::string& variedName, double size, const std::vector<Quantity<Cost>>& quantities,
                  const std::vector<Cost>& costs) {
    fmt::print("{}={:g}", variedName, size);
    for (const auto& q : quantities) {
        std::vector<double> values;
        for (const Cost& cost : costs) values.push_back(cost.*q.value);
        fmt::print("  {} {:.5g} {} (spread {:.0f}%)", q.name, medianOf(values), q.unit,
                   100 * spreadOf(values));
    }
    fmt::print("\n");
    std::fflush(stdout);
}

// Returns whether every prediction held. The prediction is for `predictionFactor` times the largest
// size; with 0 there is no prediction.
template <class Cost>
bool runSeries(const std::string& variedName, const std::vector<double>& sizes, int seeds,
               int predictionFactor, const std::vector<Quantity<Cost>>& quantities,
               const Measure<Cost>& measure) {
    std::vector<std::vector<Sample>> samples(quantities.size());
    std::vector<std::vector<Cost>> costs(sizes.size());
    // All sizes are measured with one seed before the next seed, so that a passing load on the
    // machine does not affect one size alone.
    for (int seed = 1; seed <= seeds; ++seed)
        for (std::size_t i = 0; i < sizes.size(); ++i) costs[i].push_back(measure(sizes[i], seed));
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        printSamples(variedName, sizes[i], quantities, costs[i]);
        for (std::size_t q = 0; q < quantities.size(); ++q)
            for (const Cost& cost : costs[i]) samples[q].push_back({sizes[i], cost.*quantities[q].value});
    }
    std::vector<LineFit> fits;
    for (std::size_t q = 0; q < quantities.size(); ++q) {
        fits.push_back(fitLine(samples[q]));
        fmt::print("{}\n", describe(quantities[q].name, fits[q], quantities[q].unit));
    }
    if (predictionFactor == 0) return true;
    // The predictions are printed before the measurement that tests them.
    const double predictedSize = predictionFactor * fits.front().largestSize;
    for (std::size_t q = 0; q < quantities.size(); ++q)
        fmt::print("predicted {} at {}={:g}: {:.5g} {}\n", quantities[q].name, variedName, predictedSize,
                   fits[q].at(predictedSize), quantities[q].unit);
    std::fflush(stdout);
    std::vector<Cost> measuredCosts;
    for (int seed = 1; seed <= seeds; ++seed) measuredCosts.push_back(measure(predictedSize, seed));
    printSamples(variedName, predictedSize, quantities, measuredCosts);
    bool allHeld = true;
    for (std::size_t q = 0; q < quantities.size(); ++q) {
        std::vector<double> values;
        for (const Cost& cost : measuredCosts) values.push_back(cost.*quantities[q].value);
        const Prediction prediction = checkPrediction(fits[q], predictedSize, values);
        fmt::print("{}\n", describe(quantities[q].name, prediction, quantities[q].unit));
        allHeld = allHeld && prediction.isWithinTolerance;
    }
    return allHeld;
}

}  // namespace poppyscale::testbed::scale
