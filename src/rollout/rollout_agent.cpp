#include "rollout/rollout_agent.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace poppyscale::rollout {
namespace {

constexpr Nanos kRollbackRetryInterval = 2'000 * kMillisecond;
// After a restart, time for a running coordinator to send an order. With the full hold duration, an agent
// that restarts again and again would keep a change for good.
constexpr Nanos kMaxHoldAfterRestart = 3'000 * kMillisecond;

}  // namespace

RolloutAgent::RolloutAgent(int instances, const Version& original, AgentHost& host) : host_(host) {
    instances_.resize(static_cast<std::size_t>(instances));
    persisted_.before = original;
    wanted_.before = original;
}

void RolloutAgent::restore(Nanos now, const AgentState& state) {
    persisted_ = state;
    wanted_ = state;
    orderValidUntil_ = now + std::min(state.holdDuration, kMaxHoldAfterRestart);
    for (int i = 0; i < static_cast<int>(instances_.size()); ++i)
        if (state.changed.contains(i)) enterState(now, i, InstanceState::changing);
}

bool RolloutAgent::areAllOriginal() const {
    return std::all_of(instances_.begin(), instances_.end(),
                       [](const Instance& instance) { return instance.state == InstanceState::original; });
}

// Nothing of a change is in place or ordered.
bool RolloutAgent::isUntouched() const { return areAllOriginal() && wanted_.changed.empty(); }

const Version& RolloutAgent::versionOf(int instance) const {
    const InstanceState state = at(instance).state;
    const bool runsChange = state == InstanceState::changing || state == InstanceState::changed;
    return runsChange ? persisted_.change : persisted_.before;
}

void RolloutAgent::enterState(Nanos now, int i, InstanceState state) {
    Instance& instance = at(i);
    instance.state = state;
    instance.since = now;
    if (state == InstanceState::changing) host_.install(i, persisted_.change);
    if (state == InstanceState::rollingBack) host_.install(i, persisted_.before);
}

void RolloutAgent::setWanted(const AgentState& state) {
    if (state == wanted_) return;
    wanted_ = state;
    if (isPersisting()) {
        persistence_ = Persistence::writingOutdated;
        return;
    }
    persistence_ = Persistence::writing;
    host_.persist(wanted_);
}

// ---- orders

// Empty if the order may be accepted.
std::string RolloutAgent::rejectionOf(const Order& order) const {
    if (order.number < wanted_.number) return fmt::format("overtaken by {}", wanted_.number);
    if (order.number == wanted_.number && order.step <= lastStep_)
        return fmt::format("overtaken by a later order of {}", order.number);
    for (const int i : order.changed)
        if (i < 0 || i >= static_cast<int>(instances_.size()))
            return fmt::format("there is no instance {}", i);
    return "";
}

std::string RolloutAgent::onOrder(Nanos now, const Order& order, const Version& change) {
    const std::string rejection = rejectionOf(order);
    if (!rejection.empty()) return rejection;
    lastStep_ = order.step;
    const bool isOtherChange = order.digest != wanted_.digest;
    // Another change begins only where nothing of the one before is left.
    if (isOtherChange && !isUntouched()) {
        abandonChange(order.number);
        return "";
    }
    if (order.isFinished) return finish(order);
    const bool isNewRollout = order.number > wanted_.number && isUntouched();
    if (isOtherChange || wanted_.isFinished || isNewRollout) {
        // Exits are counted from the rollout's begin, so that both sides are counted for as long.
        for (Instance& instance : instances_) {
            instance.exitCount = 0;
            instance.problem.clear();
        }
    }
    AgentState state = wanted_;
    state.number = order.number;
    state.digest = order.digest;
    state.change = change;
    state.isFinished = false;
    state.changed = order.changed;
    state.held = order.held;
    state.holdDuration = order.holdDuration;
    state.batch = order.batch;
    orderValidUntil_ = now + order.holdDuration;
    hasRolledBack_ = false;
    setWanted(state);
    return "";
}

// The rollout has ended: the change is what runs apart from any rollout.
std::string RolloutAgent::finish(const Order& order) {
    const bool isComplete = wanted_.digest == order.digest && wanted_.changed.size() == instances_.size();
    if (!isComplete && !wanted_.isFinished) return "not all are changed: it can't be over";
    AgentState state = wanted_;
    state.number = order.number;
    if (!state.isFinished) state.before = state.change;
    state.isFinished = true;
    state.changed.clear();
    state.held.clear();
    setWanted(state);
    return "";
}

void RolloutAgent::abandonChange(std::uint64_t number) {
    AgentState state = wanted_;
    state.number = number;
    state.changed.clear();
    state.held.clear();
    setWanted(state);
}

// ---- results of the host's actions

void RolloutAgent::onPersisted(Nanos now, std::string_view problem) {
    const bool isOutdated = persistence_ == Persistence::writingOutdated;
    problem_ = problem;
    if (isOutdated) {
        persistence_ = Persistence::writing;
        host_.persist(wanted_);
        return;
    }
    persistence_ = Persistence::idle;
    if (!problem.empty()) {
        host_.log(fmt::format("can't persist its orders: {}", problem));
        return fallBackToPersisted();
    }
    persisted_ = wanted_;
    if (!persisted_.isFinished) return;
    for (Instance& instance : instances_) {
        if (instance.state != InstanceState::changed) continue;
        instance.state = InstanceState::original;
        instance.since = now;
    }
}

