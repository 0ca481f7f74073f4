#include "process/router_process.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>

namespace poppyscale::process {
namespace {

using config::LogLevel;
using proxy::ClientListener;

// Clients go on connecting for up to 0.4 s after the signal.
constexpr Nanos kLeaving = 480 * kMillisecond;
// Beyond the longest wait of a client: answers just at its end are still on their way.
constexpr Nanos kLastAnswers = 200 * kMillisecond;
// Where another process serves beside this one, by when the connections here that idle are closed, and until
// when commands are taken on them: what is taken by then is answered well before the end.
constexpr Nanos kIdleFrom = 100 * kMillisecond;
constexpr Nanos kIdleUntil = 400 * kMillisecond;
constexpr Nanos kTaken = 480 * kMillisecond;
// Standing by: the front goes on connecting for a while after its first no, and by 4 s nothing is held. What
// was taken may last as long as its verb allows.
constexpr Nanos kStandbyIdleFrom = 800 * kMillisecond;
constexpr Nanos kStandbyIdleUntil = 1'600 * kMillisecond;
constexpr Nanos kStandbyTaken = 1'900 * kMillisecond;
constexpr Nanos kMostWait = 20'000 * kMillisecond;  // of a call to discovery
constexpr Nanos kLeastWait = 1'000 * kMillisecond;
constexpr Nanos kUpgradeWithin = 10'000 * kMillisecond;  // a successor is ready, or it is ended
constexpr std::size_t kOwnDescriptors = 32;  // standard streams, loop, signals, listener, discovery, operator
constexpr std::size_t kLeastClients = 8;     // whatever another process holds
constexpr std::size_t kMemoryOfClient = 8 * 1024;  // beside half-sent commands and answers, bounded elsewhere
// A list from discovery is taken up to this part of the memory: while it is read there are for a moment a
// copy of half of it that grows and the entries that were made of it.
constexpr std::size_t kListPart = 32;
// Commands are shown to the operator until their text would be longer than this part of the memory.
constexpr std::size_t kShownPart = 32;
constexpr std::size_t kTextOfShown = 256;  // of one command, beside its words

// Kept for the console, so that no crowd of clients shuts operators out.
std::size_t mostCallers(const protocol::StartupConfig& start) {
    return start.console.empty() ? 0 : std::clamp<std::size_t>(start.maxDescriptors / 16, 4, 16);
}

std::size_t mostLinks(const protocol::StartupConfig& start) { return start.maxDescriptors * 2 / 5; }

std::size_t mostClients(const protocol::StartupConfig& start) {
    const std::size_t left = start.maxDescriptors - mostLinks(start) - kOwnDescriptors - mostCallers(start);
    return std::max<std::size_t>(std::min(left, start.memoryLimitBytes / 8 / kMemoryOfClient), 1);
}

transport::Address addressOf(const std::string& text, const char* what) {
    if (const auto address = transport::parseAddress(text)) return *address;
    throw protocol::ParseError(fmt::format("{} is not an address and port: '{}'", what, text));
}

std::int64_t millis(Nanos ns) { return ns / kMillisecond; }

}  // namespace

RouterProcess::RouterProcess(ProcessOptions wanted)
    : options_(std::move(wanted)),
      config_(options_.readConfig()),
      pool_(config_.startup.memoryLimitBytes / 8 / transport::kBufferSize) {
    protocol::StartupConfig& start = config_.startup;
    logger_.configure(config_.operatorConfig.log);
    const auto logTo = [this](const char* part, LogLevel level) {
        return [this, part, level](std::string_view text) { log(part, level, text); };
    };
    describedConfig_ = config::describeConfig(start, config_.operatorConfig, config_.fromPlatform);
    // A descriptor more than the system gives would end in refused clients.
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        files.rlim_cur =
            std::min<rlim_t>(std::max<rlim_t>(files.rlim_cur, start.maxDescriptors), files.rlim_max);
        setrlimit(RLIMIT_NOFILE, &files);
        start.maxDescriptors =
            std::max<std::size_t>(std::min<std::size_t>(start.maxDescriptors, files.rlim_cur), 64);
    }
    const auto listen = addressOf(start.listen, "listen");
    const auto decisions = logTo("decisions", LogLevel::info);
    dispatcher_ =
        options_.makeDispatcher
            ? options_.makeDispatcher(loop_, pool_, start, mostLinks(start), decisions)
            : std::make_unique<proxy::RequestDispatcher>(loop_, pool_, start, mostLinks(start), decisions);
    clientListener_.emplace(loop_, pool_, *dispatcher_, mostClients(start), start.memoryLimitBytes / 16,
                            2 * start.serverIdleTimeout);
    clientListener_->onExhausted = [this](std::string_view why) {
        log("life", LogLevel::warning, fmt::format("new connections have to wait: {}", why));
    };
    if (auto sources = endpointSources(config_); !sources.empty()) {
        // What discovery holds back for a call that waits counts as told soon after; the shorter the wait,
        // the sooner a silent discovery is noticed.
        discovery::EndpointWatcher::Settings settings;
        settings.sources = std::move(sources);
        settings.maxPollWait = std::clamp(start.pollWait, kLeastWait, kMostWait);
        // Routers may share a seed where nobody sets one; they may not share their choice of a source.
        settings.sourceSeed = start.policy.seed ^ std::hash<std::string>{}(start.name);
        settings.seed = start.policy.seed;
        settings.version = start.knownEndpoints.version;
        settings.routerCount = start.policy.routerCount;
        settings.isPushed = start.endpointsArePushed;
        settings.maxListBytes = start.memoryLimitBytes / kListPart;
        endpointWatcher_.emplace(loop_, pool_, *dispatcher_, std::move(settings),
                                 logTo("discovery", LogLevel::warning));
        dispatcher_->requestPoll = [this] { endpointWatcher_->start(); };
    }
    stateTimer_.emplace(loop_,
                        [this] { enter(state_ == State::lameDuck ? State::draining : State::stopped); });
    upgradeTimeout_.emplace(loop_, [this] { endUpgrade("the new process was not ready in time"); });
    if (!config_.operatorConfig.operatorSocket.empty()) {
        dispatcher_->enableMetrics(start.policy.requestClasses);
        operatorSocket_.emplace(loop_, pool_,
                                [this](auto& session, const auto& asked) { return answer(session, asked); });
    }
    const bool kept = !start.console.empty() || options_.passedListener >= 0;
    PeerProcesses::Handler& self = *this;
    peers_.emplace(loop_, pool_, kept ? options_.stateFolder : "", start.name, self,
                   [this](LogLevel level, std::string_view text) { log("life", level, text); });
    if (options_.isHotRestart) {
        if (!operatorSocket_)
            throw protocol::ParseError("to take over an operator's socket is needed: [admin] socket");
        inheritedSockets_.emplace(config_.operatorConfig.operatorSocket);
        // An upgrade changes the program; another configuration would pass for a fault of the new one.
        std::string against;
        if (inheritedSockets_->describedConfig() != describedConfig_)
            against = "the process that serves has another configuration; reload it first";
        if (!inheritedSockets_->isAt(listen))
            against = "the process that serves listens elsewhere than " + start.listen;
        if (against.empty()) {
            peers_->start(true);
            return;
        }
        inheritedSockets_->reportFailure(against);
        throw protocol::ParseError("can't take over: " + against);
    }
    peers_->start(options_.passedListener >= 0);
    const std::string problem = options_.passedListener >= 0
                                    ? clientListener_->listenOn(options_.passedListener)
                                    : clientListener_->listen(listen);
    if (!problem.empty())
        throw protocol::ParseError(fmt::format("can't listen on {}: {}", start.listen, problem));
    openOperatorSockets();
    if (!operatorSocket_) return;
    const std::string denied = operatorSocket_->listen(config_.operatorConfig.operatorSocket);
    if (!denied.empty())
        throw protocol::ParseError(fmt::format("can't have the operator's socket {}: {}",
                                               config_.operatorConfig.operatorSocket, denied));
}

