#include "proxy/request_dispatcher.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace poppyscale::proxy {
namespace {

// Of the monotonic clock over the machines' wall clock.
Nanos leadOverWallClock() {
    const auto wall = std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return transport::EventLoop::now() - wall.count();
}

// Between two looks at the wall clock for a step of it.
constexpr Nanos kClockLookEvery = 100 * kMillisecond;

// What a command costs beside its words, here and in the module: of short ones it is the most.
constexpr std::size_t kMemoryOfCommand = 1024;

// Servers that are gone are remembered in this part of the memory: their ids are ever new. With the least
// memory that is 1,200 ids of the longest that can be banned.
constexpr std::size_t kKnownServersPart = 32;

// Caches close an idle connection at the settings' time at the latest. A tenth of it is ample for what is
// on its way; a router that sees a cache every ten seconds opens twice as many where it keeps half of it.
Nanos keptFor(Nanos idle) { return idle - idle / 10; }

bool mayHaveExecuted(AttemptOutcome ending) {
    return ending == AttemptOutcome::succeeded || ending == AttemptOutcome::failed ||
           ending == AttemptOutcome::timedOut || ending == AttemptOutcome::connectionLost ||
           ending == AttemptOutcome::notExecuted;
}

std::size_t heldBy(const protocol::Request& said) {
    return kMemoryOfCommand + said.key.size() + said.id.size() + said.info.size() + said.value.size();
}

}  // namespace

RequestDispatcher::RequestDispatcher(transport::EventLoop& loop, transport::BufferPool& pool,
                                     const protocol::StartupConfig& start, std::size_t mostLinks, Log log)
    : loop_(loop),
      log_(std::move(log)),
      guard_(log_),
      pool_{loop,
            pool,
            *this,
            guard_,
            mostLinks,
            keptFor(start.serverIdleTimeout),
            start.connectTimeout,
            {},
            start.memoryLimitBytes / 16},
      maxOpenRequests_(start.maxOpenRequests),
      maxBufferedBytes_(start.memoryLimitBytes / 8),
      originShape_(start.policy.originShape),
      cacheAside_(start.policy.cacheAside),
      removedEndpoints_(start.memoryLimitBytes / kKnownServersPart),
      wakeUp_(loop, [this] { hasPendingWork_ = true; }),
      policy_(start.policy, *this, transport::EventLoop::now()) {
    for (const RequestClass& requestClass : start.policy.requestClasses)
        requestClasses_.emplace(requestClass.name, requestClass);
    RequestDispatcher::onEndpointList(EndpointUpdateKind::cached, start.knownEndpoints);
}

RequestDispatcher::AcceptResult RequestDispatcher::accept(ResponseSink& asker, protocol::Request said,
                                                          Nanos now, RequestBody* body) {
    // Of an unknown verb nobody can say whether it may be repeated, nor by when it is to be answered.
    const auto requestClass = requestClasses_.find(said.requestClass);
    if (requestClass == requestClasses_.end()) return {nullptr, "unknown verb"};
    // Caches and origin tell commands apart by their ids: under one id, one could get what is another's.
    if (clientIds_.contains(said.id)) return {nullptr, "id of an open command"};
    if (requests_.size() >= maxOpenRequests_ || bufferedBytes_ >= maxBufferedBytes_) {
        if (metrics_) metrics_->recordRejected(said.requestClass, metrics::Rejection::requestLimit);
        return {};
    }
    if (metrics_) metrics_->recordAccepted(said.requestClass);
    auto made = std::make_unique<PendingRequest>();
    PendingRequest& command = *made;
    command.id = ++lastId_;
    command.acceptedAt = now;
    command.sink = &asker;
    command.body = body;
    command.deadline = now + said.timeout;
    command.idempotency = requestClass->second.idempotency;
    command.idempotencyKeyTtl = requestClass->second.idempotencyKeyTtl;
    command.message = std::move(said);
    bufferedBytes_ += heldBy(command.message);
    clientIds_.insert(command.message.id);
    requests_.emplace(command.id, std::move(made));
    events_.push_back({now, RequestArrived{&command}});
    return {&command, {}};
}

std::map<std::string, RequestDispatcher::ServerAttempts> RequestDispatcher::attemptsByServer() const {
    std::map<std::string, ServerAttempts> all;
    for (const auto& [name, u] : upstreams_)
        if (!u->isOrigin()) all[name] = {u->attemptCount(), u->isDraining()};
    return all;
}

void RequestDispatcher::enableMetrics(const std::vector<RequestClass>& requestClasses) {
    metrics_ = std::make_unique<metrics::RouterMetrics>(requestClasses);
}

