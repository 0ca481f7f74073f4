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

double total(const Figures& f) {
    double all = 0;
    for (const auto& [name, v] : f.verbs) all += static_cast<double>(v.answered() + v.unanswered());
    return all;
}

}  // namespace

std::string_view nameOf(Outcome outcome) {
    static constexpr std::string_view names[] = {"under way", "went through", "stopped and undone",
                                                 "stopped and not all undone", "can't"};
    return names[static_cast<int>(outcome)];
}

std::string_view Roll::phaseName() const {
    static constexpr std::string_view names[] = {"asking",     "watching", "changing", "judging",
                                                 "going back", "ending",   "over"};
    return names[static_cast<int>(phase_)];
}

Roll::Roll(const Plan& plan, std::string digest, RollHands& hands)
    : plan_(plan), digest_(std::move(digest)), hands_(hands), peers_(plan.agents.size()) {}

// ---- what comes in

void Roll::heard(Nanos now, int agent, const Report& report) {
    Peer& peer = peers_.at(static_cast<std::size_t>(agent));
    if (number_ && report.number > number_) return overtaken(now, agent, fmt::format("{}", report.number));
    const auto same = [&] { return peer.report && peer.report->instances.size() != report.instances.size(); };
    if (!order_.empty() && same()) return;  // another description: unknown from now on
    peer.report = report;
    peer.heardAt = now;
    if (report.problem.empty()) peer.refusedSince = 0;
    if (!report.problem.empty()) refused(now, agent, report.problem);
    peer.refusal = report.problem;
}

void Roll::overtaken(Nanos, int agent, std::string_view why) {
    if (outcome_ != Outcome::none) return;
    reason_ = fmt::format("overtaken: {} follows roll {}",
                          plan_.agents.at(static_cast<std::size_t>(agent)).name, why);
    hands_.say("overtaken", {{"by", why}, {"at", plan_.agents[static_cast<std::size_t>(agent)].name}});
    end(Outcome::cant);
}

void Roll::refused(Nanos now, int agent, std::string_view why) {
    Peer& peer = peers_.at(static_cast<std::size_t>(agent));
    if (peer.refusedSince == 0) peer.refusedSince = now;
    peer.refusal = why;
}

void Roll::abandon(Nanos now) {
    if (phase_ == Phase::asking || phase_ == Phase::watching) {
        reason_ = "given up before anything had changed";
        return end(Outcome::cant);
    }
    if (phase_ == Phase::changing || phase_ == Phase::judging) stop(now, "told to go back");
}

bool Roll::knows(Nanos now, int agent) const {
    const Peer& p = peers_[static_cast<std::size_t>(agent)];
    return p.report && now - p.heardAt <= kHeardWithin;
}

std::string Roll::unheard(Nanos now) const {
    std::string names;
    for (std::size_t a = 0; a < peers_.size(); ++a) {
        if (knows(now, static_cast<int>(a))) continue;
        names += (names.empty() ? "" : ", ") + plan_.agents[a].name;
        // One that answers and is not understood is not simply away.
        if (!peers_[a].refusal.empty()) names += " (" + peers_[a].refusal + ")";
    }
    return names;
}

const InstanceReport* Roll::reportOf(const Member& m) const {
    const Peer& p = peers_[static_cast<std::size_t>(m.agent)];
    return p.report ? &p.report->instances[static_cast<std::size_t>(m.index)] : nullptr;
}

bool Roll::isChanged(const Member& m) const {
    const InstanceReport* const r = reportOf(m);
    return m.window && r && r->ready && r->stand == Stand::changed && r->since >= plan_.settle;
}

bool Roll::isUnchanged(const Member& m) const {
    const InstanceReport* const r = reportOf(m);
    return m.window && r && r->ready && r->stand == Stand::before;
}

// ---- the order of things

std::optional<Order> Roll::order(int agent) {
    if (phase_ == Phase::asking || outcome_ == Outcome::cant) return std::nullopt;
    Order o;
    o.number = number_;
    o.step = ++step_;
    o.digest = digest_;
    o.program = plan_.program;
    o.form = plan_.formText;
    o.keep = plan_.keep;
    o.batch = phase_ == Phase::back ? plan_.backBatch : plan_.batch;
    o.over = phase_ == Phase::ending;
    for (const int m : wanted_) {
        const Member& member = members_[static_cast<std::size_t>(m)];
        if (member.agent != agent) continue;
        o.changed.insert(member.index);
        if (held_.contains(m)) o.held.insert(member.index);
    }
    return o;
}

