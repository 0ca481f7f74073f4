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
    // All memory is allocated before the fork.
    std::vector<std::string> environmentStrings;
    for (char** at = environ; *at; ++at) {
        bool isOverridden = false;
        for (const auto& [name, value] : variables)
            isOverridden |= std::strncmp(*at, name.c_str(), name.size()) == 0 && (*at)[name.size()] == '=';
        if (!isOverridden) environmentStrings.emplace_back(*at);
    }
    for (const auto& [name, value] : variables) environmentStrings.push_back(name + "=" + value);
    std::vector<char*> environment;
    for (auto& entry : environmentStrings) environment.push_back(entry.data());
    environment.push_back(nullptr);
    std::string shellCommand = "exec " + command;
    std::string shell = "/bin/sh", flag = "-c";
    char* arguments[] = {shell.data(), flag.data(), shellCommand.data(), nullptr};
    const int logFd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t testbed = ::getpid();
    pid_ = ::fork();
    if (pid_ < 0) throw std::runtime_error(fmt::format("can't start a process: {}", std::strerror(errno)));
    if (pid_ == 0) {
        ::setpgid(0, 0);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != testbed) ::_exit(127);
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, nullptr);
        if (logFd >= 0) {
            ::dup2(logFd, 1);
            ::dup2(logFd, 2);
        }
        ::execve(arguments[0], arguments, environment.data());
        ::_exit(127);
    }
    ::setpgid(pid_, pid_);
    processGroup_ = pid_;
    if (logFd >= 0) ::close(logFd);
}

ChildProcess::~ChildProcess() {
    if (hasExited()) return;
    ::kill(-processGroup_, SIGKILL);
    predecessors_.push_back(pid_);
    // A replacing process becomes a child of the testbed when the process before it has exited.
    for (const pid_t p : predecessors_) ::waitpid(p, nullptr, 0);
}

void ChildProcess::replaceWith(pid_t newProcess) {
    predecessors_.push_back(pid_);
    pid_ = newProcess;
}

void ChildProcess::signal(int number) const {
    if (!exited_) ::kill(pid_, number);
}

bool ChildProcess::hasExited() {
    std::erase_if(predecessors_, [](pid_t p) { return ::waitpid(p, nullptr, WNOHANG) == p; });
    int status = 0;
    if (!exited_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        exited_ = true;
        exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        ::kill(-processGroup_, SIGKILL);  // processes that it may have left behind in its group
    }
    return exited_;
}

double ChildProcess::cpuSeconds() const {
    std::ifstream file(fmt::format("/proc/{}/stat", pid_));
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    const auto close = text.rfind(')');
    if (exited_ || close == std::string::npos) return 0;
    std::istringstream rest(text.substr(close + 1));
    std::string skipped;
    for (int i = 0; i < 11; ++i) rest >> skipped;
    double user = 0, system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double ChildProcess::memoryMb() const {
    std::ifstream file(fmt::format("/proc/{}/statm", pid_));
    double total = 0, resident = 0;
    file >> total >> resident;
    return exited_ ? 0 : resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

}  // namespace poppyscale::testbed
