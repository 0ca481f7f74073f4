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

// The module reads 0 as long ago, so its clock starts far from it.
constexpr Nanos kBase = 1'000'000'000 * kMillisecond;
constexpr Nanos kLeaving = 480 * kMillisecond;

class SimulatedRun;

// One router: the module and the least of a host round it. What real sockets add is `run`'s to show.
class SimulatedRouter : private PolicyHost {
  public:
    SimulatedRouter(SimulatedRun& play, int index, int slot, std::uint64_t seed, Nanos now,
                    const RouterDefect& harm);

    void onRequest(const ClientRequest& ask);
    void onClientDisconnected(RequestId id);
    void opened(ConnectionId id, bool up);
    void reply(ConnectionId id, const Reply& reply);
    void onConnectionBroken(ConnectionId id);
    void listed(Nanos now, EndpointUpdateKind kind, const EndpointListMessage& list);
    void stop(Nanos now);
    void runIteration(Nanos now);
    bool finished(Nanos now) const { return stopAt_ && now >= stopAt_ && requests_.empty(); }
    bool accepts(Nanos now) const { return !stopAt_ || now < stopAt_; }
    void abandonAttempt(ConnectionId conn, RequestId id, int number, bool unwritten);
    void idled(ConnectionId conn, Nanos since);
    void dropAll(Nanos now);
    void restartLongPoll(Nanos now);
    void startLongPoll(Nanos now, std::optional<std::int64_t> after);
    bool holds(RequestId id) const { return requests_.contains(id); }
    int index() const { return index_; }
    nlohmann::json figures(Nanos now) const;

  private:
    struct AttemptInFlight {
        int server;
        ConnectionId conn;
        Nanos sentAt;
        int number;
        bool written = false;
    };
    struct OpenRequest {
        ClientRequest ask;
        Nanos takenAt = 0;
        bool told = false;
        int attempts = 0;
        std::optional<AttemptInFlight> out;
    };
    struct StartAttempt {
        std::string cache;
        Nanos deadline, latestStart;
    };
    struct SendResponse {
        EmulatedDeployment::ClientOutcome how;
        Nanos retryAfter;
    };
    struct Action {
        RequestId id;
        std::variant<StartAttempt, SendResponse> what;
    };
    struct UpstreamLink {
        int door;
        RequestId command = 0;
        bool up = false;
        Nanos idleAt = 0;
    };

    void startAttempt(RequestId id, std::string_view cache, Nanos deadline, Nanos latestStart) override {
        actions_.push_back({id, StartAttempt{std::string(cache), deadline - kBase, latestStart - kBase}});
    }
    void reject(RequestId id, Nanos retryAfter) override {
        actions_.push_back({id, SendResponse{EmulatedDeployment::ClientOutcome::declined, retryAfter}});
    }
    void fail(RequestId id) override {
        actions_.push_back({id, SendResponse{EmulatedDeployment::ClientOutcome::terminated, 0}});
    }
    void scheduleWakeup(Nanos at) override;
    void pollEndpoints() override { pollRequested_ = true; }
    void log(std::string_view) override {}

    void send(Nanos now, RequestId id, OpenRequest& held, const StartAttempt& what);
    void end(Nanos now, RequestId id, AttemptOutcome ending);
    void write(Nanos now, ConnectionId conn, OpenRequest& held);
    void drop(Nanos now, ConnectionId conn);
    void rest(ConnectionId conn, UpstreamLink& link);
    bool isAffectedByDefect(RouterDefect::Kind kind);
    void answered(Nanos now, RequestId id, const OpenRequest& held, const std::string& token);
    void retryNeedlessly(Nanos now, const OpenRequest& held);
    std::string_view verbOf(const OpenRequest& held) const;

