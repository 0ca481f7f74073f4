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
constexpr Nanos kLongPollWait = 10'000 * kMillisecond;
constexpr Nanos kLongPollGrace = 2'000 * kMillisecond;
constexpr Nanos kCrashAfter = 3'000 * kMillisecond;
constexpr Nanos kLeaving = 480 * kMillisecond;
constexpr std::uint32_t kDrawOut = 20;  // one in so many commands

class BaselineProxy;

struct ServerEntry {
    std::string name;
    Address address{};
    EndpointState presence = EndpointState::removed;
    std::int64_t startedMs = 0;
    bool origin = false;
    int out = 0;
    std::vector<class UpstreamHandler*> idle;
};

// A connection to a cache or the origin; one attempt at a time.
class UpstreamHandler : private Connection::Handler {
  public:
    UpstreamHandler(BaselineProxy& proxy, ServerEntry& place);
    bool open();
    void send(std::uint64_t command, std::string bytes, Nanos deadline);
    ServerEntry& place() { return place_; }
    bool up() const { return up_; }
    void fail() { over({AttemptOutcome::connectFailed, {}, true}, false); }

  private:
    void onConnected(bool up) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;
    void over(protocol::AttemptResponse outcome, bool keep);

    BaselineProxy& proxy_;
    ServerEntry& place_;
    Connection connection_;
    transport::Timer limit_;
    protocol::RespDecoder decoder_{{64 * 1024, 16, 3, 128 * 1024, false}};
    protocol::HttpResponse http_{64 * 1024};
    std::uint64_t command_ = 0;
    std::string bytes_;
    Nanos relayUntil_ = 0;
    bool up_ = false;
};

class ClientHandler : private Connection::Handler {
  public:
    explicit ClientHandler(BaselineProxy& proxy);
    bool start(const std::function<bool(Connection&)>& finish);
    void say(std::string_view bytes);
    bool busy() const { return open_; }
    void close();

  private:
    void onData(std::string_view bytes) override;
    void onClosed() override { close(); }
    void next();

    BaselineProxy& proxy_;
    Connection connection_;
    protocol::RespDecoder decoder_{{64 * 1024, 16, 1, 80 * 1024, true}};
    std::deque<protocol::RespValue> waiting_;
    bool open_ = false;
};

class EndpointPoller : private Connection::Handler {
  public:
    explicit EndpointPoller(BaselineProxy& proxy);
    void call();

  private:
    void onConnected(bool up) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;

    BaselineProxy& proxy_;
    std::unique_ptr<Connection> connection_;
    protocol::HttpResponse answer_{4 << 20};
    transport::Timer again_;
    std::int64_t version_ = 0;
};

class BaselineProxy {
  public:
    BaselineProxy(BaselinePolicy policy, BaselineDefect defect);
    int run();

    void take(ClientHandler& front, protocol::Request said);
    void left(ClientHandler& front);
    void onAttemptEnded(std::uint64_t command, protocol::AttemptResponse outcome);
    void listed(const protocol::EndpointList& roster);
    void forget(UpstreamHandler* back);
    void rest(UpstreamHandler* back);

    protocol::StartupConfig start;
    transport::BufferPool pool{1 << 14};
    transport::EventLoop loop;
    std::list<std::unique_ptr<ClientHandler>> clients;
    std::unordered_map<UpstreamHandler*, std::unique_ptr<UpstreamHandler>> upstreams;

  private:
    struct OpenRequest {
        ClientHandler* front;
        protocol::Request said;
        Idempotency effect = Idempotency::nonIdempotent;
        Nanos deadline = 0;
        int attempts = 0;
        bool mayHaveExecuted = false;
        bool toOrigin = false;
        bool again = false;  // the defect's second time
        std::vector<ServerEntry*> tried;
    };
    ServerEntry* choose(OpenRequest& held);
    void attempt(std::uint64_t id, OpenRequest& held);
    void finish(std::uint64_t id, const std::string& words);
    void stop();

    BaselinePolicy policy_;
    BaselineDefect defect_;
    std::mt19937 random_;
    std::map<std::string, ServerEntry> servers_;
    std::unordered_map<std::uint64_t, OpenRequest> openRequests_;
    std::uint64_t last_ = 0;
    std::size_t turn_ = 0;
    std::unique_ptr<transport::Listener> listener_;
    std::unique_ptr<EndpointPoller> watch_;
    std::unique_ptr<transport::Timer> crash_, drained_;
    std::vector<std::unique_ptr<transport::Signal>> signals_;
};