RouterProcess::~RouterProcess() = default;

void RouterProcess::openOperatorSockets() {
    const auto& at = config_.startup.console;
    if (!at.empty()) {
        console_.emplace(loop_, pool_, mostCallers(config_.startup),
                         [this](const control::ConsoleCommand& call) { return answer(call); });
        const int taken = inheritedSockets_ ? inheritedSockets_->takeConsole() : -1;
        const auto denied =
            taken >= 0 ? console_->listenOn(taken) : console_->listen(addressOf(at, "console"));
        if (!denied.empty())
            throw protocol::ParseError(fmt::format("can't listen on console {}: {}", at, denied));
    }
    if (options_.passedListener < 0 && !operatorSocket_) return;
    if (const auto denied = peers_->listen(); !denied.empty())
        log("life", LogLevel::error, fmt::format("a later process won't find this one: {}", denied));
}

std::vector<discovery::DiscoveryAddress> RouterProcess::endpointSources(const InstanceConfig& told) const {
    std::vector<discovery::DiscoveryAddress> sources;
    for (const std::string& one : told.operatorConfig.distributors)
        sources.push_back({addressOf(one, "distributor"), one});
    if (sources.empty() && !told.startup.discovery.empty())
        sources.push_back({addressOf(told.startup.discovery, "discovery"), told.startup.discovery});
    return sources;
}

