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

#include "protocol/attempt_message.hpp"
#include "protocol/endpoint_list.hpp"
#include "protocol/http_response.hpp"
#include "protocol/request.hpp"
#include "protocol/resp.hpp"
#include "protocol/startup_config.hpp"
#include "testbed/emulator/scenario.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"
#include "transport/listener.hpp"

namespace poppyscale::testbed {
namespace {

using transport::Address;
using transport::Connection;

constexpr int kMaxAttempts = 3;
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
    EndpointState presence = EndpointState::removed;
    std::int64_t startedMs = 0;
    bool origin = false;
    int out = 0;
    std::vector<class Back*> idle;
};

// A connection to a cache or the origin; one relay at a time.
class Back : private Connection::Handler {
  public:
    Back(Proxy& proxy, Place& place);
    bool open();
    void send(std::uint64_t command, std::string bytes, Nanos deadline);
    Place& place() { return place_; }
    bool up() const { return up_; }
    void fail() { over({AttemptOutcome::connectFailed, {}, true}, false); }

  private:
    void onConnected(bool up) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;
    void over(protocol::AttemptResponse outcome, bool keep);

    Proxy& proxy_;
    Place& place_;
    Connection connection_;
    transport::Timer limit_;
    protocol::RespDecoder decoder_{{64 * 1024, 16, 3, 128 * 1024, false}};
    protocol::HttpResponse http_{64 * 1024};
    std::uint64_t command_ = 0;
    std::string bytes_;
    Nanos relayUntil_ = 0;
    bool up_ = false;
};

class Front : private Connection::Handler {
  public:
    explicit Front(Proxy& proxy);
    bool start(const std::function<bool(Connection&)>& finish);
    void say(std::string_view bytes);
    bool busy() const { return open_; }
    void close();

  private:
    void onData(std::string_view bytes) override;
    void onClosed() override { close(); }
    void next();

    Proxy& proxy_;
    Connection connection_;
    protocol::RespDecoder decoder_{{64 * 1024, 16, 1, 80 * 1024, true}};
    std::deque<protocol::RespValue> waiting_;
    bool open_ = false;
};

class ListWatch : private Connection::Handler {
  public:
    explicit ListWatch(Proxy& proxy);
    void call();

  private:
    void onConnected(bool up) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;

    Proxy& proxy_;
    std::unique_ptr<Connection> connection_;
    protocol::HttpResponse answer_{4 << 20};
    transport::Timer again_;
    std::int64_t version_ = 0;
};

class Proxy {
  public:
    Proxy(Policy policy, Defect defect);
    int run();

    void take(Front& front, protocol::Request said);
    void left(Front& front);
    void relayEnded(std::uint64_t command, protocol::AttemptResponse outcome);
    void listed(const protocol::EndpointList& roster);
    void forget(Back* back);
    void rest(Back* back);

    protocol::StartupConfig start;
    transport::BufferPool pool{1 << 14};
    transport::EventLoop loop;
    std::list<std::unique_ptr<Front>> fronts;
    std::unordered_map<Back*, std::unique_ptr<Back>> backs;

  private:
    struct Held {
        Front* front;
        protocol::Request said;
        Idempotency effect = Idempotency::nonIdempotent;
        Nanos deadline = 0;
        int attempts = 0;
        bool mayHaveExecuted = false;
        bool toOrigin = false;
        bool again = false;  // the defect's second time
        std::vector<Place*> tried;
    };
    Place* choose(Held& held);
    void attempt(std::uint64_t id, Held& held);
    void finish(std::uint64_t id, const std::string& words);
    void stop();