// ---- Back

UpstreamHandler::UpstreamHandler(BaselineProxy& proxy, ServerEntry& place)
    : proxy_(proxy), place_(place), connection_(proxy.loop, proxy.pool, *this), limit_(proxy.loop, [this] {
          over({connection_.unsentBytes() == 0 && up_ ? AttemptOutcome::timedOut
                                                      : AttemptOutcome::connectFailed,
                {},
                true},
               false);
      }) {}

bool UpstreamHandler::open() { return connection_.connect(place_.address); }

void UpstreamHandler::send(std::uint64_t command, std::string bytes, Nanos deadline) {
    command_ = command;
    bytes_ = std::move(bytes);
    limit_.start(up_ ? deadline
                     : std::min(deadline, transport::EventLoop::now() + proxy_.start.connectTimeout));
    if (!up_) {
        // Once it is up the attempt has all of its time.
        relayUntil_ = deadline;
        return;
    }
    if (!connection_.write(bytes_)) over({AttemptOutcome::connectFailed, {}, true}, false);
}

void UpstreamHandler::onConnected(bool up) {
    if (!up) return over({AttemptOutcome::connectFailed, {}, true}, false);
    up_ = true;
    connection_.setReading(true);
    if (!command_) return proxy_.rest(this);
    limit_.start(relayUntil_);
    if (!connection_.write(bytes_)) over({AttemptOutcome::connectFailed, {}, true}, false);
}

