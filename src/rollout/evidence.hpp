// Evidence that one side fares worse than another, which may be looked at after any window and at any time.
//
// Of `k` bad events in a window, each falls to the changed side with chance q, its share of what would be
// expected if both fared alike. For a ratio r it would be qr / (1 - q + qr). The product over windows of the
// likelihood ratios, mixed over a few r, is a martingale from 1 if nothing is worse, so by Ville's inequality
// it ever reaches 1/a with chance a at most (Wald 1945; Robbins 1970; the form in which A/B tests use it:
// Johari, Pekelis and Walsh, "Always valid inference", 2015). Taking the events of each window and zone apart
// makes what hits both sides alike no evidence at all.
//
// Where the unchanged side has next to no bad events that says little: all events fall to the changed side
// then, harmful or not. There the count itself is evidence, beside a Poisson of what may be: the usual share
// or, if that is more, this window's at the unchanged, with margin and allowance. Of both the mean is taken,
// which is a martingale of the same kind.
//
// Events come in bursts, and instances differ: both make chance look like evidence. How much more unchanged
// instances differ from one another than single events would is measured, and the evidence of a window is
// raised to the inverse of that: a martingale's power below one is a supermartingale, so the bound holds.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <vector>

#include "policy/routing_policy.hpp"

namespace poppyscale::rollout {

// One cell: a zone within a window.
struct Cell {
    double changedBad = 0, changedAll = 0;
    double unchangedBad = 0, unchangedAll = 0;
};

class Evidence {
  public:
    // `margin`: the ratio that is still let be. `allowance`: the share that is, on top.
    Evidence(double margin, double allowance) : margin_(margin), allowance_(allowance) {}

    // `usual`: the share of bad among the unchanged before this window; `spread` as of `Spread`.
    void add(const Cell& cell, double usual, double spread);
    // The logarithm of the evidence, and the most that it has been.
    double log() const;
    void clear();
    double changedBad() const { return bad_; }
    double changedAll() const { return all_; }
    double unchangedBad() const { return otherBad_; }
    double unchangedAll() const { return otherAll_; }
    double changedShare() const { return all_ > 0 ? bad_ / all_ : 0; }
    double unchangedShare() const { return otherAll_ > 0 ? otherBad_ / otherAll_ : 0; }
    double allowance() const { return allowance_; }
    double margin() const { return margin_; }

  private:
    static constexpr std::array<double, 6> kRatios{1.15, 1.4, 2, 4, 10, 40};
    double margin_, allowance_;
    std::array<double, kRatios.size()> logs_{}, counted_{};
    double bad_ = 0, all_ = 0, otherBad_ = 0, otherAll_ = 0;
};

// How much more single instances differ than their events would by themselves: the chi-square of counts
// that decay, over its degrees of freedom; 1 at least.
class Spread {
  public:
    explicit Spread(Nanos half) : half_(half) {}
    // Of instance `who`, beside all of its cell.
    void add(Nanos now, int who, double bad, double expected);
    void forget(int who) { sums_.erase(who); }
    double value() const;

  private:
    struct Sum {
        Nanos at = 0;
        double bad = 0, expected = 0;
    };
    Nanos half_;
    std::map<int, Sum> sums_;
};

// Shares that decay, updated when they are read or added to.
class Share {
  public:
    explicit Share(Nanos half) : half_(half) {}
    void add(Nanos now, double bad, double all);
    double bad() const { return bad_; }
    double all() const { return all_; }
    double value() const { return all_ > 0 ? bad_ / all_ : 0; }

  private:
    Nanos half_;
    Nanos at_ = 0;
    double bad_ = 0, all_ = 0;
};

// The share that is reached with `chance` at most, after `bad` of `all` (Clopper and Pearson 1934).
double upperShare(double bad, double all, double chance);

}  // namespace poppyscale::rollout
