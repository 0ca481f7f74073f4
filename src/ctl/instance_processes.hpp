// The processes of a fleet's instances.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace poppyscale::ctl {

// The path of the program that a process runs; empty if it can't be read.
std::string programOf(pid_t pid);

// Starts, signals and reaps the processes of a fleet's instances. An instance has at most one process: a
// child of this process, or a process that was started by another one and then attached or adopted.
//
// Guarantees: a child that has ended stays a zombie only until the next call of isAlive or reapDraining. The
// instances' processes outlive this object and its process, so that another supervisor finds them. Owns the
// process ids and their readiness. Not thread-safe.
class InstanceProcesses {
  public:
    explicit InstanceProcesses(int instanceCount);

    bool hasProcess(int instance) const { return at(instance).pid >= 0; }
    // -1 if the instance has no process.
    pid_t pid(int instance) const { return at(instance).pid; }
    // True if the process was reported ready and has not been signalled since.
    bool isReady(int instance) const { return at(instance).isReady; }
    void setReady(int instance) { at(instance).isReady = true; }

    // Starts `program` with an operator's configuration file, with its standard error appended to `logFile`,
    // in its own process group and with no signals blocked. Returns 0, or errno of the failure; the instance
    // then has no process.
    int spawn(int instance, const std::string& program, const std::string& configFile,
              const std::string& logFile);
    // Makes a running process that is not a child of this one the instance's process.
    void attach(int instance, pid_t pid, bool isReady);
    // Makes the new process of a hot restart, a child of the old one, the instance's process. The old process
    // exits on its own once it has drained. Has no effect if `successorPid` is 0 or the current process.
    void adopt(int instance, pid_t successorPid);
    // Sends a signal and marks the instance as not ready. Returns false if it has no process.
    bool signal(int instance, int number);
    // True if the instance's process runs. Reaps a child that has ended.
    bool isAlive(int instance);
    // Records that the instance has no process.
    void forget(int instance) { at(instance) = {}; }
    // Reaps the old processes of hot restarts that have exited.
    void reapDraining();

  private:
    struct Process {
        pid_t pid = -1;
        bool isChild = false;
        bool isReady = false;
    };
    Process& at(int instance) { return processes_[static_cast<std::size_t>(instance)]; }
    const Process& at(int instance) const { return processes_[static_cast<std::size_t>(instance)]; }

    std::vector<Process> processes_;
    std::vector<pid_t> drainingChildren_;  // old processes of hot restarts, not reaped yet
};

}  // namespace poppyscale::ctl