Nanos RouterProcess::drainDuration() const {
    return config_.operatorConfig.drainTimeout ? config_.operatorConfig.drainTimeout
                                               : config_.startup.maxRequestTimeout + kLastAnswers;
}

void RouterProcess::beginShutdown() {
    // What another process was told while this one was held up; and whoever comes next has the path.
    peers_->reloadState();
    peers_->onShutdown();
    // Told a second time: at once. One that drains since another took over was not told before.
    const bool again = std::exchange(stopRequested_, true);
    if (again && (state_ == State::lameDuck || state_ == State::draining)) return enter(State::stopped);
    if (state_ != State::serving) return;
    if (options_.passedListener < 0) return enter(State::lameDuck);
    // The platform holds the socket, and another process takes what stands in its backlog.
    onHotRestartComplete();
}

void RouterProcess::onHotRestartComplete() {
    isReplaced_ = true;
    clientListener_->stopListening();
    enter(State::draining);
}

nlohmann::json RouterProcess::reload() {
    const Nanos began = transport::EventLoop::now();
    nlohmann::json said = readConfigAgain();
    // It is read on the loop, which is held up by it as by any turn.
    if (dispatcher_->metrics()) dispatcher_->metrics()->recordIteration(transport::EventLoop::now() - began);
    return said;
}

nlohmann::json RouterProcess::readConfigAgain() {
    if (upgrade_) {
        log("life", LogLevel::warning, "goes on with the old configuration: an upgrade is under way");
        return {{"error", "an upgrade is under way"}};
    }
    // While it leaves too: what it still owes goes by the list.
    try {
        notifyServiceManager("RELOADING=1");
        InstanceConfig fresh = options_.readConfig();
        if (endpointWatcher_.has_value() == endpointSources(fresh).empty())
            throw protocol::ParseError("whether there is a discovery waits for a start");
        auto difference = config::compareConfigs(config_.startup, fresh.startup);
        const auto& before = config_.operatorConfig.distributors;
        const auto& after = fresh.operatorConfig.distributors;
        if (before != after)
            difference.appliesNow.push_back(fmt::format("distributors: {} before, {} now",
                                                        fmt::join(before, " "), fmt::join(after, " ")));
        std::string words;
        for (const auto& line : difference.appliesNow) words += "; " + line;
        for (const auto& line : difference.needsRestart) words += "; " + line;
        log("life", LogLevel::info,
            fmt::format("read its configuration anew, discovery at {}{}{}", fresh.startup.discovery, words,
                        difference.needsRestart.empty() ? "" : "; other changes wait for the next start"));
        applyConfig(std::move(fresh));
        notifyServiceManager("READY=1");
        return {{"changed", difference.appliesNow}, {"waits", difference.needsRestart}};
    } catch (const std::exception& problem) {
        notifyServiceManager("READY=1");
        log("life", LogLevel::error, fmt::format("goes on with the old configuration: {}", problem.what()));
        return {{"error", problem.what()}};
    }
}

