#include "testbed/drivers/live/baseline_proxy.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iterator>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include "protocol/endpoint_list.hpp"
#include "protocol/http_response.hpp"
#include "protocol/request.hpp"
#include "protocol/resp.hpp"
#include "testbed/emulator/scenario.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"
#include "transport/listener.hpp"

namespace poppyscale::testbed {
namespace {

using transport::Address;
using transport::Connection;

constexpr int kMostRelays = 3;
constexpr double kBound = 1.25;  // of the mean that a cache may have out
constexpr Nanos kWatch = 10'000 * kMillisecond;
constexpr Nanos kWatchGrace = 2'000 * kMillisecond;
constexpr Nanos kCrashAfter = 3'000 * kMillisecond;
constexpr Nanos kLeaving = 480 * kMillisecond;
constexpr std::uint32_t kDrawOut = 20;  // one in so many commands

class Proxy;

struct Place {
    std::string name;
    Address address{};
    Presence presence = Presence::gone;
    std::int64_t startedMs = 0;
    bool origin = false;
    int out = 0;
    std::vector<class Back*> idle;
};

// A connection to a cache or the origin; one relay at a time.
class Back : private Connection::Owner {
  public:
    Back(Proxy& proxy, Place& place);
    bool open();
    void send(std::uint64_t command, std::string bytes, Nanos giveUpAt);
    Place& place() { return place_; }
    bool up() const { return up_; }
    void fail() { over({Ending::noRoute, {}, true}, false); }

  private:
    void opened(bool up) override;
    void received(std::string_view bytes) override;
    void ended() override;
    void over(protocol::Outcome outcome, bool keep);

    Proxy& proxy_;
    Place& place_;
    Connection connection_;
    transport::Alarm limit_;
    protocol::Decoder decoder_{{64 * 1024, 16, 3, 128 * 1024, false}};
    protocol::HttpAnswer http_{64 * 1024};
    std::uint64_t command_ = 0;
    std::string bytes_;
    Nanos relayUntil_ = 0;
    bool up_ = false;
};

class Front : private Connection::Owner {
  public:
    explicit Front(Proxy& proxy);
    bool start(const std::function<bool(Connection&)>& finish);
    void say(std::string_view bytes);
    bool busy() const { return open_; }
    void close();

  private:
    void received(std::string_view bytes) override;
    void ended() override { close(); }
    void next();

    Proxy& proxy_;
    Connection connection_;
    protocol::Decoder decoder_{{64 * 1024, 16, 1, 80 * 1024, true}};
    std::deque<protocol::Value> waiting_;
    bool open_ = false;
};

class ListWatch : private Connection::Owner {
  public:
    explicit ListWatch(Proxy& proxy);
    void call();

  private:
    void opened(bool up) override;
    void received(std::string_view bytes) override;
    void ended() override;

    Proxy& proxy_;
    std::unique_ptr<Connection> connection_;
    protocol::HttpAnswer answer_{4 << 20};
    transport::Alarm again_;
    std::int64_t version_ = 0;
};

class Proxy {
  public:
    Proxy(Policy policy, Defect defect);
    int run();

    void take(Front& front, protocol::Command said);
    void left(Front& front);
    void relayEnded(std::uint64_t command, protocol::Outcome outcome);
    void listed(const protocol::Roster& roster);
    void forget(Back* back);
    void rest(Back* back);

    protocol::Start start;
    transport::Pool pool{1 << 14};
    transport::Loop loop;
    std::list<std::unique_ptr<Front>> fronts;
    std::unordered_map<Back*, std::unique_ptr<Back>> backs;

  private:
    struct Held {
        Front* front;
        protocol::Command said;
        Effect effect = Effect::effectful;
        Nanos giveUpAt = 0;
        int relays = 0;
        bool mayHaveRun = false;
        bool toOrigin = false;
        bool again = false;  // the defect's second time
        std::vector<Place*> tried;
    };
    Place* choose(Held& held);
    void relay(std::uint64_t id, Held& held);
    void finish(std::uint64_t id, const std::string& words);
    void stop();