    SimulatedRun& play_;
    int index_;
    PollId endpointPoll_ = 0;
    int slot_;  // of the play: a router that was changed has had several
    Nanos startedAt_;
    RouterDefect defect_;
    std::unique_ptr<metrics::RouterMetrics> metrics_;
    std::uint64_t opened_ = 0;
    std::unordered_map<ConnectionId, ServerCall> presses_;  // on connections that are on their way, or out
    Random random_;
    std::unordered_map<RequestId, OpenRequest> requests_;
    std::unordered_map<ConnectionId, UpstreamLink> links_;
    std::unordered_map<int, std::vector<ConnectionId>> idle_;  // by address
    std::vector<std::function<void(Nanos)>> events_;           // for the module, in their order
    std::vector<Action> actions_;
    std::int64_t version_ = 0;
    Nanos stopAt_ = 0;
    bool pollRequested_ = false;
    RoutingPolicy policy_;
};

class SimulatedRun : public Transport, private SimulatedFleet {
  public:
    SimulatedRun(const Scenario& scenario, std::uint64_t seed, EventLog& ledger,
                 const SimulatedRunOptions& wanted)
        : seed(seed),
          world(scenario, seed, ledger, *this),
          options_(wanted),
          slots_(static_cast<std::size_t>(scenario.routers.count), -1) {}