void RequestDispatcher::applyConfig(const protocol::StartupConfig& start) {
    if (metrics_) metrics_->updateRequestClasses(start.policy.requestClasses);
    requestClasses_.clear();
    for (const RequestClass& requestClass : start.policy.requestClasses)
        requestClasses_.emplace(requestClass.name, requestClass);
    maxOpenRequests_ = start.maxOpenRequests;
    pool_.idleTimeout = keptFor(start.serverIdleTimeout);
    pool_.connectTimeout = start.connectTimeout;
    // In its place among the events: what came before it has arrived under the terms before.
    events_.push_back({transport::EventLoop::now(), SettingsChanged{start.policy}});
}

std::vector<RequestStatus> RequestDispatcher::requestStatuses() const {
    std::unordered_map<const UpstreamServer*, std::string_view> names;
    for (const auto& [name, upstream] : upstreams_) names[upstream.get()] = name;
    std::vector<const PendingRequest*> order;
    for (const auto& [id, command] : requests_) order.push_back(command.get());
    std::sort(order.begin(), order.end(),
              [](const PendingRequest* a, const PendingRequest* b) { return a->id < b->id; });
    std::vector<RequestStatus> all;
    for (const PendingRequest* c : order) {
        RequestStatus& s = all.emplace_back();
        s.id = c->message.id;
        s.requestClass = c->message.requestClass;
        s.tenant = c->message.tenant;
        s.key = c->message.key;
        s.since = c->acceptedAt;
        s.deadline = c->deadline;
        s.attemptCount = c->attemptCount;
        s.isAwaited = c->sink != nullptr;
        if (!c->attempt) continue;
        s.server = names[&c->attempt->server];
        s.sentAt = c->attempt->sentAt;
    }
    return all;
}

void RequestDispatcher::onClientDisconnected(PendingRequest& command) {
    abandon(command);
    if (command.attempt) command.attempt->server.withdraw(*command.attempt);
}

void RequestDispatcher::abandon(PendingRequest& command) {
    if (metrics_ && command.sink) metrics_->recordAbandoned(command.message.requestClass);
    command.sink = nullptr;
    command.body = nullptr;
    events_.push_back({transport::EventLoop::now(), ClientDisconnected{command.id}});
}

bool RequestDispatcher::isAwaited(PendingRequest& command) {
    if (!command.sink) return false;
    if (command.sink->isClientConnected()) return true;
    abandon(command);
    return false;
}

void RequestDispatcher::failAll() {
    using Kind = FinalResponse::Kind;
    for (auto& [id, command] : requests_)
        complete(*command, {command->attemptCount == 0 ? Kind::rejected : Kind::failed, {}, 0});
}

void RequestDispatcher::onEndpointList(EndpointUpdateKind kind, const protocol::EndpointList& roster) {
    EndpointsUpdated news{kind, {}};
    const Nanos now = transport::EventLoop::now();
    startTimes_.recordClockOffset(now, leadOverWallClock());
    std::unordered_set<std::string_view> named;
    for (const auto& place : roster.entries) {
        named.insert(place.endpoint.name);
        Endpoint entry = place.endpoint;
        entry.startedAt = startTimes_.startOf(entry.name, place.startedMs, now);
        auto& upstream = upstreams_[entry.name];
        if (!upstream) {
            upstream = std::make_unique<UpstreamServer>(pool_, cacheAside_ && entry.shape == originShape_);
            upstream->setEjected(ejectedServers_.contains(entry.name));
            removedEndpoints_.remove(entry.name);
        }
        const auto address = transport::parseAddress(place.address);
        if (!address && entry.state != EndpointState::removed)
            log_(fmt::format("{} is listed without an address to connect to", entry.name));
        upstream->updateEndpoint(entry.state, address, place.address);
        news.entries.push_back(std::move(entry));
    }
    if (kind != EndpointUpdateKind::delta)
        for (auto& [name, upstream] : upstreams_)
            if (!named.contains(name)) upstream->updateEndpoint(EndpointState::removed, std::nullopt, "");
    std::erase_if(upstreams_, [this](const auto& entry) {
        if (!entry.second->isUnused()) return false;
        removedEndpoints_.add(entry.first);
        startTimes_.forget(entry.first);
        return true;
    });
    events_.push_back({now, std::move(news)});
}

void RequestDispatcher::sampleClockOffset(Nanos now) {
    if (now - clockSampledAt_ < kClockLookEvery) return;
    clockSampledAt_ = now;
    startTimes_.recordClockOffset(now, leadOverWallClock());
}

