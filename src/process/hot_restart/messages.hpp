// Conversion of the messages between the processes of one router during a hot restart from and to
// JSON. A message is one line that holds a JSON object; the field "do" holds the name of a request.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace poppyscale::process {

// Names of requests in the field "do".
inline constexpr std::string_view kPassSocketsRequest = "take-over";  // new process to old: pass the sockets
inline constexpr std::string_view kReadyRequest = "ready";            // new to old: ready to accept
inline constexpr std::string_view kFailureRequest = "refuse";         // new to old: will not take over
inline constexpr std::string_view kJoinRequest = "succeed";           // new to old: become peers
inline constexpr std::string_view kClientCountNotice = "holds";       // between peers, without an answer
inline constexpr std::string_view kOperatorCommandNotice = "word";    // between peers, without an answer

// The value of the field "do"; empty if the message has none. All reading functions throw
// nlohmann::json::exception for a malformed message.
std::string requestName(const nlohmann::json& message);

// The program in an operator's `upgrade` request, if any.
std::optional<std::string> readProgram(const nlohmann::json& message);

nlohmann::json passSocketsRequest();
// Sent by the old process before the descriptors of the clients' listening socket and, if there is
// a console, of the console's.
struct PassSocketsReply {
    std::string describedConfig;  // `ActiveConfig::describedFiles` of the old process
    bool hasConsole = false;
};
nlohmann::json toJson(const PassSocketsReply& reply);
PassSocketsReply readPassSocketsReply(const nlohmann::json& message);

nlohmann::json readyRequest(pid_t process);
pid_t readReadyProcess(const nlohmann::json& message);

nlohmann::json failureRequest(const std::string& reason);
std::string readFailureReason(const nlohmann::json& message);

// Answers to the two requests above and to the operator whose command started the hot restart.
nlohmann::json acknowledgement();
nlohmann::json errorReply(const std::string& problem);
nlohmann::json replacedReply(pid_t newProcess);

nlohmann::json joinRequest();
// `operatorState` is the result of `OperatorState::serialize`.
nlohmann::json joinReply(const std::string& operatorState);
std::string readJoinReply(const nlohmann::json& message);

nlohmann::json clientCountNotice(std::size_t clients);
std::size_t readClientCount(const nlohmann::json& message);

// A change of the operator state, as a line of the operator state file.
nlohmann::json operatorCommandNotice(const std::string& command);
std::string readOperatorCommand(const nlohmann::json& message);

}  // namespace poppyscale::process