    void run(const std::function<void(Nanos)>& progress) {
        const Scenario& s = world.scenario();
        for (int r = 0; r < s.routers.count; ++r) startRouter(r);
        if (options_.attach) options_.attach(*this);
        world.begin(0);
        Nanos shown = 0;
        const Nanos last = s.length + s.longestLimit() + s.slack + 1'000 * kMillisecond;
        reconcile();
        while (now < last && !world.isOver(now) && !finished_) {
            now = world.next();
            world.step(now);
            reconcile();
            if (progress && now - shown > 1'000 * kMillisecond) progress(shown = now);
        }
    }
    void touch(int slot) {
        if (slot >= 0 && !std::exchange(touched_[static_cast<std::size_t>(slot)], 1)) dirty_.push_back(slot);
    }
    bool counted() const { return static_cast<bool>(options_.attach); }
    PolicySettings settingsFor(int router, std::uint64_t routerSeed) const {
        PolicySettings terms = policySettingsOf(world.scenario(), router, routerSeed);
        if (options_.mistake) options_.mistake(terms);
        return terms;
    }
    void struck() { ++harmed_; }

    void sendRequest(const ClientRequest& ask) override {
        ++asked_;
        const int slot = slotOf(ask.router);
        SimulatedRouter* const r = at(slot);
        if (r && r->accepts(now)) {
            touch(slot);
            return r->onRequest(ask);
        }
        world.at(now + world.scenario().network.same, [this, id = ask.id](Nanos t) {
            world.onClientOutcome(t, id, EmulatedDeployment::ClientOutcome::unsent, "", 0);
        });
    }
    void disconnectClient(int router, RequestId id) override {
        for (std::size_t slot = 0; slot < routers_.size(); ++slot)
            if (routers_[slot] && routers_[slot]->index() == router && routers_[slot]->holds(id))
                routers_[slot]->onClientDisconnected(id), touch(static_cast<int>(slot));
    }
    void onConnectionOpened(ConnectionId conn, bool up) override {
        if (SimulatedRouter* const r = owner(conn)) r->opened(conn, up);
    }
    void sendReply(ConnectionId conn, const Reply& reply) override {
        if (SimulatedRouter* const r = owner(conn)) r->reply(conn, reply);
    }
    void breakConnection(ConnectionId conn) override {
        if (SimulatedRouter* const r = owner(conn)) r->onConnectionBroken(conn);
    }
    void setAddressState(int, int, AddressState) override {}
    void sendEndpointList(int router, PollId, const EndpointListMessage& list) override {
        SimulatedRouter* const r = at(slotOf(router));
        if (!r) return;
        touch(slotOf(router));
        r->listed(now, list.full ? EndpointUpdateKind::complete : EndpointUpdateKind::delta, list);
    }
    void failPoll(int router, PollId) override {
        SimulatedRouter* const r = at(slotOf(router));
        if (!r) return;
        touch(slotOf(router));
        r->listed(now, EndpointUpdateKind::failed, {});
    }
    void moveDiscovery(int) override {
        for (auto& r : routers_)
            if (r) r->restartLongPoll(now);
    }
    void killRouter(int router) override {
        const int slot = slotOf(router);
        if (!at(slot)) return;
        at(slot)->dropAll(now);
        gone(slot);
    }
    void startRouter(int router) override {
        if (at(slotOf(router))) return;
        world.routerUp(now, router);
        occupy(router, {});
    }
    void terminateRouter(int router) override {
        const int slot = slotOf(router);
        if (SimulatedRouter* const r = at(slot)) {
            r->stop(now);
            touch(slot);
            world.at(now + kLeaving, [this, slot](Nanos) { touch(slot); });
            const Nanos latest = now + kLeaving + world.scenario().longestLimit() + 200 * kMillisecond;
            world.at(latest, [this, slot](Nanos t) {
                if (SimulatedRouter* const late = at(slot); late && !late->accepts(t))
                    late->dropAll(now), gone(slot);
            });
        }
    }
    void reloadRouter(int) override {}
    void upgradeRouter(int) override {}  // a hand-over is between processes
    void giveUp(int slot, ConnectionId conn, RequestId id, int number, bool unwritten) {
        if (SimulatedRouter* const r = at(slot)) r->abandonAttempt(conn, id, number, unwritten);
    }
    SimulatedRouter* at(int slot) {
        return slot < 0 ? nullptr : routers_[static_cast<std::size_t>(slot)].get();
    }
    void idled(int slot, ConnectionId conn, Nanos since) {
        if (SimulatedRouter* const r = at(slot)) r->idled(conn, since);
    }

    Nanos now = 0;
    const std::uint64_t seed;
    std::unordered_map<ConnectionId, int> owners;  // slots
    EmulatedDeployment world;

  private:
    int slotOf(int router) const { return slots_[static_cast<std::size_t>(router)]; }
    void occupy(int router, const RouterDefect& harm) {
        const auto slot = static_cast<int>(routers_.size());
        slots_[static_cast<std::size_t>(router)] = slot;
        touched_.push_back(0);
        routers_.push_back(
            std::make_unique<SimulatedRouter>(*this, router, slot, seed * 1000 + ++starts_, now, harm));
        routers_.back()->listed(now, EndpointUpdateKind::cached, world.lastList(router));
        touch(slot);
    }
    // ---- SimFleet
    Nanos time() const override { return now; }
    void at(Nanos when, std::function<void(Nanos)> what) override { world.at(when, std::move(what)); }
    nlohmann::json figures(int router) override {
        const int slot = slotOf(router);
        auto all = at(slot) ? at(slot)->figures(now) : nlohmann::json();
        if (all.is_object()) all["pid"] = slot + 1;
        return all;
    }
    void change(int router, bool harmful) override {
        const int before = slotOf(router);
        if (SimulatedRouter* const r = at(before)) {
            // It has no listener any more, and goes once it owes nothing.
            r->stop(now - kLeaving);
            touch(before);
        }
        occupy(router, harmful ? options_.defect : RouterDefect{});
    }
    void finish() override { finished_ = true; }
    long asked() const override { return asked_; }
    long affectedRequests() const override { return harmed_; }
    SimulatedRouter* owner(ConnectionId conn) {
        const auto it = owners.find(conn);
        if (it == owners.end()) return nullptr;
        touch(it->second);
        return at(it->second);
    }
    void gone(int slot) {
        const int router = at(slot)->index();
        routers_[static_cast<std::size_t>(slot)].reset();
        std::vector<ConnectionId> conns;
        std::erase_if(owners, [&](const auto& item) {
            if (item.second == slot) conns.push_back(item.first);
            return item.second == slot;
        });
        if (slotOf(router) == slot) {
            slots_[static_cast<std::size_t>(router)] = -1;
            return world.routerGone(now, router);
        }
        // Another one has its place: only its own connections end.
        std::sort(conns.begin(), conns.end());
        for (const ConnectionId conn : conns) world.closed(now, conn);
    }
    void reconcile() {
        // By number, so that a run is the same each time.
        while (!dirty_.empty()) {
            std::vector<int> now_dirty;
            now_dirty.swap(dirty_);
            std::sort(now_dirty.begin(), now_dirty.end());
            for (const int r : now_dirty) {
                touched_[static_cast<std::size_t>(r)] = 0;
                if (SimulatedRouter* const router = at(r)) {
                    router->runIteration(now);
                    if (router->finished(now)) router->dropAll(now), gone(r);
                }
            }
        }
    }

    const SimulatedRunOptions& options_;
    std::vector<std::unique_ptr<SimulatedRouter>> routers_;  // by slot
    std::vector<int> slots_;                                 // of each router, or -1
    std::vector<char> touched_;
    long asked_ = 0, harmed_ = 0;
    bool finished_ = false;
    std::vector<int> dirty_;
    std::uint64_t starts_ = 0;
};

SimulatedRouter::SimulatedRouter(SimulatedRun& play, int index, int slot, std::uint64_t seed, Nanos now,
                                 const RouterDefect& harm)
    : play_(play),
      index_(index),
      slot_(slot),
      startedAt_(now),
      defect_(harm),
      random_(seed * 7 + 1),
      policy_(play.settingsFor(index, seed), *this, kBase + now) {
    if (!play.counted()) return;
    metrics_ = std::make_unique<metrics::RouterMetrics>(play.settingsFor(index, seed).requestClasses);
}

bool SimulatedRouter::isAffectedByDefect(RouterDefect::Kind kind) {
    if (defect_.kind != kind || !random_.chance(defect_.size)) return false;
    play_.struck();
    return true;
}

std::string_view SimulatedRouter::verbOf(const OpenRequest& held) const {
    return play_.world.scenario()
        .requestClasses[static_cast<std::size_t>(held.ask.requestClass)]
        .requestClass.name;
}

nlohmann::json SimulatedRouter::figures(Nanos now) const {
    if (!metrics_) return {};
    auto all = metrics_->json();
    int ready = 0, listed = 0;
    for (const auto& s : play_.world.servers()) listed += !s.origin;
    for (const EndpointLine& line : play_.world.lastList(index_).lines)
        ready += line.state == EndpointState::ready &&
                 !play_.world.servers()[static_cast<std::size_t>(line.server)].origin;
    all.update({{"program", "sim"},
                {"zone", play_.world.routerZone(index_)},
                {"up_ms", (now - startedAt_) / kMillisecond},
                {"open", requests_.size()},
                {"links", links_.size()},
                {"links_opened", opened_},
                {"caches_ready", ready},
                {"caches_listed", listed},
                {"memory_kb", 0},
                {"descriptors", links_.size()}});
    return all;
}

void SimulatedRouter::scheduleWakeup(Nanos at) {
    play_.world.at(at - kBase, [&play = play_, slot = slot_](Nanos) { play.touch(slot); });
}

void SimulatedRouter::onRequest(const ClientRequest& ask) {
    const Scenario& s = play_.world.scenario();
    const auto& requestClass = s.requestClasses[static_cast<std::size_t>(ask.requestClass)].requestClass.name;
    if (requests_.size() >= s.routers.open || isAffectedByDefect(RouterDefect::Kind::rejects)) {
        if (metrics_) metrics_->recordRejected(requestClass, metrics::Rejection::requestLimit);
        play_.world.at(play_.now, [&play = play_, id = ask.id](Nanos t) {
            play.world.onClientOutcome(t, id, EmulatedDeployment::ClientOutcome::declined, "", 0);
        });
        return;
    }
    if (metrics_) metrics_->recordAccepted(requestClass);
    requests_[ask.id] = {ask, play_.now, false, 0, {}};
    if (isAffectedByDefect(RouterDefect::Kind::silent)) return;
    events_.push_back([this, id = ask.id](Nanos now) {
        const auto it = requests_.find(id);
        if (it == requests_.end()) return;
        const ClientRequest& a = it->second.ask;
        const Scenario& plan = play_.world.scenario();
        const RequestClassPlan& requestClass = plan.requestClasses[static_cast<std::size_t>(a.requestClass)];
        const std::string_view tenant =
            a.tenant < 0 ? std::string_view{} : plan.tenants[static_cast<std::size_t>(a.tenant)].name;
        policy_.onRequest(now + kBase, {id, requestClass.requestClass.name, tenant, a.key, a.deadline + kBase,
                                        requestClass.write});
    });
}

void SimulatedRouter::onClientDisconnected(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    if (metrics_ && !it->second.told) metrics_->recordAbandoned(verbOf(it->second));
    it->second.told = true;
    events_.push_back([this, id](Nanos now) { policy_.onClientDisconnected(now + kBase, id); });
    if (!it->second.out) return void(requests_.erase(it));
    if (it->second.out->written) return;
    drop(play_.now, it->second.out->conn);
    end(play_.now, id, AttemptOutcome::notSent);
}

void SimulatedRouter::listed(Nanos, EndpointUpdateKind kind, const EndpointListMessage& list) {
    std::vector<Endpoint> entries;
    for (const EndpointLine& line : list.lines) {
        const EmulatedDeployment::Server& s = play_.world.servers()[static_cast<std::size_t>(line.server)];
        entries.push_back({s.name, s.zone, s.origin ? "origin" : "cache", line.state,
                           line.startedAt ? line.startedAt + kBase : 0,
                           (s.plan ? s.plan->cores * s.plan->speed : 1) / (1 + line.heldCommands), s.cell});
        if (line.state == EndpointState::ready) continue;
        for (const ConnectionId conn : std::exchange(idle_[s.door], {})) drop(play_.now, conn);
    }
    if (kind != EndpointUpdateKind::failed) version_ = list.version;
    events_.push_back(
        [this, kind, entries](Nanos now) { policy_.onEndpointUpdate(now + kBase, kind, entries); });
    if (kind == EndpointUpdateKind::failed) return;
    play_.world.at(play_.now, [&play = play_, index = index_, slot = slot_, v = version_](Nanos now) {
        if (SimulatedRouter* const router = play.at(slot); router && router->index_ == index)
            router->startLongPoll(now, v);
    });
}

void SimulatedRouter::restartLongPoll(Nanos now) { startLongPoll(now, std::nullopt); }

// One call at a time: a new one takes the place of what is out.
void SimulatedRouter::startLongPoll(Nanos now, std::optional<std::int64_t> after) {
    play_.world.endPoll(endpointPoll_);
    endpointPoll_ = play_.world.beginPoll(now, index_, after, play_.world.scenario().discovery.pollInterval);
}

void SimulatedRouter::stop(Nanos now) { stopAt_ = now + kLeaving; }

void SimulatedRouter::runIteration(Nanos now) {
    do {
        for (auto& event : std::exchange(events_, {})) event(now);
        policy_.reconcile(now + kBase);
        for (const Action& action : std::exchange(actions_, {})) {
            const auto it = requests_.find(action.id);
            if (it == requests_.end()) continue;
            if (const auto* tell = std::get_if<SendResponse>(&action.what)) {
                const bool told = it->second.told;
                if (metrics_ && !told && tell->how == EmulatedDeployment::ClientOutcome::declined)
                    metrics_->recordRejected(verbOf(it->second),
                                             it->second.attempts ? metrics::Rejection::afterAttempt
                                                                 : metrics::Rejection::beforeFirstAttempt);
                if (metrics_ && !told && tell->how == EmulatedDeployment::ClientOutcome::terminated)
                    metrics_->recordFailed(verbOf(it->second));
                requests_.erase(it);
                if (!told) play_.world.onClientOutcome(now, action.id, tell->how, "", tell->retryAfter);
            } else {
                send(now, action.id, it->second, std::get<StartAttempt>(action.what));
            }
        }
    } while (!events_.empty());
    if (std::exchange(pollRequested_, false))
        startLongPoll(now, version_ ? std::optional(version_) : std::nullopt);
}

void SimulatedRouter::send(Nanos now, RequestId id, OpenRequest& held, const StartAttempt& what) {
    EmulatedDeployment& world = play_.world;
    const int number = held.attempts++;
    const Nanos deadline = std::min(what.deadline, held.ask.deadline);
    const auto server = world.serverNamed(what.cache);
    if (!server || now >= deadline) {
        events_.push_back([this, id, number](Nanos t) {
            policy_.onAttemptEnded(t + kBase, {id, number, AttemptOutcome::notSent, false, 0});
        });
        return;
    }
    const int door = world.servers()[static_cast<std::size_t>(*server)].door;
    if (metrics_) metrics_->recordAttempt(door == 0);
    auto& idle = idle_[door];
    ConnectionId conn = 0;
    if (!idle.empty()) {
        conn = idle.back();
        idle.pop_back();
    } else {
        conn = world.connect(now, index_, door);
        ++opened_;
        play_.owners[conn] = slot_;
        links_[conn] = {door, 0, false};
        world.at(now + world.scenario().routers.connectWithin, [&play = play_, conn, slot = slot_](Nanos) {
            const auto it = play.owners.find(conn);
            if (it != play.owners.end()) play.onConnectionOpened(conn, false), play.touch(slot);
        });
    }
    UpstreamLink& link = links_.at(conn);
    link.command = id;
    held.out = AttemptInFlight{*server, conn, now, number};
    if (link.up) write(now, conn, held);
    for (const Nanos until : {what.latestStart, deadline}) {
        if (until > deadline) continue;
        world.at(until,
                 [&play = play_, conn, id, number, index = slot_, unwritten = until < deadline](Nanos) {
                     const auto it = play.owners.find(conn);
                     if (it == play.owners.end()) return;
                     play.touch(index);
                     play.giveUp(index, conn, id, number, unwritten);
                 });
    }
}

void SimulatedRouter::write(Nanos now, ConnectionId conn, OpenRequest& held) {
    held.out->written = true;
    const RequestClassPlan& requestClass =
        play_.world.scenario().requestClasses[static_cast<std::size_t>(held.ask.requestClass)];
    play_.world.call(
        now, conn,
        {held.ask.id, held.ask.key, requestClass.requestClass.name, held.ask.mark, requestClass.write});
}

// `unwritten`: only one that still waits for its connection.
void SimulatedRouter::abandonAttempt(ConnectionId conn, RequestId id, int number, bool unwritten) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.out || it->second.out->conn != conn ||
        it->second.out->number != number || (unwritten && it->second.out->written))
        return;
    const AttemptOutcome ending =
        it->second.out->written ? AttemptOutcome::timedOut : AttemptOutcome::connectFailed;
    drop(play_.now, conn);
    end(play_.now, id, ending);
}

