#include "testbed/drivers/simulated/simulated_run.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

#include "metrics/router_metrics.hpp"
#include "policy/routing_policy.hpp"
#include "testbed/emulator/emulated_deployment.hpp"

namespace poppyscale::testbed {
namespace {

// Added to virtual time for the policy, to which a time of 0 means long ago.
constexpr Nanos kClockOffset = 1'000'000'000 * kMillisecond;
// How long a router still accepts requests after it was asked to terminate.
constexpr Nanos kTerminationNotice = 480 * kMillisecond;

class SimulatedRun;

// One router: the routing policy and the smallest host that it needs. The effects of real sockets show only
// in the live driver.
class SimulatedRouter : private PolicyHost {
  public:
    SimulatedRouter(SimulatedRun& run, int index, int slot, std::uint64_t seed, Nanos now,
                    const RouterDefect& defect);

    void onRequest(const ClientRequest& request);
    void onClientDisconnected(RequestId id);
    void onConnectionOpened(ConnectionId id, bool isOpen);
    void onReply(ConnectionId id, const Reply& reply);
    void onConnectionBroken(ConnectionId id);
    void onEndpointList(Nanos now, EndpointUpdateKind kind, const EndpointListMessage& list);
    void beginDraining(Nanos now);
    void runIteration(Nanos now);
    bool isFinished(Nanos now) const {
        return stopAcceptingAt_ && now >= stopAcceptingAt_ && requests_.empty();
    }
    bool isAccepting(Nanos now) const { return !stopAcceptingAt_ || now < stopAcceptingAt_; }
    void abandonAttempt(ConnectionId conn, RequestId id, int number, bool onlyIfUnwritten);
    void onIdleTimeout(ConnectionId conn, Nanos since);
    void abortAllRequests(Nanos now);
    void restartLongPoll(Nanos now);
    void startLongPoll(Nanos now, std::optional<std::int64_t> after);
    bool hasRequest(RequestId id) const { return requests_.contains(id); }
    int index() const { return index_; }
    nlohmann::json metricsJson(Nanos now) const;

  private:
    struct AttemptInFlight {
        int server;
        ConnectionId conn;
        Nanos sentAt;
        int number;
        bool isWritten = false;
    };
    struct OpenRequest {
        ClientRequest clientRequest;
        Nanos acceptedAt = 0;
        bool isClientDone = false;
        int attemptCount = 0;
        std::optional<AttemptInFlight> attempt;
    };
    struct StartAttempt {
        std::string cache;
        Nanos deadline, latestStart;
    };
    struct SendResponse {
        EmulatedDeployment::ClientOutcome outcome;
        Nanos retryAfter;
    };
    struct Action {
        RequestId id;
        std::variant<StartAttempt, SendResponse> operation;
    };
    struct UpstreamConnection {
        int address;
        RequestId requestId = 0;
        bool isOpen = false;
        Nanos idleSince = 0;
    };

    void startAttempt(RequestId id, std::string_view cache, Nanos deadline, Nanos latestStart) override {
        actions_.push_back(
            {id, StartAttempt{std::string(cache), deadline - kClockOffset, latestStart - kClockOffset}});
    }
    void reject(RequestId id, Nanos retryAfter) override {
        actions_.push_back({id, SendResponse{EmulatedDeployment::ClientOutcome::rejected, retryAfter}});
    }
    void fail(RequestId id) override {
        actions_.push_back({id, SendResponse{EmulatedDeployment::ClientOutcome::failed, 0}});
    }
    void scheduleWakeup(Nanos at) override;
    void pollEndpoints() override { isPollRequested_ = true; }
    void log(std::string_view) override {}

    void sendAttempt(Nanos now, RequestId id, OpenRequest& request, const StartAttempt& attempt);
    void endAttempt(Nanos now, RequestId id, AttemptOutcome outcome);
    void writeRequest(Nanos now, ConnectionId conn, OpenRequest& request);
    void closeConnection(Nanos now, ConnectionId conn);
    void returnToPool(ConnectionId conn, UpstreamConnection& connection);
    bool drawDefect(RouterDefect::Kind kind);
    void answerClient(Nanos now, RequestId id, const OpenRequest& request, const std::string& token);
    void retryNeedlessly(Nanos now, const OpenRequest& request);
    std::string_view requestClassName(const OpenRequest& request) const;

