#include "testbed/drivers/live/live_run.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <unordered_map>

#include "protocol/number.hpp"
#include "protocol/resp.hpp"
#include "testbed/drivers/live/child_process.hpp"
#include "testbed/drivers/live/http_request.hpp"
#include "testbed/drivers/live/machines.hpp"
#include "testbed/drivers/live/process_faults.hpp"
#include "testbed/emulator/emulated_deployment.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"
#include "transport/listener.hpp"

namespace poppyscale::testbed {
namespace {

using transport::Address;
using transport::Connection;

constexpr Nanos kSecond = 1'000 * kMillisecond;
constexpr Nanos kReadyWithin = 15 * kSecond;
constexpr Nanos kAskReady = 20 * kMillisecond;
constexpr Nanos kLateFrom = 20 * kMillisecond;
constexpr Nanos kLateSpan = 100 * kMillisecond;
constexpr Nanos kRollMore = 30 * kSecond;  // beyond the day, for a roll that is not over
constexpr Nanos kOldDiscovery = 1'500 * kMillisecond;
constexpr std::size_t kBuffers = 1 << 16;
constexpr std::uint16_t kRouterPort = 7000, kDiscoveryPort = 9000, kServerPort = 10000;

std::string textOf(const Address& a) {
    char name[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &a.sin_addr, name, sizeof name);
    return fmt::format("{}:{}", name, ntohs(a.sin_port));
}

// The value of an item of an info list; empty if there is none. It lies within `info`.
std::string_view itemOf(std::string_view info, std::string_view name) {
    while (!info.empty()) {
        const auto item = info.substr(0, info.find(','));
        if (item.starts_with(name) && item.size() > name.size() && item[name.size()] == '=')
            return item.substr(name.size() + 1);
        info.remove_prefix(std::min(info.size(), item.size() + 1));
    }
    return "";
}

// The time that an attempt's info list tells, in ms; none if it has no such item or that is no number.
std::optional<std::int64_t> forwardedTimeout(std::string_view info) {
    return protocol::parse<std::int64_t>(itemOf(info, "d"));
}

RequestId idOf(std::string_view text) { return protocol::parse<std::uint64_t>(text, 16).value_or(0); }

std::string lastLine(const std::string& path) {
    std::ifstream file(path);
    std::string line, last = "nothing";
    while (std::getline(file, line)) last = line;
    return last;
}

// A socket that is bound and listens but takes nobody: with its backlog full, who connects hears nothing, as
// of a machine that is cut off.
class UnresponsiveSocket {
  public:
    explicit UnresponsiveSocket(const Address& at) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int yes = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        if (::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd_, 0) != 0)
            return;
        for (int& plug : plugs_) {
            plug = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            ::connect(plug, reinterpret_cast<const sockaddr*>(&at), sizeof at);
        }
    }
    ~UnresponsiveSocket() {
        for (const int plug : plugs_)
            if (plug >= 0) ::close(plug);
        if (fd_ >= 0) ::close(fd_);
    }
    UnresponsiveSocket(const UnresponsiveSocket&) = delete;
    UnresponsiveSocket& operator=(const UnresponsiveSocket&) = delete;

  private:
    int fd_ = -1;
    int plugs_[2] = {-1, -1};
};

class LiveRun;

// A router's connection to a cache or to the origin, as the server has it.
class ServerConnectionHandler : private Connection::Handler {
  public:
    ServerConnectionHandler(LiveRun& live, int router, int door);
    bool start(const std::function<bool(Connection&)>& finish);
    void reply(const Reply& reply);
    ConnectionId id() const { return id_; }

  private:
    void onData(std::string_view bytes) override;
    void onClosed() override;
    Nanos heldUp() const;
    void readAttempt(const protocol::RespValue& words);

    LiveRun& live_;
    int router_, address_;
    ConnectionId id_ = 0;
    Connection connection_;
    protocol::RespDecoder decoder_{{80 * 1024, 16, 2, 160 * 1024, false}};
    HttpRequestParser http_;
};

// A router's connection to discovery.
class DiscoveryConnection : private Connection::Handler {
  public:
    DiscoveryConnection(LiveRun& live, int router);
    bool start(const std::function<bool(Connection&)>& finish);
    void say(int status, const std::string& json);
    int router() const { return router_; }
    PollId call() const { return call_; }

  private:
    void onData(std::string_view bytes) override;
    void onClosed() override;

    LiveRun& live_;
    int router_;
    PollId call_ = 0;  // the last one; 0 before the first
    Connection connection_;
    HttpRequestParser http_;
};

// A client's connection to a router; one command at a time.
class ClientConnectionHandler : private Connection::Handler {
  public:
    ClientConnectionHandler(LiveRun& live, int router);
    // False when the system has nothing left for it.
    bool open(const Address& to);
    void send(const ClientRequest& ask);
    RequestId asked() const { return ask_.id; }
    bool idle() const { return up_ && ask_.id == 0; }

  private:
    void onConnected(bool up) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;
    void write();