std::string RequestDispatcher::ejectionProblem(const std::string& name) const {
    const auto it = upstreams_.find(name);
    if (it != upstreams_.end()) return it->second->isOrigin() ? "that is the origin, not a cache" : "";
    const bool known = ejectedServers_.contains(name) || removedEndpoints_.contains(name);
    return known ? "" : "no server of that id was ever listed here";
}

void RequestDispatcher::setEjected(const std::string& name, bool on) {
    if (on ? !ejectedServers_.insert(name).second : ejectedServers_.erase(name) == 0) return;
    const auto it = upstreams_.find(name);
    if (it != upstreams_.end()) it->second->setEjected(on);
    // Known from now on, also when it was told by another process that had it listed.
    if (it == upstreams_.end() && !on) removedEndpoints_.add(name);
    events_.push_back({transport::EventLoop::now(), EjectionChanged{name, on}});
}

void RequestDispatcher::setLimits(std::size_t memory, std::size_t mostLinks) {
    maxBufferedBytes_ = memory / 8;
    pool_.maxBufferedBytes = memory / 16;
    pool_.maxConnections = mostLinks;
    pool_.trim();
}

void RequestDispatcher::onPollFailed() {
    events_.push_back({transport::EventLoop::now(), EndpointsUpdated{EndpointUpdateKind::failed, {}}});
}

// No changes, which is a success to the module: its pauses between tries begin short again.
void RequestDispatcher::onDiscoveryMoved() {
    events_.push_back({transport::EventLoop::now(), EndpointsUpdated{EndpointUpdateKind::delta, {}}});
}

void RequestDispatcher::runIteration() {
    sampleClockOffset(transport::EventLoop::now());
    while (hasPendingWork_ || !events_.empty() || pool_.hasCapacityFreed) {
        hasPendingWork_ = false;
        if (pool_.hasCapacityFreed) pool_.serveWaiting();
        for (const Event& event : std::exchange(events_, {})) applyEvent(event);
        policy_.reconcile(transport::EventLoop::now());
        // What is carried out may end at once and bring events of its own, for the next time round.
        for (Action& action : std::exchange(actions_, {})) execute(action);
        if (std::exchange(pollRequested_, false) && requestPoll) requestPoll();
    }
}

void RequestDispatcher::applyEvent(const Event& event) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event.what)) {
        const PendingRequest& c = *arrived->request;
        policy_.onRequest(event.at, {c.id, c.message.requestClass, c.message.tenant, c.message.key,
                                     c.deadline, c.message.isWrite, c.message.isRetry, c.body != nullptr});
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event.what)) {
        AttemptResult end = ended->end;
        const auto it = requests_.find(end.id);
        end.requestCompleted = it == requests_.end() || !it->second->sink;
        policy_.onAttemptEnded(event.at, end);
        if (end.requestCompleted) forget(end.id);
    } else if (const auto* left = std::get_if<ClientDisconnected>(&event.what)) {
        policy_.onClientDisconnected(event.at, left->id);
        const auto it = requests_.find(left->id);
        if (it != requests_.end() && !it->second->attempt) forget(left->id);
    } else if (const auto* changed = std::get_if<SettingsChanged>(&event.what)) {
        policy_.onSettingsChanged(event.at, changed->settings);
    } else if (const auto* banned = std::get_if<EjectionChanged>(&event.what)) {
        policy_.onOperatorEjection(event.at, banned->name, banned->isEjected);
    } else {
        const auto& news = std::get<EndpointsUpdated>(event.what);
        policy_.onEndpointUpdate(event.at, news.kind, news.entries);
    }
}

void RequestDispatcher::startAttempt(RequestId id, std::string_view cache, Nanos deadline,
                                     Nanos latestStart) {
    const auto it = upstreams_.find(std::string(cache));
    actions_.push_back(
        {id, StartAttempt{it == upstreams_.end() ? nullptr : it->second.get(), deadline, latestStart}});
}

void RequestDispatcher::reject(RequestId id, Nanos retryAfter) {
    actions_.push_back({id, FinalResponse{FinalResponse::Kind::rejected, {}, retryAfter}});
}

void RequestDispatcher::fail(RequestId id) {
    actions_.push_back({id, FinalResponse{FinalResponse::Kind::failed, {}, 0}});
}