// Nothing in here can fail: all of it has been checked.
void RouterProcess::applyConfig(InstanceConfig fresh) {
    ++reloads_;
    describedConfig_ = config::describeConfig(fresh.startup, fresh.operatorConfig, fresh.fromPlatform);
    protocol::StartupConfig& is = config_.startup;
    protocol::StartupConfig& next = fresh.startup;
    // What waits for a start stays as it is, also in what is shown.
    next.name = is.name;
    next.listen = is.listen;
    next.console = is.console;
    next.memoryLimitBytes = is.memoryLimitBytes;
    next.maxDescriptors = is.maxDescriptors;
    next.policy.seed = is.policy.seed;  // another one with each start
    next.pollWait = is.pollWait;
    next.policy.pollInterval = is.policy.pollInterval;
    next.policy.overloadWindow = is.policy.overloadWindow;
    next.policy.cacheAside = is.policy.cacheAside;
    next.policy.weightsFollowLoad = is.policy.weightsFollowLoad;
    next.policy.originShape = is.policy.originShape;
    next.policy.pollsEndpoints = is.policy.pollsEndpoints;
    // A command may still be open that waits longer than any verb that is left.
    next.maxRequestTimeout = std::max(next.maxRequestTimeout, is.maxRequestTimeout);
    fresh.operatorConfig.operatorSocket = config_.operatorConfig.operatorSocket;
    logger_.configure(fresh.operatorConfig.log);
    dispatcher_->applyConfig(next);
    clientListener_->setMaxRequestTimeout(2 * next.serverIdleTimeout);
    if (endpointWatcher_) {
        endpointWatcher_->setRouterCount(next.policy.routerCount);
        endpointWatcher_->setSources(endpointSources(fresh));
    } else {
        dispatcher_->onEndpointList(EndpointUpdateKind::complete, next.knownEndpoints);
    }
    config_ = std::move(fresh);
}

int RouterProcess::run() {
    if (inheritedSockets_) {
        // The other one stops accepting with its answer; what comes meanwhile stands in the socket's backlog.
        inheritedSockets_->reportReady({{"do", "ready"}, {"pid", ::getpid()}});
        std::string problem = clientListener_->listenOn(inheritedSockets_->takeListener());
        if (problem.empty()) problem = operatorSocket_->listen(config_.operatorConfig.operatorSocket);
        if (!problem.empty()) throw protocol::ParseError("can't go on with what was taken over: " + problem);
        openOperatorSockets();
        inheritedSockets_.reset();
    }
    enter(State::serving);
    loop_.onIteration([this] { runIteration(); });
    loop_.run();
    return 0;
}

void RouterProcess::runIteration() {
    const Nanos began = dispatcher_->metrics() ? transport::EventLoop::now() : 0;
    clientListener_->runIteration();
    peers_->reportClientCount(clientListener_->count());
    dispatcher_->runIteration();
    if (dispatcher_->metrics()) dispatcher_->metrics()->recordIteration(transport::EventLoop::now() - began);
    if (state_ == State::draining && clientListener_->isClosed()) enter(State::stopped);
}

void RouterProcess::enter(State state) {
    // Whoever gets ready only now would go on where this one was told to stop.
    if (upgrade_ && state != State::serving) endUpgrade("the process that serves was told to stop");
    state_ = state;
    const Nanos now = transport::EventLoop::now();
    switch (state) {
        case State::starting:
            break;
        case State::serving:
            log("life", LogLevel::info,
                fmt::format("{} serves on {}", config_.startup.name, config_.startup.listen));
            notifyServiceManager(fmt::format("READY=1\nMAINPID={}", ::getpid()));
            break;
        case State::lameDuck:
            log("life", LogLevel::info,
                fmt::format("{} was told to stop; {} commands open", config_.startup.name,
                            dispatcher_->openRequests()));
            notifyServiceManager("STOPPING=1");
            stateTimer_->start(now + kLeaving);
            break;
        case State::draining:
            clientListener_->close();
            clientListener_->drain(
                isReplaced_
                    ? ClientListener::DrainSchedule{now, now + kIdleFrom, now + kIdleUntil, now + kTaken,
                                                    now + kTaken + drainDuration() - kLastAnswers / 2}
                    : ClientListener::DrainSchedule{now, now, now, now + drainDuration(),
                                                    now + drainDuration() - kLastAnswers / 2});
            stateTimer_->start(now + drainDuration() + (isReplaced_ ? kTaken : 0));
            break;
        case State::stopped: {
            std::map<std::string, int> left;
            for (const auto& s : dispatcher_->requestStatuses())
                if (s.isAwaited) ++left[s.requestClass];
            std::string words;
            for (const auto& [requestClass, count] : left)
                words += fmt::format(", {} {} given up", count, requestClass);
            log("life", left.empty() ? LogLevel::info : LogLevel::warning,
                fmt::format("{} stops; {} clients left{}", config_.startup.name, clientListener_->count(),
                            words));
            dispatcher_->failAll();
            loop_.stop();
            break;
        }
    }
}

