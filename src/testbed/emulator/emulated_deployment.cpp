#include "testbed/emulator/emulated_deployment.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>
#include <set>

#include "testbed/emulator/server_state.hpp"

namespace poppyscale::testbed {
namespace {

// When discovery limits polls (DiscoveryPlan::limitsPolls), refusing a poll takes 1 / kRefusalSpeedup
// of the time that answering one takes.
constexpr int kRefusalSpeedup = 30;
constexpr double kMissWorkShare = 0.25;  // work of a read that misses, as a share of that of a hit
constexpr double kHeavyWorkFactor = 10;
constexpr std::size_t kMaxRememberedRequests = 1 << 18;
// How long after the end of a fault that holds up event loops its effects may last.
constexpr Nanos kHoldUpEffect = 500 * kMillisecond;
// How long after its deadline the rest of a response may arrive that the client has begun to receive.
constexpr Nanos kMaxTransferOvertime = 12'000 * kMillisecond;

std::size_t toIndex(int index) { return static_cast<std::size_t>(index); }

// The text of a `sent` event: the timeout that the attempt forwards to its server.
std::string forwardedTimeoutText(const ReceivedAttempt& attempt) {
    if (!attempt.forwardedTimeoutMs) return "";
    return fmt::format("d={} held={}", *attempt.forwardedTimeoutMs, attempt.maxReadDelay / kMillisecond);
}

}  // namespace

EmulatedDeployment::EmulatedDeployment(const Scenario& scenario, std::uint64_t seed, EventLog& eventLog,
                                       Transport& transport)
    : scenario_(scenario),
      eventLog_(eventLog),
      transport_(transport),
      arrivalRandom_(seed * 5 + 1),
      keyRandom_(seed * 5 + 2),
      networkRandom_(seed * 5 + 3),
      serviceRandom_(seed * 5 + 4),
      faultRandom_(seed * 5 + 5),
      zipf_(scenario.load.keyCount, scenario.load.zipfExponent) {
    eventLog_.head(head(seed));
    const auto& zones = scenario_.network.zones;
    EmulatedServer origin;
    origin.name = "origin";
    origin.zone = zones[0];
    origin.origin = true;
    origin.speed = scenario_.origin.speed;
    serverAtAddress_.push_back(0);
    addServer(std::move(origin), 0, false);
    int cacheIndex = 0;
    for (const CachePlan& plan : scenario_.caches)
        for (int i = 0; i < plan.count; ++i, ++cacheIndex) {
            EmulatedServer cache;
            cache.name = fmt::format("{}-{}", plan.name, i);
            cache.addressIndex = static_cast<int>(serverAtAddress_.size());
            cache.zone = zones[toIndex(cacheIndex) % zones.size()];
            cache.cell = cacheIndex / 8;
            cache.plan = &plan;
            cache.speed = plan.speed;
            serverAtAddress_.push_back(static_cast<int>(servers_.size()));
            addServer(std::move(cache), 0, false);
        }
    for (int router = 0; router < scenario_.routers.count; ++router) {
        routers_.emplace_back();
        routers_.back().zone = scenario_.zoneOf(router);
    }
    keyOfRank_.resize(toIndex(scenario_.load.keyCount));
    std::iota(keyOfRank_.begin(), keyOfRank_.end(), 0);
}

EmulatedDeployment::~EmulatedDeployment() = default;

void EmulatedDeployment::log(Nanos now, EventKind kind, std::uint64_t requestId, int router, int server,
                             std::uint64_t attemptId, std::int64_t number, std::string text) {
    eventLog_.add({now, kind, requestId, router, server, attemptId, number, std::move(text)});
}

nlohmann::json EmulatedDeployment::head(std::uint64_t seed) const {
    using nlohmann::json;
    json requestClasses = json::array();
    for (const RequestClassPlan& plan : scenario_.requestClasses)
        requestClasses.push_back({{"name", plan.requestClass.name},
                                  {"effect", static_cast<int>(plan.requestClass.idempotency)},
                                  {"group", static_cast<int>(plan.requestClass.deduplicationScope)},
                                  {"remembered", plan.requestClass.idempotencyKeyTtl},
                                  {"goal", plan.requestClass.latencyObjective},
                                  {"limit", plan.timeout},
                                  {"utility", plan.requestClass.priorityWeight},
                                  {"late", plan.requestClass.lateWeight},
                                  {"write", plan.write}});
    return {{"scenario", scenario_.name},
            {"seed", seed},
            {"length", scenario_.length},
            {"slack", scenario_.slack},
            {"grace", scenario_.drainGrace},
            {"routers", scenario_.routers.count},
            {"moved", scenario_.routers.loadWeightedCount},
            {"machines", scenario_.machines.count},
            {"harmful", scenario_.rollout.isHarmful()},
            {"longest", scenario_.longestTimeout()},
            {"cold",
             {{"share", scenario_.slowStart.initialFraction},
              {"ramp", scenario_.slowStart.rampDuration},
              {"tip", scenario_.slowStart.overloadMultiple},
              {"span", scenario_.slowStart.overloadWindow}}},
            {"originTip", scenario_.origin.overloadMultiple},
            {"bounds",
             {{"goal", scenario_.bounds.goal},
              {"answered", scenario_.bounds.answered},
              {"relays", scenario_.bounds.attempts},
              {"apart", scenario_.bounds.apart},
              {"sent_on", scenario_.bounds.sentOn},
              {"connections", scenario_.bounds.connections},
              {"crossings", scenario_.bounds.crossings},
              {"cold_load", scenario_.bounds.coldLoad},
              {"cold_excess", scenario_.bounds.coldExcess},
              {"cold_falls", scenario_.bounds.coldFalls},
              {"went", scenario_.bounds.went},
              {"undone", scenario_.bounds.undone},
              {"harmed", scenario_.bounds.harmed},
              {"origin_mean", scenario_.bounds.originMean}}},
            {"verbs", std::move(requestClasses)}};
}

void EmulatedDeployment::addServer(EmulatedServer server, Nanos now, bool isCold) {
    ServerModel::Shape shape;
    if (server.origin)
        shape = {scenario_.origin.cores, scenario_.origin.speed, scenario_.origin.queueLimit,
                 scenario_.origin.queueSlowdown};
    else
        shape = {server.plan->cores, server.plan->speed, server.plan->queueLimit, 0};
    const std::size_t keys = server.origin ? 1 : toIndex(server.plan->maxKeys);
    server.startedAt = isCold ? now : 0;
    server.wallClockOffset = wallClockOffset_;
    const auto index = static_cast<int>(servers_.size());
    serverStates_.push_back(
        std::make_unique<ServerState>(shape, keys, std::max<Nanos>(scenario_.slowStart.overloadWindow, 1)));
    log(now, EventKind::serverAdded, 0, -1, index, 0, server.startedAt,
        fmt::format("{} {} {} {} {}", server.name, server.zone, server.cell,
                    server.origin ? "origin" : "cache", shape.cores * shape.speed));
    endpoints_.push_back({index, isCold ? EndpointState::removed : EndpointState::ready, server.startedAt});
    servers_.push_back(std::move(server));
}

std::optional<int> EmulatedDeployment::findServer(const std::string& name) const {
    for (std::size_t i = servers_.size(); i-- > 0;)
        if (servers_[i].name == name) return static_cast<int>(i);
    return std::nullopt;
}

void EmulatedDeployment::begin(Nanos now) {
    beganAt_ = now;
    loadUntil_ = now + scenario_.length;
    for (const FaultPlan& fault : scenario_.faults) scheduleFaults(fault);
    if (scenario_.routers.loadWeightedCount > 0) updateWeights(now);
    events_.schedule(now + arrivalRandom_.interarrivalTime(rateAt(now)),
                     [this](Nanos t) { generateRequest(t); });
}

bool EmulatedDeployment::hasEnded(Nanos now) const { return now > loadUntil_ && openRequests_.empty(); }

// ---- Clients

double EmulatedDeployment::rateAt(Nanos now) {
    using Shape = LoadPlan::Shape;
    const LoadPlan& load = scenario_.load;
    const double elapsed = static_cast<double>(now - beganAt_);
    double deviation = 0;
    switch (load.shape) {
        case Shape::steady:
            break;
        case Shape::bursty:
            deviation =
                std::fmod(elapsed, static_cast<double>(load.period)) < static_cast<double>(load.period) / 4
                    ? 3
                    : -1;
            break;
        case Shape::ramp:
            deviation = 2 * elapsed / static_cast<double>(scenario_.length) - 1;
            break;
        case Shape::wave:
            deviation = std::sin(2 * M_PI * elapsed / static_cast<double>(load.period));
            break;
    }
    return load.meanRate * activeFaults_.loadFactor * std::max(1 + load.amplitude * deviation, 0.02);
}

std::string EmulatedDeployment::drawKey(Nanos now) {
    const LoadPlan& load = scenario_.load;
    // Catches up on the swaps of popularity that are due by now.
    const auto dueSwaps =
        static_cast<int>(load.keyDrift * load.keyCount * static_cast<double>(now - beganAt_) / 1e9);
    for (; keySwaps_ < dueSwaps; ++keySwaps_)
        std::swap(keyOfRank_[toIndex(keyRandom_.integerBelow(load.keyCount))],
                  keyOfRank_[toIndex(keyRandom_.integerBelow(load.keyCount))]);
    const int rank = zipf_.draw(keyRandom_);
    const double draw = keyRandom_.fraction();
    if (draw < activeFaults_.hotKeyShare) return "hot";
    if (draw < activeFaults_.hotKeyShare + activeFaults_.scanShare)
        return fmt::format("scan{}", ++lastScanKey_);
    return fmt::format("k{}", keyOfRank_[toIndex(rank)]);
}

int EmulatedDeployment::pickRouter() {
    std::vector<int> candidates;
    for (std::size_t router = 0; router < routers_.size(); ++router)
        if (routers_[router].isAssumedUp ||
            (routers_[router].isEnding && transport_.hasIdleClient(static_cast<int>(router))))
            candidates.push_back(static_cast<int>(router));
    if (candidates.empty()) return networkRandom_.integerBelow(static_cast<int>(routers_.size()));
    return candidates[toIndex(networkRandom_.integerBelow(static_cast<int>(candidates.size())))];
}

void EmulatedDeployment::generateRequest(Nanos now) {
    if (now >= loadUntil_) return;
    events_.schedule(now + arrivalRandom_.interarrivalTime(rateAt(now)),
                     [this](Nanos t) { generateRequest(t); });
    ClientRequest request;
    request.requestClass = arrivalRandom_.weightedIndex(scenario_.requestClasses,
                                                        [](const RequestClassPlan& v) { return v.share; });
    if (!scenario_.tenants.empty())
        request.tenant =
            arrivalRandom_.weightedIndex(scenario_.tenants, [](const TenantPlan& c) { return c.share; });
    const RequestClassPlan& requestClass = scenario_.requestClasses[toIndex(request.requestClass)];
    request.key = drawKey(now);
    request.work = static_cast<double>(requestClass.work) * arrivalRandom_.factor(requestClass.spread);
    if (arrivalRandom_.chance(activeFaults_.heavyShare)) request.work *= kHeavyWorkFactor;
    if (requestClass.requestClass.idempotency == Idempotency::idempotentWithKey)
        request.idempotencyKey = fmt::format("{:016x}", arrivalRandom_.uint64());
    request.id = request.firstTryId = arrivalRandom_.uint64();
    request.dueAt = now;
    request.deadline = request.finalDeadline = now + requestClass.timeout;
    const bool isImpatient = arrivalRandom_.chance(scenario_.load.impatientShare);
    request.router = pickRouter();
    const RequestId id = request.id;
    const Nanos halfway = now + requestClass.timeout / 2;
    sendRequest(now, std::move(request));
    if (isImpatient) events_.schedule(halfway, [this, id](Nanos t) { abandonRequest(t, id); });
}

void EmulatedDeployment::abandonRequest(Nanos now, RequestId id) {
    const auto it = openRequests_.find(id);
    if (it == openRequests_.end()) return;
    const int router = it->second.router;
    log(now, EventKind::clientDisconnected, id, router, -1, 0, 0);
    openRequests_.erase(it);
    transport_.disconnectClient(router, id);
}

void EmulatedDeployment::sendRequest(Nanos now, ClientRequest request) {
    const RequestId id = request.id;
    const std::string tenant = request.tenant < 0 ? "-" : scenario_.tenants[toIndex(request.tenant)].name;
    log(now, EventKind::requestSent, id, request.router, -1, static_cast<std::uint64_t>(request.dueAt),
        request.deadline,
        fmt::format("{} {} {} {:x} {}",
                    scenario_.requestClasses[toIndex(request.requestClass)].requestClass.name, tenant,
                    request.key, request.firstTryId, request.tryNumber));
    requestWork_[id] = request.work;
    rememberedRequests_.push_back(id);
    if (rememberedRequests_.size() > kMaxRememberedRequests) {
        requestWork_.erase(rememberedRequests_.front());
        missedAt_.erase(rememberedRequests_.front());
        rememberedRequests_.pop_front();
    }
    request.patience = drawPatience();
    events_.schedule(request.deadline + request.patience, [this, id](Nanos t) { expireRequest(t, id); });
    const ClientRequest& openRequest = openRequests_[id] = std::move(request);
    transport_.sendRequest(openRequest);
}

void EmulatedDeployment::expireRequest(Nanos now, RequestId id) {
    const auto it = openRequests_.find(id);
    if (it == openRequests_.end()) return;
    Nanos end = it->second.deadline + it->second.patience + allowedHoldUp(now);
    if (begunResponses_.contains(id)) end = it->second.deadline + kMaxTransferOvertime;
    if (now < end) return events_.schedule(end, [this, id](Nanos t) { expireRequest(t, id); });
    const int router = it->second.router;
    log(now, EventKind::unanswered, id, router, -1, 0, 0);
    openRequests_.erase(it);
    transport_.disconnectClient(router, id);
}

// Without a patience in the scenario, clients stay until their answer does not count any more.
Nanos EmulatedDeployment::drawPatience() {
    const LoadPlan& load = scenario_.load;
    if (load.minPatience <= 0) return scenario_.slack;
    const auto range = static_cast<double>(std::max<Nanos>(load.maxPatience - load.minPatience, 0));
    return load.minPatience + static_cast<Nanos>(range * arrivalRandom_.fraction());
}

// A client can't tell a router that is late from one whose process is held up by a fault.
Nanos EmulatedDeployment::allowedHoldUp(Nanos now) const {
    if (activeFaults_.loopDelay > 0) return activeFaults_.loopDelay;
    return now < loopDelayEndedAt_ + kHoldUpEffect ? lastLoopDelay_ : 0;
}

void EmulatedDeployment::onResponseBegun(Nanos now, RequestId id) {
    const auto it = openRequests_.find(id);
    if (it == openRequests_.end() || !begunResponses_.insert(id).second) return;
    log(now, EventKind::responseBegun, id, it->second.router, -1, 0, 0);
}

void EmulatedDeployment::onSlowReplyCut(Nanos now, int router, const Reply& reply, std::size_t sentBytes,
                                        bool byRouter) {
    log(now, EventKind::slowReplyCut, reply.requestId, router, reply.server, 0,
        static_cast<std::int64_t>(sentBytes), byRouter ? "closed" : "broken");
}

void EmulatedDeployment::onClientOutcome(Nanos now, RequestId id, ClientOutcome outcome,
                                         const std::string& token, Nanos retryAfter) {
    const auto it = openRequests_.find(id);
    if (it == openRequests_.end()) {
        // The request is no longer open. A second final response is logged, so that the audit can
        // judge it.
        static constexpr EventKind kinds[] = {EventKind::answered, EventKind::rejected, EventKind::failed};
        if (outcome != ClientOutcome::unsent && requestWork_.contains(id))
            log(now, kinds[static_cast<int>(outcome)], id, -1, -1, 0, retryAfter, token);
        return;
    }
    const ClientRequest request = std::move(it->second);
    openRequests_.erase(it);
    begunResponses_.erase(id);
    switch (outcome) {
        case ClientOutcome::answered:
            return log(now, EventKind::answered, id, request.router, -1, 0, 0, token);
        case ClientOutcome::rejected:
            log(now, EventKind::rejected, id, request.router, -1, 0, retryAfter);
            return retryLater(now, request,
                              std::max(retryAfter, scenario_.load.initialBackoff << (request.tryNumber - 1)));
        case ClientOutcome::failed:
            log(now, EventKind::failed, id, request.router, -1, 0, 0);
            // The request may have run, so only a request that may run twice is retried.
            if (scenario_.requestClasses[toIndex(request.requestClass)].requestClass.idempotency ==
                Idempotency::safe)
                retryLater(now, request, scenario_.load.initialBackoff << (request.tryNumber - 1));
            return;
        case ClientOutcome::unsent:
            log(now, EventKind::unsent, id, request.router, -1, 0, 0, token);
            if (token.empty() ||
                scenario_.requestClasses[toIndex(request.requestClass)].requestClass.idempotency ==
                    Idempotency::safe)
                retryLater(now, request, kMillisecond);
            return;
    }
}

void EmulatedDeployment::retryLater(Nanos now, const ClientRequest& last, Nanos after) {
    if (last.tryNumber >= scenario_.load.maxTries) return;
    const auto wait =
        static_cast<Nanos>(static_cast<double>(after) * (0.75 + 0.5 * networkRandom_.fraction()));
    const RequestClassPlan& requestClass = scenario_.requestClasses[toIndex(last.requestClass)];
    if (now + wait + requestClass.timeout / 20 > last.finalDeadline) return;
    events_.schedule(now + wait, [this, last](Nanos t) {
        ClientRequest request = last;
        request.id = networkRandom_.uint64();
        ++request.tryNumber;
        request.router = pickRouter();
        sendRequest(t, std::move(request));
    });
}

// ---- Connections and attempts

Nanos EmulatedDeployment::drawNetworkDelay(const std::string& from, const std::string& to) {
    const Nanos mean = from == to ? scenario_.network.sameZoneDelay : scenario_.network.crossZoneDelay;
    return static_cast<Nanos>(static_cast<double>(mean) * networkRandom_.factor(scenario_.network.jitter));
}

bool EmulatedDeployment::isReachable(int router, int server) const {
    if (activeFaults_.cutZone.empty()) return true;
    return (routers_[toIndex(router)].zone == activeFaults_.cutZone) ==
           (servers_[toIndex(server)].zone == activeFaults_.cutZone);
}

AddressState EmulatedDeployment::addressState(int router, int addressIndex) const {
    const int server = serverAtAddress_[toIndex(addressIndex)];
    const ServerState& serverState = *serverStates_[toIndex(server)];
    if (!isReachable(router, server) || serverState.dropsConnects) return AddressState::silent;
    return serverState.condition == ServerCondition::down || serverState.condition == ServerCondition::gone ||
                   serverState.refusesConnects
               ? AddressState::refused
               : AddressState::open;
}

void EmulatedDeployment::updateAddressStates(Nanos) {
    for (int router = 0; router < scenario_.routers.count; ++router)
        for (int address = 0; address < addressCount(); ++address)
            transport_.setAddressState(router, address, addressState(router, address));
}

ConnectionId EmulatedDeployment::beginConnect(Nanos now, int router, int addressIndex) {
    const int server = serverAtAddress_[toIndex(addressIndex)];
    ServerState& serverState = *serverStates_[toIndex(server)];
    const ConnectionId id = ++lastConnectionId_;
    const EmulatedServer& serverInfo = servers_[toIndex(server)];
    const int maxConnections =
        serverInfo.origin ? scenario_.origin.maxConnections : serverInfo.plan->maxConnections;
    AddressState state = addressState(router, addressIndex);
    if (state == AddressState::open && serverState.openConnections >= maxConnections)
        state = AddressState::refused;
    if (state == AddressState::open) {
        connections_[id] = {id, router, server, false, 0, {}};
        ++serverState.openConnections;
        log(now, EventKind::opened, 0, router, server, 0, 0);
        if (!serverInfo.origin)
            serverState.model.addHandshakeWork(static_cast<double>(serverInfo.plan->handshakeWork));
    }
    if (state == AddressState::silent) return id;
    const std::string& zone = routers_[toIndex(router)].zone;
    const Nanos roundTrip = drawNetworkDelay(zone, serverInfo.zone) + drawNetworkDelay(serverInfo.zone, zone);
    events_.schedule(now + roundTrip, [this, id, isAccepted = state == AddressState::open](Nanos) {
        const auto it = connections_.find(id);
        if (it != connections_.end()) it->second.isUp = true;
        if (!isAccepted || it != connections_.end()) transport_.onConnectionOpened(id, isAccepted);
    });
    return id;
}

void EmulatedDeployment::onConnectionClosed(Nanos now, ConnectionId id) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    ServerState& serverState = *serverStates_[toIndex(it->second.server)];
    --serverState.openConnections;
    for (const auto& pending : it->second.pendingReplies) {
        const auto attempt = attempts_.find(pending.attemptId);
        if (attempt == attempts_.end()) continue;
        log(now, EventKind::closed, attempt->second.received.requestId, it->second.router,
            attempt->second.server, pending.attemptId, 0);
        // A queued attempt is dropped. An attempt that runs or is still on its way to the server
        // continues.
        if (serverState.model.removeQueued(pending.attemptId)) attempts_.erase(attempt);
    }
    connections_.erase(it);
}

