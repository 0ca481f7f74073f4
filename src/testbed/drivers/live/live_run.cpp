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
#include <thread>
#include <unordered_map>

#include "protocol/number.hpp"
#include "protocol/resp.hpp"
#include "testbed/drivers/live/child_process.hpp"
#include "testbed/drivers/live/http_request.hpp"
#include "testbed/drivers/live/machines.hpp"
#include "testbed/drivers/live/process_faults.hpp"
#include "testbed/drivers/live/reply_writer.hpp"
#include "testbed/emulator/emulated_deployment.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"
#include "transport/listener.hpp"

namespace poppyscale::testbed {
namespace {

using transport::Address;
using transport::Connection;

constexpr Nanos kSecond = 1'000 * kMillisecond;
constexpr Nanos kReadinessTimeout = 15 * kSecond;
constexpr Nanos kMaxListenWait = kSecond;
// A router reads a request on an open connection within this time.
constexpr Nanos kMaxReadDelay = 150 * kMillisecond;
constexpr Nanos kReadinessProbeInterval = 20 * kMillisecond;
// A window counts as late if the testbed was later than the threshold at any time in it.
constexpr Nanos kLateThreshold = 20 * kMillisecond;
constexpr Nanos kLatenessWindow = 100 * kMillisecond;
// Longest time that the load continues past the scenario's length while a rollout is not over.
constexpr Nanos kMaxRolloutOvertime = 30 * kSecond;
// After discovery has moved, connections to its old address stay open for this long.
constexpr Nanos kOldDiscoveryLinger = 1'500 * kMillisecond;
constexpr std::size_t kBufferCapacity = 1 << 16;
constexpr std::uint16_t kRouterPort = 7000, kDiscoveryPort = 9000, kServerPort = 10000;

std::string formatAddress(const Address& address) {
    char name[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &address.sin_addr, name, sizeof name);
    return fmt::format("{}:{}", name, ntohs(address.sin_port));
}

// The value of an item of an info list, as a view into `info`; empty if there is no such item.
std::string_view infoItem(std::string_view info, std::string_view name) {
    while (!info.empty()) {
        const auto item = info.substr(0, info.find(','));
        if (item.starts_with(name) && item.size() > name.size() && item[name.size()] == '=')
            return item.substr(name.size() + 1);
        info.remove_prefix(std::min(info.size(), item.size() + 1));
    }
    return "";
}

// The timeout in ms that an attempt's info list forwards (item `d`); nothing if the item is missing
// or not a number.
std::optional<std::int64_t> parseForwardedTimeout(std::string_view info) {
    return protocol::parse<std::int64_t>(infoItem(info, "d"));
}

RequestId parseRequestId(std::string_view text) {
    return protocol::parse<std::uint64_t>(text, 16).value_or(0);
}

std::string lastLine(const std::string& path) {
    std::ifstream file(path);
    std::string line, last = "(none)";
    while (std::getline(file, line)) last = line;
    return last;
}

// A listening socket that never accepts. Its backlog is kept full, so connection attempts get no
// answer, as from a machine behind a network partition.
class UnresponsiveSocket {
  public:
    explicit UnresponsiveSocket(const Address& at) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int yes = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        if (::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd_, 0) != 0)
            return;
        for (int& filler : backlogFillers_) {
            filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            ::connect(filler, reinterpret_cast<const sockaddr*>(&at), sizeof at);
        }
    }
    ~UnresponsiveSocket() {
        for (const int filler : backlogFillers_)
            if (filler >= 0) ::close(filler);
        if (fd_ >= 0) ::close(fd_);
    }
    UnresponsiveSocket(const UnresponsiveSocket&) = delete;
    UnresponsiveSocket& operator=(const UnresponsiveSocket&) = delete;

  private:
    int fd_ = -1;
    int backlogFillers_[2] = {-1, -1};
};

// A client's connection on which nothing is sent.
class SilentClient {
  public:
    explicit SilentClient(const Address& at)
        : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
        ::connect(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    }
    ~SilentClient() {
        if (fd_ >= 0) ::close(fd_);
    }
    SilentClient(const SilentClient&) = delete;
    SilentClient& operator=(const SilentClient&) = delete;

  private:
    int fd_;
};

class LiveRun;

// The server's side of a router's connection to a cache or to the origin.
class ServerConnectionHandler : private Connection::Handler {
  public:
    ServerConnectionHandler(LiveRun& live, int router, int addressIndex);
    bool start(const std::function<bool(Connection&)>& finish);
    void reply(const Reply& reply) { replies_.write(reply); }
    ConnectionId id() const { return id_; }
    // Reports a slow reply that is being sent as cut off.
    void reportCut(bool byRouter);

  private:
    void onData(std::string_view bytes) override;
    void onClosed() override;
    // The longest time that the data may have waited before it was read.
    Nanos maxArrivalDelay() const;
    void readAttempt(const protocol::RespValue& value);

    LiveRun& live_;
    int router_, addressIndex_;
    ConnectionId id_ = 0;
    Connection connection_;
    protocol::RespDecoder decoder_{{80 * 1024, 16, 2, 160 * 1024, false}};
    HttpRequestParser http_;
    ReplyWriter replies_;
};

// The server's side of a router's connection to discovery.
class DiscoveryConnection : private Connection::Handler {
  public:
    DiscoveryConnection(LiveRun& live, int router);
    bool start(const std::function<bool(Connection&)>& finish);
    void respond(int status, const std::string& json);
    int router() const { return router_; }
    PollId pollId() const { return pollId_; }

