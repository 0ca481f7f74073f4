#include "lease/lease_holder.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <random>

namespace poppyscale::lease {
namespace {

constexpr Nanos kNone = std::numeric_limits<Nanos>::min();

}  // namespace

LeaseHolder::LeaseHolder(const LeaseSettings& terms, MemberId self, std::uint32_t life)
    : settings_(terms), self_(self), incarnation_(life) {}

// Doubled with each try in vain; half of it to all, so that those who want the same don't meet again.
Nanos LeaseHolder::pause(LeaseState& one) {
    const Nanos whole = std::min(settings_.maxBackoff, settings_.minBackoff << std::min(one.attempts++, 16));
    std::mt19937 chance(incarnation_ * 7919U + draws_++);
    return whole / 2 +
           static_cast<Nanos>(std::generate_canonical<double, 32>(chance) * static_cast<double>(whole / 2));
}

void LeaseHolder::acquire(Nanos now, LeaseId lease, int rank) {
    LeaseState& one = all_[lease];
    if (std::exchange(one.wanted, true) || one.state != State::idle) return;
    one.state = State::backingOff;
    one.attempts = 0;
    one.at = now + rank * settings_.answerTimeout;
}

void LeaseHolder::onTransferOffered(Nanos now, LeaseId lease) {
    const auto it = all_.find(lease);
    if (it == all_.end() || it->second.state != State::backingOff) return;
    it->second.at = now;
    it->second.attempts = 0;
}

void LeaseHolder::tell(LeaseId lease, const LeaseState& one, LeaseRequest::Kind kind, MemberId to) {
    for (int v = 0; v < settings_.voters; ++v)
        wanted_.requests.emplace_back(v, LeaseRequest{kind, lease, one.fence, incarnation_, 0, to});
}

void LeaseHolder::release(Nanos now, LeaseId lease) {
    const auto it = all_.find(lease);
    if (it == all_.end()) return;
    LeaseState& one = it->second;
    one.wanted = false;
    if (one.state == State::requesting || one.state == State::holding) giveUp(now, lease, one);
    one.state = State::idle;
}

void LeaseHolder::transfer(Nanos now, LeaseId lease, MemberId to) {
    const auto it = all_.find(lease);
    if (it == all_.end() || it->second.state != State::holding) return;
    LeaseState& one = it->second;
    tell(lease, one, LeaseRequest::Kind::transfer, to);
    wanted_.offers.emplace_back(to, lease);
    one.until = 0;
    one.state = one.wanted ? State::backingOff : State::idle;
    one.at = now + settings_.maxBackoff;
}

// By that fence nothing is done any more, and whoever granted to it may grant to others.
void LeaseHolder::giveUp(Nanos now, LeaseId lease, LeaseState& one) {
    tell(lease, one, LeaseRequest::Kind::release);
    one.until = 0;
    one.state = State::backingOff;
    one.at = now + pause(one);
    // Where a majority says that it is another's there is no sense in asking before the first of them is
    // free; who lets go sooner is told of by a voter.
    const auto nth = static_cast<std::size_t>(std::max(settings_.majority(), 1)) - 1;
    if (one.freeIn.size() > nth) {
        std::nth_element(one.freeIn.begin(), one.freeIn.begin() + static_cast<std::ptrdiff_t>(nth),
                         one.freeIn.end());
        one.at += one.freeIn[nth];
    }
}

void LeaseHolder::ask(Nanos now, LeaseId lease, LeaseState& one) {
    for (int v = 0; v < settings_.voters; ++v)
        wanted_.requests.emplace_back(
            v, LeaseRequest{LeaseRequest::Kind::acquire, lease, one.fence, incarnation_, now, 0});
}

Nanos LeaseHolder::heldUntil(const LeaseState& one) const {
    std::vector<Nanos> stamps = one.stamps;
    const auto nth = static_cast<std::size_t>(std::max(settings_.majority(), 1)) - 1;
    std::nth_element(stamps.begin(), stamps.begin() + static_cast<std::ptrdiff_t>(nth), stamps.end(),
                     std::greater<>());
    return stamps[nth] == kNone ? kNone : stamps[nth] + settings_.held();
}

void LeaseHolder::onAnswer(Nanos now, int voter, const LeaseAnswer& a) {
    const auto it = all_.find(a.lease);
    if (it == all_.end() || voter < 0 || voter >= settings_.voters) return;
    LeaseState& one = it->second;
    one.highest = std::max(one.highest, a.highest);
    if (a.fence == 0) {
        // Unasked: it is free. Not all who hear that ask at once.
        if (one.state != State::backingOff) return;
        one.attempts = 0;
        one.at = std::min(one.at, now + pause(one));
        return;
    }
    const bool asks = one.state == State::requesting || one.state == State::holding;
    if (!asks || a.fence != one.fence || a.incarnation != incarnation_ || a.stamp > now) return;
    if (!a.granted) {
        if (one.state != State::requesting) return;
        one.freeIn.push_back(a.freeIn);
        // So many said no that it can't be had any more.
        if (std::ssize(one.freeIn) > settings_.voters - settings_.majority()) one.at = now;
        return;
    }
    Nanos& stamp = one.stamps.at(static_cast<std::size_t>(voter));
    stamp = std::max(stamp, settings_.has(Safeguard::sentTime) ? a.stamp : now);
    one.until = std::max<Nanos>(heldUntil(one), 0);  // 0: no majority yet
    if (one.state != State::requesting || one.until <= now) return;
    one.state = State::holding;
    one.attempts = 0;
    one.at = now + settings_.renewInterval;
    ++taken_;
}

std::optional<CriticalSection> LeaseHolder::enterCriticalSection(Nanos now, LeaseId lease,
                                                                 Nanos lasts) const {
    const auto it = all_.find(lease);
    if (it == all_.end() || it->second.state != State::holding) return std::nullopt;
    const LeaseState& one = it->second;
    // So long of true time is longer on a clock that runs fast.
    const Nanos needs =
        static_cast<Nanos>(static_cast<double>(lasts) * (1 + settings_.rate)) + settings_.margin;
    const bool may = settings_.has(Safeguard::margin) ? now + needs <= one.until : now < one.until;
    if (!may) return std::nullopt;
    return CriticalSection{one.fence, one.until - settings_.margin};
}

LeaseHolder::Actions LeaseHolder::reconcile(Nanos now) {
    // Renewals that would come soon go along with one that is due: a message is a pair of routers' and not a
    // lease's.
    const bool renews = std::any_of(all_.begin(), all_.end(), [now](const auto& one) {
        return one.second.state == State::holding && now >= one.second.at;
    });
    const Nanos early = renews ? settings_.renewInterval / 4 : 0;
    for (auto& [lease, one] : all_) {
        if (one.state == State::holding && now >= one.until)
            giveUp(now, lease, one);  // lost, as it was not renewed
        if (now < one.at - (one.state == State::holding ? early : 0)) continue;
        if (one.state == State::requesting) {
            giveUp(now, lease, one);
        } else if (one.state == State::backingOff) {
            one.state = State::requesting;
            one.fence =
                fenceAfter(settings_.has(Safeguard::fence) ? std::max(one.highest, one.fence) : 0, self_);
            one.stamps.assign(static_cast<std::size_t>(settings_.voters), kNone);
            one.freeIn.clear();
            one.at = now + settings_.answerTimeout;
            ask(now, lease, one);
        } else if (one.state == State::holding) {
            one.at = now + settings_.renewInterval;
            ask(now, lease, one);
        }
    }
    return std::exchange(wanted_, {});
}

Nanos LeaseHolder::nextDeadline() const {
    Nanos soonest = kNever;
    for (const auto& [lease, one] : all_) {
        if (one.state == State::idle) continue;
        soonest = std::min(soonest, one.at);
        if (one.state == State::holding) soonest = std::min(soonest, one.until);
    }
    return soonest;
}

LeaseHolder::State LeaseHolder::state(LeaseId lease) const {
    const auto it = all_.find(lease);
    return it == all_.end() ? State::idle : it->second.state;
}

bool LeaseHolder::isHolding(Nanos now, LeaseId lease) const {
    const auto it = all_.find(lease);
    return it != all_.end() && it->second.state == State::holding && now < it->second.until;
}

Fence LeaseHolder::fence(LeaseId lease) const {
    const auto it = all_.find(lease);
    return it == all_.end() ? 0 : it->second.fence;
}

std::string LeaseHolder::image(Nanos now) const {
    std::string text = fmt::format("H{}.{};", self_, incarnation_);
    for (const auto& [lease, one] : all_) {
        text +=
            fmt::format("{}:{}f{}h{}t{}a{}u{}w{}", lease, static_cast<int>(one.state), one.fence, one.highest,
                        one.attempts, one.at - now, std::max<Nanos>(one.until - now, 0), one.wanted);
        for (const Nanos s : one.stamps) text += fmt::format(",{}", s == kNone ? -1 : now - s);
        for (const Nanos f : one.freeIn) text += fmt::format("/{}", f);
        text += ';';
    }
    return text;
}

}  // namespace poppyscale::lease
