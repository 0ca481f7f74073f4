#include "policy/routing_policy.hpp"

#include <algorithm>
#include <utility>

#include "base/hash.hpp"
#include "policy/server.hpp"

namespace poppyscale {

using policy::CandidateSelector;
using policy::ConcurrencyLimiter;
using policy::Request;
using policy::RequestProperties;
using policy::RequestState;
using policy::Server;

namespace {

constexpr ConcurrencyLimiter::Target kTotalTarget{policy::kTargetLatencyRatio};
constexpr double kInitialTotalLimit = 1;
// Factor on the limit of a server that reports an overload.
constexpr double kOverloadedFactor = 0.7;
constexpr double kMaxOutcomeRatio = 2;  // bounds one outcome in the sums of latency ratios
// Within one mean latency, a server's limiter takes at most this many latency samples, plus one for
// each attempt that its limit allows in flight.
constexpr double kMaxSamplesPerLatency = 16;
// Factor on the priority of writes and of reads of hinted keys.
constexpr double kPreferredPriorityFactor = 2;
constexpr Nanos kRecheckInterval = 25 * kMillisecond;

bool isAnswer(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::succeeded || outcome == AttemptOutcome::cacheMiss;
}

// A timeout counts as a failure only if the server had time to answer.
bool isServerFailure(const AttemptResult& result, Nanos latencyObjective) {
    switch (result.outcome) {
        case AttemptOutcome::failed:
        case AttemptOutcome::connectionLost:
        case AttemptOutcome::connectFailed:
            return true;
        case AttemptOutcome::timedOut:
            return result.duration >= latencyObjective / 2;
        default:
            return false;
    }
}

bool isFailedFetch(const AttemptResult& result) {
    return result.readThrough == ReadThroughResult::fetched && result.outcome == AttemptOutcome::failed;
}

}  // namespace

RoutingPolicy::RoutingPolicy(PolicySettings settings, PolicyHost& host, Nanos now)
    : settings_(std::move(settings)),
      host_(host),
      random_(settings_.seed),
      requestClasses_(settings_),
      tenantFairness_(settings_, now),
      pollSchedule_(settings_, random_, now),
      registry_(settings_, now),
      loadEstimator_(settings_, registry_),
      slowStart_(settings_),
      zoneAffinity_(settings_, registry_, slowStart_),
      ranking_(registry_, slowStart_, zoneAffinity_),
      retryPolicy_(settings_, registry_),
      outlierDetector_(registry_, host, random_),
      statistics_(now),
      totalLimiter_(kTotalTarget, kInitialTotalLimit),
      selector_({settings_, registry_, ranking_, zoneAffinity_, retryPolicy_, slowStart_, loadEstimator_,
                 statistics_, totalLimiter_, originFetches_, random_}) {}

RoutingPolicy::~RoutingPolicy() = default;

void RoutingPolicy::onSettingsChanged(Nanos now, PolicySettings settings) {
    settings_ = std::move(settings);
    requestClasses_.applySettings();
    zoneAffinity_.applySettings();
    tenantFairness_.applySettings();
    for (Server* server : registry_.cacheServers()) server->warmupBudget.skipTo(now);
    ranking_.invalidate();
}

void RoutingPolicy::onEndpointUpdate(Nanos now, EndpointUpdateKind kind,
                                     const std::vector<Endpoint>& endpoints) {
    pollSchedule_.onUpdate(now, kind);
    if (kind == EndpointUpdateKind::failed) return;
    const bool hasRankingChanged = registry_.applyUpdate(now, kind, endpoints);
    const bool haveWeightsChanged = loadEstimator_.update();
    if (hasRankingChanged || haveWeightsChanged) ranking_.invalidate();
    // The initial limit is divided among all routers: a thousand routers that start with a few
    // attempts each would overload the servers.
    const auto serverCount = static_cast<double>(registry_.cacheServers().size());
    const double initialLimit = policy::kInitialAttemptsPerServer * serverCount / settings_.routerCount;
    if (!totalLimiter_.hasDecreased()) totalLimiter_.raiseLimitTo(initialLimit);
}

void RoutingPolicy::onOperatorEjection(Nanos now, const std::string& name, bool isEjected) {
    const bool hasChanged = registry_.setOperatorEjection(now, name, isEjected);
    if (hasChanged) ranking_.invalidate();
}

void RoutingPolicy::onRequest(Nanos now, const IncomingRequest& incoming) {
    if (requests_.contains(incoming.id)) return;
    RequestProperties properties = propertiesOf(incoming, now);
    // A retry is too late if its latency objective has passed and a late response has no weight.
    const bool isTooLate =
        incoming.isRetry && properties.objectiveDeadline <= now && properties.requestClass->lateWeight <= 0;
    const RequestState initial = isTooLate ? RequestState::unservable : RequestState::queued;
    auto request = std::make_unique<Request>(std::move(properties), initial);
    queue_.push(*request);
    requests_.emplace(incoming.id, std::move(request));
}

RequestProperties RoutingPolicy::propertiesOf(const IncomingRequest& incoming, Nanos now) {
    RequestProperties properties;
    properties.id = incoming.id;
    properties.requestClass = requestClasses_.find(incoming.requestClass);
    properties.tenantUsage = tenantFairness_.find(incoming.tenant);
    properties.hasKey = !incoming.key.empty();
    properties.key = properties.hasKey ? hashText(incoming.key) : mixBits(incoming.id);
    properties.isWrite = incoming.isWrite;
    properties.maxAttempts = incoming.singleAttempt ? 1 : settings_.maxAttempts;
    properties.deadline = incoming.deadline;
    properties.objectiveDeadline = requestClasses_.objectiveDeadline(*properties.requestClass, incoming, now);
    properties.isOverQuota = tenantFairness_.isOverQuota(properties.tenantUsage.get(), now);
    if (settings_.weightsFollowLoad) {
        properties.randomSample = random_.sample();
        properties.firstCandidate = keyPopularity_.firstCandidate(properties.key, ranking_.size(), random_);
        keyPopularity_.record(properties.key);
    }
    return properties;
}

void RoutingPolicy::onClientDisconnected(Nanos, RequestId id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    // The request is destroyed when its attempt in flight ends, or else by the next reconcile().
    found->second->close();
}

void RoutingPolicy::onAttemptEnded(Nanos now, const AttemptResult& result) {
    const auto found = requests_.find(result.id);
    if (found == requests_.end()) return;
    Request& request = *found->second;
    const policy::Attempt* attempt = request.findInFlight(result.attempt);
    if (!attempt) return;
    Server& server = *attempt->server;
    request.endAttempt(result.outcome);
    releaseCapacity(request, server);
    if (result.outcome == AttemptOutcome::cacheMiss && slowStart_.isWarmingUp(server, now))
        request.noteMissAtWarmingServer();
    // An attempt that was not sent because the client had disconnected says nothing about the
    // server.
    const bool wasAbandoned = result.requestCompleted && result.outcome == AttemptOutcome::notSent;
    if (!wasAbandoned && server.outcomes.noteEnd(now)) recordLatency(server, request, result, now);
    if (!isFailedFetch(result)) recordOutcome(server, request, result, now);
    updateHints(request, server, result.outcome);
    const bool hasSucceeded = result.outcome == AttemptOutcome::succeeded;
    if (hasSucceeded) recordZoneOutcome(request, now > request.objectiveDeadline(), now);
    if (request.isClosed() || result.requestCompleted || hasSucceeded) {
        requests_.erase(found);
        return;
    }
    request.queue(result.outcome, !isFailedFetch(result));
    queue_.push(request);
}

void RoutingPolicy::releaseCapacity(const Request& request, Server& server) {
    server.limiter.onAttemptEnded();
    if (server.isOrigin())
        originFetches_.onAttemptEnded(request);
    else
        totalLimiter_.onAttemptEnded();
}

// Timeouts and cache misses count too: in an overload few attempts succeed, but the latency of
// every ended attempt shows the queueing.
void RoutingPolicy::recordLatency(Server& server, const Request& request, const AttemptResult& result,
                                  Nanos now) {
    const Nanos latencyObjective = request.requestClass().latencyObjective;
    const auto objective = static_cast<double>(std::max(latencyObjective, kMillisecond));
    const bool hasLatency = isAnswer(result.outcome) || result.outcome == AttemptOutcome::timedOut;
    const double latencyRatio =
        hasLatency ? std::clamp(static_cast<double>(result.duration) / objective, 0.0, kMaxOutcomeRatio) : 1;
    server.outcomes.record(result.outcome, latencyRatio, now);
    statistics_.recordOutcome(latencyRatio, now);
    const auto meanLatency = static_cast<double>(statistics_.meanLatency(now));
    const auto sampleInterval =
        static_cast<Nanos>(meanLatency / (kMaxSamplesPerLatency + server.limiter.limit()));
    if (!hasLatency || now - server.limiter.lastSampleAt() < sampleInterval) return;
    if (!isAnswer(result.outcome) && result.duration < latencyObjective / 2) return;
    server.limiter.recordLatency(now, result.duration, latencyObjective);
    // While most attempts succeed, a second timeout in a row shows that only this server hangs; its
    // latencies then do not count for the limit over all cache servers.
    const bool isHanging = server.outcomes.consecutiveTimeouts() > 1 && statistics_.haveMostSucceeded(now);
    if (!server.isOrigin() && !isHanging) totalLimiter_.recordLatency(now, result.duration, latencyObjective);
}

void RoutingPolicy::recordOutcome(Server& server, const Request& request, const AttemptResult& result,
                                  Nanos now) {
    switch (result.outcome) {
        case AttemptOutcome::succeeded:
            server.retryCredit.earn();
            statistics_.recordSuccess(result.duration, now);
            break;
        case AttemptOutcome::overloaded:
            server.limiter.decrease(now, statistics_.meanLatency(now), kOverloadedFactor);
            break;
        case AttemptOutcome::connectFailed:
        case AttemptOutcome::connectionLost:
            server.hints.clear();  // the server may have restarted, with nothing cached
            break;
        default:
            break;
    }
    const bool isAnswerOfWarmServer =
        isAnswer(result.outcome) && !server.isOrigin() && !slowStart_.isWarmingUp(server, now);
    if (isAnswerOfWarmServer) slowStart_.recordAnswerOfWarmServer(now);
    if (isAnswerOfWarmServer && result.outcome == AttemptOutcome::succeeded)
        slowStart_.recordLatencyOfWarmServer(result.duration);
    if (!isServerFailure(result, request.requestClass().latencyObjective)) return;
    const bool isEjected = outlierDetector_.recordFailure(server, now);
    if (isEjected) ranking_.invalidate();
}

void RoutingPolicy::recordZoneOutcome(Request& request, bool isLost, Nanos now) {
    const bool bypassesCaches = request.isWrite() && settings_.cacheAside;
    if (settings_.crossZoneCost <= 0 || bypassesCaches || request.isOverQuota()) return;
    const Server* first = request.attempts().empty() ? ranking_.candidatesFor(request, now).servers.front()
                                                     : request.attempts().front().server.get();
    if (!first || first->isOrigin()) return;
    const bool hasRankingChanged = zoneAffinity_.recordOutcome(*first, isLost, now);
    if (hasRankingChanged) ranking_.invalidate();
}

// A cache server is expected to have a key for which it has answered a request. The origin's
// response to a read is stored at the cache servers that missed the key.
void RoutingPolicy::updateHints(Request& request, Server& server, AttemptOutcome outcome) {
    const bool hasSucceeded = outcome == AttemptOutcome::succeeded;
    if (server.isOrigin()) {
        const bool isStored = hasSucceeded && !request.isWrite() && request.hasKey();
        for (const auto& cacheServer : request.missedAt()) {
            if (isStored)
                cacheServer->hints.insert(request.key());
            else
                cacheServer->hints.remove(request.key());
        }
        return;
    }
    const bool bypassesCaches = settings_.cacheAside && request.isWrite();
    if (outcome == AttemptOutcome::cacheMiss) {
        request.addMiss(server);
        server.hints.remove(request.key());
    } else if (hasSucceeded && request.hasKey() && !bypassesCaches) {
        server.hints.insert(request.key());
    }
}

void RoutingPolicy::reconcile(Nanos now) {
    pollIfDue(now);
    registry_.endGenerations(now);
    statistics_.updatePressure(totalLimiter_, now);
    ranking_.invalidateIfExpired(now);
    queue_.prioritize([&](Request& request) {
        const bool isPreferred = request.isWrite() || selector_.isHinted(request, now);
        return request.requestClass().priorityWeight * (isPreferred ? kPreferredPriorityFactor : 1);
    });
    queue_.beginEstimates(totalLimiter_.hasDecreased(), statistics_.successInterval(now));
    Nanos wakeupAt = pollSchedule_.nextPollAt();
    queue_.visitAll([&](Request& request) { return processWaiting(request, now, wakeupAt); });
    scheduleWakeup(now, wakeupAt);
}

void RoutingPolicy::pollIfDue(Nanos now) {
    if (now < pollSchedule_.nextPollAt()) return;
    pollSchedule_.onPollStarted();
    host_.pollEndpoints();
}

// Returns whether the request still waits. If so, `wakeupAt` is no later than the time of its next
// check.
bool RoutingPolicy::processWaiting(Request& request, Nanos now, Nanos& wakeupAt) {
    if (!request.isClosed()) {
        const CandidateSelector::Selection selection = selector_.select(request, now);
        if (selection.server) {
            startAttempt(request, selection, now);
            return false;
        }
        const Nanos responseDeadline = request.hasFreeRetry()
                                           ? request.deadline()
                                           : std::min(request.objectiveDeadline(), request.deadline());
        const Nanos latestStart = responseDeadline - statistics_.meanLatency(now);
        if (mayWait(request, selection.awaitsFetch, latestStart, now)) {
            wakeupAt = std::min({wakeupAt, latestStart, now + kRecheckInterval});
            return true;
        }
        respondFinally(request, now);
    }
    requests_.erase(request.id());
    return false;
}

bool RoutingPolicy::mayWait(const Request& request, bool awaitsFetch, Nanos latestStart, Nanos now) {
    const bool hasTime = queue_.hasTimeToWait(latestStart - now);
    if (now >= latestStart || request.isUnservable()) return false;
    if (!awaitsFetch && (request.isOverQuota() || !hasTime)) return false;
    if (request.hasFailedAttempt() || retryPolicy_.attemptsLeft(request) <= 0) return false;
    return request.candidates.servers.front() || !registry_.origins().empty();
}

void RoutingPolicy::startAttempt(Request& request, const CandidateSelector::Selection& selection, Nanos now) {
    Server& server = *selection.server;
    if (request.needsRetryCredit(server.isOrigin())) server.retryCredit.spend();
    if (request.tenantUsage() && request.attempts().empty())
        tenantFairness_.recordForwarded(*request.tenantUsage(), now);
    if (settings_.cacheAside && request.isWrite())
        for (Server* cacheServer : registry_.cacheServers()) cacheServer->hints.remove(request.key());
    const bool allowsFreeRetry =
        slowStart_.isWarmingUpAfterReadmission(server, now) && retryPolicy_.mayBeRepeatedInTime(request, now);
    Nanos deadline = retryPolicy_.attemptDeadline(request, server, statistics_, totalLimiter_, now);
    if (allowsFreeRetry)
        deadline = std::min(deadline, retryPolicy_.deadlineBeforeRetry(request, statistics_, now));
    host_.startAttempt(request.id(), server.name(), deadline, request.latestStart());
    request.startAttempt(server, allowsFreeRetry, now);
    server.limiter.onAttemptStarted();
    if (server.isOrigin())
        originFetches_.onAttemptStarted(request);
    else
        totalLimiter_.onAttemptStarted();
    slowStart_.onAttemptStarted(server, selection.isPreferred, now);
    if (server.firstAttempt.isAwaited()) {
        logFirstAttempt(server, selection.isPreferred, now);
        server.endWaitForFirstAttempt(now);
        ranking_.invalidate();
    }
}

void RoutingPolicy::logFirstAttempt(const Server& server, bool isPreferred, Nanos now) {
    host_.log("cache server " + server.name() + " gets its first attempt " +
              std::to_string((now - server.readmittedAt()) / kMillisecond) + " ms after its readmission, " +
              (isPreferred ? "preferred to the candidates of the key" : "as a candidate of the key"));
}

void RoutingPolicy::respondFinally(Request& request, Nanos now) {
    if (retryPolicy_.mayReject(request)) {
        // Up to half of Retry-After is random, since clients with equal values would all retry at
        // the same time.
        const Nanos half = settings_.retryAfterAllowed ? settings_.maxRetryAfter / 2 : 0;
        host_.reject(request.id(), half + random_.jitter(half));
    } else {
        host_.fail(request.id());
    }
    request.close();
    recordZoneOutcome(request, true, now);
}

void RoutingPolicy::scheduleWakeup(Nanos now, Nanos at) {
    if (at == kNever) return;
    const bool isScheduled = wakeupAt_ > now && wakeupAt_ <= at;
    if (isScheduled) return;
    wakeupAt_ = std::max(at, now + 1);
    host_.scheduleWakeup(wakeupAt_);
}

std::vector<EndpointStatus> RoutingPolicy::endpointStatuses(Nanos now) {
    std::vector<EndpointStatus> statuses;
    for (Server* server : registry_.cacheServers()) statuses.push_back(statusOf(*server, now));
    for (Server* server : registry_.origins()) statuses.push_back(statusOf(*server, now));
    return statuses;
}

EndpointStatus RoutingPolicy::statusOf(Server& server, Nanos now) const {
    EndpointStatus status;
    status.name = server.name();
    status.zone = server.endpoint().zone;
    status.state = server.endpoint().state;
    status.isEjectedByOperator = registry_.isEjectedByOperator(server);
    status.isOrigin = server.isOrigin();
    status.inFlight = server.limiter.inFlight();
    status.concurrencyLimit = server.limiter.limit();
    status.warmupFraction = slowStart_.warmupFraction(server, now);
    status.recentOutcomes = server.outcomes.outcomes(now);
    status.recentFailures = server.outcomes.failures(now);
    status.latencyRatio = server.outcomes.latencyRatios(now) / std::max(status.recentOutcomes, 1e-9);
    status.hintedKeys = server.hints.keyCount();
    status.ejectedUntil = server.outcomes.ejectedUntil();
    return status;
}

}  // namespace poppyscale