void EmulatedDeployment::onAttemptReceived(Nanos now, ConnectionId id, const ReceivedAttempt& received) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    ServerConnection& conn = it->second;
    const EmulatedServer& serverInfo = servers_[toIndex(conn.server)];
    ServerState& serverState = *serverStates_[toIndex(conn.server)];
    AttemptInFlight attempt;
    attempt.id = ++lastAttemptId_;
    attempt.connection = id;
    attempt.received = received;
    attempt.server = conn.server;
    const auto work = requestWork_.find(received.requestId);
    attempt.work =
        work != requestWork_.end() ? work->second : static_cast<double>(scenario_.requestClasses[0].work);
    if (serverInfo.origin && !received.write) attempt.work *= scenario_.origin.readWorkFactor;
    const std::uint64_t attemptId = attempt.id;
    log(now, EventKind::attemptSent, received.requestId, conn.router, conn.server, attemptId,
        static_cast<std::int64_t>(attempt.work), forwardedTimeoutText(received));
    attempts_[attemptId] = std::move(attempt);
    conn.pendingReplies.push_back({attemptId, std::nullopt});
    if (!isReachable(conn.router, conn.server)) return;
    conn.lastArrival = std::max(
        conn.lastArrival,
        now + drawNetworkDelay(routers_[toIndex(conn.router)].zone, serverInfo.zone) + serverState.readDelay);
    const std::uint64_t incarnation = serverState.incarnation;
    events_.schedule(conn.lastArrival, [this, attemptId, incarnation](Nanos t) {
        const auto found = attempts_.find(attemptId);
        if (found != attempts_.end() &&
            serverStates_[toIndex(found->second.server)]->incarnation == incarnation)
            onRequestArrived(t, attemptId);
    });
    if (serviceRandom_.chance(serverState.resetShare))
        events_.schedule(
            conn.lastArrival + static_cast<Nanos>(attempts_[attemptId].work / 2 / serverInfo.speed),
            [this, id](Nanos t) { breakConnection(t, id); });
}

