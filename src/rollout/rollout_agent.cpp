#include "rollout/rollout_agent.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace poppyscale::rollout {
namespace {

constexpr Nanos kTryAgain = 2'000 * kMillisecond;  // what could not be brought back
// Of a process that has just come: time for a coordinator that lives to be heard, and no more, or one that
// ends again and again would keep a change for good.
constexpr Nanos kFirstWord = 3'000 * kMillisecond;

}  // namespace

Agent::Agent(int instances, const Version& now, AgentHands& hands) : hands_(hands) {
    all_.resize(static_cast<std::size_t>(instances));
    held_.before = wanted_.before = now;
}

void Agent::restore(Nanos now, const Held& held) {
    held_ = wanted_ = held;
    wordUntil_ = now + std::min(held.keep, kFirstWord);
    // Who was on its way is brought where it is to be, and so is who may have been.
    for (int i = 0; i < static_cast<int>(all_.size()); ++i)
        if (held.changed.contains(i)) go(now, i, Stand::changing);
}

bool Agent::allBefore() const {
    return std::all_of(all_.begin(), all_.end(), [](const One& o) { return o.stand == Stand::before; });
}

const Version& Agent::versionOf(int i) const {
    const Stand s = at(i).stand;
    return s == Stand::changing || s == Stand::changed ? held_.change : held_.before;
}

void Agent::go(Nanos now, int i, Stand stand) {
    One& one = at(i);
    one.stand = stand;
    one.since = now;
    if (stand == Stand::changing) hands_.bring(i, held_.change);
    if (stand == Stand::back) hands_.bring(i, held_.before);
}

void Agent::want(const Held& held) {
    if (held == wanted_ && (keeping_ || acts_)) return;
    wanted_ = held;
    acts_ = false;
    if (keeping_) {
        again_ = true;
        return;
    }
    keeping_ = true;
    hands_.keep(wanted_);
}

std::string Agent::hear(Nanos now, const Order& o, const Version& change) {
    if (o.number < wanted_.number) return fmt::format("overtaken by {}", wanted_.number);
    if (o.number == wanted_.number && o.step <= step_)
        return fmt::format("overtaken by a later order of {}", o.number);
    for (const int i : o.changed)
        if (i < 0 || i >= static_cast<int>(all_.size())) return fmt::format("there is no instance {}", i);
    Held h = wanted_;
    const bool begins = o.number > h.number && allBefore() && h.changed.empty();
    h.number = o.number;
    step_ = o.step;
    // Another change is begun only where nothing of the one before is left.
    const bool other = o.digest != h.digest;
    if (other && !(allBefore() && h.changed.empty())) {
        h.changed.clear();
        h.held.clear();
        want(h);
        return "";
    }
    if (o.over) {
        const bool whole = h.digest == o.digest && h.changed.size() == all_.size();
        if (!whole && !h.over) return "not all are changed: it can't be over";
        if (!h.over) h.before = h.change;
        h.over = true;
        h.changed.clear();
        h.held.clear();
        want(h);
        return "";
    }
    if (other || h.over || begins) {
        // Ends are counted from the roll's begin, so that both sides are counted for as long.
        for (One& one : all_) one.ends = 0;
        for (One& one : all_) one.problem.clear();
    }
    h.digest = o.digest;
    h.change = change;
    h.over = false;
    h.changed = o.changed;
    h.held = o.held;
    h.keep = o.keep;
    h.batch = o.batch;
    wordUntil_ = now + o.keep;
    wentBack_ = false;
    want(h);
    return "";
}

void Agent::kept(Nanos now, std::string_view problem) {
    keeping_ = false;
    problem_ = problem;
    if (again_) {
        again_ = false;
        keeping_ = true;
        hands_.keep(wanted_);
        return;
    }
    if (!problem.empty()) {
        // It goes on by what is on disk, but for going back: that is safe from whatever stands there.
        hands_.log(fmt::format("can't keep what it was told: {}", problem));
        std::set<int> both;
        std::set_intersection(held_.changed.begin(), held_.changed.end(), wanted_.changed.begin(),
                              wanted_.changed.end(), std::inserter(both, both.begin()));
        const std::uint64_t number = wanted_.number;
        wanted_ = held_;
        wanted_.number = number;  // it has seen that one all the same
        wanted_.changed = both;
        acts_ = true;
        return;
    }
    held_ = wanted_;
    acts_ = true;
    if (held_.over)
        for (One& one : all_)
            if (one.stand == Stand::changed) {
                one.stand = Stand::before;
                one.since = now;
            }
}