    Policy policy_;
    Defect defect_;
    std::mt19937 random_;
    std::map<std::string, Place> places_;
    std::unordered_map<std::uint64_t, Held> held_;
    std::uint64_t last_ = 0;
    std::size_t turn_ = 0;
    std::unique_ptr<transport::Listener> listener_;
    std::unique_ptr<ListWatch> watch_;
    std::unique_ptr<transport::Timer> crash_, drained_;
    std::vector<std::unique_ptr<transport::Signal>> signals_;
};

// ---- Back

Back::Back(Proxy& proxy, Place& place)
    : proxy_(proxy), place_(place), connection_(proxy.loop, proxy.pool, *this), limit_(proxy.loop, [this] {
          over({connection_.unsentBytes() == 0 && up_ ? AttemptOutcome::timedOut
                                                      : AttemptOutcome::connectFailed,
                {},
                true},
               false);
      }) {}

bool Back::open() { return connection_.connect(place_.address); }

void Back::send(std::uint64_t command, std::string bytes, Nanos deadline) {
    command_ = command;
    bytes_ = std::move(bytes);
    limit_.start(up_ ? deadline
                     : std::min(deadline, transport::EventLoop::now() + proxy_.start.connectTimeout));
    if (!up_) {
        // Once it is up the relay has all of its time.
        relayUntil_ = deadline;
        return;
    }
    if (!connection_.write(bytes_)) over({AttemptOutcome::connectFailed, {}, true}, false);
}

void Back::onConnected(bool up) {
    if (!up) return over({AttemptOutcome::connectFailed, {}, true}, false);
    up_ = true;
    connection_.setReading(true);
    if (!command_) return proxy_.rest(this);
    limit_.start(relayUntil_);
    if (!connection_.write(bytes_)) over({AttemptOutcome::connectFailed, {}, true}, false);
}

void Back::onData(std::string_view bytes) {
    if (!command_) return proxy_.forget(this);
    if (place_.origin) {
        const auto state = http_.feed(bytes);
        if (state == protocol::HttpResponse::State::more) return;
        if (state == protocol::HttpResponse::State::malformed) return over({}, false);
        const int status = http_.status();
        protocol::AttemptResponse outcome{status == 200 ? AttemptOutcome::succeeded : AttemptOutcome::failed,
                                          std::move(http_.body()), true};
        if (http_.wasNotExecuted()) outcome.outcome = AttemptOutcome::overloaded;
        const bool keep = http_.isKeepAlive();
        http_.clear();
        return over(std::move(outcome), keep);
    }
    const auto state = decoder_.feed(bytes);
    if (state == protocol::RespDecoder::State::more) return;
    if (state == protocol::RespDecoder::State::malformed) return over({}, false);
    auto outcome = protocol::readCacheResponse(decoder_.takeValue());
    const bool keep = outcome.isWellFormed && bytes.empty();
    over(std::move(outcome), keep);
}

void Back::onClosed() {
    if (!command_) return proxy_.forget(this);
    over({up_ && connection_.unsentBytes() == 0 ? AttemptOutcome::connectionLost
                                                : AttemptOutcome::connectFailed,
          {},
          true},
         false);
}

void Back::over(protocol::AttemptResponse outcome, bool keep) {
    limit_.stop();
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
    connection_.setReading(true);
    return true;
}

void Front::onData(std::string_view bytes) {
    while (!bytes.empty()) {
        const auto state = decoder_.feed(bytes);
        if (state == protocol::RespDecoder::State::more) break;
        if (state == protocol::RespDecoder::State::malformed) return close();
        waiting_.push_back(decoder_.takeValue());
    }
    next();
}

void Front::next() {
    while (!open_ && !waiting_.empty()) {
        auto said = protocol::readRequest(std::move(waiting_.front()));
        waiting_.pop_front();
        if (const auto* aside = std::get_if<protocol::ControlCommand>(&said)) {
            connection_.write(aside->response);
            continue;
        }
        open_ = true;
        proxy_.take(*this, std::move(std::get<protocol::Request>(said)));
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
      version_(proxy.start.knownEndpoints.version) {}

void ListWatch::call() {
    answer_.clear();
    again_.start(transport::EventLoop::now() + kWatch + kWatchGrace);
    if (connection_) return onConnected(true);
    Connection::Handler& self = *this;
    connection_ = std::make_unique<Connection>(proxy_.loop, proxy_.pool, self);
    const auto at = transport::parseAddress(proxy_.start.discovery);
    if (!at || !connection_->connect(*at)) onClosed();
}

void ListWatch::onConnected(bool up) {
    if (!up) return onClosed();
    connection_->setReading(true);
    connection_->write(fmt::format("GET /api/targets?after={}&wait_ms={} HTTP/1.1\r\nHost: d\r\n\r\n",
                                   version_, kWatch / kMillisecond));
}

void ListWatch::onData(std::string_view bytes) {
    const auto state = answer_.feed(bytes);
    if (state == protocol::HttpResponse::State::more) return;
    if (state == protocol::HttpResponse::State::malformed || answer_.status() != 200) return onClosed();
    try {
        const auto roster = protocol::readEndpointList(answer_.body());
        version_ = roster.version;
        proxy_.listed(roster);
    } catch (const protocol::ParseError&) {
        return onClosed();
    }
    call();
}

void ListWatch::onClosed() {
    connection_.reset();
    again_.start(transport::EventLoop::now() + 500 * kMillisecond);
}

// ---- Proxy

protocol::StartupConfig readStartFile() {
    const char* const path = std::getenv("ROUTER_CONFIG");
    std::ifstream file(path ? path : "", std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw ScenarioError("ROUTER_CONFIG names no file that can be read");
    return protocol::readStartupConfig(text);
}

Proxy::Proxy(Policy policy, Defect defect)
    : start(readStartFile()),
      policy_(policy),
      defect_(defect),
      random_(static_cast<std::mt19937::result_type>(start.policy.seed)) {
    start.knownEndpoints.isComplete = true;
    listed(start.knownEndpoints);
    start.knownEndpoints.version = 0;
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
        crash_ = std::make_unique<transport::Timer>(loop, [] { std::_Exit(1); });
        crash_->start(transport::EventLoop::now() + kCrashAfter);
    }
    loop.run();
    fronts.clear();
    backs.clear();
    return 0;
}

void Proxy::stop() {
    const Nanos until = transport::EventLoop::now() + kLeaving;
    drained_ = std::make_unique<transport::Timer>(loop, [this] {
        listener_->acceptBacklog();
        if (held_.empty()) return loop.stop();
        drained_->start(transport::EventLoop::now() + 50 * kMillisecond);
    });
    drained_->start(until);
}

void Proxy::listed(const protocol::EndpointList& roster) {
    if (roster.isComplete)
        for (auto& [name, place] : places_) place.presence = EndpointState::removed;
    for (const auto& entry : roster.entries) {
        Place& place = places_[entry.endpoint.name];
        place.name = entry.endpoint.name;
        if (const auto address = transport::parseAddress(entry.address)) place.address = *address;
        place.presence = entry.endpoint.state;
        place.startedMs = entry.startedMs;
        place.origin = entry.endpoint.shape == start.policy.originShape;
    }
}

Place* Proxy::choose(Held& held) {
    std::vector<Place*> ready;
    Place* origin = nullptr;
    double out = 0;
    for (auto& [name, place] : places_) {
        if (place.origin && place.presence == EndpointState::ready) origin = &place;
        const bool usable = place.presence == EndpointState::ready ||
                            (defect_ == Defect::drain && place.presence == EndpointState::draining);
        if (place.origin || !usable) continue;
        if (std::find(held.tried.begin(), held.tried.end(), &place) != held.tried.end()) continue;
        ready.push_back(&place);
        out += place.out;
    }
    if (held.said.isWrite || held.toOrigin) return origin;
    if (ready.empty()) return nullptr;
    if (defect_ == Defect::cold)
        return *std::max_element(ready.begin(), ready.end(),
                                 [](const Place* a, const Place* b) { return a->startedMs < b->startedMs; });
    if (defect_ == Defect::drain)
        for (Place* p : ready)
            if (p->presence == EndpointState::draining) return p;
    if (policy_ == Policy::random) return ready[random_() % ready.size()];
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

void Proxy::take(Front& front, protocol::Request said) {
    const std::uint64_t id = ++last_;
    Held held;
    held.front = &front;
    held.deadline = loop.earliestArrival() + said.timeout;
    for (const RequestClass& v : start.policy.requestClasses)
        if (v.name == said.requestClass) held.effect = v.idempotency;
    held.said = std::move(said);
    auto& kept = held_[id] = std::move(held);
    if (defect_ == Defect::lost && random_() % kDrawOut == 0) return;
    if (defect_ == Defect::foreign && random_() % kDrawOut == 0) return finish(id, protocol::bulk("made-up"));
    attempt(id, kept);
}

void Proxy::attempt(std::uint64_t id, Held& held) {
    const Nanos now = transport::EventLoop::now();
    Place* const to = held.attempts < kMaxAttempts ? choose(held) : nullptr;
    if (!to || now >= held.deadline) {
        const bool harmless = !held.mayHaveExecuted || held.effect == Idempotency::safe;
        return finish(id, harmless ? "-BUSY 100\r\n" : "-ERR failed\r\n");
    }
    ++held.attempts;
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
    const Nanos timeTold = defect_ == Defect::tellsWholeTime ? held.said.timeout : held.deadline - now;
    const bool fresh = !back->up();
    back->send(id,
               to->origin ? protocol::originRequest(held.said, "origin", timeTold)
                          : protocol::cacheRequest(held.said, timeTold),
               held.deadline);
    if (fresh && backs.contains(back) && !back->open()) back->fail();
}

void Proxy::relayEnded(std::uint64_t id, protocol::AttemptResponse outcome) {
    const auto it = held_.find(id);
    if (it == held_.end()) return;
    Held& held = it->second;
    if (outcome.outcome == AttemptOutcome::succeeded) {
        // Once more, where it may not be: after its answer, so that nothing else of it looks odd.
        if (defect_ == Defect::twice && held.effect == Idempotency::nonIdempotent &&
            !std::exchange(held.again, true)) {
            held.tried.clear();
            return attempt(id, held);
        }
        return finish(id, protocol::bulk(outcome.value));
    }
    if (outcome.outcome == AttemptOutcome::cacheMiss) {
        held.toOrigin = true;
        return attempt(id, held);
    }
    const bool ran =
        outcome.outcome != AttemptOutcome::overloaded && outcome.outcome != AttemptOutcome::connectFailed;
    held.mayHaveExecuted |= ran;
    const bool may = !held.mayHaveExecuted || held.effect == Idempotency::safe;
    if (!may) return finish(id, "-ERR failed\r\n");
    if (policy_ == Policy::passThrough) return finish(id, "-BUSY 100\r\n");
    attempt(id, held);
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
    std::erase_if(held_, [&](const auto& item) { return !item.second.front && item.second.attempts == 0; });
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
