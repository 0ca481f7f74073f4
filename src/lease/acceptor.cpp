#include "lease/acceptor.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <limits>

namespace poppyscale::lease {
namespace {

constexpr std::size_t kMostWaiting = 16;  // of one lease; whoever is beyond asks again by itself
constexpr int kReservedPart = 4;          // of the length: for so long only a named successor may have it

}  // namespace

Acceptor::Acceptor(const LeaseSettings& terms, int self, Nanos now, const std::optional<GrantRecords>& memory)
    : settings_(terms), self_(self), state_(memory ? State::voting : State::recovering) {
    if (!memory) {
        // What it may have granted before lasts no longer than a grant of now would.
        quarantinedUntil_ = now + settings_.duration;
        recallAt_ = now;
        if (!settings_.has(Safeguard::quarantine)) state_ = State::voting;
        return;
    }
    // When it granted is not known any more: as if it had been just now.
    for (const auto& [lease, record] : *memory)
        grants_[lease] = {record, record.over ? 0 : now + settings_.duration, 0, 0, {}};
}

void Acceptor::onRequest(Nanos now, MemberId from, const LeaseRequest& ask) {
    if (state_ == State::recovering) return;  // no word: it neither grants nor knows who holds
    const std::uint64_t before = ticket_;
    LeaseAnswer said = answer(now, from, ask);
    if (ask.kind != LeaseRequest::Kind::acquire) return;
    // What an earlier change said is waited for as well: a renewal must not overtake the grant that it
    // renews.
    if (ticket_ == persistedTicket_ && before == ticket_)
        wanted_.answers.emplace_back(from, said);
    else
        waiting_.push_back({ticket_, from, said});
}

LeaseAnswer Acceptor::answer(Nanos now, MemberId from, const LeaseRequest& ask) {
    Grant& g = grants_[ask.lease];
    GrantRecord& r = g.record;
    const GrantRecord was = r;
    LeaseAnswer said{ask.lease, ask.fence, ask.incarnation, ask.stamp, false, r.highest, 0};
    const auto keep = [&] {
        if (r == was) return;
        wanted_.keep[ask.lease] = r;
        wanted_.ticket = ++ticket_;
    };
    if (ask.kind != LeaseRequest::Kind::acquire) {
        // Who asked in vain gives up by a fence over that of who holds: it is none of that one's.
        const bool anothers =
            !r.over && now < g.until && !(ask.fence == r.highest && ask.incarnation == r.life);
        if (memberOf(ask.fence) != from || ask.fence < r.highest || anothers) return said;
        // Also of one that never came here: should it come yet, it is over.
        r = {ask.fence, ask.incarnation, true};
        g.until = 0;
        g.reserved = ask.kind == LeaseRequest::Kind::transfer ? ask.to : 0;
        g.reservedUntil = g.reserved ? now + settings_.duration / kReservedPart : 0;
        if (!g.reserved)
            for (const MemberId waits : std::exchange(g.waits, {}))
                if (waits != from)
                    wanted_.answers.emplace_back(waits, LeaseAnswer{ask.lease, 0, 0, 0, false, r.highest, 0});
        keep();
        return said;
    }
    if (memberOf(ask.fence) != from) return said;
    const bool held = !r.over && now < g.until;
    const bool same = ask.fence == r.highest && ask.incarnation == r.life && !r.over;
    if (held && !same) {
        if (g.waits.size() < kMostWaiting) g.waits.insert(from);
        said.freeIn = g.until - now;
        return said;
    }
    if (!held && now < g.reservedUntil && g.reserved != from) {
        said.freeIn = g.reservedUntil - now;
        return said;
    }
    // Nobody was granted anything since, where it is the same again after its time.
    if (!same && ask.fence <= r.highest && settings_.has(Safeguard::fence)) return said;
    r = {ask.fence, ask.incarnation, false};
    g.until = now + settings_.duration;
    g.reserved = 0;
    g.reservedUntil = 0;
    g.waits.erase(from);
    said.granted = true;
    said.highest = r.highest;
    keep();
    return said;
}

void Acceptor::onRequest(Nanos, int voter, const RecallRequest&) {
    RecallAnswer said;
    said.hasState = state_ == State::voting;
    for (const auto& [lease, g] : grants_) said.records[lease] = g.record;
    wanted_.recalled.emplace_back(voter, std::move(said));
}

void Acceptor::onRequest(Nanos now, int voter, const RecallAnswer& said) {
    if (state_ == State::voting && settings_.has(Safeguard::quarantine)) return;
    recalledBy_[voter] = said.hasState;
    for (const auto& [lease, record] : said.records) {
        Grant& g = grants_[lease];
        // Only how high: whether it granted by that itself it does not know, and its quarantine covers that.
        if (record.highest > g.record.highest) g.record = {record.highest, record.life, true};
    }
    settleMemory(now);
}

// It votes again once all that it may have granted is over, and it knows a fence at least as high as each
// that it may have granted: of the others, so many that they meet every majority that it may have been part
// of; or all of them, where that is how it is.
void Acceptor::settleMemory(Nanos now) {
    if (state_ != State::recovering || now < quarantinedUntil_) return;
    const auto remember =
        std::count_if(recalledBy_.begin(), recalledBy_.end(), [](const auto& one) { return one.second; });
    const bool enough = remember >= settings_.voters / 2 + 1;
    const bool all = std::ssize(recalledBy_) == settings_.voters - 1;
    if (!enough && !all) return;
    state_ = State::voting;
    mayHaveLostState_ = !enough && remember > 0;
    for (const auto& [lease, g] : grants_) wanted_.keep[lease] = g.record;
    wanted_.ticket = ++ticket_;
}

void Acceptor::onPersisted(Nanos, std::uint64_t ticket) {
    persistedTicket_ = std::max(persistedTicket_, ticket);
    std::erase_if(waiting_, [this](const PendingAnswer& w) {
        if (w.ticket > persistedTicket_) return false;
        wanted_.answers.emplace_back(w.to, w.answer);
        return true;
    });
}

Acceptor::Actions Acceptor::reconcile(Nanos now) {
    settleMemory(now);
    if (state_ == State::recovering && now >= recallAt_) {
        for (int v = 0; v < settings_.voters; ++v)
            if (v != self_ && !recalledBy_.contains(v)) wanted_.recalls.emplace_back(v, RecallRequest{});
        recallAt_ = now + settings_.answerTimeout;
    }
    if (!settings_.has(Safeguard::sync)) {
        for (const PendingAnswer& w : waiting_) wanted_.answers.emplace_back(w.to, w.answer);
        waiting_.clear();
    }
    return std::exchange(wanted_, {});
}

Nanos Acceptor::nextDeadline() const {
    if (state_ == State::voting) return std::numeric_limits<Nanos>::max();
    return std::max(recallAt_, Nanos{0});
}

std::map<LeaseId, Acceptor::GrantStatus> Acceptor::grantStatus(Nanos now) const {
    std::map<LeaseId, GrantStatus> all;
    for (const auto& [lease, g] : grants_)
        if (!g.record.over && now < g.until) all[lease] = {g.record.highest, g.until - now};
    return all;
}

std::string Acceptor::image(Nanos now) const {
    std::string text = fmt::format("V{}{}q{};", static_cast<int>(state_), mayHaveLostState_,
                                   std::max<Nanos>(quarantinedUntil_ - now, 0));
    for (const auto& [v, remembers] : recalledBy_) text += fmt::format("r{}{};", v, remembers);
    for (const auto& [lease, g] : grants_)
        text += fmt::format("{}:{}.{}{}u{}v{}w{}z{};", lease, g.record.highest, g.record.life,
                            g.record.over ? "o" : "h", std::max<Nanos>(g.until - now, 0),
                            g.reservedUntil > now ? g.reserved : 0, std::max<Nanos>(g.reservedUntil - now, 0),
                            g.waits);
    for (const PendingAnswer& w : waiting_)
        text +=
            fmt::format("a{},{},{},{};", w.ticket - persistedTicket_, w.to, w.answer.fence, w.answer.granted);
    return text;
}

}  // namespace poppyscale::lease
