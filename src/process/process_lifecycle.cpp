#include "process/process_lifecycle.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <map>
#include <string>
#include <utility>

#include "process/service_manager.hpp"

namespace poppyscale::process {
namespace {

using config::LogLevel;
using proxy::ClientListener;

// Clients continue to connect for up to 0.4 s after the signal.
constexpr Nanos kLameDuckDuration = 480 * kMillisecond;
// Added to the longest request timeout when draining: a response that arrives just in time still
// has to be sent to its client. A service manager may kill the process 0.7 s after that timeout, so what is
// still unanswered gets its final response well before.
constexpr Nanos kLastResponseMargin = 100 * kMillisecond;
// Drain schedule after another process has replaced this one, measured from the start of the drain:
// the first and the last close of idle connections, and the end of accepting requests on open
// connections.
constexpr Nanos kReplacedIdleCloseStart = 100 * kMillisecond;
constexpr Nanos kReplacedIdleCloseEnd = 400 * kMillisecond;
constexpr Nanos kReplacedAcceptDuration = 480 * kMillisecond;

}  // namespace

ProcessLifecycle::ProcessLifecycle(transport::EventLoop& loop, DataPath& dataPath, const ActiveConfig& config,
                                   ProcessLogger& logger, std::function<void()> beforeLeavingServing)
    : loop_(loop),
      dataPath_(dataPath),
      config_(config),
      logger_(logger),
      beforeLeavingServing_(std::move(beforeLeavingServing)),
      stateTimer_(loop, [this] { apply(ProcessEvent::timerExpired); }) {}

void ProcessLifecycle::requestStop(bool isSocketPassed) {
    const bool isRepeated = isStopRequested_;
    isStopRequested_ = true;
    if (isRepeated) {
        apply(ProcessEvent::stopRepeated);
        return;
    }
    if (!isServing()) return;
    if (isSocketPassed)
        onReplaced();
    else
        apply(ProcessEvent::stopRequested);
}

void ProcessLifecycle::onReplaced() {
    isReplaced_ = true;
    dataPath_.clientListener().stopListening();
    apply(ProcessEvent::replaced);
}

void ProcessLifecycle::runIteration() {
    if (state_ == ProcessState::draining && dataPath_.clientListener().isClosed())
        apply(ProcessEvent::lastClientClosed);
}

void ProcessLifecycle::apply(ProcessEvent event) {
    const auto next = nextState(state_, event);
    if (next) enter(*next);
}

void ProcessLifecycle::enter(ProcessState state) {
    if (state != ProcessState::serving) beforeLeavingServing_();
    state_ = state;
    switch (state) {
        case ProcessState::starting:
            break;
        case ProcessState::serving:
            enterServing();
            break;
        case ProcessState::lameDuck:
            enterLameDuck();
            break;
        case ProcessState::draining:
            enterDraining();
            break;
        case ProcessState::stopped:
            enterStopped();
            break;
    }
}

void ProcessLifecycle::enterServing() {
    const protocol::StartupConfig& startup = config_.startup();
    logger_.logLifecycle(LogLevel::info, fmt::format("{} serves on {}", startup.name, startup.listen));
    notifyServiceManager(fmt::format("READY=1\nMAINPID={}", ::getpid()));
}

void ProcessLifecycle::enterLameDuck() {
    const Nanos now = transport::EventLoop::now();
    logger_.logLifecycle(LogLevel::info,
                         fmt::format("{} received a stop request; {} requests open", config_.startup().name,
                                     dataPath_.dispatcher().openRequests()));
    notifyServiceManager("STOPPING=1");
    stateTimer_.start(now + kLameDuckDuration);
}

void ProcessLifecycle::enterDraining() {
    const Nanos now = transport::EventLoop::now();
    const Nanos drainsUntil = now + drainDuration();
    ClientListener& listener = dataPath_.clientListener();
    listener.close();
    if (isReplaced_) {
        listener.drain({now, now + kReplacedIdleCloseStart, now + kReplacedIdleCloseEnd,
                        now + kReplacedAcceptDuration,
                        drainsUntil + kReplacedAcceptDuration - kLastResponseMargin / 2});
        stateTimer_.start(drainsUntil + kReplacedAcceptDuration);
    } else {
        listener.drain({now, now, now, drainsUntil, drainsUntil - kLastResponseMargin / 2});
        stateTimer_.start(drainsUntil);
    }
}

void ProcessLifecycle::enterStopped() {
    std::map<std::string, int> awaitedByClass;
    for (const auto& request : dataPath_.dispatcher().requestStatuses())
        if (request.isAwaited) ++awaitedByClass[request.requestClass];
    std::string failedText;
    for (const auto& [requestClass, count] : awaitedByClass)
        failedText += fmt::format(", {} {} failed unanswered", count, requestClass);
    logger_.logLifecycle(awaitedByClass.empty() ? LogLevel::info : LogLevel::warning,
                         fmt::format("{} stops; {} clients connected{}", config_.startup().name,
                                     dataPath_.clientListener().count(), failedText));
    dataPath_.dispatcher().failAll();
    dataPath_.clientListener().rejectHeldRequests();
    loop_.stop();
}

Nanos ProcessLifecycle::drainDuration() const {
    const Nanos configured = config_.operatorConfig().drainTimeout;
    return configured ? configured : config_.startup().maxRequestTimeout + kLastResponseMargin;
}

}  // namespace poppyscale::process
