#include "endpoint_distribution/distributor.hpp"

#include <algorithm>

namespace poppyscale::endpoint_distribution {
namespace {

const std::string kNoListBody = R"({"error":"no endpoint list received from an upstream yet"})";
const std::string kTooManyReadersBody = R"({"error":"maximum number of readers reached"})";

}  // namespace

Distributor::Distributor(const Options& options, DistributorHost& host, Nanos now)
    : options_(options),
      host_(host),
      list_(options.isEnabled(Safeguard::tombstones) ? options.maxTombstones : 0,
            {options.isEnabled(Safeguard::gaps), options.isEnabled(Safeguard::tombstones)}),
      epochs_(options.upstreams),
      aheadVersions_(options.upstreams, options.upstreamWait),
      poller_(options_, host, now),
      schedule_(options_, list_, epochs_, aheadVersions_),
      readers_(options_, schedule_) {}

// ---- upstreams

void Distributor::superviseUpstream(Nanos now) {
    if (schedule_.isShuttingDown() || now < poller_.dueAt()) return;
    if (poller_.isPolling())
        poller_.fail(now, Failure::unresponsive, "no complete response within the timeout");
    else
        pollUpstream(now);
}

void Distributor::pollUpstream(Nanos now) {
    if (options_.isEnabled(Safeguard::aheadCheck)) aheadVersions_.beginCheck(now);
    std::optional<Version> version;
    if (list_.hasList()) version = list_.version();
    poller_.poll(now, version, !aheadVersions_.isChecking());
}

void Distributor::onUpstreamResponse(Nanos now, ListUpdate update, Nanos upstreamAge) {
    if (!poller_.isPolling() || schedule_.isShuttingDown()) return;
    if (!list_.hasList() && !update.isComplete)
        return poller_.fail(now, Failure::malformed, "expected a complete list, got changes");
    const bool isOlder = list_.hasList() && update.version < list_.version();
    if (isOlder && options_.isEnabled(Safeguard::olderList)) return rejectOlder(now, std::move(update));
    accept(now, std::move(update));
    poller_.recordResponse(now, upstreamAge);
    if (poller_.isStale())
        return poller_.retryNext(
            now, "its list is stale: " + std::to_string(upstreamAge / kMillisecond) + " ms old");
    poller_.succeed(now);
    continueAheadCheck(now);
}

void Distributor::onUpstreamFailed(Nanos now, Failure failure, std::string_view reason) {
    if (!poller_.isPolling() || schedule_.isShuttingDown()) return;
    poller_.fail(now, failure, reason);
}

void Distributor::accept(Nanos now, ListUpdate update) {
    epochs_.recordCurrentList();
    // A version identifies one state of the list, so an equal version means no change.
    const bool hasChanged = !list_.hasList() || update.version != list_.version();
    if (!hasChanged) return;
    list_.apply(std::move(update));
    epochs_.recordVersion(list_.version());
    onListChanged(now);
}

void Distributor::rejectOlder(Nanos now, ListUpdate older) {
    ++counters_.olderListsRejected;
    const std::string reason = "sent version " + std::to_string(older.version) +
                               ", older than the present version " + std::to_string(list_.version());
    // Either the response was outdated or discovery has lost its versions. The complete list
    // decides it.
    if (!poller_.needsCompleteList()) return poller_.requestCompleteList(now, reason);
    if (!older.isComplete)
        return poller_.fail(now, Failure::malformed, "expected the requested complete list, got changes");
    epochs_.recordOlderList(poller_.upstream(), std::move(older));
    if (epochs_.isEpochDue()) beginEpoch(now);
    poller_.retryNext(now, reason);
}

void Distributor::beginEpoch(Nanos now) {
    host_.log("every upstream sent an older list; a new epoch begins with version " +
              std::to_string(epochs_.nextEpochVersion()) + " and replaces version " +
              std::to_string(list_.version()));
    ++counters_.epochs;
    ListUpdate first = epochs_.beginEpoch(now, list_.version());
    list_.restart(std::move(first));
    poller_.recordCurrentList(now);
    onListChanged(now);
}

// Requires that the present upstream has just responded, so that its newest version is the one
// here.
void Distributor::continueAheadCheck(Nanos now) {
    if (!aheadVersions_.isChecking()) return;
    switch (aheadVersions_.recordBehind(now, poller_.upstream())) {
        case AheadVersions::CheckProgress::pollNext:
            return poller_.moveToNext();
        case AheadVersions::CheckProgress::concluded:
            return markLostVersions(now);
        case AheadVersions::CheckProgress::abandoned:
            return;
    }
}

void Distributor::markLostVersions(Nanos now) {
    for (const Version version : aheadVersions_.markLost(now)) {
        ++counters_.lostVersions;
        host_.log("no upstream has version " + std::to_string(version) +
                  ", which readers poll with; answering them with the complete list, version " +
                  std::to_string(list_.version()));
    }
    readers_.updateDeadlines();
}

void Distributor::onListChanged(Nanos now) {
    schedule_.recordListChange(now);
    aheadVersions_.recordVersion(list_.version());
    readers_.updateDeadlines();
}

// ---- readers

void Distributor::onReaderConnected(Nanos now, ReaderId id) { readers_.connect(now, id); }

void Distributor::onReaderPoll(Nanos now, ReaderId id, const ReaderRequest& request) {
    readers_.request(now, id, request);
}

void Distributor::onReaderBytesSent(Nanos now, ReaderId id, std::size_t unsent) {
    readers_.recordUnsent(now, id, unsent);
}

void Distributor::onReaderClosed(Nanos, ReaderId id) { readers_.close(id); }

void Distributor::serveDueReaders(Nanos now) {
    for (const ReaderId id : readers_.dueReaders(now)) {
        switch (readers_.at(id).state) {
            case ReaderState::waiting:
                respond(now, id);
                break;
            case ReaderState::draining:
                ++counters_.slowReadersClosed;
                closeReader(id, CloseReason::slow);
                break;
            case ReaderState::idle:
                closeReader(id, CloseReason::idle);
                break;
        }
    }
}

void Distributor::closeReader(ReaderId id, CloseReason reason) {
    readers_.close(id);
    host_.closeReader(id, reason);
}

void Distributor::respond(Nanos now, ReaderId id) {
    const ListResponse response = responseFor(now, readers_.at(id));
    ++counters_.responses;
    const std::size_t unsent = host_.sendResponse(id, response);
    readers_.recordResponse(now, id, unsent);
}

ListResponse Distributor::responseFor(Nanos now, const Reader& reader) {
    ListResponse response;
    response.listAgeMs = poller_.listAge(now) / kMillisecond;
    response.closesConnection = schedule_.isShuttingDown() || reader.isRejected();
    if (!reader.isRejected() && list_.hasList()) {
        response.body = bodyFor(now, reader);
        return response;
    }
    static const auto noList = std::make_shared<const std::string>(kNoListBody);
    static const auto tooManyReaders = std::make_shared<const std::string>(kTooManyReadersBody);
    if (reader.isRejected()) ++counters_.readersRejected;
    response.status = 503;
    response.retryAfterSeconds = kRetryAfterSeconds;
    response.body = reader.isRejected() ? tooManyReaders : noList;
    return response;
}

SharedBytes Distributor::bodyFor(Nanos now, const Reader& reader) {
    if (schedule_.needsCompleteList(now, reader)) {
        ++counters_.completeResponses;
        return list_.completeList();
    }
    const Version after = *reader.request.after;
    if (after > list_.version()) return ListState::unchanged(after);
    ++counters_.deltaResponses;
    return list_.changesSince(after);
}

// ---- upstreams and readers

void Distributor::shutDown(Nanos) {
    schedule_.beginShutdown();
    readers_.updateDeadlines();
}

void Distributor::reconcile(Nanos now) {
    superviseUpstream(now);
    serveDueReaders(now);
    Nanos wakeupAt = schedule_.isShuttingDown() ? kNever : poller_.dueAt();
    wakeupAt = std::min(wakeupAt, readers_.nextDeadline());
    if (wakeupAt == wakeupAt_) return;
    wakeupAt_ = wakeupAt;
    host_.scheduleWakeup(wakeupAt);
}

DistributorStatus Distributor::status(Nanos now) const {
    DistributorStatus status;
    static_cast<DistributorCounters&>(status) = counters_;
    status.version = list_.version();
    status.entries = list_.entries();
    status.tombstones = list_.tombstones();
    status.age = poller_.listAge(now);
    status.lastFailure = poller_.lastFailure();
    status.upstream = poller_.upstream();
    status.readers = readers_.admittedCount();
    return status;
}

}  // namespace poppyscale::endpoint_distribution
