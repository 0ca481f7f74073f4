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
class SimRouter : private PolicyHost {
  public:
    SimRouter(SimulatedRun& play, int index, int slot, std::uint64_t seed, Nanos now,
              const RouterDefect& harm);

    void ask(const ClientRequest& ask);
    void leave(RequestId id);
    void opened(ConnId id, bool up);
    void reply(ConnId id, const Reply& reply);
    void broke(ConnId id);
    void listed(Nanos now, EndpointUpdateKind kind, const List& list);
    void stop(Nanos now);
    void turn(Nanos now);
    bool finished(Nanos now) const { return stopAt_ && now >= stopAt_ && commands_.empty(); }
    bool accepts(Nanos now) const { return !stopAt_ || now < stopAt_; }
    void giveUp(ConnId conn, RequestId id, int number, bool unwritten);
    void idled(ConnId conn, Nanos since);
    void dropAll(Nanos now);
    void watchAnew(Nanos now);
    void watch(Nanos now, std::optional<std::int64_t> after);
    bool holds(RequestId id) const { return commands_.contains(id); }
    int index() const { return index_; }
    nlohmann::json figures(Nanos now) const;

  private:
    struct Out {
        int server;
        ConnId conn;
        Nanos sentAt;
        int number;
        bool written = false;
    };
    struct Held {
        ClientRequest ask;
        Nanos takenAt = 0;
        bool told = false;
        int attempts = 0;
        std::optional<Out> out;
    };
    struct Send {
        std::string cache;
        Nanos deadline, latestStart;
    };
    struct Tell {
        EmulatedDeployment::Told how;
        Nanos retryAfter;
    };
    struct Action {
        RequestId id;
        std::variant<Send, Tell> what;
    };
    struct Link {
        int door;
        RequestId command = 0;
        bool up = false;
        Nanos idleAt = 0;
    };

    void startAttempt(RequestId id, std::string_view cache, Nanos deadline, Nanos latestStart) override {
        actions_.push_back({id, Send{std::string(cache), deadline - kBase, latestStart - kBase}});
    }
    void reject(RequestId id, Nanos retryAfter) override {
        actions_.push_back({id, Tell{EmulatedDeployment::Told::declined, retryAfter}});
    }
    void fail(RequestId id) override {
        actions_.push_back({id, Tell{EmulatedDeployment::Told::terminated, 0}});
    }
    void scheduleWakeup(Nanos at) override;
    void pollEndpoints() override { subscribe_ = true; }
    void log(std::string_view) override {}

    void send(Nanos now, RequestId id, Held& held, const Send& what);
    void end(Nanos now, RequestId id, AttemptOutcome ending);
    void write(Nanos now, ConnId conn, Held& held);
    void drop(Nanos now, ConnId conn);
    void rest(ConnId conn, Link& link);
    bool strikes(RouterDefect::Kind kind);
    void answered(Nanos now, RequestId id, const Held& held, const std::string& token);
    void press(Nanos now, const Held& held);
    std::string_view verbOf(const Held& held) const;

    SimulatedRun& play_;
    int index_;
    ListCallId listCall_ = 0;
    int slot_;  // of the play: a router that was changed has had several
    Nanos startedAt_;
    RouterDefect harm_;
    std::unique_ptr<metrics::RouterMetrics> counts_;
    std::uint64_t opened_ = 0;
    std::unordered_map<ConnId, ServerCall> presses_;  // on connections that are on their way, or out
    Random random_;
    std::unordered_map<RequestId, Held> commands_;
    std::unordered_map<ConnId, Link> links_;
    std::unordered_map<int, std::vector<ConnId>> idle_;  // by door
    std::vector<std::function<void(Nanos)>> events_;     // for the module, in their order
    std::vector<Action> actions_;
    std::int64_t version_ = 0;
    Nanos stopAt_ = 0;
    bool subscribe_ = false;
    RoutingPolicy router_;
};

class SimulatedRun : public Transport, private SimFleet {
  public:
    SimulatedRun(const Scenario& scenario, std::uint64_t seed, EventLog& ledger,
                 const SimulatedRunOptions& wanted)
        : seed(seed),
          world(scenario, seed, ledger, *this),
          wanted_(wanted),
          slots_(static_cast<std::size_t>(scenario.routers.count), -1) {}

