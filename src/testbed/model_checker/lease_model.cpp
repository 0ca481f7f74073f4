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

LeaseModel::LeaseModel(const LeaseModelOptions& wanted) : wanted_(wanted), settings_(termsOf(wanted)) {
    voters_.resize(static_cast<std::size_t>(settings_.acceptorCount));
    disks_.resize(voters_.size());
    for (Disk& d : disks_) d.voted = true;  // a group that has been founded
    for (int v = 0; v < voters(); ++v) startVoter(v);
    for (int h = 0; h < wanted_.holders; ++h) {
        holders_.emplace_back(settings_, static_cast<lease::MemberId>(h + 1), 1);
        stopped_.emplace_back();
        holders_.back().acquire(localOf(voters() + h), kLease);
        settle(voters() + h, true);
    }
}

// At both ends of what the terms allow, and each from a zero of its own.
Nanos LeaseModel::localOf(int process) const {
    const bool fast = wanted_.clocks >> process & 1U;
    return 1'000'000 * (process + 1) + now_ * (fast ? 5 : 3) / 4;
}

void LeaseModel::startVoter(int v) {
    const Disk& d = disk(v);
    voters_[static_cast<std::size_t>(v)].emplace(
        settings_, v, localOf(v), d.voted ? std::optional<lease::GrantRecords>(d.records) : std::nullopt);
    settle(v, true);
}

void LeaseModel::startHolder(int process) {
    holder(process) =
        lease::LeaseHolder(settings_, static_cast<lease::MemberId>(process - voters() + 1), ++lives_);
    stopped_[static_cast<std::size_t>(process - voters())].reset();
    holder(process).acquire(localOf(process), kLease);
    settle(process, true);
}

void LeaseModel::send(int from, int to, Body body) {
    if (flight_.size() >= kMostInFlight) flight_.erase(flight_.begin());
    flight_.push_back({from, to, std::move(body), now_});
}

void LeaseModel::settle(int process, bool syncs) {
    const Nanos local = localOf(process);
    if (!isVoter(process)) {
        const auto wanted = holder(process).reconcile(local);
        for (const auto& [v, ask] : wanted.requests) send(process, v, ask);
        for (const auto& [to, lease] : wanted.offers) send(process, voters() + to - 1, lease);
        return;
    }
    for (bool more = true; more;) {
        auto wanted = voter(process).reconcile(local);
        for (auto& [to, answer] : wanted.answers) send(process, voters() + to - 1, answer);
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
        voter(process).onPersisted(local, std::exchange(d.ticket, 0));
        more = true;
    }
}

void LeaseModel::sync(int v) {
    Disk& d = disk(v);
    d.voted = true;
    for (const auto& [lease, record] : d.pending) d.records[lease] = record;
    d.pending.clear();
    voter(v).onPersisted(localOf(v), std::exchange(d.ticket, 0));
    settle(v, true);
}

void LeaseModel::hand(const Message& m, bool syncs) {
    const Nanos local = localOf(m.to);
    if (isVoter(m.to)) {
        auto& v = voter(m.to);
        if (const auto* ask = std::get_if<LeaseRequest>(&m.body))
            v.onRequest(local, static_cast<lease::MemberId>(m.from - voters() + 1), *ask);
        if (std::holds_alternative<RecallRequest>(m.body)) v.onRequest(local, m.from, RecallRequest{});
        if (const auto* said = std::get_if<RecallAnswer>(&m.body)) v.onRequest(local, m.from, *said);
    } else {
        if (const auto* answer = std::get_if<LeaseAnswer>(&m.body))
            holder(m.to).onAnswer(local, m.from, *answer);
        if (const auto* offered = std::get_if<LeaseId>(&m.body))
            holder(m.to).onTransferOffered(local, *offered);
    }
    settle(m.to, syncs);
}

bool LeaseModel::mayAct(int process) const {
    return holder(process).enterCriticalSection(localOf(process), kLease, kActLasts).has_value();
}

bool LeaseModel::acts(int process) const {
    return std::any_of(acting_.begin(), acting_.end(),
                       [&](const Acting& a) { return a.holder == process - voters() + 1 && a.until > now_; });
}

bool LeaseModel::somebodyHolds() const {
    for (int p = voters(); p < count(); ++p)
        if (holder(p).isHolding(localOf(p), kLease)) return true;
    return false;
}

