#include "testbed/model_checker/lease_model.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace poppyscale::testbed {
namespace {

using lease::Fence;
using lease::LeaseAnswer;
using lease::LeaseId;
using lease::LeaseRequest;
using lease::RecallAnswer;
using lease::RecallRequest;
using lease::Safeguard;

// In a unit of their own: few ticks to a lease, so that few events are a run.
constexpr Nanos kTick = 400;
constexpr Nanos kActLasts = 600;
constexpr LeaseId kLease = 7;
constexpr std::size_t kMostInFlight = 16;
constexpr int kLongestOnTheWay = 10;  // ticks: over a lease's length on a slow clock
constexpr int kRecoversWithin = 60;   // ticks, each quarantine and pause among them

lease::LeaseSettings termsOf(const LeaseModelOptions& w) {
    lease::LeaseSettings t;
    t.acceptorCount = 3;
    t.duration = 2'000;
    t.rate = 0.25;
    t.margin = 50;
    t.answerTimeout = 800;
    t.renewInterval = 500;
    t.minBackoff = 2;
    t.maxBackoff = 4;
    t.disabledSafeguards = w.without;
    return t;
}

int kindOf(const auto& body) { return static_cast<int>(body.index()); }

}  // namespace

LeaseModel::LeaseModel(const LeaseModelOptions& wanted) : options_(wanted), settings_(termsOf(wanted)) {
    acceptors_.resize(static_cast<std::size_t>(settings_.acceptorCount));
    disks_.resize(acceptors_.size());
    for (Disk& d : disks_) d.voted = true;  // a group that has been founded
    for (int v = 0; v < acceptors(); ++v) startAcceptor(v);
    for (int h = 0; h < options_.holders; ++h) {
        holders_.emplace_back(settings_, static_cast<lease::MemberId>(h + 1), 1);
        stopped_.emplace_back();
        holders_.back().acquire(localOf(acceptors() + h), kLease);
        reconcile(acceptors() + h, true);
    }
}

// At both ends of what the terms allow, and each from a zero of its own.
Nanos LeaseModel::localOf(int process) const {
    const bool fast = options_.clocks >> process & 1U;
    return 1'000'000 * (process + 1) + now_ * (fast ? 5 : 3) / 4;
}

void LeaseModel::startAcceptor(int v) {
    const Disk& d = disk(v);
    acceptors_[static_cast<std::size_t>(v)].emplace(
        settings_, v, localOf(v), d.voted ? std::optional<lease::GrantRecords>(d.records) : std::nullopt);
    reconcile(v, true);
}

void LeaseModel::startHolder(int process) {
    holder(process) = lease::LeaseHolder(settings_, static_cast<lease::MemberId>(process - acceptors() + 1),
                                         ++incarnations_);
    stopped_[static_cast<std::size_t>(process - acceptors())].reset();
    holder(process).acquire(localOf(process), kLease);
    reconcile(process, true);
}

void LeaseModel::send(int from, int to, Body body) {
    if (messagesInFlight_.size() >= kMostInFlight) messagesInFlight_.erase(messagesInFlight_.begin());
    messagesInFlight_.push_back({from, to, std::move(body), now_});
}

void LeaseModel::reconcile(int process, bool syncs) {
    const Nanos local = localOf(process);
    if (!isAcceptor(process)) {
        const auto wanted = holder(process).reconcile(local);
        for (const auto& [v, ask] : wanted.requests) send(process, v, ask);
        for (const auto& [to, lease] : wanted.offers) send(process, acceptors() + to - 1, lease);
        return;
    }
    for (bool more = true; more;) {
        auto wanted = acceptor(process).reconcile(local);
        for (auto& [to, answer] : wanted.answers) send(process, acceptors() + to - 1, answer);
        for (auto& [to, recall] : wanted.recalls) send(process, to, recall);
        for (auto& [to, recalled] : wanted.recallAnswers) send(process, to, std::move(recalled));
        more = false;
        if (wanted.ticket == 0) continue;
        Disk& d = disk(process);
        for (auto& [lease, record] : wanted.recordsToPersist) d.pending[lease] = record;
        d.ticket = wanted.ticket;
        if (!syncs) continue;
        d.voted = true;
        for (const auto& [lease, record] : d.pending) d.records[lease] = record;
        d.pending.clear();
        acceptor(process).onPersisted(local, std::exchange(d.ticket, 0));
        more = true;
    }
}

