// Typed requests to an instance through its operators' socket. No other file of this folder uses their JSON
// keys, except for main.cpp, which sends an operator's request and prints the answer.
#pragma once

#include <sys/types.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace poppyscale::ctl {

// An instance's process and whether it serves requests, according to its own status.
struct InstanceStatus {
    pid_t pid = -1;
    bool isServing = false;
};

// Result of an upgrade: a hot restart of an instance with a given program.
struct UpgradeResult {
    std::string problem;     // empty: the new process serves
    pid_t successorPid = 0;  // the new process; 0 if the instance's answer did not name it
};

// Except for requestMetrics, these functions wait for the answer and throw std::exception (Unreachable or a
// JSON error) if it does not arrive in time or is not as expected. `socket` is the path of the instance's
// socket.

InstanceStatus requestStatus(const std::string& socket);
// Requests only the process id, with a longer timeout than requestStatus.
pid_t requestProcessId(const std::string& socket);
// Makes the instance reload its configuration. Returns false if it rejects the configuration or if some of
// the changes need a restart.
bool requestReload(const std::string& socket);
// Makes the instance start a new process of `program`, which takes over its sockets. The timeout is longer
// than the instance's own timeout for the new process.
UpgradeResult requestUpgrade(const std::string& socket, const std::string& program);
// Requests the metrics of all instances at once. Null stands for each instance that does not answer in time.
// Throws nothing.
std::vector<nlohmann::json> requestMetrics(const std::vector<std::string>& sockets);

}  // namespace poppyscale::ctl
