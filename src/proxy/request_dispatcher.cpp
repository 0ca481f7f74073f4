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
    return transport::Loop::now() - wall.count();
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

bool mayHaveRun(Ending ending) {
    return ending == Ending::answered || ending == Ending::errored || ending == Ending::timedOut ||
           ending == Ending::cut || ending == Ending::undone;
}

std::size_t heldBy(const protocol::Command& said) {
    return kMemoryOfCommand + said.key.size() + said.id.size() + said.info.size() + said.value.size();
}

}  // namespace

Core::Core(transport::Loop& loop, transport::Pool& pool, const protocol::Start& start, std::size_t mostLinks,
           Log log)
    : loop_(loop),
      log_(std::move(log)),
      guard_(log_),
      links_{loop,
             pool,
             *this,
             guard_,
             mostLinks,
             keptFor(start.idle),
             start.connectWithin,
             {},
             start.memory / 16},
      mostOpen_(start.mostOpen),
      mostHeld_(start.memory / 8),
      originShape_(start.terms.originShape),
      aside_(start.terms.aside),
      known_(start.memory / kKnownServersPart),
      wakeUp_(loop, [this] { due_ = true; }),
      router_(start.terms, *this, transport::Loop::now()) {
    for (const Verb& verb : start.terms.verbs) verbs_.emplace(verb.name, verb);
    Core::listed(NewsKind::cached, start.known);
}

Core::Taken Core::take(Asker& asker, protocol::Command said, Nanos now, Body* body) {
    // Of an unknown verb nobody can say whether it may be repeated, nor by when it is to be answered.
    const auto verb = verbs_.find(said.verb);
    if (verb == verbs_.end()) return {nullptr, "unknown verb"};
    // Caches and origin tell commands apart by their ids: under one id, one could get what is another's.
    if (ids_.contains(said.id)) return {nullptr, "id of an open command"};
    if (commands_.size() >= mostOpen_ || held_ >= mostHeld_) {
        if (counts_) counts_->declined(said.verb, metrics::Declined::full);
        return {};
    }
    if (counts_) counts_->taken(said.verb);
    auto made = std::make_unique<Command>();
    Command& command = *made;
    command.id = ++lastId_;
    command.takenAt = now;
    command.asker = &asker;
    command.body = body;
    command.giveUpAt = now + said.patience;
    command.effect = verb->second.effect;
    command.remembered = verb->second.remembered;
    command.said = std::move(said);
    held_ += heldBy(command.said);
    ids_.insert(command.said.id);
    commands_.emplace(command.id, std::move(made));
    events_.push_back({now, Arrived{&command}});
    return {&command, {}};
}

std::map<std::string, Core::Given> Core::given() const {
    std::map<std::string, Given> all;
    for (const auto& [name, u] : upstreams_)
        if (!u->origin()) all[name] = {u->relays(), u->leaving()};
    return all;
}

void Core::count(const std::vector<Verb>& verbs) { counts_ = std::make_unique<metrics::Counts>(verbs); }

void Core::changed(const protocol::Start& start) {
    if (counts_) counts_->changed(start.terms.verbs);
    verbs_.clear();
    for (const Verb& verb : start.terms.verbs) verbs_.emplace(verb.name, verb);
    mostOpen_ = start.mostOpen;
    links_.keepIdle = keptFor(start.idle);
    links_.connectWithin = start.connectWithin;
    // In its place among the events: what came before it has arrived under the terms before.
    events_.push_back({transport::Loop::now(), Changed{start.terms}});
}

std::vector<Standing> Core::standing() const {
    std::unordered_map<const Upstream*, std::string_view> names;
    for (const auto& [name, upstream] : upstreams_) names[upstream.get()] = name;
    std::vector<const Command*> order;
    for (const auto& [id, command] : commands_) order.push_back(command.get());
    std::sort(order.begin(), order.end(), [](const Command* a, const Command* b) { return a->id < b->id; });
    std::vector<Standing> all;
    for (const Command* c : order) {
        Standing& s = all.emplace_back();
        s.id = c->said.id;
        s.verb = c->said.verb;
        s.customer = c->said.customer;
        s.key = c->said.key;
        s.since = c->takenAt;
        s.giveUpAt = c->giveUpAt;
        s.relays = c->relays;
        s.asked = c->asker != nullptr;
        if (!c->out) continue;
        s.at = names[&c->out->to];
        s.sentAt = c->out->sentAt;
    }
    return all;
}

void Core::left(Command& command) {
    nobodyWaits(command);
    if (command.out) command.out->to.withdraw(*command.out);
}

void Core::nobodyWaits(Command& command) {
    if (counts_ && command.asker) counts_->left(command.said.verb);
    command.asker = nullptr;
    command.body = nullptr;
    events_.push_back({transport::Loop::now(), Left{command.id}});
}

bool Core::awaited(Command& command) {
    if (!command.asker) return false;
    if (command.asker->present()) return true;
    nobodyWaits(command);
    return false;
}

