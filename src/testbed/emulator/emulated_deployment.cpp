#include "testbed/emulator/emulated_deployment.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>
#include <set>

namespace poppyscale::testbed {
namespace {

constexpr int kRefusalPart = 30;    // of a turn of discovery's, that a refused call takes where it is crowded
constexpr double kMissWork = 0.25;  // of a read's work, where the key isn't there
constexpr double kHeavyFactor = 10;  // of what a fault makes heavy
constexpr std::size_t kRemembered = 1 << 18;
constexpr Nanos kFrontSeesTerm = 300 * kMillisecond;

std::size_t nth(int index) { return static_cast<std::size_t>(index); }

// What the log notes of the time that an attempt tells its server.
std::string timeToldText(const ServerCall& call) {
    if (!call.forwardedTimeoutMs) return "";
    return fmt::format("d={} held={}", *call.forwardedTimeoutMs, call.delayedBy / kMillisecond);
}

}  // namespace

// What a server's process is and what ails it.
struct EmulatedDeployment::ServerState {
    ServerState(const ServerModel::Shape& shape, std::size_t keys, Nanos span)
        : machine(shape), kept(keys), drive(span) {}
    ServerModel machine;
    CacheContents kept;
    WorkWindow drive;
    ServerCondition life = ServerCondition::up;
    bool leaving = false;
    bool draining = false;
    bool refuses = false, late = false;
    bool deaf = false;
    double slow = 1;
    double errors = 0;  // at once, by a fault
    double resets = 0;
    Nanos readsLater = 0;
    int connections = 0;
    std::uint64_t lives = 0;  // so that what was to happen to an earlier one doesn't
};

EmulatedDeployment::EmulatedDeployment(const Scenario& scenario, std::uint64_t seed, EventLog& ledger,
                                       Transport& driver)
    : scenario_(scenario),
      eventLog_(ledger),
      transport_(driver),
      arrivals_(seed * 5 + 1),
      keys_(seed * 5 + 2),
      net_(seed * 5 + 3),
      service_(seed * 5 + 4),
      faults_(seed * 5 + 5),
      zipf_(scenario.load.keys, scenario.load.zipf) {
    eventLog_.head(head(seed));
    const auto& zones = scenario_.network.zones;
    Server origin;
    origin.name = "origin";
    origin.zone = zones[0];
    origin.origin = true;
    origin.speed = scenario_.origin.speed;
    occupants_.push_back(0);
    addServer(std::move(origin), 0, false);
    int dealt = 0;
    for (const CachePlan& plan : scenario_.caches)
        for (int i = 0; i < plan.count; ++i, ++dealt) {
            Server s;
            s.name = fmt::format("{}-{}", plan.name, i);
            s.door = static_cast<int>(occupants_.size());
            s.zone = zones[nth(dealt) % zones.size()];
            s.cell = dealt / 8;
            s.plan = &plan;
            s.speed = plan.speed;
            occupants_.push_back(static_cast<int>(servers_.size()));
            addServer(std::move(s), 0, false);
        }
    for (int r = 0; r < scenario_.routers.count; ++r) {
        routers_.emplace_back();
        routers_.back().zone = scenario_.zoneOf(r);
    }
    order_.resize(nth(scenario_.load.keys));
    std::iota(order_.begin(), order_.end(), 0);
}

EmulatedDeployment::~EmulatedDeployment() = default;

void EmulatedDeployment::log(Nanos now, EventKind what, std::uint64_t command, int router, int server,
                             std::uint64_t run, std::int64_t number, std::string text) {
    eventLog_.add({now, what, command, router, server, run, number, std::move(text)});
}

nlohmann::json EmulatedDeployment::head(std::uint64_t seed) const {
    using nlohmann::json;
    json requestClasses = json::array();
    for (const RequestClassPlan& v : scenario_.requestClasses)
        requestClasses.push_back({{"name", v.requestClass.name},
                                  {"effect", static_cast<int>(v.requestClass.idempotency)},
                                  {"group", static_cast<int>(v.requestClass.deduplicationScope)},
                                  {"remembered", v.requestClass.idempotencyKeyTtl},
                                  {"goal", v.requestClass.latencyObjective},
                                  {"limit", v.limit},
                                  {"utility", v.requestClass.priorityWeight},
                                  {"late", v.requestClass.lateWeight},
                                  {"write", v.write}});
    return {{"scenario", scenario_.name},
            {"seed", seed},
            {"length", scenario_.length},
            {"slack", scenario_.slack},
            {"grace", scenario_.drainGrace},
            {"routers", scenario_.routers.count},
            {"moved", scenario_.routers.moved},
            {"machines", scenario_.machines.count},
            {"harmful", scenario_.roll.harmful()},
            {"longest", scenario_.longestLimit()},
            {"cold",
             {{"share", scenario_.cold.share},
              {"ramp", scenario_.cold.ramp},
              {"tip", scenario_.cold.tip},
              {"span", scenario_.cold.fallSpan}}},
            {"originTip", scenario_.origin.tip},
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

void EmulatedDeployment::addServer(Server server, Nanos now, bool cold) {
    ServerModel::Shape shape;
    if (server.origin)
        shape = {scenario_.origin.cores, scenario_.origin.speed, scenario_.origin.queue,
                 scenario_.origin.thrash};
    else
        shape = {server.plan->cores, server.plan->speed, server.plan->queue, 0};
    const std::size_t keys = server.origin ? 1 : nth(server.plan->keys);
    server.startedAt = cold ? now : 0;
    server.wallStep = wallStep_;
    const auto index = static_cast<int>(servers_.size());
    serverStates_.push_back(
        std::make_unique<ServerState>(shape, keys, std::max<Nanos>(scenario_.cold.fallSpan, 1)));
    log(now, EventKind::server, 0, -1, index, 0, server.startedAt,
        fmt::format("{} {} {} {} {}", server.name, server.zone, server.cell,
                    server.origin ? "origin" : "cache", shape.cores * shape.speed));
    lines_.push_back({index, cold ? EndpointState::removed : EndpointState::ready, server.startedAt});
    servers_.push_back(std::move(server));
}

std::optional<int> EmulatedDeployment::serverNamed(const std::string& name) const {
    for (std::size_t i = servers_.size(); i-- > 0;)
        if (servers_[i].name == name) return static_cast<int>(i);
    return std::nullopt;
}

void EmulatedDeployment::begin(Nanos now) {
    beganAt_ = now;
    loadUntil_ = now + scenario_.length;
    for (const FaultPlan& f : scenario_.faults) scheduleFaults(f);
    if (scenario_.routers.moved > 0) updateWeights(now);
    events_.schedule(now + arrivals_.gap(rateAt(now)), [this](Nanos t) { generateRequest(t); });
}

bool EmulatedDeployment::isOver(Nanos now) const { return now > loadUntil_ && openRequests_.empty(); }

// ---- clients

double EmulatedDeployment::rateAt(Nanos now) {
    using Shape = LoadPlan::Shape;
    const LoadPlan& l = scenario_.load;
    const double t = static_cast<double>(now - beganAt_);
    double part = 0;
    switch (l.shape) {
        case Shape::steady:
            break;
        case Shape::bursty:
            part = std::fmod(t, static_cast<double>(l.period)) < static_cast<double>(l.period) / 4 ? 3 : -1;
            break;
        case Shape::ramp:
            part = 2 * t / static_cast<double>(scenario_.length) - 1;
            break;
        case Shape::wave:
            part = std::sin(2 * M_PI * t / static_cast<double>(l.period));
            break;
    }
    return l.perSecond * now_.load * std::max(1 + l.swing * part, 0.02);
}

std::string EmulatedDeployment::drawKey(Nanos now) {
    const LoadPlan& l = scenario_.load;
    // Places that change hands: as many as are due by now.
    const auto due = static_cast<int>(l.drift * l.keys * static_cast<double>(now - beganAt_) / 1e9);
    for (; drifted_ < due; ++drifted_)
        std::swap(order_[nth(keys_.below(l.keys))], order_[nth(keys_.below(l.keys))]);
    const int rank = zipf_.draw(keys_);
    const double which = keys_.fraction();
    if (which < now_.hotKey) return "hot";
    if (which < now_.hotKey + now_.scan) return fmt::format("scan{}", ++lastScan_);
    return fmt::format("k{}", order_[nth(rank)]);
}

int EmulatedDeployment::pickRouter() {
    std::vector<int> believed;
    for (std::size_t r = 0; r < routers_.size(); ++r)
        if (routers_[r].assumedUp) believed.push_back(static_cast<int>(r));
    if (believed.empty()) return net_.below(static_cast<int>(routers_.size()));
    return believed[nth(net_.below(static_cast<int>(believed.size())))];
}

void EmulatedDeployment::generateRequest(Nanos now) {
    if (now >= loadUntil_) return;
    events_.schedule(now + arrivals_.gap(rateAt(now)), [this](Nanos t) { generateRequest(t); });
    ClientRequest a;
    a.requestClass =
        arrivals_.among(scenario_.requestClasses, [](const RequestClassPlan& v) { return v.share; });
    if (!scenario_.tenants.empty())
        a.tenant = arrivals_.among(scenario_.tenants, [](const TenantPlan& c) { return c.share; });
    const RequestClassPlan& requestClass = scenario_.requestClasses[nth(a.requestClass)];
    a.key = drawKey(now);
    a.work = static_cast<double>(requestClass.work) * arrivals_.factor(requestClass.spread);
    if (arrivals_.chance(now_.heavy)) a.work *= kHeavyFactor;
    if (requestClass.requestClass.idempotency == Idempotency::idempotentWithKey)
        a.mark = fmt::format("{:016x}", arrivals_.randomWord());
    a.id = a.first = arrivals_.randomWord();
    a.dueAt = now;
    a.deadline = a.firstLimit = now + requestClass.limit;
    const bool impatient = arrivals_.chance(scenario_.load.impatient);
    a.router = pickRouter();
    const RequestId id = a.id;
    const Nanos half = now + requestClass.limit / 2;
    sendRequest(now, std::move(a));
    if (impatient) events_.schedule(half, [this, id](Nanos t) { clientLeaves(t, id); });
}

void EmulatedDeployment::clientLeaves(Nanos now, RequestId id) {
    const auto it = openRequests_.find(id);
    if (it == openRequests_.end()) return;
    const int router = it->second.router;
    log(now, EventKind::left, id, router, -1, 0, 0);
    openRequests_.erase(it);
    transport_.disconnectClient(router, id);
}

void EmulatedDeployment::sendRequest(Nanos now, ClientRequest a) {
    const RequestId id = a.id;
    const std::string tenant = a.tenant < 0 ? "-" : scenario_.tenants[nth(a.tenant)].name;
    log(now, EventKind::asked, id, a.router, -1, static_cast<std::uint64_t>(a.dueAt), a.deadline,
        fmt::format("{} {} {} {:x} {}", scenario_.requestClasses[nth(a.requestClass)].requestClass.name,
                    tenant, a.key, a.first, a.retries));
    works_[id] = a.work;
    idempotencyRecords_.push_back(id);
    if (idempotencyRecords_.size() > kRemembered) {
        works_.erase(idempotencyRecords_.front());
        lacking_.erase(idempotencyRecords_.front());
        idempotencyRecords_.pop_front();
    }
    events_.schedule(a.deadline + scenario_.slack, [this, id](Nanos t) {
        const auto it = openRequests_.find(id);
        if (it == openRequests_.end()) return;
        const int router = it->second.router;
        log(t, EventKind::silent, id, router, -1, 0, 0);
        openRequests_.erase(it);
        transport_.disconnectClient(router, id);
    });
    const ClientRequest& kept = openRequests_[id] = std::move(a);
    transport_.sendRequest(kept);
}

void EmulatedDeployment::onClientOutcome(Nanos now, RequestId id, ClientOutcome how, const std::string& token,
                                         Nanos retryAfter) {
    const auto it = openRequests_.find(id);
    if (it == openRequests_.end()) {
        // A second final answer, or one to nobody: the audit says which.
        static constexpr EventKind whats[] = {EventKind::answered, EventKind::declined,
                                              EventKind::terminated};
        if (how != ClientOutcome::unsent && works_.contains(id))
            log(now, whats[static_cast<int>(how)], id, -1, -1, 0, retryAfter, token);
        return;
    }
    const ClientRequest ask = std::move(it->second);
    openRequests_.erase(it);
    switch (how) {
        case ClientOutcome::answered:
            return log(now, EventKind::answered, id, ask.router, -1, 0, 0, token);
        case ClientOutcome::declined:
            log(now, EventKind::declined, id, ask.router, -1, 0, retryAfter);
            return retryLater(now, ask, std::max(retryAfter, scenario_.load.backoff << (ask.retries - 1)));
        case ClientOutcome::terminated:
            log(now, EventKind::terminated, id, ask.router, -1, 0, 0);
            // Nobody can say whether it ran: only what may run twice is asked again.
            if (scenario_.requestClasses[nth(ask.requestClass)].requestClass.idempotency == Idempotency::safe)
                retryLater(now, ask, scenario_.load.backoff << (ask.retries - 1));
            return;
        case ClientOutcome::unsent:
            log(now, EventKind::unsent, id, ask.router, -1, 0, 0);
            if (token.empty() ||
                scenario_.requestClasses[nth(ask.requestClass)].requestClass.idempotency == Idempotency::safe)
                retryLater(now, ask, kMillisecond);
            return;
    }
}

void EmulatedDeployment::retryLater(Nanos now, const ClientRequest& last, Nanos after) {
    if (last.retries >= scenario_.load.tries) return;
    const auto wait = static_cast<Nanos>(static_cast<double>(after) * (0.75 + 0.5 * net_.fraction()));
    const RequestClassPlan& requestClass = scenario_.requestClasses[nth(last.requestClass)];
    if (now + wait + requestClass.limit / 20 > last.firstLimit) return;
    events_.schedule(now + wait, [this, last](Nanos t) {
        ClientRequest a = last;
        a.id = net_.randomWord();
        ++a.retries;
        a.router = pickRouter();
        sendRequest(t, std::move(a));
    });
}

// ---- connections and attempts

Nanos EmulatedDeployment::delay(const std::string& from, const std::string& to) {
    const Nanos mean = from == to ? scenario_.network.same : scenario_.network.cross;
    return static_cast<Nanos>(static_cast<double>(mean) * net_.factor(scenario_.network.jitter));
}

bool EmulatedDeployment::passes(int router, int server) const {
    if (now_.cutZone.empty()) return true;
    return (routers_[nth(router)].zone == now_.cutZone) == (servers_[nth(server)].zone == now_.cutZone);
}

AddressState EmulatedDeployment::addressState(int router, int door) const {
    const int server = occupants_[nth(door)];
    const ServerState& host = *serverStates_[nth(server)];
    if (!passes(router, server) || host.late) return AddressState::silent;
    return host.life == ServerCondition::down || host.life == ServerCondition::gone || host.refuses
               ? AddressState::refused
               : AddressState::open;
}

void EmulatedDeployment::updateAddressStates(Nanos) {
    for (int r = 0; r < scenario_.routers.count; ++r)
        for (int d = 0; d < addresses(); ++d) transport_.setAddressState(r, d, addressState(r, d));
}

ConnectionId EmulatedDeployment::connect(Nanos now, int router, int door) {
    const int server = occupants_[nth(door)];
    ServerState& host = *serverStates_[nth(server)];
    const ConnectionId id = ++lastConn_;
    const Server& s = servers_[nth(server)];
    const int most = s.origin ? scenario_.origin.connections : s.plan->connections;
    AddressState state = addressState(router, door);
    if (state == AddressState::open && host.connections >= most) state = AddressState::refused;
    if (state == AddressState::open) {
        connections_[id] = {id, router, server, false, 0, {}};
        ++host.connections;
        log(now, EventKind::opened, 0, router, server, 0, 0);
        if (!s.origin) host.machine.extra(static_cast<double>(s.plan->handshake));
    }
    if (state == AddressState::silent) return id;
    const std::string& zone = routers_[nth(router)].zone;
    const Nanos trip = delay(zone, s.zone) + delay(s.zone, zone);
    events_.schedule(now + trip, [this, id, up = state == AddressState::open](Nanos) {
        const auto it = connections_.find(id);
        if (it != connections_.end()) it->second.up = true;
        if (!up || it != connections_.end()) transport_.onConnectionOpened(id, up);
    });
    return id;
}

void EmulatedDeployment::closed(Nanos now, ConnectionId id) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    ServerState& host = *serverStates_[nth(it->second.server)];
    --host.connections;
    for (const auto& owed : it->second.owed) {
        const auto run = executions_.find(owed.run);
        if (run == executions_.end()) continue;
        log(now, EventKind::closed, run->second.call.command, it->second.router, run->second.server, owed.run,
            0);
        // What only waited there is dropped; what runs goes on, and so does what is still on its way.
        if (host.machine.withdraw(owed.run)) executions_.erase(run);
    }
    connections_.erase(it);
}

void EmulatedDeployment::call(Nanos now, ConnectionId id, const ServerCall& call) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    ServerConnection& conn = it->second;
    const Server& s = servers_[nth(conn.server)];
    ServerState& host = *serverStates_[nth(conn.server)];
    ExecutionInFlight out;
    out.run = ++lastRun_;
    out.conn = id;
    out.call = call;
    out.server = conn.server;
    const auto work = works_.find(call.command);
    out.work = work != works_.end() ? work->second : static_cast<double>(scenario_.requestClasses[0].work);
    if (s.origin && !call.write) out.work *= scenario_.origin.readWork;
    const std::uint64_t run = out.run;
    log(now, EventKind::sent, call.command, conn.router, conn.server, run,
        static_cast<std::int64_t>(out.work), timeToldText(call));
    executions_[run] = std::move(out);
    conn.owed.push_back({run, std::nullopt});
    if (!passes(conn.router, conn.server)) return;
    conn.lastArrival =
        std::max(conn.lastArrival, now + delay(routers_[nth(conn.router)].zone, s.zone) + host.readsLater);
    const std::uint64_t life = host.lives;
    events_.schedule(conn.lastArrival, [this, run, life](Nanos t) {
        const auto found = executions_.find(run);
        if (found != executions_.end() && serverStates_[nth(found->second.server)]->lives == life)
            onRequestArrived(t, run);
    });
    if (service_.chance(host.resets))
        events_.schedule(conn.lastArrival + static_cast<Nanos>(executions_[run].work / 2 / s.speed),
                         [this, id](Nanos t) { breakConnection(t, id); });
}

void EmulatedDeployment::onRequestArrived(Nanos now, std::uint64_t run) {
    ExecutionInFlight& out = executions_.at(run);
    const Server& s = servers_[nth(out.server)];
    ServerState& host = *serverStates_[nth(out.server)];
    if (host.life != ServerCondition::up) return;
    if (host.draining) return queueReply(now, run, {Reply::Kind::busy, {}});
    if (service_.chance(host.errors)) return queueReply(now, run, {Reply::Kind::error, {}});
    if (!s.origin && !out.call.write && !(out.hit = host.kept.touch(out.call.key))) out.work *= kMissWork;

    const double pace = paceOf(now, s.startedAt, scenario_.cold.share, scenario_.cold.ramp);
    host.drive.add(now, out.work);
    const double bearable =
        host.machine.capacity() * static_cast<double>(std::max<Nanos>(scenario_.cold.fallSpan, 1));
    const bool cold = !s.origin && s.startedAt > 0 && now - s.startedAt < scenario_.cold.ramp;
    const double tip = s.origin ? scenario_.origin.tip : cold ? scenario_.cold.tip * pace : 0;
    if (tip > 0 && host.drive.sum(now) > tip * bearable) {
        const int server = out.server;
        log(now, EventKind::fell, 0, -1, server, 0, 0);
        stopServer(now, server);
        if (!s.origin) changeEndpoint(now, server, EndpointState::removed, scenario_.discovery.noticeGone);
        events_.schedule(now + (s.origin ? scenario_.origin.stopped : scenario_.cold.down),
                         [this, server](Nanos t) { restartServer(t, server); });
        return;
    }
    if (host.machine.full()) return queueReply(now, run, {Reply::Kind::busy, {}});
    host.machine.take(run, out.work);
    serve(now, out.server);
}

void EmulatedDeployment::serve(Nanos now, int server) {
    ServerState& host = *serverStates_[nth(server)];
    if (host.life != ServerCondition::up) return;
    const Server& s = servers_[nth(server)];
    const double pace =
        paceOf(now, s.startedAt, s.origin ? 1 : scenario_.cold.share, scenario_.cold.ramp) / host.slow;
    for (const ServerModel::Begun& begun : host.machine.begin(now, pace)) {
        ExecutionInFlight& out = executions_.at(begun.job);
        out.begun = true;
        for (const RequestClassPlan& v : scenario_.requestClasses) {
            if (v.requestClass.name != out.call.requestClass ||
                v.requestClass.idempotency == Idempotency::safe)
                continue;
            // A repeat by its mark, where its group still knows it, gets the receipt and takes no effect.
            std::string group = "all";
            if (v.requestClass.deduplicationScope == DeduplicationScope::zone) group = "z" + s.zone;
            if (v.requestClass.deduplicationScope == DeduplicationScope::cell)
                group = fmt::format("c{}", s.cell);
            const bool repeat =
                v.requestClass.idempotency == Idempotency::idempotentWithKey && !out.call.mark.empty() &&
                !marks_[group].enter(now, out.call.mark, now + v.requestClass.idempotencyKeyTtl);
            if (!repeat) log(now, EventKind::began, out.call.command, -1, server, begun.job, 0);
        }
        events_.schedule(begun.until, [this, run = begun.job, life = host.lives, server](Nanos t) {
            if (serverStates_[nth(server)]->lives == life) finish(t, run);
        });
    }
}

void EmulatedDeployment::finish(Nanos now, std::uint64_t run) {
    const auto it = executions_.find(run);
    if (it == executions_.end()) return;
    ExecutionInFlight& out = it->second;
    const int server = out.server;
    ServerState& host = *serverStates_[nth(server)];
    const Server& s = servers_[nth(server)];
    host.machine.ended();
    Reply reply{Reply::Kind::value, fmt::format("v{:x}", run)};
    if (s.origin) {
        for (std::size_t c = 1; c < servers_.size() && out.call.write; ++c)
            serverStates_[c]->kept.drop(out.call.key);
        if (const auto lacking = lacking_.find(out.call.command);
            lacking != lacking_.end() && !out.call.write) {
            for (const int c : lacking->second)
                if (serverStates_[nth(c)]->life == ServerCondition::up)
                    serverStates_[nth(c)]->kept.put(out.call.key);
            lacking_.erase(lacking);
        }
    } else if (service_.chance(s.plan->errors)) {
        reply = {Reply::Kind::error, {}};
    } else if (!out.call.write && !out.hit) {
        reply = {Reply::Kind::miss, {}};
        lacking_[out.call.command].push_back(server);
    }
    if (service_.chance(now_.spoil)) reply = {Reply::Kind::spoilt, {}};
    queueReply(now, run, std::move(reply));
    serve(now, server);
}

// The server's word on a run; what is left of the run goes with it.
void EmulatedDeployment::queueReply(Nanos now, std::uint64_t run, Reply reply) {
    const auto it = executions_.find(run);
    const ExecutionInFlight out = std::move(it->second);
    executions_.erase(it);
    static constexpr std::string_view kinds[] = {"value", "miss", "error", "busy", "spoilt"};
    log(now, EventKind::ended, out.call.command, -1, out.server, run, 0,
        fmt::format("{} {}", kinds[static_cast<int>(reply.kind)], reply.token));
    const auto conn = connections_.find(out.conn);
    if (conn == connections_.end()) return;
    for (auto& owed : conn->second.owed)
        if (owed.run == run) owed.reply = std::move(reply);
    if (serverStates_[nth(out.server)]->deaf) return;
    deliverReply(now, out.conn);
}

void EmulatedDeployment::deliverReply(Nanos now, ConnectionId id) {
    ServerConnection& conn = connections_.at(id);
    while (!conn.owed.empty() && conn.owed.front().reply) {
        const Reply reply = std::move(*conn.owed.front().reply);
        conn.owed.pop_front();
        if (!passes(conn.router, conn.server)) return;
        const Nanos trip = delay(servers_[nth(conn.server)].zone, routers_[nth(conn.router)].zone);
        events_.schedule(now + trip, [this, id, reply](Nanos) {
            if (connections_.contains(id)) transport_.sendReply(id, reply);
        });
    }
}

void EmulatedDeployment::breakConnection(Nanos now, ConnectionId id) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    --serverStates_[nth(it->second.server)]->connections;
    for (const auto& owed : it->second.owed)
        if (const auto run = executions_.find(owed.run); run != executions_.end())
            log(now, EventKind::broke, run->second.call.command, it->second.router, it->second.server,
                owed.run, 0);
    connections_.erase(it);
    transport_.breakConnection(id);
}

