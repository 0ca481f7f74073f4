// The slopes of scale runs: the same run at growing sizes of one option, a line through each figure, and a
// prediction for a size that is then played.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "testbed/scale/scale.hpp"

namespace poppyscale::testbed::scale {

enum class Varied { routers, caches, rate };

struct SlopeSeries {
    Varied varied = Varied::routers;
    std::vector<double> sizes;  // the usual ones of what is varied where empty
    int seeds = 3;
    int factor = 4;  // of the largest size, for the prediction; 0 leaves it out
    Options options;
};

using RunFunction = std::function<Result(const Options&)>;

std::vector<double> usualSizes(Varied varied);
const char* nameOf(Varied varied);
// The options of one run.
Options optionsAt(const SlopeSeries& series, double size, std::uint64_t seed);

// Prints samples, fits and predictions; true where every prediction held.
bool runSlopes(const SlopeSeries& series, const RunFunction& play);

}  // namespace poppyscale::testbed::scale