// What a receiver sees of it, and what is so in true time.
bool LeaseModel::beginAct(int process, Fence fence, bool late) {
    std::erase_if(acting_, [this](const Acting& a) { return a.until <= now_; });
    // One that was stopped is too late as soon as another one has acted: that is what the fence is for.
    if (late && fence < seen_) return true;
    for (const Acting& a : acting_)
        if (a.holder != process - voters() + 1 && !late)
            broken_ = fmt::format("two act at once: h{} by {} and h{} by {}", a.holder,
                                  a.fence >> lease::kMemberBits, process - voters() + 1,
                                  fence >> lease::kMemberBits);
    if (fence < seen_)
        broken_ = fmt::format("the fence fell: h{} acts by {} after {}", process - voters() + 1,
                              fence >> lease::kMemberBits, seen_ >> lease::kMemberBits);
    seen_ = std::max(seen_, fence);
    if (!late) acting_.push_back({process - voters() + 1, fence, now_ + kActLasts});
    if (std::exchange(lastActor_, process) != process) ++changes_;
    return true;
}

LeaseModel::Action LeaseModel::actionOf(std::size_t message, What what) const {
    const Message& m = flight_[message];
    Action a{what, m.to, m.from, kindOf(m.body), 0};
    for (std::size_t i = 0; i < message; ++i)
        a.nth += flight_[i].to == m.to && flight_[i].from == m.from && kindOf(flight_[i].body) == a.kind;
    return a;
}

std::optional<std::size_t> LeaseModel::find(const Action& a) const {
    int nth = a.nth;
    for (std::size_t i = 0; i < flight_.size(); ++i)
        if (flight_[i].to == a.who && flight_[i].from == a.from && kindOf(flight_[i].body) == a.kind &&
            nth-- == 0)
            return i;
    return std::nullopt;
}

LeaseModel::Action LeaseModel::usual() const {
    for (int v = 0; v < voters(); ++v)
        if (disks_[static_cast<std::size_t>(v)].ticket) return {What::synced, v};
    for (int p = voters(); p < count(); ++p)
        if (!stopped_[static_cast<std::size_t>(p - voters())] && !acts(p) && mayAct(p)) return {What::act, p};
    for (std::size_t i = 0; i < flight_.size(); ++i) {
        const int to = flight_[i].to;
        const bool still = !isVoter(to) && stopped_[static_cast<std::size_t>(to - voters())];
        if (!flight_[i].held && !still) return actionOf(i, What::deliver);
    }
    return {What::tick};
}

std::vector<LeaseModel::Action> LeaseModel::actions() const {
    if (wanted_.deviations < 0) return possible();
    if (tick_ >= wanted_.ticks) return {};
    const Action next = usual();
    std::vector<Action> all{next};
    if (wanted_.deviations == 0) return all;
    for (Action& a : possible())
        if (!(a == next)) all.push_back(a);
    for (std::size_t i = 0; i < flight_.size(); ++i)
        if (!flight_[i].held) {
            all.push_back(actionOf(i, What::lose));
            all.push_back(actionOf(i, What::hold));
        }
    return all;
}

bool LeaseModel::apply(const Action& action) {
    if (wanted_.deviations < 0) return play(action);
    const bool deviates = !(action == usual());
    if (deviates && wanted_.deviations == 0) return false;
    if (!play(action)) return false;
    wanted_.deviations -= deviates;
    return true;
}

std::vector<LeaseModel::Action> LeaseModel::possible() const {
    std::vector<Action> all;
    if (tick_ < wanted_.ticks) all.push_back({What::tick});
    for (std::size_t i = 0; i < flight_.size(); ++i) {
        all.push_back(actionOf(i, What::deliver));
        if (wanted_.doubles > 0) all.push_back(actionOf(i, What::twice));
        if (wanted_.slowSyncs > 0 && isVoter(flight_[i].to) &&
            std::holds_alternative<LeaseRequest>(flight_[i].body))
            all.push_back(actionOf(i, What::syncLater));
    }
    for (int v = 0; v < voters(); ++v) {
        if (disks_[static_cast<std::size_t>(v)].ticket) all.push_back({What::synced, v});
        if (wanted_.crashes > 0) all.push_back({What::crash, v});
        if (wanted_.forgets > 0) all.push_back({What::forget, v});
    }
    for (int p = voters(); p < count(); ++p) {
        const bool still = stopped_[static_cast<std::size_t>(p - voters())].has_value();
        if (still) {
            all.push_back({What::goesOn, p});
            continue;
        }
        if (wanted_.crashes > 0) all.push_back({What::holderCrash, p});
        if (mayAct(p)) {
            all.push_back({What::act, p});
            if (wanted_.stops > 0) all.push_back({What::stopped, p});
        }
        if (wanted_.letGos > 0 && holder(p).isHolding(localOf(p), kLease) && !acts(p)) {
            all.push_back({What::letGo, p});
            all.push_back({What::handOn, p});
        }
    }
    return all;
}

