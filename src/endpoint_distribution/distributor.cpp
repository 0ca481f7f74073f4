#include "endpoint_distribution/distributor.hpp"

#include <algorithm>
#include <stdexcept>

namespace poppyscale::endpoint_distribution {
namespace {

const std::string kNoListBody = R"({"error":"there is no list yet"})";
const std::string kTooManyReadersBody = R"({"error":"there are too many readers"})";

std::int64_t milliseconds(Nanos duration) { return duration / kMillisecond; }

}  // namespace

const std::vector<std::pair<std::string_view, Safeguard>>& guards() {
    static const std::vector<std::pair<std::string_view, Safeguard>> all{
        {"version-guard", Safeguard::versionGuard}, {"older-list", Safeguard::olderList},
        {"tombstones", Safeguard::tombstones},      {"gaps", Safeguard::gaps},
        {"fail-over", Safeguard::failOver},         {"backoff-jitter", Safeguard::backoffJitter},
        {"batching", Safeguard::batching},          {"slow-reader-bound", Safeguard::slowReaderBound},
        {"patience", Safeguard::patience},          {"stale-upstream", Safeguard::staleUpstream},
        {"ahead-check", Safeguard::aheadCheck}};
    return all;
}

Safeguard guardNamed(std::string_view name) {
    std::string known;
    for (const auto& [guardName, guard] : guards()) {
        if (guardName == name) return guard;
        known.append(known.empty() ? "" : ", ").append(guardName);
    }
    throw std::runtime_error("'" + std::string(name) + "' is none of " + known);
}

Distributor::Distributor(const Options& options, DistributorHost& host, Nanos now)
    : options_(options),
      host_(host),
      list_(options.has(Safeguard::tombstones) ? options.maxTombstones : 0,
            {options.has(Safeguard::gaps), options.has(Safeguard::tombstones)}),
      random_(options.seed),
      upstreamDue_(now),
      heardAt_(now),
      toldOlder_(options.upstreams, false),
      toldBehind_(options.upstreams, false) {}

// ---- upstreams

void Distributor::superviseUpstream(Nanos now) {
    if (shuttingDown_ || now < upstreamDue_) return;
    if (upstreamState_ == UpstreamState::polling)
        onUpstreamFailed(now, Failure::unresponsive, "no answer in time");
    else
        pollUpstream(now);
}

void Distributor::pollUpstream(Nanos now) {
    upstreamState_ = UpstreamState::polling;
    if (now - silentAt_ > kResponseTimeoutRetention) answerWithin_ = kResponseTimeout;
    beginAheadCheck(now);
    if (needsCompleteList_ || !list_.isKnown()) {
        upstreamDue_ = now + answerWithin_ * kWholeAnswerFactor;
        return host_.pollUpstream(upstream_, std::nullopt, 0);
    }
    // Not all distributors' waits end together; and an upstream that has just failed is not waited for.
    std::uniform_int_distribution<Nanos> jitter(0, options_.upstreamWait / 2);
    const bool mayWait = !probing_ && !checkingAhead_;
    const Nanos wait = !mayWait ? 0 : options_.upstreamWait - jitter(random_);
    upstreamDue_ = now + wait + answerWithin_;
    host_.pollUpstream(upstream_, list_.version(), wait);
}

void Distributor::onUpstreamResponse(Nanos now, ListUpdate update, Nanos upstreamAge) {
    if (upstreamState_ != UpstreamState::polling || shuttingDown_) return;
    if (!list_.isKnown() && !update.isComplete)
        return onUpstreamFailed(now, Failure::malformed, "changes where there is no list");
    const bool isOlder = list_.isKnown() && update.version < list_.version();
    if (isOlder && options_.has(Safeguard::olderList)) return refuseOlder(now, std::move(update));
    accept(now, std::move(update));
    upstreamAge_ = upstreamAge;
    heardAt_ = now;
    const bool isStale = upstreamAge > options_.upstreamWait + kStaleAfter;
    if (isStale && options_.has(Safeguard::staleUpstream)) return retryNext(now, "its list is out of date");
    if (!lastFailure_.empty()) host_.log("the list is had from upstream " + std::to_string(upstream_));
    lastFailure_.clear();
    failures_ = 0;
    silences_ = 0;
    probing_ = false;
    upstreamState_ = UpstreamState::backingOff;
    upstreamDue_ = now;  // asked again at once: it parks the call until there is a change
    continueAheadCheck(now);
}

void Distributor::accept(Nanos now, ListUpdate update) {
    std::fill(toldOlder_.begin(), toldOlder_.end(), false);
    newestOlder_.reset();
    needsCompleteList_ = false;
    // A version names one state: the same one again brings nothing.
    const bool isNews = !list_.isKnown() || update.version != list_.version();
    if (!isNews) return;
    list_.apply(std::move(update));
    if (oldEpochVersion_ && list_.version() > *oldEpochVersion_) oldEpochVersion_.reset();
    listChanged(now);
}

void Distributor::refuseOlder(Nanos now, ListUpdate older) {
    ++counts_.versionFallsRefused;
    const std::string reason = "it tells version " + std::to_string(older.version) + " after version " +
                               std::to_string(list_.version());
    // Another call's answer come late, or one that has lost what it knew: its whole list will show.
    if (!needsCompleteList_) {
        needsCompleteList_ = true;
        upstreamState_ = UpstreamState::backingOff;
        upstreamDue_ = now + nextPause();
        lastFailure_ = reason;
        host_.log("upstream " + std::to_string(upstream_) + ": " + reason + "; asked for its whole list");
        return;
    }
    if (!older.isComplete)
        return onUpstreamFailed(now, Failure::malformed, "changes where the whole list was asked for");
    toldOlder_[upstream_] = true;
    if (!newestOlder_ || newestOlder_->version < older.version) newestOlder_ = std::move(older);
    const bool allToldOlder = std::find(toldOlder_.begin(), toldOlder_.end(), false) == toldOlder_.end();
    if (allToldOlder) beginEpoch(now);
    retryNext(now, reason);
}

void Distributor::beginEpoch(Nanos now) {
    host_.log("every upstream has lost what it knew: version " + std::to_string(newestOlder_->version) +
              " begins a new epoch after version " + std::to_string(list_.version()));
    const Version lost = list_.version();
    oldEpochVersion_ = std::max(lost, oldEpochVersion_.value_or(lost));
    epochBeganAt_ = now;
    ++counts_.epochs;
    list_.restart(std::move(*newestOlder_));
    newestOlder_.reset();
    std::fill(toldOlder_.begin(), toldOlder_.end(), false);
    needsCompleteList_ = false;
    heardAt_ = now;
    listChanged(now);
}

void Distributor::onUpstreamFailed(Nanos now, Failure failure, std::string_view reason) {
    if (upstreamState_ != UpstreamState::polling || shuttingDown_) return;
    // The same changes would be spoilt in the same way again.
    if (failure == Failure::malformed) needsCompleteList_ = true;
    if (failure == Failure::unresponsive) noteSilence(now);
    retryNext(now, reason);
}

void Distributor::retryNext(Nanos now, std::string_view reason) {
    lastFailure_ = reason;
    host_.log("upstream " + std::to_string(upstream_) + ": " + lastFailure_ + "; last heard " +
              std::to_string(milliseconds(now - heardAt_)) + " ms ago");
    if (options_.has(Safeguard::failOver)) upstream_ = (upstream_ + 1) % options_.upstreams;
    probing_ = true;
    upstreamState_ = UpstreamState::backingOff;
    upstreamDue_ = now + nextPause();
}

void Distributor::noteSilence(Nanos now) {
    silentAt_ = now;
    ++silences_;
    if (silences_ < options_.upstreams || !options_.has(Safeguard::patience)) return;
    silences_ = 0;
    answerWithin_ = std::min(2 * answerWithin_, kMaxResponseTimeout);
}

Nanos Distributor::nextPause() {
    constexpr int kDoublings = 4;  // past the longest pause
    const Nanos grown = std::min(kMinBackoff << std::min(failures_, kDoublings), kMaxBackoff);
    ++failures_;
    const Nanos pause = grown / static_cast<Nanos>(options_.upstreams);
    if (!options_.has(Safeguard::backoffJitter)) return pause;
    return pause - std::uniform_int_distribution<Nanos>(0, pause / 2)(random_);
}

// ---- versions that readers have and that are newer than the one here

void Distributor::noteAhead(Nanos now, Version after) {
    const bool isAhead = list_.isKnown() && after > list_.version();
    if (!isAhead || (ahead_.size() >= kMaxAhead && !ahead_.contains(after))) return;
    const auto [entry, isNew] = ahead_.try_emplace(after);
    if (isNew) entry->second.firstAsked = now;
    entry->second.lastAsked = now;
}

bool Distributor::isDoubtful(Nanos now, const AheadVersion& ahead) const {
    return !ahead.lost && now - ahead.firstAsked >= options_.upstreamWait + kAheadPatience;
}

void Distributor::beginAheadCheck(Nanos now) {
    if (checkingAhead_ || now < nextAheadCheck_ || !options_.has(Safeguard::aheadCheck)) return;
    // Nobody asks with it any more, as far as a reader's longest wait tells.
    std::erase_if(ahead_,
                  [now](const auto& entry) { return now - entry.second.lastAsked > 2 * kMaxReaderWait; });
    checkingAhead_ = std::any_of(ahead_.begin(), ahead_.end(),
                                 [&](const auto& entry) { return isDoubtful(now, entry.second); });
    std::fill(toldBehind_.begin(), toldBehind_.end(), false);
}

// An upstream has just told its newest version, which is the one here.
void Distributor::continueAheadCheck(Nanos now) {
    if (!checkingAhead_) return;
    const bool isRoundOver = toldBehind_[upstream_];  // though another upstream has not been reached
    toldBehind_[upstream_] = true;
    const bool allTold = std::find(toldBehind_.begin(), toldBehind_.end(), false) == toldBehind_.end();
    if (allTold) return endAheadCheck(now);
    if (isRoundOver) {
        checkingAhead_ = false;
        nextAheadCheck_ = now + kAheadPatience;
        return;
    }
    upstream_ = (upstream_ + 1) % options_.upstreams;
}

void Distributor::endAheadCheck(Nanos now) {
    checkingAhead_ = false;
    nextAheadCheck_ = now + kAheadPatience;
    for (auto& [version, ahead] : ahead_) {
        if (!isDoubtful(now, ahead)) continue;
        ahead.lost = true;
        ++counts_.lostVersions;
        host_.log("no upstream knows version " + std::to_string(version) +
                  ", which readers have; the newest is " + std::to_string(list_.version()));
    }
    updateAllDeadlines();
}

// ---- readers

void Distributor::onReaderConnected(Nanos now, ReaderId id) {
    Reader& reader = readers_[id];
    reader.since = now;
    updateDeadline(id, reader);
}

void Distributor::onReaderPoll(Nanos now, ReaderId id, const ReaderRequest& request) {
    const auto found = readers_.find(id);
    if (found == readers_.end()) return;
    Reader& reader = found->second;
    if (!reader.counted) {
        reader.refused = countedReaders_ >= options_.maxReaders;
        if (!reader.refused) {
            reader.counted = true;
            ++countedReaders_;
        }
    }
    const bool mustWait = reader.state == ReaderState::draining && options_.has(Safeguard::slowReaderBound);
    if (mustWait)
        reader.queued = request;
    else
        startRequest(now, reader, request);
    updateDeadline(id, reader);
}

void Distributor::startRequest(Nanos now, Reader& reader, const ReaderRequest& request) {
    reader.state = ReaderState::waiting;
    reader.since = now;
    reader.request = request;
    reader.request.wait = std::clamp<Nanos>(request.wait, 0, kMaxReaderWait);
    if (request.after) noteAhead(now, *request.after);
}

void Distributor::onReaderBytesSent(Nanos now, ReaderId id, std::size_t unsent) {
    const auto found = readers_.find(id);
    if (found == readers_.end()) return;
    Reader& reader = found->second;
    reader.unsent = unsent;
    if (reader.state != ReaderState::draining) return;
    if (unsent > 0) return updateDeadline(id, reader);
    reader.state = ReaderState::idle;
    reader.since = now;
    if (reader.queued) {
        startRequest(now, reader, *reader.queued);
        reader.queued.reset();
    }
    updateDeadline(id, reader);
}

void Distributor::onReaderClosed(Nanos, ReaderId id) { drop(id); }

void Distributor::drop(ReaderId id) {
    const auto found = readers_.find(id);
    if (found == readers_.end()) return;
    deadlines_.erase({found->second.deadline, id});
    if (found->second.counted) --countedReaders_;
    readers_.erase(found);
}

void Distributor::listChanged(Nanos now) {
    // A change joins the batch that is not told yet, or begins the next one.
    if (now >= batchDue_) batchDue_ = std::max(now, batchDue_ + options_.batch);
    if (!options_.has(Safeguard::batching)) batchDue_ = now;
    ahead_.erase(ahead_.begin(), ahead_.upper_bound(list_.version()));
    updateAllDeadlines();
}

void Distributor::updateAllDeadlines() {
    for (auto& [id, reader] : readers_) updateDeadline(id, reader);
}

// When a reader with this version, which is not older than the one here, is told a lower one; mostly never.
Nanos Distributor::tellsLowerFrom(const Reader& reader, Version after) const {
    if (after == list_.version()) return kNever;
    if (!options_.has(Safeguard::versionGuard)) return reader.since;
    const auto ahead = ahead_.find(after);
    if (ahead != ahead_.end() && ahead->second.lost) return reader.since;
    if (!oldEpochVersion_) return kNever;
    const Nanos firstAsked = ahead != ahead_.end() ? ahead->second.firstAsked : reader.since;
    return std::max(firstAsked, epochBeganAt_) + kEpochGrace;
}

Nanos Distributor::deadlineOf(const Reader& reader) const {
    if (reader.state == ReaderState::idle) return reader.since + kIdleTimeout;
    if (reader.state == ReaderState::draining) {
        if (!options_.has(Safeguard::slowReaderBound)) return kNever;
        return reader.since + (reader.unsent > options_.maxUnsent ? kOverUnsentWithin : kDrainTimeout);
    }
    const bool atOnce = reader.refused || !list_.isKnown() || shuttingDown_;
    if (atOnce) return reader.since;
    if (!reader.request.after) return std::max(reader.since, reader.mayAnswerAt);
    const Version after = *reader.request.after;
    const Nanos waitIsOver = std::max(reader.since + reader.request.wait, reader.mayAnswerAt);
    if (after < list_.version())
        return std::min(waitIsOver, std::max({reader.since, reader.mayAnswerAt, batchDue_}));
    const Nanos lowerFrom = std::max(tellsLowerFrom(reader, after), reader.mayAnswerAt);
    return std::min(waitIsOver, lowerFrom);
}

void Distributor::updateDeadline(ReaderId id, Reader& reader) {
    const Nanos deadline = deadlineOf(reader);
    if (deadline == reader.deadline) return;
    deadlines_.erase({reader.deadline, id});
    reader.deadline = deadline;
    if (deadline != kNever) deadlines_.emplace(deadline, id);
}

void Distributor::serveDueReaders(Nanos now) {
    std::vector<ReaderId> due;
    for (const auto& [deadline, id] : deadlines_) {
        if (deadline > now) break;
        due.push_back(id);
    }
    for (const ReaderId id : due) serve(now, id, readers_.at(id));
}

void Distributor::serve(Nanos now, ReaderId id, Reader& reader) {
    if (reader.state == ReaderState::waiting) return answer(now, id, reader);
    const bool isSlow = reader.state == ReaderState::draining;
    if (isSlow) ++counts_.slowReadersClosed;
    drop(id);
    host_.closeReader(id, isSlow ? CloseReason::slow : CloseReason::idle);
}

void Distributor::answer(Nanos now, ReaderId id, Reader& reader) {
    const ListResponse told = answerFor(now, reader);
    ++counts_.responses;
    reader.mayAnswerAt = options_.has(Safeguard::batching) ? now + options_.batch : now;
    reader.since = now;
    reader.unsent = host_.sendResponse(id, told);
    reader.state = reader.unsent > 0 ? ReaderState::draining : ReaderState::idle;
    updateDeadline(id, reader);
}

ListResponse Distributor::answerFor(Nanos now, const Reader& reader) {
    ListResponse told;
    told.listAgeMs = milliseconds(listAge(now));
    told.close = shuttingDown_;
    if (reader.refused || !list_.isKnown()) {
        static const auto noList = std::make_shared<const std::string>(kNoListBody);
        static const auto tooMany = std::make_shared<const std::string>(kTooManyReadersBody);
        if (reader.refused) ++counts_.readersRefused;
        told.status = 503;
        told.retryAfterSeconds = kRetryAfterSeconds;
        told.close = told.close || reader.refused;
        told.body = reader.refused ? tooMany : noList;
        return told;
    }
    told.body = bodyFor(now, reader);
    return told;
}

SharedBytes Distributor::bodyFor(Nanos now, const Reader& reader) {
    const bool isWhole = !reader.request.after || sendsCompleteList(now, reader, *reader.request.after);
    if (isWhole) {
        ++counts_.completeResponses;
        return list_.completeList();
    }
    const Version after = *reader.request.after;
    if (after > list_.version()) return ListState::unchanged(after);
    ++counts_.deltaResponses;
    return list_.changesSince(after);
}

bool Distributor::sendsCompleteList(Nanos now, const Reader& reader, Version after) const {
    if (after < list_.version()) return !list_.hasChangesSince(after);
    return now >= tellsLowerFrom(reader, after);
}

Nanos Distributor::listAge(Nanos now) const { return now - heardAt_ + upstreamAge_; }

void Distributor::shutDown(Nanos) {
    shuttingDown_ = true;
    updateAllDeadlines();
}

void Distributor::reconcile(Nanos now) {
    superviseUpstream(now);
    serveDueReaders(now);
    Nanos wake = shuttingDown_ ? kNever : upstreamDue_;
    if (!deadlines_.empty()) wake = std::min(wake, deadlines_.begin()->first);
    if (wake == wokenAt_) return;
    wokenAt_ = wake;
    host_.scheduleWakeup(wake);
}

DistributorStatus Distributor::status(Nanos now) const {
    DistributorStatus status = counts_;
    status.version = list_.version();
    status.entries = list_.entries();
    status.tombstones = list_.tombstones();
    status.age = listAge(now);
    status.lastFailure = lastFailure_;
    status.upstream = upstream_;
    status.readers = countedReaders_;
    return status;
}

}  // namespace poppyscale::endpoint_distribution