// ---- the console

control::ConsoleReply RouterProcess::answer(const control::ConsoleCommand& call) {
    using Kind = control::ConsoleCommand::Kind;
    switch (call.kind) {
        case Kind::status:
            return state_ == State::starting ? control::ConsoleReply{false, "starting"}
                                             : applyOperatorCommand("");
        case Kind::standby:
            return applyOperatorCommand("standby");
        case Kind::active:
            return applyOperatorCommand("active");
        case Kind::eject:
        case Kind::restore:
            break;
    }
    if (const auto why = dispatcher_->ejectionProblem(call.server); !why.empty()) return {false, why};
    return applyOperatorCommand((call.kind == Kind::eject ? "out " : "in ") + call.server);
}

// A word that can be taken, or none, and how things stand then.
control::ConsoleReply RouterProcess::applyOperatorCommand(const std::string& word) {
    if (!word.empty())
        if (const auto problem = peers_->applyCommand(word); !problem.empty()) return {false, problem};
    return {true, fmt::format("{}{}; {} clients, {} commands open{}", stateName(),
                              peers_->operatorState().isStandby ? ", standing by" : "",
                              clientListener_->count(), dispatcher_->openRequests(), ejectedServersText())};
}

std::string RouterProcess::ejectedServersText() const {
    const auto& out = peers_->operatorState().ejectedServers;
    return out.empty() ? "" : fmt::format("; out: {}", fmt::join(out, " "));
}

void RouterProcess::setEjected(const std::string& server, bool on) {
    log("life", LogLevel::info, fmt::format("{} is {} by an operator's word", server, on ? "out" : "let in"));
    dispatcher_->setEjected(server, on);
}

// While another process is the same router, both together keep to its bounds.
void RouterProcess::onPeersChanged() {
    const protocol::StartupConfig& start = config_.startup;
    const bool alone = peers_->isAlone();
    const std::size_t memory = alone ? start.memoryLimitBytes : start.memoryLimitBytes / 2;
    const std::size_t most = mostClients(start);
    pool_.setCapacity(memory / 8 / transport::kBufferSize);
    dispatcher_->setLimits(memory, alone ? mostLinks(start) : mostLinks(start) / 2);
    clientListener_->setLimits(std::max(most - std::min(most, peers_->peerClientCount()), kLeastClients),
                               memory / 16);
}

void RouterProcess::setStandby(bool on) {
    log("life", LogLevel::info,
        fmt::format("{} {}", config_.startup.name, on ? "stands by" : "is active again"));
    clientListener_->setStandby(on);
    // Who is leaving goes on leaving.
    if (state_ != State::serving && state_ != State::starting) return;
    const Nanos now = transport::EventLoop::now();
    if (on)
        clientListener_->drain({now, now + kStandbyIdleFrom, now + kStandbyIdleUntil, now + kStandbyTaken});
    else
        clientListener_->cancelDrain();
}

// ---- the operator

nlohmann::json RouterProcess::answer(control::OperatorSession& session, const nlohmann::json& asked) {
    const auto what = asked.value("do", "");
    if (what == "status") return status();
    if (what == "figures") return metrics();
    if (what == "commands") return requests();
    if (what == "caches") return caches();
    if (what == "reload") return reload();
    if (what == "drain") {
        if (state_ != State::serving) return {{"error", "it leaves already"}};
        beginShutdown();
        return {{"open", dispatcher_->openRequests()}};
    }
    if (what == "stop") {
        const auto open = dispatcher_->openRequests();
        enter(State::stopped);
        return {{"open", open}};
    }
    if (what == "upgrade") return upgrade(session, asked);
    if (what == "take-over") return passSockets(session);
    if (what == "ready") return onNewProcessReady(session, asked);
    if (what == "refuse" && upgrade_ && upgrade_->newProcessSession == &session) {
        endUpgrade("the new process refuses: " + asked.value("why", ""));
        return {{"ok", true}};
    }
    return {{"error", fmt::format("'{}' is not known here", what.substr(0, 40))}};
}