// Time, messages and acts in most steps; what fails in one of a dozen.
LeaseModel::Action LeaseModel::drawn(std::mt19937& chance) const {
    const auto all = actions();
    const auto weight = [](const Action& a) {
        switch (a.what) {
            case What::tick:
                return 3.0;
            case What::deliver:
                return 2.0;
            case What::act:
                return 3.0;
            case What::synced:
            case What::goesOn:
                return 1.0;
            default:
                return 0.25;
        }
    };
    std::vector<double> weights;
    for (const Action& a : all) weights.push_back(weight(a));
    return all[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(chance)];
}

bool LeaseModel::play(const Action& a) {
    const auto spend = [](int& of) { return of > 0 && of-- > 0; };
    const bool holds = !isVoter(a.who) && holder(a.who).isHolding(localOf(a.who), kLease);
    const auto still = [&]() -> std::optional<lease::CriticalSection>& {
        return stopped_[static_cast<std::size_t>(a.who - voters())];
    };
    switch (a.what) {
        case What::tick:
            if (++tick_ > wanted_.ticks) return --tick_, false;
            now_ += kTick;
            std::erase_if(flight_,
                          [this](const Message& m) { return now_ - m.sentAt > kLongestOnTheWay * kTick; });
            for (int p = 0; p < count(); ++p)
                if (isVoter(p) || !stopped_[static_cast<std::size_t>(p - voters())])
                    settle(p, !isVoter(p) || disk(p).ticket == 0);
            return true;
        case What::deliver:
        case What::twice:
        case What::syncLater: {
            const auto i = find(a);
            if (!i) return false;
            if (!isVoter(a.who) && still()) return false;
            if (a.what == What::syncLater && (!isVoter(a.who) || !spend(wanted_.slowSyncs))) return false;
            if (a.what == What::twice && !spend(wanted_.doubles)) return false;
            const Message m = flight_[*i];
            if (a.what != What::twice) flight_.erase(flight_.begin() + static_cast<std::ptrdiff_t>(*i));
            // What waits for the disk holds up what comes after it.
            hand(m, a.what != What::syncLater && (!isVoter(m.to) || disk(m.to).ticket == 0));
            return true;
        }
        case What::lose:
        case What::hold: {
            const auto i = find(a);
            if (!i || flight_[*i].held) return false;
            if (a.what == What::lose)
                flight_.erase(flight_.begin() + static_cast<std::ptrdiff_t>(*i));
            else
                flight_[*i].held = true;
            return true;
        }
        case What::synced:
            if (!isVoter(a.who) || disk(a.who).ticket == 0) return false;
            return sync(a.who), true;
        case What::crash:
        case What::forget: {
            if (!isVoter(a.who)) return false;
            // One after the other: of a majority that forgets at once nothing is promised but the quarantine.
            if (a.what == What::forget)
                for (int v = 0; v < voters(); ++v)
                    if (voter(v).state() != lease::Acceptor::State::voting) return false;
            if (!spend(a.what == What::forget ? wanted_.forgets : wanted_.crashes)) return false;
            Disk& d = disk(a.who);
            d.pending.clear();
            d.ticket = 0;
            if (a.what == What::forget) d = Disk{};
            startVoter(a.who);
            return true;
        }
        case What::holderCrash:
            if (isVoter(a.who) || !spend(wanted_.crashes)) return false;
            return startHolder(a.who), true;
        case What::act:
            if (isVoter(a.who) || still() || !mayAct(a.who)) return false;
            return beginAct(a.who, holder(a.who).fence(kLease), false);
        case What::stopped:
            if (isVoter(a.who) || still() || !mayAct(a.who) || !spend(wanted_.stops)) return false;
            still() = holder(a.who).enterCriticalSection(localOf(a.who), kLease, kActLasts);
            return true;
        case What::goesOn: {
            if (isVoter(a.who) || !still()) return false;
            const Fence fence = still()->fence;
            still().reset();
            beginAct(a.who, fence, true);
            settle(a.who, true);
            return true;
        }
        case What::letGo:
            if (!holds || still() || acts(a.who) || !spend(wanted_.letGos)) return false;
            holder(a.who).release(localOf(a.who), kLease);
            settle(a.who, true);
            holder(a.who).acquire(localOf(a.who), kLease, 2);
            return true;
        case What::handOn:
            if (!holds || still() || acts(a.who) || wanted_.holders < 2 || !spend(wanted_.letGos))
                return false;
            holder(a.who).transfer(
                localOf(a.who), kLease,
                static_cast<lease::MemberId>((a.who - voters() + 1) % wanted_.holders + 1));
            settle(a.who, true);
            return true;
    }
    return false;
}