// Continues with what is on disk, except that instances ordered to roll back still do: that is safe whatever
// is on disk.
void RolloutAgent::fallBackToPersisted() {
    std::set<int> changed;
    std::set_intersection(persisted_.changed.begin(), persisted_.changed.end(), wanted_.changed.begin(),
                          wanted_.changed.end(), std::inserter(changed, changed.begin()));
    const std::uint64_t number = wanted_.number;
    wanted_ = persisted_;
    wanted_.number = number;  // older coordinators stay rejected
    wanted_.changed = changed;
}

bool RolloutAgent::setOriginalVersion(const Version& version) {
    if (isPersisting() || !isUntouched()) return false;
    AgentState state = wanted_;
    state.before = version;
    state.digest.clear();
    state.isFinished = false;
    setWanted(state);
    persisted_.before = version;
    return true;
}

void RolloutAgent::onVersionMismatch(Nanos now, int instance) {
    const InstanceState state = at(instance).state;
    if (state == InstanceState::original) enterState(now, instance, InstanceState::rollingBack);
    if (state == InstanceState::changed) enterState(now, instance, InstanceState::changing);
}

void RolloutAgent::onInstalled(Nanos now, int i, std::string_view problem) {
    Instance& instance = at(i);
    if (instance.state == InstanceState::changing) {
        if (problem.empty()) return enterState(now, i, InstanceState::changed);
        instance.problem = problem;
        host_.log(fmt::format("instance {} can't be changed: {}", i, problem));
        return enterState(now, i, InstanceState::rollingBack);
    }
    if (instance.state != InstanceState::rollingBack) return;
    if (problem.empty()) return enterState(now, i, InstanceState::original);
    instance.problem = problem;
    instance.state = InstanceState::failed;
    instance.since = now;
    instance.retryAt = now + kRollbackRetryInterval;
    host_.log(fmt::format("instance {} can't be rolled back: {}", i, problem));
}

void RolloutAgent::onExited(Nanos, int instance) { ++at(instance).exitCount; }

// ---- actions

void RolloutAgent::reconcile(Nanos now) {
    rollBackExpired(now);
    installNext(now);
}

// No order has arrived in time: what is not held is rolled back.
void RolloutAgent::rollBackExpired(Nanos now) {
    if (now < orderValidUntil_ || wanted_.isFinished) return;
    AgentState state = wanted_;
    std::erase_if(state.changed, [&](int instance) { return !state.held.contains(instance); });
    if (state.changed == wanted_.changed) return;
    host_.log("no order from the coordinator in time: what is not held is rolled back");
    hasRolledBack_ = true;
    setWanted(state);
}

void RolloutAgent::installNext(Nanos now) {
    int inTransition = 0;
    bool areAllReady = true;
    for (const Instance& instance : instances_) {
        const bool isInTransition =
            instance.state == InstanceState::changing || instance.state == InstanceState::rollingBack;
        if (isInTransition) ++inTransition;
        if (!instance.ready) areAllReady = false;
    }
    for (int i = 0; i < static_cast<int>(instances_.size()) && inTransition < wanted_.batch; ++i) {
        const bool rollsBack = mayRollBack(now, i);
        if (!rollsBack && !mayChange(i, areAllReady)) continue;
        ++inTransition;
        enterState(now, i, rollsBack ? InstanceState::rollingBack : InstanceState::changing);
    }
}

// Rolls back at once, without waiting for the disk. Once the rollout has ended, the change stays, whether
// that is on disk yet or not.
bool RolloutAgent::mayRollBack(Nanos now, int i) const {
    if (wanted_.changed.contains(i) || wanted_.isFinished) return false;
    const Instance& instance = at(i);
    const bool isRetryDue = instance.state == InstanceState::failed && now >= instance.retryAt;
    return instance.state == InstanceState::changed || isRetryDue;
}

// Changes only what is on disk, and only while all instances are ready: beside another problem, a change may
// take out the last one.
bool RolloutAgent::mayChange(int i, bool areAllReady) const {
    if (!wanted_.changed.contains(i) || !persisted_.changed.contains(i)) return false;
    const Instance& instance = at(i);
    return !isPersisting() && areAllReady && instance.state == InstanceState::original &&
           instance.problem.empty();
}

Nanos RolloutAgent::nextDeadline() const {
    Nanos next = kNever;
    for (const Instance& instance : instances_)
        if (instance.state == InstanceState::failed) next = std::min(next, instance.retryAt);
    for (const int i : wanted_.changed)
        if (!wanted_.held.contains(i)) next = std::min(next, orderValidUntil_);
    return next;
}

Report RolloutAgent::report(Nanos now) const {
    Report report;
    report.number = wanted_.number;
    const bool hasNoChange = isUntouched() && !wanted_.isFinished;
    if (!hasNoChange) report.digest = wanted_.digest;
    report.isFinished = persisted_.isFinished;
    report.hasRolledBack = hasRolledBack_;
    report.problem = problem_;
    for (const Instance& instance : instances_) {
        InstanceReport& reported = report.instances.emplace_back();
        reported.state = instance.state;
        reported.ready = instance.ready;
        reported.since = now - instance.since;
        reported.exitCount = instance.exitCount;
        reported.problem = instance.problem;
    }
    return report;
}

}  // namespace poppyscale::rollout