void LeaseModel::sync(int v) {
    Disk& d = disk(v);
    d.voted = true;
    for (const auto& [lease, record] : d.pending) d.records[lease] = record;
    d.pending.clear();
    acceptor(v).onPersisted(localOf(v), std::exchange(d.ticket, 0));
    reconcile(v, true);
}

void LeaseModel::hand(const Message& m, bool syncs) {
    const Nanos local = localOf(m.to);
    if (isAcceptor(m.to)) {
        auto& v = acceptor(m.to);
        if (const auto* ask = std::get_if<LeaseRequest>(&m.body))
            v.onRequest(local, static_cast<lease::MemberId>(m.from - acceptors() + 1), *ask);
        if (std::holds_alternative<RecallRequest>(m.body)) v.onRequest(local, m.from, RecallRequest{});
        if (const auto* said = std::get_if<RecallAnswer>(&m.body)) v.onRequest(local, m.from, *said);
    } else {
        if (const auto* answer = std::get_if<LeaseAnswer>(&m.body))
            holder(m.to).onAnswer(local, m.from, *answer);
        if (const auto* offered = std::get_if<LeaseId>(&m.body))
            holder(m.to).onTransferOffered(local, *offered);
    }
    reconcile(m.to, syncs);
}

bool LeaseModel::mayAct(int process) const {
    return holder(process).enterCriticalSection(localOf(process), kLease, kActLasts).has_value();
}

bool LeaseModel::acts(int process) const {
    return std::any_of(activeSections_.begin(), activeSections_.end(), [&](const ActiveSection& a) {
        return a.holder == process - acceptors() + 1 && a.until > now_;
    });
}

bool LeaseModel::somebodyHolds() const {
    for (int p = acceptors(); p < count(); ++p)
        if (holder(p).isHolding(localOf(p), kLease)) return true;
    return false;
}

// What a receiver sees of it, and what is so in true time.
bool LeaseModel::beginAct(int process, Fence fence, bool late) {
    std::erase_if(activeSections_, [this](const ActiveSection& a) { return a.until <= now_; });
    // One that was stopped is too late as soon as another one has acted: that is what the fence is for.
    if (late && fence < seen_) return true;
    for (const ActiveSection& a : activeSections_)
        if (a.holder != process - acceptors() + 1 && !late)
            broken_ = fmt::format("two act at once: h{} by {} and h{} by {}", a.holder,
                                  a.fence >> lease::kMemberBits, process - acceptors() + 1,
                                  fence >> lease::kMemberBits);
    if (fence < seen_)
        broken_ = fmt::format("the fence fell: h{} acts by {} after {}", process - acceptors() + 1,
                              fence >> lease::kMemberBits, seen_ >> lease::kMemberBits);
    seen_ = std::max(seen_, fence);
    if (!late) activeSections_.push_back({process - acceptors() + 1, fence, now_ + kActLasts});
    if (std::exchange(lastActor_, process) != process) ++changes_;
    return true;
}

LeaseModel::Step LeaseModel::actionOf(std::size_t message, StepKind what) const {
    const Message& m = messagesInFlight_[message];
    Step a{what, m.to, m.from, kindOf(m.body), 0};
    for (std::size_t i = 0; i < message; ++i)
        a.nth += messagesInFlight_[i].to == m.to && messagesInFlight_[i].from == m.from &&
                 kindOf(messagesInFlight_[i].body) == a.kind;
    return a;
}

std::optional<std::size_t> LeaseModel::find(const Step& a) const {
    int nth = a.nth;
    for (std::size_t i = 0; i < messagesInFlight_.size(); ++i)
        if (messagesInFlight_[i].to == a.who && messagesInFlight_[i].from == a.from &&
            kindOf(messagesInFlight_[i].body) == a.kind && nth-- == 0)
            return i;
    return std::nullopt;
}

LeaseModel::Step LeaseModel::usual() const {
    for (int v = 0; v < acceptors(); ++v)
        if (disks_[static_cast<std::size_t>(v)].ticket) return {StepKind::synced, v};
    for (int p = acceptors(); p < count(); ++p)
        if (!stopped_[static_cast<std::size_t>(p - acceptors())] && !acts(p) && mayAct(p))
            return {StepKind::act, p};
    for (std::size_t i = 0; i < messagesInFlight_.size(); ++i) {
        const int to = messagesInFlight_[i].to;
        const bool still = !isAcceptor(to) && stopped_[static_cast<std::size_t>(to - acceptors())];
        if (!messagesInFlight_[i].held && !still) return actionOf(i, StepKind::deliver);
    }
    return {StepKind::tick};
}