void Roll::enter(Nanos now, Phase phase) {
    phase_ = phase;
    phaseAt_ = now;
}

void Roll::settle(Nanos now) {
    if (!startedAt_) startedAt_ = phaseAt_ = now;
    if (outcome_ != Outcome::none) return;
    if (phase_ == Phase::asking) return begin(now);
    if (now - lastLook_ >= kLook) look(now);
    if (phase_ == Phase::back) return settleBack(now);
    if (phase_ != Phase::ending) return;
    const bool all = std::all_of(peers_.begin(), peers_.end(), [&](const Peer& p) {
        return p.report && p.report->number == number_ && p.report->over;
    });
    if (all) return end(Outcome::went);
    if (now - phaseAt_ < plan_.backWithin) return;
    // All of them hold it already; what an agent that is not heard doesn't know yet is that it is over.
    reason_ = fmt::format("went through; not told that it is over: {}", unheard(now));
    end(Outcome::went);
}

// Once all are heard; where a roll of this change was under way, from what its agents hold.
void Roll::begin(Nanos now) {
    std::uint64_t highest = 0;
    bool resumes = false, other = false;
    for (const Peer& p : peers_) {
        if (!p.report) continue;
        highest = std::max(highest, p.report->number);
        const bool holds = !p.report->digest.empty() && !p.report->over;
        resumes |= holds && p.report->digest == digest_;
        other |= holds && p.report->digest != digest_;
    }
    const std::string missing = unheard(now);
    const Nanos patience = resumes || other ? plan_.longest : kAskFor;
    if (!missing.empty() || other) {
        if (now - phaseAt_ < patience) return;
        reason_ = other ? "another roll's change is still in place at an agent"
                        : fmt::format("not there: {}", missing);
        return end(Outcome::cant);
    }
    number_ = highest + 1;
    std::map<std::string, std::vector<int>> byZone;
    for (std::size_t a = 0; a < peers_.size(); ++a)
        for (std::size_t i = 0; i < peers_[a].report->instances.size(); ++i) {
            const InstanceReport& r = peers_[a].report->instances[i];
            byZone[r.zone].push_back(static_cast<int>(members_.size()));
            Member m;
            m.agent = static_cast<int>(a);
            m.index = static_cast<int>(i);
            m.name = plan_.agents[a].name + "/" + r.name;
            m.zone = r.zone;
            members_.push_back(std::move(m));
            if (r.figures) zones_.insert(r.figures->zone);
            zones_.insert(r.zone);  // an old program may tell none, its agent does
        }
    // Zones in turn, within each its machines in turn.
    for (auto& [zone, all] : byZone)
        std::stable_sort(all.begin(), all.end(), [&](int a, int b) {
            const Member &x = members_[static_cast<std::size_t>(a)],
                         &y = members_[static_cast<std::size_t>(b)];
            return std::tie(x.index, x.agent) < std::tie(y.index, y.agent);
        });
    for (std::size_t k = 0; order_.size() < members_.size(); ++k)
        for (const auto& [zone, all] : byZone)
            if (k < all.size()) order_.push_back(all[k]);
    counts_ = stagesOf(plan_, static_cast<int>(order_.size()));
    if (resumes) {
        int upTo = 0;
        for (std::size_t k = 0; k < order_.size(); ++k) {
            const InstanceReport* const r = reportOf(members_[static_cast<std::size_t>(order_[k])]);
            if (r->stand != Stand::before) upTo = static_cast<int>(k) + 1;
        }
        while (stage_ < stages() && wantedUpTo(stage_) < upTo) ++stage_;
    }
    hands_.say(resumes ? "goes on" : "begins", {{"number", number_},
                                                {"instances", instances()},
                                                {"stages", counts_},
                                                {"stage", stage_},
                                                {"change", digest_}});
    if (stage_ == 0) return enter(now, Phase::watching);
    for (int k = 0; k < wantedUpTo(stage_); ++k) wanted_.insert(order_[static_cast<std::size_t>(k)]);
    for (int k = 0; k < wantedUpTo(stage_ - 1); ++k) held_.insert(order_[static_cast<std::size_t>(k)]);
    mostChanged_ = changed();
    enter(now, Phase::changing);
}