    void run(const std::function<void(Nanos)>& progress) {
        const Scenario& s = world.scenario();
        for (int r = 0; r < s.routers.count; ++r) start(r);
        if (wanted_.attach) wanted_.attach(*this);
        world.begin(0);
        Nanos shown = 0;
        const Nanos last = s.length + s.longestLimit() + s.slack + 1'000 * kMillisecond;
        settle();
        while (now < last && !world.over(now) && !finished_) {
            now = world.next();
            world.step(now);
            settle();
            if (progress && now - shown > 1'000 * kMillisecond) progress(shown = now);
        }
    }
    void touch(int slot) {
        if (slot >= 0 && !std::exchange(touched_[static_cast<std::size_t>(slot)], 1)) dirty_.push_back(slot);
    }
    bool counted() const { return static_cast<bool>(wanted_.attach); }
    PolicySettings termsFor(int router, std::uint64_t routerSeed) const {
        PolicySettings terms = policySettingsOf(world.scenario(), router, routerSeed);
        if (wanted_.mistake) wanted_.mistake(terms);
        return terms;
    }
    void struck() { ++harmed_; }

    void ask(const ClientRequest& ask) override {
        ++asked_;
        const int slot = slotOf(ask.router);
        SimRouter* const r = at(slot);
        if (r && r->accepts(now)) {
            touch(slot);
            return r->ask(ask);
        }
        world.at(now + world.scenario().network.same, [this, id = ask.id](Nanos t) {
            world.told(t, id, EmulatedDeployment::Told::unsent, "", 0);
        });
    }
    void leave(int router, RequestId id) override {
        for (std::size_t slot = 0; slot < routers_.size(); ++slot)
            if (routers_[slot] && routers_[slot]->index() == router && routers_[slot]->holds(id))
                routers_[slot]->leave(id), touch(static_cast<int>(slot));
    }
    void opened(ConnId conn, bool up) override {
        if (SimRouter* const r = owner(conn)) r->opened(conn, up);
    }
    void reply(ConnId conn, const Reply& reply) override {
        if (SimRouter* const r = owner(conn)) r->reply(conn, reply);
    }
    void broke(ConnId conn) override {
        if (SimRouter* const r = owner(conn)) r->broke(conn);
    }
    void setAddressState(int, int, AddressState) override {}
    void listed(int router, ListCallId, const List& list) override {
        SimRouter* const r = at(slotOf(router));
        if (!r) return;
        touch(slotOf(router));
        r->listed(now, list.full ? EndpointUpdateKind::complete : EndpointUpdateKind::delta, list);
    }
    void listFailed(int router, ListCallId) override {
        SimRouter* const r = at(slotOf(router));
        if (!r) return;
        touch(slotOf(router));
        r->listed(now, EndpointUpdateKind::failed, {});
    }
    void discoveryMoved(int) override {
        for (auto& r : routers_)
            if (r) r->watchAnew(now);
    }
    void kill(int router) override {
        const int slot = slotOf(router);
        if (!at(slot)) return;
        at(slot)->dropAll(now);
        gone(slot);
    }
    void start(int router) override {
        if (at(slotOf(router))) return;
        world.routerUp(now, router);
        occupy(router, {});
    }
    void terminate(int router) override {
        const int slot = slotOf(router);
        if (SimRouter* const r = at(slot)) {
            r->stop(now);
            touch(slot);
            world.at(now + kLeaving, [this, slot](Nanos) { touch(slot); });
            const Nanos latest = now + kLeaving + world.scenario().longestLimit() + 200 * kMillisecond;
            world.at(latest, [this, slot](Nanos t) {
                if (SimRouter* const late = at(slot); late && !late->accepts(t))
                    late->dropAll(now), gone(slot);
            });
        }
    }
    void reload(int) override {}
    void upgrade(int) override {}  // a hand-over is between processes
    void giveUp(int slot, ConnId conn, RequestId id, int number, bool unwritten) {
        if (SimRouter* const r = at(slot)) r->giveUp(conn, id, number, unwritten);
    }
    SimRouter* at(int slot) { return slot < 0 ? nullptr : routers_[static_cast<std::size_t>(slot)].get(); }
    void idled(int slot, ConnId conn, Nanos since) {
        if (SimRouter* const r = at(slot)) r->idled(conn, since);
    }

    Nanos now = 0;
    const std::uint64_t seed;
    std::unordered_map<ConnId, int> owners;  // slots
    EmulatedDeployment world;

  private:
    int slotOf(int router) const { return slots_[static_cast<std::size_t>(router)]; }
    void occupy(int router, const RouterDefect& harm) {
        const auto slot = static_cast<int>(routers_.size());
        slots_[static_cast<std::size_t>(router)] = slot;
        touched_.push_back(0);
        routers_.push_back(
            std::make_unique<SimRouter>(*this, router, slot, seed * 1000 + ++starts_, now, harm));
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
        if (SimRouter* const r = at(before)) {
            // It has no listener any more, and goes once it owes nothing.
            r->stop(now - kLeaving);
            touch(before);
        }
        occupy(router, harmful ? wanted_.harm : RouterDefect{});
    }
    void finish() override { finished_ = true; }
    long asked() const override { return asked_; }
    long harmed() const override { return harmed_; }
    SimRouter* owner(ConnId conn) {
        const auto it = owners.find(conn);
        if (it == owners.end()) return nullptr;
        touch(it->second);
        return at(it->second);
    }
    void gone(int slot) {
        const int router = at(slot)->index();
        routers_[static_cast<std::size_t>(slot)].reset();
        std::vector<ConnId> conns;
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
        for (const ConnId conn : conns) world.closed(now, conn);
    }
    void settle() {
        // By number, so that a run is the same each time.
        while (!dirty_.empty()) {
            std::vector<int> now_dirty;
            now_dirty.swap(dirty_);
            std::sort(now_dirty.begin(), now_dirty.end());
            for (const int r : now_dirty) {
                touched_[static_cast<std::size_t>(r)] = 0;
                if (SimRouter* const router = at(r)) {
                    router->turn(now);
                    if (router->finished(now)) router->dropAll(now), gone(r);
                }
            }
        }
    }

    const SimulatedRunOptions& wanted_;
    std::vector<std::unique_ptr<SimRouter>> routers_;  // by slot
    std::vector<int> slots_;                           // of each router, or -1
    std::vector<char> touched_;
    long asked_ = 0, harmed_ = 0;
    bool finished_ = false;
    std::vector<int> dirty_;
    std::uint64_t starts_ = 0;
};

SimRouter::SimRouter(SimulatedRun& play, int index, int slot, std::uint64_t seed, Nanos now,
                     const RouterDefect& harm)
    : play_(play),
      index_(index),
      slot_(slot),
      startedAt_(now),
      harm_(harm),
      random_(seed * 7 + 1),
      router_(play.termsFor(index, seed), *this, kBase + now) {
    if (!play.counted()) return;
    counts_ = std::make_unique<metrics::RouterMetrics>(play.termsFor(index, seed).requestClasses);
}

bool SimRouter::strikes(RouterDefect::Kind kind) {
    if (harm_.kind != kind || !random_.yes(harm_.size)) return false;
    play_.struck();
    return true;
}

std::string_view SimRouter::verbOf(const Held& held) const {
    return play_.world.scenario()
        .requestClasses[static_cast<std::size_t>(held.ask.requestClass)]
        .requestClass.name;
}

nlohmann::json SimRouter::figures(Nanos now) const {
    if (!counts_) return {};
    auto all = counts_->json();
    int ready = 0, listed = 0;
    for (const auto& s : play_.world.servers()) listed += !s.origin;
    for (const ListLine& line : play_.world.lastList(index_).lines)
        ready += line.presence == EndpointState::ready &&
                 !play_.world.servers()[static_cast<std::size_t>(line.server)].origin;
    all.update({{"program", "sim"},
                {"zone", play_.world.routerZone(index_)},
                {"up_ms", (now - startedAt_) / kMillisecond},
                {"open", commands_.size()},
                {"links", links_.size()},
                {"links_opened", opened_},
                {"caches_ready", ready},
                {"caches_listed", listed},
                {"memory_kb", 0},
                {"descriptors", links_.size()}});
    return all;
}

void SimRouter::scheduleWakeup(Nanos at) {
    play_.world.at(at - kBase, [&play = play_, slot = slot_](Nanos) { play.touch(slot); });
}

void SimRouter::ask(const ClientRequest& ask) {
    const Scenario& s = play_.world.scenario();
    const auto& requestClass = s.requestClasses[static_cast<std::size_t>(ask.requestClass)].requestClass.name;
    if (commands_.size() >= s.routers.open || strikes(RouterDefect::Kind::declines)) {
        if (counts_) counts_->recordRejected(requestClass, metrics::Rejection::requestLimit);
        play_.world.at(play_.now, [&play = play_, id = ask.id](Nanos t) {
            play.world.told(t, id, EmulatedDeployment::Told::declined, "", 0);
        });
        return;
    }
    if (counts_) counts_->recordAccepted(requestClass);
    commands_[ask.id] = {ask, play_.now, false, 0, {}};
    if (strikes(RouterDefect::Kind::silent)) return;
    events_.push_back([this, id = ask.id](Nanos now) {
        const auto it = commands_.find(id);
        if (it == commands_.end()) return;
        const ClientRequest& a = it->second.ask;
        const Scenario& plan = play_.world.scenario();
        const RequestClassPlan& requestClass = plan.requestClasses[static_cast<std::size_t>(a.requestClass)];
        const std::string_view tenant =
            a.tenant < 0 ? std::string_view{} : plan.tenants[static_cast<std::size_t>(a.tenant)].name;
        router_.onRequest(now + kBase, {id, requestClass.requestClass.name, tenant, a.key, a.deadline + kBase,
                                        requestClass.write});
    });
}

void SimRouter::leave(RequestId id) {
    const auto it = commands_.find(id);
    if (it == commands_.end()) return;
    if (counts_ && !it->second.told) counts_->recordAbandoned(verbOf(it->second));
    it->second.told = true;
    events_.push_back([this, id](Nanos now) { router_.onClientDisconnected(now + kBase, id); });
    if (!it->second.out) return void(commands_.erase(it));
    if (it->second.out->written) return;
    drop(play_.now, it->second.out->conn);
    end(play_.now, id, AttemptOutcome::notSent);
}

void SimRouter::listed(Nanos, EndpointUpdateKind kind, const List& list) {
    std::vector<Endpoint> entries;
    for (const ListLine& line : list.lines) {
        const EmulatedDeployment::Server& s = play_.world.servers()[static_cast<std::size_t>(line.server)];
        entries.push_back({s.name, s.zone, s.origin ? "origin" : "cache", line.presence,
                           line.startedAt ? line.startedAt + kBase : 0,
                           (s.plan ? s.plan->cores * s.plan->speed : 1) / (1 + line.held), s.cell});
        if (line.presence == EndpointState::ready) continue;
        for (const ConnId conn : std::exchange(idle_[s.door], {})) drop(play_.now, conn);
    }
    if (kind != EndpointUpdateKind::failed) version_ = list.version;
    events_.push_back(
        [this, kind, entries](Nanos now) { router_.onEndpointUpdate(now + kBase, kind, entries); });
    if (kind == EndpointUpdateKind::failed) return;
    play_.world.at(play_.now, [&play = play_, index = index_, slot = slot_, v = version_](Nanos now) {
        if (SimRouter* const router = play.at(slot); router && router->index_ == index) router->watch(now, v);
    });
}

void SimRouter::watchAnew(Nanos now) { watch(now, std::nullopt); }

// One call at a time: a new one takes the place of what is out.
void SimRouter::watch(Nanos now, std::optional<std::int64_t> after) {
    play_.world.unwatch(listCall_);
    listCall_ = play_.world.watch(now, index_, after, play_.world.scenario().discovery.pollInterval);
}

void SimRouter::stop(Nanos now) { stopAt_ = now + kLeaving; }

void SimRouter::turn(Nanos now) {
    do {
        for (auto& event : std::exchange(events_, {})) event(now);
        router_.reconcile(now + kBase);
        for (const Action& action : std::exchange(actions_, {})) {
            const auto it = commands_.find(action.id);
            if (it == commands_.end()) continue;
            if (const auto* tell = std::get_if<Tell>(&action.what)) {
                const bool told = it->second.told;
                if (counts_ && !told && tell->how == EmulatedDeployment::Told::declined)
                    counts_->recordRejected(verbOf(it->second), it->second.attempts
                                                                    ? metrics::Rejection::afterAttempt
                                                                    : metrics::Rejection::beforeFirstAttempt);
                if (counts_ && !told && tell->how == EmulatedDeployment::Told::terminated)
                    counts_->recordFailed(verbOf(it->second));
                commands_.erase(it);
                if (!told) play_.world.told(now, action.id, tell->how, "", tell->retryAfter);
            } else {
                send(now, action.id, it->second, std::get<Send>(action.what));
            }
        }
    } while (!events_.empty());
    if (std::exchange(subscribe_, false)) watch(now, version_ ? std::optional(version_) : std::nullopt);
}

void SimRouter::send(Nanos now, RequestId id, Held& held, const Send& what) {
    EmulatedDeployment& world = play_.world;
    const int number = held.attempts++;
    const Nanos deadline = std::min(what.deadline, held.ask.deadline);
    const auto server = world.serverNamed(what.cache);
    if (!server || now >= deadline) {
        events_.push_back([this, id, number](Nanos t) {
            router_.onAttemptEnded(t + kBase, {id, number, AttemptOutcome::notSent, false, 0});
        });
        return;
    }
    const int door = world.servers()[static_cast<std::size_t>(*server)].door;
    if (counts_) counts_->recordAttempt(door == 0);
    auto& idle = idle_[door];
    ConnId conn = 0;
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
            if (it != play.owners.end()) play.opened(conn, false), play.touch(slot);
        });
    }
    Link& link = links_.at(conn);
    link.command = id;
    held.out = Out{*server, conn, now, number};
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