void EmulatedDeployment::breakAllConnections(Nanos now, int server) {
    std::vector<ConnectionId> all;
    for (const auto& [id, conn] : connections_)
        if (conn.server == server) all.push_back(id);
    std::sort(all.begin(), all.end());  // the same order each time
    for (const ConnectionId id : all) breakConnection(now, id);
}

void EmulatedDeployment::stopServer(Nanos now, int server) {
    ServerState& host = *serverStates_[nth(server)];
    host.life = ServerCondition::down;
    ++host.lives;
    host.machine.clear();
    host.kept.clear();
    host.drive.clear();
    breakAllConnections(now, server);
    std::erase_if(executions_, [&](const auto& item) { return item.second.server == server; });
    updateAddressStates(now);
}

void EmulatedDeployment::restartServer(Nanos now, int server) {
    ServerState& host = *serverStates_[nth(server)];
    const bool back = host.life == ServerCondition::down || host.life == ServerCondition::hung;
    if (host.life == ServerCondition::gone || (!back && !host.leaving)) return;
    host.life = ServerCondition::up;
    host.leaving = host.draining = false;
    ++host.lives;
    Server& s = servers_[nth(server)];
    if (!s.origin) s.startedAt = now;
    s.wallStep = wallStep_;
    log(now, EventKind::started, 0, -1, server, 0, s.startedAt);
    updateAddressStates(now);
    if (!s.origin) changeEndpoint(now, server, EndpointState::ready, scenario_.discovery.noticeBack);
}

