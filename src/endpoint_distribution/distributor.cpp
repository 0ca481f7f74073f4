#include "endpoint_distribution/distributor.hpp"

#include <algorithm>
#include <stdexcept>

namespace poppyscale::endpoint_distribution {
namespace {

const std::string kNoListBody = R"({"error":"there is no list yet"})";
const std::string kTooManyReadersBody = R"({"error":"there are too many readers"})";

std::int64_t milliseconds(Nanos duration) { return duration / kMillisecond; }

}  // namespace

const std::vector<std::pair<std::string_view, Guard>>& guards() {
    static const std::vector<std::pair<std::string_view, Guard>> all{
        {"version-guard", Guard::versionGuard}, {"older-list", Guard::olderList},
        {"tombstones", Guard::tombstones},      {"gaps", Guard::gaps},
        {"fail-over", Guard::failOver},         {"backoff-jitter", Guard::backoffJitter},
        {"batching", Guard::batching},          {"slow-reader-bound", Guard::slowReaderBound},
        {"patience", Guard::patience},          {"stale-upstream", Guard::staleUpstream},
        {"ahead-check", Guard::aheadCheck}};
    return all;
}

Guard guardNamed(std::string_view name) {
    std::string known;
    for (const auto& [guardName, guard] : guards()) {
        if (guardName == name) return guard;
        known.append(known.empty() ? "" : ", ").append(guardName);
    }
    throw std::runtime_error("'" + std::string(name) + "' is none of " + known);
}

Distributor::Distributor(const Options& options, Host& host, Nanos now)
    : options_(options),
      host_(host),
      list_(options.has(Guard::tombstones) ? options.maxTombstones : 0,
            {options.has(Guard::gaps), options.has(Guard::tombstones)}),
      random_(options.seed),
      upstreamDue_(now),
      heardAt_(now),
      toldOlder_(options.upstreams, false),
      toldBehind_(options.upstreams, false) {}

// ---- upstreams

void Distributor::superviseUpstream(Nanos now) {
    if (shuttingDown_ || now < upstreamDue_) return;
    if (upstreamState_ == UpstreamState::asked)
        upstreamFailed(now, Failure::silent, "no answer in time");
    else
        ask(now);
}

void Distributor::ask(Nanos now) {
    upstreamState_ = UpstreamState::asked;
    if (now - silentAt_ > kPatienceKept) answerWithin_ = kAnswerWithin;
    beginAheadCheck(now);
    if (askWhole_ || !list_.isKnown()) {
        upstreamDue_ = now + answerWithin_ * kWholeAnswerFactor;
        return host_.askUpstream(upstream_, std::nullopt, 0);
    }
    // Not all distributors' waits end together; and an upstream that has just failed is not waited for.
    std::uniform_int_distribution<Nanos> jitter(0, options_.upstreamWait / 2);
    const bool mayWait = !probing_ && !checkingAhead_;
    const Nanos wait = !mayWait ? 0 : options_.upstreamWait - jitter(random_);
    upstreamDue_ = now + wait + answerWithin_;
    host_.askUpstream(upstream_, list_.version(), wait);
}

void Distributor::upstreamAnswered(Nanos now, ListUpdate update, Nanos upstreamAge) {
    if (upstreamState_ != UpstreamState::asked || shuttingDown_) return;
    if (!list_.isKnown() && !update.full)
        return upstreamFailed(now, Failure::spoilt, "changes where there is no list");
    const bool isOlder = list_.isKnown() && update.version < list_.version();
    if (isOlder && options_.has(Guard::olderList)) return refuseOlder(now, std::move(update));
    accept(now, std::move(update));
    upstreamAge_ = upstreamAge;
    heardAt_ = now;
    const bool isStale = upstreamAge > options_.upstreamWait + kStaleAfter;
    if (isStale && options_.has(Guard::staleUpstream)) return retryNext(now, "its list is out of date");
    if (!trouble_.empty()) host_.log("the list is had from upstream " + std::to_string(upstream_));
    trouble_.clear();
    failures_ = 0;
    silences_ = 0;
    probing_ = false;
    upstreamState_ = UpstreamState::pausing;
    upstreamDue_ = now;  // asked again at once: it parks the call until there is a change
    continueAheadCheck(now);
}

void Distributor::accept(Nanos now, ListUpdate update) {
    std::fill(toldOlder_.begin(), toldOlder_.end(), false);
    newestOlder_.reset();
    askWhole_ = false;
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
    if (!askWhole_) {
        askWhole_ = true;
        upstreamState_ = UpstreamState::pausing;
        upstreamDue_ = now + nextPause();
        trouble_ = reason;
        host_.log("upstream " + std::to_string(upstream_) + ": " + reason + "; asked for its whole list");
        return;
    }
    if (!older.full)
        return upstreamFailed(now, Failure::spoilt, "changes where the whole list was asked for");
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
    askWhole_ = false;
    heardAt_ = now;
    listChanged(now);
}

void Distributor::upstreamFailed(Nanos now, Failure failure, std::string_view reason) {
    if (upstreamState_ != UpstreamState::asked || shuttingDown_) return;
    // The same changes would be spoilt in the same way again.
    if (failure == Failure::spoilt) askWhole_ = true;
    if (failure == Failure::silent) noteSilence(now);
    retryNext(now, reason);
}

void Distributor::retryNext(Nanos now, std::string_view reason) {
    trouble_ = reason;
    host_.log("upstream " + std::to_string(upstream_) + ": " + trouble_ + "; last heard " +
              std::to_string(milliseconds(now - heardAt_)) + " ms ago");
    if (options_.has(Guard::failOver)) upstream_ = (upstream_ + 1) % options_.upstreams;
    probing_ = true;
    upstreamState_ = UpstreamState::pausing;
    upstreamDue_ = now + nextPause();
}

void Distributor::noteSilence(Nanos now) {
    silentAt_ = now;
    ++silences_;
    if (silences_ < options_.upstreams || !options_.has(Guard::patience)) return;
    silences_ = 0;
    answerWithin_ = std::min(2 * answerWithin_, kMaxAnswerWithin);
}

Nanos Distributor::nextPause() {
    constexpr int kDoublings = 4;  // past the longest pause
    const Nanos grown = std::min(kMinBackoff << std::min(failures_, kDoublings), kMaxBackoff);
    ++failures_;
    const Nanos pause = grown / static_cast<Nanos>(options_.upstreams);
    if (!options_.has(Guard::backoffJitter)) return pause;
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
    if (checkingAhead_ || now < nextAheadCheck_ || !options_.has(Guard::aheadCheck)) return;
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
    lookAtAll();
}

// ---- readers

void Distributor::readerConnected(Nanos now, ReaderId id) {
    Reader& reader = readers_[id];
    reader.since = now;
    look(id, reader);
}

void Distributor::readerAsks(Nanos now, ReaderId id, const ReaderRequest& request) {
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
    const bool mustWait = reader.state == ReaderState::draining && options_.has(Guard::slowReaderBound);
    if (mustWait)
        reader.queued = request;
    else
        startRequest(now, reader, request);
    look(id, reader);
}

void Distributor::startRequest(Nanos now, Reader& reader, const ReaderRequest& request) {
    reader.state = ReaderState::waiting;
    reader.since = now;
    reader.request = request;
    reader.request.wait = std::clamp<Nanos>(request.wait, 0, kMaxReaderWait);
    if (request.after) noteAhead(now, *request.after);
}

void Distributor::readerSent(Nanos now, ReaderId id, std::size_t unsent) {
    const auto found = readers_.find(id);
    if (found == readers_.end()) return;
    Reader& reader = found->second;
    reader.unsent = unsent;
    if (reader.state != ReaderState::draining) return;
    if (unsent > 0) return look(id, reader);
    reader.state = ReaderState::idle;
    reader.since = now;
    if (reader.queued) {
        startRequest(now, reader, *reader.queued);
        reader.queued.reset();
    }
    look(id, reader);
}

void Distributor::readerLeaves(Nanos, ReaderId id) { drop(id); }

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
    if (!options_.has(Guard::batching)) batchDue_ = now;
    ahead_.erase(ahead_.begin(), ahead_.upper_bound(list_.version()));
    lookAtAll();
}

