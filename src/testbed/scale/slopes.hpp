// Slopes of scale runs: repeats a run at growing values of one option, fits a line to each figure,
// and checks its prediction by a run at a larger value.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "testbed/scale/scale.hpp"

namespace poppyscale::testbed::scale {

enum class Varied { routers, caches, rate };

struct SlopeSeries {
    Varied varied = Varied::routers;
    std::vector<double> sizes;  // if empty, the default sizes of `varied`
    int seeds = 3;
    int predictionFactor = 4;  // predicted size / largest measured size; 0: no prediction
    Options options;
};

using RunFunction = std::function<Result(const Options&)>;

std::vector<double> defaultSizes(Varied varied);
const char* nameOf(Varied varied);
// The options of the run at one size.
Options optionsAt(const SlopeSeries& series, double size, std::uint64_t seed);

// Prints samples, fits and predictions. Returns whether every prediction held.
bool runSlopes(const SlopeSeries& series, const RunFunction& run);

}  // namespace poppyscale::testbed::scale
