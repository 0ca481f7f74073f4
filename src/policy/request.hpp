// An open request and its attempts.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "base/time.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace poppyscale::policy {

class Server;
struct TenantUsage;

// The first candidate, its replacement and a last resort.
constexpr std::size_t kMaxCandidates = 3;

// The servers that a request may be sent to, best first; unused places at the end are null. Only
// RendezvousRanking writes it.
struct CandidateList {
    std::array<Server*, kMaxCandidates> servers{};
    std::uint64_t rankingVersion = 0;  // the version of the ranking in which `servers` is valid
};

enum class AttemptState : std::uint8_t { inFlight, neverExecuted, mayHaveExecuted };

struct Attempt {
    std::shared_ptr<Server> server;
    Nanos startedAt = 0;
    AttemptState state = AttemptState::inFlight;
    // Another attempt after this one needs no retry credit: the server was expected to be slow.
    bool allowsFreeRetry = false;
};

enum class RequestState : std::uint8_t {
    queued,      // waits for a server
    unservable,  // waits for its final response, since a further attempt would be of no use
    inFlight,    // has one attempt in flight
    // Has its final response, or its client has disconnected. An attempt may still be in flight.
    closed
};

// Properties that are fixed when a request arrives.
struct RequestProperties {
    RequestId id = 0;
    // Request class as of the arrival of the request.
    std::shared_ptr<const RequestClass> requestClass;
    std::shared_ptr<TenantUsage> tenantUsage;  // null without a known tenant
    std::uint64_t key = 0;                     // hash of the key, or of the request id if there is no key
    bool hasKey = false;
    bool isWrite = false;
    bool isOverQuota = false;
    int maxAttempts = 1;
    Nanos deadline = 0;
    Nanos objectiveDeadline = 0;     // until when a response meets the latency objective
    std::size_t firstCandidate = 0;  // place of the first candidate in the ranking of the key
    // In [0, 1). Drawn once, since a request that is considered many times with new numbers would
    // eventually pass a check of any probability.
    double randomSample = 0;
};

// Guarantees that at most one attempt is in flight. RoutingPolicy owns a request from onRequest()
// until it is closed and has no attempt in flight; meanwhile AdmissionQueue and OriginFetches may
// refer to it.
class Request {
  public:
    // `initial` is queued or unservable.
    Request(RequestProperties properties, RequestState initial);

    RequestId id() const { return properties_.id; }
    const RequestClass& requestClass() const { return *properties_.requestClass; }
    TenantUsage* tenantUsage() const { return properties_.tenantUsage.get(); }
    std::uint64_t key() const { return properties_.key; }
    bool hasKey() const { return properties_.hasKey; }
    bool isWrite() const { return properties_.isWrite; }
    bool isOverQuota() const { return properties_.isOverQuota; }
    int maxAttempts() const { return properties_.maxAttempts; }
    Nanos deadline() const { return properties_.deadline; }
    Nanos objectiveDeadline() const { return properties_.objectiveDeadline; }
    std::size_t firstCandidate() const { return properties_.firstCandidate; }
    double randomSample() const { return properties_.randomSample; }

    bool isClosed() const { return state_ == RequestState::closed; }
    bool isUnservable() const { return state_ == RequestState::unservable; }
    bool isWaiting() const { return state_ == RequestState::queued || isUnservable(); }
    const std::vector<Attempt>& attempts() const { return attempts_; }
    // The first attempt that may have executed the request, in flight or ended; null if there is
    // none.
    const Attempt* firstThatMayHaveExecuted() const;
    // Whether another attempt needs retry credit: an ended one that does not allow a free retry may have
    // executed the request, at the origin if `atOrigin` is true, else at a cache server.
    bool needsRetryCredit(bool atOrigin) const { return needsRetryCredit_[atOrigin ? 1 : 0]; }
    // Whether an attempt that does not allow a free retry ended with anything but success or a cache miss.
    bool hasFailedAttempt() const { return hasFailedAttempt_; }
    // Whether the last attempt has ended and allows a free retry.
    bool hasFreeRetry() const {
        return isWaiting() && !attempts_.empty() && attempts_.back().allowsFreeRetry;
    }
    // Whether an attempt ended with a cache miss at a server that was warming up.
    bool hasMissedAtWarmingServer() const { return hasMissedAtWarmingServer_; }
    // The cache servers at which attempts ended with a cache miss.
    const std::vector<std::shared_ptr<Server>>& missedAt() const { return missedAt_; }
    // The latest time at which an attempt may be written, so that its idempotency key is still
    // remembered.
    Nanos latestStart() const { return latestStart_; }

    void startAttempt(Server& server, bool allowsFreeRetry, Nanos now);
    // The attempt with this number; null if it is not in flight.
    const Attempt* findInFlight(int attempt) const;
    // Ends the attempt in flight. The request is then closed, or queue() follows.
    void endAttempt(AttemptOutcome outcome);
    void addMiss(Server& server) { missedAt_.push_back(sharedServer(server)); }
    void noteMissAtWarmingServer() { hasMissedAtWarmingServer_ = true; }
    // Makes the request wait after an attempt that did not succeed: its state is `queued`, or
    // `unservable` if a further attempt would be of no use.
    void queue(AttemptOutcome outcome, bool isServable);
    void close() { state_ = RequestState::closed; }

    CandidateList candidates;

  private:
    static std::shared_ptr<Server> sharedServer(Server& server);

    const RequestProperties properties_;
    RequestState state_;
    std::vector<Attempt> attempts_;
    std::vector<std::shared_ptr<Server>> missedAt_;
    std::array<bool, 2> needsRetryCredit_{};  // [0] at a cache server, [1] at the origin
    bool hasFailedAttempt_ = false;
    bool hasMissedAtWarmingServer_ = false;
    Nanos latestStart_ = kNever;
};

}  // namespace poppyscale::policy
