#include "rollout/rollout_controller.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace poppyscale::rollout {
namespace {

constexpr Nanos kSecond = 1'000 * kMillisecond;
constexpr Nanos kLook = 900 * kMillisecond;           // between two looks, at least
constexpr Nanos kHeardWithin = 2'500 * kMillisecond;  // what was said before that is unknown by now
// Between two looks at an instance, from which on its machine has been held up; what that cost its clients is
// told only after it, for as long as they waited.
constexpr Nanos kHeldUp = 1'900 * kMillisecond;
constexpr Nanos kRefusedFor = 3'000 * kMillisecond;
constexpr Nanos kAftermath = 5'000 * kMillisecond;
constexpr Nanos kAskFor = 5'000 * kMillisecond;  // at the start, for all agents
constexpr double kTroubleFactor = 2, kTroubleShare = 0.01, kTroubleEvents = 6;
constexpr double kCalmFactor = 1.5, kCalmShare = 0.005;
constexpr Nanos kTroubleStays = 2'000 * kMillisecond;  // after it was last seen
constexpr double kBurst = 1.25;       // of the usual load, from which on more of everything is no wonder
constexpr double kServersSlow = 1.3;  // of the usual time of a relay
constexpr double kLostShare = 0.01;
constexpr double kTroubleLift = 1.4;  // of the bound, for what is seen in trouble
constexpr double kSlowPart = 0.25;    // of the unchanged side's answers count as slow
constexpr double kFades = 0.97;       // of the times' classes, a look
constexpr double kFloorMemoryKb = 16'000, kFloorDescriptors = 48, kFloorLinks = 48;
constexpr int kLooksOver = 3;
constexpr int kHeardOfLeaving = 2;  // looks, after which all should have been told that a cache leaves
constexpr double kRuledOut = 0.02;  // chance of ruling out a harm that is there
constexpr double kLeastAnswers = 60;

double total(const InstanceMetrics& f) {
    double all = 0;
    for (const auto& [name, v] : f.requestClasses)
        all += static_cast<double>(v.succeeded() + v.unsuccessful());
    return all;
}

}  // namespace

std::string_view nameOf(RolloutOutcome outcome) {
    static constexpr std::string_view names[] = {"under way", "went through", "stopped and undone",
                                                 "stopped and not all undone", "can't"};
    return names[static_cast<int>(outcome)];
}

std::string_view RolloutController::phaseName() const {
    static constexpr std::string_view names[] = {"asking",     "watching", "changing", "judging",
                                                 "going back", "ending",   "over"};
    return names[static_cast<int>(phase_)];
}

RolloutController::RolloutController(const RolloutPlan& plan, std::string digest, RolloutHost& hands)
    : plan_(plan), digest_(std::move(digest)), host_(hands), agents_(plan.agents.size()) {}

// ---- what comes in

void RolloutController::onReport(Nanos now, int agent, const Report& report) {
    AgentState& peer = agents_.at(static_cast<std::size_t>(agent));
    if (number_ && report.number > number_) return onSuperseded(now, agent, fmt::format("{}", report.number));
    const auto same = [&] { return peer.report && peer.report->instances.size() != report.instances.size(); };
    if (!order_.empty() && same()) return;  // another description: unknown from now on
    peer.report = report;
    peer.lastReportAt = now;
    if (report.problem.empty()) peer.refusedSince = 0;
    if (!report.problem.empty()) onRefused(now, agent, report.problem);
    peer.refusal = report.problem;
}

void RolloutController::onSuperseded(Nanos, int agent, std::string_view why) {
    if (outcome_ != RolloutOutcome::none) return;
    reason_ = fmt::format("overtaken: {} follows roll {}",
                          plan_.agents.at(static_cast<std::size_t>(agent)).name, why);
    host_.report("overtaken", {{"by", why}, {"at", plan_.agents[static_cast<std::size_t>(agent)].name}});
    end(RolloutOutcome::notPossible);
}

void RolloutController::onRefused(Nanos now, int agent, std::string_view why) {
    AgentState& peer = agents_.at(static_cast<std::size_t>(agent));
    if (peer.refusedSince == 0) peer.refusedSince = now;
    peer.refusal = why;
}

void RolloutController::abandon(Nanos now) {
    if (phase_ == Phase::discovering || phase_ == Phase::observing) {
        reason_ = "given up before anything had changed";
        return end(RolloutOutcome::notPossible);
    }
    if (phase_ == Phase::changing || phase_ == Phase::judging) beginRollback(now, "told to go back");
}