std::vector<LeaseModel::Step> LeaseModel::actions() const {
    if (options_.deviations < 0) return possible();
    if (tick_ >= options_.ticks) return {};
    const Step next = usual();
    std::vector<Step> all{next};
    if (options_.deviations == 0) return all;
    for (Step& a : possible())
        if (!(a == next)) all.push_back(a);
    for (std::size_t i = 0; i < messagesInFlight_.size(); ++i)
        if (!messagesInFlight_[i].held) {
            all.push_back(actionOf(i, StepKind::lose));
            all.push_back(actionOf(i, StepKind::hold));
        }
    return all;
}

bool LeaseModel::apply(const Step& action) {
    if (options_.deviations < 0) return play(action);
    const bool deviates = !(action == usual());
    if (deviates && options_.deviations == 0) return false;
    if (!play(action)) return false;
    options_.deviations -= deviates;
    return true;
}

std::vector<LeaseModel::Step> LeaseModel::possible() const {
    std::vector<Step> all;
    if (tick_ < options_.ticks) all.push_back({StepKind::tick});
    for (std::size_t i = 0; i < messagesInFlight_.size(); ++i) {
        all.push_back(actionOf(i, StepKind::deliver));
        if (options_.doubles > 0) all.push_back(actionOf(i, StepKind::twice));
        if (options_.slowSyncs > 0 && isAcceptor(messagesInFlight_[i].to) &&
            std::holds_alternative<LeaseRequest>(messagesInFlight_[i].body))
            all.push_back(actionOf(i, StepKind::syncLater));
    }
    for (int v = 0; v < acceptors(); ++v) {
        if (disks_[static_cast<std::size_t>(v)].ticket) all.push_back({StepKind::synced, v});
        if (options_.crashes > 0) all.push_back({StepKind::crash, v});
        if (options_.forgets > 0) all.push_back({StepKind::forget, v});
    }
    for (int p = acceptors(); p < count(); ++p) {
        const bool still = stopped_[static_cast<std::size_t>(p - acceptors())].has_value();
        if (still) {
            all.push_back({StepKind::goesOn, p});
            continue;
        }
        if (options_.crashes > 0) all.push_back({StepKind::holderCrash, p});
        if (mayAct(p)) {
            all.push_back({StepKind::act, p});
            if (options_.stops > 0) all.push_back({StepKind::stopped, p});
        }
        if (options_.letGos > 0 && holder(p).isHolding(localOf(p), kLease) && !acts(p)) {
            all.push_back({StepKind::letGo, p});
            all.push_back({StepKind::handOn, p});
        }
    }
    return all;
}

// Time, messages and acts in most steps; what fails in one of a dozen.
LeaseModel::Step LeaseModel::drawn(std::mt19937& chance) const {
    const auto all = actions();
    const auto weight = [](const Step& a) {
        switch (a.what) {
            case StepKind::tick:
                return 3.0;
            case StepKind::deliver:
                return 2.0;
            case StepKind::act:
                return 3.0;
            case StepKind::synced:
            case StepKind::goesOn:
                return 1.0;
            default:
                return 0.25;
        }
    };
    std::vector<double> weights;
    for (const Step& a : all) weights.push_back(weight(a));
    return all[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(chance)];
}

