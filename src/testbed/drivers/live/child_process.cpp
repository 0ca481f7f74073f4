#include "testbed/drivers/live/child_process.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace poppyscale::testbed {

ChildProcess::ChildProcess(const std::string& command,
                           const std::vector<std::pair<std::string, std::string>>& variables,
                           const std::string& log) {
    // All that allocates is done before the fork.
    std::vector<std::string> held;
    for (char** at = environ; *at; ++at) {
        bool set = false;
        for (const auto& [name, value] : variables)
            set |= std::strncmp(*at, name.c_str(), name.size()) == 0 && (*at)[name.size()] == '=';
        if (!set) held.emplace_back(*at);
    }
    for (const auto& [name, value] : variables) held.push_back(name + "=" + value);
    std::vector<char*> environment;
    for (auto& one : held) environment.push_back(one.data());
    environment.push_back(nullptr);
    std::string line = "exec " + command;
    std::string shell = "/bin/sh", flag = "-c";
    char* arguments[] = {shell.data(), flag.data(), line.data(), nullptr};
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t lab = ::getpid();
    pid_ = ::fork();
    if (pid_ < 0) throw std::runtime_error(fmt::format("can't start a process: {}", std::strerror(errno)));
    if (pid_ == 0) {
        ::setpgid(0, 0);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != lab) ::_exit(127);
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, nullptr);
        if (out >= 0) {
            ::dup2(out, 1);
            ::dup2(out, 2);
        }
        ::execve(arguments[0], arguments, environment.data());
        ::_exit(127);
    }
    ::setpgid(pid_, pid_);
    group_ = pid_;
    if (out >= 0) ::close(out);
}

ChildProcess::~ChildProcess() {
    if (hasExited()) return;
    ::kill(-group_, SIGKILL);
    before_.push_back(pid_);
    // A new process is ours to wait for once the one before it is gone.
    for (const pid_t p : before_) ::waitpid(p, nullptr, 0);
}

void ChildProcess::replaceWith(pid_t newProcess) {
    before_.push_back(pid_);
    pid_ = newProcess;
}

void ChildProcess::signal(int number) const {
    if (!ended_) ::kill(pid_, number);
}

bool ChildProcess::hasExited() {
    std::erase_if(before_, [](pid_t p) { return ::waitpid(p, nullptr, WNOHANG) == p; });
    int status = 0;
    if (!ended_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        ended_ = true;
        exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        ::kill(-group_, SIGKILL);  // what it may have left behind in its group
    }
    return ended_;
}

double ChildProcess::cpuSeconds() const {
    std::ifstream file(fmt::format("/proc/{}/stat", pid_));
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    const auto close = text.rfind(')');
    if (ended_ || close == std::string::npos) return 0;
    std::istringstream rest(text.substr(close + 1));
    std::string skipped;
    for (int i = 0; i < 11; ++i) rest >> skipped;
    double user = 0, system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double ChildProcess::memoryMb() const {
    std::ifstream file(fmt::format("/proc/{}/statm", pid_));
    double all = 0, resident = 0;
    file >> all >> resident;
    return ended_ ? 0 : resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

}  // namespace poppyscale::testbed