bool RolloutController::knows(Nanos now, int agent) const {
    const AgentState& p = agents_[static_cast<std::size_t>(agent)];
    return p.report && now - p.lastReportAt <= kHeardWithin;
}

std::string RolloutController::unheard(Nanos now) const {
    std::string names;
    for (std::size_t a = 0; a < agents_.size(); ++a) {
        if (knows(now, static_cast<int>(a))) continue;
        names += (names.empty() ? "" : ", ") + plan_.agents[a].name;
        // One that answers and is not understood is not simply away.
        if (!agents_[a].refusal.empty()) names += " (" + agents_[a].refusal + ")";
    }
    return names;
}

const InstanceReport* RolloutController::reportOf(const Instance& m) const {
    const AgentState& p = agents_[static_cast<std::size_t>(m.agent)];
    return p.report ? &p.report->instances[static_cast<std::size_t>(m.index)] : nullptr;
}

bool RolloutController::isChanged(const Instance& m) const {
    const InstanceReport* const r = reportOf(m);
    return m.window && r && r->ready && r->state == InstanceState::changed && r->since >= plan_.settleTime;
}

bool RolloutController::isUnchanged(const Instance& m) const {
    const InstanceReport* const r = reportOf(m);
    return m.window && r && r->ready && r->state == InstanceState::original;
}

// ---- the order of things

std::optional<Order> RolloutController::orderFor(int agent) {
    if (phase_ == Phase::discovering || outcome_ == RolloutOutcome::notPossible) return std::nullopt;
    Order o;
    o.number = number_;
    o.step = ++step_;
    o.digest = digest_;
    o.program = plan_.program;
    o.form = plan_.templateText;
    o.holdDuration = plan_.agentHoldDuration;
    o.batch = phase_ == Phase::rollingBack ? plan_.rollbackBatchSize : plan_.batchSize;
    o.isFinished = phase_ == Phase::finishing;
    for (const int m : wanted_) {
        const Instance& member = instances_[static_cast<std::size_t>(m)];
        if (member.agent != agent) continue;
        o.changed.insert(member.index);
        if (held_.contains(m)) o.held.insert(member.index);
    }
    return o;
}

void RolloutController::enter(Nanos now, Phase phase) {
    phase_ = phase;
    phaseAt_ = now;
}

void RolloutController::reconcile(Nanos now) {
    if (!startedAt_) startedAt_ = phaseAt_ = now;
    if (outcome_ != RolloutOutcome::none) return;
    if (phase_ == Phase::discovering) return begin(now);
    if (now - lastLook_ >= kLook) sampleWindow(now);
    if (phase_ == Phase::rollingBack) return reconcileRollback(now);
    if (phase_ != Phase::finishing) return;
    const bool all = std::all_of(agents_.begin(), agents_.end(), [&](const AgentState& p) {
        return p.report && p.report->number == number_ && p.report->isFinished;
    });
    if (all) return end(RolloutOutcome::completed);
    if (now - phaseAt_ < plan_.rollbackTimeout) return;
    // All of them hold it already; what an agent that is not heard doesn't know yet is that it is over.
    reason_ = fmt::format("went through; not told that it is over: {}", unheard(now));
    end(RolloutOutcome::completed);
}

