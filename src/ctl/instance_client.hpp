// Typed requests of a fleet to an instance through its operators' socket, with their JSON keys.
#pragma once

#include <sys/types.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace poppyscale::ctl {

// What an instance says of itself.
struct InstanceStatus {
    pid_t pid = -1;
    bool isServing = false;
};

// How an upgrade went.
struct UpgradeResult {
    std::string problem;     // empty: the new process serves
    pid_t successorPid = 0;  // the new process; 0 where the instance did not name it
};

// All of these wait for the answer and throw std::exception (Unreachable, or an error of the JSON) where it
// does not come in time or not in the expected form. `socket` is the path of the instance's socket.

InstanceStatus requestStatus(const std::string& socket);
// The process id alone, from an instance that may be slow.
pid_t requestProcessId(const std::string& socket);
// Makes the instance read its configuration anew. False where it refuses, or where some of the changes need a
// restart.
bool requestReload(const std::string& socket);
// Replaces the instance's process by a new one of that program, which takes its sockets over. Waits for
// longer than the instance waits for the new process.
UpgradeResult requestUpgrade(const std::string& socket, const std::string& program);
// The metrics of all instances at once, null for each that does not answer in time. Throws nothing.
std::vector<nlohmann::json> requestMetrics(const std::vector<std::string>& sockets);

}  // namespace poppyscale::ctl