  private:
    void onData(std::string_view bytes) override;
    void onClosed() override;

    LiveRun& live_;
    int router_;
    PollId pollId_ = 0;  // the latest poll; 0 before the first
    Connection connection_;
    HttpRequestParser http_;
};

// A client's connection to a router; one request at a time.
class ClientConnectionHandler : private Connection::Handler {
  public:
    ClientConnectionHandler(LiveRun& live, int router);
    // Returns false if the connection can't be started because the system lacks resources.
    bool open(const Address& to);
    void send(const ClientRequest& request);
    RequestId requestId() const { return request_.id; }
    bool isIdle() const { return isConnected_ && request_.id == 0; }

  private:
    void onConnected(bool up) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;
    void write();

    LiveRun& live_;
    int router_;
    Connection connection_;
    protocol::RespDecoder decoder_{{256 * 1024, 64, 3, 512 * 1024, false}};
    ClientRequest request_;
    bool isConnected_ = false;
    bool hasResponseBegun_ = false;  // a part of the response to `request_` has arrived
    Nanos writtenAt_ = 0;            // when `request_` was written
    int responses_ = 0;
};

// Sends PING to a router that has been started until it answers.
class ReadinessProbe : private Connection::Handler {
  public:
    ReadinessProbe(LiveRun& live, int router);

  private:
    void probe();
    void onConnected(bool up) override;
    void onData(std::string_view bytes) override;
    void onClosed() override;

    LiveRun& live_;
    int router_;
    transport::Timer retryTimer_;
    std::unique_ptr<Connection> connection_;
};

class LiveRun : public Transport, private MachineEvents {
  public:
    LiveRun(const Scenario& scenario, std::uint64_t seed, EventLog& eventLog, const LiveRunOptions& options);
    ~LiveRun() override;
    LiveResult run();

    // Time since the start of the run, which is the clock of the emulated deployment.
    Nanos now() const { return transport::EventLoop::now() - startedAt_; }

    void sendRequest(const ClientRequest& request) override { dispatchRequest(request, false); }
    // Sends the request on an idle client connection, or on a new one if there is none or
    // `onNewConnection` is set.
    void dispatchRequest(const ClientRequest& request, bool onNewConnection);
    void disconnectClient(int router, RequestId id) override;
    void onConnectionOpened(ConnectionId conn, bool up) override {
        if (!up) serverConnections.erase(conn);
    }
    void sendReply(ConnectionId conn, const Reply& reply) override {
        const auto it = serverConnections.find(conn);
        if (it != serverConnections.end()) it->second->reply(reply);
    }
    void breakConnection(ConnectionId conn) override {
        const auto it = serverConnections.find(conn);
        if (it == serverConnections.end()) return;
        it->second->reportCut(false);
        serverConnections.erase(it);
    }
    bool hasIdleClient(int router) const override {
        const auto& connections = clientConnections[static_cast<std::size_t>(router)];
        return std::any_of(connections.begin(), connections.end(),
                           [](const auto& connection) { return connection->isIdle(); });
    }
    void setCrowd(int count) override;
    void setAddressState(int router, int addressIndex, AddressState state) override;
    void sendEndpointList(int router, PollId pollId, const EndpointListMessage& list) override;
    void refusePoll(int router, PollId pollId) override;
    void failPoll(int router, PollId pollId) override;
    void closeDiscoveryConnections(int router);
    void moveDiscovery(int addressIndex) override;
    void killRouter(int router) override {
        machines_ ? machines_->kill(router) : signalRouter(router, SIGKILL);
    }
    void startRouter(int router) override;
    void terminateRouter(int router) override { signalRouter(router, SIGTERM); }
    void reloadRouter(int router) override;
    void upgradeRouter(int router) override;
    void injectMachineFault(const FaultPlan& fault, int machine, bool begins) override {
        if (machines_) machines_->injectFault(steadyTime(), fault, machine, begins);
    }

    void injectProcessFault(const FaultPlan& fault, bool begins) override {
        if (processFaults_) processFaults_->inject(fault, begins);
    }

    void routerReady(int router);
    void removeClientConnection(int router, ClientConnectionHandler* connection);
    Address addressOf(int router, std::uint16_t port) const;
    bool isRouterAlive(int router) const {
        return machines_ ? machines_->isUp(router) : processes_[static_cast<std::size_t>(router)] != nullptr;
    }

    transport::BufferPool pool{kBufferCapacity};
    transport::EventLoop loop;
    EmulatedDeployment deployment;
    std::unordered_map<ConnectionId, std::unique_ptr<ServerConnectionHandler>> serverConnections;
    std::list<std::unique_ptr<DiscoveryConnection>> discoveryConnections;
    std::vector<std::list<std::unique_ptr<ClientConnectionHandler>>> clientConnections;

  private:
    // ---- MachineEvents: times are on the steady clock, which all processes share
    static Nanos steadyTime() {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
    }
    // The deployment's time at the steady-clock time `at`.
    Nanos deploymentTime(Nanos at) const { return std::max<Nanos>(now() - (steadyTime() - at), 0); }
    void onRouterUp(int router) override;
    void onRouterStopping(int router, Nanos at) override {
        deployment.onRouterStopping(now(), router, deploymentTime(at));
    }
    void onRouterGone(int router, Nanos) override {
        closeDiscoveryConnections(router);
        if (hasBegun_ && !isEnding_) deployment.onRouterGone(now(), router);
    }
    void onClaim(int router, Nanos at, const std::string& what) override {
        deployment.logRouterEvent(now(), EventKind::statement, router, deploymentTime(at), what);
    }
    void createMachines();
    void observeRollout();

