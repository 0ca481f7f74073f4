// A program that the testbed starts, in its own process group. It is killed at the latest when the
// testbed exits.
#pragma once

#include <sys/types.h>

#include <string>
#include <utility>
#include <vector>

namespace poppyscale::testbed {

class ChildProcess {
  public:
    // Runs `command` by the shell with `variables` added to the environment. Its output is appended
    // to the file `log`.
    ChildProcess(const std::string& command,
                 const std::vector<std::pair<std::string, std::string>>& variables, const std::string& log);
    ~ChildProcess();  // kills the whole process group
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void signal(int number) const;
    // `newProcess`, a child of the process in the same group, takes its place (hot restart). The
    // testbed becomes its parent when the old process exits.
    void replaceWith(pid_t newProcess);
    // Whether the process has exited; does not block.
    bool hasExited();
    // Valid after the exit: the exit code, or 128 plus the signal number if a signal ended the
    // process.
    int exitCode() const { return exitCode_; }
    pid_t pid() const { return pid_; }
    // User and system CPU time used so far, in seconds; 0 after the exit.
    double cpuSeconds() const;
    // Resident memory in MB; 0 after the exit.
    double memoryMb() const;

  private:
    pid_t pid_ = -1;
    pid_t processGroup_ = -1;
    std::vector<pid_t> predecessors_;  // replaced processes whose exit has not been collected yet
    bool exited_ = false;
    int exitCode_ = 0;
};

}  // namespace poppyscale::testbed
