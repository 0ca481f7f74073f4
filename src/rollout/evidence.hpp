// Sequential evidence that the changed side does worse than the unchanged side. It may be read after any
// window and at any time without inflating the rate of false alarms.
//
// Of `k` bad events in a window, each falls to the changed side with probability q, the changed side's part
// of what would be expected if both sides did alike. At a ratio r between the sides it would be
// qr / (1 - q + qr). The product over windows of the likelihood ratios, mixed over a few r, is a martingale
// that starts at 1 if nothing is worse, so by Ville's inequality it ever reaches 1/a with probability a at
// most (Wald 1945; Robbins 1970; the form used for A/B tests: Johari, Pekelis and Walsh, "Always valid
// inference", 2015). Each window and zone is a comparison of its own, so what hits both sides alike is no
// evidence.
//
// Where the unchanged side has next to no bad events, that says little: all events fall to the changed side
// then, harmful or not. There the count itself is compared with a Poisson distribution at the tolerated rate:
// the baseline or, if that is more, this window's ratio of the unchanged side, with margin and allowance.
// The mean of both martingales is taken, which is a martingale too.
//
// Events come in bursts, and instances differ: both make chance look like evidence. Overdispersion says how
// much, and the evidence of a window is raised to the power of its inverse: a martingale's power below one is
// a supermartingale, so the bound still applies.
#pragma once

#include <array>
#include <cstddef>

namespace poppyscale::rollout {

// Both sides' counts of one zone in one window.
struct PairedCounts {
    double changedBad = 0;
    double changedTotal = 0;
    double unchangedBad = 0;
    double unchangedTotal = 0;
};

class Evidence {
  public:
    // `margin`: tolerated ratio of the sides. `allowance`: tolerated on top of it, as a ratio of the total.
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
    // The alternatives that are mixed: how many times worse the changed side may be.
    static constexpr std::array<double, 6> kRatios{1.15, 1.4, 2, 4, 10, 40};

    double margin_;
    double allowance_;
    std::array<double, kRatios.size()> logBinomial_{};  // by ratio: which side the bad events fall to
    std::array<double, kRatios.size()> logPoisson_{};   // by ratio: how many there are
    double changedBad_ = 0;
    double changedTotal_ = 0;
    double unchangedBad_ = 0;
    double unchangedTotal_ = 0;
};

// Upper end of the one-sided confidence interval for the probability of a bad event, after `bad` of `total`.
// The true probability lies above it with `errorProbability` at most (Clopper and Pearson 1934).
double upperConfidenceBound(double bad, double total, double errorProbability);

}  // namespace poppyscale::rollout
