#include "process/hot_restart/messages.hpp"

namespace poppyscale::process {
namespace {

constexpr const char* kName = "do";
constexpr const char* kProgram = "program";
constexpr const char* kDescribedConfig = "described";
constexpr const char* kHasConsole = "console";
constexpr const char* kProcess = "pid";
constexpr const char* kReason = "why";
constexpr const char* kAcknowledged = "ok";
constexpr const char* kError = "error";
constexpr const char* kReplacedBy = "taken_over_by";
constexpr const char* kOperatorState = "words";
constexpr const char* kClients = "clients";
constexpr const char* kOperatorCommand = "word";

}  // namespace

std::string requestName(const nlohmann::json& message) { return message.value(kName, ""); }

std::optional<std::string> readProgram(const nlohmann::json& message) {
    if (!message.contains(kProgram)) return std::nullopt;
    return message.at(kProgram).get<std::string>();
}

nlohmann::json passSocketsRequest() { return {{kName, kPassSocketsRequest}}; }

nlohmann::json toJson(const PassSocketsReply& reply) {
    return {{kDescribedConfig, reply.describedConfig}, {kHasConsole, reply.hasConsole}};
}

PassSocketsReply readPassSocketsReply(const nlohmann::json& message) {
    return {message.at(kDescribedConfig).get<std::string>(), message.value(kHasConsole, false)};
}

nlohmann::json readyRequest(pid_t process) { return {{kName, kReadyRequest}, {kProcess, process}}; }

pid_t readReadyProcess(const nlohmann::json& message) { return message.value(kProcess, 0); }

nlohmann::json failureRequest(const std::string& reason) {
    return {{kName, kFailureRequest}, {kReason, reason}};
}

std::string readFailureReason(const nlohmann::json& message) { return message.value(kReason, ""); }

nlohmann::json acknowledgement() { return {{kAcknowledged, true}}; }

nlohmann::json errorReply(const std::string& problem) { return {{kError, problem}}; }

nlohmann::json replacedReply(pid_t newProcess) { return {{kReplacedBy, newProcess}}; }

nlohmann::json joinRequest() { return {{kName, kJoinRequest}}; }

nlohmann::json joinReply(const std::string& operatorState) { return {{kOperatorState, operatorState}}; }

std::string readJoinReply(const nlohmann::json& message) {
    return message.at(kOperatorState).get<std::string>();
}

nlohmann::json clientCountNotice(std::size_t clients) {
    return {{kName, kClientCountNotice}, {kClients, clients}};
}

std::size_t readClientCount(const nlohmann::json& message) { return message.at(kClients).get<std::size_t>(); }

nlohmann::json operatorCommandNotice(const std::string& command) {
    return {{kName, kOperatorCommandNotice}, {kOperatorCommand, command}};
}

std::string readOperatorCommand(const nlohmann::json& message) {
    return message.at(kOperatorCommand).get<std::string>();
}

}  // namespace poppyscale::process