bool Agent::rebase(const Version& now) {
    if (keeping_ || !allBefore() || !wanted_.changed.empty()) return false;
    Held h = wanted_;
    h.before = now;
    h.digest.clear();
    h.over = false;
    want(h);
    held_.before = now;
    return true;
}

void Agent::astray(Nanos now, int i) {
    const Stand s = at(i).stand;
    if (s == Stand::before) go(now, i, Stand::back);
    if (s == Stand::changed) go(now, i, Stand::changing);
}

void Agent::brought(Nanos now, int i, std::string_view problem) {
    One& one = at(i);
    if (one.stand == Stand::changing) {
        if (problem.empty()) return go(now, i, Stand::changed);
        one.problem = problem;
        hands_.log(fmt::format("instance {} can't be changed: {}", i, problem));
        return go(now, i, Stand::back);
    }
    if (one.stand != Stand::back) return;
    if (problem.empty()) return go(now, i, Stand::before);
    one.problem = problem;
    one.stand = Stand::stuck;
    one.since = now;
    one.again = now + kTryAgain;
    hands_.log(fmt::format("instance {} can't be brought back: {}", i, problem));
}

void Agent::ended(Nanos, int i) { ++at(i).ends; }

void Agent::settle(Nanos now) {
    // Nobody has said for too long that what is not held may stay.
    if (now >= wordUntil_ && !wanted_.over) {
        std::set<int> kept;
        for (const int i : wanted_.changed)
            if (wanted_.held.contains(i)) kept.insert(i);
        if (kept != wanted_.changed) {
            hands_.log("no word from the coordinator: what is not held goes back");
            Held h = wanted_;
            h.changed = kept;
            wentBack_ = true;
            want(h);
        }
    }
    int onTheWay = 0;
    bool allReady = true;
    for (const One& one : all_) {
        onTheWay += one.stand == Stand::changing || one.stand == Stand::back;
        allReady &= one.ready;
    }
    for (int i = 0; i < static_cast<int>(all_.size()) && onTheWay < wanted_.batch; ++i) {
        One& one = at(i);
        const bool wanted = wanted_.changed.contains(i);
        // Back at once, forward only once it is on disk and while nobody is away: two kinds of trouble at
        // once may take the last one out.
        // Told that it is over, what is changed is how things are, on disk or not yet.
        const bool back = !wanted && !wanted_.over &&
                          (one.stand == Stand::changed || (one.stand == Stand::stuck && now >= one.again));
        const bool forward = wanted && acts_ && allReady && one.stand == Stand::before &&
                             one.problem.empty() && held_.changed.contains(i);
        if (!back && !forward) continue;
        ++onTheWay;
        go(now, i, back ? Stand::back : Stand::changing);
    }
}

Nanos Agent::next() const {
    Nanos soonest = kNever;
    for (const One& one : all_)
        if (one.stand == Stand::stuck) soonest = std::min(soonest, one.again);
    for (const int i : wanted_.changed)
        if (!wanted_.held.contains(i)) soonest = std::min(soonest, wordUntil_);
    return soonest;
}

Report Agent::report(Nanos now) const {
    Report r;
    r.number = wanted_.number;
    r.digest = allBefore() && wanted_.changed.empty() && !wanted_.over ? "" : wanted_.digest;
    r.over = held_.over;
    r.wentBack = wentBack_;
    r.problem = problem_;
    for (const One& one : all_) {
        InstanceReport& i = r.instances.emplace_back();
        i.stand = one.stand;
        i.ready = one.ready;
        i.since = now - one.since;
        i.ends = one.ends;
        i.problem = one.problem;
    }
    return r;
}

}  // namespace poppyscale::rollout