// Everything that was sent comes, in time; then somebody has to hold, and act.
void LeaseModel::heal() {
    wanted_.ticks = tick_ + kRecoversWithin;
    wanted_.deviations = -1;
    for (int p = voters(); p < count(); ++p) apply({What::goesOn, p});
    for (int i = 0; i < kRecoversWithin && broken_.empty(); ++i) {
        for (int v = 0; v < voters(); ++v)
            if (disk(v).ticket) sync(v);
        for (int n = 0; !flight_.empty() && n < 400; ++n) {
            const Message m = flight_.front();
            flight_.erase(flight_.begin());
            hand(m, true);
        }
        for (int p = voters(); p < count(); ++p)
            if (mayAct(p)) beginAct(p, holder(p).fence(kLease), false);
        if (somebodyHolds() && !acting_.empty()) return;
        apply({What::tick});
    }
    if (broken_.empty())
        broken_ = fmt::format("nobody holds within {} ticks after all faults are over", kRecoversWithin);
}

std::string LeaseModel::image() const {
    std::string text = fmt::format("{};{};{},{},{},{},{},{};{};", tick_ >= wanted_.ticks, wanted_.deviations,
                                   wanted_.forgets, wanted_.crashes, wanted_.doubles, wanted_.stops,
                                   wanted_.letGos, wanted_.slowSyncs, seen_);
    for (int p = 0; p < count(); ++p) {
        const Nanos local = localOf(p);
        if (isVoter(p)) {
            const Disk& d = disks_[static_cast<std::size_t>(p)];
            text += voters_[static_cast<std::size_t>(p)]->image(local);
            text += fmt::format("d{}", d.voted);
            for (const auto& [lease, r] : d.records) text += fmt::format("{}{};", r.highest, r.isReleased);
            for (const auto& [lease, r] : d.pending) text += fmt::format("p{}{};", r.highest, r.isReleased);
        } else {
            text += holder(p).image(local);
            const auto& still = stopped_[static_cast<std::size_t>(p - voters())];
            if (still) text += fmt::format("s{};", still->fence);
        }
    }
    for (const Acting& a : acting_)
        if (a.until > now_) text += fmt::format("x{},{},{};", a.holder, a.fence, a.until - now_);
    // On their way, in whatever order they were sent.
    std::vector<std::string> flight;
    for (const Message& m : flight_) {
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
    if (wanted_.deviations < 0) std::sort(flight.begin(), flight.end());
    for (const auto& one : flight) text += one + "|";
    return text;
}

std::string LeaseModel::told(const Action& a) const {
    const auto name = [this](int p) {
        return isVoter(p) ? fmt::format("v{}", p) : fmt::format("h{}", p - voters() + 1);
    };
    static constexpr const char* kinds[] = {"ask", "answer", "recall", "recalled", "offer"};
    const auto message = [&] {
        const std::string which = a.nth > 0 ? fmt::format(" (number {} of them)", a.nth + 1) : "";
        return fmt::format("{}'s {} comes to {}{}", name(a.from), kinds[a.kind], name(a.who), which);
    };
    switch (a.what) {
        case What::tick:
            return "time goes on";
        case What::lose:
            return fmt::format("{}'s {} to {} is lost", name(a.from), kinds[a.kind], name(a.who));
        case What::hold:
            return fmt::format("{}'s {} to {} is held back", name(a.from), kinds[a.kind], name(a.who));
        case What::deliver:
            return message();
        case What::twice:
            return message() + ", and will come once more";
        case What::syncLater:
            return message() + ", and its disk is slow";
        case What::synced:
            return name(a.who) + "'s disk has what it was given";
        case What::crash:
            return name(a.who) + " crashes and starts with its disk";
        case What::forget:
            return name(a.who) + " loses its disk and starts empty";
        case What::holderCrash:
            return name(a.who) + " crashes and starts";
        case What::act:
            return name(a.who) + " acts";
        case What::stopped:
            return name(a.who) + " is told that it may act, and is stopped";
        case What::goesOn:
            return name(a.who) + " goes on with its act";
        case What::letGo:
            return name(a.who) + " lets go";
        case What::handOn:
            return name(a.who) + " hands on to the next";
    }
    return "";
}

}  // namespace poppyscale::testbed
