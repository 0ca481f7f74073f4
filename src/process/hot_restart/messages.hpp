// The messages between the processes of one router during a hot restart: JSON words to types and back. A
// message is one line that holds a JSON object; requests name themselves in "do".
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace poppyscale::process {

// Names of requests, as they stand in "do".
inline constexpr std::string_view kPassSocketsRequest = "take-over";  // new process to old: pass the sockets
inline constexpr std::string_view kReadyRequest = "ready";            // new to old: accepts from now on
inline constexpr std::string_view kFailureRequest = "refuse";         // new to old: will not take over
inline constexpr std::string_view kJoinRequest = "succeed";           // new to old: become peers
inline constexpr std::string_view kClientCountNotice = "holds";       // between peers, without an answer
inline constexpr std::string_view kOperatorCommandNotice = "word";    // between peers, without an answer

// The name of a request; empty without one. All functions that read throw nlohmann::json::exception for a
// message of another form.
std::string requestName(const nlohmann::json& message);

// The program that an operator's `upgrade` names, if it names one.
std::optional<std::string> readProgram(const nlohmann::json& message);

nlohmann::json passSocketsRequest();
// What the old process answers before it sends the descriptors of the clients' listening socket and, if it
// has one, of the console's.
struct PassSocketsReply {
    std::string describedConfig;  // the configuration of the old process
    bool hasConsole = false;
};
nlohmann::json toJson(const PassSocketsReply& reply);
PassSocketsReply readPassSocketsReply(const nlohmann::json& message);

nlohmann::json readyRequest(pid_t process);
pid_t readReadyProcess(const nlohmann::json& message);

nlohmann::json failureRequest(const std::string& reason);
std::string readFailureReason(const nlohmann::json& message);

// Answers to the two requests above, and to the operator whose command began the hot restart.
nlohmann::json acknowledgement();
nlohmann::json errorReply(const std::string& problem);
nlohmann::json replacedReply(pid_t newProcess);

nlohmann::json joinRequest();
// The operators' state as `OperatorState::serialize` writes it.
nlohmann::json joinReply(const std::string& operatorState);
std::string readJoinReply(const nlohmann::json& message);

nlohmann::json clientCountNotice(std::size_t clients);
std::size_t readClientCount(const nlohmann::json& message);

// A command of an operator, as a line of the operators' state file.
nlohmann::json operatorCommandNotice(const std::string& command);
std::string readOperatorCommand(const nlohmann::json& message);

}  // namespace poppyscale::process
