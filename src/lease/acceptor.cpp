#include "lease/acceptor.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace poppyscale::lease {
namespace {

constexpr std::size_t kMaxWaiting = 16;  // members per lease; others retry after their backoff
// A reservation lasts a grant's duration divided by this.
constexpr int kReservedDurationDivisor = 4;

// Whether the request is from the member that was granted the lease last, with the same fencing
// token.
bool isLatestHolder(const LeaseRequest& request, const GrantRecord& record) {
    return request.fence == record.highest && request.incarnation == record.incarnation;
}

}  // namespace

Acceptor::Acceptor(const LeaseSettings& settings, int self, Nanos now,
                   const std::optional<GrantRecords>& records)
    : settings_(settings), self_(self), state_(records ? State::voting : State::recovering) {
    if (!records) {
        // Grants that this acceptor may have made before expire no later than a grant made now
        // would.
        quarantinedUntil_ = now + settings_.duration;
        nextRecallAt_ = now;
        if (!settings_.has(Safeguard::quarantine)) state_ = State::voting;
        return;
    }
    // The time of these grants is unknown, so they count as made just now.
    for (const auto& [lease, record] : *records)
        grants_[lease] = {record, record.isReleased ? 0 : now + settings_.duration, 0, 0, {}};
}

// ---- requests of holders

void Acceptor::onRequest(Nanos now, MemberId from, const LeaseRequest& request) {
    if (state_ == State::recovering) return;
    if (request.kind != LeaseRequest::Kind::acquire) {
        endGrant(now, from, request);
        return;
    }
    const std::uint64_t ticketBefore = lastTicket_;
    const LeaseAnswer answer = answerAcquire(now, from, request);
    // An answer that needs no write still waits for earlier writes: the answer to a renewal must
    // not be sent before the grant that it renews is durable.
    const bool isDurable = lastTicket_ == persistedTicket_ && ticketBefore == lastTicket_;
    if (isDurable)
        actions_.answers.push_back({from, answer});
    else
        pendingAnswers_.push_back({lastTicket_, from, answer});
}

LeaseAnswer Acceptor::answerAcquire(Nanos now, MemberId from, const LeaseRequest& request) {
    Grant& grant = grants_[request.lease];
    const GrantRecord recordBefore = grant.record;
    LeaseAnswer answer{
        request.lease, request.fence, request.incarnation, request.stamp, false, recordBefore.highest, 0};
    if (!mayGrant(now, from, request, grant, answer)) return answer;
    grant.record = {request.fence, request.incarnation, false};
    grant.validUntil = now + settings_.duration;
    grant.reservedFor = 0;
    grant.reservedUntil = 0;
    grant.waiting.erase(from);
    answer.granted = true;
    answer.highest = grant.record.highest;
    if (grant.record != recordBefore) persist(request.lease, grant.record);
    return answer;
}

// If the lease is held by or reserved for another member, sets in `answer` when it becomes free. A
// member that is rejected because another one holds the lease is added to those that wait for its
// release.
bool Acceptor::mayGrant(Nanos now, MemberId from, const LeaseRequest& request, Grant& grant,
                        LeaseAnswer& answer) {
    const GrantRecord& record = grant.record;
    if (memberOf(request.fence) != from) return false;
    const bool isHeld = !record.isReleased && now < grant.validUntil;
    const bool isRenewal = isLatestHolder(request, record) && !record.isReleased;
    if (isHeld && !isRenewal) {
        if (grant.waiting.size() < kMaxWaiting) grant.waiting.insert(from);
        answer.freeIn = grant.validUntil - now;
        return false;
    }
    if (!isHeld && now < grant.reservedUntil && grant.reservedFor != from) {
        answer.freeIn = grant.reservedUntil - now;
        return false;
    }
    // The latest holder may renew even an expired grant, as no other member was granted the lease
    // since.
    const bool isFenceGreater = request.fence > record.highest || !settings_.has(Safeguard::fence);
    return isRenewal || isFenceGreater;
}

// Handles a release or a transfer, also of a fencing token whose acquire request has not arrived
// here: if that request arrives later, it is rejected.
void Acceptor::endGrant(Nanos now, MemberId from, const LeaseRequest& request) {
    Grant& grant = grants_[request.lease];
    const GrantRecord recordBefore = grant.record;
    // A member whose request was rejected releases with a fencing token greater than the holder's,
    // which must not end the holder's grant.
    const bool isHeldByOther =
        !recordBefore.isReleased && now < grant.validUntil && !isLatestHolder(request, recordBefore);
    if (memberOf(request.fence) != from || request.fence < recordBefore.highest || isHeldByOther) return;
    grant.record = {request.fence, request.incarnation, true};
    grant.validUntil = 0;
    grant.reservedFor = request.kind == LeaseRequest::Kind::transfer ? request.to : MemberId{0};
    if (grant.reservedFor != 0) {
        grant.reservedUntil = now + settings_.duration / kReservedDurationDivisor;
    } else {
        grant.reservedUntil = 0;
        notifyWaiting(request.lease, grant, from);
    }
    if (grant.record != recordBefore) persist(request.lease, grant.record);
}

