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

RolloutAgent::RolloutAgent(int instances, const Version& now, AgentHost& hands) : host_(hands) {
    instances_.resize(static_cast<std::size_t>(instances));
    persisted_.before = wanted_.before = now;
}

void RolloutAgent::restore(Nanos now, const AgentState& held) {
    persisted_ = wanted_ = held;
    orderValidUntil_ = now + std::min(held.holdDuration, kFirstWord);
    // Who was on its way is brought where it is to be, and so is who may have been.
    for (int i = 0; i < static_cast<int>(instances_.size()); ++i)
        if (held.changed.contains(i)) enterState(now, i, InstanceState::changing);
}

bool RolloutAgent::allBefore() const {
    return std::all_of(instances_.begin(), instances_.end(),
                       [](const Instance& o) { return o.state == InstanceState::original; });
}

const Version& RolloutAgent::versionOf(int i) const {
    const InstanceState s = at(i).state;
    return s == InstanceState::changing || s == InstanceState::changed ? persisted_.change
                                                                       : persisted_.before;
}

void RolloutAgent::enterState(Nanos now, int i, InstanceState stand) {
    Instance& one = at(i);
    one.state = stand;
    one.since = now;
    if (stand == InstanceState::changing) host_.install(i, persisted_.change);
    if (stand == InstanceState::rollingBack) host_.install(i, persisted_.before);
}

void RolloutAgent::setWanted(const AgentState& held) {
    if (held == wanted_ && (isPersisting_ || mayAct_)) return;
    wanted_ = held;
    mayAct_ = false;
    if (isPersisting_) {
        persistAgain_ = true;
        return;
    }
    isPersisting_ = true;
    host_.persist(wanted_);
}

std::string RolloutAgent::onOrder(Nanos now, const Order& o, const Version& change) {
    if (o.number < wanted_.number) return fmt::format("overtaken by {}", wanted_.number);
    if (o.number == wanted_.number && o.step <= step_)
        return fmt::format("overtaken by a later order of {}", o.number);
    for (const int i : o.changed)
        if (i < 0 || i >= static_cast<int>(instances_.size()))
            return fmt::format("there is no instance {}", i);
    AgentState h = wanted_;
    const bool begins = o.number > h.number && allBefore() && h.changed.empty();
    h.number = o.number;
    step_ = o.step;
    // Another change is begun only where nothing of the one before is left.
    const bool other = o.digest != h.digest;
    if (other && !(allBefore() && h.changed.empty())) {
        h.changed.clear();
        h.held.clear();
        setWanted(h);
        return "";
    }
    if (o.isFinished) {
        const bool whole = h.digest == o.digest && h.changed.size() == instances_.size();
        if (!whole && !h.isFinished) return "not all are changed: it can't be over";
        if (!h.isFinished) h.before = h.change;
        h.isFinished = true;
        h.changed.clear();
        h.held.clear();
        setWanted(h);
        return "";
    }
    if (other || h.isFinished || begins) {
        // Ends are counted from the roll's begin, so that both sides are counted for as long.
        for (Instance& one : instances_) one.exitCount = 0;
        for (Instance& one : instances_) one.problem.clear();
    }
    h.digest = o.digest;
    h.change = change;
    h.isFinished = false;
    h.changed = o.changed;
    h.held = o.held;
    h.holdDuration = o.holdDuration;
    h.batch = o.batch;
    orderValidUntil_ = now + o.holdDuration;
    hasRolledBack_ = false;
    setWanted(h);
    return "";
}

void RolloutAgent::onPersisted(Nanos now, std::string_view problem) {
    isPersisting_ = false;
    problem_ = problem;
    if (persistAgain_) {
        persistAgain_ = false;
        isPersisting_ = true;
        host_.persist(wanted_);
        return;
    }
    if (!problem.empty()) {
        // It goes on by what is on disk, but for going back: that is safe from whatever stands there.
        host_.log(fmt::format("can't keep what it was told: {}", problem));
        std::set<int> both;
        std::set_intersection(persisted_.changed.begin(), persisted_.changed.end(), wanted_.changed.begin(),
                              wanted_.changed.end(), std::inserter(both, both.begin()));
        const std::uint64_t number = wanted_.number;
        wanted_ = persisted_;
        wanted_.number = number;  // it has seen that one all the same
        wanted_.changed = both;
        mayAct_ = true;
        return;
    }
    persisted_ = wanted_;
    mayAct_ = true;
    if (persisted_.isFinished)
        for (Instance& one : instances_)
            if (one.state == InstanceState::changed) {
                one.state = InstanceState::original;
                one.since = now;
            }
}