// Once all are heard; where a roll of this change was under way, from what its agents hold.
void RolloutController::begin(Nanos now) {
    std::uint64_t highest = 0;
    bool resumes = false, other = false;
    for (const AgentState& p : agents_) {
        if (!p.report) continue;
        highest = std::max(highest, p.report->number);
        const bool holds = !p.report->digest.empty() && !p.report->isFinished;
        resumes |= holds && p.report->digest == digest_;
        other |= holds && p.report->digest != digest_;
    }
    const std::string missing = unheard(now);
    const Nanos patience = resumes || other ? plan_.maxStageDuration : kAskFor;
    if (!missing.empty() || other) {
        if (now - phaseAt_ < patience) return;
        reason_ = other ? "another roll's change is still in place at an agent"
                        : fmt::format("not there: {}", missing);
        return end(RolloutOutcome::notPossible);
    }
    number_ = highest + 1;
    std::map<std::string, std::vector<int>> byZone;
    for (std::size_t a = 0; a < agents_.size(); ++a)
        for (std::size_t i = 0; i < agents_[a].report->instances.size(); ++i) {
            const InstanceReport& r = agents_[a].report->instances[i];
            byZone[r.zone].push_back(static_cast<int>(instances_.size()));
            Instance m;
            m.agent = static_cast<int>(a);
            m.index = static_cast<int>(i);
            m.name = plan_.agents[a].name + "/" + r.name;
            m.zone = r.zone;
            instances_.push_back(std::move(m));
            if (r.metrics) zones_.insert(r.metrics->zone);
            zones_.insert(r.zone);  // an old program may tell none, its agent does
        }
    // Zones in turn, within each its machines in turn.
    for (auto& [zone, all] : byZone)
        std::stable_sort(all.begin(), all.end(), [&](int a, int b) {
            const Instance &x = instances_[static_cast<std::size_t>(a)],
                           &y = instances_[static_cast<std::size_t>(b)];
            return std::tie(x.index, x.agent) < std::tie(y.index, y.agent);
        });
    for (std::size_t k = 0; order_.size() < instances_.size(); ++k)
        for (const auto& [zone, all] : byZone)
            if (k < all.size()) order_.push_back(all[k]);
    counts_ = stagesOf(plan_, static_cast<int>(order_.size()));
    if (resumes) {
        int upTo = 0;
        for (std::size_t k = 0; k < order_.size(); ++k) {
            const InstanceReport* const r = reportOf(instances_[static_cast<std::size_t>(order_[k])]);
            if (r->state != InstanceState::original) upTo = static_cast<int>(k) + 1;
        }
        while (stage_ < stageCount() && wantedUpTo(stage_) < upTo) ++stage_;
    }
    host_.report(resumes ? "goes on" : "begins", {{"number", number_},
                                                  {"instances", instanceCount()},
                                                  {"stages", counts_},
                                                  {"stage", stage_},
                                                  {"change", digest_}});
    if (stage_ == 0) return enter(now, Phase::observing);
    for (int k = 0; k < wantedUpTo(stage_); ++k) wanted_.insert(order_[static_cast<std::size_t>(k)]);
    for (int k = 0; k < wantedUpTo(stage_ - 1); ++k) held_.insert(order_[static_cast<std::size_t>(k)]);
    maxChangedCount_ = changedCount();
    enter(now, Phase::changing);
}

void RolloutController::sampleWindow(Nanos now) {
    const Nanos passed = lastLook_ ? now - lastLook_ : 0;
    lastLook_ = now;
    windows(now);
    seeLeaving();
    detectFaults(now);
    compareSides(now);
    learnTimes(now);
    if (phase_ == Phase::rollingBack || phase_ == Phase::finishing) return;
    const std::string missing = unheard(now);
    if (phase_ == Phase::observing) {
        bool ready = missing.empty() && !fault_;
        for (const Instance& m : instances_) ready &= reportOf(m) && reportOf(m)->ready;
        if (ready && now - phaseAt_ >= plan_.baselineTime) {
            stage_ = 1;
        } else if (now - phaseAt_ >= std::max(plan_.maxStageDuration, 2 * plan_.baselineTime)) {
            reason_ = missing.empty() ? "the fleet was not well enough to begin" : "not heard: " + missing;
            return end(RolloutOutcome::notPossible);
        } else {
            return;
        }
    } else if (phase_ == Phase::judging || phase_ == Phase::changing) {
        if (phase_ == Phase::judging && !fault_ && missing.empty()) judged_ += passed;
        judgeStage(now);
        if (phase_ != Phase::judging || !reason_.empty()) return;
        const bool stands = stageStands() && missing.empty();
        const bool holds = stands && !fault_ && judged_ >= plan_.minStageDuration && isHarmRuledOut();
        const bool late = now - phaseAt_ >= plan_.maxStageDuration;
        if (!holds && !late) return;
        if (!holds && !(plan_.continueUndecided && stands && !fault_)) {
            std::string why = "it could not be told in the longest time of a stage: ";
            if (!missing.empty())
                why += "not heard: " + missing;
            else if (fault_)
                why += explained_.empty() ? "both sides do worse than before" : "trouble, " + explained_;
            else
                why += stands ? "too little traffic, or unchanged instances that tell nothing"
                              : "not all of the stage's instances stand";
            return beginRollback(now, why);
        }
        held_ = wanted_;
        host_.report("stage holds", {{"stage", stage_}, {"changed", changedCount()}, {"told", holds}});
        if (stage_ == stageCount()) return enter(now, Phase::finishing);
        ++stage_;
    }
    for (int k = 0; k < wantedUpTo(stage_); ++k) wanted_.insert(order_[static_cast<std::size_t>(k)]);
    maxChangedCount_ = std::max(maxChangedCount_, changedCount());
    judged_ = unexplained_ = 0;
    stageAt_ = now;
    host_.report("stage begins", {{"stage", stage_}, {"changed", changedCount()}, {"of", instanceCount()}});
    enter(now, Phase::changing);
}

