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
// The policy `boundedLoad` skips caches with this many times the mean number of requests in flight.
constexpr double kBoundedLoadFactor = 1.25;
constexpr Nanos kLongPollWait = 10'000 * kMillisecond;
constexpr Nanos kLongPollGrace = 2'000 * kMillisecond;
constexpr Nanos kCrashAfter = 3'000 * kMillisecond;
// After SIGTERM the proxy accepts connections for this long, then ends once no request is open.
constexpr Nanos kDrainTime = 480 * kMillisecond;
// The defects `dropRequest` and `fabricateValue` affect one request in this many.
constexpr std::uint32_t kRequestsPerDefect = 20;

class BaselineProxy;

struct ServerEntry {
    std::string name;
    Address address{};
    EndpointState state = EndpointState::removed;
    std::int64_t startedMs = 0;
    bool isOrigin = false;
    int inFlight = 0;
    std::vector<class UpstreamHandler*> idleConnections;
};

// A connection to a cache or the origin; one attempt at a time.
class UpstreamHandler : private Connection::Handler {
  public:
    UpstreamHandler(BaselineProxy& proxy, ServerEntry& server);
    bool open();
    void send(std::uint64_t requestId, std::string bytes, Nanos deadline);
    ServerEntry& server() { return server_; }
    bool isConnected() const { return isConnected_; }
    void fail() { endAttempt({AttemptOutcome::connectFailed, {}, true}, false); }

  private:
    void onConnected(bool up) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;
    void endAttempt(protocol::AttemptResponse outcome, bool keepAlive);

    BaselineProxy& proxy_;
    ServerEntry& server_;
    Connection connection_;
    transport::Timer attemptTimer_;
    protocol::RespDecoder decoder_{{64 * 1024, 16, 3, 128 * 1024, false}};
    protocol::HttpResponse http_{64 * 1024};
    std::uint64_t requestId_ = 0;
    std::string requestBytes_;
    Nanos deadline_ = 0;
    bool isConnected_ = false;
};

class ClientHandler : private Connection::Handler {
  public:
    explicit ClientHandler(BaselineProxy& proxy);
    bool start(const std::function<bool(Connection&)>& finish);
    void respond(std::string_view bytes);
    bool hasOpenRequest() const { return hasOpenRequest_; }
    void close();

  private:
    void onData(std::string_view bytes) override;
    void onClosed() override { close(); }
    void startNextRequest();

    BaselineProxy& proxy_;
    Connection connection_;
    protocol::RespDecoder decoder_{{64 * 1024, 16, 1, 80 * 1024, true}};
    std::deque<protocol::RespValue> pipelined_;
    bool hasOpenRequest_ = false;
};

class EndpointPoller : private Connection::Handler {
  public:
    explicit EndpointPoller(BaselineProxy& proxy);
    void poll();

  private:
    void onConnected(bool up) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;

    BaselineProxy& proxy_;
    std::unique_ptr<Connection> connection_;
    protocol::HttpResponse response_{4 << 20};
    transport::Timer retryTimer_;
    std::int64_t version_ = 0;
};

class BaselineProxy {
  public:
    BaselineProxy(BaselinePolicy policy, BaselineDefect defect);
    int run();

    void onRequest(ClientHandler& client, protocol::Request request);
    void onClientDisconnected(ClientHandler& client);
    void onAttemptEnded(std::uint64_t requestId, protocol::AttemptResponse outcome);
    void applyEndpointList(const protocol::EndpointList& list);
    void removeUpstream(UpstreamHandler* upstream);
    void returnToIdle(UpstreamHandler* upstream);

    protocol::StartupConfig config;
    transport::BufferPool pool{1 << 14};
    transport::EventLoop loop;
    std::list<std::unique_ptr<ClientHandler>> clients;
    std::unordered_map<UpstreamHandler*, std::unique_ptr<UpstreamHandler>> upstreams;

  private:
    struct OpenRequest {
        ClientHandler* client;
        protocol::Request request;
        Idempotency idempotency = Idempotency::nonIdempotent;
        Nanos deadline = 0;
        int attempts = 0;
        bool mayHaveExecuted = false;
        bool toOrigin = false;
        bool wasDuplicated = false;  // the defect `duplicateRequest` has sent it again
        std::vector<ServerEntry*> triedServers;
    };
    ServerEntry* chooseServer(OpenRequest& open);
    void startAttempt(std::uint64_t id, OpenRequest& open);
    void finish(std::uint64_t id, const std::string& response);
    void stop();