    struct ListeningAddress {
        AddressState state = AddressState::refused;
        std::unique_ptr<transport::Listener> listener;
        std::unique_ptr<UnresponsiveSocket> unresponsiveSocket;
    };
    void claimSubnet();
    static void listenOn(transport::Listener& listener, const Address& at);
    void signalRouter(int router, int number);
    void writeConfiguration(int router);
    nlohmann::json endpointListJson(int router, const EndpointListMessage& list) const;
    void openDiscovery(int addressIndex);
    void runIteration();
    void observeLateness(Nanos at);
    void onChildrenExited();
    void onOperatorResponse();
    std::string adminSocketPath(int router) const { return fmt::format("{}/r{}.sock", folder_, router); }
    void beginDeployment();
    void endRun();

    const LiveRunOptions& options_;
    std::uint64_t seed_;
    std::uint32_t subnet_ = 0;  // the routers' addresses without the last byte, in host byte order
    int subnetReservationFd_ = -1;
    Nanos startedAt_;
    std::int64_t startedAtUnixMs_;
    std::string folder_;
    bool ownsFolder_ = false;
    std::vector<std::unique_ptr<ChildProcess>> processes_;
    std::vector<std::unique_ptr<ReadinessProbe>> probes_;
    std::list<SilentClient> crowd_;
    std::vector<std::vector<ListeningAddress>> addresses_;
    std::vector<std::unique_ptr<transport::Listener>> discoveryListeners_;
    int discoveryAddressIndex_ = 0;
    std::set<int> readyRouters_;
    struct PendingUpgrade {  // an upgrade request on a router's admin socket, until it is answered
        int router;
        int fd;
        std::string response;
    };
    std::list<PendingUpgrade> pendingUpgrades_;
    bool hasBegun_ = false, isEnding_ = false;
    EventLog& eventLog_;
    // Worst lateness within the current lateness window, and the end of that window.
    Nanos worstLateness_ = 0, windowEnd_ = 0;
    long lateWindows_ = 0, totalWindows_ = 0;
    std::uint64_t configurationsWritten_ = 0;
    Nanos lastProgressAt_ = 0;
    LiveResult result_;
    transport::Timer stepTimer_;
    transport::Timer readinessTimer_;
    std::string failure_;
    std::unique_ptr<ProcessFaults> processFaults_;  // null if the scenario has no process faults
    std::unique_ptr<Machines> machines_;
    bool isRolloutOver_ = false;
    std::unique_ptr<transport::Signal> childSignal_, interruptSignal_, terminateSignal_;
};

// ---- ServerConnectionHandler

ServerConnectionHandler::ServerConnectionHandler(LiveRun& live, int router, int addressIndex)
    : live_(live),
      router_(router),
      addressIndex_(addressIndex),
      connection_(live.loop, live.pool, *this),
      replies_(live.loop, connection_, addressIndex == 0) {}

bool ServerConnectionHandler::start(const std::function<bool(Connection&)>& finish) {
    if (!finish(connection_)) return false;
    id_ = live_.deployment.beginConnect(live_.now(), router_, addressIndex_);
    connection_.setReading(true);
    return true;
}