    Policy policy_;
    Defect defect_;
    std::mt19937 chance_;
    std::map<std::string, Place> places_;
    std::unordered_map<std::uint64_t, Held> held_;
    std::uint64_t last_ = 0;
    std::size_t turn_ = 0;
    std::unique_ptr<transport::Listener> listener_;
    std::unique_ptr<ListWatch> watch_;
    std::unique_ptr<transport::Alarm> crash_, drained_;
    std::vector<std::unique_ptr<transport::Signal>> signals_;
};

// ---- Back

Back::Back(Proxy& proxy, Place& place)
    : proxy_(proxy), place_(place), connection_(proxy.loop, proxy.pool, *this), limit_(proxy.loop, [this] {
          over({connection_.unsent() == 0 && up_ ? Ending::timedOut : Ending::noRoute, {}, true}, false);
      }) {}

bool Back::open() { return connection_.open(place_.address); }

void Back::send(std::uint64_t command, std::string bytes, Nanos giveUpAt) {
    command_ = command;
    bytes_ = std::move(bytes);
    limit_.set(up_ ? giveUpAt : std::min(giveUpAt, transport::Loop::now() + proxy_.start.connectWithin));
    if (!up_) {
        // Once it is up the relay has all of its time.
        relayUntil_ = giveUpAt;
        return;
    }
    if (!connection_.write(bytes_)) over({Ending::noRoute, {}, true}, false);
}

void Back::opened(bool up) {
    if (!up) return over({Ending::noRoute, {}, true}, false);
    up_ = true;
    connection_.read(true);
    if (!command_) return proxy_.rest(this);
    limit_.set(relayUntil_);
    if (!connection_.write(bytes_)) over({Ending::noRoute, {}, true}, false);
}

void Back::received(std::string_view bytes) {
    if (!command_) return proxy_.forget(this);
    if (place_.origin) {
        const auto state = http_.feed(bytes);
        if (state == protocol::HttpAnswer::State::more) return;
        if (state == protocol::HttpAnswer::State::broken) return over({}, false);
        const int status = http_.status();
        protocol::Outcome outcome{status == 200 ? Ending::answered : Ending::errored, std::move(http_.body()),
                                  true};
        if (http_.neverRan()) outcome.ending = Ending::noRoom;
        const bool keep = http_.keepsOpen();
        http_.clear();
        return over(std::move(outcome), keep);
    }
    const auto state = decoder_.feed(bytes);
    if (state == protocol::Decoder::State::more) return;
    if (state == protocol::Decoder::State::broken) return over({}, false);
    auto outcome = protocol::readCacheAnswer(decoder_.take());
    const bool keep = outcome.inForm && bytes.empty();
    over(std::move(outcome), keep);
}

void Back::ended() {
    if (!command_) return proxy_.forget(this);
    over({up_ && connection_.unsent() == 0 ? Ending::cut : Ending::noRoute, {}, true}, false);
}

void Back::over(protocol::Outcome outcome, bool keep) {
    limit_.clear();
    const std::uint64_t command = std::exchange(command_, 0);
    Proxy& proxy = proxy_;
    --place_.out;
    if (keep)
        proxy.rest(this);
    else
        proxy.forget(this);
    if (command) proxy.relayEnded(command, std::move(outcome));
}

// ---- Front

Front::Front(Proxy& proxy) : proxy_(proxy), connection_(proxy.loop, proxy.pool, *this) {}

bool Front::start(const std::function<bool(Connection&)>& finish) {
    if (!finish(connection_)) return false;
    connection_.read(true);
    return true;
}

void Front::received(std::string_view bytes) {
    while (!bytes.empty()) {
        const auto state = decoder_.feed(bytes);
        if (state == protocol::Decoder::State::more) break;
        if (state == protocol::Decoder::State::broken) return close();
        waiting_.push_back(decoder_.take());
    }
    next();
}

void Front::next() {
    while (!open_ && !waiting_.empty()) {
        auto said = protocol::readCommand(std::move(waiting_.front()));
        waiting_.pop_front();
        if (const auto* aside = std::get_if<protocol::Aside>(&said)) {
            connection_.write(aside->answer);
            continue;
        }
        open_ = true;
        proxy_.take(*this, std::move(std::get<protocol::Command>(said)));
    }
}

void Front::say(std::string_view bytes) {
    open_ = false;
    connection_.write(bytes);
    next();
}

void Front::close() {
    Proxy& proxy = proxy_;
    proxy.left(*this);
    proxy.fronts.remove_if([this](const auto& f) { return f.get() == this; });
}

// ---- ListWatch

ListWatch::ListWatch(Proxy& proxy)
    : proxy_(proxy),
      again_(proxy.loop,
             [this] {
                 connection_.reset();
                 call();
             }),
      version_(proxy.start.known.version) {}

void ListWatch::call() {
    answer_.clear();
    again_.set(transport::Loop::now() + kWatch + kWatchGrace);
    if (connection_) return opened(true);
    Connection::Owner& self = *this;
    connection_ = std::make_unique<Connection>(proxy_.loop, proxy_.pool, self);
    const auto at = transport::parseAddress(proxy_.start.discovery);
    if (!at || !connection_->open(*at)) ended();
}

void ListWatch::opened(bool up) {
    if (!up) return ended();
    connection_->read(true);
    connection_->write(fmt::format("GET /api/targets?after={}&wait_ms={} HTTP/1.1\r\nHost: d\r\n\r\n",
                                   version_, kWatch / kMillisecond));
}

void ListWatch::received(std::string_view bytes) {
    const auto state = answer_.feed(bytes);
    if (state == protocol::HttpAnswer::State::more) return;
    if (state == protocol::HttpAnswer::State::broken || answer_.status() != 200) return ended();
    try {
        const auto roster = protocol::readRoster(answer_.body());
        version_ = roster.version;
        proxy_.listed(roster);
    } catch (const protocol::Malformed&) {
        return ended();
    }
    call();
}

void ListWatch::ended() {
    connection_.reset();
    again_.set(transport::Loop::now() + 500 * kMillisecond);
}

// ---- Proxy

protocol::Start readStartFile() {
    const char* const path = std::getenv("ROUTER_CONFIG");
    std::ifstream file(path ? path : "", std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw BadScenario("ROUTER_CONFIG names no file that can be read");
    return protocol::readStart(text);
}

Proxy::Proxy(Policy policy, Defect defect)
    : start(readStartFile()),
      policy_(policy),
      defect_(defect),
      chance_(static_cast<std::mt19937::result_type>(start.terms.seed)) {
    start.known.full = true;
    listed(start.known);
    start.known.version = 0;
}

int Proxy::run() {
    listener_ = std::make_unique<transport::Listener>(loop, [this](const auto& finish) {
        auto front = std::make_unique<Front>(*this);
        if (front->start(finish)) fronts.push_back(std::move(front));
    });
    const auto at = transport::parseAddress(start.listen);
    const std::string problem = at ? listener_->listen(*at) : "not an address";
    if (!problem.empty()) {
        fmt::print(stderr, "poppyscale_testbed: can't listen on {}: {}\n", start.listen, problem);
        return 1;
    }
    watch_ = std::make_unique<ListWatch>(*this);
    watch_->call();
    signals_.push_back(std::make_unique<transport::Signal>(loop, SIGTERM, [this] { stop(); }));
    signals_.push_back(std::make_unique<transport::Signal>(loop, SIGINT, [this] { stop(); }));
    signals_.push_back(std::make_unique<transport::Signal>(loop, SIGHUP, [this] {
        start.discovery = readStartFile().discovery;
        watch_ = std::make_unique<ListWatch>(*this);
        watch_->call();
    }));
    if (defect_ == Defect::crash) {
        crash_ = std::make_unique<transport::Alarm>(loop, [] { std::_Exit(1); });
        crash_->set(transport::Loop::now() + kCrashAfter);
    }
    loop.run();
    fronts.clear();
    backs.clear();
    return 0;
}

void Proxy::stop() {
    const Nanos until = transport::Loop::now() + kLeaving;
    drained_ = std::make_unique<transport::Alarm>(loop, [this] {
        listener_->takeBacklog();
        if (held_.empty()) return loop.stop();
        drained_->set(transport::Loop::now() + 50 * kMillisecond);
    });
    drained_->set(until);
}

void Proxy::listed(const protocol::Roster& roster) {
    if (roster.full)
        for (auto& [name, place] : places_) place.presence = Presence::gone;
    for (const auto& entry : roster.places) {
        Place& place = places_[entry.listed.name];
        place.name = entry.listed.name;
        if (const auto address = transport::parseAddress(entry.address)) place.address = *address;
        place.presence = entry.listed.presence;
        place.startedMs = entry.startedMs;
        place.origin = entry.listed.shape == start.terms.originShape;
    }
}

Place* Proxy::choose(Held& held) {
    std::vector<Place*> ready;
    Place* origin = nullptr;
    double out = 0;
    for (auto& [name, place] : places_) {
        if (place.origin && place.presence == Presence::ready) origin = &place;
        const bool usable = place.presence == Presence::ready ||
                            (defect_ == Defect::drain && place.presence == Presence::draining);
        if (place.origin || !usable) continue;
        if (std::find(held.tried.begin(), held.tried.end(), &place) != held.tried.end()) continue;
        ready.push_back(&place);
        out += place.out;
    }
    if (held.said.write || held.toOrigin) return origin;
    if (ready.empty()) return nullptr;
    if (defect_ == Defect::cold)
        return *std::max_element(ready.begin(), ready.end(),
                                 [](const Place* a, const Place* b) { return a->startedMs < b->startedMs; });
    if (defect_ == Defect::drain)
        for (Place* p : ready)
            if (p->presence == Presence::draining) return p;
    if (policy_ == Policy::random) return ready[chance_() % ready.size()];
    if (policy_ == Policy::passThrough) return ready[++turn_ % ready.size()];
    const auto weight = [&](const Place* p) {
        return XXH3_64bits_withSeed(held.said.key.data(), held.said.key.size(),
                                    XXH3_64bits(p->name.data(), p->name.size()));
    };
    std::sort(ready.begin(), ready.end(),
              [&](const Place* a, const Place* b) { return weight(a) > weight(b); });
    if (policy_ == Policy::boundedLoad) {
        const double most = kBound * (out + 1) / static_cast<double>(ready.size());
        for (Place* p : ready)
            if (p->out < std::max(most, 1.0)) return p;
    }
    return ready.front();
}

void Proxy::take(Front& front, protocol::Command said) {
    const std::uint64_t id = ++last_;
    Held held;
    held.front = &front;
    held.giveUpAt = loop.arrivedBy() + said.patience;
    for (const Verb& v : start.terms.verbs)
        if (v.name == said.verb) held.effect = v.effect;
    held.said = std::move(said);
    auto& kept = held_[id] = std::move(held);
    if (defect_ == Defect::lost && chance_() % kDrawOut == 0) return;
    if (defect_ == Defect::foreign && chance_() % kDrawOut == 0) return finish(id, protocol::bulk("made-up"));
    relay(id, kept);
}

void Proxy::relay(std::uint64_t id, Held& held) {
    const Nanos now = transport::Loop::now();
    Place* const to = held.relays < kMostRelays ? choose(held) : nullptr;
    if (!to || now >= held.giveUpAt) {
        const bool harmless = !held.mayHaveRun || held.effect == Effect::pure;
        return finish(id, harmless ? "-BUSY 100\r\n" : "-ERR failed\r\n");
    }
    ++held.relays;
    held.tried.push_back(to);
    Back* back = nullptr;
    if (!to->idle.empty()) {
        back = to->idle.back();
        to->idle.pop_back();
    } else {
        auto made = std::make_unique<Back>(*this, *to);
        back = made.get();
        backs[back] = std::move(made);
    }
    ++to->out;
    const Nanos timeTold = defect_ == Defect::tellsWholeTime ? held.said.patience : held.giveUpAt - now;
    const bool fresh = !back->up();
    back->send(id,
               to->origin ? protocol::originCall(held.said, "origin", timeTold)
                          : protocol::cacheCommand(held.said, timeTold),
               held.giveUpAt);
    if (fresh && backs.contains(back) && !back->open()) back->fail();
}

void Proxy::relayEnded(std::uint64_t id, protocol::Outcome outcome) {
    const auto it = held_.find(id);
    if (it == held_.end()) return;
    Held& held = it->second;
    if (outcome.ending == Ending::answered) {
        // Once more, where it may not be: after its answer, so that nothing else of it looks odd.
        if (defect_ == Defect::twice && held.effect == Effect::effectful &&
            !std::exchange(held.again, true)) {
            held.tried.clear();
            return relay(id, held);
        }
        return finish(id, protocol::bulk(outcome.value));
    }
    if (outcome.ending == Ending::noneHere) {
        held.toOrigin = true;
        return relay(id, held);
    }
    const bool ran = outcome.ending != Ending::noRoom && outcome.ending != Ending::noRoute;
    held.mayHaveRun |= ran;
    const bool may = !held.mayHaveRun || held.effect == Effect::pure;
    if (!may) return finish(id, "-ERR failed\r\n");
    if (policy_ == Policy::passThrough) return finish(id, "-BUSY 100\r\n");
    relay(id, held);
}

void Proxy::finish(std::uint64_t id, const std::string& words) {
    const auto it = held_.find(id);
    Front* const front = it->second.front;
    held_.erase(it);
    if (front) front->say(words);
}

void Proxy::left(Front& front) {
    for (auto& [id, held] : held_)
        if (held.front == &front) held.front = nullptr;
    std::erase_if(held_, [&](const auto& item) { return !item.second.front && item.second.relays == 0; });
}

void Proxy::rest(Back* back) { back->place().idle.push_back(back); }

void Proxy::forget(Back* back) {
    std::erase(back->place().idle, back);
    backs.erase(back);
}

}  // namespace

int serveProxy(Policy policy, Defect defect) {
    std::signal(SIGPIPE, SIG_IGN);
    Proxy proxy(policy, defect);
    return proxy.run();
}

}  // namespace poppyscale::testbed
