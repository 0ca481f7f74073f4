// The child process that is to replace this one.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace poppyscale::process {

// Owns a child process until it is released: one that still runs is killed when this is destroyed.
class SpawnedProcess {
  public:
    // Starts `commandLine`, found by PATH. Throws std::runtime_error when the system can't start it.
    explicit SpawnedProcess(const std::vector<std::string>& commandLine);
    ~SpawnedProcess();
    SpawnedProcess(const SpawnedProcess&) = delete;
    SpawnedProcess& operator=(const SpawnedProcess&) = delete;

    // Whether it has exited; reaps it then.
    bool hasExited();
    // It lives on by itself.
    void release() { pid_ = -1; }
    pid_t pid() const { return pid_; }

  private:
    pid_t pid_ = -1;
};

}  // namespace poppyscale::process
