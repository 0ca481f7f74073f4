// A program that the testbed starts: its own process group, gone at the latest with the testbed itself.
#pragma once

#include <sys/types.h>

#include <string>
#include <utility>
#include <vector>

namespace poppyscale::testbed {

class ChildProcess {
  public:
    // Runs `command` by the shell with these variables added; what it says goes to the file `log`.
    ChildProcess(const std::string& command,
                 const std::vector<std::pair<std::string, std::string>>& variables, const std::string& log);
    ~ChildProcess();  // kills what is left of it
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void signal(int number) const;
    // Another process of its group goes on in its place: its own child, that will be ours when it has ended.
    void replaceWith(pid_t newProcess);
    // Whether it has ended; asks the system once.
    bool hasExited();
    // Once it has: as a shell tells it, 128 and the signal's number where one ended it.
    int exitCode() const { return exitCode_; }
    pid_t pid() const { return pid_; }
    // CPU time that it has used so far, user and system, in seconds; 0 once it has ended.
    double cpuSeconds() const;
    // Resident memory in MB.
    double memoryMb() const;

  private:
    pid_t pid_ = -1;
    pid_t group_ = -1;
    std::vector<pid_t> before_;  // those that it has been, not yet seen to end
    bool ended_ = false;
    int exitCode_ = 0;
};

}  // namespace poppyscale::testbed