void Core::giveUpAll() {
    using Kind = Final::Kind;
    for (auto& [id, command] : commands_)
        tell(*command, {command->relays == 0 ? Kind::declined : Kind::terminated, {}, 0});
}

void Core::listed(NewsKind kind, const protocol::Roster& roster) {
    News news{kind, {}};
    const Nanos now = transport::Loop::now();
    startTimes_.noteClock(now, leadOverWallClock());
    std::unordered_set<std::string_view> named;
    for (const auto& place : roster.places) {
        named.insert(place.listed.name);
        Listed entry = place.listed;
        entry.cameUp = startTimes_.startOf(entry.name, place.startedMs, now);
        auto& upstream = upstreams_[entry.name];
        if (!upstream) {
            upstream = std::make_unique<Upstream>(links_, aside_ && entry.shape == originShape_);
            upstream->bar(bans_.contains(entry.name));
            known_.remove(entry.name);
        }
        const auto address = transport::parseAddress(place.address);
        if (!address && entry.presence != Presence::gone)
            log_(fmt::format("{} is listed without an address to connect to", entry.name));
        upstream->listed(entry.presence, address, place.address);
        news.entries.push_back(std::move(entry));
    }
    if (kind != NewsKind::changes)
        for (auto& [name, upstream] : upstreams_)
            if (!named.contains(name)) upstream->listed(Presence::gone, std::nullopt, "");
    std::erase_if(upstreams_, [this](const auto& entry) {
        if (!entry.second->unused()) return false;
        known_.add(entry.first);
        startTimes_.forget(entry.first);
        return true;
    });
    events_.push_back({now, std::move(news)});
}

void Core::lookAtClock(Nanos now) {
    if (now - clockLookedAt_ < kClockLookEvery) return;
    clockLookedAt_ = now;
    startTimes_.noteClock(now, leadOverWallClock());
}

std::string Core::whyNoBan(const std::string& name) const {
    const auto it = upstreams_.find(name);
    if (it != upstreams_.end()) return it->second->origin() ? "that is the origin, not a cache" : "";
    const bool known = bans_.contains(name) || known_.contains(name);
    return known ? "" : "no server of that id was ever listed here";
}

void Core::ban(const std::string& name, bool on) {
    if (on ? !bans_.insert(name).second : bans_.erase(name) == 0) return;
    const auto it = upstreams_.find(name);
    if (it != upstreams_.end()) it->second->bar(on);
    // Known from now on, also when it was told by another process that had it listed.
    if (it == upstreams_.end() && !on) known_.add(name);
    events_.push_back({transport::Loop::now(), Banned{name, on}});
}

void Core::bound(std::size_t memory, std::size_t mostLinks) {
    mostHeld_ = memory / 8;
    links_.mostHeld = memory / 16;
    links_.most = mostLinks;
    links_.trim();
}

void Core::listFailed() { events_.push_back({transport::Loop::now(), News{NewsKind::failed, {}}}); }

// No changes, which is a success to the module: its pauses between tries begin short again.
void Core::listMoved() { events_.push_back({transport::Loop::now(), News{NewsKind::changes, {}}}); }

void Core::turn() {
    lookAtClock(transport::Loop::now());
    while (due_ || !events_.empty() || links_.freed) {
        due_ = false;
        if (links_.freed) links_.tend();
        for (const Event& event : std::exchange(events_, {})) handOver(event);
        router_.settle(transport::Loop::now());
        // What is carried out may end at once and bring events of its own, for the next time round.
        for (Action& action : std::exchange(actions_, {})) carryOut(action);
        if (std::exchange(subscribe_, false) && askForList) askForList();
    }
}

void Core::handOver(const Event& event) {
    if (const auto* arrived = std::get_if<Arrived>(&event.what)) {
        const Command& c = *arrived->command;
        router_.arrival(event.at, {c.id, c.said.verb, c.said.customer, c.said.key, c.giveUpAt, c.said.write,
                                   c.said.again, c.body != nullptr});
    } else if (const auto* ended = std::get_if<Ended>(&event.what)) {
        RelayEnd end = ended->end;
        const auto it = commands_.find(end.id);
        end.over = it == commands_.end() || !it->second->asker;
        router_.ended(event.at, end);
        if (end.over) forget(end.id);
    } else if (const auto* left = std::get_if<Left>(&event.what)) {
        router_.left(event.at, left->id);
        const auto it = commands_.find(left->id);
        if (it != commands_.end() && !it->second->out) forget(left->id);
    } else if (const auto* changed = std::get_if<Changed>(&event.what)) {
        router_.changed(event.at, changed->terms);
    } else if (const auto* banned = std::get_if<Banned>(&event.what)) {
        router_.banned(event.at, banned->name, banned->on);
    } else {
        const auto& news = std::get<News>(event.what);
        router_.news(event.at, news.kind, news.entries);
    }
}