const char* RouterProcess::stateName() const {
    static constexpr const char* states[] = {"starting", "serving", "leaving", "draining", "done"};
    return states[static_cast<int>(state_)];
}

nlohmann::json RouterProcess::status() {
    // Where the list comes from discovery: how long ago that said what holds, and why it can't be had now.
    auto list = nlohmann::json::object();
    if (endpointWatcher_)
        list = {{"age_ms", millis(transport::EventLoop::now() - endpointWatcher_->lastHeardAt())},
                {"trouble", endpointWatcher_->lastFailure()}};
    if (endpointWatcher_ && !config_.operatorConfig.distributors.empty()) {
        list["source"] = endpointWatcher_->currentSource();
        list["sources"] = endpointWatcher_->sourceCount();
    }
    return {
        {"name", config_.startup.name},
        {"list", std::move(list)},
        {"state", stateName()},
        {"pid", ::getpid()},
        {"up_ms", millis(transport::EventLoop::now() - startedAt_)},
        {"listen", config_.startup.listen},
        {"discovery", config_.startup.discovery},
        {"open", dispatcher_->openRequests()},
        {"clients", clientListener_->count()},
        {"links", dispatcher_->connectionCount()},
        {"reloads", reloads_},
        {"upgrading", upgrade_.has_value()},
        {"described", config::describeConfig(config_.startup, config_.operatorConfig, config_.fromPlatform)}};
}

nlohmann::json RouterProcess::metrics() {
    auto all = dispatcher_->metrics()->json();
    long pages = 0, resident = 0;
    std::ifstream("/proc/self/statm") >> pages >> resident;
    std::error_code unread;
    const auto files = std::filesystem::directory_iterator("/proc/self/fd", unread);
    int ready = 0, listed = 0;
    for (const EndpointStatus& b : dispatcher_->endpointStatuses()) {
        listed += !b.isOrigin;
        ready += !b.isOrigin && b.state == EndpointState::ready && !b.isEjectedByOperator;
    }
    auto given = nlohmann::json::object();
    for (const auto& [name, g] : dispatcher_->attemptsByServer()) given[name] = {g.attempts, g.isDraining};
    all.update({{"name", config_.startup.name},
                {"caches", std::move(given)},
                {"program", options_.version},
                {"pid", ::getpid()},
                {"zone", config_.startup.policy.zone},
                {"state", stateName()},
                {"up_ms", millis(transport::EventLoop::now() - startedAt_)},
                {"open", dispatcher_->openRequests()},
                {"clients", clientListener_->count()},
                {"links", dispatcher_->connectionCount()},
                {"links_opened", dispatcher_->connectionsOpened()},
                {"list_calls", endpointWatcher_ ? endpointWatcher_->pollCount() : 0},
                {"guard", dispatcher_->guard().json()},
                {"caches_ready", ready},
                {"caches_listed", listed},
                {"memory_kb", resident * (::sysconf(_SC_PAGESIZE) / 1024)},
                {"descriptors", unread ? -1 : std::distance(begin(files), end(files))}});
    return all;
}

nlohmann::json RouterProcess::requests() {
    const Nanos now = transport::EventLoop::now();
    auto all = nlohmann::json::array();
    std::size_t room = config_.startup.memoryLimitBytes / kShownPart;
    for (const auto& s : dispatcher_->requestStatuses()) {
        const std::size_t text = kTextOfShown + s.id.size() + s.requestClass.size() + s.tenant.size() +
                                 s.key.size() + s.server.size();
        if (text > room) break;
        room -= text;
        all.push_back({{"id", s.id},
                       {"verb", s.requestClass},
                       {"customer", s.tenant},
                       {"key", s.key},
                       {"age_ms", millis(now - s.since)},
                       {"left_ms", millis(s.deadline - now)},
                       {"relays", s.attemptCount},
                       {"waited_for", s.isAwaited},
                       {"at", s.server},
                       {"out_ms", s.server.empty() ? 0 : millis(now - s.sentAt)}});
    }
    return {{"open", dispatcher_->openRequests()}, {"commands", std::move(all)}};
}