void ServerConnectionHandler::onData(std::string_view bytes) {
    // Attempts are dated at the time of reading, even if the testbed itself was delayed. An attempt
    // dated back to its possible arrival would seem to precede the response after which it was sent.
    const Nanos at = live_.now();
    while (!bytes.empty()) {
        if (addressIndex_ == 0) {
            const auto state = http_.feed(bytes);
            if (state == HttpRequestParser::State::more) return;
            if (state == HttpRequestParser::State::malformed) return onClosed();
            ReceivedAttempt attempt;
            attempt.requestId = parseRequestId(http_.requestId());
            attempt.key = http_.path().substr(std::min<std::size_t>(http_.path().size(), 1));
            attempt.requestClass = infoItem(http_.infoList(), "c");
            attempt.idempotencyKey = infoItem(http_.infoList(), "k");
            attempt.write = http_.isWrite();
            attempt.forwardedTimeoutMs = parseForwardedTimeout(http_.infoList());
            attempt.maxReadDelay = maxArrivalDelay();
            http_.clear();
            live_.deployment.onAttemptReceived(at, id_, attempt);
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
    ReceivedAttempt attempt;
    attempt.requestId = parseRequestId(words[2].text);
    attempt.key = words[1].text;
    attempt.requestClass = infoItem(words[3].text, "c");
    attempt.idempotencyKey = infoItem(words[3].text, "k");
    attempt.write = write;
    attempt.forwardedTimeoutMs = parseForwardedTimeout(words[3].text);
    attempt.maxReadDelay = maxArrivalDelay();
    live_.deployment.onAttemptReceived(live_.now(), id_, attempt);
}

Nanos ServerConnectionHandler::maxArrivalDelay() const {
    return transport::EventLoop::now() - live_.loop.earliestArrival();
}

void ServerConnectionHandler::reportCut(bool byRouter) {
    const Reply* const cut = replies_.replyInProgress();
    if (cut) live_.deployment.onSlowReplyCut(live_.now(), router_, *cut, replies_.sentBytes(), byRouter);
}

void ServerConnectionHandler::onClosed() {
    reportCut(true);
    const ConnectionId id = id_;
    LiveRun& live = live_;
    live.deployment.onConnectionClosed(live.now(), id);
    live.serverConnections.erase(id);
}

// ---- DiscoveryConnection

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
    const auto after = protocol::parse<std::int64_t>(http_.queryParameter("after"));
    const auto wait = protocol::parse<std::int64_t>(http_.queryParameter("wait_ms")).value_or(0);
    http_.clear();
    pollId_ = live_.deployment.beginPoll(live_.now(), router_, after, wait * kMillisecond);
}

void DiscoveryConnection::respond(int status, const std::string& json) {
    connection_.write(httpResponse(status, "", json));
}

void DiscoveryConnection::onClosed() {
    LiveRun& live = live_;
    live.deployment.endPoll(pollId_);
    live.discoveryConnections.remove_if([this](const auto& connection) { return connection.get() == this; });
}

// ---- ClientConnectionHandler

ClientConnectionHandler::ClientConnectionHandler(LiveRun& live, int router)
    : live_(live), router_(router), connection_(live.loop, live.pool, *this) {}

bool ClientConnectionHandler::open(const Address& to) { return connection_.connect(to); }

void ClientConnectionHandler::send(const ClientRequest& request) {
    request_ = request;
    if (isConnected_) write();
}

void ClientConnectionHandler::write() {
    const RequestClassPlan& requestClass =
        live_.deployment.scenario().requestClasses[static_cast<std::size_t>(request_.requestClass)];
    const auto& tenants = live_.deployment.scenario().tenants;
    const Nanos left = std::max<Nanos>((request_.deadline - live_.now()) / kMillisecond, 1);
    std::string info = fmt::format(
        "c={},t={},d={}", requestClass.requestClass.name,
        request_.tenant < 0 ? "none" : tenants[static_cast<std::size_t>(request_.tenant)].name, left);
    if (!request_.idempotencyKey.empty()) info += ",k=" + request_.idempotencyKey;
    const std::string id = fmt::format("{:016x}", request_.id);
    std::vector<std::string_view> words{requestClass.write ? "OBJ.SET" : "OBJ.GET", request_.key, id, info};
    if (requestClass.write) words.push_back("value");
    writtenAt_ = live_.now();
    if (!connection_.write(protocol::command(words))) onClosed();
}

void ClientConnectionHandler::onConnected(bool up) {
    if (!up) return onClosed();
    isConnected_ = true;
    connection_.setReading(true);
    if (request_.id) write();
}

void ClientConnectionHandler::onData(std::string_view bytes) {
    while (!bytes.empty()) {
        const auto state = decoder_.feed(bytes);
        if (state == protocol::RespDecoder::State::more) {
            if (request_.id) live_.deployment.onResponseBegun(live_.now(), request_.id);
            hasResponseBegun_ = true;
            return;
        }
        if (state == protocol::RespDecoder::State::malformed || request_.id == 0) return onClosed();
        const protocol::RespValue value = decoder_.takeValue();
        const RequestId id = std::exchange(request_.id, 0);
        ++responses_;
        hasResponseBegun_ = false;
        using K = protocol::RespValue::Kind;
        LiveRun& live = live_;
        const Nanos at = live.now();
        if (value.kind == K::bulk) {
            live.deployment.onClientOutcome(at, id, EmulatedDeployment::ClientOutcome::answered,
                                            value.text.substr(0, value.text.find(kFiller)), 0);
        } else if (value.kind == K::error && value.text.starts_with("BUSY")) {
            const auto pause =
                value.text.size() > 5 ? protocol::parse<std::int64_t>(value.text.substr(5)) : std::nullopt;
            live.deployment.onClientOutcome(at, id, EmulatedDeployment::ClientOutcome::rejected, "",
                                            pause.value_or(0) * kMillisecond);
        } else {
            live.deployment.onClientOutcome(at, id, EmulatedDeployment::ClientOutcome::failed, "", 0);
        }
    }
}

void ClientConnectionHandler::onClosed() {
    LiveRun& live = live_;
    const ClientRequest request = request_;
    // The router may close a used connection just as the next request is sent on it. That request
    // is sent again on a new connection.
    const bool mayBeUnread = !hasResponseBegun_ && live.now() - writtenAt_ < kMaxReadDelay;
    const bool retry = request.id && responses_ > 0 && mayBeUnread && live.isRouterAlive(router_);
    const bool wasConnected = isConnected_;
    live.removeClientConnection(router_, this);
    if (retry) return live.dispatchRequest(request, true);
    if (request.id)
        live.deployment.onClientOutcome(live.now(), request.id, EmulatedDeployment::ClientOutcome::unsent,
                                        wasConnected ? "broken" : "", 0);
}

// ---- ReadinessProbe

ReadinessProbe::ReadinessProbe(LiveRun& live, int router)
    : live_(live), router_(router), retryTimer_(live.loop, [this] { probe(); }) {
    retryTimer_.start(transport::EventLoop::now() + kReadinessProbeInterval);
}

void ReadinessProbe::probe() {
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
    retryTimer_.start(transport::EventLoop::now() + kReadinessProbeInterval);
}

// ---- LiveRun

LiveRun::LiveRun(const Scenario& scenario, std::uint64_t seed, EventLog& eventLog,
                 const LiveRunOptions& options)
    : deployment(scenario, seed, eventLog, *this),
      clientConnections(static_cast<std::size_t>(scenario.routers.count)),
      options_(options),
      seed_(seed),
      startedAt_(transport::EventLoop::now()),
      startedAtUnixMs_(std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count()),
      processes_(static_cast<std::size_t>(scenario.routers.count)),
      probes_(static_cast<std::size_t>(scenario.routers.count)),
      addresses_(static_cast<std::size_t>(scenario.routers.count)),
      eventLog_(eventLog),
      stepTimer_(loop, [] {}),
      readinessTimer_(loop, [this] {
          failure_ = "not all routers were ready within 15 s of the start";
          loop.stop();
      }) {
    // Processes that routers start for a hot restart become children of the testbed when their
    // parents exit.
    ::prctl(PR_SET_CHILD_SUBREAPER, 1);
    if (scenario.routers.count > 200) throw RunError("a run on sockets can have at most 200 routers");
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    const auto needed = static_cast<std::size_t>(scenario.routers.count) *
                        static_cast<std::size_t>(deployment.addressCount() + 8) * 3;
    if (files.rlim_cur < needed)
        throw RunError(
            fmt::format("the limit of open files (RLIMIT_NOFILE) is {}, but the run needs about {}",
                        files.rlim_cur, needed));
    claimSubnet();
    folder_ = options.folder;
    if (folder_.empty()) {
        folder_ = (std::filesystem::temp_directory_path() / fmt::format("poppyscale_testbed-{}", ::getpid()))
                      .string();
        ownsFolder_ = true;
    }
    std::filesystem::create_directories(folder_);
    if (scenario.hasProcessFaults()) processFaults_ = std::make_unique<ProcessFaults>(folder_, seed);
    for (int r = 0; r < scenario.routers.count; ++r) {
        addresses_[static_cast<std::size_t>(r)].resize(static_cast<std::size_t>(deployment.addressCount()));
        for (int d = 0; d < deployment.addressCount(); ++d)
            LiveRun::setAddressState(r, d, AddressState::open);
    }
    openDiscovery(0);
    if (scenario.machines.count > 0) createMachines();
}

LiveRun::~LiveRun() {
    machines_.reset();
    for (auto& p : processes_) p.reset();
    for (const PendingUpgrade& one : pendingUpgrades_) ::close(one.fd);
    probes_.clear();
    clientConnections.clear();
    serverConnections.clear();
    discoveryConnections.clear();
    if (subnetReservationFd_ >= 0) ::close(subnetReservationFd_);
    std::error_code ignored;
    if (ownsFolder_) std::filesystem::remove_all(folder_, ignored);
}

// Several testbeds may run on one machine. Each takes a /24 subnet of its own within 127.64.0.0/10,
// and reserves it by a socket that is bound to an address in it.
void LiveRun::claimSubnet() {
    std::mt19937 draw(static_cast<unsigned>(::getpid()));
    for (int tries = 0; tries < 200; ++tries) {
        subnet_ = 127U << 24 | (64 + draw() % 64) << 16 | (draw() % 250 + 1) << 8;
        subnetReservationFd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const Address at = addressOf(252, kRouterPort);
        if (::bind(subnetReservationFd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) return;
        ::close(std::exchange(subnetReservationFd_, -1));
    }
    throw RunError("found no free loopback subnet within 127.64.0.0/10 in 200 tries");
}

Address LiveRun::addressOf(int router, std::uint16_t port) const {
    Address address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(subnet_ | static_cast<std::uint32_t>(router + 1));
    address.sin_port = htons(port);
    return address;
}

void LiveRun::setAddressState(int router, int addressIndex, AddressState state) {
    ListeningAddress& entry =
        addresses_.at(static_cast<std::size_t>(router)).at(static_cast<std::size_t>(addressIndex));
    if (entry.state == state) return;
    entry.state = state;
    entry.listener.reset();
    entry.unresponsiveSocket.reset();
    const Address at = addressOf(router, static_cast<std::uint16_t>(kServerPort + addressIndex));
    if (state == AddressState::silent) entry.unresponsiveSocket = std::make_unique<UnresponsiveSocket>(at);
    if (state != AddressState::open) return;
    entry.listener =
        std::make_unique<transport::Listener>(loop, [this, router, addressIndex](const auto& finish) {
            auto connection = std::make_unique<ServerConnectionHandler>(*this, router, addressIndex);
            if (!connection->start(finish)) return;
            const ConnectionId id = connection->id();
            serverConnections[id] = std::move(connection);
        });
    listenOn(*entry.listener, at);
}

// Between its fork and its exec, a process that the testbed starts still has a copy of each listening socket,
// so that an address which was just closed may be in use for some milliseconds.
void LiveRun::listenOn(transport::Listener& listener, const Address& at) {
    std::string problem = listener.listen(at);
    const Nanos end = transport::EventLoop::now() + kMaxListenWait;
    while (problem == uv_strerror(UV_EADDRINUSE) && transport::EventLoop::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        problem = listener.listen(at);
    }
    if (!problem.empty()) throw RunError(fmt::format("can't listen on {}: {}", formatAddress(at), problem));
}

void LiveRun::openDiscovery(int addressIndex) {
    discoveryListeners_.clear();
    for (int r = 0; r < deployment.scenario().routers.count; ++r) {
        discoveryListeners_.push_back(
            std::make_unique<transport::Listener>(loop, [this, r](const auto& finish) {
                auto connection = std::make_unique<DiscoveryConnection>(*this, r);
                if (connection->start(finish)) discoveryConnections.push_back(std::move(connection));
            }));
        const Address at = addressOf(r, static_cast<std::uint16_t>(kDiscoveryPort + addressIndex));
        listenOn(*discoveryListeners_.back(), at);
    }
    discoveryAddressIndex_ = addressIndex;
}

void LiveRun::moveDiscovery(int addressIndex) {
    openDiscovery(addressIndex);
    for (int r = 0; r < deployment.scenario().routers.count; ++r) {
        reloadRouter(r);
        std::vector<const DiscoveryConnection*> oldConnections;
        for (const auto& connection : discoveryConnections)
            if (connection->router() == r) oldConnections.push_back(connection.get());
        deployment.schedule(now() + kOldDiscoveryLinger, [this, oldConnections](Nanos) {
            discoveryConnections.remove_if([&](const auto& connection) {
                const bool isOld = std::find(oldConnections.begin(), oldConnections.end(),
                                             connection.get()) != oldConnections.end();
                if (isOld) deployment.endPoll(connection->pollId());
                return isOld;
            });
        });
    }
}

void LiveRun::closeDiscoveryConnections(int router) {
    discoveryConnections.remove_if(
        [router](const auto& connection) { return connection->router() == router; });
}

nlohmann::json LiveRun::endpointListJson(int router, const EndpointListMessage& list) const {
    static constexpr const char* states[] = {"Gone", "Ready", "Terminating"};
    auto servers = nlohmann::json::array();
    for (const ListedEndpoint& line : list.lines) {
        const EmulatedDeployment::EmulatedServer& server =
            deployment.servers()[static_cast<std::size_t>(line.server)];
        servers.push_back(
            {{"id", server.name},
             {"addr", formatAddress(
                          addressOf(router, static_cast<std::uint16_t>(kServerPort + server.addressIndex)))},
             {"zone", server.zone},
             {"kind", server.origin ? "origin" : "cache"},
             {"cell", server.cell},
             {"state", states[static_cast<int>(line.state)]},
             {"weight",
              (server.plan ? server.plan->cores * server.plan->speed : 1.0) / (1 + line.requestsPerCore)},
             {"started_ms", line.startedAt
                                ? startedAtUnixMs_ + (line.startedAt + server.wallClockOffset) / kMillisecond
                                : 0}});
    }
    return {{"version", list.version}, {"full", list.full}, {"servers", std::move(servers)}};
}

void LiveRun::sendEndpointList(int router, PollId pollId, const EndpointListMessage& list) {
    for (const auto& connection : discoveryConnections)
        if (connection->pollId() == pollId)
            return connection->respond(200, endpointListJson(router, list).dump());
}

void LiveRun::refusePoll(int, PollId pollId) {
    for (const auto& connection : discoveryConnections)
        if (connection->pollId() == pollId) return connection->respond(503, "");
}

void LiveRun::failPoll(int, PollId pollId) {
    discoveryConnections.remove_if(
        [pollId](const auto& connection) { return connection->pollId() == pollId; });
}

void LiveRun::writeConfiguration(int router) {
    const RouterAddressing addressing{
        router, fmt::format("r{}", router), formatAddress(addressOf(router, kRouterPort)),
        formatAddress(
            addressOf(router, static_cast<std::uint16_t>(kDiscoveryPort + discoveryAddressIndex_)))};
    const auto json =
        configurationOf(deployment.scenario(), addressing, seed_ * 1000 + ++configurationsWritten_,
                        endpointListJson(router, deployment.initialEndpointList(router)));
    const std::string path = fmt::format("{}/r{}.json", folder_, router);
    std::ofstream(path + ".new") << json.dump(1) << '\n';
    // The file is renamed into place, so that a reader sees either the whole old file or the whole new one.
    std::filesystem::rename(path + ".new", path);
}

void LiveRun::startRouter(int router) {
    auto& process = processes_[static_cast<std::size_t>(router)];
    if (process || isEnding_ || machines_) return;
    writeConfiguration(router);
    std::string program = options_.program;
    if (options_.acceptsOperatorFile) {
        const std::string file = fmt::format("{}/r{}.toml", folder_, router);
        std::ofstream(file) << fmt::format("[admin]\nsocket = \"{}\"\n", adminSocketPath(router));
        program += " --operator " + file;
    }
    std::vector<std::pair<std::string, std::string>> variables{
        {"ROUTER_CONFIG", fmt::format("{}/r{}.json", folder_, router)},
        {"ROUTER_NAME", fmt::format("r{}", router)},
        {"ROUTER_LISTEN", formatAddress(addressOf(router, kRouterPort))}};
    if (processFaults_)
        for (auto& variable : processFaults_->variables()) variables.push_back(std::move(variable));
    process = std::make_unique<ChildProcess>(program, variables, fmt::format("{}/r{}.log", folder_, router));
    probes_[static_cast<std::size_t>(router)] = std::make_unique<ReadinessProbe>(*this, router);
}

void LiveRun::routerReady(int router) {
    // This runs in a callback of the probe's own connection, so the probe is destroyed in a later
    // step.
    deployment.schedule(now(), [this, router](Nanos) { probes_[static_cast<std::size_t>(router)].reset(); });
    if (isRouterAlive(router)) onRouterUp(router);
}

void LiveRun::beginDeployment() {
    hasBegun_ = true;
    if (machines_ && deployment.scenario().rollout.isEnabled)
        deployment.schedule(now() + deployment.scenario().rollout.at, [this](Nanos) {
            onClaim(-1, steadyTime(), "roll begins");
            machines_->startRollout();
        });
    if (options_.onRoutersReady) return options_.onRoutersReady(formatAddress(addressOf(0, kRouterPort)));
    windowEnd_ = now() + kLatenessWindow;
    // Tests wait for this line before they act on a running load. On a slow machine, a test that
    // looked at files or at the elapsed time would act too early.
    if (!options_.folder.empty()) fmt::print(stderr, "the load begins\n");
    deployment.begin(now());
}

void LiveRun::signalRouter(int router, int number) {
    if (auto& process = processes_[static_cast<std::size_t>(router)]) process->signal(number);
}

void LiveRun::reloadRouter(int router) {
    if (!isRouterAlive(router) || machines_) return;
    writeConfiguration(router);
    signalRouter(router, SIGHUP);
}

void LiveRun::upgradeRouter(int router) {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    const std::string path = adminSocketPath(router);
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
    pendingUpgrades_.push_back({router, fd, {}});
}

void LiveRun::onOperatorResponse() {
    for (auto it = pendingUpgrades_.begin(); it != pendingUpgrades_.end();) {
        char buffer[4096];
        const ssize_t got = ::recv(it->fd, buffer, sizeof buffer, MSG_DONTWAIT);
        if (got > 0) it->response.append(buffer, static_cast<std::size_t>(got));
        const bool isComplete = it->response.ends_with('\n');
        if (!isComplete && (got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)))) {
            ++it;
            continue;
        }
        const auto answer = nlohmann::json::parse(it->response, nullptr, false);
        const bool succeeded =
            answer.is_object() && answer.contains("taken_over_by") && isRouterAlive(it->router);
        if (succeeded)
            processes_[static_cast<std::size_t>(it->router)]->replaceWith(
                answer["taken_over_by"].get<pid_t>());
        ++(succeeded ? result_.upgrades : result_.upgradesFailed);
        ::close(it->fd);
        it = pendingUpgrades_.erase(it);
    }
}