// ---- discovery

EndpointListMessage EmulatedDeployment::completeList() const {
    EndpointListMessage list{version_, true, {}};
    for (const EndpointLine& line : lines_)
        if (line.state != EndpointState::removed) list.lines.push_back(line);
    return list;
}

EndpointListMessage EmulatedDeployment::lastList(int router) const {
    const RouterState& state = routers_[nth(router)];
    if (state.knownEndpoints.empty()) return completeList();
    EndpointListMessage list{
        0, true, {}};  // its version may be old: whatever has changed since is told at the first call
    for (const auto& [server, line] : state.knownEndpoints)
        if (line.state != EndpointState::removed) list.lines.push_back(line);
    return list;
}

void EmulatedDeployment::changeEndpoint(Nanos now, int server, EndpointState presence, Nanos after) {
    events_.schedule(now + after, [this, server, presence](Nanos t) {
        // It has come back before anyone noticed that it was gone.
        const ServerState& host = *serverStates_[nth(server)];
        if (presence == EndpointState::removed && host.life == ServerCondition::up && !host.leaving) return;
        EndpointLine& line = lines_[nth(server)];
        line.state = presence;
        line.startedAt = servers_[nth(server)].startedAt;
        changes_.push_back({++version_, line});
        if (scenario_.discovery.toldWithin > 0)
            events_.schedule(t + scenario_.discovery.toldWithin,
                             [this, change = changes_.back()](Nanos due) { countAsKnown(due, change); });
        answerLongPolls(t);
    });
}

