// Everything drawn in a scenario, from one seed.
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
        : source_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))) {}

    double fraction() { return std::generate_canonical<double, 32>(source_); }
    bool chance(double share) { return share > 0 && fraction() < share; }
    int below(int count) { return std::min(static_cast<int>(fraction() * count), count - 1); }
    std::uint64_t randomWord() {
        const std::uint64_t high = source_();
        return high << 32 | source_();
    }
    Nanos gap(double perSecond) {
        return static_cast<Nanos>(std::exponential_distribution<double>(perSecond)(source_) * 1e9) + 1;
    }
    // With mean 1 and standard deviation `spread`.
    double factor(double spread) {
        if (spread <= 0) return 1;
        const double sigma = std::sqrt(std::log(1 + spread * spread));
        return std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(source_);
    }
    // One of several, each by its weight.
    template <class Items, class Weight>
    int among(const Items& items, Weight weight) {
        double all = 0;
        for (const auto& item : items) all += weight(item);
        double at = fraction() * all;
        for (std::size_t i = 0; i < items.size(); ++i)
            if ((at -= weight(items[i])) < 0) return static_cast<int>(i);
        return static_cast<int>(items.size()) - 1;
    }
    std::mt19937& source() { return source_; }

  private:
    std::mt19937 source_;
};

// Ranks of keys by Zipf's law: rank k is drawn by 1/(k+1)^s. The weights are added up once and searched.
class Zipf {
  public:
    Zipf(int keys, double s) {
        double sum = 0;
        for (int k = 0; k < keys; ++k) sums_.push_back(sum += std::pow(k + 1, -s));
    }
    int draw(Random& chance) const {
        const auto at = std::upper_bound(sums_.begin(), sums_.end(), chance.fraction() * sums_.back());
        return static_cast<int>(std::min<std::ptrdiff_t>(at - sums_.begin(), std::ssize(sums_) - 1));
    }

  private:
    std::vector<double> sums_;
};

}  // namespace poppyscale::testbed