    LiveRun& live_;
    int router_;
    Connection connection_;
    protocol::RespDecoder decoder_{{80 * 1024, 64, 3, 256 * 1024, false}};
    ClientRequest ask_;
    bool up_ = false;
    int served_ = 0;
};

// Asks a router that has been started whether it is there, until it is.
class ReadinessProbe : private Connection::Handler {
  public:
    ReadinessProbe(LiveRun& live, int router);

  private:
    void tryIt();
    void onConnected(bool up) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;

    LiveRun& live_;
    int router_;
    transport::Timer again_;
    std::unique_ptr<Connection> connection_;
};

class LiveRun : public Transport, private MachineEvents {
  public:
    LiveRun(const Scenario& scenario, std::uint64_t seed, EventLog& ledger, const LiveRunOptions& wanted);
    ~LiveRun() override;
    LiveResult run();

    // Times of the world.
    Nanos now() const { return transport::EventLoop::now() - base_; }

    void sendRequest(const ClientRequest& ask) override { askOn(ask, false); }
    void askOn(const ClientRequest& ask, bool fresh);
    void disconnectClient(int router, RequestId id) override;
    void onConnectionOpened(ConnectionId conn, bool up) override {
        if (!up) serverLinks.erase(conn);
    }
    void sendReply(ConnectionId conn, const Reply& reply) override {
        const auto it = serverLinks.find(conn);
        if (it != serverLinks.end()) it->second->reply(reply);
    }
    void breakConnection(ConnectionId conn) override { serverLinks.erase(conn); }
    void setAddressState(int router, int door, AddressState state) override;
    void sendEndpointList(int router, PollId call, const EndpointListMessage& list) override;
    void refusePoll(int router, PollId call) override;
    void failPoll(int router, PollId call) override;
    void dropListLinks(int router);
    void moveDiscovery(int door) override;
    void killRouter(int router) override { machines_ ? machines_->kill(router) : signalTo(router, SIGKILL); }
    void startRouter(int router) override;
    void terminateRouter(int router) override { signalTo(router, SIGTERM); }
    void reloadRouter(int router) override;
    void upgradeRouter(int router) override;
    void injectMachineFault(const FaultPlan& fault, int machine, bool begins) override {
        if (machines_) machines_->injectFault(clock(), fault, machine, begins);
    }

    void injectProcessFault(const FaultPlan& fault, bool begins) override {
        if (processFaults_) processFaults_->play(fault, begins);
    }

    void routerReady(int router);
    void dropClient(int router, ClientConnectionHandler* link);
    Address addressOf(int router, std::uint16_t port) const;
    bool alive(int router) const {
        return machines_ ? machines_->isUp(router) : processes_[static_cast<std::size_t>(router)] != nullptr;
    }

    transport::BufferPool pool{kBuffers};
    transport::EventLoop loop;
    EmulatedDeployment deployment;
    std::unordered_map<ConnectionId, std::unique_ptr<ServerConnectionHandler>> serverLinks;
    std::list<std::unique_ptr<DiscoveryConnection>> listLinks;
    std::vector<std::list<std::unique_ptr<ClientConnectionHandler>>> clients;

  private:
    // ---- MachineHost: times are of the clock that all processes share
    static Nanos clock() {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
    }
    Nanos deploymentTime(Nanos at) const { return std::max<Nanos>(now() - (clock() - at), 0); }
    void onRouterUp(int router) override;
    void onRouterStopping(int router, Nanos at) override {
        deployment.routerLeaves(now(), router, deploymentTime(at));
    }
    void onRouterGone(int router, Nanos) override {
        dropListLinks(router);
        if (begun_ && !ending_) deployment.routerGone(now(), router);
    }
    void onClaim(int router, Nanos at, const std::string& what) override {
        deployment.note(now(), EventKind::claims, router, deploymentTime(at), what);
    }
    void makeMachines();
    void observeRollout();

    struct ListeningAddress {
        AddressState state = AddressState::refused;
        std::unique_ptr<transport::Listener> listener;
        std::unique_ptr<UnresponsiveSocket> wall;
    };
    void claimNet();
    void signalTo(int router, int number);
    void writeConfiguration(int router);
    nlohmann::json listJson(int router, const EndpointListMessage& list) const;
    void openDiscovery(int door);
    void runIteration();
    void observeLateness(Nanos at);
    void childrenEnded();
    void onOperatorResponse();
    std::string addressOfServer(int router) const { return fmt::format("{}/r{}.sock", folder_, router); }
    void beginDeployment();
    void end();