// A fetch at the origin that only adds to its load.
void SimulatedRouter::retryNeedlessly(Nanos now, const OpenRequest& held) {
    const ConnectionId conn = play_.world.connect(now, index_, 0);
    ++opened_;
    if (metrics_) metrics_->recordAttempt(true);
    play_.owners[conn] = slot_;
    presses_[conn] = {held.ask.id, held.ask.key, std::string(verbOf(held)), "", false};
}

void SimulatedRouter::answered(Nanos now, RequestId id, const OpenRequest& held, const std::string& token) {
    Nanos later = 0;
    if (defect_.kind == RouterDefect::Kind::slower) {
        play_.struck();
        later = static_cast<Nanos>(defect_.size * static_cast<double>(now - held.takenAt));
    }
    if (metrics_) metrics_->recordSucceeded(verbOf(held), now - held.takenAt + later);
    if (isAffectedByDefect(RouterDefect::Kind::retriesNeedlessly)) retryNeedlessly(now, held);
    if (later == 0)
        return play_.world.onClientOutcome(now, id, EmulatedDeployment::ClientOutcome::answered, token, 0);
    play_.world.at(now + later, [&world = play_.world, id, token](Nanos t) {
        world.onClientOutcome(t, id, EmulatedDeployment::ClientOutcome::answered, token, 0);
    });
}