bool RolloutAgent::setOriginalVersion(const Version& now) {
    if (isPersisting_ || !allBefore() || !wanted_.changed.empty()) return false;
    AgentState h = wanted_;
    h.before = now;
    h.digest.clear();
    h.isFinished = false;
    setWanted(h);
    persisted_.before = now;
    return true;
}

void RolloutAgent::onVersionMismatch(Nanos now, int i) {
    const InstanceState s = at(i).state;
    if (s == InstanceState::original) enterState(now, i, InstanceState::rollingBack);
    if (s == InstanceState::changed) enterState(now, i, InstanceState::changing);
}

void RolloutAgent::onInstalled(Nanos now, int i, std::string_view problem) {
    Instance& one = at(i);
    if (one.state == InstanceState::changing) {
        if (problem.empty()) return enterState(now, i, InstanceState::changed);
        one.problem = problem;
        host_.log(fmt::format("instance {} can't be changed: {}", i, problem));
        return enterState(now, i, InstanceState::rollingBack);
    }
    if (one.state != InstanceState::rollingBack) return;
    if (problem.empty()) return enterState(now, i, InstanceState::original);
    one.problem = problem;
    one.state = InstanceState::failed;
    one.since = now;
    one.retryAt = now + kTryAgain;
    host_.log(fmt::format("instance {} can't be brought back: {}", i, problem));
}

void RolloutAgent::onExited(Nanos, int i) { ++at(i).exitCount; }

void RolloutAgent::reconcile(Nanos now) {
    // Nobody has said for too long that what is not held may stay.
    if (now >= orderValidUntil_ && !wanted_.isFinished) {
        std::set<int> kept;
        for (const int i : wanted_.changed)
            if (wanted_.held.contains(i)) kept.insert(i);
        if (kept != wanted_.changed) {
            host_.log("no word from the coordinator: what is not held goes back");
            AgentState h = wanted_;
            h.changed = kept;
            hasRolledBack_ = true;
            setWanted(h);
        }
    }
    int onTheWay = 0;
    bool allReady = true;
    for (const Instance& one : instances_) {
        onTheWay += one.state == InstanceState::changing || one.state == InstanceState::rollingBack;
        allReady &= one.ready;
    }
    for (int i = 0; i < static_cast<int>(instances_.size()) && onTheWay < wanted_.batch; ++i) {
        Instance& one = at(i);
        const bool wanted = wanted_.changed.contains(i);
        // Back at once, forward only once it is on disk and while nobody is away: two kinds of trouble at
        // once may take the last one out.
        // Told that it is over, what is changed is how things are, on disk or not yet.
        const bool back = !wanted && !wanted_.isFinished &&
                          (one.state == InstanceState::changed ||
                           (one.state == InstanceState::failed && now >= one.retryAt));
        const bool forward = wanted && mayAct_ && allReady && one.state == InstanceState::original &&
                             one.problem.empty() && persisted_.changed.contains(i);
        if (!back && !forward) continue;
        ++onTheWay;
        enterState(now, i, back ? InstanceState::rollingBack : InstanceState::changing);
    }
}

Nanos RolloutAgent::nextDeadline() const {
    Nanos soonest = kNever;
    for (const Instance& one : instances_)
        if (one.state == InstanceState::failed) soonest = std::min(soonest, one.retryAt);
    for (const int i : wanted_.changed)
        if (!wanted_.held.contains(i)) soonest = std::min(soonest, orderValidUntil_);
    return soonest;
}

Report RolloutAgent::report(Nanos now) const {
    Report r;
    r.number = wanted_.number;
    r.digest = allBefore() && wanted_.changed.empty() && !wanted_.isFinished ? "" : wanted_.digest;
    r.isFinished = persisted_.isFinished;
    r.hasRolledBack = hasRolledBack_;
    r.problem = problem_;
    for (const Instance& one : instances_) {
        InstanceReport& i = r.instances.emplace_back();
        i.state = one.state;
        i.ready = one.ready;
        i.since = now - one.since;
        i.exitCount = one.exitCount;
        i.problem = one.problem;
    }
    return r;
}

}  // namespace poppyscale::rollout