    const LiveRunOptions& options_;
    std::uint64_t seed_;
    std::uint32_t net_ = 0;  // the routers' addresses but for the last part
    int claim_ = -1;
    Nanos base_;
    std::int64_t unixBaseMs_;
    std::string folder_;
    bool ownFolder_ = false;
    std::vector<std::unique_ptr<ChildProcess>> processes_;
    std::vector<std::unique_ptr<ReadinessProbe>> ready_;
    std::vector<std::vector<ListeningAddress>> addresses_;
    std::vector<std::unique_ptr<transport::Listener>> discovery_;
    int discoveryAddress_ = 0;
    std::set<int> readyOnes_;
    struct Asked {  // an operator's socket, until it has answered
        int router;
        int fd;
        std::string said;
    };
    std::list<Asked> asked_;
    bool begun_ = false, ending_ = false;
    EventLog& eventLog_;
    Nanos worstLate_ = 0, lateUntil_ = 0;
    long lateSpans_ = 0, allSpans_ = 0;
    std::uint64_t starts_ = 0;
    Nanos shown_ = 0;
    LiveResult result_;
    transport::Timer step_;
    transport::Timer readyBy_;
    std::string failure_;
    std::unique_ptr<ProcessFaults> processFaults_;  // null where the day has none
    std::unique_ptr<Machines> machines_;
    bool rolled_ = false;
    std::unique_ptr<transport::Signal> child_, interrupt_, terminate_;
};

// ---- ServerLink

ServerConnectionHandler::ServerConnectionHandler(LiveRun& live, int router, int door)
    : live_(live), router_(router), address_(door), connection_(live.loop, live.pool, *this) {}

bool ServerConnectionHandler::start(const std::function<bool(Connection&)>& finish) {
    if (!finish(connection_)) return false;
    id_ = live_.deployment.connect(live_.now(), router_, address_);
    connection_.setReading(true);
    return true;
}

void ServerConnectionHandler::onData(std::string_view bytes) {
    // When it is read, also after a hold-up of the testbed: dated back, an attempt would seem to have been
    // sent before the answer that it follows.
    const Nanos at = live_.now();
    while (!bytes.empty()) {
        if (address_ == 0) {
            const auto state = http_.feed(bytes);
            if (state == HttpRequestParser::State::more) return;
            if (state == HttpRequestParser::State::malformed) return onClosed();
            ServerCall call;
            call.command = idOf(http_.id());
            call.key = http_.path().substr(std::min<std::size_t>(http_.path().size(), 1));
            call.requestClass = itemOf(http_.info(), "c");
            call.mark = itemOf(http_.info(), "k");
            call.write = http_.write();
            call.forwardedTimeoutMs = forwardedTimeout(http_.info());
            call.delayedBy = heldUp();
            http_.clear();
            live_.deployment.call(at, id_, call);
        } else {
            const auto state = decoder_.feed(bytes);
            if (state == protocol::RespDecoder::State::more) return;
            if (state == protocol::RespDecoder::State::malformed) return onClosed();
            readAttempt(decoder_.takeValue());
        }
    }
}

void ServerConnectionHandler::readAttempt(const protocol::RespValue& value) {
    const auto& words = value.items;
    if (words.size() == 1 && words[0].text == "PING") return void(connection_.write("+PONG\r\n"));
    const bool write = !words.empty() && words[0].text == "OBJ.SET";
    if (words.size() != (write ? 5U : 4U) || (!write && words[0].text != "OBJ.GET"))
        return void(connection_.write("-SYNTAX\r\n"));
    ServerCall call;
    call.command = idOf(words[2].text);
    call.key = words[1].text;
    call.requestClass = itemOf(words[3].text, "c");
    call.mark = itemOf(words[3].text, "k");
    call.write = write;
    call.forwardedTimeoutMs = forwardedTimeout(words[3].text);
    call.delayedBy = heldUp();
    live_.deployment.call(live_.now(), id_, call);
}

Nanos ServerConnectionHandler::heldUp() const {
    return transport::EventLoop::now() - live_.loop.earliestArrival();
}

void ServerConnectionHandler::reply(const Reply& reply) {
    using K = Reply::Kind;
    std::string text;
    if (address_ == 0) {
        if (reply.kind == K::value) text = httpAnswer(200, "", reply.token);
        if (reply.kind == K::error || reply.kind == K::miss) text = httpAnswer(500, "", "");
        if (reply.kind == K::busy) text = httpAnswer(503, "X-Rejected: 1\r\n", "");
        if (reply.kind == K::spoilt) text = "HTTQ/9.9 ???\r\n\r\n";
    } else {
        if (reply.kind == K::value)
            text = "*3\r\n" + protocol::bulk(reply.token) + protocol::bulk("hit") + "$-1\r\n";
        if (reply.kind == K::miss) text = "*3\r\n$-1\r\n" + protocol::bulk("miss") + "$-1\r\n";
        if (reply.kind == K::error) text = "-ERR failed\r\n";
        if (reply.kind == K::busy) text = "-BUSY\r\n";
        if (reply.kind == K::spoilt) text = "$x9\r\n\x01\x02*\r\n";
    }
    connection_.write(text);
}

void ServerConnectionHandler::onClosed() {
    const ConnectionId id = id_;
    LiveRun& live = live_;
    live.deployment.closed(live.now(), id);
    live.serverLinks.erase(id);
}

// ---- ListLink

DiscoveryConnection::DiscoveryConnection(LiveRun& live, int router)
    : live_(live), router_(router), connection_(live.loop, live.pool, *this) {}