void Core::relay(CommandId id, std::string_view cache, Nanos giveUpAt, Nanos startBy) {
    const auto it = upstreams_.find(std::string(cache));
    actions_.push_back({id, Send{it == upstreams_.end() ? nullptr : it->second.get(), giveUpAt, startBy}});
}

void Core::decline(CommandId id, Nanos comeBack) {
    actions_.push_back({id, Final{Final::Kind::declined, {}, comeBack}});
}

void Core::terminate(CommandId id) { actions_.push_back({id, Final{Final::Kind::terminated, {}, 0}}); }

void Core::carryOut(Action& action) {
    const auto it = commands_.find(action.id);
    if (it == commands_.end()) return;
    Command& command = *it->second;
    if (auto* final = std::get_if<Final>(&action.what)) {
        tell(command, std::move(*final));
        return forget(action.id);
    }
    const auto& send = std::get<Send>(action.what);
    const Nanos now = transport::Loop::now();
    const int number = command.relays++;
    const Nanos giveUpAt = std::min(send.giveUpAt, command.giveUpAt);
    if (const auto why = whyNotSend(send, command, giveUpAt, now)) {
        guard_.refused(*why);
        events_.push_back({now, Ended{{command.id, number, Ending::notSent, false, 0}}});
        return;
    }
    if (counts_) counts_->relay(send.to->origin());
    command.out = std::make_unique<Relay>(loop_, command.said, *send.to);
    Relay& relay = *command.out;
    relay.command = command.id;
    relay.number = number;
    relay.sentAt = now;
    relay.giveUpAt = giveUpAt;
    relay.startBy = send.startBy;
    relay.body = std::exchange(command.body, nullptr);
    send.to->send(relay);
}

std::optional<Refusal> Core::whyNotSend(const Send& send, Command& command, Nanos giveUpAt, Nanos now) {
    if (command.out) {
        guard_.violated(Invariant::starting, "a second attempt beside the one of request " + command.said.id);
        return Refusal::requestClosed;
    }
    if (!send.to) return Refusal::serverLeaves;
    if (giveUpAt - now < protocol::kLeastTimeTold) return Refusal::noTimeLeft;
    if (!mayRepeat(command, now)) {
        guard_.violated(Invariant::repeating,
                        "another attempt of request " + command.said.id + ", which may have run");
        return Refusal::mayNotRepeat;
    }
    if (!awaited(command)) return Refusal::clientLeft;
    return std::nullopt;
}

bool Core::mayRepeat(const Command& command, Nanos now) {
    if (command.effect == Effect::pure || command.firstMayHaveRunAt == kNever) return true;
    return command.effect == Effect::receipted && now < command.firstMayHaveRunAt + command.remembered;
}

Taker* Core::relayGives(Relay& relay, std::size_t length, Giver& from) {
    relay.answeredAt = loop_.arrivedBy();
    Asker* const asker = std::exchange(commands_.at(relay.command)->asker, nullptr);
    if (counts_ && asker) {
        const Command& command = *commands_.at(relay.command);
        counts_->answered(command.said.verb, relay.answeredAt - command.takenAt);
    }
    return asker ? &asker->begin(length, from) : nullptr;
}

void Core::relayEnded(Relay& relay, protocol::Outcome outcome) {
    Command& command = *commands_.at(relay.command);
    // What this process was held up for is not the cache's time, nor is what a long value takes on its way.
    const Nanos until = relay.answeredAt ? relay.answeredAt : loop_.arrivedBy();
    const Nanos spent = std::max<Nanos>(until - relay.sentAt, 0);
    if (counts_) counts_->relayEnded(outcome.ending, spent);
    if (mayHaveRun(outcome.ending))
        command.firstMayHaveRunAt = std::min(command.firstMayHaveRunAt, relay.sentAt);
    events_.push_back({transport::Loop::now(),
                       Ended{{command.id, relay.number, outcome.ending, false, spent, outcome.found}}});
    command.out.reset();
    if (outcome.ending == Ending::answered)
        tell(command, {Final::Kind::answered, std::move(outcome.value), 0});
}

void Core::tell(Command& command, Final final) {
    Asker* const asker = std::exchange(command.asker, nullptr);
    if (!asker) return;
    if (counts_) {
        using Kind = Final::Kind;
        const auto& verb = command.said.verb;
        if (final.kind == Kind::answered) counts_->answered(verb, loop_.arrivedBy() - command.takenAt);
        if (final.kind == Kind::terminated) counts_->terminated(verb);
        if (final.kind == Kind::declined)
            counts_->declined(verb, command.relays ? metrics::Declined::after : metrics::Declined::unsent);
    }
    asker->tell(std::move(final));
}

void Core::forget(CommandId id) {
    const auto it = commands_.find(id);
    if (it == commands_.end()) return;
    held_ -= heldBy(it->second->said);
    ids_.erase(it->second->said.id);
    commands_.erase(it);
}

}  // namespace poppyscale::proxy
