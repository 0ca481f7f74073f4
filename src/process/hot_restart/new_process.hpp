// Taking over the sockets of the process that serves, and starting the one that takes over ours. Both sides
// speak through the operator's socket; the new one does so before its loop runs, so it may wait.
#pragma once

#include <sys/types.h>

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "policy/routing_policy.hpp"
#include "transport/connection.hpp"

namespace poppyscale::process {

// No word in time, or none any more.
struct PeerUnresponsive : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A local socket on which one line asks and one answers, waiting for each.
class PeerClient {
  public:
    // Throws std::runtime_error, here and below, when the other process can't be had or is silent.
    PeerClient(const std::string& path, Nanos patience);
    ~PeerClient();
    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;

    void write(const nlohmann::json& word);
    // What the other process says against it is thrown too.
    nlohmann::json readLine();
    // Nothing more comes from here, which the other process sees.
    void finish() const;
    int descriptor() const { return socket_; }
    int release();  // it is the caller's from then on

  private:
    std::string readPartOfLine();

    int socket_ = -1;
};

// Asks the process that serves for what operators said to it. The connection, for what is said from now on,
// or below 0 when no process is there; throws when one is and does not answer.
int fetchOperatorState(const std::string& path, Nanos patience, std::string& words);

class InheritedSockets {
  public:
    // Asks at the operator's socket `path` for the listening socket, and throws std::runtime_error with what
    // the other process says when it does not give it.
    explicit InheritedSockets(const std::string& path);
    ~InheritedSockets();
    InheritedSockets(const InheritedSockets&) = delete;
    InheritedSockets& operator=(const InheritedSockets&) = delete;

    // The listening socket; whoever asks has it from then on.
    int takeListener();
    int takeConsole();  // the operators' door's; below 0 when there is none
    bool isAt(const transport::Address& address) const;
    // What the other process has in force.
    const std::string& describedConfig() const { return describedConfig_; }
    // Tells it that all is up. When this returns it has stopped accepting; else it throws.
    void reportReady(const nlohmann::json& word);
    // Tells it why nothing comes of this: by the time our own log had it we might be ended.
    void reportFailure(const std::string& why) noexcept;

  private:
    int receive() const;

    PeerClient caller_;
    int listener_ = -1;
    int console_ = -1;
    std::string describedConfig_;
};

// The process that is to take over, ours to end until it is ready.
class NewProcess {
  public:
    explicit NewProcess(const std::vector<std::string>& commandLine);
    ~NewProcess();  // ends it unless it was let go
    NewProcess(const NewProcess&) = delete;
    NewProcess& operator=(const NewProcess&) = delete;

    bool hasExited();
    void release() { pid_ = -1; }
    pid_t pid() const { return pid_; }

  private:
    pid_t pid_ = -1;
};

// The clients' listening socket that the platform holds and this process inherited, by the number that
// $ROUTER_PASSED_SOCKET says; throws std::runtime_error that names it. No child inherits it.
int passedListener(const std::string& said);

// A line to the service manager, by sd_notify's protocol, if one listens.
void notifyServiceManager(const std::string& words);

}  // namespace poppyscale::process