bool RolloutController::stageStands() const {
    return std::all_of(wanted_.begin(), wanted_.end(), [this](int m) {
        const InstanceReport* const r = reportOf(instances_[static_cast<std::size_t>(m)]);
        return r && r->state == InstanceState::changed && r->ready && r->since >= plan_.settleTime;
    });
}

// ---- what is seen

void RolloutController::windows(Nanos now) {
    for (Instance& m : instances_) {
        m.window.reset();
        const InstanceReport* const r = reportOf(m);
        if (!r || !r->metrics || !knows(now, m.agent)) {
            m.last.reset();
            continue;
        }
        const Nanos at = agents_[static_cast<std::size_t>(m.agent)].lastReportAt;
        if (m.last && at - m.lastAt >= kHeldUp) heldUpAt_ = now;
        if (m.last && at > m.lastAt) m.window = windowOf(*m.last, *r->metrics, at - m.lastAt);
        m.last = r->metrics;
        m.lastAt = at;
    }
}

RolloutController::Counts RolloutController::countsOf(const InstanceMetrics& w) const {
    Counts c;
    double taken = 0;
    for (const auto& [name, v] : w.requestClasses) {
        const auto answered = static_cast<double>(v.succeeded()),
                   lost = static_cast<double>(v.unsuccessful());
        taken += answered + lost;
        c["unanswered"].bad += lost;
        c["unanswered"].all += answered + lost;
        c["unanswered " + name] = {lost, answered + lost};
        // Of those the ones that were let wait until they left: nothing else makes so many of them so soon.
        c["never answered"].bad += static_cast<double>(v.abandoned);
        c["never answered"].all += answered + lost;
        c["late"].bad += static_cast<double>(v.late);
        c["late"].all += answered;
        c["late " + name] = {static_cast<double>(v.late), answered};
        const auto from = slow_.find(name);
        if (from == slow_.end()) continue;
        for (std::size_t i = from->second; i < v.latencies.size(); ++i)
            c["slower"].bad += static_cast<double>(v.latencies[i]);
        c["slower"].all += answered;
    }
    const auto attempts = static_cast<double>(w.attempts);
    c["relays lost"] = {static_cast<double>(w.attemptsLost), attempts};
    c["relays a command"] = {attempts, taken};
    c["origin's relays a command"] = {static_cast<double>(w.originAttempts), taken};
    c["connections a relay"] = {static_cast<double>(w.churned), attempts};
    double toLeaving = 0;
    for (const auto& [name, cache] : w.caches)
        if (const auto it = leaving_.find(name); it != leaving_.end() && it->second > kHeardOfLeaving)
            toLeaving += static_cast<double>(cache.attempts);
    c["relays to who leaves"] = {toLeaving, attempts};
    c["calls for lists"] = {static_cast<double>(w.endpointPolls), static_cast<double>(w.up) / 1e9};
    return c;
}

