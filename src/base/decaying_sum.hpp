// A sum whose terms lose weight exponentially with their age.
#pragma once

#include <algorithm>
#include <cmath>

#include "base/time.hpp"

namespace poppyscale {

// Each term counts 1/e of its value after one time constant. A `now` that is earlier than a
// previous one is replaced by the latest one.
class DecayingSum {
  public:
    // `timeConstant` in nanoseconds, above zero.
    explicit DecayingSum(Nanos timeConstant) : timeConstant_(static_cast<double>(timeConstant)) {}

    // The sum as of `now`. Applies the decay since the last call, hence not const.
    double read(Nanos now) {
        if (now > updatedAt_ && sum_ != 0)
            sum_ *= std::exp(-static_cast<double>(now - updatedAt_) / timeConstant_);
        updatedAt_ = std::max(updatedAt_, now);
        return sum_;
    }
    void add(Nanos now, double value) { sum_ = read(now) + value; }
    void clear() { sum_ = 0; }

  private:
    double timeConstant_;
    double sum_ = 0;
    Nanos updatedAt_ = 0;
};

// The value that a DecayingSum has `elapsed` after its start if 1 is added to it in each nanosecond.
// A sum divided by this value is a rate per nanosecond, even when the sum is younger than its time
// constant.
inline double effectiveDuration(Nanos timeConstant, Nanos elapsed) {
    const auto constant = static_cast<double>(timeConstant);
    return -constant * std::expm1(-static_cast<double>(elapsed) / constant);
}

}  // namespace poppyscale