void Acceptor::notifyWaiting(LeaseId lease, Grant& grant, MemberId releasedBy) {
    const LeaseAnswer isFree{lease, 0, 0, 0, false, grant.record.highest, 0};
    for (const MemberId member : grant.waiting)
        if (member != releasedBy) actions_.answers.push_back({member, isFree});
    grant.waiting.clear();
}

// ---- durable records

void Acceptor::persist(LeaseId lease, const GrantRecord& record) {
    actions_.recordsToPersist[lease] = record;
    ++lastTicket_;
    actions_.ticket = lastTicket_;
}

void Acceptor::onPersisted(Nanos, std::uint64_t ticket) {
    persistedTicket_ = std::max(persistedTicket_, ticket);
    std::erase_if(pendingAnswers_, [this](const PendingAnswer& pending) {
        if (pending.ticket > persistedTicket_) return false;
        actions_.answers.push_back({pending.to, pending.answer});
        return true;
    });
}

// ---- recovery

void Acceptor::onRequest(Nanos, int acceptor, const RecallRequest&) {
    RecallAnswer answer;
    answer.hasState = state_ == State::voting;
    for (const auto& [lease, grant] : grants_) answer.records[lease] = grant.record;
    actions_.recallAnswers.push_back({acceptor, std::move(answer)});
}

void Acceptor::onRecallAnswer(Nanos now, int acceptor, const RecallAnswer& answer) {
    if (state_ == State::voting && settings_.has(Safeguard::quarantine)) return;
    hasStateBy_[acceptor] = answer.hasState;
    for (const auto& [lease, record] : answer.records) {
        Grant& grant = grants_[lease];
        // Only the greatest fencing token matters. It is unknown whether this acceptor granted the
        // lease with that token; the quarantine covers this case.
        if (record.highest > grant.record.highest) grant.record = {record.highest, record.incarnation, true};
    }
    finishRecovery(now);
}

// Votes again once every grant that this acceptor may have made has expired and it knows a fencing
// token at least as great as that of each of these grants. It knows one if enough others have state
// to intersect every majority that this acceptor may have been part of. It also votes again if all
// others have answered, with or without state: mayHaveLostState() then says whether a token may be
// missing.
void Acceptor::finishRecovery(Nanos now) {
    if (state_ != State::recovering || now < quarantinedUntil_) return;
    const auto withState =
        std::count_if(hasStateBy_.begin(), hasStateBy_.end(), [](const auto& entry) { return entry.second; });
    const bool enoughHaveState = withState >= settings_.acceptorCount / 2 + 1;
    const bool allAnswered = std::ssize(hasStateBy_) == settings_.acceptorCount - 1;
    if (!enoughHaveState && !allAnswered) return;
    state_ = State::voting;
    mayHaveLostState_ = !enoughHaveState && withState > 0;
    for (const auto& [lease, grant] : grants_) actions_.recordsToPersist[lease] = grant.record;
    ++lastTicket_;
    actions_.ticket = lastTicket_;
}

// ---- actions and state

Acceptor::Actions Acceptor::reconcile(Nanos now) {
    finishRecovery(now);
    if (state_ == State::recovering && now >= nextRecallAt_) {
        for (int acceptor = 0; acceptor < settings_.acceptorCount; ++acceptor)
            if (acceptor != self_ && !hasStateBy_.contains(acceptor))
                actions_.recalls.push_back({acceptor, RecallRequest{}});
        nextRecallAt_ = now + settings_.answerTimeout;
    }
    if (!settings_.has(Safeguard::sync)) {
        for (const PendingAnswer& pending : pendingAnswers_)
            actions_.answers.push_back({pending.to, pending.answer});
        pendingAnswers_.clear();
    }
    Actions due = std::move(actions_);
    actions_ = {};
    return due;
}

Nanos Acceptor::nextDeadline() const {
    if (state_ == State::voting) return kNever;
    return std::max(nextRecallAt_, Nanos{0});
}

std::map<LeaseId, Acceptor::ActiveGrant> Acceptor::activeGrants(Nanos now) const {
    std::map<LeaseId, ActiveGrant> held;
    for (const auto& [lease, grant] : grants_)
        if (!grant.record.isReleased && now < grant.validUntil)
            held[lease] = {grant.record.highest, grant.validUntil - now};
    return held;
}

std::string Acceptor::image(Nanos now) const {
    std::string text = fmt::format("V{}{}q{};", static_cast<int>(state_), mayHaveLostState_,
                                   std::max<Nanos>(quarantinedUntil_ - now, 0));
    for (const auto& [acceptor, hasState] : hasStateBy_) text += fmt::format("r{}{};", acceptor, hasState);
    for (const auto& [lease, grant] : grants_)
        text += fmt::format("{}:{}.{}{}u{}v{}w{}z{};", lease, grant.record.highest, grant.record.incarnation,
                            grant.record.isReleased ? "o" : "h", std::max<Nanos>(grant.validUntil - now, 0),
                            grant.reservedUntil > now ? grant.reservedFor : 0,
                            std::max<Nanos>(grant.reservedUntil - now, 0), grant.waiting);
    for (const PendingAnswer& pending : pendingAnswers_)
        text += fmt::format("a{},{},{},{};", pending.ticket - persistedTicket_, pending.to,
                            pending.answer.fence, pending.answer.granted);
    return text;
}

}  // namespace poppyscale::lease