void EmulatedDeployment::onRequestArrived(Nanos now, std::uint64_t attemptId) {
    AttemptInFlight& attempt = attempts_.at(attemptId);
    const EmulatedServer& serverInfo = servers_[toIndex(attempt.server)];
    ServerState& serverState = *serverStates_[toIndex(attempt.server)];
    if (serverState.condition != ServerCondition::up) return;
    if (serverState.isDraining) return queueReply(now, attemptId, {Reply::Kind::busy, {}});
    if (serviceRandom_.chance(serverState.errorShare))
        return queueReply(now, attemptId, {Reply::Kind::error, {}});
    if (!serverInfo.origin && !attempt.received.write &&
        !(attempt.isHit = serverState.contents.touch(attempt.received.key)))
        attempt.work *= kMissWorkShare;

    const double capacityFraction = capacityFractionAt(
        now, serverInfo.startedAt, scenario_.slowStart.initialFraction, scenario_.slowStart.rampDuration);
    serverState.recentWork.add(now, attempt.work);
    const double windowCapacity = serverState.model.capacity() *
                                  static_cast<double>(std::max<Nanos>(scenario_.slowStart.overloadWindow, 1));
    const bool isCold = !serverInfo.origin && serverInfo.startedAt > 0 &&
                        now - serverInfo.startedAt < scenario_.slowStart.rampDuration;
    const double overloadMultiple = serverInfo.origin ? scenario_.origin.overloadMultiple
                                    : isCold ? scenario_.slowStart.overloadMultiple * capacityFraction
                                             : 0;
    if (overloadMultiple > 0 && serverState.recentWork.sum(now) > overloadMultiple * windowCapacity) {
        const int server = attempt.server;
        log(now, EventKind::serverOverloaded, 0, -1, server, 0, 0);
        stopServer(now, server);
        if (!serverInfo.origin)
            changeEndpoint(now, server, EndpointState::removed, scenario_.discovery.removalDelay);
        events_.schedule(
            now + (serverInfo.origin ? scenario_.origin.outageDuration : scenario_.slowStart.outageDuration),
            [this, server](Nanos t) { restartServer(t, server); });
        return;
    }
    if (serverState.model.isFull()) return queueReply(now, attemptId, {Reply::Kind::busy, {}});
    serverState.model.enqueue(attemptId, attempt.work);
    startJobs(now, attempt.server);
}