bool LeaseModel::play(const Step& a) {
    const auto spend = [](int& of) { return of > 0 && of-- > 0; };
    const bool holds = !isAcceptor(a.who) && holder(a.who).isHolding(localOf(a.who), kLease);
    const auto still = [&]() -> std::optional<lease::CriticalSection>& {
        return stopped_[static_cast<std::size_t>(a.who - acceptors())];
    };
    switch (a.what) {
        case StepKind::tick:
            if (++tick_ > options_.ticks) return --tick_, false;
            now_ += kTick;
            std::erase_if(messagesInFlight_,
                          [this](const Message& m) { return now_ - m.sentAt > kLongestOnTheWay * kTick; });
            for (int p = 0; p < count(); ++p)
                if (isAcceptor(p) || !stopped_[static_cast<std::size_t>(p - acceptors())])
                    reconcile(p, !isAcceptor(p) || disk(p).ticket == 0);
            return true;
        case StepKind::deliver:
        case StepKind::twice:
        case StepKind::syncLater: {
            const auto i = find(a);
            if (!i) return false;
            if (!isAcceptor(a.who) && still()) return false;
            if (a.what == StepKind::syncLater && (!isAcceptor(a.who) || !spend(options_.slowSyncs)))
                return false;
            if (a.what == StepKind::twice && !spend(options_.doubles)) return false;
            const Message m = messagesInFlight_[*i];
            if (a.what != StepKind::twice)
                messagesInFlight_.erase(messagesInFlight_.begin() + static_cast<std::ptrdiff_t>(*i));
            // What waits for the disk holds up what comes after it.
            hand(m, a.what != StepKind::syncLater && (!isAcceptor(m.to) || disk(m.to).ticket == 0));
            return true;
        }
        case StepKind::lose:
        case StepKind::hold: {
            const auto i = find(a);
            if (!i || messagesInFlight_[*i].held) return false;
            if (a.what == StepKind::lose)
                messagesInFlight_.erase(messagesInFlight_.begin() + static_cast<std::ptrdiff_t>(*i));
            else
                messagesInFlight_[*i].held = true;
            return true;
        }
        case StepKind::synced:
            if (!isAcceptor(a.who) || disk(a.who).ticket == 0) return false;
            return sync(a.who), true;
        case StepKind::crash:
        case StepKind::forget: {
            if (!isAcceptor(a.who)) return false;
            // One after the other: of a majority that forgets at once nothing is promised but the quarantine.
            if (a.what == StepKind::forget)
                for (int v = 0; v < acceptors(); ++v)
                    if (acceptor(v).state() != lease::Acceptor::State::voting) return false;
            if (!spend(a.what == StepKind::forget ? options_.forgets : options_.crashes)) return false;
            Disk& d = disk(a.who);
            d.pending.clear();
            d.ticket = 0;
            if (a.what == StepKind::forget) d = Disk{};
            startAcceptor(a.who);
            return true;
        }
        case StepKind::holderCrash:
            if (isAcceptor(a.who) || !spend(options_.crashes)) return false;
            return startHolder(a.who), true;
        case StepKind::act:
            if (isAcceptor(a.who) || still() || !mayAct(a.who)) return false;
            return beginAct(a.who, holder(a.who).fence(kLease), false);
        case StepKind::stopped:
            if (isAcceptor(a.who) || still() || !mayAct(a.who) || !spend(options_.stops)) return false;
            still() = holder(a.who).enterCriticalSection(localOf(a.who), kLease, kActLasts);
            return true;
        case StepKind::goesOn: {
            if (isAcceptor(a.who) || !still()) return false;
            const Fence fence = still()->fence;
            still().reset();
            beginAct(a.who, fence, true);
            reconcile(a.who, true);
            return true;
        }
        case StepKind::letGo:
            if (!holds || still() || acts(a.who) || !spend(options_.letGos)) return false;
            holder(a.who).release(localOf(a.who), kLease);
            reconcile(a.who, true);
            holder(a.who).acquire(localOf(a.who), kLease, 2);
            return true;
        case StepKind::handOn:
            if (!holds || still() || acts(a.who) || options_.holders < 2 || !spend(options_.letGos))
                return false;
            holder(a.who).transfer(
                localOf(a.who), kLease,
                static_cast<lease::MemberId>((a.who - acceptors() + 1) % options_.holders + 1));
            reconcile(a.who, true);
            return true;
    }
    return false;
}

// Everything that was sent comes, in time; then somebody has to hold, and act.
void LeaseModel::heal() {
    options_.ticks = tick_ + kRecoversWithin;
    options_.deviations = -1;
    for (int p = acceptors(); p < count(); ++p) apply({StepKind::goesOn, p});
    for (int i = 0; i < kRecoversWithin && broken_.empty(); ++i) {
        for (int v = 0; v < acceptors(); ++v)
            if (disk(v).ticket) sync(v);
        for (int n = 0; !messagesInFlight_.empty() && n < 400; ++n) {
            const Message m = messagesInFlight_.front();
            messagesInFlight_.erase(messagesInFlight_.begin());
            hand(m, true);
        }
        for (int p = acceptors(); p < count(); ++p)
            if (mayAct(p)) beginAct(p, holder(p).fence(kLease), false);
        if (somebodyHolds() && !activeSections_.empty()) return;
        apply({StepKind::tick});
    }
    if (broken_.empty())
        broken_ = fmt::format("nobody holds within {} ticks after all faults are over", kRecoversWithin);
}