void LiveRun::onChildrenExited() {
    // A router that has handed over to a new process may exit right after its answer. The answer,
    // which holds the id of the new process, is in the socket by then.
    onOperatorResponse();
    for (std::size_t r = 0; r < processes_.size(); ++r) {
        if (!processes_[r] || !processes_[r]->hasExited()) continue;
        processes_[r].reset();
        probes_[r].reset();
        closeDiscoveryConnections(static_cast<int>(r));
        if (!hasBegun_) {
            failure_ = fmt::format("router {} exited before it was ready; the last line of its log is: {}", r,
                                   lastLine(fmt::format("{}/r{}.log", folder_, r)));
            return loop.stop();
        }
        // The clients' connections to the router end by themselves. The emulated deployment drops the
        // rest of the router's state.
        if (!isEnding_) deployment.onRouterGone(now(), static_cast<int>(r));
    }
}

void LiveRun::dispatchRequest(const ClientRequest& request, bool onNewConnection) {
    auto& connections = clientConnections[static_cast<std::size_t>(request.router)];
    if (!onNewConnection)
        for (auto it = connections.begin(); it != connections.end(); ++it)
            if ((*it)->isIdle()) {
                connections.splice(connections.begin(), connections, it);
                return connections.front()->send(request);
            }
    connections.push_front(std::make_unique<ClientConnectionHandler>(*this, request.router));
    ClientConnectionHandler* const connection = connections.front().get();
    connection->send(request);
    if (connection->open(addressOf(request.router, kRouterPort))) return;
    removeClientConnection(request.router, connection);
    deployment.schedule(now(), [this, id = request.id](Nanos t) {
        deployment.onClientOutcome(t, id, EmulatedDeployment::ClientOutcome::unsent, "", 0);
    });
}

