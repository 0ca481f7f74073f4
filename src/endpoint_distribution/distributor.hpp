// What a list distributor decides: it asks upstreams (discovery, or other distributors) for the list of
// servers and answers readers (routers, or other distributors) by the same protocol. No input or output: a
// host brings events with their time and carries out what is asked of it.
//
// What a distributor promises to its readers:
//  1. Versions that a reader is told never fall. A reader whose version is newer than the one here is
//     parked until the one here is past it; at the end of its wait it is told that nothing has changed,
//     with its own version.
//  2. An upstream's list that is older than the one here is refused, unless every upstream, asked in turn
//     for its whole list and with no newer answer by any of them in between, has told an older one: then
//     discovery has lost what it knew, and a new epoch begins with the newest of those lists. An upstream
//     that can't be reached says nothing, so no epoch begins before it is back or is taken out of the
//     settings. In a new epoch, and only until its versions are past those of the old one, a reader whose
//     version is newer than the one here is told the whole list with its lower version, after `kEpochGrace`
//     at most: a reader that is ahead by another distributor's haste is not taken for one of the old epoch.
//     A router refuses such an answer, asks for the whole list without a version, and takes that. A reader
//     with a version under the one that the epoch began with gets the whole list. A distributor that was
//     started after the loss finds it out by its readers: when some ask with one and the same newer version
//     for longer than the upstreams' wait and `kAheadPatience`, every upstream is asked in turn, and if
//     each tells an older version, readers with that version are told the whole list in the same way. Over
//     `kMaxAhead` such versions at once are not looked into.
//  3. When an upstream fails, the next one is asked, from the version that is here. The pauses between
//     attempts grow from 100 ms to 1 s, divided by the number of upstreams and with jitter; the first call
//     to an upstream after a failure does not wait for a change, so that one which takes connections and is
//     silent is found out within `kAnswerWithin`. With up to four upstreams a change is told within 5 s of
//     one of them being reachable. An upstream that goes silent while a call waits at it is found out when
//     the wait is over: within `upstreamWait` and `kAnswerWithin`. Where all upstreams in turn have not
//     answered in time, the time grows, to `kMaxAnswerWithin` at most, and stays so until `kPatienceKept`
//     after the last such failure: a slow discovery is better than none.
//  4. While no upstream can be reached, readers are answered from what is here. How old it is, counted from
//     when an upstream last answered, and why, stand in the status; the age goes with each answer. The age
//     that an upstream tells of its own list is added. An upstream whose list is older than `kStaleAfter`
//     beyond its wait counts as failed, though what it tells is taken.
//  5. Before there is a list, and over the bound on readers, a reader is answered 503 with a time to retry
//     after.
//  6. Changes within `batch` are told together, and no reader is answered more often than once in `batch`.
//  7. A reader that does not take its answer costs itself alone: it is answered nothing more before it has,
//     and it is closed after `kDrainWithin`, or after `kOverUnsentWithin` with more than `maxUnsent` bytes
//     to take.
//
// What is told is the upstream's own versions, so a reader may go from one distributor to another and on. A
// discovery that loses what it knew and is past the old version before anybody asks it can't be told from
// one that did not.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "endpoint_distribution/list_state.hpp"
#include "policy/routing_policy.hpp"

