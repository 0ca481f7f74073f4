// The random numbers of the routing policy.
#pragma once

#include <cstdint>
#include <random>

#include "base/time.hpp"

namespace poppyscale::policy {

// One generator for all decisions of a policy, so that a run can be repeated exactly from its seed
// and events. Each call draws one number.
class Random {
  public:
    explicit Random(std::uint64_t seed) {
        std::seed_seq sequence{static_cast<unsigned>(seed), static_cast<unsigned>(seed >> 32)};
        generator_.seed(sequence);
    }

    // Uniform in [0, 1).
    double sample() { return static_cast<double>(generator_()) / 4294967296.0; }
    // Uniform in [0, width).
    Nanos jitter(Nanos width) { return static_cast<Nanos>(static_cast<double>(width) * sample()); }

  private:
    std::mt19937 generator_;
};

}  // namespace poppyscale::policy