bool DiscoveryConnection::start(const std::function<bool(Connection&)>& finish) {
    if (!finish(connection_)) return false;
    connection_.setReading(true);
    return true;
}

void DiscoveryConnection::onData(std::string_view bytes) {
    const auto state = http_.feed(bytes);
    if (state == HttpRequestParser::State::more) return;
    if (state == HttpRequestParser::State::malformed) return onClosed();
    const auto after = protocol::parse<std::int64_t>(http_.query("after"));
    const auto wait = protocol::parse<std::int64_t>(http_.query("wait_ms")).value_or(0);
    http_.clear();
    call_ = live_.deployment.beginPoll(live_.now(), router_, after, wait * kMillisecond);
}

void DiscoveryConnection::say(int status, const std::string& json) {
    connection_.write(httpAnswer(status, "", json));
}

void DiscoveryConnection::onClosed() {
    LiveRun& live = live_;
    live.deployment.endPoll(call_);
    live.listLinks.remove_if([this](const auto& link) { return link.get() == this; });
}

// ---- ClientLink

ClientConnectionHandler::ClientConnectionHandler(LiveRun& live, int router)
    : live_(live), router_(router), connection_(live.loop, live.pool, *this) {}

bool ClientConnectionHandler::open(const Address& to) { return connection_.connect(to); }

void ClientConnectionHandler::send(const ClientRequest& ask) {
    ask_ = ask;
    if (up_) write();
}

void ClientConnectionHandler::write() {
    const RequestClassPlan& requestClass =
        live_.deployment.scenario().requestClasses[static_cast<std::size_t>(ask_.requestClass)];
    const auto& tenants = live_.deployment.scenario().tenants;
    const Nanos left = std::max<Nanos>((ask_.deadline - live_.now()) / kMillisecond, 1);
    std::string info =
        fmt::format("c={},t={},d={}", requestClass.requestClass.name,
                    ask_.tenant < 0 ? "none" : tenants[static_cast<std::size_t>(ask_.tenant)].name, left);
    if (!ask_.mark.empty()) info += ",k=" + ask_.mark;
    const std::string id = fmt::format("{:016x}", ask_.id);
    std::vector<std::string_view> words{requestClass.write ? "OBJ.SET" : "OBJ.GET", ask_.key, id, info};
    if (requestClass.write) words.push_back("value");
    if (!connection_.write(protocol::command(words))) onClosed();
}

void ClientConnectionHandler::onConnected(bool up) {
    if (!up) return onClosed();
    up_ = true;
    connection_.setReading(true);
    if (ask_.id) write();
}

void ClientConnectionHandler::onData(std::string_view bytes) {
    while (!bytes.empty()) {
        const auto state = decoder_.feed(bytes);
        if (state == protocol::RespDecoder::State::more) return;
        if (state == protocol::RespDecoder::State::malformed || ask_.id == 0) return onClosed();
        const protocol::RespValue value = decoder_.takeValue();
        const RequestId id = std::exchange(ask_.id, 0);
        ++served_;
        using K = protocol::RespValue::Kind;
        LiveRun& live = live_;
        const Nanos at = live.now();
        if (value.kind == K::bulk) {
            live.deployment.onClientOutcome(at, id, EmulatedDeployment::ClientOutcome::answered, value.text,
                                            0);
        } else if (value.kind == K::error && value.text.starts_with("BUSY")) {
            const auto pause =
                value.text.size() > 5 ? protocol::parse<std::int64_t>(value.text.substr(5)) : std::nullopt;
            live.deployment.onClientOutcome(at, id, EmulatedDeployment::ClientOutcome::declined, "",
                                            pause.value_or(0) * kMillisecond);
        } else {
            live.deployment.onClientOutcome(at, id, EmulatedDeployment::ClientOutcome::terminated, "", 0);
        }
    }
}

void ClientConnectionHandler::onClosed() {
    LiveRun& live = live_;
    const ClientRequest ask = ask_;
    // A connection that has been used may be closed just as its next command comes: that goes on a new one.
    const bool again = ask.id && served_ > 0 && live.alive(router_);
    const bool up = up_;
    live.dropClient(router_, this);
    if (again) return live.askOn(ask, true);
    if (ask.id)
        live.deployment.onClientOutcome(live.now(), ask.id, EmulatedDeployment::ClientOutcome::unsent,
                                        up ? "broken" : "", 0);
}

// ---- Ready

ReadinessProbe::ReadinessProbe(LiveRun& live, int router)
    : live_(live), router_(router), again_(live.loop, [this] { tryIt(); }) {
    again_.start(transport::EventLoop::now() + kAskReady);
}

void ReadinessProbe::tryIt() {
    Connection::Handler& self = *this;
    connection_ = std::make_unique<Connection>(live_.loop, live_.pool, self);
    if (!connection_->connect(live_.addressOf(router_, kRouterPort))) onClosed();
}

void ReadinessProbe::onConnected(bool up) {
    if (!up) return onClosed();
    connection_->setReading(true);
    if (!connection_->write("*1\r\n$4\r\nPING\r\n")) onClosed();
}