namespace poppyscale::endpoint_distribution {

using ReaderId = std::uint64_t;

constexpr Nanos kSecond = 1'000 * kMillisecond;
constexpr Nanos kEpochGrace = 1 * kSecond;
// Of an upstream, beyond the wait that it was asked for: by then its answer is whole.
constexpr Nanos kResponseTimeout = 1 * kSecond;
constexpr Nanos kMaxResponseTimeout = 4 * kSecond;
constexpr Nanos kResponseTimeoutRetention = 30 * kSecond;
constexpr int kWholeAnswerFactor = 2;  // of a whole list
constexpr Nanos kStaleAfter = 2 * kSecond;
constexpr Nanos kAheadPatience = 2 * kSecond;
constexpr std::size_t kMaxAhead = 64;
constexpr Nanos kMinBackoff = 100 * kMillisecond;
constexpr Nanos kMaxBackoff = 1 * kSecond;
constexpr Nanos kDrainTimeout = 5 * kSecond;
constexpr Nanos kOverUnsentWithin = 1 * kSecond;
constexpr Nanos kIdleTimeout = 60 * kSecond;  // between a reader's calls
constexpr Nanos kMaxReaderWait = 60 * kSecond;
constexpr int kRetryAfterSeconds = 1;

// What keeps the promises, each by its name; one can be left out to prove that a test finds it.
enum class Safeguard : std::uint8_t {
    versionGuard,     // a reader is never told a lower version than it has
    olderList,        // an upstream's older list is refused
    tombstones,       // removed servers are told to readers of before
    gaps,             // no changes are told since a version that was never here
    failOver,         // after a failure the next upstream is asked
    backoffJitter,    // distributors do not come back to an upstream all at once
    batching,         // changes within `batch` are told together
    slowReaderBound,  // a reader that does not take its answers is closed
    patience,         // where no upstream answers in time, more time is given
    staleUpstream,    // an upstream whose own list is old is left
    aheadCheck        // readers with a version that no upstream knows any more are found out
};
// Throws std::runtime_error that lists the names.
Safeguard guardNamed(std::string_view name);
const std::vector<std::pair<std::string_view, Safeguard>>& guards();

struct Options {
    std::size_t upstreams = 1;
    Nanos upstreamWait = 10 * kSecond;
    Nanos batch = 50 * kMillisecond;
    std::size_t maxReaders = 4096;
    std::size_t maxUnsent = 1024 * 1024;  // bytes of a reader's answer that its kernel has not taken
    std::size_t maxTombstones = ListState::kDefaultTombstones;
    std::uint64_t seed = 1;
    std::set<Safeguard> disabledSafeguards;  // nothing but in proofs

    bool has(Safeguard guard) const { return !disabledSafeguards.contains(guard); }
};

struct ReaderRequest {
    std::optional<Version> after;  // the whole list at once without it
    Nanos wait = 0;                // for a newer version than `after`
};

struct ListResponse {
    int status = 200;           // or 503
    int retryAfterSeconds = 0;  // beside 503
    std::int64_t listAgeMs = 0;
    bool close = false;  // the connection, once this is sent
    SharedBytes body;    // never null
};

enum class CloseReason : std::uint8_t { slow, idle };

// What the decisions ask of whatever carries them out. No method calls back into the distributor.
class DistributorHost {
  public:
    virtual ~DistributorHost() = default;
    // Gives the number of bytes that the kernel has not taken yet; `readerSent` tells of them from then on.
    virtual std::size_t sendResponse(ReaderId reader, const ListResponse& answer) = 0;
    // Whatever was asked of an upstream before is of no interest any more.
    virtual void pollUpstream(std::size_t index, std::optional<Version> after, Nanos wait) = 0;
    virtual void closeReader(ReaderId reader, CloseReason reason) = 0;
    virtual void scheduleWakeup(Nanos at) = 0;
    virtual void log(std::string_view text) = 0;
};

struct DistributorStatus {
    Version version = 0;
    std::size_t entries = 0;
    std::size_t tombstones = 0;
    Nanos age = 0;            // of the list; since the start while there is none
    std::string lastFailure;  // why the list can't be had from the upstream; empty while it can
    std::size_t upstream = 0;
    std::size_t readers = 0;
    std::uint64_t epochs = 0;        // begun since the start
    std::uint64_t lostVersions = 0;  // of readers, that no upstream knew any more
    std::uint64_t responses = 0;
    std::uint64_t completeResponses = 0;
    std::uint64_t deltaResponses = 0;
    std::uint64_t slowReadersClosed = 0;
    std::uint64_t versionFallsRefused = 0;
    std::uint64_t readersRefused = 0;
};

class Distributor {
  public:
    Distributor(const Options& options, DistributorHost& host, Nanos now);

    // A reader is a connection; it may ask again before it has taken its last answer.
    void onReaderConnected(Nanos now, ReaderId reader);
    void onReaderPoll(Nanos now, ReaderId reader, const ReaderRequest& request);
    void onReaderBytesSent(Nanos now, ReaderId reader, std::size_t unsent);
    void onReaderClosed(Nanos now, ReaderId reader);

    // Of the upstream that was asked last.
    void onUpstreamResponse(Nanos now, ListUpdate update, Nanos upstreamAge);
    enum class Failure : std::uint8_t { unreachable, unresponsive, malformed };
    void onUpstreamFailed(Nanos now, Failure failure, std::string_view reason);