void Roll::look(Nanos now) {
    const Nanos passed = lastLook_ ? now - lastLook_ : 0;
    lastLook_ = now;
    windows(now);
    seeLeaving();
    seeTrouble(now);
    compare(now);
    learnTimes(now);
    if (phase_ == Phase::back || phase_ == Phase::ending) return;
    const std::string missing = unheard(now);
    if (phase_ == Phase::watching) {
        bool ready = missing.empty() && !trouble_;
        for (const Member& m : members_) ready &= reportOf(m) && reportOf(m)->ready;
        if (ready && now - phaseAt_ >= plan_.watch) {
            stage_ = 1;
        } else if (now - phaseAt_ >= std::max(plan_.longest, 2 * plan_.watch)) {
            reason_ = missing.empty() ? "the fleet was not well enough to begin" : "not heard: " + missing;
            return end(Outcome::cant);
        } else {
            return;
        }
    } else if (phase_ == Phase::judging || phase_ == Phase::changing) {
        if (phase_ == Phase::judging && !trouble_ && missing.empty()) judged_ += passed;
        judge(now);
        if (phase_ != Phase::judging || !reason_.empty()) return;
        const bool stands = stageStands() && missing.empty();
        const bool holds = stands && !trouble_ && judged_ >= plan_.least && harmRuledOut();
        const bool late = now - phaseAt_ >= plan_.longest;
        if (!holds && !late) return;
        if (!holds && !(plan_.goUntold && stands && !trouble_)) {
            std::string why = "it could not be told in the longest time of a stage: ";
            if (!missing.empty())
                why += "not heard: " + missing;
            else if (trouble_)
                why += explained_.empty() ? "both sides do worse than before" : "trouble, " + explained_;
            else
                why += stands ? "too little traffic, or unchanged instances that tell nothing"
                              : "not all of the stage's instances stand";
            return stop(now, why);
        }
        held_ = wanted_;
        hands_.say("stage holds", {{"stage", stage_}, {"changed", changed()}, {"told", holds}});
        if (stage_ == stages()) return enter(now, Phase::ending);
        ++stage_;
    }
    for (int k = 0; k < wantedUpTo(stage_); ++k) wanted_.insert(order_[static_cast<std::size_t>(k)]);
    mostChanged_ = std::max(mostChanged_, changed());
    judged_ = unexplained_ = 0;
    stageAt_ = now;
    hands_.say("stage begins", {{"stage", stage_}, {"changed", changed()}, {"of", instances()}});
    enter(now, Phase::changing);
}

bool Roll::stageStands() const {
    return std::all_of(wanted_.begin(), wanted_.end(), [this](int m) {
        const InstanceReport* const r = reportOf(members_[static_cast<std::size_t>(m)]);
        return r && r->stand == Stand::changed && r->ready && r->since >= plan_.settle;
    });
}

// ---- what is seen

void Roll::windows(Nanos now) {
    for (Member& m : members_) {
        m.window.reset();
        const InstanceReport* const r = reportOf(m);
        if (!r || !r->figures || !knows(now, m.agent)) {
            m.last.reset();
            continue;
        }
        const Nanos at = peers_[static_cast<std::size_t>(m.agent)].heardAt;
        if (m.last && at - m.lastAt >= kHeldUp) heldUpAt_ = now;
        if (m.last && at > m.lastAt) m.window = windowOf(*m.last, *r->figures, at - m.lastAt);
        m.last = r->figures;
        m.lastAt = at;
    }
}