void RequestDispatcher::execute(Action& action) {
    const auto it = requests_.find(action.id);
    if (it == requests_.end()) return;
    PendingRequest& command = *it->second;
    if (auto* final = std::get_if<FinalResponse>(&action.what)) {
        complete(command, std::move(*final));
        return forget(action.id);
    }
    const auto& send = std::get<StartAttempt>(action.what);
    const Nanos now = transport::EventLoop::now();
    const int number = command.attemptCount++;
    const Nanos deadline = std::min(send.deadline, command.deadline);
    if (const auto why = blockedBy(send, command, deadline, now)) {
        guard_.recordBlocked(*why);
        events_.push_back({now, AttemptEnded{{command.id, number, AttemptOutcome::notSent, false, 0}}});
        return;
    }
    if (metrics_) metrics_->recordAttempt(send.to->isOrigin());
    command.attempt = std::make_unique<Attempt>(loop_, command.message, *send.to);
    Attempt& attempt = *command.attempt;
    attempt.request = command.id;
    attempt.number = number;
    attempt.sentAt = now;
    attempt.deadline = deadline;
    attempt.latestStart = send.latestStart;
    attempt.body = std::exchange(command.body, nullptr);
    send.to->send(attempt);
}

std::optional<BlockedAction> RequestDispatcher::blockedBy(const StartAttempt& send, PendingRequest& command,
                                                          Nanos deadline, Nanos now) {
    if (command.attempt) {
        guard_.reportViolation(Invariant::starting,
                               "a second attempt beside the one of request " + command.message.id);
        return BlockedAction::requestClosed;
    }
    if (!send.to) return BlockedAction::serverUnavailable;
    if (deadline - now < protocol::kMinForwardedTimeout) return BlockedAction::deadlinePassed;
    if (!mayRepeat(command, now)) {
        guard_.reportViolation(Invariant::repeating,
                               "another attempt of request " + command.message.id + ", which may have run");
        return BlockedAction::mayNotRepeat;
    }
    if (!isAwaited(command)) return BlockedAction::clientDisconnected;
    return std::nullopt;
}

bool RequestDispatcher::mayRepeat(const PendingRequest& command, Nanos now) {
    if (command.idempotency == Idempotency::safe || command.firstPossiblyExecutedAt == kNever) return true;
    return command.idempotency == Idempotency::idempotentWithKey &&
           now < command.firstPossiblyExecutedAt + command.idempotencyKeyTtl;
}

BodySink* RequestDispatcher::onStreamBegins(Attempt& attempt, std::size_t length, BodySource& from) {
    attempt.firstByteAt = loop_.earliestArrival();
    ResponseSink* const asker = std::exchange(requests_.at(attempt.request)->sink, nullptr);
    if (metrics_ && asker) {
        const PendingRequest& command = *requests_.at(attempt.request);
        metrics_->recordSucceeded(command.message.requestClass, attempt.firstByteAt - command.acceptedAt);
    }
    return asker ? &asker->beginStream(length, from) : nullptr;
}

void RequestDispatcher::onAttemptEnded(Attempt& attempt, protocol::AttemptResponse outcome) {
    PendingRequest& command = *requests_.at(attempt.request);
    // What this process was held up for is not the cache's time, nor is what a long value takes on its way.
    const Nanos until = attempt.firstByteAt ? attempt.firstByteAt : loop_.earliestArrival();
    const Nanos spent = std::max<Nanos>(until - attempt.sentAt, 0);
    if (metrics_) metrics_->recordAttemptEnded(outcome.outcome, spent);
    if (mayHaveExecuted(outcome.outcome))
        command.firstPossiblyExecutedAt = std::min(command.firstPossiblyExecutedAt, attempt.sentAt);
    events_.push_back({transport::EventLoop::now(), AttemptEnded{{command.id, attempt.number, outcome.outcome,
                                                                  false, spent, outcome.readThrough}}});
    command.attempt.reset();
    if (outcome.outcome == AttemptOutcome::succeeded)
        complete(command, {FinalResponse::Kind::succeeded, std::move(outcome.value), 0});
}

void RequestDispatcher::complete(PendingRequest& command, FinalResponse final) {
    ResponseSink* const asker = std::exchange(command.sink, nullptr);
    if (!asker) return;
    if (metrics_) {
        using Kind = FinalResponse::Kind;
        const auto& requestClass = command.message.requestClass;
        if (final.kind == Kind::succeeded)
            metrics_->recordSucceeded(requestClass, loop_.earliestArrival() - command.acceptedAt);
        if (final.kind == Kind::failed) metrics_->recordFailed(requestClass);
        if (final.kind == Kind::rejected)
            metrics_->recordRejected(requestClass, command.attemptCount
                                                       ? metrics::Rejection::afterAttempt
                                                       : metrics::Rejection::beforeFirstAttempt);
    }
    asker->complete(std::move(final));
}

void RequestDispatcher::forget(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    bufferedBytes_ -= heldBy(it->second->message);
    clientIds_.erase(it->second->message.id);
    requests_.erase(it);
}

}  // namespace poppyscale::proxy
