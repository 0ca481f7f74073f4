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

Voter::Voter(const Terms& terms, int self, Nanos now, const std::optional<Records>& memory)
    : terms_(terms), self_(self), state_(memory ? State::voting : State::forgetting) {
    if (!memory) {
        // What it may have granted before lasts no longer than a grant of now would.
        quarantinedUntil_ = now + terms_.length;
        recallAt_ = now;
        if (!terms_.has(Guard::quarantine)) state_ = State::voting;
        return;
    }
    // When it granted is not known any more: as if it had been just now.
    for (const auto& [lease, record] : *memory)
        grants_[lease] = {record, record.over ? 0 : now + terms_.length, 0, 0, {}};
}

void Voter::heard(Nanos now, MemberId from, const Ask& ask) {
    if (state_ == State::forgetting) return;  // no word: it neither grants nor knows who holds
    const std::uint64_t before = ticket_;
    Answer said = answer(now, from, ask);
    if (ask.kind != Ask::Kind::grant) return;
    // What an earlier change said is waited for as well: a renewal must not overtake the grant that it
    // renews.
    if (ticket_ == kept_ && before == ticket_)
        wanted_.answers.emplace_back(from, said);
    else
        waiting_.push_back({ticket_, from, said});
}

Answer Voter::answer(Nanos now, MemberId from, const Ask& ask) {
    Grant& g = grants_[ask.lease];
    Record& r = g.record;
    const Record was = r;
    Answer said{ask.lease, ask.fence, ask.life, ask.stamp, false, r.highest, 0};
    const auto keep = [&] {
        if (r == was) return;
        wanted_.keep[ask.lease] = r;
        wanted_.ticket = ++ticket_;
    };
    if (ask.kind != Ask::Kind::grant) {
        // Who asked in vain gives up by a fence over that of who holds: it is none of that one's.
        const bool anothers = !r.over && now < g.until && !(ask.fence == r.highest && ask.life == r.life);
        if (memberOf(ask.fence) != from || ask.fence < r.highest || anothers) return said;
        // Also of one that never came here: should it come yet, it is over.
        r = {ask.fence, ask.life, true};
        g.until = 0;
        g.reserved = ask.kind == Ask::Kind::handOn ? ask.to : 0;
        g.reservedUntil = g.reserved ? now + terms_.length / kReservedPart : 0;
        if (!g.reserved)
            for (const MemberId waits : std::exchange(g.waits, {}))
                if (waits != from)
                    wanted_.answers.emplace_back(waits, Answer{ask.lease, 0, 0, 0, false, r.highest, 0});
        keep();
        return said;
    }
    if (memberOf(ask.fence) != from) return said;
    const bool held = !r.over && now < g.until;
    const bool same = ask.fence == r.highest && ask.life == r.life && !r.over;
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
    if (!same && ask.fence <= r.highest && terms_.has(Guard::fence)) return said;
    r = {ask.fence, ask.life, false};
    g.until = now + terms_.length;
    g.reserved = 0;
    g.reservedUntil = 0;
    g.waits.erase(from);
    said.granted = true;
    said.highest = r.highest;
    keep();
    return said;
}

void Voter::heard(Nanos, int voter, const Recall&) {
    Recalled said;
    said.remembers = state_ == State::voting;
    for (const auto& [lease, g] : grants_) said.records[lease] = g.record;
    wanted_.recalled.emplace_back(voter, std::move(said));
}

void Voter::heard(Nanos now, int voter, const Recalled& said) {
    if (state_ == State::voting && terms_.has(Guard::quarantine)) return;
    recalledBy_[voter] = said.remembers;
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
void Voter::settleMemory(Nanos now) {
    if (state_ != State::forgetting || now < quarantinedUntil_) return;
    const auto remember =
        std::count_if(recalledBy_.begin(), recalledBy_.end(), [](const auto& one) { return one.second; });
    const bool enough = remember >= terms_.voters / 2 + 1;
    const bool all = std::ssize(recalledBy_) == terms_.voters - 1;
    if (!enough && !all) return;
    state_ = State::voting;
    mayHaveFallen_ = !enough && remember > 0;
    for (const auto& [lease, g] : grants_) wanted_.keep[lease] = g.record;
    wanted_.ticket = ++ticket_;
}

void Voter::kept(Nanos, std::uint64_t ticket) {
    kept_ = std::max(kept_, ticket);
    std::erase_if(waiting_, [this](const Waiting& w) {
        if (w.ticket > kept_) return false;
        wanted_.answers.emplace_back(w.to, w.answer);
        return true;
    });
}

Voter::Wanted Voter::settle(Nanos now) {
    settleMemory(now);
    if (state_ == State::forgetting && now >= recallAt_) {
        for (int v = 0; v < terms_.voters; ++v)
            if (v != self_ && !recalledBy_.contains(v)) wanted_.recalls.emplace_back(v, Recall{});
        recallAt_ = now + terms_.answerWithin;
    }
    if (!terms_.has(Guard::sync)) {
        for (const Waiting& w : waiting_) wanted_.answers.emplace_back(w.to, w.answer);
        waiting_.clear();
    }
    return std::exchange(wanted_, {});
}

Nanos Voter::next() const {
    if (state_ == State::voting) return std::numeric_limits<Nanos>::max();
    return std::max(recallAt_, Nanos{0});
}

std::map<LeaseId, Voter::Shown> Voter::shown(Nanos now) const {
    std::map<LeaseId, Shown> all;
    for (const auto& [lease, g] : grants_)
        if (!g.record.over && now < g.until) all[lease] = {g.record.highest, g.until - now};
    return all;
}

std::string Voter::image(Nanos now) const {
    std::string text = fmt::format("V{}{}q{};", static_cast<int>(state_), mayHaveFallen_,
                                   std::max<Nanos>(quarantinedUntil_ - now, 0));
    for (const auto& [v, remembers] : recalledBy_) text += fmt::format("r{}{};", v, remembers);
    for (const auto& [lease, g] : grants_)
        text += fmt::format("{}:{}.{}{}u{}v{}w{}z{};", lease, g.record.highest, g.record.life,
                            g.record.over ? "o" : "h", std::max<Nanos>(g.until - now, 0),
                            g.reservedUntil > now ? g.reserved : 0, std::max<Nanos>(g.reservedUntil - now, 0),
                            g.waits);
    for (const Waiting& w : waiting_)
        text += fmt::format("a{},{},{},{};", w.ticket - kept_, w.to, w.answer.fence, w.answer.granted);
    return text;
}

}  // namespace poppyscale::lease
