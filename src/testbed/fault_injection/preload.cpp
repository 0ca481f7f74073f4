// Library that the testbed loads into a router (LD_PRELOAD). It fails system calls as the mapped plan says,
// shifts the wall clock and delays iterations of the event loop. Random draws depend on the plan's seed, the
// router's name and the number of earlier draws only, so the same sequence of calls gets the same failures.
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>

#include "testbed/fault_injection/fault_plan.hpp"

namespace {

using namespace poppyscale::testbed::fault_injection;

InjectionPlan* plan() {
    // No lock is needed: if two threads get here at once, the file is mapped twice, which is harmless.
    static std::atomic<InjectionPlan*> mapped{nullptr};
    static std::atomic<bool> isLoaded{false};
    if (isLoaded.load(std::memory_order_acquire)) return mapped.load(std::memory_order_acquire);
    const char* const path = ::getenv(kPlanVariable);
    InjectionPlan* loaded = nullptr;
    if (path) {
        const long fd = ::syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC);
        if (fd >= 0) {
            void* const at = ::mmap(nullptr, sizeof(InjectionPlan), PROT_READ | PROT_WRITE, MAP_SHARED,
                                    static_cast<int>(fd), 0);
            ::syscall(SYS_close, fd);
            if (at != MAP_FAILED) loaded = static_cast<InjectionPlan*>(at);
        }
        if (loaded && loaded->format != kFormat) loaded = nullptr;
    }
    mapped.store(loaded, std::memory_order_release);
    isLoaded.store(true, std::memory_order_release);
    return loaded;
}

// A value that differs by router name, so that the routers of a fleet do not fail at the same calls.
std::uint64_t processSalt() {
    static const std::uint64_t salt = [] {
        std::uint64_t hash = 14695981039346656037ULL;
        const char* name = ::getenv("ROUTER_NAME");
        for (; name && *name; ++name) hash = (hash ^ static_cast<unsigned char>(*name)) * 1099511628211ULL;
        return hash;
    }();
    return salt;
}

std::uint64_t draw() {
    static std::atomic<std::uint64_t> count{0};
    std::uint64_t x = ((static_cast<std::uint64_t>(plan()->seed.load()) << 32) ^ processSalt()) + ++count;
    x ^= x >> 30;
    x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27;
    x *= 0x94d049bb133111ebULL;
    return x ^ x >> 31;
}

FaultEffect drawEffect(SystemCall call) {
    InjectionPlan* const faultPlan = plan();
    if (!faultPlan) return FaultEffect::none;
    const auto callIndex = static_cast<std::size_t>(call);
    std::uint32_t drawn = 0;
    bool hasDrawn = false;
    for (std::size_t effect = 1; effect < kFaultEffects; ++effect) {
        const std::uint32_t share = faultPlan->share[callIndex][effect].load(std::memory_order_relaxed);
        if (share == 0) continue;
        if (!hasDrawn) drawn = static_cast<std::uint32_t>(draw() % kShareUnit);
        hasDrawn = true;
        if (drawn < share) {
            faultPlan->occurrences[callIndex][effect].fetch_add(1, std::memory_order_relaxed);
            return static_cast<FaultEffect>(effect);
        }
        drawn -= share;
    }
    return FaultEffect::none;
}

int errnoOf(FaultEffect effect) {
    switch (effect) {
        case FaultEffect::interrupted:
            return EINTR;
        case FaultEffect::aborted:
            return ECONNABORTED;
        case FaultEffect::fileTableFull:
            return ENFILE;
        case FaultEffect::noBuffers:
            return ENOBUFS;
        case FaultEffect::noMemory:
            return ENOMEM;
        case FaultEffect::noAddress:
            return EADDRNOTAVAIL;
        case FaultEffect::networkUnreachable:
            return ENETUNREACH;
        case FaultEffect::hostUnreachable:
            return EHOSTUNREACH;
        case FaultEffect::timedOut:
            return ETIMEDOUT;
        case FaultEffect::tryAgain:
            return EAGAIN;
        case FaultEffect::noSpace:
            return ENOSPC;
        case FaultEffect::inputOutput:
            return EIO;
        case FaultEffect::none:
        case FaultEffect::partial:
        case FaultEffect::count:
            break;
    }
    return 0;
}

// Returns whether the call has to fail now, and sets errno in that case.
bool injectError(FaultEffect effect) {
    const int error = errnoOf(effect);
    if (error != 0) errno = error;
    return error != 0;
}

