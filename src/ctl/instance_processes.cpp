#include "ctl/instance_processes.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

namespace poppyscale::ctl {
namespace {

// RAII wrapper of posix_spawn_file_actions_t.
class SpawnFileActions {
  public:
    SpawnFileActions() { posix_spawn_file_actions_init(&actions_); }
    ~SpawnFileActions() { posix_spawn_file_actions_destroy(&actions_); }
    SpawnFileActions(const SpawnFileActions&) = delete;
    SpawnFileActions& operator=(const SpawnFileActions&) = delete;
    void appendStandardErrorTo(const std::string& file) {
        posix_spawn_file_actions_addopen(&actions_, STDERR_FILENO, file.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    const posix_spawn_file_actions_t* get() const { return &actions_; }

  private:
    posix_spawn_file_actions_t actions_{};
};

// RAII wrapper of posix_spawnattr_t.
class SpawnAttributes {
  public:
    SpawnAttributes() { posix_spawnattr_init(&attributes_); }
    ~SpawnAttributes() { posix_spawnattr_destroy(&attributes_); }
    SpawnAttributes(const SpawnAttributes&) = delete;
    SpawnAttributes& operator=(const SpawnAttributes&) = delete;
    void unblockSignalsInOwnGroup() {
        sigset_t none;
        sigemptyset(&none);
        posix_spawnattr_setsigmask(&attributes_, &none);
        posix_spawnattr_setpgroup(&attributes_, 0);
        posix_spawnattr_setflags(&attributes_, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETPGROUP);
    }
    const posix_spawnattr_t* get() const { return &attributes_; }

  private:
    posix_spawnattr_t attributes_{};
};

// True if the process has ended but its parent has not reaped it. Its process id is still in use then.
bool isZombie(pid_t pid) {
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string text;
    std::getline(file, text);
    const auto nameEnd = text.rfind(')');  // the state follows the program's name in parentheses
    return nameEnd != std::string::npos && nameEnd + 2 < text.size() && text[nameEnd + 2] == 'Z';
}

bool reap(pid_t child) { return ::waitpid(child, nullptr, WNOHANG) == child; }

}  // namespace

std::string programOf(pid_t pid) {
    char path[4096];
    const ssize_t size = ::readlink(fmt::format("/proc/{}/exe", pid).c_str(), path, sizeof path);
    return size > 0 ? std::string(path, static_cast<std::size_t>(size)) : "";
}

InstanceProcesses::InstanceProcesses(int instanceCount)
    : processes_(static_cast<std::size_t>(instanceCount)) {}

int InstanceProcesses::spawn(int instance, const std::string& program, const std::string& configFile,
                             const std::string& logFile) {
    std::vector<std::string> commandLine{program, "serve", "--operator", configFile};
    std::vector<char*> arguments;
    for (std::string& argument : commandLine) arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    SpawnFileActions files;
    files.appendStandardErrorTo(logFile);
    // In their own process groups the instances don't get the terminal's signals to the supervisor.
    SpawnAttributes attributes;
    attributes.unblockSignalsInOwnGroup();
    pid_t pid = -1;
    const int error =
        ::posix_spawn(&pid, program.c_str(), files.get(), attributes.get(), arguments.data(), environ);
    if (error != 0) {
        forget(instance);
        return error;
    }
    at(instance) = {pid, true, false};
    return 0;
}

void InstanceProcesses::attach(int instance, pid_t pid, bool isReady) {
    at(instance) = {pid, false, isReady};
}

void InstanceProcesses::adopt(int instance, pid_t successorPid) {
    Process& process = at(instance);
    if (successorPid <= 0 || successorPid == process.pid) return;
    if (process.isChild) drainingChildren_.push_back(process.pid);
    process.pid = successorPid;
    process.isChild = false;
}

bool InstanceProcesses::signal(int instance, int number) {
    Process& process = at(instance);
    process.isReady = false;
    if (process.pid <= 0) return false;
    ::kill(process.pid, number);
    return true;
}

bool InstanceProcesses::isAlive(int instance) {
    const Process& process = at(instance);
    if (process.isChild) return !reap(process.pid);
    return ::kill(process.pid, 0) == 0 && !isZombie(process.pid);
}

void InstanceProcesses::reapDraining() { std::erase_if(drainingChildren_, reap); }

}  // namespace poppyscale::ctl
