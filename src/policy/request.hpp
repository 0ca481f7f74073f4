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

// The first candidate and its replacement, and one of last resort.
constexpr std::size_t kMaxCandidates = 3;

// The servers that a request may be sent to, best first; null from where there are no more.
// RendezvousRanking alone writes it.
struct CandidateList {
    std::array<Server*, kMaxCandidates> servers{};
    std::uint64_t rankingVersion = 0;  // that it was taken from; the servers are valid in this one only
};

enum class AttemptState : std::uint8_t { inFlight, neverExecuted, mayHaveExecuted };

struct Attempt {
    std::shared_ptr<Server> server;
    Nanos startedAt = 0;
    AttemptState state = AttemptState::inFlight;
};

enum class RequestState : std::uint8_t {
    queued,      // waits for a server
    unservable,  // waits for its final response, since a further attempt would be of no use
    inFlight,    // has one attempt in flight
    closed       // has its final response, or its client has disconnected; ends with its attempt, if any
};

// What is known of a request when it comes, and does not change any more.
struct RequestProperties {
    RequestId id = 0;
    std::shared_ptr<const RequestClass> requestClass;  // as it was when the request came
    std::shared_ptr<TenantUsage> tenantUsage;          // null without a known tenant
    std::uint64_t key = 0;                             // hash of the key, or a number of its own without one
    bool hasKey = false;
    bool isWrite = false;
    bool isOverQuota = false;
    int maxAttempts = 1;
    Nanos deadline = 0;
    Nanos objectiveDeadline = 0;     // by when a response meets the latency objective
    std::size_t firstCandidate = 0;  // place of the first candidate in the ranking of the key
    // In [0, 1), drawn once: a request that is tried again and again would else pass any chance in the end.
    double randomSample = 0;
};

// Guarantees that at most one attempt is in flight. The policy owns requests from onRequest() until they are
// closed and have no attempt in flight; the queue and the origin's fetches refer to them meanwhile.
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
    // Null if the request has certainly not been executed.
    const Attempt* firstThatMayHaveExecuted() const;
    // Whether an ended attempt at the origin, or at a cache server, may have been executed.
    bool mayHaveExecuted(bool atOrigin) const { return mayHaveExecuted_[atOrigin ? 1 : 0]; }
    // Whether an attempt ended with anything but a response or a cache miss.
    bool hasFailedAttempt() const { return hasFailedAttempt_; }
    // Whether a server lacked its key while it was warming up.
    bool hasMissedAtWarmingServer() const { return hasMissedAtWarmingServer_; }
    // The cache servers that lacked its key.
    const std::vector<std::shared_ptr<Server>>& missedAt() const { return missedAt_; }
    // When an attempt must be written at the latest, for its idempotency key to be remembered.
    Nanos latestStart() const { return latestStart_; }

    void startAttempt(Server& server, Nanos now);
    // Null if there is no such attempt in flight.
    const Attempt* findInFlight(int attempt) const;
    // Ends the attempt in flight. The request is then closed, or queue() follows.
    void endAttempt(AttemptOutcome outcome);
    void addMiss(Server& server) { missedAt_.push_back(sharedServer(server)); }
    void noteMissAtWarmingServer() { hasMissedAtWarmingServer_ = true; }
    // After an attempt that ended without a response: `queued`, or `unservable` if no other would be of use.
    void queue(AttemptOutcome outcome, bool isServable);
    void close() { state_ = RequestState::closed; }

    CandidateList candidates;

  private:
    static std::shared_ptr<Server> sharedServer(Server& server);

    const RequestProperties properties_;
    RequestState state_;
    std::vector<Attempt> attempts_;
    std::vector<std::shared_ptr<Server>> missedAt_;
    std::array<bool, 2> mayHaveExecuted_{};  // at a cache server, at the origin
    bool hasFailedAttempt_ = false;
    bool hasMissedAtWarmingServer_ = false;
    Nanos latestStart_ = kNever;
};

}  // namespace poppyscale::policy
