// The processes of a fleet's instances.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace poppyscale::ctl {

// The path of the program that a process runs; empty where the system does not say.
std::string programOf(pid_t pid);

// Starts, signals and reaps the processes of a fleet's instances, at most one process of an instance at a
// time: a child of this process, or one that was started by another process and was attached or adopted.
//
// Guarantees: no child that has ended stays a zombie once isAlive or reapDraining was called after its end;
// processes outlive this object and the process, so that another supervisor finds them. Owns the process ids
// and what is known of their readiness. Not thread-safe.
class InstanceProcesses {
  public:
    explicit InstanceProcesses(int instanceCount);

    bool hasProcess(int instance) const { return at(instance).pid >= 0; }
    // -1 where it has none.
    pid_t pid(int instance) const { return at(instance).pid; }
    // It was reported ready, and was not signalled since.
    bool isReady(int instance) const { return at(instance).isReady; }
    void setReady(int instance) { at(instance).isReady = true; }

    // Starts `program` on an operator's configuration file, with its standard error appended to `logFile`, in
    // a process group of its own and with no signals blocked. 0, or the system's error number; then it has no
    // process.
    int spawn(int instance, const std::string& program, const std::string& configFile,
              const std::string& logFile);
    // A running process that is no child of this one is the instance from now on.
    void attach(int instance, pid_t pid, bool isReady);
    // After an upgrade the new process, a child of the old one, is the instance. The old one ends by itself
    // once it has drained. Nothing happens where `successorPid` is 0 or the same process.
    void adopt(int instance, pid_t successorPid);
    // Sends a signal; the instance counts as not ready from now on. False where it has no process.
    bool signal(int instance, int number);
    // Whether the instance's process runs; a child that has ended is reaped.
    bool isAlive(int instance);
    // The instance has no process any more.
    void forget(int instance) { at(instance) = {}; }
    // Reaps the children that have drained after an upgrade.
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
    std::vector<pid_t> drainingChildren_;  // replaced by an upgrade, not ended yet
};

}  // namespace poppyscale::ctl