    BaselinePolicy policy_;
    BaselineDefect defect_;
    std::mt19937 random_;
    std::map<std::string, ServerEntry> servers_;
    std::unordered_map<std::uint64_t, OpenRequest> openRequests_;
    std::uint64_t lastRequestId_ = 0;
    std::size_t roundRobinIndex_ = 0;
    std::unique_ptr<transport::Listener> listener_;
    std::unique_ptr<EndpointPoller> poller_;
    std::unique_ptr<transport::Timer> crashTimer_, drainTimer_;
    std::vector<std::unique_ptr<transport::Signal>> signals_;
};

// ---- UpstreamHandler

UpstreamHandler::UpstreamHandler(BaselineProxy& proxy, ServerEntry& server)
    : proxy_(proxy),
      server_(server),
      connection_(proxy.loop, proxy.pool, *this),
      attemptTimer_(proxy.loop, [this] {
          endAttempt({connection_.unsentBytes() == 0 && isConnected_ ? AttemptOutcome::timedOut
                                                                     : AttemptOutcome::connectFailed,
                      {},
                      true},
                     false);
      }) {}

bool UpstreamHandler::open() { return connection_.connect(server_.address); }

void UpstreamHandler::send(std::uint64_t requestId, std::string bytes, Nanos deadline) {
    requestId_ = requestId;
    requestBytes_ = std::move(bytes);
    attemptTimer_.start(isConnected_
                            ? deadline
                            : std::min(deadline, transport::EventLoop::now() + proxy_.config.connectTimeout));
    if (!isConnected_) {
        // The attempt's own deadline applies once the connection is up.
        deadline_ = deadline;
        return;
    }
    if (!connection_.write(requestBytes_)) endAttempt({AttemptOutcome::connectFailed, {}, true}, false);
}

void UpstreamHandler::onConnected(bool up) {
    if (!up) return endAttempt({AttemptOutcome::connectFailed, {}, true}, false);
    isConnected_ = true;
    connection_.setReading(true);
    if (!requestId_) return proxy_.returnToIdle(this);
    attemptTimer_.start(deadline_);
    if (!connection_.write(requestBytes_)) endAttempt({AttemptOutcome::connectFailed, {}, true}, false);
}

void UpstreamHandler::onData(std::string_view bytes) {
    if (!requestId_) return proxy_.removeUpstream(this);
    if (server_.isOrigin) {
        const auto state = http_.feed(bytes);
        if (state == protocol::HttpResponse::State::more) return;
        if (state == protocol::HttpResponse::State::malformed) return endAttempt({}, false);
        const int status = http_.status();
        protocol::AttemptResponse outcome{status == 200 ? AttemptOutcome::succeeded : AttemptOutcome::failed,
                                          std::move(http_.body()), true};
        if (http_.wasNotExecuted()) outcome.outcome = AttemptOutcome::overloaded;
        const bool keepAlive = http_.isKeepAlive();
        http_.clear();
        return endAttempt(std::move(outcome), keepAlive);
    }
    const auto state = decoder_.feed(bytes);
    if (state == protocol::RespDecoder::State::more) return;
    if (state == protocol::RespDecoder::State::malformed) return endAttempt({}, false);
    auto outcome = protocol::readCacheResponse(decoder_.takeValue());
    const bool keepAlive = outcome.isWellFormed && bytes.empty();
    endAttempt(std::move(outcome), keepAlive);
}

void UpstreamHandler::onClosed() {
    if (!requestId_) return proxy_.removeUpstream(this);
    endAttempt({isConnected_ && connection_.unsentBytes() == 0 ? AttemptOutcome::connectionLost
                                                               : AttemptOutcome::connectFailed,
                {},
                true},
               false);
}

void UpstreamHandler::endAttempt(protocol::AttemptResponse outcome, bool keepAlive) {
    attemptTimer_.stop();
    const std::uint64_t requestId = std::exchange(requestId_, 0);
    BaselineProxy& proxy = proxy_;
    --server_.inFlight;
    if (keepAlive)
        proxy.returnToIdle(this);
    else
        proxy.removeUpstream(this);
    if (requestId) proxy.onAttemptEnded(requestId, std::move(outcome));
}

