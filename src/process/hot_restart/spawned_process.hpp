// The child process that is to replace this process in a hot restart.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace poppyscale::process {

// Owns a child process until it is released. The destructor kills a child process that still runs.
class SpawnedProcess {
  public:
    // Starts `commandLine`; the program is looked up in PATH. Throws std::runtime_error when it
    // can't be started.
    explicit SpawnedProcess(const std::vector<std::string>& commandLine);
    ~SpawnedProcess();
    SpawnedProcess(const SpawnedProcess&) = delete;
    SpawnedProcess& operator=(const SpawnedProcess&) = delete;

    // Whether the child process has exited; reaps it in that case.
    bool hasExited();
    // Leaves the child process running; the destructor does not kill it.
    void release() { pid_ = -1; }
    pid_t pid() const { return pid_; }

  private:
    pid_t pid_ = -1;
};

}  // namespace poppyscale::process
