#include "process/hot_restart/spawned_process.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <stdexcept>

namespace poppyscale::process {

SpawnedProcess::SpawnedProcess(const std::vector<std::string>& commandLine) {
    std::vector<std::string> arguments = commandLine;
    std::vector<char*> argumentPointers;
    for (auto& argument : arguments) argumentPointers.push_back(argument.data());
    argumentPointers.push_back(nullptr);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t noSignals;
    sigemptyset(&noSignals);
    posix_spawnattr_setsigmask(&attributes, &noSignals);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    const int error =
        ::posix_spawnp(&pid_, argumentPointers[0], nullptr, &attributes, argumentPointers.data(), environ);
    posix_spawnattr_destroy(&attributes);
    if (error)
        throw std::runtime_error(fmt::format("can't start {}: {}", arguments[0], std::strerror(error)));
}

SpawnedProcess::~SpawnedProcess() {
    if (pid_ < 0 || hasExited()) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
}

bool SpawnedProcess::hasExited() {
    if (pid_ < 0) return true;
    if (::waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
}

}  // namespace poppyscale::process