    SimulatedRun& run_;
    int index_;
    PollId endpointPoll_ = 0;
    int slot_;  // index in SimulatedRun::routers_; each process of a router has its own
    Nanos startedAt_;
    RouterDefect defect_;
    std::unique_ptr<metrics::RouterMetrics> metrics_;
    std::uint64_t openedCount_ = 0;
    // Needless fetches by connection; the connection may still be opening.
    std::unordered_map<ConnectionId, ReceivedAttempt> needlessFetches_;
    Random random_;
    std::unordered_map<RequestId, OpenRequest> requests_;
    std::unordered_map<ConnectionId, UpstreamConnection> connections_;
    std::unordered_map<int, std::vector<ConnectionId>> idleConnections_;  // keyed by address
    std::vector<std::function<void(Nanos)>> events_;                      // policy events, in order
    std::vector<Action> actions_;
    std::int64_t listVersion_ = 0;
    Nanos stopAcceptingAt_ = 0;
    bool isPollRequested_ = false;
    RoutingPolicy policy_;
};

class SimulatedRun : public Transport, private SimulatedFleet {
  public:
    SimulatedRun(const Scenario& scenario, std::uint64_t seed, EventLog& eventLog,
                 const SimulatedRunOptions& options)
        : seed(seed),
          deployment(scenario, seed, eventLog, *this),
          options_(options),
          slotByRouter_(static_cast<std::size_t>(scenario.routers.count), -1) {}

