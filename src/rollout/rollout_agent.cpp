#include "rollout/rollout_agent.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace poppyscale::rollout {
namespace {

constexpr Nanos kRollbackRetryInterval = 2'000 * kMillisecond;
// Leaves a running coordinator time to send an order after a restart. With the full hold duration,
// an agent that restarts again and again would keep a change forever.
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

// Whether no change is in place or ordered.
bool RolloutAgent::isUntouched() const { return areAllOriginal() && wanted_.changed.empty(); }

const Version& RolloutAgent::versionOf(int instance) const {
    const InstanceState state = at(instance).state;
    const bool runsChange = state == InstanceState::changing || state == InstanceState::changed;
    return runsChange ? persisted_.change : persisted_.before;
}

void RolloutAgent::enterState(Nanos now, int index, InstanceState state) {
    Instance& instance = at(index);
    instance.state = state;
    instance.since = now;
    if (state == InstanceState::changing) host_.install(index, persisted_.change);
    if (state == InstanceState::rollingBack) host_.install(index, persisted_.before);
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

// Why the order is rejected; empty if it may be accepted. Callers recognize a superseded order by
// the first word, "overtaken".
std::string RolloutAgent::rejectionOf(const Order& order) const {
    if (order.number < wanted_.number) return fmt::format("overtaken by rollout {}", wanted_.number);
    if (order.number == wanted_.number && order.step <= lastStep_)
        return fmt::format("overtaken by a later order of rollout {}", order.number);
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
    // Another change begins only after the previous one is completely rolled back.
    if (isOtherChange && !isUntouched()) {
        abandonChange(order.number);
        return "";
    }
    if (order.isFinished) return finish(order);
    const bool isNewRollout = order.number > wanted_.number && isUntouched();
    if (isOtherChange || wanted_.isFinished || isNewRollout) {
        // Counts exits from the beginning of the rollout, so that both sides are counted over the
        // same time.
        for (Instance& instance : instances_) {
            instance.unexpectedExits = 0;
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

// Ends the rollout: the change becomes the version that runs outside of rollouts.
std::string RolloutAgent::finish(const Order& order) {
    const bool isComplete = wanted_.digest == order.digest && wanted_.changed.size() == instances_.size();
    if (!isComplete && !wanted_.isFinished)
        return "not all instances have the change: the rollout can't have ended";
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
        host_.log(fmt::format("can't persist an order, continuing with the last persisted one: {}", problem));
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

// Continues with the state on disk, except that instances that were ordered to roll back still do
// so, which is safe whatever is on disk.
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

void RolloutAgent::onInstalled(Nanos now, int index, std::string_view problem) {
    Instance& instance = at(index);
    if (instance.state == InstanceState::changing) {
        if (problem.empty()) return enterState(now, index, InstanceState::changed);
        instance.problem = problem;
        host_.log(fmt::format("instance {} can't be changed, rolling it back: {}", index, problem));
        return enterState(now, index, InstanceState::rollingBack);
    }
    if (instance.state != InstanceState::rollingBack) return;
    if (problem.empty()) return enterState(now, index, InstanceState::original);
    instance.problem = problem;
    instance.state = InstanceState::failed;
    instance.since = now;
    instance.retryAt = now + kRollbackRetryInterval;
    host_.log(fmt::format("instance {} can't be rolled back, will retry: {}", index, problem));
}

void RolloutAgent::onExited(Nanos, int instance) { ++at(instance).unexpectedExits; }

// ---- actions

void RolloutAgent::reconcile(Nanos now) {
    rollBackExpired(now);
    installNext(now);
}

// Rolls back the instances that are not held once the hold duration has passed without an order.
void RolloutAgent::rollBackExpired(Nanos now) {
    if (now < orderValidUntil_ || wanted_.isFinished) return;
    AgentState state = wanted_;
    std::erase_if(state.changed, [&](int instance) { return !state.held.contains(instance); });
    if (state.changed == wanted_.changed) return;
    host_.log("no order from the coordinator in time: rolling back all instances that are not held");
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

// A rollback begins at once, without waiting for the disk. Once the rollout has ended, the change
// stays, even if the end of the rollout is not on disk yet.
bool RolloutAgent::mayRollBack(Nanos now, int index) const {
    if (wanted_.changed.contains(index) || wanted_.isFinished) return false;
    const Instance& instance = at(index);
    const bool isRetryDue = instance.state == InstanceState::failed && now >= instance.retryAt;
    return instance.state == InstanceState::changed || isRetryDue;
}

// An instance changes only after its order is on disk, and only while all instances are ready:
// otherwise the change might take the last ready instance out of service.
bool RolloutAgent::mayChange(int index, bool areAllReady) const {
    if (!wanted_.changed.contains(index) || !persisted_.changed.contains(index)) return false;
    const Instance& instance = at(index);
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
        reported.timeInState = now - instance.since;
        reported.unexpectedExits = instance.unexpectedExits;
        reported.problem = instance.problem;
    }
    return report;
}

}  // namespace poppyscale::rollout