void EmulatedDeployment::startJobs(Nanos now, int server) {
    ServerState& serverState = *serverStates_[toIndex(server)];
    if (serverState.condition != ServerCondition::up) return;
    const EmulatedServer& serverInfo = servers_[toIndex(server)];
    const double pace = capacityFractionAt(now, serverInfo.startedAt,
                                           serverInfo.origin ? 1 : scenario_.slowStart.initialFraction,
                                           scenario_.slowStart.rampDuration) /
                        serverState.slowdown;
    for (const ServerModel::StartedJob& started : serverState.model.startJobs(now, pace)) {
        AttemptInFlight& attempt = attempts_.at(started.job);
        attempt.hasBegun = true;
        for (const RequestClassPlan& plan : scenario_.requestClasses) {
            if (plan.requestClass.name != attempt.received.requestClass ||
                plan.requestClass.idempotency == Idempotency::safe)
                continue;
            // A repeated idempotency key that the deduplication scope still knows has no further
            // effect.
            std::string scope = "all";
            if (plan.requestClass.deduplicationScope == DeduplicationScope::zone)
                scope = "z" + serverInfo.zone;
            if (plan.requestClass.deduplicationScope == DeduplicationScope::cell)
                scope = fmt::format("c{}", serverInfo.cell);
            const bool isRepeat =
                plan.requestClass.idempotency == Idempotency::idempotentWithKey &&
                !attempt.received.idempotencyKey.empty() &&
                !idempotencyRecords_[scope].recordIfNew(now, attempt.received.idempotencyKey,
                                                        now + plan.requestClass.idempotencyKeyTtl);
            if (!isRepeat)
                log(now, EventKind::executionStarted, attempt.received.requestId, -1, server, started.job, 0);
        }
        events_.schedule(started.until, [this, attemptId = started.job, incarnation = serverState.incarnation,
                                         server](Nanos t) {
            if (serverStates_[toIndex(server)]->incarnation == incarnation) finishJob(t, attemptId);
        });
    }
}