// By descriptor, whether this process connected the socket. On such a socket a permanent read or write error
// stands for a failure of the server or the network. On a client's socket it would lose the response that the
// router owes.
constexpr int kMaxDescriptors = 65'536;
std::atomic<bool> isUpstreamSocket[kMaxDescriptors];

void recordSocket(int fd, bool isUpstream) {
    if (fd >= 0 && fd < kMaxDescriptors) isUpstreamSocket[fd].store(isUpstream, std::memory_order_relaxed);
}

bool isPermanent(FaultEffect effect) {
    return effect == FaultEffect::timedOut || effect == FaultEffect::hostUnreachable ||
           effect == FaultEffect::networkUnreachable || effect == FaultEffect::inputOutput;
}

bool mayInject(int fd, FaultEffect effect) {
    return !isPermanent(effect) ||
           (fd >= 0 && fd < kMaxDescriptors && isUpstreamSocket[fd].load(std::memory_order_relaxed));
}

bool isSocket(int fd) {
    struct stat at {};
    return ::fstat(fd, &at) == 0 && S_ISSOCK(at.st_mode);
}

bool isFile(int fd) {
    struct stat at {};
    return ::fstat(fd, &at) == 0 && S_ISREG(at.st_mode);
}

std::size_t shortLength(std::size_t size) { return std::min<std::size_t>(size, 1 + draw() % 7); }

void delayIteration() {
    InjectionPlan* const faultPlan = plan();
    if (!faultPlan) return;
    const std::uint32_t share = faultPlan->delayShare.load(std::memory_order_relaxed);
    const std::int64_t longest = faultPlan->maxDelay.load(std::memory_order_relaxed);
    if (share == 0 || longest <= 0 || draw() % kShareUnit >= share) return;
    const std::int64_t ns =
        longest / 3 + static_cast<std::int64_t>(draw() % static_cast<std::uint64_t>(longest)) * 2 / 3;
    const timespec wait{ns / 1'000'000'000, ns % 1'000'000'000};
    ::syscall(SYS_nanosleep, &wait, nullptr);
    faultPlan->delays.fetch_add(1, std::memory_order_relaxed);
}

ssize_t readWithFaults(int fd, const iovec* parts, int count) {
    const FaultEffect effect = isSocket(fd) ? drawEffect(SystemCall::read) : FaultEffect::none;
    if (mayInject(fd, effect) && injectError(effect)) return -1;
    if (effect == FaultEffect::partial && count > 0)
        return ::syscall(SYS_read, fd, parts[0].iov_base, shortLength(parts[0].iov_len));
    return ::syscall(SYS_readv, fd, parts, count);
}

ssize_t writeWithFaults(int fd, const iovec* parts, int count) {
    const bool file = isFile(fd);
    const FaultEffect effect = file           ? drawEffect(SystemCall::fileWrite)
                               : isSocket(fd) ? drawEffect(SystemCall::write)
                                              : FaultEffect::none;
    if ((file || mayInject(fd, effect)) && injectError(effect)) return -1;
    if (effect == FaultEffect::partial && count > 0) {
        const std::size_t size =
            file ? std::max<std::size_t>(parts[0].iov_len / 2, 1) : shortLength(parts[0].iov_len);
        return ::syscall(SYS_write, fd, parts[0].iov_base, std::min(size, parts[0].iov_len));
    }
    return ::syscall(SYS_writev, fd, parts, count);
}

int openWithFaults(int directory, const char* path, int flags, mode_t mode) {
    const bool writes = (flags & O_ACCMODE) != O_RDONLY;
    if (writes && injectError(drawEffect(SystemCall::open))) return -1;
    return static_cast<int>(::syscall(SYS_openat, directory, path, flags, mode));
}

mode_t modeOf(int flags, va_list rest) { return flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0; }

int acceptWithFaults(int fd, sockaddr* at, socklen_t* size, int flags) {
    if (injectError(drawEffect(SystemCall::accept))) return -1;
    const auto accepted = static_cast<int>(::syscall(SYS_accept4, fd, at, size, flags));
    recordSocket(accepted, false);
    return accepted;
}

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* at, socklen_t* size, int flags) {
    return acceptWithFaults(fd, at, size, flags);
}
int accept(int fd, sockaddr* at, socklen_t* size) { return acceptWithFaults(fd, at, size, 0); }

int socket(int domain, int type, int protocol) noexcept {
    if (domain == AF_INET && injectError(drawEffect(SystemCall::socket))) return -1;
    return static_cast<int>(::syscall(SYS_socket, domain, type, protocol));
}