void EmulatedDeployment::updateWeights(Nanos now) {
    for (EndpointLine& line : lines_) {
        const Server& s = servers_[nth(line.server)];
        if (s.origin) continue;
        const ServerModel& machine = serverStates_[nth(line.server)]->machine;
        const double held = (machine.running() + static_cast<double>(machine.waiting())) / s.plan->cores;
        if (std::exchange(line.heldCommands, held) != held) changes_.push_back({++version_, line});
    }
    answerLongPolls(now);
    if (now <= loadUntil_)
        events_.schedule(now + scenario_.discovery.weighEvery, [this](Nanos t) { updateWeights(t); });
}

PollId EmulatedDeployment::beginPoll(Nanos now, int router, std::optional<std::int64_t> after, Nanos wait) {
    const PollId call = ++lastCall_;
    pendingPolls_[call] = {router, after, 0};
    if (discoverySilent_) return call;
    if (now_.listRefused > 0 && faults_.chance(now_.listRefused))
        return refuseAfterDelay(now, router, call), call;
    if (scenario_.discovery.crowded) endOlderPolls(router, call);
    const Nanos turn = discoveryTurn();
    discoveryFreeAt_ = std::max(now, discoveryFreeAt_) + turn;
    const bool late = discoveryFreeAt_ - now > scenario_.discovery.limit;
    if (late && scenario_.discovery.crowded && !discoveryDown_) {
        discoveryFreeAt_ -= turn - turn / kRefusalPart;
        return refuseAfterDelay(now, router, call), call;
    }
    if (discoveryDown_ || late) {
        if (late) discoveryFreeAt_ -= turn;
        events_.schedule(now + (discoveryDown_ ? scenario_.network.same : scenario_.discovery.limit),
                         [this, router, call](Nanos) {
                             if (pendingPolls_.erase(call) > 0) transport_.failPoll(router, call);
                         });
        return call;
    }
    events_.schedule(discoveryFreeAt_, [this, call, wait](Nanos t) {
        const auto it = pendingPolls_.find(call);
        if (it == pendingPolls_.end()) return;
        PendingPoll& waiting = it->second;
        if (!waiting.after || *waiting.after < version_) return answerPoll(t, call);
        waiting.until = t + wait;
        events_.schedule(t + wait, [this, call](Nanos end) {
            const auto due = pendingPolls_.find(call);
            if (due != pendingPolls_.end() && due->second.until > 0) answerPoll(end, call);
        });
    });
    return call;
}