void RolloutController::compareSides(Nanos now) {
    struct Sides {
        Counts changed, unchanged;
    };
    std::map<std::string, Sides> zones;
    Counts rest;  // of all unchanged, for a zone that has none
    std::map<int, Counts> each;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        const Instance& m = instances_[i];
        const bool changed = isChanged(m);
        if (!changed && !isUnchanged(m)) continue;
        auto counts = countsOf(*m.window);
        Sides& sides = zones[m.zone];
        for (const auto& [kind, c] : counts) {
            Counted& sum = (changed ? sides.changed : sides.unchanged)[kind];
            sum.bad += c.bad;
            sum.all += c.all;
            if (changed) continue;
            rest[kind].bad += c.bad;
            rest[kind].all += c.all;
        }
        if (!changed) each.emplace(static_cast<int>(i), std::move(counts));
    }
    const auto kindOf = [&](const std::string& name) -> Comparison& {
        const auto it = comparisons_.find(name);
        if (it != comparisons_.end()) return it->second;
        const Thresholds& w = plan_.thresholds;
        const bool pressure = name.find(" a ") != std::string::npos || name.starts_with("calls");
        Evidence e = pressure           ? Evidence(w.pressure, name.starts_with("conn") ? 0.1 : 0.02)
                     : name == "slower" ? Evidence(w.slower, 0.01)
                     : name == "never answered"
                         ? Evidence(w.ratio, w.allowance / 8)
                         : Evidence(w.ratio, name == "relays lost" ? 0.02 : w.allowance);
        return comparisons_.emplace(name, Comparison{e, Share{60 * kSecond}, Spread{30 * kSecond}, pressure})
            .first->second;
    };
    for (const auto& [zone, sides] : zones)
        for (const auto& [name, c] : sides.changed) {
            Comparison& kind = kindOf(name);
            Cell cell{c.bad, c.all, 0, 0};
            const auto own = sides.unchanged.find(name);
            const auto all = rest.find(name);
            if (own != sides.unchanged.end() && own->second.all > 0) {
                cell.unchangedBad = own->second.bad;
                cell.unchangedAll = own->second.all;
            } else if (all != rest.end() && all->second.all > 0) {
                cell.unchangedBad = all->second.bad;
                cell.unchangedAll = all->second.all;
            } else if (kind.usual.all() > 0) {
                // Nobody is left who is unchanged: beside what was usual before, and with twice the doubt.
                cell.unchangedBad = kind.usual.value() * c.all;
                cell.unchangedAll = c.all;
                kind.evidence.add(cell, kind.usual.value(), 2 * kind.spread.value() + 1);
                continue;
            }
            kind.evidence.add(cell, kind.usual.value(), kind.spread.value());
        }
    // After the windows were weighed: what is usual is known before what it weighs.
    for (const auto& [name, c] : rest) {
        Comparison& kind = kindOf(name);
        if (!fault_) kind.usual.add(now, c.bad, c.all);
    }
    for (const auto& [member, counts] : each) {
        const Instance& m = instances_[static_cast<std::size_t>(member)];
        for (const auto& [name, c] : counts) {
            const Counted& zone = zones[m.zone].unchanged[name];
            if (zone.all > 0 && c.all > 0)
                kindOf(name).spread.add(now, member, c.bad, zone.bad * c.all / zone.all);
        }
    }
    for (std::size_t i = 0; i < instances_.size(); ++i)
        if (!each.contains(static_cast<int>(i)))
            for (auto& [name, kind] : comparisons_) kind.spread.forget(static_cast<int>(i));
}

// A version that ignores drains does not know that it does: who leaves is what the unchanged say.
void RolloutController::seeLeaving() {
    std::set<std::string> said;
    for (const Instance& m : instances_)
        if (isUnchanged(m))
            for (const auto& [name, cache] : m.window->caches)
                if (cache.isDraining) said.insert(name);
    std::erase_if(leaving_, [&](const auto& one) { return !said.contains(one.first); });
    for (const auto& name : said) ++leaving_[name];
}

// From which class on the slowest quarter of the unchanged side's answers lies.
void RolloutController::learnTimes(Nanos) {
    if (fault_) return;
    for (auto& [requestClass, classes] : times_)
        for (double& c : classes) c *= kFades;
    for (const Instance& m : instances_) {
        if (!isUnchanged(m)) continue;
        for (const auto& [requestClass, v] : m.window->requestClasses) {
            auto& classes = times_[requestClass];
            classes.resize(std::max(classes.size(), v.latencies.size()));
            for (std::size_t i = 0; i < v.latencies.size(); ++i)
                classes[i] += static_cast<double>(v.latencies[i]);
        }
    }
    // A class that moved would make what came before it another measure: it stays once there is enough.
    for (const auto& [requestClass, classes] : times_) {
        const double all = std::accumulate(classes.begin(), classes.end(), 0.0);
        if (slow_.contains(requestClass) || all < kLeastAnswers || phase_ == Phase::observing) continue;
        double over = 0;
        std::size_t from = classes.size();
        while (from > 1 && over + classes[from - 1] <= kSlowPart * all) over += classes[--from];
        slow_[requestClass] = from;
    }
}