Roll::Counts Roll::countsOf(const Figures& w) const {
    Counts c;
    double taken = 0;
    for (const auto& [name, v] : w.verbs) {
        const auto answered = static_cast<double>(v.answered()), lost = static_cast<double>(v.unanswered());
        taken += answered + lost;
        c["unanswered"].bad += lost;
        c["unanswered"].all += answered + lost;
        c["unanswered " + name] = {lost, answered + lost};
        // Of those the ones that were let wait until they left: nothing else makes so many of them so soon.
        c["never answered"].bad += static_cast<double>(v.left);
        c["never answered"].all += answered + lost;
        c["late"].bad += static_cast<double>(v.late);
        c["late"].all += answered;
        c["late " + name] = {static_cast<double>(v.late), answered};
        const auto from = slow_.find(name);
        if (from == slow_.end()) continue;
        for (std::size_t i = from->second; i < v.times.size(); ++i)
            c["slower"].bad += static_cast<double>(v.times[i]);
        c["slower"].all += answered;
    }
    const auto relays = static_cast<double>(w.relays);
    c["relays lost"] = {static_cast<double>(w.relaysLost), relays};
    c["relays a command"] = {relays, taken};
    c["origin's relays a command"] = {static_cast<double>(w.originRelays), taken};
    c["connections a relay"] = {static_cast<double>(w.churned), relays};
    double toLeaving = 0;
    for (const auto& [name, cache] : w.caches)
        if (const auto it = leaving_.find(name); it != leaving_.end() && it->second > kHeardOfLeaving)
            toLeaving += static_cast<double>(cache.relays);
    c["relays to who leaves"] = {toLeaving, relays};
    c["calls for lists"] = {static_cast<double>(w.calls), static_cast<double>(w.up) / 1e9};
    return c;
}

void Roll::compare(Nanos now) {
    struct Sides {
        Counts changed, unchanged;
    };
    std::map<std::string, Sides> zones;
    Counts rest;  // of all unchanged, for a zone that has none
    std::map<int, Counts> each;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const Member& m = members_[i];
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
    const auto kindOf = [&](const std::string& name) -> Kind& {
        const auto it = kinds_.find(name);
        if (it != kinds_.end()) return it->second;
        const Worse& w = plan_.worse;
        const bool pressure = name.find(" a ") != std::string::npos || name.starts_with("calls");
        Evidence e = pressure           ? Evidence(w.pressure, name.starts_with("conn") ? 0.1 : 0.02)
                     : name == "slower" ? Evidence(w.slower, 0.01)
                     : name == "never answered"
                         ? Evidence(w.ratio, w.allowance / 8)
                         : Evidence(w.ratio, name == "relays lost" ? 0.02 : w.allowance);
        return kinds_.emplace(name, Kind{e, Share{60 * kSecond}, Spread{30 * kSecond}, pressure})
            .first->second;
    };
    for (const auto& [zone, sides] : zones)
        for (const auto& [name, c] : sides.changed) {
            Kind& kind = kindOf(name);
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
        Kind& kind = kindOf(name);
        if (!trouble_) kind.usual.add(now, c.bad, c.all);
    }
    for (const auto& [member, counts] : each) {
        const Member& m = members_[static_cast<std::size_t>(member)];
        for (const auto& [name, c] : counts) {
            const Counted& zone = zones[m.zone].unchanged[name];
            if (zone.all > 0 && c.all > 0)
                kindOf(name).spread.add(now, member, c.bad, zone.bad * c.all / zone.all);
        }
    }
    for (std::size_t i = 0; i < members_.size(); ++i)
        if (!each.contains(static_cast<int>(i)))
            for (auto& [name, kind] : kinds_) kind.spread.forget(static_cast<int>(i));
}

// A version that ignores drains does not know that it does: who leaves is what the unchanged say.
void Roll::seeLeaving() {
    std::set<std::string> said;
    for (const Member& m : members_)
        if (isUnchanged(m))
            for (const auto& [name, cache] : m.window->caches)
                if (cache.leaving) said.insert(name);
    std::erase_if(leaving_, [&](const auto& one) { return !said.contains(one.first); });
    for (const auto& name : said) ++leaving_[name];
}