void EmulatedDeployment::finishJob(Nanos now, std::uint64_t attemptId) {
    const auto it = attempts_.find(attemptId);
    if (it == attempts_.end()) return;
    AttemptInFlight& attempt = it->second;
    const int server = attempt.server;
    ServerState& serverState = *serverStates_[toIndex(server)];
    const EmulatedServer& serverInfo = servers_[toIndex(server)];
    serverState.model.onJobEnded();
    Reply reply{Reply::Kind::value, fmt::format("v{:x}", attemptId)};
    if (serverInfo.origin) {
        for (std::size_t cache = 1; cache < servers_.size() && attempt.received.write; ++cache)
            serverStates_[cache]->contents.erase(attempt.received.key);
        if (const auto missed = missedAt_.find(attempt.received.requestId);
            missed != missedAt_.end() && !attempt.received.write) {
            for (const int cache : missed->second)
                if (serverStates_[toIndex(cache)]->condition == ServerCondition::up)
                    serverStates_[toIndex(cache)]->contents.insert(attempt.received.key);
            missedAt_.erase(missed);
        }
    } else if (serviceRandom_.chance(serverInfo.plan->errorShare)) {
        reply = {Reply::Kind::error, {}};
    } else if (!attempt.received.write && !attempt.isHit) {
        reply = {Reply::Kind::miss, {}};
        missedAt_[attempt.received.requestId].push_back(server);
    }
    if (serviceRandom_.chance(activeFaults_.malformedShare)) reply = {Reply::Kind::malformed, {}};
    reply.requestId = attempt.received.requestId;
    reply.server = server;
    const bool isSlow = faultRandom_.chance(serverState.slowReplyShare);
    if (isSlow && reply.kind == Reply::Kind::value) reply.delivery = drawSlowDelivery(faultRandom_);
    const bool isStopped = faultRandom_.chance(serverState.stoppedReplyShare);
    if (isStopped && reply.kind == Reply::Kind::value) reply.delivery = drawStoppedDelivery(faultRandom_);
    queueReply(now, attemptId, std::move(reply));
    startJobs(now, server);
}

