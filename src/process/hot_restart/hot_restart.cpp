#include "process/hot_restart/hot_restart.hpp"

#include <fmt/format.h>

#include <exception>
#include <utility>

#include "process/hot_restart/messages.hpp"

namespace poppyscale::process {
namespace {

using config::LogLevel;
using control::OperatorSession;

// Time from the start of a hot restart until the new process has to be ready.
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
    if (attempt_) return errorReply("a hot restart is in progress");
    if (!lifecycle_.isServing()) return errorReply("the process is already shutting down");
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
        if (attempt_) attempt_->requester = nullptr;  // the hot restart continues without it
    };
    log_(LogLevel::info,
         fmt::format("started {} as process {} for a hot restart", command[0], attempt.process->pid()));
    begin(std::move(attempt));
    return nullptr;
}

nlohmann::json HotRestart::onPassSocketsRequest(OperatorSession& session) {
    if (!lifecycle_.isServing()) return errorReply("the process is already shutting down");
    if (attempt_ && attempt_->newProcessSession)
        return errorReply("another new process has already requested the sockets");
    // The new process may have been started by a supervisor instead of this process.
    if (!attempt_) begin({});
    attempt_->newProcessSession = &session;
    session.onPeerClosed = [this] {
        if (!attempt_) return;
        attempt_->newProcessSession = nullptr;
        fail("the new process closed its connection before it was ready");
    };
    const auto console = callbacks_.consoleDescriptor();
    session.send(toJson(PassSocketsReply{config_.describedFiles(), console.has_value()}));
    bool isPassed = session.passDescriptor(dataPath_.clientListener().descriptor());
    if (isPassed && console) isPassed = session.passDescriptor(*console);
    if (!isPassed) fail("the listening sockets could not be passed");
    return nullptr;
}

nlohmann::json HotRestart::onNewProcessReady(OperatorSession& session, const nlohmann::json& message) {
    if (!isNewProcess(session)) return errorReply("this connection has not requested the listening sockets");
    // The request may be old and the new process may have closed its connection since;
    // `onPeerClosed` then fails the attempt.
    if (session.hasPeerClosed()) return nullptr;
    const Attempt attempt = end();
    session.onPeerClosed = {};
    if (attempt.process) attempt.process->release();
    const pid_t newProcess = readReadyProcess(message);
    log_(LogLevel::info,
         fmt::format("process {} has taken over the listening sockets; {} requests open in this process",
                     newProcess, dataPath_.dispatcher().openRequests()));
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
    fail("the new process can't take over: " + readFailureReason(message));
    return acknowledgement();
}

void HotRestart::onChildExited() {
    if (attempt_ && attempt_->process && attempt_->process->hasExited())
        fail("the new process exited before it was ready");
}

void HotRestart::onLeavingServing() {
    // A new process that became ready after the stop request would serve although the instance is
    // to stop.
    if (attempt_) fail("the old process received a stop request");
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