Nanos EmulatedDeployment::discoveryTurn() const {
    return static_cast<Nanos>(1e9 / scenario_.discovery.perSecond);
}

void EmulatedDeployment::refuseAfterDelay(Nanos now, int router, PollId call) {
    events_.schedule(now + scenario_.network.same, [this, router, call](Nanos) {
        if (pendingPolls_.erase(call) > 0) transport_.refusePoll(router, call);
    });
}

void EmulatedDeployment::endOlderPolls(int router, PollId call) {
    std::vector<PollId> older;
    for (const auto& [id, out] : pendingPolls_)
        if (out.router == router && id != call) older.push_back(id);
    for (const PollId id : older) {
        pendingPolls_.erase(id);
        transport_.refusePoll(router, id);
    }
}

void EmulatedDeployment::endPoll(PollId call) { pendingPolls_.erase(call); }

std::vector<PollId> EmulatedDeployment::pollsInOrder() const {
    std::vector<PollId> calls;
    for (const auto& [id, call] : pendingPolls_) calls.push_back(id);
    std::stable_sort(calls.begin(), calls.end(), [this](PollId a, PollId b) {
        return pendingPolls_.at(a).router < pendingPolls_.at(b).router;
    });
    return calls;
}

void EmulatedDeployment::answerLongPolls(Nanos now) {
    for (const PollId id : pollsInOrder()) {
        if (pendingPolls_.at(id).until <= now) continue;
        if (!scenario_.discovery.crowded) {
            answerPoll(now, id);
            continue;
        }
        pendingPolls_.at(id).until = 0;
        discoveryFreeAt_ = std::max(now, discoveryFreeAt_) + discoveryTurn();
        events_.schedule(discoveryFreeAt_, [this, id](Nanos t) {
            if (pendingPolls_.contains(id)) answerPoll(t, id);
        });
    }
}