// Ends an attempt with the server's reply. The reply is sent once all earlier requests of the
// connection have been answered.
void EmulatedDeployment::queueReply(Nanos now, std::uint64_t attemptId, Reply reply) {
    const auto it = attempts_.find(attemptId);
    const AttemptInFlight attempt = std::move(it->second);
    attempts_.erase(it);
    static constexpr std::string_view kinds[] = {"value", "miss", "error", "busy", "spoilt"};
    log(now, EventKind::attemptEnded, attempt.received.requestId, -1, attempt.server, attemptId, 0,
        fmt::format("{} {}", kinds[static_cast<int>(reply.kind)], reply.token));
    const auto conn = connections_.find(attempt.connection);
    if (conn == connections_.end()) return;
    for (auto& pending : conn->second.pendingReplies)
        if (pending.attemptId == attemptId) pending.reply = std::move(reply);
    if (serverStates_[toIndex(attempt.server)]->dropsReplies) return;
    deliverReplies(now, attempt.connection);
}

void EmulatedDeployment::deliverReplies(Nanos now, ConnectionId id) {
    ServerConnection& conn = connections_.at(id);
    while (!conn.pendingReplies.empty() && conn.pendingReplies.front().reply) {
        const Reply reply = std::move(*conn.pendingReplies.front().reply);
        conn.pendingReplies.pop_front();
        if (!isReachable(conn.router, conn.server)) return;
        const Nanos networkDelay =
            drawNetworkDelay(servers_[toIndex(conn.server)].zone, routers_[toIndex(conn.router)].zone);
        events_.schedule(now + networkDelay, [this, id, reply](Nanos t) {
            if (!connections_.contains(id)) return;
            if (reply.delivery.isSlow() || reply.delivery.isStopped())
                log(t, EventKind::slowReplyBegun, reply.requestId, -1, reply.server, 0, 0,
                    describe(reply.delivery));
            transport_.sendReply(id, reply);
        });
    }
}

void EmulatedDeployment::breakConnection(Nanos now, ConnectionId id) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    --serverStates_[toIndex(it->second.server)]->openConnections;
    for (const auto& pending : it->second.pendingReplies)
        if (const auto attempt = attempts_.find(pending.attemptId); attempt != attempts_.end())
            log(now, EventKind::connectionBroken, attempt->second.received.requestId, it->second.router,
                it->second.server, pending.attemptId, 0);
    connections_.erase(it);
    transport_.breakConnection(id);
}

void EmulatedDeployment::breakAllConnections(Nanos now, int server) {
    std::vector<ConnectionId> all;
    for (const auto& [id, conn] : connections_)
        if (conn.server == server) all.push_back(id);
    std::sort(all.begin(), all.end());  // makes the order depend only on the seed
    for (const ConnectionId id : all) breakConnection(now, id);
}

void EmulatedDeployment::stopServer(Nanos now, int server) {
    ServerState& serverState = *serverStates_[toIndex(server)];
    serverState.condition = ServerCondition::down;
    ++serverState.incarnation;
    serverState.model.clear();
    serverState.contents.clear();
    serverState.recentWork.clear();
    breakAllConnections(now, server);
    std::erase_if(attempts_, [&](const auto& item) { return item.second.server == server; });
    updateAddressStates(now);
}

void EmulatedDeployment::restartServer(Nanos now, int server) {
    ServerState& serverState = *serverStates_[toIndex(server)];
    const bool isDown =
        serverState.condition == ServerCondition::down || serverState.condition == ServerCondition::hung;
    if (serverState.condition == ServerCondition::gone || (!isDown && !serverState.isLeaving)) return;
    serverState.condition = ServerCondition::up;
    serverState.isLeaving = serverState.isDraining = false;
    ++serverState.incarnation;
    EmulatedServer& serverInfo = servers_[toIndex(server)];
    if (!serverInfo.origin) serverInfo.startedAt = now;
    serverInfo.wallClockOffset = wallClockOffset_;
    log(now, EventKind::started, 0, -1, server, 0, serverInfo.startedAt);
    updateAddressStates(now);
    if (!serverInfo.origin)
        changeEndpoint(now, server, EndpointState::ready, scenario_.discovery.returnDelay);
}

// ---- Discovery

EndpointListMessage EmulatedDeployment::completeList() const {
    EndpointListMessage list{version_, true, {}};
    for (const ListedEndpoint& line : endpoints_)
        if (line.state != EndpointState::removed) list.lines.push_back(line);
    return list;
}