void ReadinessProbe::onData(std::string_view bytes) {
    if (bytes.starts_with("+PONG")) live_.routerReady(router_);
}

void ReadinessProbe::onClosed() {
    connection_.reset();
    again_.start(transport::EventLoop::now() + kAskReady);
}

// ---- Live

LiveRun::LiveRun(const Scenario& scenario, std::uint64_t seed, EventLog& ledger, const LiveRunOptions& wanted)
    : deployment(scenario, seed, ledger, *this),
      clients(static_cast<std::size_t>(scenario.routers.count)),
      options_(wanted),
      seed_(seed),
      base_(transport::EventLoop::now()),
      unixBaseMs_(std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count()),
      processes_(static_cast<std::size_t>(scenario.routers.count)),
      ready_(static_cast<std::size_t>(scenario.routers.count)),
      addresses_(static_cast<std::size_t>(scenario.routers.count)),
      eventLog_(ledger),
      step_(loop, [] {}),
      readyBy_(loop, [this] {
          failure_ = "a router did not answer PING in time";
          loop.stop();
      }) {
    // Heirs of routers are ours when these have ended.
    ::prctl(PR_SET_CHILD_SUBREAPER, 1);
    if (scenario.routers.count > 200) throw RunError("at most 200 routers on sockets");
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    const auto needed = static_cast<std::size_t>(scenario.routers.count) *
                        static_cast<std::size_t>(deployment.addresses() + 8) * 3;
    if (files.rlim_cur < needed)
        throw RunError(
            fmt::format("the system gives {} descriptors, about {} are needed", files.rlim_cur, needed));
    claimNet();
    folder_ = wanted.folder;
    if (folder_.empty()) {
        folder_ = (std::filesystem::temp_directory_path() / fmt::format("poppyscale_testbed-{}", ::getpid()))
                      .string();
        ownFolder_ = true;
    }
    std::filesystem::create_directories(folder_);
    if (scenario.hasProcessFaults()) processFaults_ = std::make_unique<ProcessFaults>(folder_, seed);
    for (int r = 0; r < scenario.routers.count; ++r) {
        addresses_[static_cast<std::size_t>(r)].resize(static_cast<std::size_t>(deployment.addresses()));
        for (int d = 0; d < deployment.addresses(); ++d) LiveRun::setAddressState(r, d, AddressState::open);
    }
    openDiscovery(0);
    if (scenario.machines.count > 0) makeMachines();
}

LiveRun::~LiveRun() {
    machines_.reset();
    for (auto& p : processes_) p.reset();
    for (const Asked& one : asked_) ::close(one.fd);
    ready_.clear();
    clients.clear();
    serverLinks.clear();
    listLinks.clear();
    if (claim_ >= 0) ::close(claim_);
    std::error_code ignored;
    if (ownFolder_) std::filesystem::remove_all(folder_, ignored);
}