// ---- ClientHandler

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
        pipelined_.push_back(decoder_.takeValue());
    }
    startNextRequest();
}

void ClientHandler::startNextRequest() {
    while (!hasOpenRequest_ && !pipelined_.empty()) {
        auto parsed = protocol::readRequest(std::move(pipelined_.front()));
        pipelined_.pop_front();
        if (const auto* control = std::get_if<protocol::ControlCommand>(&parsed)) {
            connection_.write(control->response);
            continue;
        }
        hasOpenRequest_ = true;
        proxy_.onRequest(*this, std::move(std::get<protocol::Request>(parsed)));
    }
}

void ClientHandler::respond(std::string_view bytes) {
    hasOpenRequest_ = false;
    connection_.write(bytes);
    startNextRequest();
}

void ClientHandler::close() {
    BaselineProxy& proxy = proxy_;
    proxy.onClientDisconnected(*this);
    proxy.clients.remove_if([this](const auto& f) { return f.get() == this; });
}

// ---- EndpointPoller

EndpointPoller::EndpointPoller(BaselineProxy& proxy)
    : proxy_(proxy),
      retryTimer_(proxy.loop,
                  [this] {
                      connection_.reset();
                      poll();
                  }),
      version_(proxy.config.knownEndpoints.version) {}

void EndpointPoller::poll() {
    response_.clear();
    retryTimer_.start(transport::EventLoop::now() + kLongPollWait + kLongPollGrace);
    if (connection_) return onConnected(true);
    Connection::Handler& self = *this;
    connection_ = std::make_unique<Connection>(proxy_.loop, proxy_.pool, self);
    const auto at = transport::parseAddress(proxy_.config.discovery);
    if (!at || !connection_->connect(*at)) onClosed();
}

void EndpointPoller::onConnected(bool up) {
    if (!up) return onClosed();
    connection_->setReading(true);
    connection_->write(fmt::format("GET /api/targets?after={}&wait_ms={} HTTP/1.1\r\nHost: d\r\n\r\n",
                                   version_, kLongPollWait / kMillisecond));
}

void EndpointPoller::onData(std::string_view bytes) {
    const auto state = response_.feed(bytes);
    if (state == protocol::HttpResponse::State::more) return;
    if (state == protocol::HttpResponse::State::malformed || response_.status() != 200) return onClosed();
    try {
        const auto list = protocol::readEndpointList(response_.body());
        version_ = list.version;
        proxy_.applyEndpointList(list);
    } catch (const protocol::ParseError&) {
        return onClosed();
    }
    poll();
}

void EndpointPoller::onClosed() {
    connection_.reset();
    retryTimer_.start(transport::EventLoop::now() + 500 * kMillisecond);
}

// ---- BaselineProxy