// Trouble is what hits the unchanged: nothing begins or holds in it. What the fleet's figures explain is not
// the change's; what they don't, and begins in a stage, is held to be.
void RolloutController::detectFaults(Nanos now) {
    double bad = 0, all = 0, took = 0, attempts = 0, lost = 0, sent = 0;
    Nanos span = 0;
    int seen = 0, caches = 0, withCaches = 0;
    bool alone = true;
    for (const Instance& m : instances_) alone &= !isUnchanged(m);
    for (const Instance& m : instances_) {
        if (!m.window) continue;
        const InstanceMetrics& w = *m.window;
        span = std::max(span, w.up);
        ++seen;
        took += w.attemptMs;
        attempts += static_cast<double>(w.attempts);
        caches = std::max(caches, w.cachesReady);
        withCaches += w.cachesReady > 0;
        if (!isUnchanged(m) && !(alone && isChanged(m))) continue;
        for (const auto& [name, v] : w.requestClasses) bad += static_cast<double>(v.unsuccessful() + v.late);
        all += total(w);
        lost += static_cast<double>(w.attemptsLost);
        sent += static_cast<double>(w.attempts);
        if (!isUnchanged(m)) continue;
        mostMemory_ = std::max(mostMemory_, w.memoryKb);
        mostDescriptors_ = std::max(mostDescriptors_, w.descriptors);
        mostLinks_ = std::max(mostLinks_, w.connections);
    }
    if (!seen) return;
    double commands = 0;
    for (const Instance& m : instances_)
        if (m.window) commands += total(*m.window);
    harmNow_.add(now, bad, all);
    loadNow_.add(now, commands, static_cast<double>(span) / 1e9);
    relayNow_.add(now, took, attempts);
    lostNow_.add(now, lost, sent);
    cachesNow_ = caches;
    const double usual = harmUsual_.value();
    const bool was = fault_;
    if (harmNow_.bad() >= kTroubleEvents && harmNow_.value() > kTroubleFactor * usual + kTroubleShare) {
        if (!fault_) faultAt_ = now;
        fault_ = true;
        faultSeen_ = now;
    } else if (fault_ && harmNow_.value() < kCalmFactor * usual + kCalmShare &&
               now - faultSeen_ >= kTroubleStays) {
        fault_ = false;
    }
    std::string why;
    if (cachesUsual_ > 0 && cachesNow_ < cachesUsual_) why = "fewer caches are there";
    if (loadUsual_.all() > 0 && loadNow_.value() > kBurst * loadUsual_.value()) why = "a burst";
    if (relayUsual_.all() > 0 && relayNow_.value() > kServersSlow * relayUsual_.value())
        why = "caches or the origin take longer";
    if (lostNow_.value() > kTroubleFactor * lostUsual_.value() + kLostShare)
        why = "relays of unchanged instances are lost";
    if (heldUpAt_ && now - heldUpAt_ < kAftermath) why = "machines were held up";
    if (!unheard(now).empty()) {
        why = "not heard: " + unheard(now);
        heldUpAt_ = now;
    }
    // What began a trouble explains its end too: servers are avoided by then, and what is late is still late.
    if (!fault_ || !why.empty()) explained_ = why;
    if (!fault_) {
        harmUsual_.add(now, bad, all);
        loadUsual_.add(now, commands, static_cast<double>(span) / 1e9);
        relayUsual_.add(now, took, attempts);
        lostUsual_.add(now, lost, sent);
        cachesUsual_ = std::max(cachesUsual_, cachesNow_);
    }
    if (fault_ != was)
        host_.report(fault_ ? "trouble" : "trouble is over",
                     {{"share", harmNow_.value()}, {"usual", usual}, {"explained", explained_}});
}

// ---- the verdict

std::string RolloutController::worstOf(double lift) const {
    // Each kind has its part of the false alarms, so that all together keep to them.
    const double bound =
        std::log(static_cast<double>(comparisons_.size()) / plan_.thresholds.falseAlarms) * lift;
    const Comparison* worst = nullptr;
    std::string name;
    for (const auto& [n, kind] : comparisons_)
        if (kind.evidence.log() > (worst ? worst->evidence.log() : bound)) {
            worst = &kind;
            name = n;
        }
    if (!worst) return "";
    const Evidence& e = worst->evidence;
    return fmt::format("{}: {:.4g} of {:.0f} beside {:.4g} of {:.0f}", name, e.changedShare(), e.changedAll(),
                       e.unchangedAll() > 0 ? e.unchangedShare() : worst->usual.value(), e.unchangedAll());
}