Nanos EmulatedDeployment::discoveryLateness() {
    if (now_.listLate == 0) return 0;
    return static_cast<Nanos>(static_cast<double>(now_.listLate) * (1 - faults_.fraction() / 4));
}

void EmulatedDeployment::answerPoll(Nanos now, PollId id) {
    PendingPoll& asked = pendingPolls_.at(id);
    EndpointListMessage list{version_, false, {}};
    const std::int64_t known = asked.after.value_or(0);
    const std::int64_t oldest = changes_.empty() ? version_ : changes_.front().version - 1;
    if (!asked.after || known < oldest || known > version_) {
        list = completeList();
    } else {
        for (const Change& c : changes_)
            if (c.version > known) list.lines.push_back(c.line);
    }
    asked.until = 0;
    events_.schedule(now + discoveryLateness() + scenario_.network.same, [this, id, list](Nanos t) {
        const auto it = pendingPolls_.find(id);
        if (it == pendingPolls_.end() || discoverySilent_) return;
        const int router = it->second.router;
        pendingPolls_.erase(it);
        onEndpointListDelivered(t, router, list);
        transport_.sendEndpointList(router, id, list);
    });
}

void EmulatedDeployment::onEndpointListDelivered(Nanos now, int router, const EndpointListMessage& list) {
    const auto& told = routers_[nth(router)].knownEndpoints;
    if (list.full)
        for (const auto& [server, line] : std::map(told))
            if (std::none_of(list.lines.begin(), list.lines.end(),
                             [&, s = server](const EndpointLine& l) { return l.server == s; }))
                sendEndpointList(now, router, {server, EndpointState::removed, line.startedAt}, list.version,
                                 false);
    for (const EndpointLine& line : list.lines) sendEndpointList(now, router, line, list.version, false);
}

// An answer that comes behind a newer one takes nothing back.
void EmulatedDeployment::sendEndpointList(Nanos now, int router, const EndpointLine& line,
                                          std::int64_t version, bool counted) {
    static constexpr std::string_view states[] = {"gone", "ready", "draining"};
    RouterState& state = routers_[nth(router)];
    std::int64_t& toldVersion = state.knownVersion[line.server];
    if (version < toldVersion) return;
    toldVersion = version;
    const auto it = state.knownEndpoints.find(line.server);
    if (it != state.knownEndpoints.end() && it->second.state == line.state &&
        it->second.startedAt == line.startedAt)
        return;
    state.knownEndpoints[line.server] = line;
    std::string text(states[static_cast<int>(line.state)]);
    if (counted) text += " counted";
    log(now, EventKind::listed, 0, router, line.server, 0, line.startedAt, text);
}

void EmulatedDeployment::countAsKnown(Nanos now, const Change& change) {
    const Nanos within = scenario_.discovery.toldWithin;
    if (!isDiscoveryReachable())
        return events_.schedule(now + within, [this, change](Nanos t) { countAsKnown(t, change); });
    if (const Nanos due = discoveryReachableSince_ + within; due > now)
        return events_.schedule(due, [this, change](Nanos t) { countAsKnown(t, change); });
    for (int r = 0; r < scenario_.routers.count; ++r)
        if (routers_[nth(r)].up) sendEndpointList(now, r, change.line, change.version, true);
}

void EmulatedDeployment::failPolls() {
    for (const PollId id : pollsInOrder()) {
        const int router = pendingPolls_.at(id).router;
        pendingPolls_.erase(id);
        transport_.failPoll(router, id);
    }
}

// ---- routers