// Several testbeds may run on one machine: each takes a net of its own within 127.0.0.0/8.
void LiveRun::claimNet() {
    std::mt19937 draw(static_cast<unsigned>(::getpid()));
    for (int tries = 0; tries < 200; ++tries) {
        net_ = 127U << 24 | (64 + draw() % 64) << 16 | (draw() % 250 + 1) << 8;
        claim_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const Address at = addressOf(252, kRouterPort);
        if (::bind(claim_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) return;
        ::close(std::exchange(claim_, -1));
    }
    throw RunError("found no free addresses on loopback");
}

Address LiveRun::addressOf(int router, std::uint16_t port) const {
    Address a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(net_ | static_cast<std::uint32_t>(router + 1));
    a.sin_port = htons(port);
    return a;
}

void LiveRun::setAddressState(int router, int door, AddressState state) {
    ListeningAddress& is = addresses_.at(static_cast<std::size_t>(router)).at(static_cast<std::size_t>(door));
    if (is.state == state) return;
    is.state = state;
    is.listener.reset();
    is.wall.reset();
    const Address at = addressOf(router, static_cast<std::uint16_t>(kServerPort + door));
    if (state == AddressState::silent) is.wall = std::make_unique<UnresponsiveSocket>(at);
    if (state != AddressState::open) return;
    is.listener = std::make_unique<transport::Listener>(loop, [this, router, door](const auto& finish) {
        auto link = std::make_unique<ServerConnectionHandler>(*this, router, door);
        if (!link->start(finish)) return;
        const ConnectionId id = link->id();
        serverLinks[id] = std::move(link);
    });
    const std::string problem = is.listener->listen(at);
    if (!problem.empty()) throw RunError(fmt::format("can't listen on {}: {}", textOf(at), problem));
}

void LiveRun::openDiscovery(int door) {
    discovery_.clear();
    for (int r = 0; r < deployment.scenario().routers.count; ++r) {
        discovery_.push_back(std::make_unique<transport::Listener>(loop, [this, r](const auto& finish) {
            auto link = std::make_unique<DiscoveryConnection>(*this, r);
            if (link->start(finish)) listLinks.push_back(std::move(link));
        }));
        const Address at = addressOf(r, static_cast<std::uint16_t>(kDiscoveryPort + door));
        const std::string problem = discovery_.back()->listen(at);
        if (!problem.empty()) throw RunError(fmt::format("can't listen on {}: {}", textOf(at), problem));
    }
    discoveryAddress_ = door;
}

void LiveRun::moveDiscovery(int door) {
    openDiscovery(door);
    for (int r = 0; r < deployment.scenario().routers.count; ++r) {
        reloadRouter(r);
        std::vector<const DiscoveryConnection*> old;
        for (const auto& link : listLinks)
            if (link->router() == r) old.push_back(link.get());
        deployment.at(now() + kOldDiscovery, [this, old](Nanos) {
            listLinks.remove_if([&](const auto& link) {
                const bool isOld = std::find(old.begin(), old.end(), link.get()) != old.end();
                if (isOld) deployment.endPoll(link->call());
                return isOld;
            });
        });
    }
}

void LiveRun::dropListLinks(int router) {
    listLinks.remove_if([router](const auto& link) { return link->router() == router; });
}

nlohmann::json LiveRun::listJson(int router, const EndpointListMessage& list) const {
    static constexpr const char* states[] = {"Gone", "Ready", "Terminating"};
    auto servers = nlohmann::json::array();
    for (const EndpointLine& line : list.lines) {
        const EmulatedDeployment::Server& s = deployment.servers()[static_cast<std::size_t>(line.server)];
        servers.push_back(
            {{"id", s.name},
             {"addr", textOf(addressOf(router, static_cast<std::uint16_t>(kServerPort + s.door)))},
             {"zone", s.zone},
             {"kind", s.origin ? "origin" : "cache"},
             {"cell", s.cell},
             {"state", states[static_cast<int>(line.state)]},
             {"weight", (s.plan ? s.plan->cores * s.plan->speed : 1.0) / (1 + line.heldCommands)},
             {"started_ms",
              line.startedAt ? unixBaseMs_ + (line.startedAt + s.wallStep) / kMillisecond : 0}});
    }
    return {{"version", list.version}, {"full", list.full}, {"servers", std::move(servers)}};
}

void LiveRun::sendEndpointList(int router, PollId call, const EndpointListMessage& list) {
    for (const auto& link : listLinks)
        if (link->call() == call) return link->say(200, listJson(router, list).dump());
}

void LiveRun::refusePoll(int, PollId call) {
    for (const auto& link : listLinks)
        if (link->call() == call) return link->say(503, "");
}

void LiveRun::failPoll(int, PollId call) {
    listLinks.remove_if([call](const auto& link) { return link->call() == call; });
}

void LiveRun::writeConfiguration(int router) {
    const RouterPlace place{
        router, fmt::format("r{}", router), textOf(addressOf(router, kRouterPort)),
        textOf(addressOf(router, static_cast<std::uint16_t>(kDiscoveryPort + discoveryAddress_)))};
    const auto json = configurationOf(deployment.scenario(), place, seed_ * 1000 + ++starts_,
                                      listJson(router, deployment.lastList(router)));
    const std::string path = fmt::format("{}/r{}.json", folder_, router);
    std::ofstream(path + ".new") << json.dump(1) << '\n';
    std::filesystem::rename(path + ".new",
                            path);  // whoever reads it meanwhile has one whole file or the other
}

void LiveRun::startRouter(int router) {
    auto& process = processes_[static_cast<std::size_t>(router)];
    if (process || ending_ || machines_) return;
    writeConfiguration(router);
    std::string program = options_.program;
    if (options_.operated) {
        const std::string file = fmt::format("{}/r{}.toml", folder_, router);
        std::ofstream(file) << fmt::format("[admin]\nsocket = \"{}\"\n", addressOfServer(router));
        program += " --operator " + file;
    }
    std::vector<std::pair<std::string, std::string>> variables{
        {"ROUTER_CONFIG", fmt::format("{}/r{}.json", folder_, router)},
        {"ROUTER_NAME", fmt::format("r{}", router)},
        {"ROUTER_LISTEN", textOf(addressOf(router, kRouterPort))}};
    if (processFaults_)
        for (auto& variable : processFaults_->variables()) variables.push_back(std::move(variable));
    process = std::make_unique<ChildProcess>(program, variables, fmt::format("{}/r{}.log", folder_, router));
    ready_[static_cast<std::size_t>(router)] = std::make_unique<ReadinessProbe>(*this, router);
}

void LiveRun::routerReady(int router) {
    // Within a call of its own connection: it goes with the next step.
    deployment.at(now(), [this, router](Nanos) { ready_[static_cast<std::size_t>(router)].reset(); });
    if (alive(router)) onRouterUp(router);
}

void LiveRun::beginDeployment() {
    begun_ = true;
    if (machines_ && deployment.scenario().roll.there)
        deployment.at(now() + deployment.scenario().roll.at, [this](Nanos) {
            onClaim(-1, clock(), "roll begins");
            machines_->startRollout();
        });
    if (options_.serve) return options_.serve(textOf(addressOf(0, kRouterPort)));
    lateUntil_ = now() + kLateSpan;
    // For whoever has to do something while it is on: files and times tell it too early on a slow machine.
    if (!options_.folder.empty()) fmt::print(stderr, "the load begins\n");
    deployment.begin(now());
}

void LiveRun::signalTo(int router, int number) {
    if (auto& process = processes_[static_cast<std::size_t>(router)]) process->signal(number);
}

void LiveRun::reloadRouter(int router) {
    if (!alive(router) || machines_) return;
    writeConfiguration(router);
    signalTo(router, SIGHUP);
}

void LiveRun::upgradeRouter(int router) {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    const std::string path = addressOfServer(router);
    const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const std::string_view line = "{\"do\":\"upgrade\"}\n";
    const bool fits = path.size() < sizeof at.sun_path;
    if (fits) std::memcpy(at.sun_path, path.data(), path.size());
    if (!fits || ::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::send(fd, line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size())) {
        ++result_.upgradesFailed;
        ::close(fd);
        return;
    }
    asked_.push_back({router, fd, {}});
}

void LiveRun::onOperatorResponse() {
    for (auto it = asked_.begin(); it != asked_.end();) {
        char buffer[4096];
        const ssize_t got = ::recv(it->fd, buffer, sizeof buffer, MSG_DONTWAIT);
        if (got > 0) it->said.append(buffer, static_cast<std::size_t>(got));
        const bool whole = it->said.ends_with('\n');
        if (!whole && (got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)))) {
            ++it;
            continue;
        }
        const auto said = nlohmann::json::parse(it->said, nullptr, false);
        const bool done = said.is_object() && said.contains("taken_over_by") && alive(it->router);
        if (done)
            processes_[static_cast<std::size_t>(it->router)]->replaceWith(said["taken_over_by"].get<pid_t>());
        ++(done ? result_.upgrades : result_.upgradesFailed);
        ::close(it->fd);
        it = asked_.erase(it);
    }
}