EndpointListMessage EmulatedDeployment::initialEndpointList(int router) const {
    const RouterState& state = routers_[toIndex(router)];
    if (state.knownEndpoints.empty()) return completeList();
    // Version 0, since the lines may be old: the router's first poll brings every later change.
    EndpointListMessage list{0, true, {}};
    for (const auto& [server, line] : state.knownEndpoints)
        if (line.state != EndpointState::removed) list.lines.push_back(line);
    return list;
}

void EmulatedDeployment::changeEndpoint(Nanos now, int server, EndpointState state, Nanos after) {
    events_.schedule(now + after, [this, server, state](Nanos t) {
        // The server has returned before discovery noticed that it was gone.
        const ServerState& serverState = *serverStates_[toIndex(server)];
        if (state == EndpointState::removed && serverState.condition == ServerCondition::up &&
            !serverState.isLeaving)
            return;
        ListedEndpoint& line = endpoints_[toIndex(server)];
        line.state = state;
        line.startedAt = servers_[toIndex(server)].startedAt;
        changes_.push_back({++version_, line});
        if (scenario_.discovery.assumedKnownAfter > 0)
            events_.schedule(t + scenario_.discovery.assumedKnownAfter,
                             [this, change = changes_.back()](Nanos due) { assumeKnown(due, change); });
        answerLongPolls(t);
    });
}

void EmulatedDeployment::updateWeights(Nanos now) {
    for (ListedEndpoint& line : endpoints_) {
        const EmulatedServer& serverInfo = servers_[toIndex(line.server)];
        if (serverInfo.origin) continue;
        const ServerModel& model = serverStates_[toIndex(line.server)]->model;
        const double held = (model.running() + static_cast<double>(model.queued())) / serverInfo.plan->cores;
        if (std::exchange(line.requestsPerCore, held) != held) changes_.push_back({++version_, line});
    }
    answerLongPolls(now);
    if (now <= loadUntil_)
        events_.schedule(now + scenario_.discovery.weightInterval, [this](Nanos t) { updateWeights(t); });
}

PollId EmulatedDeployment::beginPoll(Nanos now, int router, std::optional<std::int64_t> after, Nanos wait) {
    const PollId poll = ++lastPollId_;
    pendingPolls_[poll] = {router, after, 0};
    if (discoverySilent_) return poll;
    if (activeFaults_.refusedPollShare > 0 && faultRandom_.chance(activeFaults_.refusedPollShare))
        return refuseAfterDelay(now, router, poll), poll;
    if (scenario_.discovery.limitsPolls) endOlderPolls(router, poll);
    const Nanos serviceTime = pollServiceTime();
    discoveryFreeAt_ = std::max(now, discoveryFreeAt_) + serviceTime;
    const bool isLate = discoveryFreeAt_ - now > scenario_.discovery.maxQueueDelay;
    if (isLate && scenario_.discovery.limitsPolls && !discoveryDown_) {
        discoveryFreeAt_ -= serviceTime - serviceTime / kRefusalSpeedup;
        return refuseAfterDelay(now, router, poll), poll;
    }
    if (discoveryDown_ || isLate) {
        if (isLate) discoveryFreeAt_ -= serviceTime;
        events_.schedule(
            now + (discoveryDown_ ? scenario_.network.sameZoneDelay : scenario_.discovery.maxQueueDelay),
            [this, router, poll](Nanos) {
                if (pendingPolls_.erase(poll) > 0) transport_.failPoll(router, poll);
            });
        return poll;
    }
    events_.schedule(discoveryFreeAt_, [this, poll, wait](Nanos t) {
        const auto it = pendingPolls_.find(poll);
        if (it == pendingPolls_.end()) return;
        PendingPoll& pending = it->second;
        if (!pending.after || *pending.after < version_) return answerPoll(t, poll);
        pending.waitsUntil = t + wait;
        events_.schedule(t + wait, [this, poll](Nanos end) {
            const auto due = pendingPolls_.find(poll);
            if (due != pendingPolls_.end() && due->second.waitsUntil > 0) answerPoll(end, poll);
        });
    });
    return poll;
}

Nanos EmulatedDeployment::pollServiceTime() const {
    return static_cast<Nanos>(1e9 / scenario_.discovery.pollRate);
}

void EmulatedDeployment::refuseAfterDelay(Nanos now, int router, PollId poll) {
    events_.schedule(now + scenario_.network.sameZoneDelay, [this, router, poll](Nanos) {
        if (pendingPolls_.erase(poll) > 0) transport_.refusePoll(router, poll);
    });
}

void EmulatedDeployment::endOlderPolls(int router, PollId poll) {
    std::vector<PollId> older;
    for (const auto& [id, pending] : pendingPolls_)
        if (pending.router == router && id != poll) older.push_back(id);
    for (const PollId id : older) {
        pendingPolls_.erase(id);
        transport_.refusePoll(router, id);
    }
}

void EmulatedDeployment::endPoll(PollId poll) { pendingPolls_.erase(poll); }

std::vector<PollId> EmulatedDeployment::pollsByRouter() const {
    std::vector<PollId> polls;
    for (const auto& [id, poll] : pendingPolls_) polls.push_back(id);
    std::stable_sort(polls.begin(), polls.end(), [this](PollId a, PollId b) {
        return pendingPolls_.at(a).router < pendingPolls_.at(b).router;
    });
    return polls;
}

void EmulatedDeployment::answerLongPolls(Nanos now) {
    for (const PollId id : pollsByRouter()) {
        if (pendingPolls_.at(id).waitsUntil <= now) continue;
        if (!scenario_.discovery.limitsPolls) {
            answerPoll(now, id);
            continue;
        }
        pendingPolls_.at(id).waitsUntil = 0;
        discoveryFreeAt_ = std::max(now, discoveryFreeAt_) + pollServiceTime();
        events_.schedule(discoveryFreeAt_, [this, id](Nanos t) {
            if (pendingPolls_.contains(id)) answerPoll(t, id);
        });
    }
}

