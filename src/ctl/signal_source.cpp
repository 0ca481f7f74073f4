#include "ctl/signal_source.hpp"

#include <signal.h>
#include <sys/signalfd.h>

namespace poppyscale::ctl {

SignalSource::SignalSource(std::initializer_list<int> signals) {
    sigset_t set;
    sigemptyset(&set);
    for (const int number : signals) sigaddset(&set, number);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    descriptor_ = FileDescriptor(::signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK));
}

std::optional<int> SignalSource::next() {
    signalfd_siginfo info{};
    if (::read(descriptor_.get(), &info, sizeof info) != sizeof info) return std::nullopt;
    return static_cast<int>(info.ssi_signo);
}

}  // namespace poppyscale::ctl