void LiveRun::childrenEnded() {
    // One that was taken over may end as soon as it has said so: its new process's name stands in the socket
    // by then.
    onOperatorResponse();
    for (std::size_t r = 0; r < processes_.size(); ++r) {
        if (!processes_[r] || !processes_[r]->hasExited()) continue;
        processes_[r].reset();
        ready_[r].reset();
        dropListLinks(static_cast<int>(r));
        if (!begun_) {
            failure_ = fmt::format("router {} ended before it was ready; it said: {}", r,
                                   lastLine(fmt::format("{}/r{}.log", folder_, r)));
            return loop.stop();
        }
        // Clients' connections to it end by themselves; what the world still has of it is no more.
        if (!ending_) deployment.routerGone(now(), static_cast<int>(r));
    }
}

void LiveRun::askOn(const ClientRequest& ask, bool fresh) {
    auto& links = clients[static_cast<std::size_t>(ask.router)];
    if (!fresh)
        for (auto it = links.begin(); it != links.end(); ++it)
            if ((*it)->idle()) {
                links.splice(links.begin(), links, it);
                return links.front()->send(ask);
            }
    links.push_front(std::make_unique<ClientConnectionHandler>(*this, ask.router));
    ClientConnectionHandler* const link = links.front().get();
    link->send(ask);
    if (link->open(addressOf(ask.router, kRouterPort))) return;
    dropClient(ask.router, link);
    deployment.at(now(), [this, id = ask.id](Nanos t) {
        deployment.onClientOutcome(t, id, EmulatedDeployment::ClientOutcome::unsent, "", 0);
    });
}

void LiveRun::dropClient(int router, ClientConnectionHandler* link) {
    clients[static_cast<std::size_t>(router)].remove_if([&](const auto& l) { return l.get() == link; });
}

void LiveRun::disconnectClient(int router, RequestId id) {
    for (auto& link : clients[static_cast<std::size_t>(router)])
        if (link->asked() == id) return dropClient(router, link.get());
}

void LiveRun::makeMachines() {
    const Scenario& s = deployment.scenario();
    std::vector<FormServer> servers;
    for (const auto& server : deployment.servers())
        servers.push_back({server.name, server.zone, kServerPort + server.door, server.cell,
                           server.plan ? server.plan->cores * server.plan->speed : 1.0, server.origin});
    const int discovery = s.machines.fileList ? 0 : kDiscoveryPort;
    MachinesOptions w;
    w.folder = std::filesystem::absolute(folder_).string();
    w.program = options_.program;
    w.ctl = options_.ctl;
    w.changed = options_.changed;
    if (w.ctl.empty()) w.ctl = (std::filesystem::path(options_.program).parent_path() / "poppyctl").string();
    w.ctl = std::filesystem::absolute(w.ctl).string();
    if (!std::filesystem::exists(w.ctl) || !std::filesystem::exists(w.program))
        throw RunError(fmt::format("machines need {} and {}", w.program, w.ctl));
    w.form = operatorFormOf(s, servers, discovery, "");
    w.changedForm = operatorFormOf(s, servers, discovery, s.roll.change);
    w.seed = seed_;
    w.address = [this](int router) {
        const std::string at = textOf(addressOf(router, kRouterPort));
        return at.substr(0, at.find(':'));
    };
    w.port = kRouterPort;
    machines_ = std::make_unique<Machines>(s, w, static_cast<MachineEvents&>(*this));
}