Nanos EmulatedDeployment::drawPollDelay() {
    if (activeFaults_.pollDelay == 0) return 0;
    return static_cast<Nanos>(static_cast<double>(activeFaults_.pollDelay) *
                              (1 - faultRandom_.fraction() / 4));
}

void EmulatedDeployment::answerPoll(Nanos now, PollId id) {
    PendingPoll& poll = pendingPolls_.at(id);
    EndpointListMessage list{version_, false, {}};
    const std::int64_t knownVersion = poll.after.value_or(0);
    const std::int64_t oldestKnown = changes_.empty() ? version_ : changes_.front().version - 1;
    if (!poll.after || knownVersion < oldestKnown || knownVersion > version_) {
        list = completeList();
    } else {
        for (const EndpointChange& change : changes_)
            if (change.version > knownVersion) list.lines.push_back(change.line);
    }
    poll.waitsUntil = 0;
    events_.schedule(now + drawPollDelay() + scenario_.network.sameZoneDelay, [this, id, list](Nanos t) {
        const auto it = pendingPolls_.find(id);
        if (it == pendingPolls_.end() || discoverySilent_) return;
        const int router = it->second.router;
        pendingPolls_.erase(it);
        onEndpointListDelivered(t, router, list);
        transport_.sendEndpointList(router, id, list);
    });
}

void EmulatedDeployment::onEndpointListDelivered(Nanos now, int router, const EndpointListMessage& list) {
    const auto& known = routers_[toIndex(router)].knownEndpoints;
    if (list.full)
        for (const auto& [server, line] : std::map(known))
            if (std::none_of(list.lines.begin(), list.lines.end(),
                             [&, s = server](const ListedEndpoint& l) { return l.server == s; }))
                recordKnownEndpoint(now, router, {server, EndpointState::removed, line.startedAt},
                                    list.version, false);
    for (const ListedEndpoint& line : list.lines) recordKnownEndpoint(now, router, line, list.version, false);
}

// A list that arrives after a newer one changes nothing.
void EmulatedDeployment::recordKnownEndpoint(Nanos now, int router, const ListedEndpoint& line,
                                             std::int64_t version, bool isAssumed) {
    static constexpr std::string_view states[] = {"gone", "ready", "draining"};
    RouterState& routerState = routers_[toIndex(router)];
    std::int64_t& knownVersion = routerState.knownVersion[line.server];
    if (version < knownVersion) return;
    knownVersion = version;
    const auto it = routerState.knownEndpoints.find(line.server);
    if (it != routerState.knownEndpoints.end() && it->second.state == line.state &&
        it->second.startedAt == line.startedAt)
        return;
    routerState.knownEndpoints[line.server] = line;
    std::string text(states[static_cast<int>(line.state)]);
    if (isAssumed) text += " counted";
    log(now, EventKind::listed, 0, router, line.server, 0, line.startedAt, text);
}

void EmulatedDeployment::assumeKnown(Nanos now, const EndpointChange& change) {
    const Nanos within = scenario_.discovery.assumedKnownAfter;
    if (!isDiscoveryReachable())
        return events_.schedule(now + within, [this, change](Nanos t) { assumeKnown(t, change); });
    if (const Nanos due = discoveryReachableSince_ + within; due > now)
        return events_.schedule(due, [this, change](Nanos t) { assumeKnown(t, change); });
    for (int r = 0; r < scenario_.routers.count; ++r)
        if (routers_[toIndex(r)].isUp) recordKnownEndpoint(now, r, change.line, change.version, true);
}

void EmulatedDeployment::failPolls() {
    for (const PollId id : pollsByRouter()) {
        const int router = pendingPolls_.at(id).router;
        pendingPolls_.erase(id);
        transport_.failPoll(router, id);
    }
}

// ---- Routers

void EmulatedDeployment::onRouterUp(Nanos now, int router) {
    RouterState& state = routers_[toIndex(router)];
    state.isUp = state.isAssumedUp = true;
    log(now, EventKind::up, 0, router, -1, 0, 0, state.zone);
    onEndpointListDelivered(now, router, initialEndpointList(router));
}

void EmulatedDeployment::onRouterStopping(Nanos now, int router, Nanos since) {
    RouterState& state = routers_[toIndex(router)];
    state.isEnding = true;
    log(now, EventKind::stopping, 0, router, -1, 0, since);
    events_.schedule(now + kTerminationDetectionDelay,
                     [this, router, incarnation = state.incarnation](Nanos) {
                         if (routers_[toIndex(router)].incarnation == incarnation)
                             routers_[toIndex(router)].isAssumedUp = false;
                     });
}

void EmulatedDeployment::onRouterGone(Nanos now, int router) {
    RouterState& state = routers_[toIndex(router)];
    state.isUp = false;
    std::erase_if(pendingPolls_, [router](const auto& poll) { return poll.second.router == router; });
    const std::uint64_t incarnation = ++state.incarnation;
    const bool isExpected = std::exchange(state.isEnding, false);
    log(now, EventKind::killed, 0, router, -1, 0, 0, isExpected ? "asked" : "by itself");
    std::vector<ConnectionId> all;
    for (const auto& [id, conn] : connections_)
        if (conn.router == router) all.push_back(id);
    std::sort(all.begin(), all.end());
    for (const ConnectionId id : all) onConnectionClosed(now, id);
    events_.schedule(now + scenario_.routers.failureDetectionDelay, [this, router, incarnation](Nanos) {
        RouterState& current = routers_[toIndex(router)];
        if (current.incarnation == incarnation && !current.isUp) current.isAssumedUp = false;
    });
    events_.schedule(now + scenario_.routers.restartDelay,
                     [this, router](Nanos) { transport_.startRouter(router); });
}

}  // namespace poppyscale::testbed
