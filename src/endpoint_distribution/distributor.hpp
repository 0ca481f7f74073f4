// What an endpoint list distributor decides: it polls upstreams (discovery, or other distributors) for the
// endpoint list and answers readers (routers, or other distributors) by the same protocol. Free of I/O: a
// host brings events with their time and carries out the decisions.
//
// What a distributor guarantees to its readers:
//  1. Versions that a reader gets never fall. A reader whose version is newer than the one here is parked
//     until the list is past it; at the end of its wait it is told that nothing has changed, with its own
//     version.
//  2. An upstream's list that is older than the one here is rejected, unless every upstream has sent an older
//     one: then discovery has lost its versions, and a new epoch begins with the newest of those lists
//     (EpochTracker). In a new epoch, and only until its versions exceed those of the old one, a reader whose
//     version is newer than the one here gets the complete list with its lower version, after kEpochGrace at
//     most. A router rejects such a response, polls for the complete list without a version, and takes that.
//     A reader with a version below the one that the epoch began with gets the complete list. A distributor
//     that was started after the loss detects it by its readers' versions (AheadVersions).
//  3. When an upstream fails, the next one is polled, from the version that is here (UpstreamPoller). With up
//     to four upstreams a change is sent within 5 s of one of them being reachable. An upstream that falls
//     silent while a poll waits at it is detected within `upstreamWait` and kResponseTimeout.
//  4. While no upstream is reachable, readers are answered from what is here. Its age, counted from when an
//     upstream last responded, and the reason are part of the status; the age goes with each response. The
//     age that an upstream reports of its own list is added. An upstream whose list is older than kStaleAfter
//     beyond its wait counts as failed, though its list is taken.
//  5. Before there is a list, and over the bound on readers, a reader gets 503 with a Retry-After.
//  6. Changes within `batch` are sent together, and no reader gets more than one response in `batch`.
//  7. A reader that does not take its response costs itself alone (ReaderSessions).
//
// Versions are the upstream's own, so a reader may go from one distributor to another and on. A discovery
// that lost its versions and exceeds the old one before anybody polls it can't be distinguished from one that
// did not.
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

// Counted since the start.
struct DistributorCounters {
    std::uint64_t epochs = 0;
    std::uint64_t lostVersions = 0;  // of readers, that no upstream has any more
    std::uint64_t responses = 0;
    std::uint64_t completeResponses = 0;
    std::uint64_t deltaResponses = 0;
    std::uint64_t slowReadersClosed = 0;
    std::uint64_t versionFallsRefused = 0;
    std::uint64_t readersRefused = 0;
};

struct DistributorStatus : DistributorCounters {
    Version version = 0;
    std::size_t entries = 0;
    std::size_t tombstones = 0;
    Nanos age = 0;            // of the list; since the start while there is none
    std::string lastFailure;  // why the list can't be had from the upstream; empty while it can
    std::size_t upstream = 0;
    std::size_t readers = 0;  // admitted
};

class Distributor {
  public:
    using Failure = UpstreamFailure;

    // `host` has to outlive the distributor.
    Distributor(const Options& options, DistributorHost& host, Nanos now);
    Distributor(const Distributor&) = delete;
    Distributor& operator=(const Distributor&) = delete;

    // A reader is a connection. It may poll again before it has taken its last response.
    void onReaderConnected(Nanos now, ReaderId reader);
    void onReaderPoll(Nanos now, ReaderId reader, const ReaderRequest& request);
    // Its kernel has `unsent` bytes left to take.
    void onReaderBytesSent(Nanos now, ReaderId reader, std::size_t unsent);
    void onReaderClosed(Nanos now, ReaderId reader);

    // Of the upstream that was polled last. `upstreamAge`: of its list, by its own account.
    void onUpstreamResponse(Nanos now, ListUpdate update, Nanos upstreamAge);
    void onUpstreamFailed(Nanos now, Failure failure, std::string_view reason);

    // All readers that wait are answered, and each connection ends with its response.
    void shutDown(Nanos now);

    // Acts on all events of a moment; also at the time last given to `scheduleWakeup`.
    void reconcile(Nanos now);

    DistributorStatus status(Nanos now) const;
    // Of the list; 0 while there is none.
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
