// Seeded random draws of a scenario. Equal seeds give equal runs.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

#include "base/time.hpp"

namespace poppyscale::testbed {

class Random {
  public:
    explicit Random(std::uint64_t seed)
        : engine_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))) {}

    double fraction() { return std::generate_canonical<double, 32>(engine_); }
    bool chance(double share) { return share > 0 && fraction() < share; }
    int integerBelow(int count) { return std::min(static_cast<int>(fraction() * count), count - 1); }
    std::uint64_t uint64() {
        const std::uint64_t high = engine_();
        return high << 32 | engine_();
    }
    Nanos interarrivalTime(double perSecond) {
        return static_cast<Nanos>(std::exponential_distribution<double>(perSecond)(engine_) * 1e9) + 1;
    }
    // A log-normal factor with mean 1 and standard deviation `spread`.
    double factor(double spread) {
        if (spread <= 0) return 1;
        const double sigma = std::sqrt(std::log(1 + spread * spread));
        return std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(engine_);
    }
    // The index of one of `items`, drawn in proportion to its weight.
    template <class Items, class Weight>
    int weightedIndex(const Items& items, Weight weight) {
        double total = 0;
        for (const auto& item : items) total += weight(item);
        double remaining = fraction() * total;
        for (std::size_t i = 0; i < items.size(); ++i)
            if ((remaining -= weight(items[i])) < 0) return static_cast<int>(i);
        return static_cast<int>(items.size()) - 1;
    }
    std::mt19937& engine() { return engine_; }

  private:
    std::mt19937 engine_;
};

// Ranks of keys by Zipf's law: rank k is drawn with a weight of 1/(k+1)^exponent. The cumulative
// weights are computed once and searched for each draw.
class Zipf {
  public:
    Zipf(int keyCount, double exponent) {
        double sum = 0;
        for (int k = 0; k < keyCount; ++k) cumulativeWeights_.push_back(sum += std::pow(k + 1, -exponent));
    }
    int draw(Random& random) const {
        const auto found = std::upper_bound(cumulativeWeights_.begin(), cumulativeWeights_.end(),
                                            random.fraction() * cumulativeWeights_.back());
        return static_cast<int>(
            std::min<std::ptrdiff_t>(found - cumulativeWeights_.begin(), std::ssize(cumulativeWeights_) - 1));
    }

  private:
    std::vector<double> cumulativeWeights_;
};

}  // namespace poppyscale::testbed