void LiveRun::setCrowd(int count) {
    crowd_.clear();
    for (int router = 0; router < deployment.scenario().routers.count; ++router)
        for (int i = 0; i < count; ++i) crowd_.emplace_back(addressOf(router, kRouterPort));
}

void LiveRun::removeClientConnection(int router, ClientConnectionHandler* connection) {
    clientConnections[static_cast<std::size_t>(router)].remove_if(
        [&](const auto& l) { return l.get() == connection; });
}

void LiveRun::disconnectClient(int router, RequestId id) {
    for (auto& connection : clientConnections[static_cast<std::size_t>(router)])
        if (connection->requestId() == id) return removeClientConnection(router, connection.get());
}

void LiveRun::createMachines() {
    const Scenario& scenario = deployment.scenario();
    std::vector<TemplateServer> servers;
    for (const auto& server : deployment.servers())
        servers.push_back({server.name, server.zone, kServerPort + server.addressIndex, server.cell,
                           server.plan ? server.plan->cores * server.plan->speed : 1.0, server.origin});
    const int discovery = scenario.machines.listsServersInFile ? 0 : kDiscoveryPort;
    MachinesOptions machineOptions;
    machineOptions.folder = std::filesystem::absolute(folder_).string();
    machineOptions.program = options_.program;
    machineOptions.ctlProgram = options_.ctlProgram;
    machineOptions.changedProgram = options_.changedProgram;
    if (machineOptions.ctlProgram.empty())
        machineOptions.ctlProgram =
            (std::filesystem::path(options_.program).parent_path() / "poppyctl").string();
    machineOptions.ctlProgram = std::filesystem::absolute(machineOptions.ctlProgram).string();
    if (!std::filesystem::exists(machineOptions.ctlProgram) ||
        !std::filesystem::exists(machineOptions.program))
        throw RunError(fmt::format(
            "a scenario with machines needs the programs {} and {}, and one of them does not exist",
            machineOptions.program, machineOptions.ctlProgram));
    machineOptions.operatorFile = operatorTemplateOf(scenario, servers, discovery, "");
    machineOptions.changedOperatorFile =
        operatorTemplateOf(scenario, servers, discovery, scenario.rollout.change);
    machineOptions.seed = seed_;
    machineOptions.address = [this](int router) {
        const std::string at = formatAddress(addressOf(router, kRouterPort));
        return at.substr(0, at.find(':'));
    };
    machineOptions.firstPort = kRouterPort;
    machines_ = std::make_unique<Machines>(scenario, machineOptions, static_cast<MachineEvents&>(*this));
}