void SimRouter::write(Nanos now, ConnId conn, Held& held) {
    held.out->written = true;
    const RequestClassPlan& requestClass =
        play_.world.scenario().requestClasses[static_cast<std::size_t>(held.ask.requestClass)];
    play_.world.call(
        now, conn,
        {held.ask.id, held.ask.key, requestClass.requestClass.name, held.ask.mark, requestClass.write});
}

// `unwritten`: only one that still waits for its connection.
void SimRouter::giveUp(ConnId conn, RequestId id, int number, bool unwritten) {
    const auto it = commands_.find(id);
    if (it == commands_.end() || !it->second.out || it->second.out->conn != conn ||
        it->second.out->number != number || (unwritten && it->second.out->written))
        return;
    const AttemptOutcome ending =
        it->second.out->written ? AttemptOutcome::timedOut : AttemptOutcome::connectFailed;
    drop(play_.now, conn);
    end(play_.now, id, ending);
}

// A fetch at the origin that only adds to its load.
void SimRouter::press(Nanos now, const Held& held) {
    const ConnId conn = play_.world.connect(now, index_, 0);
    ++opened_;
    if (counts_) counts_->recordAttempt(true);
    play_.owners[conn] = slot_;
    presses_[conn] = {held.ask.id, held.ask.key, std::string(verbOf(held)), "", false};
}