void UpstreamHandler::onData(std::string_view bytes) {
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

void UpstreamHandler::onClosed() {
    if (!command_) return proxy_.forget(this);
    over({up_ && connection_.unsentBytes() == 0 ? AttemptOutcome::connectionLost
                                                : AttemptOutcome::connectFailed,
          {},
          true},
         false);
}

void UpstreamHandler::over(protocol::AttemptResponse outcome, bool keep) {
    limit_.stop();
    const std::uint64_t command = std::exchange(command_, 0);
    BaselineProxy& proxy = proxy_;
    --place_.out;
    if (keep)
        proxy.rest(this);
    else
        proxy.forget(this);
    if (command) proxy.onAttemptEnded(command, std::move(outcome));
}

// ---- Front

ClientHandler::ClientHandler(BaselineProxy& proxy)
    : proxy_(proxy), connection_(proxy.loop, proxy.pool, *this) {}

bool ClientHandler::start(const std::function<bool(Connection&)>& finish) {
    if (!finish(connection_)) return false;
    connection_.setReading(true);
    return true;
}

void ClientHandler::onData(std::string_view bytes) {
    while (!bytes.empty()) {
        const auto state = decoder_.feed(bytes);
        if (state == protocol::RespDecoder::State::more) break;
        if (state == protocol::RespDecoder::State::malformed) return close();
        waiting_.push_back(decoder_.takeValue());
    }
    next();
}

void ClientHandler::next() {
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

void ClientHandler::say(std::string_view bytes) {
    open_ = false;
    connection_.write(bytes);
    next();
}

void ClientHandler::close() {
    BaselineProxy& proxy = proxy_;
    proxy.left(*this);
    proxy.clients.remove_if([this](const auto& f) { return f.get() == this; });
}

// ---- ListWatch

EndpointPoller::EndpointPoller(BaselineProxy& proxy)
    : proxy_(proxy),
      again_(proxy.loop,
             [this] {
                 connection_.reset();
                 call();
             }),
      version_(proxy.start.knownEndpoints.version) {}

void EndpointPoller::call() {
    answer_.clear();
    again_.start(transport::EventLoop::now() + kLongPollWait + kLongPollGrace);
    if (connection_) return onConnected(true);
    Connection::Handler& self = *this;
    connection_ = std::make_unique<Connection>(proxy_.loop, proxy_.pool, self);
    const auto at = transport::parseAddress(proxy_.start.discovery);
    if (!at || !connection_->connect(*at)) onClosed();
}

void EndpointPoller::onConnected(bool up) {
    if (!up) return onClosed();
    connection_->setReading(true);
    connection_->write(fmt::format("GET /api/targets?after={}&wait_ms={} HTTP/1.1\r\nHost: d\r\n\r\n",
                                   version_, kLongPollWait / kMillisecond));
}

void EndpointPoller::onData(std::string_view bytes) {
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

void EndpointPoller::onClosed() {
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

BaselineProxy::BaselineProxy(BaselinePolicy policy, BaselineDefect defect)
    : start(readStartFile()),
      policy_(policy),
      defect_(defect),
      random_(static_cast<std::mt19937::result_type>(start.policy.seed)) {
    start.knownEndpoints.isComplete = true;
    listed(start.knownEndpoints);
    start.knownEndpoints.version = 0;
}

int BaselineProxy::run() {
    listener_ = std::make_unique<transport::Listener>(loop, [this](const auto& finish) {
        auto front = std::make_unique<ClientHandler>(*this);
        if (front->start(finish)) clients.push_back(std::move(front));
    });
    const auto at = transport::parseAddress(start.listen);
    const std::string problem = at ? listener_->listen(*at) : "not an address";
    if (!problem.empty()) {
        fmt::print(stderr, "poppyscale_testbed: can't listen on {}: {}\n", start.listen, problem);
        return 1;
    }
    watch_ = std::make_unique<EndpointPoller>(*this);
    watch_->call();
    signals_.push_back(std::make_unique<transport::Signal>(loop, SIGTERM, [this] { stop(); }));
    signals_.push_back(std::make_unique<transport::Signal>(loop, SIGINT, [this] { stop(); }));
    signals_.push_back(std::make_unique<transport::Signal>(loop, SIGHUP, [this] {
        start.discovery = readStartFile().discovery;
        watch_ = std::make_unique<EndpointPoller>(*this);
        watch_->call();
    }));
    if (defect_ == BaselineDefect::crash) {
        crash_ = std::make_unique<transport::Timer>(loop, [] { std::_Exit(1); });
        crash_->start(transport::EventLoop::now() + kCrashAfter);
    }
    loop.run();
    clients.clear();
    upstreams.clear();
    return 0;
}

void BaselineProxy::stop() {
    const Nanos until = transport::EventLoop::now() + kLeaving;
    drained_ = std::make_unique<transport::Timer>(loop, [this] {
        listener_->acceptBacklog();
        if (openRequests_.empty()) return loop.stop();
        drained_->start(transport::EventLoop::now() + 50 * kMillisecond);
    });
    drained_->start(until);
}

void BaselineProxy::listed(const protocol::EndpointList& roster) {
    if (roster.isComplete)
        for (auto& [name, place] : servers_) place.presence = EndpointState::removed;
    for (const auto& entry : roster.entries) {
        ServerEntry& place = servers_[entry.endpoint.name];
        place.name = entry.endpoint.name;
        if (const auto address = transport::parseAddress(entry.address)) place.address = *address;
        place.presence = entry.endpoint.state;
        place.startedMs = entry.startedMs;
        place.origin = entry.endpoint.shape == start.policy.originShape;
    }
}

ServerEntry* BaselineProxy::choose(OpenRequest& held) {
    std::vector<ServerEntry*> ready;
    ServerEntry* origin = nullptr;
    double out = 0;
    for (auto& [name, place] : servers_) {
        if (place.origin && place.presence == EndpointState::ready) origin = &place;
        const bool usable = place.presence == EndpointState::ready ||
                            (defect_ == BaselineDefect::drain && place.presence == EndpointState::draining);
        if (place.origin || !usable) continue;
        if (std::find(held.tried.begin(), held.tried.end(), &place) != held.tried.end()) continue;
        ready.push_back(&place);
        out += place.out;
    }
    if (held.said.isWrite || held.toOrigin) return origin;
    if (ready.empty()) return nullptr;
    if (defect_ == BaselineDefect::cold)
        return *std::max_element(ready.begin(), ready.end(), [](const ServerEntry* a, const ServerEntry* b) {
            return a->startedMs < b->startedMs;
        });
    if (defect_ == BaselineDefect::drain)
        for (ServerEntry* p : ready)
            if (p->presence == EndpointState::draining) return p;
    if (policy_ == BaselinePolicy::random) return ready[random_() % ready.size()];
    if (policy_ == BaselinePolicy::passThrough) return ready[++turn_ % ready.size()];
    const auto weight = [&](const ServerEntry* p) {
        return XXH3_64bits_withSeed(held.said.key.data(), held.said.key.size(),
                                    XXH3_64bits(p->name.data(), p->name.size()));
    };
    std::sort(ready.begin(), ready.end(),
              [&](const ServerEntry* a, const ServerEntry* b) { return weight(a) > weight(b); });
    if (policy_ == BaselinePolicy::boundedLoad) {
        const double most = kBound * (out + 1) / static_cast<double>(ready.size());
        for (ServerEntry* p : ready)
            if (p->out < std::max(most, 1.0)) return p;
    }
    return ready.front();
}

void BaselineProxy::take(ClientHandler& front, protocol::Request said) {
    const std::uint64_t id = ++last_;
    OpenRequest held;
    held.front = &front;
    held.deadline = loop.earliestArrival() + said.timeout;
    for (const RequestClass& v : start.policy.requestClasses)
        if (v.name == said.requestClass) held.effect = v.idempotency;
    held.said = std::move(said);
    auto& kept = openRequests_[id] = std::move(held);
    if (defect_ == BaselineDefect::lost && random_() % kDrawOut == 0) return;
    if (defect_ == BaselineDefect::foreign && random_() % kDrawOut == 0)
        return finish(id, protocol::bulk("made-up"));
    attempt(id, kept);
}

void BaselineProxy::attempt(std::uint64_t id, OpenRequest& held) {
    const Nanos now = transport::EventLoop::now();
    ServerEntry* const to = held.attempts < kMaxAttempts ? choose(held) : nullptr;
    if (!to || now >= held.deadline) {
        const bool harmless = !held.mayHaveExecuted || held.effect == Idempotency::safe;
        return finish(id, harmless ? "-BUSY 100\r\n" : "-ERR failed\r\n");
    }
    ++held.attempts;
    held.tried.push_back(to);
    UpstreamHandler* back = nullptr;
    if (!to->idle.empty()) {
        back = to->idle.back();
        to->idle.pop_back();
    } else {
        auto made = std::make_unique<UpstreamHandler>(*this, *to);
        back = made.get();
        upstreams[back] = std::move(made);
    }
    ++to->out;
    const Nanos timeTold =
        defect_ == BaselineDefect::tellsWholeTime ? held.said.timeout : held.deadline - now;
    const bool fresh = !back->up();
    back->send(id,
               to->origin ? protocol::originRequest(held.said, "origin", timeTold)
                          : protocol::cacheRequest(held.said, timeTold),
               held.deadline);
    if (fresh && upstreams.contains(back) && !back->open()) back->fail();
}

void BaselineProxy::onAttemptEnded(std::uint64_t id, protocol::AttemptResponse outcome) {
    const auto it = openRequests_.find(id);
    if (it == openRequests_.end()) return;
    OpenRequest& held = it->second;
    if (outcome.outcome == AttemptOutcome::succeeded) {
        // Once more, where it may not be: after its answer, so that nothing else of it looks odd.
        if (defect_ == BaselineDefect::twice && held.effect == Idempotency::nonIdempotent &&
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
    if (policy_ == BaselinePolicy::passThrough) return finish(id, "-BUSY 100\r\n");
    attempt(id, held);
}

void BaselineProxy::finish(std::uint64_t id, const std::string& words) {
    const auto it = openRequests_.find(id);
    ClientHandler* const front = it->second.front;
    openRequests_.erase(it);
    if (front) front->say(words);
}

void BaselineProxy::left(ClientHandler& front) {
    for (auto& [id, held] : openRequests_)
        if (held.front == &front) held.front = nullptr;
    std::erase_if(openRequests_,
                  [&](const auto& item) { return !item.second.front && item.second.attempts == 0; });
}

void BaselineProxy::rest(UpstreamHandler* back) { back->place().idle.push_back(back); }

void BaselineProxy::forget(UpstreamHandler* back) {
    std::erase(back->place().idle, back);
    upstreams.erase(back);
}

}  // namespace

int serveProxy(BaselinePolicy policy, BaselineDefect defect) {
    std::signal(SIGPIPE, SIG_IGN);
    BaselineProxy proxy(policy, defect);
    return proxy.run();
}

}  // namespace poppyscale::testbed