void LiveRun::onRouterUp(int router) {
    deployment.routerUp(now(), router);
    if (begun_) return;
    readyOnes_.insert(router);
    if (readyOnes_.size() < ready_.size()) return;
    readyBy_.stop();
    beginDeployment();
}

// What the coordinator said at its end, beside what each router runs: the audit holds one against the other.
void LiveRun::observeRollout() {
    if (!begun_ || rolled_ || !machines_->hasRolledOut()) return;
    rolled_ = true;
    const int code = *machines_->hasRolledOut();
    static const std::map<int, std::string> words{{0, "went"}, {1, "cant"}, {3, "undone"}, {4, "notundone"}};
    const auto word = words.find(code);
    onClaim(-1, clock(), "roll ends " + (word == words.end() ? fmt::format("code{}", code) : word->second));
    fmt::print(stderr, "{}\n", machines_->lastOfCoordinator());
    // What it leaves behind is looked at for a while longer.
    deployment.at(now() + 2 * kSecond, [this](Nanos t) { deployment.endLoad(t); });
}

void LiveRun::observeLateness(Nanos at) {
    if (!begun_ || ending_ || options_.serve) return;
    worstLate_ =
        std::max(worstLate_, std::max<Nanos>(at - std::max(deployment.next(), lateUntil_ - kLateSpan), 0));
}

void LiveRun::runIteration() {
    onOperatorResponse();
    if (machines_) {
        machines_->runIteration(clock());
        observeRollout();
    }
    const Nanos at = now();
    observeLateness(at);
    if (begun_ && !ending_ && !options_.serve && at >= lateUntil_) {
        eventLog_.add({at, EventKind::late, 0, -1, -1, 0, worstLate_, {}});
        // Held up for long, one look covers many spans.
        const long spans = (at - lateUntil_) / kLateSpan + 1;
        allSpans_ += spans;
        if (worstLate_ > kLateFrom) lateSpans_ += std::min<long>(spans, worstLate_ / kLateSpan + 1);
        worstLate_ = 0;
        lateUntil_ = at + kLateSpan;
    }
    // Held up in here, what has fallen due is played late too: it is looked at before each step, not once a
    // turn.
    for (Nanos t = now(); deployment.step(t); t = now()) observeLateness(now());
    if (begun_ && !ending_ && options_.progress && at - shown_ > kSecond) options_.progress(shown_ = at);
    if (begun_ && !ending_ && machines_ && deployment.scenario().roll.there && !rolled_ &&
        at < deployment.scenario().length + kRollMore)
        deployment.endLoad(std::max(at + kSecond, deployment.scenario().length));
    if (begun_ && !ending_ && !options_.serve && deployment.isOver(at)) return end();
    step_.start(std::min(deployment.next(), at + (machines_ ? 5 * kMillisecond : kLateSpan)) + base_);
}

void LiveRun::end() {
    if (machines_ && begun_)
        for (int r = 0; r < deployment.scenario().routers.count; ++r)
            onClaim(r, clock(), "runs " + machines_->runs(r));
    ending_ = true;
    for (auto& p : processes_) {
        if (!p) continue;
        result_.cpuSeconds += p->cpuSeconds();
        result_.memoryMb = std::max(result_.memoryMb, p->memoryMb());
    }
    loop.stop();
}

LiveResult LiveRun::run() {
    child_ = std::make_unique<transport::Signal>(loop, SIGCHLD, [this] { childrenEnded(); });
    const auto interrupted = [this] {
        result_.interrupted = true;
        end();
    };
    interrupt_ = std::make_unique<transport::Signal>(loop, SIGINT, interrupted);
    terminate_ = std::make_unique<transport::Signal>(loop, SIGTERM, interrupted);
    if (machines_)
        machines_->start();
    else
        for (int r = 0; r < deployment.scenario().routers.count; ++r) startRouter(r);
    readyBy_.start(transport::EventLoop::now() + kReadyWithin);
    loop.onIteration([this] { runIteration(); });
    loop.run();
    if (!failure_.empty()) throw RunError(failure_);
    if (processFaults_) result_.processFaults = processFaults_->counts();
    result_.latePart = allSpans_ ? static_cast<double>(lateSpans_) / static_cast<double>(allSpans_) : 0;
    return result_;
}

}  // namespace

LiveResult runLive(const Scenario& scenario, std::uint64_t seed, EventLog& ledger,
                   const LiveRunOptions& wanted) {
    std::signal(SIGPIPE, SIG_IGN);
    LiveRun live(scenario, seed, ledger, wanted);
    return live.run();
}

}  // namespace poppyscale::testbed