protocol::StartupConfig readStartupConfigFile() {
    const char* const path = std::getenv("ROUTER_CONFIG");
    std::ifstream file(path ? path : "", std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw ScenarioError("can't read the configuration file that ROUTER_CONFIG names");
    return protocol::readStartupConfig(text);
}

BaselineProxy::BaselineProxy(BaselinePolicy policy, BaselineDefect defect)
    : config(readStartupConfigFile()),
      policy_(policy),
      defect_(defect),
      random_(static_cast<std::mt19937::result_type>(config.policy.seed)) {
    config.knownEndpoints.isComplete = true;
    applyEndpointList(config.knownEndpoints);
    config.knownEndpoints.version = 0;
}

int BaselineProxy::run() {
    listener_ = std::make_unique<transport::Listener>(loop, [this](const auto& finish) {
        auto client = std::make_unique<ClientHandler>(*this);
        if (client->start(finish)) clients.push_back(std::move(client));
    });
    const auto at = transport::parseAddress(config.listen);
    const std::string problem = at ? listener_->listen(*at) : "not an IPv4 address and port";
    if (!problem.empty()) {
        fmt::print(stderr, "poppyscale_testbed: can't listen on {}: {}\n", config.listen, problem);
        return 1;
    }
    poller_ = std::make_unique<EndpointPoller>(*this);
    poller_->poll();
    signals_.push_back(std::make_unique<transport::Signal>(loop, SIGTERM, [this] { stop(); }));
    signals_.push_back(std::make_unique<transport::Signal>(loop, SIGINT, [this] { stop(); }));
    signals_.push_back(std::make_unique<transport::Signal>(loop, SIGHUP, [this] {
        config.discovery = readStartupConfigFile().discovery;
        poller_ = std::make_unique<EndpointPoller>(*this);
        poller_->poll();
    }));
    if (defect_ == BaselineDefect::crash) {
        crashTimer_ = std::make_unique<transport::Timer>(loop, [] { std::_Exit(1); });
        crashTimer_->start(transport::EventLoop::now() + kCrashAfter);
    }
    loop.run();
    clients.clear();
    upstreams.clear();
    return 0;
}

void BaselineProxy::stop() {
    const Nanos until = transport::EventLoop::now() + kDrainTime;
    drainTimer_ = std::make_unique<transport::Timer>(loop, [this] {
        listener_->acceptBacklog();
        if (openRequests_.empty()) return loop.stop();
        drainTimer_->start(transport::EventLoop::now() + 50 * kMillisecond);
    });
    drainTimer_->start(until);
}

void BaselineProxy::applyEndpointList(const protocol::EndpointList& list) {
    if (list.isComplete)
        for (auto& [name, server] : servers_) server.state = EndpointState::removed;
    for (const auto& entry : list.entries) {
        ServerEntry& server = servers_[entry.endpoint.name];
        server.name = entry.endpoint.name;
        if (const auto address = transport::parseAddress(entry.address)) server.address = *address;
        server.state = entry.endpoint.state;
        server.startedMs = entry.startedMs;
        server.isOrigin = entry.endpoint.shape == config.policy.originShape;
    }
}

ServerEntry* BaselineProxy::chooseServer(OpenRequest& open) {
    std::vector<ServerEntry*> ready;
    ServerEntry* origin = nullptr;
    double totalInFlight = 0;
    for (auto& [name, server] : servers_) {
        if (server.isOrigin && server.state == EndpointState::ready) origin = &server;
        const bool isUsable =
            server.state == EndpointState::ready ||
            (defect_ == BaselineDefect::preferDraining && server.state == EndpointState::draining);
        if (server.isOrigin || !isUsable) continue;
        if (std::find(open.triedServers.begin(), open.triedServers.end(), &server) != open.triedServers.end())
            continue;
        ready.push_back(&server);
        totalInFlight += server.inFlight;
    }
    if (open.request.isWrite || open.toOrigin) return origin;
    if (ready.empty()) return nullptr;
    if (defect_ == BaselineDefect::overloadColdCache)
        return *std::max_element(ready.begin(), ready.end(), [](const ServerEntry* a, const ServerEntry* b) {
            return a->startedMs < b->startedMs;
        });
    if (defect_ == BaselineDefect::preferDraining)
        for (ServerEntry* p : ready)
            if (p->state == EndpointState::draining) return p;
    if (policy_ == BaselinePolicy::random) return ready[random_() % ready.size()];
    if (policy_ == BaselinePolicy::passThrough) return ready[++roundRobinIndex_ % ready.size()];
    const auto weight = [&](const ServerEntry* p) {
        return XXH3_64bits_withSeed(open.request.key.data(), open.request.key.size(),
                                    XXH3_64bits(p->name.data(), p->name.size()));
    };
    std::sort(ready.begin(), ready.end(),
              [&](const ServerEntry* a, const ServerEntry* b) { return weight(a) > weight(b); });
    if (policy_ == BaselinePolicy::boundedLoad) {
        const double bound = kBoundedLoadFactor * (totalInFlight + 1) / static_cast<double>(ready.size());
        for (ServerEntry* p : ready)
            if (p->inFlight < std::max(bound, 1.0)) return p;
    }
    return ready.front();
}

void BaselineProxy::onRequest(ClientHandler& client, protocol::Request request) {
    const std::uint64_t id = ++lastRequestId_;
    OpenRequest open;
    open.client = &client;
    open.deadline = loop.earliestArrival() + request.timeout;
    for (const RequestClass& requestClass : config.policy.requestClasses)
        if (requestClass.name == request.requestClass) open.idempotency = requestClass.idempotency;
    open.request = std::move(request);
    auto& stored = openRequests_[id] = std::move(open);
    if (defect_ == BaselineDefect::dropRequest && random_() % kRequestsPerDefect == 0) return;
    if (defect_ == BaselineDefect::fabricateValue && random_() % kRequestsPerDefect == 0)
        return finish(id, protocol::bulk("made-up"));
    startAttempt(id, stored);
}

void BaselineProxy::startAttempt(std::uint64_t id, OpenRequest& open) {
    const Nanos now = transport::EventLoop::now();
    ServerEntry* const server = open.attempts < kMaxAttempts ? chooseServer(open) : nullptr;
    if (!server || now >= open.deadline) {
        const bool canReject = !open.mayHaveExecuted || open.idempotency == Idempotency::safe;
        return finish(id, canReject ? "-BUSY 100\r\n" : "-ERR failed\r\n");
    }
    ++open.attempts;
    open.triedServers.push_back(server);
    UpstreamHandler* upstream = nullptr;
    if (!server->idleConnections.empty()) {
        upstream = server->idleConnections.back();
        server->idleConnections.pop_back();
    } else {
        auto created = std::make_unique<UpstreamHandler>(*this, *server);
        upstream = created.get();
        upstreams[upstream] = std::move(created);
    }
    ++server->inFlight;
    const Nanos forwardedTimeout =
        defect_ == BaselineDefect::forwardsFullTimeout ? open.request.timeout : open.deadline - now;
    const bool isNew = !upstream->isConnected();
    upstream->send(id,
                   server->isOrigin ? protocol::originRequest(open.request, "origin", forwardedTimeout)
                                    : protocol::cacheRequest(open.request, forwardedTimeout),
                   open.deadline);
    if (isNew && upstreams.contains(upstream) && !upstream->open()) upstream->fail();
}

void BaselineProxy::onAttemptEnded(std::uint64_t id, protocol::AttemptResponse outcome) {
    const auto it = openRequests_.find(id);
    if (it == openRequests_.end()) return;
    OpenRequest& open = it->second;
    if (outcome.outcome == AttemptOutcome::succeeded) {
        // The defect sends the request again although it is not idempotent, but only after it has
        // succeeded, so that no other rule is broken.
        if (defect_ == BaselineDefect::duplicateRequest && open.idempotency == Idempotency::nonIdempotent &&
            !std::exchange(open.wasDuplicated, true)) {
            open.triedServers.clear();
            return startAttempt(id, open);
        }
        return finish(id, protocol::bulk(outcome.value));
    }
    if (outcome.outcome == AttemptOutcome::cacheMiss) {
        open.toOrigin = true;
        return startAttempt(id, open);
    }
    const bool mayHaveRun =
        outcome.outcome != AttemptOutcome::overloaded && outcome.outcome != AttemptOutcome::connectFailed;
    open.mayHaveExecuted |= mayHaveRun;
    const bool mayRetry = !open.mayHaveExecuted || open.idempotency == Idempotency::safe;
    if (!mayRetry) return finish(id, "-ERR failed\r\n");
    if (policy_ == BaselinePolicy::passThrough) return finish(id, "-BUSY 100\r\n");
    startAttempt(id, open);
}

void BaselineProxy::finish(std::uint64_t id, const std::string& response) {
    const auto it = openRequests_.find(id);
    ClientHandler* const client = it->second.client;
    openRequests_.erase(it);
    if (client) client->respond(response);
}

void BaselineProxy::onClientDisconnected(ClientHandler& client) {
    for (auto& [id, open] : openRequests_)
        if (open.client == &client) open.client = nullptr;
    std::erase_if(openRequests_,
                  [&](const auto& item) { return !item.second.client && item.second.attempts == 0; });
}

void BaselineProxy::returnToIdle(UpstreamHandler* upstream) {
    upstream->server().idleConnections.push_back(upstream);
}

void BaselineProxy::removeUpstream(UpstreamHandler* upstream) {
    std::erase(upstream->server().idleConnections, upstream);
    upstreams.erase(upstream);
}

}  // namespace

int runBaselineProxy(BaselinePolicy policy, BaselineDefect defect) {
    std::signal(SIGPIPE, SIG_IGN);
    BaselineProxy proxy(policy, defect);
    return proxy.run();
}

}  // namespace poppyscale::testbed