nlohmann::json RouterProcess::caches() {
    static constexpr const char* presences[] = {"gone", "ready", "draining"};
    const Nanos now = transport::EventLoop::now();
    auto all = nlohmann::json::array();
    for (const EndpointStatus& b : dispatcher_->endpointStatuses())
        all.push_back({{"name", b.name},
                       {"zone", b.zone},
                       {"kind", b.isOrigin ? "origin" : "cache"},
                       {"state", presences[static_cast<int>(b.state)]},
                       {"banned", b.isEjectedByOperator},
                       {"out", b.inFlight},
                       {"window", b.concurrencyLimit},
                       {"warmth", b.warmupFraction},
                       {"heard", b.recentOutcomes},
                       {"failed", b.recentFailures},
                       {"lateness", b.latencyRatio},
                       {"hints", b.hintedKeys},
                       {"aside_ms", std::max<std::int64_t>(millis(b.ejectedUntil - now), 0)}});
    return {{"caches", std::move(all)}};
}

// ---- the upgrade

nlohmann::json RouterProcess::upgrade(control::OperatorSession& session, const nlohmann::json& asked) {
    if (upgrade_) return {{"error", "an upgrade is under way"}};
    if (state_ != State::serving) return {{"error", "it leaves already"}};
    auto line = options_.newProcessCommand;
    if (asked.contains("program")) line[0] = asked["program"].get<std::string>();
    Upgrade begun;
    try {
        begun.process = std::make_unique<NewProcess>(line);
    } catch (const std::exception& problem) {
        return {{"error", problem.what()}};
    }
    begun.requester = &session;
    session.onPeerClosed = [this] {
        if (upgrade_) upgrade_->requester = nullptr;  // nobody waits for it, but it goes on
    };
    log("life", LogLevel::info,
        fmt::format("starts {} as process {} to take over", line[0], begun.process->pid()));
    upgrade_ = std::move(begun);
    upgradeTimeout_->start(transport::EventLoop::now() + kUpgradeWithin);
    return nullptr;  // the answer comes when it is known
}

nlohmann::json RouterProcess::passSockets(control::OperatorSession& session) {
    if (state_ != State::serving) return {{"error", "it leaves already"}};
    if (upgrade_ && upgrade_->newProcessSession) return {{"error", "another process is taking over"}};
    if (!upgrade_) {
        // One that was not started from here may come too: a supervisor's.
        upgrade_.emplace();
        upgradeTimeout_->start(transport::EventLoop::now() + kUpgradeWithin);
    }
    upgrade_->newProcessSession = &session;
    session.onPeerClosed = [this] {
        if (!upgrade_) return;
        upgrade_->newProcessSession = nullptr;
        endUpgrade("the new process went before it was ready");
    };
    session.send({{"described", describedConfig_}, {"console", console_.has_value()}});
    if (!session.passDescriptor(clientListener_->descriptor()) ||
        (console_ && !session.passDescriptor(console_->descriptor())))
        endUpgrade("the listening sockets could not be passed");
    return nullptr;
}

nlohmann::json RouterProcess::onNewProcessReady(control::OperatorSession& session,
                                                const nlohmann::json& asked) {
    if (!upgrade_ || upgrade_->newProcessSession != &session) return {{"error", "nothing was taken over"}};
    // It may have said so long ago, and gone since: told with what ends its connection.
    if (session.hasPeerClosed()) return nullptr;
    Upgrade done = std::move(*upgrade_);
    upgrade_.reset();
    upgradeTimeout_->stop();
    session.onPeerClosed = {};
    if (done.process) done.process->release();
    const auto pid = asked.value("pid", 0);
    log("life", LogLevel::info,
        fmt::format("process {} takes over; {} commands open", pid, dispatcher_->openRequests()));
    if (done.requester) {
        done.requester->onPeerClosed = {};
        done.requester->send({{"taken_over_by", pid}});
    }
    operatorSocket_->releasePath();
    console_.reset();
    onHotRestartComplete();
    return {{"ok", true}};
}

void RouterProcess::endUpgrade(const std::string& problem) {
    Upgrade ended = std::move(*upgrade_);
    upgrade_.reset();
    upgradeTimeout_->stop();
    log("life", LogLevel::error, fmt::format("no other process takes over: {}", problem));
    if (ended.newProcessSession) ended.newProcessSession->onPeerClosed = {};
    if (ended.requester) {
        ended.requester->onPeerClosed = {};
        ended.requester->send({{"error", problem}});
    }
}

}  // namespace poppyscale::process