std::string RolloutController::levelsOver() {
    const double growth = plan_.thresholds.growth;
    for (Instance& m : instances_) {
        if (!isChanged(m)) {
            m.overLevel = 0;
            continue;
        }
        const InstanceMetrics& w = *m.window;
        std::string what;
        if (w.memoryKb > growth * mostMemory_ + kFloorMemoryKb)
            what = fmt::format("memory {:.0f} kB beside {:.0f}", w.memoryKb, mostMemory_);
        if (w.descriptors > growth * mostDescriptors_ + kFloorDescriptors)
            what = fmt::format("descriptors {:.0f} beside {:.0f}", w.descriptors, mostDescriptors_);
        if (w.connections > growth * mostLinks_ + kFloorLinks)
            what = fmt::format("connections {:.0f} beside {:.0f}", w.connections, mostLinks_);
        m.overLevel = what.empty() ? 0 : m.overLevel + 1;
        if (m.overLevel >= kLooksOver) return m.name + ": " + what;
    }
    return "";
}

std::string RolloutController::endsOver() const {
    double changedEnds = 0, otherEnds = 0, changed = 0, others = 0;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        const InstanceReport* const r = reportOf(instances_[i]);
        if (!r) continue;
        const bool is = wanted_.contains(static_cast<int>(i));
        (is ? changedEnds : otherEnds) += r->exitCount;
        ++(is ? changed : others);
    }
    const double share = changedEnds / std::max(changed, 1.0);
    const bool stop = changedEnds >= 2 && (others > 0 ? share > 3 * otherEnds / others
                                                      : changedEnds >= std::max(2.0, 0.1 * changed));
    return stop
               ? fmt::format("{:.0f} ends by themselves at {:.0f} changed instances, {:.0f} at {:.0f} others",
                             changedEnds, changed, otherEnds, others)
               : "";
}

// An end that is not enough to stop makes the stage begin its time again.
void RolloutController::judgeStage(Nanos now) {
    std::string why = endsOver();
    int ends = 0;
    for (std::size_t i = 0; i < instances_.size() && why.empty(); ++i) {
        const Instance& m = instances_[i];
        const InstanceReport* const r = reportOf(m);
        if (!r) continue;
        const bool wanted = wanted_.contains(static_cast<int>(i));
        if (wanted) ends += r->exitCount;
        if (wanted && !r->problem.empty() && knows(now, m.agent))
            why = fmt::format("{} can't be changed: {}", m.name, r->problem);
        const AgentState& peer = agents_[static_cast<std::size_t>(m.agent)];
        const auto& refusal = peer.refusal;
        // A sync that failed once is made good by the next order.
        const bool lasts = !refusal.empty() && now - peer.refusedSince >= kRefusedFor;
        if (wanted && r->state != InstanceState::changed && lasts)
            why = fmt::format("{}: {}", plan_.agents[static_cast<std::size_t>(m.agent)].name, refusal);
        if (wanted && r->state == InstanceState::changed && r->metrics && !zones_.contains(r->metrics->zone))
            why = fmt::format("{} is in zone '{}', where nobody was before", m.name, r->metrics->zone);
    }
    if (ends > endsSeen_) judged_ = 0;
    endsSeen_ = std::max(endsSeen_, ends);
    if (why.empty()) why = worstOf(fault_ ? kTroubleLift : 1);
    if (why.empty()) why = levelsOver();
    const bool began = fault_ && faultAt_ >= stageAt_;
    if (why.empty() && began && explained_.empty()) {
        unexplained_ += kLook;
        if (unexplained_ >= plan_.minStageDuration)
            why = fmt::format(
                "both sides do worse than before this stage ({:.4g} beside {:.4g}), and nothing "
                "explains it",
                harmNow_.value(), harmUsual_.value());
    }
    if (!why.empty()) return beginRollback(now, why);
    if (phase_ == Phase::changing && stageStands() && unheard(now).empty()) return enter(now, Phase::judging);
    if (phase_ == Phase::changing && now - phaseAt_ >= plan_.maxStageDuration)
        beginRollback(now, unheard(now).empty()
                               ? "not all of the stage's instances came to stand in its longest time"
                               : "not heard: " + unheard(now));
}

