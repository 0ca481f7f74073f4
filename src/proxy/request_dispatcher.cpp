#include "proxy/request_dispatcher.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/hash.hpp"
#include "proxy/outcome_text.hpp"

namespace poppyscale::proxy {
namespace {

// Each consumer may take this part (1/n) of the memory limit. The names of removed servers need a
// limit because new servers may keep appearing under new names.
constexpr std::size_t kRemovedServersMemoryDivisor = 32;
constexpr std::size_t kRequestMemoryDivisor = 8;
constexpr std::size_t kResponseMemoryDivisor = 8;

// Servers close a connection that has idled for `serverIdleTimeout`. The router closes it a tenth
// earlier, so that a request that is on its way still arrives in time.
Nanos idleTimeoutBefore(Nanos serverIdleTimeout) { return serverIdleTimeout - serverIdleTimeout / 10; }

bool mayHaveExecuted(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::succeeded || outcome == AttemptOutcome::failed ||
           outcome == AttemptOutcome::timedOut || outcome == AttemptOutcome::connectionLost ||
           outcome == AttemptOutcome::notExecuted;
}

ConnectionPool::Limits limitsOf(const protocol::StartupConfig& config, std::size_t maxConnections) {
    return {.maxConnections = maxConnections,
            .idleTimeout = idleTimeoutBefore(config.serverIdleTimeout),
            .connectTimeout = config.connectTimeout};
}

}  // namespace

RequestDispatcher::RequestDispatcher(transport::EventLoop& loop, transport::BufferPool& buffers,
                                     const protocol::StartupConfig& config, std::size_t maxConnections,
                                     Log log)
    : loop_(loop),
      log_(std::move(log)),
      guard_(log_),
      attemptEnds_(log_),
      requestEnds_(log_),
      responses_(config.memoryLimitBytes / kResponseMemoryDivisor),
      pool_(loop, buffers, *this, guard_, responses_, limitsOf(config, maxConnections)),
      maxOpenRequests_(config.maxOpenRequests),
      maxBufferedBytes_(config.memoryLimitBytes / kRequestMemoryDivisor),
      servers_(pool_, config.policy, config.memoryLimitBytes / kRemovedServersMemoryDivisor, log_),
      wakeup_(loop, [this] { isWakeupDue_ = true; }),
      policy_(config.policy, *this, transport::EventLoop::now()) {
    for (const RequestClass& requestClass : config.policy.requestClasses)
        requestClasses_.emplace(requestClass.name, requestClass);
    RequestDispatcher::onEndpointList(EndpointUpdateKind::cached, config.knownEndpoints);
}

// ---- Requests

RequestDispatcher::AcceptResult RequestDispatcher::accept(ResponseSink& sink, protocol::Request message,
                                                          Nanos arrivedAt, RequestBody* body) {
    // For a request of an unknown class, it is not known whether it may be repeated, nor by when a
    // response is due.
    const auto requestClass = requestClasses_.find(message.requestClass);
    if (requestClass == requestClasses_.end())
        return {nullptr, protocol::RequestProblem::unknownRequestClass};
    // Servers identify requests by their ids: if two requests had the same id, a client could get
    // the response to the other request.
    if (isIdInUse(message.id, requestClass->second.idempotency))
        return {nullptr, protocol::RequestProblem::idInUse};
    if (requests_.size() >= maxOpenRequests_ || requests_.bufferedBytes() >= maxBufferedBytes_) {
        if (metrics_) metrics_->recordRejected(message.requestClass, metrics::Rejection::requestLimit);
        return {};
    }
    if (metrics_) metrics_->recordAccepted(message.requestClass);
    auto request = std::make_unique<PendingRequest>();
    request->acceptedAt = arrivedAt;
    request->sink = &sink;
    request->body = body;
    request->deadline = arrivedAt + message.timeout;
    request->idempotency = requestClass->second.idempotency;
    request->idempotencyKeyTtl = requestClass->second.idempotencyKeyTtl;
    request->message = std::move(message);
    PendingRequest& accepted = requests_.add(std::move(request));
    addEvent(arrivedAt, RequestArrived{&accepted});
    return {&accepted, {}};
}

void RequestDispatcher::onClientDisconnected(PendingRequest& request) {
    abandon(request);
    if (request.attempt) request.attempt->server().withdraw(*request.attempt);
}

void RequestDispatcher::abandon(PendingRequest& request) {
    if (request.sink) requestEnds_.recordClientDisconnected(request, transport::EventLoop::now());
    if (metrics_ && request.sink) metrics_->recordAbandoned(request.message.requestClass);
    request.sink = nullptr;
    request.body = nullptr;
    request.isAbandoned = true;
    addEvent(transport::EventLoop::now(), ClientDisconnected{request.id});
}

// Reads may be executed again.
bool RequestDispatcher::isIdInUse(const std::string& id, Idempotency idempotency) {
    if (requests_.hasClientId(id)) return true;
    return idempotency != Idempotency::safe && recentIds_.contains(hashText(id), transport::EventLoop::now());
}

// A request whose client has left may come again under its id, which the servers have seen.
void RequestDispatcher::remove(PendingRequest& request) {
    const bool mayBeExecutedAgain = request.isAbandoned && request.idempotency != Idempotency::safe &&
                                    request.firstPossiblyExecutedAt != kNever;
    if (mayBeExecutedAgain) recentIds_.add(hashText(request.message.id), transport::EventLoop::now());
    requests_.remove(request.id);
}

bool RequestDispatcher::isAwaited(PendingRequest& request) {
    if (!request.sink) return false;
    if (request.sink->isClientConnected()) return true;
    abandon(request);
    return false;
}

std::vector<RequestStatus> RequestDispatcher::requestStatuses() const {
    const auto serverNames = servers_.names();
    std::vector<RequestStatus> statuses;
    for (const PendingRequest* request : requests_.oldestFirst()) {
        RequestStatus& status = statuses.emplace_back();
        status.id = request->message.id;
        status.requestClass = request->message.requestClass;
        status.tenant = request->message.tenant;
        status.key = request->message.key;
        status.acceptedAt = request->acceptedAt;
        status.deadline = request->deadline;
        status.attemptCount = request->attemptCount;
        status.isAwaited = request->sink != nullptr;
        if (!request->attempt) continue;
        const auto name = serverNames.find(&request->attempt->server());
        if (name != serverNames.end()) status.server = name->second;
        status.sentAt = request->attempt->sentAt();
    }
    return statuses;
}

void RequestDispatcher::failAll() {
    using Kind = FinalResponse::Kind;
    for (auto& [id, request] : requests_.all()) {
        const Kind kind = request->attemptCount == 0 ? Kind::rejected : Kind::failed;
        complete(*request, {kind, {}, 0});
    }
}

void RequestDispatcher::complete(PendingRequest& request, FinalResponse response) {
    ResponseSink* const sink = std::exchange(request.sink, nullptr);
    if (!sink) return;
    requestEnds_.recordFinalResponse(request, textOf(response.kind), transport::EventLoop::now());
    if (metrics_) recordFinalResponse(request, response.kind);
    sink->complete(std::move(response));
}

void RequestDispatcher::recordFinalResponse(const PendingRequest& request, FinalResponse::Kind kind) {
    const std::string& requestClass = request.message.requestClass;
    switch (kind) {
        case FinalResponse::Kind::succeeded:
            return metrics_->recordSucceeded(requestClass, loop_.earliestArrival() - request.acceptedAt);
        case FinalResponse::Kind::failed:
            return metrics_->recordFailed(requestClass);
        case FinalResponse::Kind::rejected:
            return metrics_->recordRejected(requestClass, request.attemptCount
                                                              ? metrics::Rejection::afterAttempt
                                                              : metrics::Rejection::beforeFirstAttempt);
    }
}

// ---- Upstream servers, discovery and operation

void RequestDispatcher::setEjected(const std::string& name, bool ejected) {
    if (!servers_.setEjected(name, ejected)) return;
    addEvent(transport::EventLoop::now(), EjectionChanged{name, ejected});
}

void RequestDispatcher::onEndpointList(EndpointUpdateKind kind, const protocol::EndpointList& list) {
    const Nanos now = transport::EventLoop::now();
    auto endpoints = servers_.update(kind, list, now);
    addEvent(now, EndpointsUpdated{kind, std::move(endpoints)});
}

void RequestDispatcher::onPollFailed() {
    addEvent(transport::EventLoop::now(), EndpointsUpdated{EndpointUpdateKind::failed, {}});
}

// The policy treats a list without changes as a successful poll, which resets its backoff.
void RequestDispatcher::onDiscoveryMoved() {
    addEvent(transport::EventLoop::now(), EndpointsUpdated{EndpointUpdateKind::delta, {}});
}

void RequestDispatcher::enableMetrics(const std::vector<RequestClass>& requestClasses) {
    metrics_ = std::make_unique<metrics::RouterMetrics>(requestClasses);
}

void RequestDispatcher::applyConfig(const protocol::StartupConfig& config) {
    if (metrics_) metrics_->updateRequestClasses(config.policy.requestClasses);
    requestClasses_.clear();
    for (const RequestClass& requestClass : config.policy.requestClasses)
        requestClasses_.emplace(requestClass.name, requestClass);
    maxOpenRequests_ = config.maxOpenRequests;
    pool_.setIdleTimeout(idleTimeoutBefore(config.serverIdleTimeout));
    pool_.setConnectTimeout(config.connectTimeout);
    // The change is queued like other events: events before it occurred under the earlier settings.
    addEvent(transport::EventLoop::now(), SettingsChanged{config.policy});
}

void RequestDispatcher::setLimits(std::size_t memory, std::size_t maxConnections) {
    maxBufferedBytes_ = memory / kRequestMemoryDivisor;
    responses_.setCapacity(memory / kResponseMemoryDivisor);
    pool_.setCapacity(maxConnections);
}

// ---- Events

void RequestDispatcher::runIteration() {
    servers_.sampleClockOffset(transport::EventLoop::now());
    pool_.admitReaders();
    while (isWakeupDue_ || !events_.empty() || pool_.hasFreedCapacity()) {
        isWakeupDue_ = false;
        if (pool_.hasFreedCapacity()) pool_.serveWaiting();
        applyEvents();
        policy_.reconcile(transport::EventLoop::now());
        executeActions();
        const bool isPollRequested = std::exchange(isPollRequested_, false);
        if (isPollRequested && onPollRequested) onPollRequested();
    }
}

void RequestDispatcher::applyEvents() {
    const std::vector<DispatcherEvent> events = std::exchange(events_, {});
    for (const DispatcherEvent& event : events)
        std::visit([&](const auto& payload) { apply(event.occurredAt, payload); }, event.payload);
}

void RequestDispatcher::apply(Nanos occurredAt, const RequestArrived& event) {
    const PendingRequest& request = *event.request;
    const protocol::Request& message = request.message;
    policy_.onRequest(occurredAt,
                      {request.id, message.requestClass, message.tenant, message.key, request.deadline,
                       message.isWrite, message.isRetry, request.body != nullptr});
}

void RequestDispatcher::apply(Nanos occurredAt, const AttemptEnded& event) {
    AttemptResult result = event.result;
    PendingRequest* const request = requests_.find(result.id);
    result.requestCompleted = !request || !request->sink;
    policy_.onAttemptEnded(occurredAt, result);
    if (result.requestCompleted && request) remove(*request);
}

void RequestDispatcher::apply(Nanos occurredAt, const ClientDisconnected& event) {
    policy_.onClientDisconnected(occurredAt, event.id);
    PendingRequest* const request = requests_.find(event.id);
    if (request && !request->attempt) remove(*request);
}

void RequestDispatcher::apply(Nanos occurredAt, const EndpointsUpdated& event) {
    policy_.onEndpointUpdate(occurredAt, event.kind, event.endpoints);
}

void RequestDispatcher::apply(Nanos occurredAt, const SettingsChanged& event) {
    policy_.onSettingsChanged(occurredAt, event.settings);
}

void RequestDispatcher::apply(Nanos occurredAt, const EjectionChanged& event) {
    policy_.onOperatorEjection(occurredAt, event.server, event.isEjected);
}

// ---- Actions

void RequestDispatcher::startAttempt(RequestId id, std::string_view server, Nanos deadline,
                                     Nanos latestStart) {
    actions_.push_back({id, StartAttempt{servers_.find(server), deadline, latestStart}});
}

void RequestDispatcher::reject(RequestId id, Nanos retryAfter) {
    actions_.push_back({id, FinalResponse{FinalResponse::Kind::rejected, {}, retryAfter}});
}

void RequestDispatcher::fail(RequestId id) {
    actions_.push_back({id, FinalResponse{FinalResponse::Kind::failed, {}, 0}});
}

// An action may complete at once and add events, which `runIteration` applies in its next pass.
void RequestDispatcher::executeActions() {
    std::vector<DispatcherAction> actions = std::exchange(actions_, {});
    for (DispatcherAction& action : actions) {
        PendingRequest* const request = requests_.find(action.id);
        if (!request) continue;
        std::visit([&](auto& payload) { execute(*request, payload); }, action.payload);
    }
}

void RequestDispatcher::execute(PendingRequest& request, FinalResponse& response) {
    complete(request, std::move(response));
    remove(request);
}

void RequestDispatcher::execute(PendingRequest& request, StartAttempt& action) {
    const Nanos now = transport::EventLoop::now();
    const int number = request.attemptCount;
    ++request.attemptCount;
    const Nanos deadline = std::min(action.deadline, request.deadline);
    if (const auto reason = blockedBy(action, request, deadline, now)) {
        guard_.recordBlocked(*reason);
        return addEvent(now, AttemptEnded{{request.id, number, AttemptOutcome::notSent, false, 0}});
    }
    if (metrics_) metrics_->recordAttempt(action.server->isOrigin());
    const Attempt::Parameters parameters{.requestId = request.id,
                                         .number = number,
                                         .startedAt = now,
                                         .deadline = deadline,
                                         .requestDeadline = responseDeadline(request),
                                         .latestStart = action.latestStart,
                                         .body = std::exchange(request.body, nullptr)};
    request.attempt = std::make_unique<Attempt>(loop_, request.message, *action.server, parameters);
    action.server->send(*request.attempt);
}

std::optional<BlockedAction> RequestDispatcher::blockedBy(const StartAttempt& action, PendingRequest& request,
                                                          Nanos deadline, Nanos now) {
    if (request.attempt) {
        guard_.reportViolation(
            Invariant::starting,
            "second attempt blocked while one is in flight: request " + request.message.id);
        return BlockedAction::requestClosed;
    }
    if (!action.server) return BlockedAction::serverUnavailable;
    if (deadline - now < protocol::kMinForwardedTimeout) return BlockedAction::deadlinePassed;
    if (!mayRepeat(request, now)) {
        guard_.reportViolation(Invariant::repeating, "repeated attempt blocked: request " +
                                                         request.message.id + " may have executed");
        return BlockedAction::mayNotRepeat;
    }
    if (!isAwaited(request)) return BlockedAction::clientDisconnected;
    return std::nullopt;
}

bool RequestDispatcher::mayRepeat(const PendingRequest& request, Nanos now) {
    if (request.idempotency == Idempotency::safe || request.firstPossiblyExecutedAt == kNever) return true;
    return request.idempotency == Idempotency::idempotentWithKey &&
           now < request.firstPossiblyExecutedAt + request.idempotencyKeyTtl;
}

// ---- Attempts

BodySink* RequestDispatcher::onStreamBegins(Attempt& attempt, std::size_t length, BodySource& source) {
    attempt.onFirstByte(loop_.earliestArrival());
    PendingRequest& request = requests_.at(attempt.requestId());
    ResponseSink* const sink = std::exchange(request.sink, nullptr);
    if (!sink) return nullptr;
    requestEnds_.recordFinalResponse(request, textOf(FinalResponse::Kind::succeeded),
                                     transport::EventLoop::now());
    if (metrics_)
        metrics_->recordSucceeded(request.message.requestClass, attempt.firstByteAt() - request.acceptedAt);
    return &sink->beginStream(length, source);
}

void RequestDispatcher::onAttemptEnded(Attempt& attempt, protocol::AttemptResponse response) {
    PendingRequest& request = requests_.at(attempt.requestId());
    // The duration that counts for the server includes neither the time in which this process did
    // not run, nor that of transferring a long value.
    const Nanos firstByteAt = attempt.firstByteAt();
    const Nanos respondedAt = firstByteAt ? firstByteAt : loop_.earliestArrival();
    const Nanos duration = std::max<Nanos>(respondedAt - attempt.sentAt(), 0);
    if (metrics_) metrics_->recordAttemptEnded(response.outcome, duration);
    attemptEnds_.record(attempt, textOf(response.outcome), transport::EventLoop::now());
    if (mayHaveExecuted(response.outcome))
        request.firstPossiblyExecutedAt = std::min(request.firstPossiblyExecutedAt, attempt.sentAt());
    addEvent(transport::EventLoop::now(), AttemptEnded{{request.id, attempt.number(), response.outcome, false,
                                                        duration, response.readThrough}});
    request.attempt.reset();
    if (response.outcome == AttemptOutcome::succeeded)
        complete(request, {FinalResponse::Kind::succeeded, std::move(response.value), 0});
}

}  // namespace poppyscale::proxy
