// Statistics over recent events. Older events count less: their contribution halves once per
// half-life.
#pragma once

#include <map>

#include "base/time.hpp"

namespace poppyscale::rollout {

// The ratio of two sums that decay whenever something is added.
class DecayingRatio {
  public:
    explicit DecayingRatio(Nanos halfLife) : halfLife_(halfLife) {}

    // `numerator` and `denominator` are the counts since the previous call.
    void add(Nanos now, double numerator, double denominator);
    double numerator() const { return numerator_; }
    double denominator() const { return denominator_; }
    // 0 while the denominator is 0.
    double value() const { return denominator_ > 0 ? numerator_ / denominator_ : 0; }

  private:
    Nanos halfLife_;
    Nanos updatedAt_ = 0;  // 0: never
    double numerator_ = 0;
    double denominator_ = 0;
};

// How much more instances differ from one another than independent events would make them: the chi-square of
// decaying counts over its degrees of freedom.
class Overdispersion {
  public:
    explicit Overdispersion(Nanos halfLife) : halfLife_(halfLife) {}

    // Adds `bad` events of one instance. `expected`: how many its traffic would have at its zone's
    // rate.
    void add(Nanos now, int instance, double bad, double expected);
    // Drops an instance that no longer serves as a reference.
    void forget(int instance) { sums_.erase(instance); }
    // At least 1, which means no more difference than chance gives, or too few events to tell.
    double value() const;

  private:
    struct Sum {
        Nanos updatedAt = 0;  // 0: never
        double bad = 0;
        double expected = 0;
    };

    Nanos halfLife_;
    std::map<int, Sum> sums_;  // sums by instance
};

}  // namespace poppyscale::rollout
