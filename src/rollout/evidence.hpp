// Sequential evidence that the changed side does worse than the unchanged side. It may be read
// after any window and at any time without inflating the rate of false alarms.
//
// If both sides perform alike, up to margin and allowance, each bad event of a window is on the
// changed side with probability q, which is the changed side's part of all expected bad events. If
// the changed side's rate is r times as high, the probability is qr / (1 - q + qr). If the changed
// side is no worse, the product over windows of the likelihood ratios, averaged over a few values
// of r, is a martingale that starts at 1. By Ville's inequality, the probability that it ever
// reaches 1/a is then at most a (Wald 1945; Robbins 1970; the form used for A/B tests: Johari,
// Pekelis and Walsh, "Always valid inference", 2015). Each window and zone is compared separately,
// so a fault that hits both sides alike is no evidence.
//
// This comparison says little where the unchanged side has almost no bad events: all bad events
// are then on the changed side, whether the change is harmful or not. Therefore the changed side's
// count is also compared with a Poisson distribution at the tolerated rate: the baseline or, if
// greater, the unchanged side's ratio in this window, with margin and allowance. The evidence is
// the mean of both martingales, which is a martingale too.
//
// Events come in bursts and instances differ, so chance may look like evidence. Overdispersion
// measures how strong this effect is; the evidence of a window is raised to the power 1 / overdispersion. A
// martingale raised to a power below one is a supermartingale, so the bound still applies.
#pragma once

#include <array>
#include <cstddef>

namespace poppyscale::rollout {

// The counts of both sides in one zone and window.
struct PairedCounts {
    double changedBad = 0;
    double changedTotal = 0;
    double unchangedBad = 0;
    double unchangedTotal = 0;
};

class Evidence {
  public:
    // `margin`: tolerated ratio of the changed side's rate to the unchanged side's. `allowance`:
    // tolerated on top of that, as a fraction of the total.
    Evidence(double margin, double allowance) : margin_(margin), allowance_(allowance) {}

    // `baseline`: ratio of bad events on the unchanged side before this window. `overdispersion`: at least 1.
    void add(const PairedCounts& counts, double baseline, double overdispersion);
    // The natural logarithm of the evidence.
    double logValue() const;

    // Sums of all windows since the start.
    double changedBad() const { return changedBad_; }
    double changedTotal() const { return changedTotal_; }
    double unchangedTotal() const { return unchangedTotal_; }
    // Ratio of bad events to the total; 0 without any.
    double changedRatio() const { return changedTotal_ > 0 ? changedBad_ / changedTotal_ : 0; }
    double unchangedRatio() const { return unchangedTotal_ > 0 ? unchangedBad_ / unchangedTotal_ : 0; }

  private:
    // Alternative hypotheses over which the evidence is averaged: how many times as high the changed
    // side's rate is.
    static constexpr std::array<double, 6> kRatios{1.15, 1.4, 2, 4, 10, 40};

    double margin_;
    double allowance_;
    // Log likelihood ratio of how the bad events divide between the sides, for each of kRatios.
    std::array<double, kRatios.size()> logBinomial_{};
    // Log likelihood ratio of the changed side's number of bad events, for each of kRatios.
    std::array<double, kRatios.size()> logPoisson_{};
    double changedBad_ = 0;
    double changedTotal_ = 0;
    double unchangedBad_ = 0;
    double unchangedTotal_ = 0;
};

// Upper end of the one-sided confidence interval for the probability of a bad event, after `bad` of `total`.
// The true probability lies above it with `errorProbability` at most (Clopper and Pearson 1934).
double upperConfidenceBound(double bad, double total, double errorProbability);

}  // namespace poppyscale::rollout
