#include "lease/lease_holder.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <random>

namespace poppyscale::lease {
namespace {

constexpr Nanos kNone = std::numeric_limits<Nanos>::min();

}  // namespace

Holder::Holder(const Terms& terms, MemberId self, std::uint32_t life)
    : terms_(terms), self_(self), life_(life) {}

// Doubled with each try in vain; half of it to all, so that those who want the same don't meet again.
Nanos Holder::pause(One& one) {
    const Nanos whole = std::min(terms_.longestPause, terms_.leastPause << std::min(one.tries++, 16));
    std::mt19937 chance(life_ * 7919U + draws_++);
    return whole / 2 +
           static_cast<Nanos>(std::generate_canonical<double, 32>(chance) * static_cast<double>(whole / 2));
}

void Holder::want(Nanos now, LeaseId lease, int rank) {
    One& one = all_[lease];
    if (std::exchange(one.wanted, true) || one.state != State::idle) return;
    one.state = State::pausing;
    one.tries = 0;
    one.at = now + rank * terms_.answerWithin;
}

void Holder::offered(Nanos now, LeaseId lease) {
    const auto it = all_.find(lease);
    if (it == all_.end() || it->second.state != State::pausing) return;
    it->second.at = now;
    it->second.tries = 0;
}

void Holder::tell(LeaseId lease, const One& one, Ask::Kind kind, MemberId to) {
    for (int v = 0; v < terms_.voters; ++v)
        wanted_.asks.emplace_back(v, Ask{kind, lease, one.fence, life_, 0, to});
}

void Holder::letGo(Nanos now, LeaseId lease) {
    const auto it = all_.find(lease);
    if (it == all_.end()) return;
    One& one = it->second;
    one.wanted = false;
    if (one.state == State::asking || one.state == State::holding) giveUp(now, lease, one);
    one.state = State::idle;
}

void Holder::handOn(Nanos now, LeaseId lease, MemberId to) {
    const auto it = all_.find(lease);
    if (it == all_.end() || it->second.state != State::holding) return;
    One& one = it->second;
    tell(lease, one, Ask::Kind::handOn, to);
    wanted_.offers.emplace_back(to, lease);
    one.until = 0;
    one.state = one.wanted ? State::pausing : State::idle;
    one.at = now + terms_.longestPause;
}

// By that fence nothing is done any more, and whoever granted to it may grant to others.
void Holder::giveUp(Nanos now, LeaseId lease, One& one) {
    tell(lease, one, Ask::Kind::letGo);
    one.until = 0;
    one.state = State::pausing;
    one.at = now + pause(one);
    // Where a majority says that it is another's there is no sense in asking before the first of them is
    // free; who lets go sooner is told of by a voter.
    const auto nth = static_cast<std::size_t>(std::max(terms_.majority(), 1)) - 1;
    if (one.freeIn.size() > nth) {
        std::nth_element(one.freeIn.begin(), one.freeIn.begin() + static_cast<std::ptrdiff_t>(nth),
                         one.freeIn.end());
        one.at += one.freeIn[nth];
    }
}

void Holder::ask(Nanos now, LeaseId lease, One& one) {
    for (int v = 0; v < terms_.voters; ++v)
        wanted_.asks.emplace_back(v, Ask{Ask::Kind::grant, lease, one.fence, life_, now, 0});
}

Nanos Holder::heldUntil(const One& one) const {
    std::vector<Nanos> stamps = one.stamps;
    const auto nth = static_cast<std::size_t>(std::max(terms_.majority(), 1)) - 1;
    std::nth_element(stamps.begin(), stamps.begin() + static_cast<std::ptrdiff_t>(nth), stamps.end(),
                     std::greater<>());
    return stamps[nth] == kNone ? kNone : stamps[nth] + terms_.held();
}

void Holder::heard(Nanos now, int voter, const Answer& a) {
    const auto it = all_.find(a.lease);
    if (it == all_.end() || voter < 0 || voter >= terms_.voters) return;
    One& one = it->second;
    one.highest = std::max(one.highest, a.highest);
    if (a.fence == 0) {
        // Unasked: it is free. Not all who hear that ask at once.
        if (one.state != State::pausing) return;
        one.tries = 0;
        one.at = std::min(one.at, now + pause(one));
        return;
    }
    const bool asks = one.state == State::asking || one.state == State::holding;
    if (!asks || a.fence != one.fence || a.life != life_ || a.stamp > now) return;
    if (!a.granted) {
        if (one.state != State::asking) return;
        one.freeIn.push_back(a.freeIn);
        // So many said no that it can't be had any more.
        if (std::ssize(one.freeIn) > terms_.voters - terms_.majority()) one.at = now;
        return;
    }
    Nanos& stamp = one.stamps.at(static_cast<std::size_t>(voter));
    stamp = std::max(stamp, terms_.has(Guard::asked) ? a.stamp : now);
    one.until = std::max<Nanos>(heldUntil(one), 0);  // 0: no majority yet
    if (one.state != State::asking || one.until <= now) return;
    one.state = State::holding;
    one.tries = 0;
    one.at = now + terms_.renewEvery;
    ++taken_;
}

std::optional<Act> Holder::act(Nanos now, LeaseId lease, Nanos lasts) const {
    const auto it = all_.find(lease);
    if (it == all_.end() || it->second.state != State::holding) return std::nullopt;
    const One& one = it->second;
    // So long of true time is longer on a clock that runs fast.
    const Nanos needs = static_cast<Nanos>(static_cast<double>(lasts) * (1 + terms_.rate)) + terms_.margin;
    const bool may = terms_.has(Guard::margin) ? now + needs <= one.until : now < one.until;
    if (!may) return std::nullopt;
    return Act{one.fence, one.until - terms_.margin};
}

Holder::Wanted Holder::settle(Nanos now) {
    // Renewals that would come soon go along with one that is due: a message is a pair of routers' and not a
    // lease's.
    const bool renews = std::any_of(all_.begin(), all_.end(), [now](const auto& one) {
        return one.second.state == State::holding && now >= one.second.at;
    });
    const Nanos early = renews ? terms_.renewEvery / 4 : 0;
    for (auto& [lease, one] : all_) {
        if (one.state == State::holding && now >= one.until)
            giveUp(now, lease, one);  // lost, as it was not renewed
        if (now < one.at - (one.state == State::holding ? early : 0)) continue;
        if (one.state == State::asking) {
            giveUp(now, lease, one);
        } else if (one.state == State::pausing) {
            one.state = State::asking;
            one.fence = fenceAfter(terms_.has(Guard::fence) ? std::max(one.highest, one.fence) : 0, self_);
            one.stamps.assign(static_cast<std::size_t>(terms_.voters), kNone);
            one.freeIn.clear();
            one.at = now + terms_.answerWithin;
            ask(now, lease, one);
        } else if (one.state == State::holding) {
            one.at = now + terms_.renewEvery;
            ask(now, lease, one);
        }
    }
    return std::exchange(wanted_, {});
}

Nanos Holder::next() const {
    Nanos soonest = kNever;
    for (const auto& [lease, one] : all_) {
        if (one.state == State::idle) continue;
        soonest = std::min(soonest, one.at);
        if (one.state == State::holding) soonest = std::min(soonest, one.until);
    }
    return soonest;
}

Holder::State Holder::state(LeaseId lease) const {
    const auto it = all_.find(lease);
    return it == all_.end() ? State::idle : it->second.state;
}

bool Holder::holds(Nanos now, LeaseId lease) const {
    const auto it = all_.find(lease);
    return it != all_.end() && it->second.state == State::holding && now < it->second.until;
}

Fence Holder::fence(LeaseId lease) const {
    const auto it = all_.find(lease);
    return it == all_.end() ? 0 : it->second.fence;
}

std::string Holder::image(Nanos now) const {
    std::string text = fmt::format("H{}.{};", self_, life_);
    for (const auto& [lease, one] : all_) {
        text +=
            fmt::format("{}:{}f{}h{}t{}a{}u{}w{}", lease, static_cast<int>(one.state), one.fence, one.highest,
                        one.tries, one.at - now, std::max<Nanos>(one.until - now, 0), one.wanted);
        for (const Nanos s : one.stamps) text += fmt::format(",{}", s == kNone ? -1 : now - s);
        for (const Nanos f : one.freeIn) text += fmt::format("/{}", f);
        text += ';';
    }
    return text;
}

}  // namespace poppyscale::lease