int connect(int fd, const sockaddr* at, socklen_t size) {
    if (at->sa_family == AF_INET && injectError(drawEffect(SystemCall::connect))) return -1;
    recordSocket(fd, at->sa_family == AF_INET);
    return static_cast<int>(::syscall(SYS_connect, fd, at, size));
}

int bind(int fd, const sockaddr* at, socklen_t size) noexcept {
    if (injectError(drawEffect(SystemCall::bind))) return -1;
    return static_cast<int>(::syscall(SYS_bind, fd, at, size));
}

int listen(int fd, int backlog) noexcept {
    if (injectError(drawEffect(SystemCall::listen))) return -1;
    return static_cast<int>(::syscall(SYS_listen, fd, backlog));
}

ssize_t read(int fd, void* to, size_t size) {
    const iovec part{to, size};
    return readWithFaults(fd, &part, 1);
}
ssize_t readv(int fd, const iovec* parts, int count) { return readWithFaults(fd, parts, count); }

ssize_t write(int fd, const void* from, size_t size) {
    const iovec part{const_cast<void*>(from), size};
    return writeWithFaults(fd, &part, 1);
}
ssize_t writev(int fd, const iovec* parts, int count) { return writeWithFaults(fd, parts, count); }

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
    // A message that carries a descriptor can't be sent in parts, so nothing is injected there.
    const FaultEffect effect =
        message->msg_controllen == 0 && isSocket(fd) ? drawEffect(SystemCall::write) : FaultEffect::none;
    if (mayInject(fd, effect) && injectError(effect)) return -1;
    if (effect == FaultEffect::partial && message->msg_iovlen > 0)
        return ::syscall(SYS_sendto, fd, message->msg_iov[0].iov_base,
                         shortLength(message->msg_iov[0].iov_len), flags, nullptr, 0);
    return ::syscall(SYS_sendmsg, fd, message, flags);
}

int epoll_wait(int fd, epoll_event* events, int maxEvents, int timeout) {
    delayIteration();
    if (injectError(drawEffect(SystemCall::pollWait))) return -1;
    return static_cast<int>(::syscall(SYS_epoll_pwait, fd, events, maxEvents, timeout, nullptr, 8));
}
int epoll_pwait(int fd, epoll_event* events, int maxEvents, int timeout, const sigset_t* mask) {
    delayIteration();
    if (injectError(drawEffect(SystemCall::pollWait))) return -1;
    return static_cast<int>(::syscall(SYS_epoll_pwait, fd, events, maxEvents, timeout, mask, 8));
}

int open(const char* path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    const mode_t mode = modeOf(flags, rest);
    va_end(rest);
    return openWithFaults(AT_FDCWD, path, flags, mode);
}
int open64(const char* path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    const mode_t mode = modeOf(flags, rest);
    va_end(rest);
    return openWithFaults(AT_FDCWD, path, flags, mode);
}

int fsync(int fd) {
    if (injectError(drawEffect(SystemCall::sync))) return -1;
    return static_cast<int>(::syscall(SYS_fsync, fd));
}
int fdatasync(int fd) {
    if (injectError(drawEffect(SystemCall::sync))) return -1;
    return static_cast<int>(::syscall(SYS_fdatasync, fd));
}

int rename(const char* from, const char* to) noexcept {
    if (injectError(drawEffect(SystemCall::rename))) return -1;
    return static_cast<int>(::syscall(SYS_renameat, AT_FDCWD, from, AT_FDCWD, to));
}

ssize_t getrandom(void* to, size_t size, unsigned flags) {
    const FaultEffect effect = drawEffect(SystemCall::random);
    if (injectError(effect)) return -1;
    return ::syscall(SYS_getrandom, to, effect == FaultEffect::partial ? shortLength(size) : size, flags);
}

int clock_gettime(clockid_t id, timespec* at) noexcept {
    const long result = ::syscall(SYS_clock_gettime, id, at);
    const InjectionPlan* const faultPlan = plan();
    if (result != 0 || !faultPlan || (id != CLOCK_REALTIME && id != CLOCK_REALTIME_COARSE))
        return static_cast<int>(result);
    const std::int64_t shiftedTime =
        at->tv_sec * 1'000'000'000L + at->tv_nsec + faultPlan->wallOffset.load(std::memory_order_relaxed);
    at->tv_sec = shiftedTime / 1'000'000'000;
    at->tv_nsec = shiftedTime % 1'000'000'000;
    return 0;
}

int gettimeofday(timeval* at, void*) noexcept {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    at->tv_sec = now.tv_sec;
    at->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t* at) noexcept {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    if (at) *at = now.tv_sec;
    return now.tv_sec;
}

}  // extern "C"