void LiveRun::onRouterUp(int router) {
    deployment.onRouterUp(now(), router);
    if (hasBegun_) return;
    readyRouters_.insert(router);
    if (readyRouters_.size() < probes_.size()) return;
    readinessTimer_.stop();
    beginDeployment();
}

// Logs the coordinator's outcome. The audit compares it with the version that each router runs at
// the end.
void LiveRun::observeRollout() {
    if (!hasBegun_ || isRolloutOver_ || !machines_->rolloutExitCode()) return;
    isRolloutOver_ = true;
    const int code = *machines_->rolloutExitCode();
    static const std::map<int, std::string> words{{0, "went"}, {1, "cant"}, {3, "undone"}, {4, "notundone"}};
    const auto word = words.find(code);
    onClaim(-1, steadyTime(),
            "roll ends " + (word == words.end() ? fmt::format("code{}", code) : word->second));
    fmt::print(stderr, "{}\n", machines_->coordinatorOutcome());
    // The load continues for two more seconds, so that effects of the rollout's end are observed.
    deployment.schedule(now() + 2 * kSecond, [this](Nanos t) { deployment.setLoadEnd(t); });
}

void LiveRun::observeLateness(Nanos at) {
    if (!hasBegun_ || isEnding_ || options_.onRoutersReady) return;
    worstLateness_ =
        std::max(worstLateness_,
                 std::max<Nanos>(at - std::max(deployment.nextEventAt(), windowEnd_ - kLatenessWindow), 0));
}