// From which class on the slowest quarter of the unchanged side's answers lies.
void Roll::learnTimes(Nanos) {
    if (trouble_) return;
    for (auto& [verb, classes] : times_)
        for (double& c : classes) c *= kFades;
    for (const Member& m : members_) {
        if (!isUnchanged(m)) continue;
        for (const auto& [verb, v] : m.window->verbs) {
            auto& classes = times_[verb];
            classes.resize(std::max(classes.size(), v.times.size()));
            for (std::size_t i = 0; i < v.times.size(); ++i) classes[i] += static_cast<double>(v.times[i]);
        }
    }
    // A class that moved would make what came before it another measure: it stays once there is enough.
    for (const auto& [verb, classes] : times_) {
        const double all = std::accumulate(classes.begin(), classes.end(), 0.0);
        if (slow_.contains(verb) || all < kLeastAnswers || phase_ == Phase::watching) continue;
        double over = 0;
        std::size_t from = classes.size();
        while (from > 1 && over + classes[from - 1] <= kSlowPart * all) over += classes[--from];
        slow_[verb] = from;
    }
}

// Trouble is what hits the unchanged: nothing begins or holds in it. What the fleet's figures explain is not
// the change's; what they don't, and begins in a stage, is held to be.
void Roll::seeTrouble(Nanos now) {
    double bad = 0, all = 0, took = 0, relays = 0, lost = 0, sent = 0;
    Nanos span = 0;
    int seen = 0, caches = 0, withCaches = 0;
    bool alone = true;
    for (const Member& m : members_) alone &= !isUnchanged(m);
    for (const Member& m : members_) {
        if (!m.window) continue;
        const Figures& w = *m.window;
        span = std::max(span, w.up);
        ++seen;
        took += w.relayMs;
        relays += static_cast<double>(w.relays);
        caches = std::max(caches, w.cachesReady);
        withCaches += w.cachesReady > 0;
        if (!isUnchanged(m) && !(alone && isChanged(m))) continue;
        for (const auto& [name, v] : w.verbs) bad += static_cast<double>(v.unanswered() + v.late);
        all += total(w);
        lost += static_cast<double>(w.relaysLost);
        sent += static_cast<double>(w.relays);
        if (!isUnchanged(m)) continue;
        mostMemory_ = std::max(mostMemory_, w.memoryKb);
        mostDescriptors_ = std::max(mostDescriptors_, w.descriptors);
        mostLinks_ = std::max(mostLinks_, w.links);
    }
    if (!seen) return;
    double commands = 0;
    for (const Member& m : members_)
        if (m.window) commands += total(*m.window);
    harmNow_.add(now, bad, all);
    loadNow_.add(now, commands, static_cast<double>(span) / 1e9);
    relayNow_.add(now, took, relays);
    lostNow_.add(now, lost, sent);
    cachesNow_ = caches;
    const double usual = harmUsual_.value();
    const bool was = trouble_;
    if (harmNow_.bad() >= kTroubleEvents && harmNow_.value() > kTroubleFactor * usual + kTroubleShare) {
        if (!trouble_) troubleAt_ = now;
        trouble_ = true;
        troubleSeen_ = now;
    } else if (trouble_ && harmNow_.value() < kCalmFactor * usual + kCalmShare &&
               now - troubleSeen_ >= kTroubleStays) {
        trouble_ = false;
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
    if (!trouble_ || !why.empty()) explained_ = why;
    if (!trouble_) {
        harmUsual_.add(now, bad, all);
        loadUsual_.add(now, commands, static_cast<double>(span) / 1e9);
        relayUsual_.add(now, took, relays);
        lostUsual_.add(now, lost, sent);
        cachesUsual_ = std::max(cachesUsual_, cachesNow_);
    }
    if (trouble_ != was)
        hands_.say(trouble_ ? "trouble" : "trouble is over",
                   {{"share", harmNow_.value()}, {"usual", usual}, {"explained", explained_}});
}

// ---- the verdict

std::string Roll::worstOf(double lift) const {
    // Each kind has its part of the false alarms, so that all together keep to them.
    const double bound = std::log(static_cast<double>(kinds_.size()) / plan_.worse.falseAlarms) * lift;
    const Kind* worst = nullptr;
    std::string name;
    for (const auto& [n, kind] : kinds_)
        if (kind.evidence.log() > (worst ? worst->evidence.log() : bound)) {
            worst = &kind;
            name = n;
        }
    if (!worst) return "";
    const Evidence& e = worst->evidence;
    return fmt::format("{}: {:.4g} of {:.0f} beside {:.4g} of {:.0f}", name, e.changedShare(), e.changedAll(),
                       e.unchangedAll() > 0 ? e.unchangedShare() : worst->usual.value(), e.unchangedAll());
}

std::string Roll::levelsOver() {
    const double growth = plan_.worse.growth;
    for (Member& m : members_) {
        if (!isChanged(m)) {
            m.overLevel = 0;
            continue;
        }
        const Figures& w = *m.window;
        std::string what;
        if (w.memoryKb > growth * mostMemory_ + kFloorMemoryKb)
            what = fmt::format("memory {:.0f} kB beside {:.0f}", w.memoryKb, mostMemory_);
        if (w.descriptors > growth * mostDescriptors_ + kFloorDescriptors)
            what = fmt::format("descriptors {:.0f} beside {:.0f}", w.descriptors, mostDescriptors_);
        if (w.links > growth * mostLinks_ + kFloorLinks)
            what = fmt::format("connections {:.0f} beside {:.0f}", w.links, mostLinks_);
        m.overLevel = what.empty() ? 0 : m.overLevel + 1;
        if (m.overLevel >= kLooksOver) return m.name + ": " + what;
    }
    return "";
}

std::string Roll::endsOver() const {
    double changedEnds = 0, otherEnds = 0, changed = 0, others = 0;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const InstanceReport* const r = reportOf(members_[i]);
        if (!r) continue;
        const bool is = wanted_.contains(static_cast<int>(i));
        (is ? changedEnds : otherEnds) += r->ends;
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
void Roll::judge(Nanos now) {
    std::string why = endsOver();
    int ends = 0;
    for (std::size_t i = 0; i < members_.size() && why.empty(); ++i) {
        const Member& m = members_[i];
        const InstanceReport* const r = reportOf(m);
        if (!r) continue;
        const bool wanted = wanted_.contains(static_cast<int>(i));
        if (wanted) ends += r->ends;
        if (wanted && !r->problem.empty() && knows(now, m.agent))
            why = fmt::format("{} can't be changed: {}", m.name, r->problem);
        const Peer& peer = peers_[static_cast<std::size_t>(m.agent)];
        const auto& refusal = peer.refusal;
        // A sync that failed once is made good by the next order.
        const bool lasts = !refusal.empty() && now - peer.refusedSince >= kRefusedFor;
        if (wanted && r->stand != Stand::changed && lasts)
            why = fmt::format("{}: {}", plan_.agents[static_cast<std::size_t>(m.agent)].name, refusal);
        if (wanted && r->stand == Stand::changed && r->figures && !zones_.contains(r->figures->zone))
            why = fmt::format("{} is in zone '{}', where nobody was before", m.name, r->figures->zone);
    }
    if (ends > endsSeen_) judged_ = 0;
    endsSeen_ = std::max(endsSeen_, ends);
    if (why.empty()) why = worstOf(trouble_ ? kTroubleLift : 1);
    if (why.empty()) why = levelsOver();
    const bool began = trouble_ && troubleAt_ >= stageAt_;
    if (why.empty() && began && explained_.empty()) {
        unexplained_ += kLook;
        if (unexplained_ >= plan_.least)
            why = fmt::format(
                "both sides do worse than before this stage ({:.4g} beside {:.4g}), and nothing "
                "explains it",
                harmNow_.value(), harmUsual_.value());
    }
    if (!why.empty()) return stop(now, why);
    if (phase_ == Phase::changing && stageStands() && unheard(now).empty()) return enter(now, Phase::judging);
    if (phase_ == Phase::changing && now - phaseAt_ >= plan_.longest)
        stop(now, unheard(now).empty() ? "not all of the stage's instances came to stand in its longest time"
                                       : "not heard: " + unheard(now));
}

// Harm of the plan's size is less likely than the bound allows: commands unanswered, late, and slower ones,
// and those never answered, of which so few break the promise that the first stage's traffic seldom tells.
bool Roll::harmRuledOut() const {
    const Worse& w = plan_.worse;
    for (const auto& [name, harm] : {std::pair<std::string_view, double>{"unanswered", w.harm},
                                     {"late", w.harm},
                                     {"slower", w.slowHarm},
                                     {"never answered", w.silent}}) {
        if (name == "never answered" && stage_ < std::min(2, stages())) continue;
        const auto it = kinds_.find(std::string(name));
        // Too few answers before the roll to know which ones are slow: nothing is said of that.
        if (it == kinds_.end() && name == "slower") continue;
        if (it == kinds_.end()) return false;
        const Evidence& e = it->second.evidence;
        const double others = e.unchangedAll() > 0 ? e.unchangedShare() : it->second.usual.value();
        const double upper = upperShare(e.changedBad(), e.changedAll(), kRuledOut);
        // Beside instances that tell nothing nothing is ruled out; where all are changed and a coordinator
        // that came anew saw none before, their own share has to do.
        const bool beside = e.unchangedAll() > 0 || it->second.usual.all() >= kLeastAnswers;
        if (!beside && changed() < instances()) return false;
        if (e.changedAll() < kLeastAnswers || upper - others > harm) return false;
    }
    return true;
}

void Roll::stop(Nanos now, std::string why) {
    reason_ = std::move(why);
    hands_.say("stops", {{"stage", stage_}, {"changed", changed()}, {"of", instances()}, {"why", reason_}});
    enter(now, Phase::back);
    settleBack(now);
}

// The last that changed goes back first; nobody else's turn comes while a batch is on its way.
void Roll::settleBack(Nanos now) {
    int onTheWay = 0, left = 0;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const Member& m = members_[i];
        const InstanceReport* const r = reportOf(m);
        const bool known =
            r && knows(now, m.agent) && peers_[static_cast<std::size_t>(m.agent)].report->number == number_;
        const bool isBefore = known && r->stand == Stand::before && r->ready;
        if (wanted_.contains(static_cast<int>(i)) || !isBefore) ++left;
        if (!wanted_.contains(static_cast<int>(i)) && known && !isBefore && r->stand != Stand::stuck)
            ++onTheWay;
    }
    for (std::size_t k = order_.size(); k-- > 0 && onTheWay < plan_.backBatch;)
        if (wanted_.erase(order_[k])) ++onTheWay;
    held_.clear();
    if (left == 0) return end(Outcome::undone);
    if (now - phaseAt_ < plan_.backWithin) return;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const Member& m = members_[i];
        const InstanceReport* const r = reportOf(m);
        if (!knows(now, m.agent))
            notUndone_.push_back(fmt::format("{}: not heard; what was not held goes back by itself", m.name));
        else if (r->stand != Stand::before || !r->ready)
            notUndone_.push_back(fmt::format("{}: {}{}{}", m.name, nameOf(r->stand),
                                             r->ready ? "" : ", not ready",
                                             r->problem.empty() ? "" : ", " + r->problem));
    }
    end(notUndone_.empty() ? Outcome::undone : Outcome::notUndone);
}

