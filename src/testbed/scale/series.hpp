// One quantity after another over growing sizes: samples, fit, prediction, and the measurement that tests it.
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
void printSamples(const std::string& what, double size, const std::vector<Quantity<Cost>>& quantities,
                  const std::vector<Cost>& costs) {
    fmt::print("{}={:g}", what, size);
    for (const auto& q : quantities) {
        std::vector<double> values;
        for (const Cost& cost : costs) values.push_back(cost.*q.value);
        fmt::print("  {} {:.5g} {} (spread {:.0f}%)", q.name, medianOf(values), q.unit,
                   100 * spreadOf(values));
    }
    fmt::print("\n");
    std::fflush(stdout);
}

// True where every prediction held. `factor` 0 leaves the predictions out.
template <class Cost>
bool runSeries(const std::string& what, const std::vector<double>& sizes, int seeds, int factor,
               const std::vector<Quantity<Cost>>& quantities, const Measure<Cost>& measure) {
    std::vector<std::vector<Sample>> samples(quantities.size());
    std::vector<std::vector<Cost>> costs(sizes.size());
    // Sizes within seeds: what else the machine does for a while must not fall on one size.
    for (int seed = 1; seed <= seeds; ++seed)
        for (std::size_t i = 0; i < sizes.size(); ++i) costs[i].push_back(measure(sizes[i], seed));
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        printSamples(what, sizes[i], quantities, costs[i]);
        for (std::size_t q = 0; q < quantities.size(); ++q)
            for (const Cost& cost : costs[i]) samples[q].push_back({sizes[i], cost.*quantities[q].value});
    }
    std::vector<LineFit> fits;
    for (std::size_t q = 0; q < quantities.size(); ++q) {
        fits.push_back(fitLine(samples[q]));
        fmt::print("{}\n", describe(quantities[q].name, fits[q], quantities[q].unit));
    }
    if (factor == 0) return true;
    // The predictions stand printed before the size that can refute them is measured.
    const double largest = factor * fits.front().largestSize;
    for (std::size_t q = 0; q < quantities.size(); ++q)
        fmt::print("predicted {} at {}={:g}: {:.5g} {}\n", quantities[q].name, what, largest,
                   fits[q].at(largest), quantities[q].unit);
    std::fflush(stdout);
    std::vector<Cost> tested;
    for (int seed = 1; seed <= seeds; ++seed) tested.push_back(measure(largest, seed));
    printSamples(what, largest, quantities, tested);
    bool all = true;
    for (std::size_t q = 0; q < quantities.size(); ++q) {
        std::vector<double> values;
        for (const Cost& cost : tested) values.push_back(cost.*quantities[q].value);
        const Prediction p = compare(fits[q], largest, values);
        fmt::print("{}\n", describe(quantities[q].name, p, quantities[q].unit));
        all = all && p.used;
    }
    return all;
}

}  // namespace poppyscale::testbed::scale