void LiveRun::runIteration() {
    onOperatorResponse();
    if (machines_) {
        machines_->runIteration(steadyTime());
        observeRollout();
    }
    const Nanos at = now();
    observeLateness(at);
    if (hasBegun_ && !isEnding_ && !options_.onRoutersReady && at >= windowEnd_) {
        eventLog_.add({at, EventKind::testbedLateness, 0, -1, -1, 0, worstLateness_, {}});
        // After a long delay of the testbed, one check covers several windows.
        const long windows = (at - windowEnd_) / kLatenessWindow + 1;
        totalWindows_ += windows;
        if (worstLateness_ > kLateThreshold)
            lateWindows_ += std::min<long>(windows, worstLateness_ / kLatenessWindow + 1);
        worstLateness_ = 0;
        windowEnd_ = at + kLatenessWindow;
    }
    // Steps take time and delay the steps after them, so lateness is measured before each step and
    // not once per iteration.
    for (Nanos t = now(); deployment.step(t); t = now()) observeLateness(now());
    if (hasBegun_ && !isEnding_ && options_.progress && at - lastProgressAt_ > kSecond)
        options_.progress(lastProgressAt_ = at);
    if (hasBegun_ && !isEnding_ && machines_ && deployment.scenario().rollout.isEnabled && !isRolloutOver_ &&
        at < deployment.scenario().length + kMaxRolloutOvertime)
        deployment.setLoadEnd(std::max(at + kSecond, deployment.scenario().length));
    if (hasBegun_ && !isEnding_ && !options_.onRoutersReady && deployment.hasEnded(at)) return endRun();
    stepTimer_.start(
        std::min(deployment.nextEventAt(), at + (machines_ ? 5 * kMillisecond : kLatenessWindow)) +
        startedAt_);
}

void LiveRun::endRun() {
    if (machines_ && hasBegun_)
        for (int r = 0; r < deployment.scenario().routers.count; ++r)
            onClaim(r, steadyTime(), "runs " + machines_->runningVersion(r));
    isEnding_ = true;
    for (auto& p : processes_) {
        if (!p) continue;
        result_.cpuSeconds += p->cpuSeconds();
        result_.memoryMb = std::max(result_.memoryMb, p->memoryMb());
    }
    loop.stop();
}

LiveResult LiveRun::run() {
    childSignal_ = std::make_unique<transport::Signal>(loop, SIGCHLD, [this] { onChildrenExited(); });
    const auto interrupted = [this] {
        result_.wasInterrupted = true;
        endRun();
    };
    interruptSignal_ = std::make_unique<transport::Signal>(loop, SIGINT, interrupted);
    terminateSignal_ = std::make_unique<transport::Signal>(loop, SIGTERM, interrupted);
    if (machines_)
        machines_->start();
    else
        for (int r = 0; r < deployment.scenario().routers.count; ++r) startRouter(r);
    readinessTimer_.start(transport::EventLoop::now() + kReadinessTimeout);
    loop.onIteration([this] { runIteration(); });
    loop.run();
    if (!failure_.empty()) throw RunError(failure_);
    if (processFaults_) result_.processFaults = processFaults_->counts();
    result_.lateShare =
        totalWindows_ ? static_cast<double>(lateWindows_) / static_cast<double>(totalWindows_) : 0;
    return result_;
}

}  // namespace

LiveResult runLive(const Scenario& scenario, std::uint64_t seed, EventLog& eventLog,
                   const LiveRunOptions& options) {
    std::signal(SIGPIPE, SIG_IGN);
    LiveRun live(scenario, seed, eventLog, options);
    return live.run();
}

}  // namespace poppyscale::testbed
