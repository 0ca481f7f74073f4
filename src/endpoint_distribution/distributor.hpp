// The endpoint list distributor's logic. A distributor polls upstreams (discovery, or other
// distributors) for the endpoint list and answers readers (routers, or other distributors) over the
// same protocol. This class does no I/O: a host passes in events with their time and carries out
// the decisions.
//
// A distributor guarantees its readers:
//  1. The versions that a reader receives never decrease. The request of a reader whose version is
//     newer than the one here is held until the list here is newer. At the end of its wait such a
//     reader gets a response without changes that carries its own version.
//  2. An upstream's list that is older than the one here is rejected, unless every upstream has
//     sent an older one: then discovery has lost its versions, and a new epoch begins with the
//     newest of those lists (EpochTracker). In a new epoch, and only until its versions exceed
//     those of the old one, a reader whose version is newer than the one here gets the complete
//     list with its lower version, after kEpochGrace at most. A router rejects that response, polls
//     for the complete list without a version, and accepts the result. A reader whose version is
//     below the epoch's first version gets the complete list. A distributor started after discovery
//     lost its versions detects the loss by its readers' versions (AheadVersions).
//  3. When an upstream fails, the next one is polled for changes since the version here
//     (UpstreamPoller). With up to four upstreams a change is sent within 5 s after one of them
//     becomes reachable. An upstream that stops responding during a long poll is detected within
//     `upstreamWait` plus kResponseTimeout.
//  4. While no upstream is reachable, readers get the last known list. The list's age is the time
//     since an upstream last responded plus the age which that upstream reported for its own list.
//     Each response carries the age; the status has the age and the last failure. An upstream whose
//     own list is older than `upstreamWait` plus kStaleAfter counts as failed, but its list is
//     accepted.
//  5. Before there is a list, and beyond the maximum number of readers, a reader gets 503 with
//     Retry-After.
//  6. Changes within `batchInterval` are sent together, and no reader gets more than one response
//     in that time.
//  7. A reader that does not receive its response slows down no other reader (ReaderSessions).
//
// Versions are passed on as the upstream assigned them, so a reader may switch between
// distributors. If discovery loses its versions and then exceeds the old version before any
// distributor polls it, the loss can't be detected.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "endpoint_distribution/ahead_versions.hpp"
#include "endpoint_distribution/distributor_host.hpp"
#include "endpoint_distribution/epoch_tracker.hpp"
#include "endpoint_distribution/list_state.hpp"
#include "endpoint_distribution/options.hpp"
#include "endpoint_distribution/reader_sessions.hpp"
#include "endpoint_distribution/response_schedule.hpp"
#include "endpoint_distribution/safeguards.hpp"
#include "endpoint_distribution/upstream_poller.hpp"

namespace poppyscale::endpoint_distribution {

// Totals since the distributor was started.
struct DistributorCounters {
    std::uint64_t epochs = 0;
    std::uint64_t lostVersions = 0;  // readers' versions that no upstream has any more
    std::uint64_t responses = 0;
    std::uint64_t completeResponses = 0;
    std::uint64_t deltaResponses = 0;
    std::uint64_t slowReadersClosed = 0;
    std::uint64_t olderListsRejected = 0;
    std::uint64_t readersRejected = 0;
};

struct DistributorStatus : DistributorCounters {
    Version version = 0;
    std::size_t entries = 0;
    std::size_t tombstones = 0;
    Nanos age = 0;             // age of the list; the time since the start while there is no list
    std::string lastFailure;   // why the last poll failed; empty after a successful poll
    std::size_t upstream = 0;  // index of the upstream in use
    std::size_t readers = 0;   // admitted readers
};

class Distributor {
  public:
    using Failure = UpstreamFailure;

    // `host` has to outlive the distributor.
    Distributor(const Options& options, DistributorHost& host, Nanos now);
    Distributor(const Distributor&) = delete;
    Distributor& operator=(const Distributor&) = delete;

    // A reader is one connection. It may poll again before its last response is sent completely.
    void onReaderConnected(Nanos now, ReaderId reader);
    void onReaderPoll(Nanos now, ReaderId reader, const ReaderRequest& request);
    // `unsent` bytes of the reader's responses are still to be sent.
    void onReaderBytesSent(Nanos now, ReaderId reader, std::size_t unsent);
    void onReaderClosed(Nanos now, ReaderId reader);

    // The result of the last `DistributorHost::pollUpstream`. `upstreamAge` is the age that the
    // upstream reports for its list.
    void onUpstreamResponse(Nanos now, ListUpdate update, Nanos upstreamAge);
    void onUpstreamFailed(Nanos now, Failure failure, std::string_view reason);

    // Answers all waiting readers and closes each connection after its response.
    void shutDown(Nanos now);

    // Carries out what is due. To be called after each batch of events, and at the time last passed
    // to `scheduleWakeup`.
    void reconcile(Nanos now);

    DistributorStatus status(Nanos now) const;
    // The list's version; 0 while there is no list.
    Version version() const { return list_.version(); }

  private:
    void superviseUpstream(Nanos now);
    void pollUpstream(Nanos now);
    void accept(Nanos now, ListUpdate update);
    void rejectOlder(Nanos now, ListUpdate older);
    void beginEpoch(Nanos now);
    void continueAheadCheck(Nanos now);
    void markLostVersions(Nanos now);
    void onListChanged(Nanos now);
    void serveDueReaders(Nanos now);
    void closeReader(ReaderId id, CloseReason reason);
    void respond(Nanos now, ReaderId id);
    ListResponse responseFor(Nanos now, const Reader& reader);
    SharedBytes bodyFor(Nanos now, const Reader& reader);

    const Options options_;
    DistributorHost& host_;
    ListState list_;
    EpochTracker epochs_;
    AheadVersions aheadVersions_;
    UpstreamPoller poller_;
    ResponseSchedule schedule_;
    ReaderSessions readers_;
    Nanos wakeupAt_ = kNever;
    DistributorCounters counters_;
};

}  // namespace poppyscale::endpoint_distribution