void Roll::end(Outcome outcome) {
    outcome_ = outcome;
    phase_ = Phase::over;
    hands_.say("ends", {{"outcome", nameOf(outcome)}, {"why", reason_}, {"not_undone", notUndone_}});
}

nlohmann::json Roll::status(Nanos now) const {
    auto all = nlohmann::json::array();
    for (const Member& m : members_) {
        const InstanceReport* const r = reportOf(m);
        all.push_back(
            {{"name", m.name},
             {"zone", m.zone},
             {"stand", r && knows(now, m.agent) ? nlohmann::json(nameOf(r->stand)) : nlohmann::json()},
             {"ready", r && r->ready},
             {"problem", r ? r->problem : ""}});
    }
    auto kinds = nlohmann::json::object();
    for (const auto& [name, k] : kinds_)
        kinds[name] = {{"changed", k.evidence.changedShare()},
                       {"unchanged", k.evidence.unchangedShare()},
                       {"evidence", k.evidence.log()},
                       {"spread", k.spread.value()}};
    return {{"format", kFormat},
            {"number", number_},
            {"phase", phaseName()},
            {"stage", stage_},
            {"stages", counts_},
            {"changed", changed()},
            {"trouble", trouble_},
            {"explained", explained_},
            {"judged_ms", judged_ / kMillisecond},
            {"outcome", nameOf(outcome_)},
            {"reason", reason_},
            {"not_undone", notUndone_},
            {"instances", std::move(all)},
            {"compared", std::move(kinds)}};
}

}  // namespace poppyscale::rollout