void SimRouter::answered(Nanos now, RequestId id, const Held& held, const std::string& token) {
    Nanos later = 0;
    if (harm_.kind == RouterDefect::Kind::slower) {
        play_.struck();
        later = static_cast<Nanos>(harm_.size * static_cast<double>(now - held.takenAt));
    }
    if (counts_) counts_->recordSucceeded(verbOf(held), now - held.takenAt + later);
    if (strikes(RouterDefect::Kind::presses)) press(now, held);
    if (later == 0) return play_.world.told(now, id, EmulatedDeployment::Told::answered, token, 0);
    play_.world.at(now + later, [&world = play_.world, id, token](Nanos t) {
        world.told(t, id, EmulatedDeployment::Told::answered, token, 0);
    });
}

void SimRouter::opened(ConnId id, bool up) {
    if (const auto press = presses_.find(id); press != presses_.end()) {
        if (up) return play_.world.call(play_.now, id, press->second);
        presses_.erase(press);
        play_.owners.erase(id);
        return play_.world.closed(play_.now, id);
    }
    const auto it = links_.find(id);
    if (it == links_.end() || it->second.up) return;
    const RequestId command = it->second.command;
    const auto held = commands_.find(command);
    if (up) {
        it->second.up = true;
        if (held != commands_.end() && held->second.out && held->second.out->conn == id)
            return write(play_.now, id, held->second);
        it->second.command = 0;
        return rest(id, it->second);
    }
    drop(play_.now, id);
    if (command) end(play_.now, command, AttemptOutcome::connectFailed);
}

