#include "lab/sim.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "lab/world.hpp"
#include "logic.hpp"

namespace poppyscale::lab {
namespace {

// The module reads 0 as long ago, so its clock starts far from it.
constexpr Nanos kBase = 1'000'000'000 * kMillisecond;
constexpr Nanos kLeaving = 480 * kMillisecond;

class Play;

// One router: the module and the least of a host round it. What real sockets add is `run`'s to show.
class SimRouter : private Host {
  public:
    SimRouter(Play& play, int index, std::uint64_t seed, Nanos now);

    void ask(const Ask& ask);
    void leave(CommandId id);
    void opened(ConnId id, bool up);
    void reply(ConnId id, const Reply& reply);
    void broke(ConnId id);
    void listed(Nanos now, NewsKind kind, const List& list);
    void stop(Nanos now);
    void turn(Nanos now);
    bool finished(Nanos now) const { return stopAt_ && now >= stopAt_ && commands_.empty(); }
    bool accepts(Nanos now) const { return !stopAt_ || now < stopAt_; }
    void giveUp(ConnId conn, CommandId id, int number);
    void idled(ConnId conn, Nanos since);
    void dropAll(Nanos now);
    void watchAnew(Nanos now);

  private:
    struct Out {
        int server;
        ConnId conn;
        Nanos sentAt;
        int number;
        bool written = false;
    };
    struct Held {
        Ask ask;
        bool told = false;
        int relays = 0;
        std::optional<Out> out;
    };
    struct Send {
        std::string cache;
        Nanos giveUpAt;
    };
    struct Tell {
        World::Told how;
        Nanos comeBack;
    };
    struct Action {
        CommandId id;
        std::variant<Send, Tell> what;
    };
    struct Link {
        int door;
        CommandId command = 0;
        bool up = false;
        Nanos idleAt = 0;
    };

    void relay(CommandId id, std::string_view cache, Nanos giveUpAt) override {
        actions_.push_back({id, Send{std::string(cache), giveUpAt - kBase}});
    }
    void decline(CommandId id, Nanos comeBack) override {
        actions_.push_back({id, Tell{World::Told::declined, comeBack}});
    }
    void terminate(CommandId id) override { actions_.push_back({id, Tell{World::Told::terminated, 0}}); }
    void wake(Nanos at) override;
    void subscribe() override { subscribe_ = true; }
    void log(std::string_view) override {}

    void send(Nanos now, CommandId id, Held& held, const Send& what);
    void end(Nanos now, CommandId id, Ending ending);
    void write(Nanos now, ConnId conn, Held& held);
    void drop(Nanos now, ConnId conn);
    void rest(ConnId conn, Link& link);

    Play& play_;
    int index_;
    std::unordered_map<CommandId, Held> commands_;
    std::unordered_map<ConnId, Link> links_;
    std::unordered_map<int, std::vector<ConnId>> idle_;  // by door
    std::vector<std::function<void(Nanos)>> events_;     // for the module, in their order
    std::vector<Action> actions_;
    std::int64_t version_ = 0;
    Nanos stopAt_ = 0;
    bool subscribe_ = false;
    Router router_;
};

class Play : public Driver {
  public:
    Play(const Scenario& scenario, std::uint64_t seed, Ledger& ledger)
        : seed(seed),
          world(scenario, seed, ledger, *this),
          routers_(static_cast<std::size_t>(scenario.routers.count)) {}

