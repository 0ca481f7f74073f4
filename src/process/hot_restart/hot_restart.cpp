#include "process/hot_restart/hot_restart.hpp"

#include <fmt/format.h>

#include <exception>
#include <utility>

#include "process/hot_restart/messages.hpp"

namespace poppyscale::process {
namespace {

using config::LogLevel;
using control::OperatorSession;

// Within which a new process has to be ready.
constexpr Nanos kReadyTimeout = 10'000 * kMillisecond;

}  // namespace

HotRestart::HotRestart(transport::EventLoop& loop, const ProcessLifecycle& lifecycle,
                       const DataPath& dataPath, const ActiveConfig& config,
                       std::vector<std::string> newProcessCommand, LogFunction log, Callbacks callbacks)
    : lifecycle_(lifecycle),
      dataPath_(dataPath),
      config_(config),
      newProcessCommand_(std::move(newProcessCommand)),
      log_(std::move(log)),
      callbacks_(std::move(callbacks)),
      timeout_(loop, [this] { fail("the new process was not ready in time"); }) {}

nlohmann::json HotRestart::onStartCommand(OperatorSession& session, const nlohmann::json& message) {
    if (attempt_) return errorReply("an upgrade is under way");
    if (!lifecycle_.isServing()) return errorReply("it leaves already");
    std::vector<std::string> command = newProcessCommand_;
    if (auto program = readProgram(message)) command[0] = std::move(*program);
    Attempt attempt;
    try {
        attempt.process = std::make_unique<SpawnedProcess>(command);
    } catch (const std::exception& problem) {
        return errorReply(problem.what());
    }
    attempt.requester = &session;
    session.onPeerClosed = [this] {
        if (attempt_) attempt_->requester = nullptr;  // nobody waits for the outcome, but it goes on
    };
    log_(LogLevel::info,
         fmt::format("started {} as process {} for a hot restart", command[0], attempt.process->pid()));
    begin(std::move(attempt));
    return nullptr;
}

nlohmann::json HotRestart::onPassSocketsRequest(OperatorSession& session) {
    if (!lifecycle_.isServing()) return errorReply("it leaves already");
    if (attempt_ && attempt_->newProcessSession) return errorReply("another process is taking over");
    // One that was not started from here may come too: a supervisor's.
    if (!attempt_) begin({});
    attempt_->newProcessSession = &session;
    session.onPeerClosed = [this] {
        if (!attempt_) return;
        attempt_->newProcessSession = nullptr;
        fail("the new process went before it was ready");
    };
    const auto console = callbacks_.consoleDescriptor();
    session.send(toJson(PassSocketsReply{config_.describedFiles(), console.has_value()}));
    bool isPassed = session.passDescriptor(dataPath_.clientListener().descriptor());
    if (isPassed && console) isPassed = session.passDescriptor(*console);
    if (!isPassed) fail("the listening sockets could not be passed");
    return nullptr;
}

nlohmann::json HotRestart::onNewProcessReady(OperatorSession& session, const nlohmann::json& message) {
    if (!isNewProcess(session)) return errorReply("nothing was taken over");
    // It may have reported this long ago, and closed since: the end of its connection fails the attempt.
    if (session.hasPeerClosed()) return nullptr;
    const Attempt attempt = end();
    session.onPeerClosed = {};
    if (attempt.process) attempt.process->release();
    const pid_t newProcess = readReadyProcess(message);
    log_(LogLevel::info, fmt::format("process {} takes over; {} requests open", newProcess,
                                     dataPath_.dispatcher().openRequests()));
    if (attempt.requester) {
        attempt.requester->onPeerClosed = {};
        attempt.requester->send(replacedReply(newProcess));
    }
    callbacks_.onReplaced();
    return acknowledgement();
}

std::optional<nlohmann::json> HotRestart::onNewProcessFailed(const OperatorSession& session,
                                                             const nlohmann::json& message) {
    if (!isNewProcess(session)) return std::nullopt;
    fail("the new process refuses: " + readFailureReason(message));
    return acknowledgement();
}

void HotRestart::onChildExited() {
    if (attempt_ && attempt_->process && attempt_->process->hasExited())
        fail("the new process ended before it was ready");
}

void HotRestart::onLeavingServing() {
    // A process that became ready only now would serve on where this one was to stop.
    if (attempt_) fail("the process that serves was told to stop");
}

void HotRestart::begin(Attempt attempt) {
    attempt_ = std::move(attempt);
    timeout_.start(transport::EventLoop::now() + kReadyTimeout);
}

HotRestart::Attempt HotRestart::end() {
    Attempt ended = std::move(*attempt_);
    attempt_.reset();
    timeout_.stop();
    return ended;
}

void HotRestart::fail(const std::string& problem) {
    const Attempt failed = end();
    log_(LogLevel::error, fmt::format("hot restart failed: {}", problem));
    if (failed.newProcessSession) failed.newProcessSession->onPeerClosed = {};
    if (failed.requester) {
        failed.requester->onPeerClosed = {};
        failed.requester->send(errorReply(problem));
    }
}

bool HotRestart::isNewProcess(const OperatorSession& session) const {
    return attempt_ && attempt_->newProcessSession == &session;
}

}  // namespace poppyscale::process