void Distributor::lookAtAll() {
    for (auto& [id, reader] : readers_) look(id, reader);
}

// When a reader with this version, which is not older than the one here, is told a lower one; mostly never.
Nanos Distributor::tellsLowerFrom(const Reader& reader, Version after) const {
    if (after == list_.version()) return kNever;
    if (!options_.has(Guard::versionGuard)) return reader.since;
    const auto ahead = ahead_.find(after);
    if (ahead != ahead_.end() && ahead->second.lost) return reader.since;
    if (!oldEpochVersion_) return kNever;
    const Nanos firstAsked = ahead != ahead_.end() ? ahead->second.firstAsked : reader.since;
    return std::max(firstAsked, epochBeganAt_) + kEpochGrace;
}

Nanos Distributor::deadlineOf(const Reader& reader) const {
    if (reader.state == ReaderState::idle) return reader.since + kIdleWithin;
    if (reader.state == ReaderState::draining) {
        if (!options_.has(Guard::slowReaderBound)) return kNever;
        return reader.since + (reader.unsent > options_.maxUnsent ? kOverUnsentWithin : kDrainWithin);
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

void Distributor::look(ReaderId id, Reader& reader) {
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
    const Answer told = answerFor(now, reader);
    ++counts_.answers;
    reader.mayAnswerAt = options_.has(Guard::batching) ? now + options_.batch : now;
    reader.since = now;
    reader.unsent = host_.answer(id, told);
    reader.state = reader.unsent > 0 ? ReaderState::draining : ReaderState::idle;
    look(id, reader);
}

Answer Distributor::answerFor(Nanos now, const Reader& reader) {
    Answer told;
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
    const bool isWhole = !reader.request.after || tellsWhole(now, reader, *reader.request.after);
    if (isWhole) {
        ++counts_.wholeAnswers;
        return list_.whole();
    }
    const Version after = *reader.request.after;
    if (after > list_.version()) return ListState::unchanged(after);
    ++counts_.deltaAnswers;
    return list_.since(after);
}

bool Distributor::tellsWhole(Nanos now, const Reader& reader, Version after) const {
    if (after < list_.version()) return !list_.canTellSince(after);
    return now >= tellsLowerFrom(reader, after);
}

Nanos Distributor::listAge(Nanos now) const { return now - heardAt_ + upstreamAge_; }

void Distributor::shutDown(Nanos) {
    shuttingDown_ = true;
    lookAtAll();
}

void Distributor::reconcile(Nanos now) {
    superviseUpstream(now);
    serveDueReaders(now);
    Nanos wake = shuttingDown_ ? kNever : upstreamDue_;
    if (!deadlines_.empty()) wake = std::min(wake, deadlines_.begin()->first);
    if (wake == wokenAt_) return;
    wokenAt_ = wake;
    host_.wakeAt(wake);
}

Status Distributor::status(Nanos now) const {
    Status status = counts_;
    status.version = list_.version();
    status.entries = list_.entries();
    status.tombstones = list_.tombstones();
    status.age = listAge(now);
    status.trouble = trouble_;
    status.upstream = upstream_;
    status.readers = countedReaders_;
    return status;
}

}  // namespace poppyscale::endpoint_distribution