void EmulatedDeployment::routerUp(Nanos now, int router) {
    RouterState& state = routers_[nth(router)];
    state.up = state.assumedUp = true;
    log(now, EventKind::up, 0, router, -1, 0, 0, state.zone);
    onEndpointListDelivered(now, router, lastList(router));
}

void EmulatedDeployment::routerLeaves(Nanos now, int router, Nanos since) {
    RouterState& state = routers_[nth(router)];
    state.ending = true;
    log(now, EventKind::stopping, 0, router, -1, 0, since);
    events_.schedule(now + kFrontSeesTerm, [this, router, life = state.life](Nanos) {
        if (routers_[nth(router)].life == life) routers_[nth(router)].assumedUp = false;
    });
}

void EmulatedDeployment::routerGone(Nanos now, int router) {
    RouterState& state = routers_[nth(router)];
    state.up = false;
    std::erase_if(pendingPolls_, [router](const auto& call) { return call.second.router == router; });
    const std::uint64_t life = ++state.life;
    const bool asked = std::exchange(state.ending, false);
    log(now, EventKind::killed, 0, router, -1, 0, 0, asked ? "asked" : "by itself");
    std::vector<ConnectionId> all;
    for (const auto& [id, conn] : connections_)
        if (conn.router == router) all.push_back(id);
    std::sort(all.begin(), all.end());
    for (const ConnectionId id : all) closed(now, id);
    events_.schedule(now + scenario_.routers.notice, [this, router, life](Nanos) {
        RouterState& later = routers_[nth(router)];
        if (later.life == life && !later.up) later.assumedUp = false;
    });
    events_.schedule(now + scenario_.routers.restart,
                     [this, router](Nanos) { transport_.startRouter(router); });
}

// ---- faults

void EmulatedDeployment::scheduleFaults(const FaultPlan& fault) {
    for (int i = 0; i < fault.times; ++i) {
        FaultPlan one = fault;
        one.at = beganAt_ + fault.at + fault.length * i / fault.times;
        if (fault.times > 1) one.length = fault.length / fault.times / 2;
        events_.schedule(one.at, [this, one](Nanos t) { injectFault(t, one); });
    }
}

std::vector<int> EmulatedDeployment::drawCaches(int count) {
    std::vector<int> up;
    for (std::size_t i = 1; i < servers_.size(); ++i)
        if (serverStates_[i]->life == ServerCondition::up && !serverStates_[i]->draining)
            up.push_back(static_cast<int>(i));
    std::shuffle(up.begin(), up.end(), faults_.source());
    if (std::ssize(up) > count) up.resize(nth(count));
    std::sort(up.begin(), up.end());
    return up;
}

void EmulatedDeployment::injectFault(Nanos now, const FaultPlan& fault) {
    log(now, EventKind::fault, 0, -1, -1, 0, 0, fmt::format("begins {} {}", nameOf(fault.kind), fault.zone));
    std::vector<int> hit;
    const auto each = [&](auto what) {
        hit = drawCaches(fault.count);
        for (const int s : hit) what(s, *serverStates_[nth(s)]);
    };
    using K = FaultKind;
    switch (fault.kind) {
        case K::crash:
            each([&](int s, ServerState&) {
                stopServer(now, s);
                changeEndpoint(now, s, EndpointState::removed, scenario_.discovery.noticeGone);
            });
            break;
        case K::hang:
            each([&](int s, ServerState& host) {
                host.life = ServerCondition::hung;
                changeEndpoint(now, s, EndpointState::removed, scenario_.discovery.noticeGone);
            });
            break;
        case K::slow:
            each([&](int, ServerState& host) { host.slow = std::max(fault.by, 0.01); });
            break;
        case K::errors:
            each([&](int, ServerState& host) { host.errors = fault.by; });
            break;
        case K::replace:
            each([&](int s, ServerState& host) {
                stopServer(now, s);
                host.life = ServerCondition::gone;
                changeEndpoint(now, s, EndpointState::removed, scenario_.discovery.noticeGone);
                Server fresh = servers_[nth(s)];
                fresh.name = fmt::format("{}-new{}", fresh.plan->name, ++lastReplaced_);
                const auto index = static_cast<int>(servers_.size());
                occupants_[nth(fresh.door)] = index;
                addServer(std::move(fresh), now, true);
                log(now, EventKind::started, 0, -1, index, 0, now);
                updateAddressStates(now);
                changeEndpoint(now, index, EndpointState::ready, scenario_.discovery.noticeBack);
            });
            break;
        case K::drain:
            each([&](int s, ServerState& host) {
                changeEndpoint(now, s, EndpointState::draining, 0);
                // What ails it otherwise by then, or a fault that is over, ends the leaving.
                host.leaving = true;
                const auto leaves = [&host, lives = host.lives] {
                    return host.leaving && host.lives == lives;
                };
                events_.schedule(now + scenario_.drainGrace,
                                 [&host, leaves](Nanos) { host.draining = leaves(); });
                events_.schedule(now + 2 * scenario_.drainGrace + scenario_.longestLimit(),
                                 [this, s, leaves](Nanos t) {
                                     if (!leaves()) return;
                                     stopServer(t, s);
                                     changeEndpoint(t, s, EndpointState::removed, 0);
                                 });
            });
            break;
        case K::cut:
            now_.cutZone = fault.zone;
            updateAddressStates(now);
            break;
        case K::refuse:
            each([&](int, ServerState& host) { host.refuses = true; });
            updateAddressStates(now);
            break;
        case K::late:
            each([&](int, ServerState& host) { host.late = true; });
            updateAddressStates(now);
            break;
        case K::leave: {
            std::vector<RequestId> waiting;
            for (const auto& [id, ask] : openRequests_) waiting.push_back(id);
            std::sort(waiting.begin(), waiting.end());  // by number, so that a run is the same each time
            for (const RequestId id : waiting)
                if (faults_.chance(fault.by)) clientLeaves(now, id);
            break;
        }
        case K::reset:
            each([&](int, ServerState& host) { host.resets = fault.by; });
            break;
        case K::slowReader:
            each([&](int, ServerState& host) {
                host.readsLater = static_cast<Nanos>(fault.by * kMillisecond);
            });
            break;
        case K::unresponsive:
            each([&](int, ServerState& host) { host.deaf = true; });
            break;
        case K::malformedResponses:
            now_.spoil = fault.by;
            break;
        case K::originStop:
            stopServer(now, 0);
            break;
        case K::originSlow:
            serverStates_[0]->slow = fault.by;
            break;
        case K::discoveryDown:
            discoveryDown_ = true;
            failPolls();
            break;
        case K::discoverySilent:
            discoverySilent_ = true;
            break;
        case K::discoverySlow:
            now_.listLate = static_cast<Nanos>(fault.by * kMillisecond);
            break;
        case K::discoveryRefuse:
            now_.listRefused = fault.by;
            break;
        case K::discoveryMove:
            transport_.moveDiscovery(++discoveryAddress_);
            break;
        case K::hotKey:
            now_.hotKey = fault.by;
            break;
        case K::heavy:
            now_.heavy = fault.by;
            break;
        case K::scan:
            now_.scan = fault.by;
            break;
        case K::load:
            now_.load = fault.by;
            break;
        case K::routerKill: {
            std::vector<int> all;
            for (int r = 0; r < scenario_.routers.count; ++r)
                if (routers_[nth(r)].up) all.push_back(r);
            std::shuffle(all.begin(), all.end(), faults_.source());
            for (std::size_t i = 0; i < std::min(all.size(), nth(fault.count)); ++i) {
                routers_[nth(all[i])].ending = true;
                log(now, EventKind::killed, 0, all[i], -1, 0, 0, "asked");
                transport_.killRouter(all[i]);
            }
            break;
        }
        case K::routerRestart:
            for (int r = 0; r < scenario_.routers.count; ++r)
                events_.schedule(now + fault.length * r / scenario_.routers.count, [this, r](Nanos t) {
                    RouterState& state = routers_[nth(r)];
                    if (!state.up) return;
                    state.ending = true;
                    log(t, EventKind::stopping, 0, r, -1, 0, 0);
                    transport_.terminateRouter(r);
                    events_.schedule(t + kFrontSeesTerm, [this, r, life = state.life](Nanos) {
                        if (routers_[nth(r)].life == life) routers_[nth(r)].assumedUp = false;
                    });
                });
            break;
        case K::routerUpgrade:
            for (int r = 0; r < scenario_.routers.count; ++r)
                events_.schedule(now + fault.length * r / scenario_.routers.count, [this, r](Nanos) {
                    if (routers_[nth(r)].up) transport_.upgradeRouter(r);
                });
            break;
        case K::reload:
            for (int r = 0; r < scenario_.routers.count; ++r)
                if (routers_[nth(r)].up) transport_.reloadRouter(r);
            break;
        case K::wallStep:
            wallStep_ = static_cast<Nanos>(fault.by * kMillisecond);
            transport_.injectProcessFault(fault, true);
            break;
        case K::callsFail:
        case K::holdUp:
            transport_.injectProcessFault(fault, true);
            break;
        default: {  // of machines
            const int drawn = faults_.below(std::max(scenario_.machines.count, 1));
            hit = {fault.machine >= 0 ? fault.machine : drawn};
            transport_.injectMachineFault(fault, hit[0], true);
            break;
        }
    }
    if (fault.length > 0)
        events_.schedule(now + fault.length, [this, fault, hit](Nanos t) { clearFault(t, fault, hit); });
}