    void execute(const std::function<void(Nanos)>& progress) {
        const Scenario& scenario = deployment.scenario();
        for (int r = 0; r < scenario.routers.count; ++r) startRouter(r);
        if (options_.onStart) options_.onStart(*this);
        deployment.begin(0);
        Nanos reportedAt = 0;
        const Nanos end = scenario.length + scenario.longestTimeout() + scenario.slack + 1'000 * kMillisecond;
        reconcile();
        while (now < end && !deployment.hasEnded(now) && !isRunFinished_) {
            now = deployment.nextEventAt();
            deployment.step(now);
            reconcile();
            if (progress && now - reportedAt > 1'000 * kMillisecond) progress(reportedAt = now);
        }
    }
    void markDirty(int slot) {
        if (slot >= 0 && !std::exchange(isDirty_[static_cast<std::size_t>(slot)], 1))
            dirtySlots_.push_back(slot);
    }
    bool hasMetrics() const { return static_cast<bool>(options_.onStart); }
    PolicySettings settingsFor(int router, std::uint64_t routerSeed) const {
        PolicySettings settings = policySettingsOf(deployment.scenario(), router, routerSeed);
        if (options_.misconfigure) options_.misconfigure(settings);
        return settings;
    }
    void countAffectedRequest() { ++affectedRequestCount_; }

    void sendRequest(const ClientRequest& request) override {
        ++requestCount_;
        const int slot = slotOf(request.router);
        SimulatedRouter* const target = routerAt(slot);
        if (target && target->isAccepting(now)) {
            markDirty(slot);
            return target->onRequest(request);
        }
        deployment.schedule(
            now + deployment.scenario().network.sameZoneDelay, [this, id = request.id](Nanos t) {
                deployment.onClientOutcome(t, id, EmulatedDeployment::ClientOutcome::unsent, "", 0);
            });
    }
    void disconnectClient(int router, RequestId id) override {
        for (std::size_t slot = 0; slot < routers_.size(); ++slot)
            if (routers_[slot] && routers_[slot]->index() == router && routers_[slot]->hasRequest(id))
                routers_[slot]->onClientDisconnected(id), markDirty(static_cast<int>(slot));
    }
    void onConnectionOpened(ConnectionId conn, bool isOpen) override {
        if (SimulatedRouter* const target = ownerOf(conn)) target->onConnectionOpened(conn, isOpen);
    }
    void sendReply(ConnectionId conn, const Reply& reply) override {
        if (SimulatedRouter* const target = ownerOf(conn)) target->onReply(conn, reply);
    }
    void breakConnection(ConnectionId conn) override {
        if (SimulatedRouter* const target = ownerOf(conn)) target->onConnectionBroken(conn);
    }
    void setAddressState(int, int, AddressState) override {}
    void sendEndpointList(int router, PollId, const EndpointListMessage& list) override {
        SimulatedRouter* const target = routerAt(slotOf(router));
        if (!target) return;
        markDirty(slotOf(router));
        target->onEndpointList(now, list.full ? EndpointUpdateKind::complete : EndpointUpdateKind::delta,
                               list);
    }
    void failPoll(int router, PollId) override {
        SimulatedRouter* const target = routerAt(slotOf(router));
        if (!target) return;
        markDirty(slotOf(router));
        target->onEndpointList(now, EndpointUpdateKind::failed, {});
    }
    void moveDiscovery(int) override {
        for (auto& r : routers_)
            if (r) r->restartLongPoll(now);
    }
    void killRouter(int router) override {
        const int slot = slotOf(router);
        if (!routerAt(slot)) return;
        routerAt(slot)->abortAllRequests(now);
        removeRouter(slot);
    }
    void startRouter(int router) override {
        if (routerAt(slotOf(router))) return;
        deployment.onRouterUp(now, router);
        addRouter(router, {});
    }
    void terminateRouter(int router) override {
        const int slot = slotOf(router);
        if (SimulatedRouter* const target = routerAt(slot)) {
            target->beginDraining(now);
            markDirty(slot);
            deployment.schedule(now + kTerminationNotice, [this, slot](Nanos) { markDirty(slot); });
            const Nanos latest =
                now + kTerminationNotice + deployment.scenario().longestTimeout() + 200 * kMillisecond;
            deployment.schedule(latest, [this, slot](Nanos t) {
                if (SimulatedRouter* const stopping = routerAt(slot); stopping && !stopping->isAccepting(t))
                    stopping->abortAllRequests(now), removeRouter(slot);
            });
        }
    }
    void reloadRouter(int) override {}
    void upgradeRouter(int) override {}  // a hot restart needs real processes
    void abandonAttempt(int slot, ConnectionId conn, RequestId id, int number, bool onlyIfUnwritten) {
        if (SimulatedRouter* const target = routerAt(slot))
            target->abandonAttempt(conn, id, number, onlyIfUnwritten);
    }
    SimulatedRouter* routerAt(int slot) {
        return slot < 0 ? nullptr : routers_[static_cast<std::size_t>(slot)].get();
    }
    void onIdleTimeout(int slot, ConnectionId conn, Nanos since) {
        if (SimulatedRouter* const target = routerAt(slot)) target->onIdleTimeout(conn, since);
    }

    Nanos now = 0;
    const std::uint64_t seed;
    std::unordered_map<ConnectionId, int> connectionOwners;  // by connection: the slot of its router
    EmulatedDeployment deployment;

  private:
    int slotOf(int router) const { return slotByRouter_[static_cast<std::size_t>(router)]; }
    void addRouter(int router, const RouterDefect& defect) {
        const auto slot = static_cast<int>(routers_.size());
        slotByRouter_[static_cast<std::size_t>(router)] = slot;
        isDirty_.push_back(0);
        routers_.push_back(
            std::make_unique<SimulatedRouter>(*this, router, slot, seed * 1000 + ++startCount_, now, defect));
        routers_.back()->onEndpointList(now, EndpointUpdateKind::cached,
                                        deployment.initialEndpointList(router));
        markDirty(slot);
    }
    // ---- SimulatedFleet
    Nanos time() const override { return now; }
    void schedule(Nanos when, std::function<void(Nanos)> callback) override {
        deployment.schedule(when, std::move(callback));
    }
    nlohmann::json metricsJson(int router) override {
        const int slot = slotOf(router);
        auto json = routerAt(slot) ? routerAt(slot)->metricsJson(now) : nlohmann::json();
        if (json.is_object()) json["pid"] = slot + 1;
        return json;
    }
    void replaceRouter(int router, bool isDefective) override {
        const int oldSlot = slotOf(router);
        if (SimulatedRouter* const target = routerAt(oldSlot)) {
            // The old process accepts nothing any more, and ends once its requests are answered.
            target->beginDraining(now - kTerminationNotice);
            markDirty(oldSlot);
        }
        addRouter(router, isDefective ? options_.defect : RouterDefect{});
    }
    void finish() override { isRunFinished_ = true; }
    long requestCount() const override { return requestCount_; }
    long affectedRequestCount() const override { return affectedRequestCount_; }
    SimulatedRouter* ownerOf(ConnectionId conn) {
        const auto it = connectionOwners.find(conn);
        if (it == connectionOwners.end()) return nullptr;
        markDirty(it->second);
        return routerAt(it->second);
    }
    void removeRouter(int slot) {
        const int router = routerAt(slot)->index();
        routers_[static_cast<std::size_t>(slot)].reset();
        std::vector<ConnectionId> conns;
        std::erase_if(connectionOwners, [&](const auto& item) {
            if (item.second == slot) conns.push_back(item.first);
            return item.second == slot;
        });
        if (slotOf(router) == slot) {
            slotByRouter_[static_cast<std::size_t>(router)] = -1;
            return deployment.onRouterGone(now, router);
        }
        // Another process has taken the router's place, so only this one's connections close.
        std::sort(conns.begin(), conns.end());
        for (const ConnectionId conn : conns) deployment.onConnectionClosed(now, conn);
    }
    void reconcile() {
        // Routers run in slot order, so that a run is reproducible.
        while (!dirtySlots_.empty()) {
            std::vector<int> slots;
            slots.swap(dirtySlots_);
            std::sort(slots.begin(), slots.end());
            for (const int slot : slots) {
                isDirty_[static_cast<std::size_t>(slot)] = 0;
                if (SimulatedRouter* const router = routerAt(slot)) {
                    router->runIteration(now);
                    if (router->isFinished(now)) router->abortAllRequests(now), removeRouter(slot);
                }
            }
        }
    }

    const SimulatedRunOptions& options_;
    std::vector<std::unique_ptr<SimulatedRouter>> routers_;  // routers by slot
    std::vector<int> slotByRouter_;                          // slot by router; -1: router down
    std::vector<char> isDirty_;
    long requestCount_ = 0, affectedRequestCount_ = 0;
    bool isRunFinished_ = false;
    std::vector<int> dirtySlots_;
    std::uint64_t startCount_ = 0;
};

SimulatedRouter::SimulatedRouter(SimulatedRun& run, int index, int slot, std::uint64_t seed, Nanos now,
                                 const RouterDefect& defect)
    : run_(run),
      index_(index),
      slot_(slot),
      startedAt_(now),
      defect_(defect),
      random_(seed * 7 + 1),
      policy_(run.settingsFor(index, seed), *this, kClockOffset + now) {
    if (!run.hasMetrics()) return;
    metrics_ = std::make_unique<metrics::RouterMetrics>(run.settingsFor(index, seed).requestClasses);
}

bool SimulatedRouter::drawDefect(RouterDefect::Kind kind) {
    if (defect_.kind != kind || !random_.chance(defect_.size)) return false;
    run_.countAffectedRequest();
    return true;
}

std::string_view SimulatedRouter::requestClassName(const OpenRequest& request) const {
    return run_.deployment.scenario()
        .requestClasses[static_cast<std::size_t>(request.clientRequest.requestClass)]
        .requestClass.name;
}

nlohmann::json SimulatedRouter::metricsJson(Nanos now) const {
    if (!metrics_) return {};
    auto json = metrics_->json();
    int ready = 0, listed = 0;
    for (const auto& s : run_.deployment.servers()) listed += !s.origin;
    for (const ListedEndpoint& line : run_.deployment.initialEndpointList(index_).lines)
        ready += line.state == EndpointState::ready &&
                 !run_.deployment.servers()[static_cast<std::size_t>(line.server)].origin;
    json.update({{"program", "sim"},
                 {"zone", run_.deployment.routerZone(index_)},
                 {"up_ms", (now - startedAt_) / kMillisecond},
                 {"open", requests_.size()},
                 {"links", connections_.size()},
                 {"links_opened", openedCount_},
                 {"caches_ready", ready},
                 {"caches_listed", listed},
                 {"memory_kb", 0},
                 {"descriptors", connections_.size()}});
    return json;
}

void SimulatedRouter::scheduleWakeup(Nanos at) {
    run_.deployment.schedule(at - kClockOffset, [&run = run_, slot = slot_](Nanos) { run.markDirty(slot); });
}

void SimulatedRouter::onRequest(const ClientRequest& request) {
    const Scenario& scenario = run_.deployment.scenario();
    const auto& requestClass =
        scenario.requestClasses[static_cast<std::size_t>(request.requestClass)].requestClass.name;
    if (requests_.size() >= scenario.routers.maxOpenRequests || drawDefect(RouterDefect::Kind::rejects)) {
        if (metrics_) metrics_->recordRejected(requestClass, metrics::Rejection::requestLimit);
        run_.deployment.schedule(run_.now, [&run = run_, id = request.id](Nanos t) {
            run.deployment.onClientOutcome(t, id, EmulatedDeployment::ClientOutcome::rejected, "", 0);
        });
        return;
    }
    if (metrics_) metrics_->recordAccepted(requestClass);
    requests_[request.id] = {request, run_.now, false, 0, {}};
    if (drawDefect(RouterDefect::Kind::silent)) return;
    events_.push_back([this, id = request.id](Nanos now) {
        const auto it = requests_.find(id);
        if (it == requests_.end()) return;
        const ClientRequest& clientRequest = it->second.clientRequest;
        const Scenario& plan = run_.deployment.scenario();
        const RequestClassPlan& requestClass =
            plan.requestClasses[static_cast<std::size_t>(clientRequest.requestClass)];
        const std::string_view tenant =
            clientRequest.tenant < 0 ? std::string_view{}
                                     : plan.tenants[static_cast<std::size_t>(clientRequest.tenant)].name;
        policy_.onRequest(now + kClockOffset, {id, requestClass.requestClass.name, tenant, clientRequest.key,
                                               clientRequest.deadline + kClockOffset, requestClass.write});
    });
}

void SimulatedRouter::onClientDisconnected(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    if (metrics_ && !it->second.isClientDone) metrics_->recordAbandoned(requestClassName(it->second));
    it->second.isClientDone = true;
    events_.push_back([this, id](Nanos now) { policy_.onClientDisconnected(now + kClockOffset, id); });
    if (!it->second.attempt) return void(requests_.erase(it));
    if (it->second.attempt->isWritten) return;
    closeConnection(run_.now, it->second.attempt->conn);
    endAttempt(run_.now, id, AttemptOutcome::notSent);
}

void SimulatedRouter::onEndpointList(Nanos, EndpointUpdateKind kind, const EndpointListMessage& list) {
    std::vector<Endpoint> entries;
    for (const ListedEndpoint& line : list.lines) {
        const EmulatedDeployment::EmulatedServer& server =
            run_.deployment.servers()[static_cast<std::size_t>(line.server)];
        entries.push_back(
            {server.name, server.zone, server.origin ? "origin" : "cache", line.state,
             line.startedAt ? line.startedAt + kClockOffset : 0,
             (server.plan ? server.plan->cores * server.plan->speed : 1) / (1 + line.requestsPerCore),
             server.cell});
        if (line.state == EndpointState::ready) continue;
        for (const ConnectionId conn : std::exchange(idleConnections_[server.addressIndex], {}))
            closeConnection(run_.now, conn);
    }
    if (kind != EndpointUpdateKind::failed) listVersion_ = list.version;
    events_.push_back(
        [this, kind, entries](Nanos now) { policy_.onEndpointUpdate(now + kClockOffset, kind, entries); });
    if (kind == EndpointUpdateKind::failed) return;
    run_.deployment.schedule(
        run_.now, [&run = run_, index = index_, slot = slot_, version = listVersion_](Nanos now) {
            if (SimulatedRouter* const router = run.routerAt(slot); router && router->index_ == index)
                router->startLongPoll(now, version);
        });
}

void SimulatedRouter::restartLongPoll(Nanos now) { startLongPoll(now, std::nullopt); }

// One poll at a time: a new poll replaces the one in flight.
void SimulatedRouter::startLongPoll(Nanos now, std::optional<std::int64_t> after) {
    run_.deployment.endPoll(endpointPoll_);
    endpointPoll_ =
        run_.deployment.beginPoll(now, index_, after, run_.deployment.scenario().discovery.pollInterval);
}

void SimulatedRouter::beginDraining(Nanos now) { stopAcceptingAt_ = now + kTerminationNotice; }

void SimulatedRouter::runIteration(Nanos now) {
    do {
        for (auto& event : std::exchange(events_, {})) event(now);
        policy_.reconcile(now + kClockOffset);
        for (const Action& action : std::exchange(actions_, {})) {
            const auto it = requests_.find(action.id);
            if (it == requests_.end()) continue;
            if (const auto* response = std::get_if<SendResponse>(&action.operation)) {
                const bool isClientDone = it->second.isClientDone;
                if (metrics_ && !isClientDone &&
                    response->outcome == EmulatedDeployment::ClientOutcome::rejected)
                    metrics_->recordRejected(requestClassName(it->second),
                                             it->second.attemptCount
                                                 ? metrics::Rejection::afterAttempt
                                                 : metrics::Rejection::beforeFirstAttempt);
                if (metrics_ && !isClientDone &&
                    response->outcome == EmulatedDeployment::ClientOutcome::failed)
                    metrics_->recordFailed(requestClassName(it->second));
                requests_.erase(it);
                if (!isClientDone)
                    run_.deployment.onClientOutcome(now, action.id, response->outcome, "",
                                                    response->retryAfter);
            } else {
                sendAttempt(now, action.id, it->second, std::get<StartAttempt>(action.operation));
            }
        }
    } while (!events_.empty());
    if (std::exchange(isPollRequested_, false))
        startLongPoll(now, listVersion_ ? std::optional(listVersion_) : std::nullopt);
}

void SimulatedRouter::sendAttempt(Nanos now, RequestId id, OpenRequest& request,
                                  const StartAttempt& attempt) {
    EmulatedDeployment& deployment = run_.deployment;
    const int number = request.attemptCount++;
    const Nanos deadline = std::min(attempt.deadline, request.clientRequest.deadline);
    const auto server = deployment.findServer(attempt.cache);
    if (!server || now >= deadline) {
        events_.push_back([this, id, number](Nanos t) {
            policy_.onAttemptEnded(t + kClockOffset, {id, number, AttemptOutcome::notSent, false, 0});
        });
        return;
    }
    const int address = deployment.servers()[static_cast<std::size_t>(*server)].addressIndex;
    if (metrics_) metrics_->recordAttempt(address == 0);
    auto& idle = idleConnections_[address];
    ConnectionId conn = 0;
    if (!idle.empty()) {
        conn = idle.back();
        idle.pop_back();
    } else {
        conn = deployment.beginConnect(now, index_, address);
        ++openedCount_;
        run_.connectionOwners[conn] = slot_;
        connections_[conn] = {address, 0, false};
        deployment.schedule(now + deployment.scenario().routers.connectTimeout,
                            [&run = run_, conn, slot = slot_](Nanos) {
                                const auto it = run.connectionOwners.find(conn);
                                if (it != run.connectionOwners.end())
                                    run.onConnectionOpened(conn, false), run.markDirty(slot);
                            });
    }
    UpstreamConnection& connection = connections_.at(conn);
    connection.requestId = id;
    request.attempt = AttemptInFlight{*server, conn, now, number};
    if (connection.isOpen) writeRequest(now, conn, request);
    for (const Nanos until : {attempt.latestStart, deadline}) {
        if (until > deadline) continue;
        deployment.schedule(
            until, [&run = run_, conn, id, number, slot = slot_, onlyIfUnwritten = until < deadline](Nanos) {
                const auto it = run.connectionOwners.find(conn);
                if (it == run.connectionOwners.end()) return;
                run.markDirty(slot);
                run.abandonAttempt(slot, conn, id, number, onlyIfUnwritten);
            });
    }
}

void SimulatedRouter::writeRequest(Nanos now, ConnectionId conn, OpenRequest& request) {
    request.attempt->isWritten = true;
    const RequestClassPlan& requestClass =
        run_.deployment.scenario()
            .requestClasses[static_cast<std::size_t>(request.clientRequest.requestClass)];
    run_.deployment.onAttemptReceived(
        now, conn,
        {request.clientRequest.id, request.clientRequest.key, requestClass.requestClass.name,
         request.clientRequest.idempotencyKey, requestClass.write});
}

// `onlyIfUnwritten`: ends the attempt only if it still waits for its connection.
void SimulatedRouter::abandonAttempt(ConnectionId conn, RequestId id, int number, bool onlyIfUnwritten) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.attempt || it->second.attempt->conn != conn ||
        it->second.attempt->number != number || (onlyIfUnwritten && it->second.attempt->isWritten))
        return;
    const AttemptOutcome outcome =
        it->second.attempt->isWritten ? AttemptOutcome::timedOut : AttemptOutcome::connectFailed;
    closeConnection(run_.now, conn);
    endAttempt(run_.now, id, outcome);
}

// Sends a request to the origin whose answer is not used.
void SimulatedRouter::retryNeedlessly(Nanos now, const OpenRequest& request) {
    const ConnectionId conn = run_.deployment.beginConnect(now, index_, 0);
    ++openedCount_;
    if (metrics_) metrics_->recordAttempt(true);
    run_.connectionOwners[conn] = slot_;
    needlessFetches_[conn] = {request.clientRequest.id, request.clientRequest.key,
                              std::string(requestClassName(request)), "", false};
}

void SimulatedRouter::answerClient(Nanos now, RequestId id, const OpenRequest& request,
                                   const std::string& token) {
    Nanos addedDelay = 0;
    if (defect_.kind == RouterDefect::Kind::slower) {
        run_.countAffectedRequest();
        addedDelay = static_cast<Nanos>(defect_.size * static_cast<double>(now - request.acceptedAt));
    }
    if (metrics_) metrics_->recordSucceeded(requestClassName(request), now - request.acceptedAt + addedDelay);
    if (drawDefect(RouterDefect::Kind::retriesNeedlessly)) retryNeedlessly(now, request);
    if (addedDelay == 0)
        return run_.deployment.onClientOutcome(now, id, EmulatedDeployment::ClientOutcome::answered, token,
                                               0);
    run_.deployment.schedule(now + addedDelay, [&deployment = run_.deployment, id, token](Nanos t) {
        deployment.onClientOutcome(t, id, EmulatedDeployment::ClientOutcome::answered, token, 0);
    });
}

void SimulatedRouter::onConnectionOpened(ConnectionId id, bool isOpen) {
    if (const auto fetch = needlessFetches_.find(id); fetch != needlessFetches_.end()) {
        if (isOpen) return run_.deployment.onAttemptReceived(run_.now, id, fetch->second);
        needlessFetches_.erase(fetch);
        run_.connectionOwners.erase(id);
        return run_.deployment.onConnectionClosed(run_.now, id);
    }
    const auto it = connections_.find(id);
    if (it == connections_.end() || it->second.isOpen) return;
    const RequestId requestId = it->second.requestId;
    const auto request = requests_.find(requestId);
    if (isOpen) {
        it->second.isOpen = true;
        if (request != requests_.end() && request->second.attempt && request->second.attempt->conn == id)
            return writeRequest(run_.now, id, request->second);
        it->second.requestId = 0;
        return returnToPool(id, it->second);
    }
    closeConnection(run_.now, id);
    if (requestId) endAttempt(run_.now, requestId, AttemptOutcome::connectFailed);
}

void SimulatedRouter::onReply(ConnectionId id, const Reply& reply) {
    if (needlessFetches_.erase(id)) {
        run_.connectionOwners.erase(id);
        return run_.deployment.onConnectionClosed(run_.now, id);
    }
    const auto it = connections_.find(id);
    if (it == connections_.end() || it->second.requestId == 0) return;
    const RequestId requestId = std::exchange(it->second.requestId, 0);
    using K = Reply::Kind;
    if (reply.kind == K::malformed)
        closeConnection(run_.now, id);
    else
        returnToPool(id, it->second);
    const Nanos now = run_.now;
    if (reply.kind == K::value) {
        const auto request = requests_.find(requestId);
        if (request != requests_.end() && !std::exchange(request->second.isClientDone, true))
            answerClient(now, requestId, request->second, reply.token);
    }
    endAttempt(now, requestId,
               reply.kind == K::value  ? AttemptOutcome::succeeded
               : reply.kind == K::miss ? AttemptOutcome::cacheMiss
               : reply.kind == K::busy ? AttemptOutcome::overloaded
                                       : AttemptOutcome::failed);
}

// Keeps the idle connection for as long as the router program does.
void SimulatedRouter::returnToPool(ConnectionId conn, UpstreamConnection& connection) {
    if (drawDefect(RouterDefect::Kind::connections)) return closeConnection(run_.now, conn);
    connection.idleSince = run_.now;
    idleConnections_[connection.address].push_back(conn);
    const Nanos idleTimeout = run_.deployment.scenario().routers.idleTimeout / 10 * 9;
    run_.deployment.schedule(run_.now + idleTimeout, [&run = run_, conn, slot = slot_, since = run_.now](
                                                         Nanos) { run.onIdleTimeout(slot, conn, since); });
}

void SimulatedRouter::onIdleTimeout(ConnectionId conn, Nanos since) {
    const auto it = connections_.find(conn);
    if (it != connections_.end() && it->second.requestId == 0 && it->second.idleSince == since)
        closeConnection(run_.now, conn);
}

void SimulatedRouter::onConnectionBroken(ConnectionId id) {
    if (needlessFetches_.erase(id)) return void(run_.connectionOwners.erase(id));
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    const RequestId requestId = it->second.requestId;
    closeConnection(run_.now, id);
    const auto request = requests_.find(requestId);
    if (requestId && request != requests_.end() && request->second.attempt)
        endAttempt(run_.now, requestId,
                   request->second.attempt->isWritten ? AttemptOutcome::connectionLost
                                                      : AttemptOutcome::connectFailed);
}

void SimulatedRouter::closeConnection(Nanos now, ConnectionId conn) {
    const auto it = connections_.find(conn);
    if (it == connections_.end()) return;
    std::erase(idleConnections_[it->second.address], conn);
    connections_.erase(it);
    run_.connectionOwners.erase(conn);
    run_.deployment.onConnectionClosed(now, conn);
}

void SimulatedRouter::endAttempt(Nanos now, RequestId id, AttemptOutcome outcome) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.attempt) return;
    const AttemptInFlight attempt = *std::exchange(it->second.attempt, {});
    if (metrics_) metrics_->recordAttemptEnded(outcome, now - attempt.sentAt);
    events_.push_back([this, id, attempt, outcome, elapsed = now - attempt.sentAt,
                       isClientDone = it->second.isClientDone](Nanos t) {
        policy_.onAttemptEnded(t + kClockOffset, {id, attempt.number, outcome, isClientDone, elapsed});
    });
    if (it->second.isClientDone) requests_.erase(it);
}

void SimulatedRouter::abortAllRequests(Nanos now) {
    std::vector<RequestId> ids;
    for (const auto& [id, request] : requests_)
        if (!request.isClientDone) ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (const RequestId id : ids)
        run_.deployment.onClientOutcome(now, id, EmulatedDeployment::ClientOutcome::unsent, "broken", 0);
}

}  // namespace

SimulatedRunResult runSimulation(const Scenario& scenario, std::uint64_t seed, EventLog& eventLog,
                                 const SimulatedRunOptions& options) {
    SimulatedRun run(scenario, seed, eventLog, options);
    const auto startedAt = std::chrono::steady_clock::now();
    run.execute(options.progress);
    if (options.onEnd) options.onEnd();
    const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - startedAt;
    return {run.now, wall.count()};
}

}  // namespace poppyscale::testbed
