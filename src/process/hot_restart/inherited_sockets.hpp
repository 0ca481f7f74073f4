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
struct Silent : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A local socket on which one line asks and one answers, waiting for each.
class Caller {
  public:
    // Throws std::runtime_error, here and below, when the other process can't be had or is silent.
    Caller(const std::string& path, Nanos patience);
    ~Caller();
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

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
int askPredecessor(const std::string& path, Nanos patience, std::string& words);

class TakenOver {
  public:
    // Asks at the operator's socket `path` for the listening socket, and throws std::runtime_error with what
    // the other process says when it does not give it.
    explicit TakenOver(const std::string& path);
    ~TakenOver();
    TakenOver(const TakenOver&) = delete;
    TakenOver& operator=(const TakenOver&) = delete;

    // The listening socket; whoever asks has it from then on.
    int takeListener();
    int takeConsole();  // the operators' door's; below 0 when there is none
    bool isAt(const transport::Address& address) const;
    // What the other process has in force.
    const std::string& described() const { return described_; }
    // Tells it that all is up. When this returns it has stopped accepting; else it throws.
    void ready(const nlohmann::json& word);
    // Tells it why nothing comes of this: by the time our own log had it we might be ended.
    void refuse(const std::string& why) noexcept;

  private:
    int receive() const;

    Caller caller_;
    int listener_ = -1;
    int console_ = -1;
    std::string described_;
};

// The process that is to take over, ours to end until it is ready.
class Successor {
  public:
    explicit Successor(const std::vector<std::string>& commandLine);
    ~Successor();  // ends it unless it was let go
    Successor(const Successor&) = delete;
    Successor& operator=(const Successor&) = delete;

    bool ended();
    void letGo() { pid_ = -1; }
    pid_t pid() const { return pid_; }

  private:
    pid_t pid_ = -1;
};

// The clients' listening socket that the platform holds and this process inherited, by the number that
// $ROUTER_PASSED_SOCKET says; throws std::runtime_error that names it. No child inherits it.
int passedSocket(const std::string& said);

// A line to the service manager, by sd_notify's protocol, if one listens.
void notify(const std::string& words);

}  // namespace poppyscale::process
