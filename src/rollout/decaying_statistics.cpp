#include "rollout/decaying_statistics.hpp"

#include <algorithm>
#include <cmath>

namespace poppyscale::rollout {
namespace {

constexpr double kMinExpected = 0.5;  // events of an instance; with fewer, the chi-square approximation fails
// Prior: added to both the chi-square and the degrees of freedom, so that few instances do not give
// extreme values.
constexpr double kPriorDegreesOfFreedom = 3;

double decayFactor(Nanos elapsed, Nanos halfLife) {
    return std::exp2(-static_cast<double>(elapsed) / static_cast<double>(halfLife));
}

}  // namespace

void DecayingRatio::add(Nanos now, double numerator, double denominator) {
    const double factor = updatedAt_ ? decayFactor(now - updatedAt_, halfLife_) : 0;
    updatedAt_ = now;
    numerator_ = numerator_ * factor + numerator;
    denominator_ = denominator_ * factor + denominator;
}

void Overdispersion::add(Nanos now, int instance, double bad, double expected) {
    Sum& sum = sums_[instance];
    const double factor = sum.updatedAt ? decayFactor(now - sum.updatedAt, halfLife_) : 0;
    sum.updatedAt = now;
    sum.bad = sum.bad * factor + bad;
    sum.expected = sum.expected * factor + expected;
}

double Overdispersion::value() const {
    double chiSquare = 0;
    int degreesOfFreedom = -1;
    for (const auto& [instance, sum] : sums_) {
        if (sum.expected < kMinExpected) continue;
        chiSquare += (sum.bad - sum.expected) * (sum.bad - sum.expected) / sum.expected;
        ++degreesOfFreedom;
    }
    if (degreesOfFreedom < 1) return 1;
    return std::max(1.0, (chiSquare + kPriorDegreesOfFreedom) / (degreesOfFreedom + kPriorDegreesOfFreedom));
}

}  // namespace poppyscale::rollout