// Harm of the plan's size is less likely than the bound allows: commands unanswered, late, and slower ones,
// and those never answered, of which so few break the promise that the first stage's traffic seldom tells.
bool RolloutController::isHarmRuledOut() const {
    const Thresholds& w = plan_.thresholds;
    for (const auto& [name, harm] : {std::pair<std::string_view, double>{"unanswered", w.harm},
                                     {"late", w.harm},
                                     {"slower", w.slowHarm},
                                     {"never answered", w.silent}}) {
        if (name == "never answered" && stage_ < std::min(2, stageCount())) continue;
        const auto it = comparisons_.find(std::string(name));
        // Too few answers before the roll to know which ones are slow: nothing is said of that.
        if (it == comparisons_.end() && name == "slower") continue;
        if (it == comparisons_.end()) return false;
        const Evidence& e = it->second.evidence;
        const double others = e.unchangedAll() > 0 ? e.unchangedShare() : it->second.usual.value();
        const double upper = upperShare(e.changedBad(), e.changedAll(), kRuledOut);
        // Beside instances that tell nothing nothing is ruled out; where all are changed and a coordinator
        // that came anew saw none before, their own share has to do.
        const bool beside = e.unchangedAll() > 0 || it->second.usual.all() >= kLeastAnswers;
        if (!beside && changedCount() < instanceCount()) return false;
        if (e.changedAll() < kLeastAnswers || upper - others > harm) return false;
    }
    return true;
}

void RolloutController::beginRollback(Nanos now, std::string why) {
    reason_ = std::move(why);
    host_.report("stops",
                 {{"stage", stage_}, {"changed", changedCount()}, {"of", instanceCount()}, {"why", reason_}});
    enter(now, Phase::rollingBack);
    reconcileRollback(now);
}

// The last that changed goes back first; nobody else's turn comes while a batch is on its way.
void RolloutController::reconcileRollback(Nanos now) {
    int onTheWay = 0, left = 0;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        const Instance& m = instances_[i];
        const InstanceReport* const r = reportOf(m);
        const bool known =
            r && knows(now, m.agent) && agents_[static_cast<std::size_t>(m.agent)].report->number == number_;
        const bool isBefore = known && r->state == InstanceState::original && r->ready;
        if (wanted_.contains(static_cast<int>(i)) || !isBefore) ++left;
        if (!wanted_.contains(static_cast<int>(i)) && known && !isBefore && r->state != InstanceState::failed)
            ++onTheWay;
    }
    for (std::size_t k = order_.size(); k-- > 0 && onTheWay < plan_.rollbackBatchSize;)
        if (wanted_.erase(order_[k])) ++onTheWay;
    held_.clear();
    if (left == 0) return end(RolloutOutcome::rolledBack);
    if (now - phaseAt_ < plan_.rollbackTimeout) return;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        const Instance& m = instances_[i];
        const InstanceReport* const r = reportOf(m);
        if (!knows(now, m.agent))
            unrestoredInstances_.push_back(
                fmt::format("{}: not heard; what was not held goes back by itself", m.name));
        else if (r->state != InstanceState::original || !r->ready)
            unrestoredInstances_.push_back(fmt::format("{}: {}{}{}", m.name, nameOf(r->state),
                                                       r->ready ? "" : ", not ready",
                                                       r->problem.empty() ? "" : ", " + r->problem));
    }
    end(unrestoredInstances_.empty() ? RolloutOutcome::rolledBack : RolloutOutcome::rollbackIncomplete);
}

void RolloutController::end(RolloutOutcome outcome) {
    outcome_ = outcome;
    phase_ = Phase::finished;
    host_.report("ends",
                 {{"outcome", nameOf(outcome)}, {"why", reason_}, {"not_undone", unrestoredInstances_}});
}

nlohmann::json RolloutController::status(Nanos now) const {
    auto all = nlohmann::json::array();
    for (const Instance& m : instances_) {
        const InstanceReport* const r = reportOf(m);
        all.push_back(
            {{"name", m.name},
             {"zone", m.zone},
             {"stand", r && knows(now, m.agent) ? nlohmann::json(nameOf(r->state)) : nlohmann::json()},
             {"ready", r && r->ready},
             {"problem", r ? r->problem : ""}});
    }
    auto kinds = nlohmann::json::object();
    for (const auto& [name, k] : comparisons_)
        kinds[name] = {{"changed", k.evidence.changedShare()},
                       {"unchanged", k.evidence.unchangedShare()},
                       {"evidence", k.evidence.log()},
                       {"spread", k.spread.value()}};
    return {{"format", kFormat},
            {"number", number_},
            {"phase", phaseName()},
            {"stage", stage_},
            {"stages", counts_},
            {"changed", changedCount()},
            {"trouble", fault_},
            {"explained", explained_},
            {"judged_ms", judged_ / kMillisecond},
            {"outcome", nameOf(outcome_)},
            {"reason", reason_},
            {"not_undone", unrestoredInstances_},
            {"instances", std::move(all)},
            {"compared", std::move(kinds)}};
}

}  // namespace poppyscale::rollout