std::string LeaseModel::image() const {
    std::string text = fmt::format("{};{};{},{},{},{},{},{};{};", tick_ >= options_.ticks,
                                   options_.deviations, options_.forgets, options_.crashes, options_.doubles,
                                   options_.stops, options_.letGos, options_.slowSyncs, seen_);
    for (int p = 0; p < count(); ++p) {
        const Nanos local = localOf(p);
        if (isAcceptor(p)) {
            const Disk& d = disks_[static_cast<std::size_t>(p)];
            text += acceptors_[static_cast<std::size_t>(p)]->image(local);
            text += fmt::format("d{}", d.voted);
            for (const auto& [lease, r] : d.records) text += fmt::format("{}{};", r.highest, r.isReleased);
            for (const auto& [lease, r] : d.pending) text += fmt::format("p{}{};", r.highest, r.isReleased);
        } else {
            text += holder(p).image(local);
            const auto& still = stopped_[static_cast<std::size_t>(p - acceptors())];
            if (still) text += fmt::format("s{};", still->fence);
        }
    }
    for (const ActiveSection& a : activeSections_)
        if (a.until > now_) text += fmt::format("x{},{},{};", a.holder, a.fence, a.until - now_);
    // On their way, in whatever order they were sent.
    std::vector<std::string> flight;
    for (const Message& m : messagesInFlight_) {
        std::string one =
            fmt::format("{}>{}:{}:{}:", m.from, m.to, m.body.index(), (now_ - m.sentAt) / kTick);
        if (const auto* ask = std::get_if<LeaseRequest>(&m.body))
            one += fmt::format("{},{}.{},{},{}", static_cast<int>(ask->kind), ask->fence, ask->incarnation,
                               ask->stamp ? localOf(m.from) - ask->stamp : 0, ask->to);
        if (const auto* a = std::get_if<LeaseAnswer>(&m.body))
            one += fmt::format("{}.{},{},{},{}", a->fence, a->incarnation, localOf(m.to) - a->stamp,
                               a->granted, a->highest);
        if (const auto* r = std::get_if<RecallAnswer>(&m.body)) {
            one += r->hasState ? "y" : "n";
            for (const auto& [lease, record] : r->records) one += fmt::format("{},", record.highest);
        }
        flight.push_back(std::move(one));
    }
    // In a fair order the oldest comes first: there the order is of the state.
    if (options_.deviations < 0) std::sort(flight.begin(), flight.end());
    for (const auto& one : flight) text += one + "|";
    return text;
}

std::string LeaseModel::describe(const Step& a) const {
    const auto name = [this](int p) {
        return isAcceptor(p) ? fmt::format("v{}", p) : fmt::format("h{}", p - acceptors() + 1);
    };
    static constexpr const char* kinds[] = {"ask", "answer", "recall", "recalled", "offer"};
    const auto message = [&] {
        const std::string which = a.nth > 0 ? fmt::format(" (number {} of them)", a.nth + 1) : "";
        return fmt::format("{}'s {} comes to {}{}", name(a.from), kinds[a.kind], name(a.who), which);
    };
    switch (a.what) {
        case StepKind::tick:
            return "time goes on";
        case StepKind::lose:
            return fmt::format("{}'s {} to {} is lost", name(a.from), kinds[a.kind], name(a.who));
        case StepKind::hold:
            return fmt::format("{}'s {} to {} is held back", name(a.from), kinds[a.kind], name(a.who));
        case StepKind::deliver:
            return message();
        case StepKind::twice:
            return message() + ", and will come once more";
        case StepKind::syncLater:
            return message() + ", and its disk is slow";
        case StepKind::synced:
            return name(a.who) + "'s disk has what it was given";
        case StepKind::crash:
            return name(a.who) + " crashes and starts with its disk";
        case StepKind::forget:
            return name(a.who) + " loses its disk and starts empty";
        case StepKind::holderCrash:
            return name(a.who) + " crashes and starts";
        case StepKind::act:
            return name(a.who) + " acts";
        case StepKind::stopped:
            return name(a.who) + " is told that it may act, and is stopped";
        case StepKind::goesOn:
            return name(a.who) + " goes on with its act";
        case StepKind::letGo:
            return name(a.who) + " lets go";
        case StepKind::handOn:
            return name(a.who) + " hands on to the next";
    }
    return "";
}

}  // namespace poppyscale::testbed
