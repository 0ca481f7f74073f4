#include "process/operator_commands.hpp"

#include <fmt/format.h>

#include <string>
#include <utility>

#include "process/hot_restart/messages.hpp"

namespace poppyscale::process {
namespace {

using control::OperatorSession;

constexpr std::size_t kMaxEchoedBytes = 40;

nlohmann::json unknownRequest(const std::string& name) {
    return errorReply(fmt::format("unknown request '{}'", name.substr(0, kMaxEchoedBytes)));
}

}  // namespace

const OperatorCommands::Command OperatorCommands::kCommands[] = {
    // The instance's state, configuration and endpoint list.
    {"status", &OperatorCommands::status},
    // Counters since the start.
    {"figures", &OperatorCommands::metrics},
    // The open requests.
    {"commands", &OperatorCommands::requests},
    // The endpoints and the routing policy's state of each.
    {"caches", &OperatorCommands::endpoints},
    // Reads the configuration again.
    {"reload", &OperatorCommands::reload},
    // Graceful shutdown.
    {"drain", &OperatorCommands::drain},
    // Immediate shutdown; open requests fail.
    {"stop", &OperatorCommands::stop},
    // Starts a new process that replaces this one.
    {"upgrade", &OperatorCommands::startHotRestart},
    // The three requests of a new process; see hot_restart/messages.hpp.
    {kPassSocketsRequest, &OperatorCommands::passSockets},
    {kReadyRequest, &OperatorCommands::completeHotRestart},
    {kFailureRequest, &OperatorCommands::failHotRestart},
};

OperatorCommands::OperatorCommands(StatusReport& report, ConfigReloader& reloader, HotRestart& hotRestart,
                                   ProcessLifecycle& lifecycle, DataPath& dataPath,
                                   std::function<void()> requestStop)
    : report_(report),
      reloader_(reloader),
      hotRestart_(hotRestart),
      lifecycle_(lifecycle),
      dataPath_(dataPath),
      requestStop_(std::move(requestStop)) {}

nlohmann::json OperatorCommands::handle(OperatorSession& session, const nlohmann::json& message) {
    const std::string name = requestName(message);
    for (const Command& command : kCommands)
        if (command.name == name) return (this->*command.handle)(session, message);
    return unknownRequest(name);
}

nlohmann::json OperatorCommands::status(OperatorSession&, const nlohmann::json&) { return report_.status(); }

nlohmann::json OperatorCommands::metrics(OperatorSession&, const nlohmann::json&) {
    return report_.metrics();
}

nlohmann::json OperatorCommands::requests(OperatorSession&, const nlohmann::json&) {
    return report_.requests();
}

nlohmann::json OperatorCommands::endpoints(OperatorSession&, const nlohmann::json&) {
    return report_.endpoints();
}

nlohmann::json OperatorCommands::reload(OperatorSession&, const nlohmann::json&) {
    const auto result = reloader_.reload(hotRestart_.isInProgress());
    if (result.error) return errorReply(*result.error);
    return {{"changed", result.difference.appliesNow}, {"waits", result.difference.needsRestart}};
}

nlohmann::json OperatorCommands::drain(OperatorSession&, const nlohmann::json&) {
    if (!lifecycle_.isServing()) return errorReply("the process is already shutting down");
    requestStop_();
    return {{"open", dataPath_.dispatcher().openRequests()}};
}

nlohmann::json OperatorCommands::stop(OperatorSession&, const nlohmann::json&) {
    const auto open = dataPath_.dispatcher().openRequests();
    lifecycle_.stopNow();
    return {{"open", open}};
}

nlohmann::json OperatorCommands::startHotRestart(OperatorSession& session, const nlohmann::json& message) {
    return hotRestart_.onStartCommand(session, message);
}

nlohmann::json OperatorCommands::passSockets(OperatorSession& session, const nlohmann::json&) {
    return hotRestart_.onPassSocketsRequest(session);
}

nlohmann::json OperatorCommands::completeHotRestart(OperatorSession& session, const nlohmann::json& message) {
    return hotRestart_.onNewProcessReady(session, message);
}

nlohmann::json OperatorCommands::failHotRestart(OperatorSession& session, const nlohmann::json& message) {
    auto answer = hotRestart_.onNewProcessFailed(session, message);
    if (!answer) return unknownRequest(requestName(message));
    return std::move(*answer);
}

}  // namespace poppyscale::process
