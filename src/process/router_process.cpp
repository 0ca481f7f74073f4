#include "process/router_process.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <cctype>
#include <utility>

#include "process/resource_limits.hpp"

namespace poppyscale::process {
namespace {

using config::LogLevel;
using protocol::ParseError;

// Drain schedule of standby, measured from its start. The load balancer continues to connect for a
// while after its first failed health check, and expects no connection after 4 s. An accepted
// request may last as long as its request class allows.
constexpr Nanos kStandbyIdleCloseStart = 800 * kMillisecond;
constexpr Nanos kStandbyIdleCloseEnd = 1'600 * kMillisecond;
constexpr Nanos kStandbyAcceptDuration = 1'900 * kMillisecond;

LogFunction lifecycleLog(ProcessLogger& logger) {
    return [&logger](LogLevel level, std::string_view text) { logger.logLifecycle(level, text); };
}

// The path of a file that the processes of the router `name` share: the operator state file, or the
// socket by which they find each other. Nothing without a folder.
std::optional<std::string> sharedPath(const std::string& folder, std::string name, const char* ending) {
    if (folder.empty()) return std::nullopt;
    for (char& c : name)
        if (!std::isalnum(static_cast<unsigned char>(c)) && c != '-' && c != '_') c = '_';
    return folder + "/poppyscale-" + name + ending;
}

// The folder of the shared files. Only an instance with a console, or one whose listening socket
// the platform holds, has shared files; for others the result is empty.
std::string sharedFolder(const ProcessOptions& options, const protocol::StartupConfig& startup) {
    const bool isShared = !startup.console.empty() || options.passedListener.isOpen();
    return isShared ? options.stateFolder : "";
}

}  // namespace

RouterProcess::RouterProcess(ProcessOptions options)
    : options_(std::move(options)),
      isListenerPassed_(options_.passedListener.isOpen()),
      config_(options_.readConfig()),
      logger_(config_.operatorConfig().log),
      listenAddress_(parseAddressSetting(config_.startup().listen, "listen")),
      pool_(maxBuffers(config_.startup().memoryLimitBytes)),
      dataPath_(loop_, pool_, config_, options_.makeDispatcher, logger_),
      lifecycle_(loop_, dataPath_, config_, logger_, [this] { hotRestart_.onLeavingServing(); }),
      hotRestart_(loop_, lifecycle_, dataPath_, config_, options_.newProcessCommand, lifecycleLog(logger_),
                  {[this] { return consoleDescriptor(); }, [this] { onReplaced(); }}),
      operatorState_(sharedPath(sharedFolder(options_, config_.startup()), config_.startup().name, ".words"),
                     *this, lifecycleLog(logger_)),
      peers_(loop_, pool_,
             sharedPath(sharedFolder(options_, config_.startup()), config_.startup().name, ".sock"),
             operatorState_, *this, lifecycleLog(logger_)),
      reloader_(options_.readConfig, config_, dataPath_, logger_),
      report_(config_, dataPath_, lifecycle_, hotRestart_, options_.version),
      consoleCommands_(operatorState_, peers_, lifecycle_, dataPath_),
      operatorCommands_(report_, reloader_, hotRestart_, lifecycle_, dataPath_, [this] { requestStop(); }) {
    if (!config_.operatorConfig().operatorSocket.empty()) {
        dataPath_.dispatcher().enableMetrics(config_.startup().policy.requestClasses);
        operatorSocket_.emplace(loop_, pool_, [this](auto& session, const auto& message) {
            return operatorCommands_.handle(session, message);
        });
    }
    if (options_.isHotRestart) requestInheritedSockets();
    operatorState_.load();
    if (options_.isHotRestart || isListenerPassed_) peers_.joinOldProcess();
    operatorState_.reconcile();
    if (!options_.isHotRestart) openOwnSockets();
}

RouterProcess::~RouterProcess() = default;

int RouterProcess::run() {
    if (inheritedSockets_) takeInheritedSockets();
    lifecycle_.start();
    loop_.onIteration([this] { runIteration(); });
    loop_.run();
    return 0;
}

void RouterProcess::openOwnSockets() {
    const std::string problem = isListenerPassed_
                                    ? dataPath_.clientListener().listenOn(options_.passedListener.release())
                                    : dataPath_.clientListener().listen(listenAddress_);
    if (!problem.empty())
        throw ParseError(fmt::format("can't listen on {}: {}", config_.startup().listen, problem));
    listenOnConsole();
    listenForPeers();
    if (!operatorSocket_) return;
    const std::string& path = config_.operatorConfig().operatorSocket;
    const auto error = operatorSocket_->listen(path);
    if (error) throw ParseError(fmt::format("can't listen on the operator's socket {}: {}", path, *error));
}

void RouterProcess::requestInheritedSockets() {
    if (!operatorSocket_) throw ParseError("--take-over needs an operator's socket: set [admin] socket");
    inheritedSockets_.emplace(config_.operatorConfig().operatorSocket);
    // A hot restart replaces only the program. If the configuration changed at the same time, its
    // problems could be mistaken for faults of the new program.
    std::string reason;
    if (inheritedSockets_->describedConfig() != config_.describedFiles())
        reason = "the old process has a different configuration; reload it first";
    if (!inheritedSockets_->isListeningOn(listenAddress_))
        reason = "the old process does not listen on " + config_.startup().listen;
    if (reason.empty()) return;
    inheritedSockets_->reportFailure(reason);
    throw ParseError("can't take over: " + reason);
}

void RouterProcess::takeInheritedSockets() {
    // The old process stops accepting when it replies. Until this process accepts, connections wait
    // in the socket's backlog.
    inheritedSockets_->reportReady(::getpid());
    FileDescriptor listener = inheritedSockets_->takeListener();
    const std::string problem = dataPath_.clientListener().listenOn(listener.release());
    if (!problem.empty()) throw ParseError("can't accept on the inherited listening socket: " + problem);
    const auto error = operatorSocket_->listen(config_.operatorConfig().operatorSocket);
    if (error) throw ParseError("can't listen on the operator's socket after the hot restart: " + *error);
    listenOnConsole();
    listenForPeers();
    inheritedSockets_.reset();
}

void RouterProcess::listenOnConsole() {
    const std::string& address = config_.startup().console;
    if (address.empty()) return;
    console_.emplace(
        loop_, pool_, maxConsoleConnections(config_.startup()),
        [this](const control::ConsoleCommand& command) { return consoleCommands_.handle(command); });
    FileDescriptor inherited;
    if (inheritedSockets_) inherited = inheritedSockets_->takeConsole();
    const auto error = inherited.isOpen() ? console_->listenOn(std::move(inherited))
                                          : console_->listen(parseAddressSetting(address, "console"));
    if (error) throw ParseError(fmt::format("can't listen on console {}: {}", address, *error));
}

void RouterProcess::listenForPeers() {
    if (isListenerPassed_ || operatorSocket_) peers_.listen();
}

void RouterProcess::runIteration() {
    auto* const metrics = dataPath_.dispatcher().metrics();
    const Nanos startedAt = metrics ? transport::EventLoop::now() : 0;
    dataPath_.clientListener().runIteration();
    peers_.reportClientCount(dataPath_.clientListener().count());
    dataPath_.dispatcher().runIteration();
    if (metrics) metrics->recordIteration(transport::EventLoop::now() - startedAt);
    lifecycle_.runIteration();
}

void RouterProcess::requestStop() {
    // Reads changes that operators made at another process while this one was suspended. From now
    // on this process does not listen on the peers' socket again when a new process leaves.
    operatorState_.reload();
    peers_.onShutdown();
    lifecycle_.requestStop(isListenerPassed_);
}

void RouterProcess::setEjected(const std::string& server, bool isEjected) {
    logger_.logLifecycle(LogLevel::info,
                         fmt::format("{} is {} by the operator", server, isEjected ? "ejected" : "restored"));
    dataPath_.dispatcher().setEjected(server, isEjected);
}

void RouterProcess::setStandby(bool isStandby) {
    logger_.logLifecycle(LogLevel::info, fmt::format("{} {}", config_.startup().name,
                                                     isStandby ? "is in standby" : "is active again"));
    proxy::ClientListener& listener = dataPath_.clientListener();
    listener.setStandby(isStandby);
    // A process that is shutting down continues its drain.
    const ProcessState state = lifecycle_.state();
    if (state != ProcessState::serving && state != ProcessState::starting) return;
    if (!isStandby) {
        listener.cancelDrain();
        return;
    }
    const Nanos now = transport::EventLoop::now();
    listener.drain(
        {now, now + kStandbyIdleCloseStart, now + kStandbyIdleCloseEnd, now + kStandbyAcceptDuration});
}

void RouterProcess::onPeersChanged() { dataPath_.setLimits(!peers_.isAlone(), peers_.peerClientCount()); }

std::optional<int> RouterProcess::consoleDescriptor() const {
    if (!console_) return std::nullopt;
    return console_->descriptor();
}

void RouterProcess::onReplaced() {
    operatorSocket_->releasePath();
    console_.reset();
    lifecycle_.onReplaced();
}

}  // namespace poppyscale::process
