#include "lease/lease_holder.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <random>

namespace poppyscale::lease {
namespace {

constexpr Nanos kNotGranted = std::numeric_limits<Nanos>::min();
constexpr int kMaxDoublings = 16;                    // the backoff is doubled at most this often
constexpr std::uint32_t kIncarnationFactor = 7919U;  // separates the random seeds of incarnations
// When one renewal is due, others that are due within the renewal interval divided by this are
// sent with it.
constexpr int kEarlyRenewalDivisor = 4;

}  // namespace

LeaseHolder::LeaseHolder(const LeaseSettings& settings, MemberId self, std::uint32_t incarnation)
    : settings_(settings), self_(self), incarnation_(incarnation) {}

// ---- what the member wants

void LeaseHolder::acquire(Nanos now, LeaseId lease, int rank) {
    LeaseState& state = leases_[lease];
    const bool wasWanted = state.isWanted;
    state.isWanted = true;
    if (wasWanted || state.state != State::idle) return;
    state.state = State::backingOff;
    state.failedAttempts = 0;
    state.nextStepAt = now + rank * settings_.answerTimeout;
}

void LeaseHolder::release(Nanos now, LeaseId lease) {
    const auto it = leases_.find(lease);
    if (it == leases_.end()) return;
    LeaseState& state = it->second;
    state.isWanted = false;
    if (state.state == State::requesting || state.state == State::holding)
        releaseAndBackOff(now, lease, state);
    state.state = State::idle;
}

void LeaseHolder::transfer(Nanos now, LeaseId lease, MemberId to) {
    const auto it = leases_.find(lease);
    if (it == leases_.end() || it->second.state != State::holding) return;
    LeaseState& state = it->second;
    sendToAll({LeaseRequest::Kind::transfer, lease, state.fence, incarnation_, 0, to});
    actions_.offers.push_back({to, lease});
    state.validUntil = 0;
    state.state = state.isWanted ? State::backingOff : State::idle;
    state.nextStepAt = now + settings_.maxBackoff;
}

void LeaseHolder::onTransferOffered(Nanos now, LeaseId lease) {
    const auto it = leases_.find(lease);
    if (it == leases_.end() || it->second.state != State::backingOff) return;
    it->second.nextStepAt = now;
    it->second.failedAttempts = 0;
}

std::optional<CriticalSection> LeaseHolder::enterCriticalSection(Nanos now, LeaseId lease,
                                                                 Nanos duration) const {
    const auto it = leases_.find(lease);
    if (it == leases_.end() || it->second.state != State::holding) return std::nullopt;
    const LeaseState& state = it->second;
    // On a clock that runs fast, the critical section takes longer.
    const Nanos needed =
        static_cast<Nanos>(static_cast<double>(duration) * (1 + settings_.rate)) + settings_.margin;
    const bool isLongEnough =
        settings_.has(Safeguard::margin) ? now + needed <= state.validUntil : now < state.validUntil;
    if (!isLongEnough) return std::nullopt;
    return CriticalSection{state.fence, state.validUntil - settings_.margin};
}

// ---- answers

void LeaseHolder::onAnswer(Nanos now, int acceptor, const LeaseAnswer& answer) {
    const auto it = leases_.find(answer.lease);
    if (it == leases_.end() || acceptor < 0 || acceptor >= settings_.acceptorCount) return;
    LeaseState& state = it->second;
    state.highest = std::max(state.highest, answer.highest);
    if (answer.fence == 0) {
        onReleaseNotified(now, state);
        return;
    }
    const bool expectsAnswer = state.state == State::requesting || state.state == State::holding;
    const bool isForThisRequest = answer.fence == state.fence && answer.incarnation == incarnation_;
    if (!expectsAnswer || !isForThisRequest || answer.stamp > now) return;
    if (answer.granted)
        onGranted(now, acceptor, state, answer);
    else
        onRejected(now, state, answer);
}

// The lease has become free. The next request is sent with jitter, as all waiting members are
// notified at the same time.
void LeaseHolder::onReleaseNotified(Nanos now, LeaseState& state) {
    if (state.state != State::backingOff) return;
    state.failedAttempts = 0;
    state.nextStepAt = std::min(state.nextStepAt, now + nextBackoff(state));
}

void LeaseHolder::onRejected(Nanos now, LeaseState& state, const LeaseAnswer& answer) {
    if (state.state != State::requesting) return;
    state.rejectionFreeIn.push_back(answer.freeIn);
    const bool isMajorityOutOfReach =
        std::ssize(state.rejectionFreeIn) > settings_.acceptorCount - settings_.majority();
    if (isMajorityOutOfReach) state.nextStepAt = now;
}

void LeaseHolder::onGranted(Nanos now, int acceptor, LeaseState& state, const LeaseAnswer& answer) {
    Nanos& sentTime = state.sentTimes.at(static_cast<std::size_t>(acceptor));
    sentTime = std::max(sentTime, settings_.has(Safeguard::sentTime) ? answer.stamp : now);
    state.validUntil = std::max<Nanos>(grantedUntil(state), 0);
    if (state.state != State::requesting || state.validUntil <= now) return;
    state.state = State::holding;
    state.failedAttempts = 0;
    state.nextStepAt = now + settings_.renewInterval;
    ++acquisitionCount_;
}

// ---- requests

void LeaseHolder::sendToAll(const LeaseRequest& request) {
    for (int acceptor = 0; acceptor < settings_.acceptorCount; ++acceptor)
        actions_.requests.push_back({acceptor, request});
}

void LeaseHolder::sendAcquire(Nanos now, LeaseId lease, const LeaseState& state) {
    sendToAll({LeaseRequest::Kind::acquire, lease, state.fence, incarnation_, now, 0});
}

void LeaseHolder::beginRequest(Nanos now, LeaseId lease, LeaseState& state) {
    state.state = State::requesting;
    const Fence highest = settings_.has(Safeguard::fence) ? std::max(state.highest, state.fence) : Fence{0};
    state.fence = fenceAfter(highest, self_);
    state.sentTimes.assign(static_cast<std::size_t>(settings_.acceptorCount), kNotGranted);
    state.rejectionFreeIn.clear();
    state.nextStepAt = now + settings_.answerTimeout;
    sendAcquire(now, lease, state);
}

// Releases the fencing token, so that acceptors that granted the lease with it may grant it to
// others, and backs off before the next request.
void LeaseHolder::releaseAndBackOff(Nanos now, LeaseId lease, LeaseState& state) {
    sendToAll({LeaseRequest::Kind::release, lease, state.fence, incarnation_, 0, 0});
    state.validUntil = 0;
    state.state = State::backingOff;
    state.nextStepAt = now + nextBackoff(state);
    // If a majority of acceptors rejected the request, also waits until the lease is free at as
    // many of them as make a majority: an acceptor notifies this member of an earlier release.
    const std::size_t index = majorityIndex();
    if (state.rejectionFreeIn.size() <= index) return;
    const auto nth = state.rejectionFreeIn.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(state.rejectionFreeIn.begin(), nth, state.rejectionFreeIn.end());
    state.nextStepAt += *nth;
}

// The backoff doubles with each failed attempt, up to maxBackoff, and has jitter so that competing
// members don't collide again. Each sample uses a new generator, which keeps copies of this object
// small.
Nanos LeaseHolder::nextBackoff(LeaseState& state) {
    const int doublings = std::min(state.failedAttempts, kMaxDoublings);
    ++state.failedAttempts;
    const Nanos backoff = std::min(settings_.maxBackoff, settings_.minBackoff << doublings);
    std::mt19937 random(incarnation_ * kIncarnationFactor + backoffCount_);
    ++backoffCount_;
    return backoff / 2 +
           static_cast<Nanos>(std::generate_canonical<double, 32>(random) * static_cast<double>(backoff / 2));
}

// ---- time

LeaseHolder::Actions LeaseHolder::reconcile(Nanos now) {
    // Renewals that are due soon are sent together with a renewal that is due now: one frame from
    // this process to an acceptor's process can carry the renewals of many leases.
    const bool isRenewalDue = std::any_of(leases_.begin(), leases_.end(), [now](const auto& entry) {
        return entry.second.state == State::holding && now >= entry.second.nextStepAt;
    });
    const Nanos renewEarlyBy = isRenewalDue ? settings_.renewInterval / kEarlyRenewalDivisor : 0;
    for (auto& [lease, state] : leases_) {
        const bool hasExpired = state.state == State::holding && now >= state.validUntil;
        if (hasExpired) releaseAndBackOff(now, lease, state);
        const Nanos earlyBy = state.state == State::holding ? renewEarlyBy : 0;
        if (now < state.nextStepAt - earlyBy) continue;
        switch (state.state) {
            case State::requesting:
                releaseAndBackOff(now, lease, state);
                break;
            case State::backingOff:
                beginRequest(now, lease, state);
                break;
            case State::holding:
                state.nextStepAt = now + settings_.renewInterval;
                sendAcquire(now, lease, state);
                break;
            case State::idle:
                break;
        }
    }
    Actions due = std::move(actions_);
    actions_ = {};
    return due;
}

Nanos LeaseHolder::nextDeadline() const {
    Nanos earliest = kNever;
    for (const auto& [lease, state] : leases_) {
        if (state.state == State::idle) continue;
        earliest = std::min(earliest, state.nextStepAt);
        if (state.state == State::holding) earliest = std::min(earliest, state.validUntil);
    }
    return earliest;
}

// When the grants of a majority expire, on this member's clock; kNotGranted if no majority has
// granted.
Nanos LeaseHolder::grantedUntil(const LeaseState& state) const {
    std::vector<Nanos> latestFirst = state.sentTimes;
    const auto nth = latestFirst.begin() + static_cast<std::ptrdiff_t>(majorityIndex());
    std::nth_element(latestFirst.begin(), nth, latestFirst.end(), std::greater<>());
    return *nth == kNotGranted ? kNotGranted : *nth + settings_.holdDuration();
}

// The index of the acceptor that completes a majority, in an ordered list of acceptors.
std::size_t LeaseHolder::majorityIndex() const {
    return static_cast<std::size_t>(std::max(settings_.majority(), 1)) - 1;
}

// ---- state

LeaseHolder::State LeaseHolder::state(LeaseId lease) const {
    const auto it = leases_.find(lease);
    return it == leases_.end() ? State::idle : it->second.state;
}

bool LeaseHolder::isHolding(Nanos now, LeaseId lease) const {
    const auto it = leases_.find(lease);
    return it != leases_.end() && it->second.state == State::holding && now < it->second.validUntil;
}

Fence LeaseHolder::fence(LeaseId lease) const {
    const auto it = leases_.find(lease);
    return it == leases_.end() ? 0 : it->second.fence;
}

std::string LeaseHolder::image(Nanos now) const {
    std::string text = fmt::format("H{}.{};", self_, incarnation_);
    for (const auto& [lease, state] : leases_) {
        text += fmt::format("{}:{}f{}h{}t{}a{}u{}w{}", lease, static_cast<int>(state.state), state.fence,
                            state.highest, state.failedAttempts, state.nextStepAt - now,
                            std::max<Nanos>(state.validUntil - now, 0), state.isWanted);
        for (const Nanos sentTime : state.sentTimes)
            text += fmt::format(",{}", sentTime == kNotGranted ? -1 : now - sentTime);
        for (const Nanos freeIn : state.rejectionFreeIn) text += fmt::format("/{}", freeIn);
        text += ';';
    }
    return text;
}

}  // namespace poppyscale::lease