void SimRouter::reply(ConnId id, const Reply& reply) {
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
        const auto held = commands_.find(command);
        if (held != commands_.end() && !std::exchange(held->second.told, true))
            answered(now, command, held->second, reply.token);
    }
    end(now, command,
        reply.kind == K::value  ? AttemptOutcome::succeeded
        : reply.kind == K::miss ? AttemptOutcome::cacheMiss
        : reply.kind == K::busy ? AttemptOutcome::overloaded
                                : AttemptOutcome::failed);
}

// Kept as long as the program keeps it.
void SimRouter::rest(ConnId conn, Link& link) {
    if (strikes(RouterDefect::Kind::connections)) return drop(play_.now, conn);
    link.idleAt = play_.now;
    idle_[link.door].push_back(conn);
    const Nanos kept = play_.world.scenario().routers.idle / 10 * 9;
    play_.world.at(play_.now + kept, [&play = play_, conn, slot = slot_, since = play_.now](Nanos) {
        play.idled(slot, conn, since);
    });
}

void SimRouter::idled(ConnId conn, Nanos since) {
    const auto it = links_.find(conn);
    if (it != links_.end() && it->second.command == 0 && it->second.idleAt == since) drop(play_.now, conn);
}

void SimRouter::broke(ConnId id) {
    if (presses_.erase(id)) return void(play_.owners.erase(id));
    const auto it = links_.find(id);
    if (it == links_.end()) return;
    const RequestId command = it->second.command;
    drop(play_.now, id);
    const auto held = commands_.find(command);
    if (command && held != commands_.end() && held->second.out)
        end(play_.now, command,
            held->second.out->written ? AttemptOutcome::connectionLost : AttemptOutcome::connectFailed);
}