void EmulatedDeployment::clearFault(Nanos now, const FaultPlan& fault, const std::vector<int>& hit) {
    log(now, EventKind::fault, 0, -1, -1, 0, 0, fmt::format("ends {} {}", nameOf(fault.kind), fault.zone));
    if (fault.kind == FaultKind::wallStep) wallStep_ = 0;
    if (fault.kind >= FaultKind::callsFail && fault.kind <= FaultKind::holdUp)
        return transport_.injectProcessFault(fault, false);
    if (fault.kind >= FaultKind::machineKill) return transport_.injectMachineFault(fault, hit.at(0), false);
    for (const int s : hit) {
        ServerState& host = *serverStates_[nth(s)];
        switch (fault.kind) {
            case FaultKind::crash:
            case FaultKind::drain:
                if (host.life != ServerCondition::down && !host.leaving) break;
                if (host.life != ServerCondition::down) stopServer(now, s);
                restartServer(now, s);
                break;
            case FaultKind::hang:
                // A process that hung is started anew.
                if (host.life != ServerCondition::hung) break;
                stopServer(now, s);
                restartServer(now, s);
                break;
            default:
                host.slow = 1;
                host.errors = host.resets = 0;
                host.refuses = host.late = host.deaf = false;
                host.readsLater = 0;
        }
    }
    using K = FaultKind;
    if (fault.kind == K::cut) {
        std::vector<ConnectionId> across;
        for (const auto& [id, conn] : connections_)
            if (!passes(conn.router, conn.server)) across.push_back(id);
        std::sort(across.begin(), across.end());
        now_.cutZone.clear();
        for (const ConnectionId id : across) breakConnection(now, id);
    }
    if (fault.kind == K::cut || fault.kind == K::refuse || fault.kind == K::late) updateAddressStates(now);
    if (fault.kind == K::malformedResponses) now_.spoil = 0;
    if (fault.kind == K::originStop) restartServer(now, 0);
    if (fault.kind == K::originSlow) serverStates_[0]->slow = 1;
    if (fault.kind == K::discoveryDown) discoveryDown_ = false;
    if (fault.kind == K::discoverySilent) discoverySilent_ = false;
    if (fault.kind == K::discoveryDown || fault.kind == K::discoverySilent) discoveryReachableSince_ = now;
    if (fault.kind == K::discoverySlow) now_.listLate = 0;
    if (fault.kind == K::discoveryRefuse) now_.listRefused = 0;
    if (fault.kind == K::hotKey) now_.hotKey = 0;
    if (fault.kind == K::heavy) now_.heavy = 0;
    if (fault.kind == K::scan) now_.scan = 0;
    if (fault.kind == K::load) now_.load = 1;
}

}  // namespace poppyscale::testbed