    void run(const std::function<void(Nanos)>& progress) {
        const Scenario& s = world.scenario();
        for (int r = 0; r < s.routers.count; ++r) start(r);
        world.begin(0);
        Nanos shown = 0;
        const Nanos last = s.length + s.longestLimit() + s.slack + 1'000 * kMillisecond;
        settle();
        while (now < last && !world.over(now)) {
            now = world.next();
            world.step(now);
            settle();
            if (progress && now - shown > 1'000 * kMillisecond) progress(shown = now);
        }
    }
    void touch(int router) {
        if (!std::exchange(touched_[static_cast<std::size_t>(router)], 1)) dirty_.push_back(router);
    }

    void ask(const Ask& ask) override {
        SimRouter* const r = at(ask.router);
        if (r && r->accepts(now)) {
            touch(ask.router);
            return r->ask(ask);
        }
        world.at(now + world.scenario().network.same,
                 [this, id = ask.id](Nanos t) { world.told(t, id, World::Told::unsent, "", 0); });
    }
    void leave(int router, CommandId id) override {
        if (SimRouter* const r = at(router)) r->leave(id), touch(router);
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
    void door(int, int, Door) override {}
    void listed(int router, const List& list) override {
        SimRouter* const r = at(router);
        if (!r) return;
        touch(router);
        r->listed(now, list.full ? NewsKind::whole : NewsKind::changes, list);
    }
    void listFailed(int router) override {
        SimRouter* const r = at(router);
        if (!r) return;
        touch(router);
        r->listed(now, NewsKind::failed, {});
    }
    void discoveryMoved(int) override {
        for (auto& r : routers_)
            if (r) r->watchAnew(now);
    }
    void kill(int router) override {
        auto& r = routers_[static_cast<std::size_t>(router)];
        if (!r) return;
        r->dropAll(now);
        gone(router);
    }
    void start(int router) override {
        auto& r = routers_[static_cast<std::size_t>(router)];
        if (r) return;
        world.routerUp(now, router);
        r = std::make_unique<SimRouter>(*this, router, seed * 1000 + ++starts_, now);
        r->listed(now, NewsKind::cached, world.lastList(router));
        touch(router);
    }
    void terminate(int router) override {
        if (SimRouter* const r = at(router)) {
            r->stop(now);
            touch(router);
            world.at(now + kLeaving, [this, router](Nanos) { touch(router); });
            const Nanos latest = now + kLeaving + world.scenario().longestLimit() + 200 * kMillisecond;
            world.at(latest, [this, router](Nanos t) {
                if (SimRouter* const late = at(router); late && !late->accepts(t)) kill(router);
            });
        }
    }
    void reload(int) override {}
    void upgrade(int) override {}  // a hand-over is between processes
    void giveUp(int router, ConnId conn, CommandId id, int number) {
        if (SimRouter* const r = at(router)) r->giveUp(conn, id, number);
    }
    void idled(int router, ConnId conn, Nanos since) {
        if (SimRouter* const r = at(router)) r->idled(conn, since);
    }

    Nanos now = 0;
    const std::uint64_t seed;
    std::unordered_map<ConnId, int> owners;
    World world;

  private:
    SimRouter* at(int router) { return routers_[static_cast<std::size_t>(router)].get(); }
    SimRouter* owner(ConnId conn) {
        const auto it = owners.find(conn);
        if (it == owners.end()) return nullptr;
        touch(it->second);
        return at(it->second);
    }
    void gone(int router) {
        routers_[static_cast<std::size_t>(router)].reset();
        std::erase_if(owners, [&](const auto& item) { return item.second == router; });
        world.routerGone(now, router);
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

    std::vector<std::unique_ptr<SimRouter>> routers_;
    std::vector<char> touched_ = std::vector<char>(routers_.size());
    std::vector<int> dirty_;
    std::uint64_t starts_ = 0;
};

SimRouter::SimRouter(Play& play, int index, std::uint64_t seed, Nanos now)
    : play_(play), index_(index), router_(termsOf(play.world.scenario(), index, seed), *this, kBase + now) {}

void SimRouter::wake(Nanos at) {
    play_.world.at(at - kBase, [&play = play_, index = index_](Nanos) { play.touch(index); });
}

void SimRouter::ask(const Ask& ask) {
    const Scenario& s = play_.world.scenario();
    if (commands_.size() >= s.routers.open) {
        play_.world.at(play_.now, [&play = play_, id = ask.id](Nanos t) {
            play.world.told(t, id, World::Told::declined, "", 0);
        });
        return;
    }
    commands_[ask.id] = {ask, false, 0, {}};
    events_.push_back([this, id = ask.id](Nanos now) {
        const auto it = commands_.find(id);
        if (it == commands_.end()) return;
        const Ask& a = it->second.ask;
        const Scenario& plan = play_.world.scenario();
        const VerbPlan& verb = plan.verbs[static_cast<std::size_t>(a.verb)];
        const std::string_view customer =
            a.customer < 0 ? std::string_view{} : plan.customers[static_cast<std::size_t>(a.customer)].name;
        router_.arrival(now + kBase, {id, verb.verb.name, customer, a.key, a.giveUpAt + kBase, verb.write});
    });
}

void SimRouter::leave(CommandId id) {
    const auto it = commands_.find(id);
    if (it == commands_.end()) return;
    it->second.told = true;
    events_.push_back([this, id](Nanos now) { router_.left(now + kBase, id); });
    if (!it->second.out) commands_.erase(it);
}

void SimRouter::listed(Nanos, NewsKind kind, const List& list) {
    std::vector<Listed> entries;
    for (const ListLine& line : list.lines) {
        const World::Server& s = play_.world.servers()[static_cast<std::size_t>(line.server)];
        entries.push_back({s.name, s.zone, s.origin ? "origin" : "cache", line.presence,
                           line.startedAt ? line.startedAt + kBase : 0,
                           (s.plan ? s.plan->cores * s.plan->speed : 1) / (1 + line.held), s.cell});
        if (line.presence == Presence::ready) continue;
        for (const ConnId conn : std::exchange(idle_[s.door], {})) drop(play_.now, conn);
    }
    if (kind != NewsKind::failed) version_ = list.version;
    events_.push_back([this, kind, entries](Nanos now) { router_.news(now + kBase, kind, entries); });
    if (kind == NewsKind::failed) return;
    play_.world.at(play_.now, [&play = play_, index = index_, v = version_](Nanos now) {
        play.world.watch(now, index, v, play.world.scenario().discovery.askWithin);
    });
}

void SimRouter::watchAnew(Nanos now) {
    play_.world.watch(now, index_, std::nullopt, play_.world.scenario().discovery.askWithin);
}

void SimRouter::stop(Nanos now) { stopAt_ = now + kLeaving; }

void SimRouter::turn(Nanos now) {
    do {
        for (auto& event : std::exchange(events_, {})) event(now);
        router_.settle(now + kBase);
        for (const Action& action : std::exchange(actions_, {})) {
            const auto it = commands_.find(action.id);
            if (it == commands_.end()) continue;
            if (const auto* tell = std::get_if<Tell>(&action.what)) {
                const bool told = it->second.told;
                commands_.erase(it);
                if (!told) play_.world.told(now, action.id, tell->how, "", tell->comeBack);
            } else {
                send(now, action.id, it->second, std::get<Send>(action.what));
            }
        }
    } while (!events_.empty());
    if (std::exchange(subscribe_, false))
        play_.world.watch(now, index_, version_ ? std::optional(version_) : std::nullopt,
                          play_.world.scenario().discovery.askWithin);
}

void SimRouter::send(Nanos now, CommandId id, Held& held, const Send& what) {
    World& world = play_.world;
    const int number = held.relays++;
    const Nanos giveUpAt = std::min(what.giveUpAt, held.ask.giveUpAt);
    const auto server = world.serverNamed(what.cache);
    if (!server || now >= giveUpAt) {
        events_.push_back([this, id, number](Nanos t) {
            router_.ended(t + kBase, {id, number, Ending::notSent, false, 0});
        });
        return;
    }
    const int door = world.servers()[static_cast<std::size_t>(*server)].door;
    auto& idle = idle_[door];
    ConnId conn = 0;
    if (!idle.empty()) {
        conn = idle.back();
        idle.pop_back();
    } else {
        conn = world.connect(now, index_, door);
        play_.owners[conn] = index_;
        links_[conn] = {door, 0, false};
        world.at(now + world.scenario().routers.connectWithin, [&play = play_, conn, index = index_](Nanos) {
            const auto it = play.owners.find(conn);
            if (it != play.owners.end()) play.opened(conn, false), play.touch(index);
        });
    }
    Link& link = links_.at(conn);
    link.command = id;
    held.out = Out{*server, conn, now, number};
    if (link.up) write(now, conn, held);
    world.at(giveUpAt, [&play = play_, conn, id, number, index = index_](Nanos) {
        const auto it = play.owners.find(conn);
        if (it == play.owners.end()) return;
        play.touch(index);
        play.giveUp(index, conn, id, number);
    });
}

void SimRouter::write(Nanos now, ConnId conn, Held& held) {
    held.out->written = true;
    const VerbPlan& verb = play_.world.scenario().verbs[static_cast<std::size_t>(held.ask.verb)];
    play_.world.call(now, conn, {held.ask.id, held.ask.key, verb.verb.name, held.ask.mark, verb.write});
}

void SimRouter::giveUp(ConnId conn, CommandId id, int number) {
    const auto it = commands_.find(id);
    if (it == commands_.end() || !it->second.out || it->second.out->conn != conn ||
        it->second.out->number != number)
        return;
    const Ending ending = it->second.out->written ? Ending::timedOut : Ending::noRoute;
    drop(play_.now, conn);
    end(play_.now, id, ending);
}

void SimRouter::opened(ConnId id, bool up) {
    const auto it = links_.find(id);
    if (it == links_.end() || it->second.up) return;
    const CommandId command = it->second.command;
    const auto held = commands_.find(command);
    if (up) {
        it->second.up = true;
        if (held != commands_.end() && held->second.out && held->second.out->conn == id)
            return write(play_.now, id, held->second);
        it->second.command = 0;
        return rest(id, it->second);
    }
    drop(play_.now, id);
    if (command) end(play_.now, command, Ending::noRoute);
}

void SimRouter::reply(ConnId id, const Reply& reply) {
    const auto it = links_.find(id);
    if (it == links_.end() || it->second.command == 0) return;
    const CommandId command = std::exchange(it->second.command, 0);
    using K = Reply::Kind;
    if (reply.kind == K::spoilt)
        drop(play_.now, id);
    else
        rest(id, it->second);
    const Nanos now = play_.now;
    if (reply.kind == K::value) {
        const auto held = commands_.find(command);
        if (held != commands_.end() && !std::exchange(held->second.told, true))
            play_.world.told(now, command, World::Told::answered, reply.token, 0);
    }
    end(now, command,
        reply.kind == K::value  ? Ending::answered
        : reply.kind == K::miss ? Ending::noneHere
        : reply.kind == K::busy ? Ending::noRoom
                                : Ending::errored);
}

// Kept as long as the program keeps it.
void SimRouter::rest(ConnId conn, Link& link) {
    link.idleAt = play_.now;
    idle_[link.door].push_back(conn);
    const Nanos kept = play_.world.scenario().routers.idle / 10 * 9;
    play_.world.at(play_.now + kept, [&play = play_, conn, index = index_, since = play_.now](Nanos) {
        play.idled(index, conn, since);
    });
}

void SimRouter::idled(ConnId conn, Nanos since) {
    const auto it = links_.find(conn);
    if (it != links_.end() && it->second.command == 0 && it->second.idleAt == since) drop(play_.now, conn);
}

void SimRouter::broke(ConnId id) {
    const auto it = links_.find(id);
    if (it == links_.end()) return;
    const CommandId command = it->second.command;
    drop(play_.now, id);
    const auto held = commands_.find(command);
    if (command && held != commands_.end() && held->second.out)
        end(play_.now, command, held->second.out->written ? Ending::cut : Ending::noRoute);
}

void SimRouter::drop(Nanos now, ConnId conn) {
    const auto it = links_.find(conn);
    if (it == links_.end()) return;
    std::erase(idle_[it->second.door], conn);
    links_.erase(it);
    play_.owners.erase(conn);
    play_.world.closed(now, conn);
}

void SimRouter::end(Nanos now, CommandId id, Ending ending) {
    const auto it = commands_.find(id);
    if (it == commands_.end() || !it->second.out) return;
    const Out out = *std::exchange(it->second.out, {});
    events_.push_back([this, id, out, ending, spent = now - out.sentAt](Nanos t) {
        router_.ended(t + kBase, {id, out.number, ending, false, spent});
    });
    if (it->second.told) commands_.erase(it);
}

void SimRouter::dropAll(Nanos now) {
    std::vector<CommandId> ids;
    for (const auto& [id, held] : commands_)
        if (!held.told) ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (const CommandId id : ids) play_.world.told(now, id, World::Told::unsent, "broken", 0);
}

}  // namespace

SimResult simulate(const Scenario& scenario, std::uint64_t seed, Ledger& ledger,
                   const std::function<void(Nanos)>& progress) {
    Play play(scenario, seed, ledger);
    const auto began = std::chrono::steady_clock::now();
    play.run(progress);
    const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - began;
    return {play.now, wall.count()};
}

}  // namespace poppyscale::lab