void SimulatedRouter::opened(ConnectionId id, bool up) {
    if (const auto press = presses_.find(id); press != presses_.end()) {
        if (up) return play_.world.call(play_.now, id, press->second);
        presses_.erase(press);
        play_.owners.erase(id);
        return play_.world.closed(play_.now, id);
    }
    const auto it = links_.find(id);
    if (it == links_.end() || it->second.up) return;
    const RequestId command = it->second.command;
    const auto held = requests_.find(command);
    if (up) {
        it->second.up = true;
        if (held != requests_.end() && held->second.out && held->second.out->conn == id)
            return write(play_.now, id, held->second);
        it->second.command = 0;
        return rest(id, it->second);
    }
    drop(play_.now, id);
    if (command) end(play_.now, command, AttemptOutcome::connectFailed);
}

void SimulatedRouter::reply(ConnectionId id, const Reply& reply) {
    if (presses_.erase(id)) {
        play_.owners.erase(id);
        return play_.world.closed(play_.now, id);
    }
    const auto it = links_.find(id);
    if (it == links_.end() || it->second.command == 0) return;
    const RequestId command = std::exchange(it->second.command, 0);
    using K = Reply::Kind;
    if (reply.kind == K::spoilt)
        drop(play_.now, id);
    else
        rest(id, it->second);
    const Nanos now = play_.now;
    if (reply.kind == K::value) {
        const auto held = requests_.find(command);
        if (held != requests_.end() && !std::exchange(held->second.told, true))
            answered(now, command, held->second, reply.token);
    }
    end(now, command,
        reply.kind == K::value  ? AttemptOutcome::succeeded
        : reply.kind == K::miss ? AttemptOutcome::cacheMiss
        : reply.kind == K::busy ? AttemptOutcome::overloaded
                                : AttemptOutcome::failed);
}

