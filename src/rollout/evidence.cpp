#include "rollout/evidence.hpp"

#include <algorithm>
#include <boost/math/distributions/beta.hpp>
#include <cmath>

namespace poppyscale::rollout {
namespace {

constexpr double kMinBaseline = 1e-5;

}  // namespace

void Evidence::add(const PairedCounts& counts, double baseline, double overdispersion) {
    changedBad_ += counts.changedBad;
    changedTotal_ += counts.changedTotal;
    unchangedBad_ += counts.unchangedBad;
    unchangedTotal_ += counts.unchangedTotal;
    const double events = counts.changedBad + counts.unchangedBad;
    if (counts.changedTotal <= 0 || counts.unchangedTotal <= 0) return;
    // Uses the baseline instead of this window's ratio: the probability must not depend on the
    // events that it is applied to.
    const double ratio = std::max(baseline, kMinBaseline);
    const double expectedChanged = counts.changedTotal * (margin_ * ratio + allowance_);
    const double changedProbability = expectedChanged / (expectedChanged + counts.unchangedTotal * ratio);
    const double toleratedChanged =
        counts.changedTotal *
        (margin_ * std::max(ratio, counts.unchangedBad / counts.unchangedTotal) + allowance_);
    const double weight = 1 / std::max(overdispersion, 1.0);
    for (std::size_t i = 0; i < kRatios.size(); ++i) {
        const double r = kRatios[i];
        logBinomial_[i] +=
            weight * (counts.changedBad * std::log(r) - events * std::log1p(changedProbability * (r - 1)));
        logPoisson_[i] += weight * (counts.changedBad * std::log(r) - toleratedChanged * (r - 1));
    }
}

double Evidence::logValue() const {
    // Factors out the largest term, so that the exponentials stay in range.
    const double largest = std::max(*std::max_element(logBinomial_.begin(), logBinomial_.end()),
                                    *std::max_element(logPoisson_.begin(), logPoisson_.end()));
    double sum = 0;
    for (const double term : logBinomial_) sum += std::exp(term - largest);
    for (const double term : logPoisson_) sum += std::exp(term - largest);
    return largest + std::log(sum / static_cast<double>(2 * logBinomial_.size()));
}

double upperConfidenceBound(double bad, double total, double errorProbability) {
    if (total <= 0 || bad >= total) return 1;
    return boost::math::quantile(boost::math::beta_distribution<double>(bad + 1, total - bad),
                                 1 - errorProbability);
}

}  // namespace poppyscale::rollout