void SimRouter::drop(Nanos now, ConnId conn) {
    const auto it = links_.find(conn);
    if (it == links_.end()) return;
    std::erase(idle_[it->second.door], conn);
    links_.erase(it);
    play_.owners.erase(conn);
    play_.world.closed(now, conn);
}

void SimRouter::end(Nanos now, RequestId id, AttemptOutcome ending) {
    const auto it = commands_.find(id);
    if (it == commands_.end() || !it->second.out) return;
    const Out out = *std::exchange(it->second.out, {});
    if (counts_) counts_->recordAttemptEnded(ending, now - out.sentAt);
    events_.push_back([this, id, out, ending, spent = now - out.sentAt, over = it->second.told](Nanos t) {
        router_.onAttemptEnded(t + kBase, {id, out.number, ending, over, spent});
    });
    if (it->second.told) commands_.erase(it);
}

void SimRouter::dropAll(Nanos now) {
    std::vector<RequestId> ids;
    for (const auto& [id, held] : commands_)
        if (!held.told) ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (const RequestId id : ids) play_.world.told(now, id, EmulatedDeployment::Told::unsent, "broken", 0);
}

}  // namespace

SimResult simulate(const Scenario& scenario, std::uint64_t seed, EventLog& ledger,
                   const SimulatedRunOptions& wanted) {
    SimulatedRun play(scenario, seed, ledger, wanted);
    const auto began = std::chrono::steady_clock::now();
    play.run(wanted.progress);
    if (wanted.over) wanted.over();
    const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - began;
    return {play.now, wall.count()};
}

}  // namespace poppyscale::testbed