// Kept as long as the program keeps it.
void SimulatedRouter::rest(ConnectionId conn, UpstreamLink& link) {
    if (isAffectedByDefect(RouterDefect::Kind::connections)) return drop(play_.now, conn);
    link.idleAt = play_.now;
    idle_[link.door].push_back(conn);
    const Nanos kept = play_.world.scenario().routers.idle / 10 * 9;
    play_.world.at(play_.now + kept, [&play = play_, conn, slot = slot_, since = play_.now](Nanos) {
        play.idled(slot, conn, since);
    });
}

void SimulatedRouter::idled(ConnectionId conn, Nanos since) {
    const auto it = links_.find(conn);
    if (it != links_.end() && it->second.command == 0 && it->second.idleAt == since) drop(play_.now, conn);
}

void SimulatedRouter::onConnectionBroken(ConnectionId id) {
    if (presses_.erase(id)) return void(play_.owners.erase(id));
    const auto it = links_.find(id);
    if (it == links_.end()) return;
    const RequestId command = it->second.command;
    drop(play_.now, id);
    const auto held = requests_.find(command);
    if (command && held != requests_.end() && held->second.out)
        end(play_.now, command,
            held->second.out->written ? AttemptOutcome::connectionLost : AttemptOutcome::connectFailed);
}