    // All readers that wait are answered, and each connection ends with its answer.
    void shutDown(Nanos now);

    // Once after all events of a moment, and at the time last given to `wakeAt`: emits what is to be done.
    void reconcile(Nanos now);

    DistributorStatus status(Nanos now) const;
    Version version() const { return list_.version(); }

  private:
    enum class ReaderState : std::uint8_t { idle, waiting, draining };
    struct Reader {
        ReaderState state = ReaderState::idle;
        bool counted = false;  // it has asked, and is one of the bounded number
        bool refused = false;  // it came over that bound
        Nanos since = 0;       // when it came into its state
        Nanos mayAnswerAt = 0;
        std::size_t unsent = 0;
        ReaderRequest request;                // while it waits
        std::optional<ReaderRequest> queued;  // asked while it drains
        Nanos deadline = kNever;              // the next moment to look at it
    };
    enum class UpstreamState : std::uint8_t { backingOff, polling };
    // A version that readers ask with and that is newer than the one here.
    struct AheadVersion {
        Nanos firstAsked = 0;
        Nanos lastAsked = 0;
        bool lost = false;  // no upstream knows it
    };

    void superviseUpstream(Nanos now);
    void pollUpstream(Nanos now);
    void accept(Nanos now, ListUpdate update);
    void refuseOlder(Nanos now, ListUpdate older);
    void beginEpoch(Nanos now);
    void retryNext(Nanos now, std::string_view reason);
    Nanos nextPause();
    void noteSilence(Nanos now);

    void noteAhead(Nanos now, Version after);
    bool isDoubtful(Nanos now, const AheadVersion& ahead) const;
    void beginAheadCheck(Nanos now);
    void continueAheadCheck(Nanos now);
    void endAheadCheck(Nanos now);

    void listChanged(Nanos now);
    void updateDeadline(ReaderId id, Reader& reader);
    Nanos deadlineOf(const Reader& reader) const;
    Nanos tellsLowerFrom(const Reader& reader, Version after) const;
    bool sendsCompleteList(Nanos now, const Reader& reader, Version after) const;
    void updateAllDeadlines();
    void serveDueReaders(Nanos now);
    void serve(Nanos now, ReaderId id, Reader& reader);
    void answer(Nanos now, ReaderId id, Reader& reader);
    ListResponse answerFor(Nanos now, const Reader& reader);
    SharedBytes bodyFor(Nanos now, const Reader& reader);
    void startRequest(Nanos now, Reader& reader, const ReaderRequest& request);
    void drop(ReaderId id);
    Nanos listAge(Nanos now) const;

    Options options_;
    DistributorHost& host_;
    ListState list_;
    std::mt19937_64 random_;

    // The upstreams.
    UpstreamState upstreamState_ = UpstreamState::backingOff;
    std::size_t upstream_ = 0;
    Nanos upstreamDue_ = 0;  // when a pause is over, or an answer is too late
    bool needsCompleteList_ = true;
    bool probing_ = true;  // nothing has been heard since the last failure
    int failures_ = 0;     // in a row
    Nanos answerWithin_ = kResponseTimeout;
    std::size_t silences_ = 0;  // in a row, since the time last grew
    Nanos silentAt_ = 0;        // the last one
    std::string lastFailure_ = "nothing has been heard yet";
    Nanos heardAt_;
    Nanos upstreamAge_ = 0;
    std::vector<bool> toldOlder_;             // by upstream
    std::optional<ListUpdate> newestOlder_;   // of the lists that were refused
    std::optional<Version> oldEpochVersion_;  // until the new epoch's versions are past it
    Nanos epochBeganAt_ = 0;

    // Readers' versions that are newer than the one here, and the check whether any upstream knows them.
    std::map<Version, AheadVersion> ahead_;
    bool checkingAhead_ = false;
    std::vector<bool> toldBehind_;  // by upstream, in this check
    Nanos nextAheadCheck_ = 0;

    // The readers.
    std::map<ReaderId, Reader> readers_;
    std::set<std::pair<Nanos, ReaderId>> deadlines_;
    std::size_t countedReaders_ = 0;
    Nanos batchDue_ = 0;  // when the newest version may be told
    bool shuttingDown_ = false;
    Nanos wokenAt_ = kNever;
    DistributorStatus counts_;
};

}  // namespace poppyscale::endpoint_distribution