void SimulatedRouter::drop(Nanos now, ConnectionId conn) {
    const auto it = links_.find(conn);
    if (it == links_.end()) return;
    std::erase(idle_[it->second.door], conn);
    links_.erase(it);
    play_.owners.erase(conn);
    play_.world.closed(now, conn);
}

void SimulatedRouter::end(Nanos now, RequestId id, AttemptOutcome ending) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.out) return;
    const AttemptInFlight out = *std::exchange(it->second.out, {});
    if (metrics_) metrics_->recordAttemptEnded(ending, now - out.sentAt);
    events_.push_back([this, id, out, ending, spent = now - out.sentAt, over = it->second.told](Nanos t) {
        policy_.onAttemptEnded(t + kBase, {id, out.number, ending, over, spent});
    });
    if (it->second.told) requests_.erase(it);
}

void SimulatedRouter::dropAll(Nanos now) {
    std::vector<RequestId> ids;
    for (const auto& [id, held] : requests_)
        if (!held.told) ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (const RequestId id : ids)
        play_.world.onClientOutcome(now, id, EmulatedDeployment::ClientOutcome::unsent, "broken", 0);
}

}  // namespace

SimulatedRunResult simulate(const Scenario& scenario, std::uint64_t seed, EventLog& ledger,
                            const SimulatedRunOptions& wanted) {
    SimulatedRun play(scenario, seed, ledger, wanted);
    const auto began = std::chrono::steady_clock::now();
    play.run(wanted.progress);
    if (wanted.duration) wanted.duration();
    const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - began;
    return {play.now, wall.count()};
}

}  // namespace poppyscale::testbed
