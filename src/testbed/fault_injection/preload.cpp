// Loaded into a router by the testbed (LD_PRELOAD): its system calls fail as the mapped plan says, its wall
// clock is stepped, and it is held up between two turns. Draws are a function of the plan's seed and a count
// of calls, so a process that does the same meets the same.
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

FaultPlan* plan() {
    // Without a guard: two threads at once map it twice, which does no harm.
    static std::atomic<FaultPlan*> mapped{nullptr};
    static std::atomic<bool> looked{false};
    if (looked.load(std::memory_order_acquire)) return mapped.load(std::memory_order_acquire);
    const char* const path = ::getenv(kPlanVariable);
    FaultPlan* made = nullptr;
    if (path) {
        const long fd = ::syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC);
        if (fd >= 0) {
            void* const at = ::mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED,
                                    static_cast<int>(fd), 0);
            ::syscall(SYS_close, fd);
            if (at != MAP_FAILED) made = static_cast<FaultPlan*>(at);
        }
        if (made && made->format != kFormat) made = nullptr;
    }
    mapped.store(made, std::memory_order_release);
    looked.store(true, std::memory_order_release);
    return made;
}

// Another one for each process, by its name, so that a fleet does not fail in step.
std::uint64_t ownSalt() {
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
    std::uint64_t x = ((static_cast<std::uint64_t>(plan()->seed.load()) << 32) ^ ownSalt()) + ++count;
    x ^= x >> 30;
    x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27;
    x *= 0x94d049bb133111ebULL;
    return x ^ x >> 31;
}

FaultEffect wayFor(SystemCall call) {
    FaultPlan* const p = plan();
    if (!p) return FaultEffect::none;
    const auto c = static_cast<std::size_t>(call);
    std::uint32_t drawn = 0;
    bool hasDrawn = false;
    for (std::size_t w = 1; w < kFaultEffects; ++w) {
        const std::uint32_t share = p->share[c][w].load(std::memory_order_relaxed);
        if (share == 0) continue;
        if (!hasDrawn) drawn = static_cast<std::uint32_t>(draw() % kOne);
        hasDrawn = true;
        if (drawn < share) {
            p->occurrences[c][w].fetch_add(1, std::memory_order_relaxed);
            return static_cast<FaultEffect>(w);
        }
        drawn -= share;
    }
    return FaultEffect::none;
}

int errorOf(FaultEffect way) {
    switch (way) {
        case FaultEffect::interrupted:
            return EINTR;
        case FaultEffect::aborted:
            return ECONNABORTED;
        case FaultEffect::noFiles:
            return ENFILE;
        case FaultEffect::noBuffers:
            return ENOBUFS;
        case FaultEffect::noMemory:
            return ENOMEM;
        case FaultEffect::noAddress:
            return EADDRNOTAVAIL;
        case FaultEffect::unreachable:
            return ENETUNREACH;
        case FaultEffect::noHost:
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

// Whether the call is to fail now, with errno set.
bool fails(FaultEffect way) {
    const int error = errorOf(way);
    if (error != 0) errno = error;
    return error != 0;
}

// Sockets that this process has connected: a read or write that fails for good there is a server's or the
// network's failure, while on a client's socket it would take the answer away that is owed.
constexpr int kMostDescriptors = 65'536;
std::atomic<bool> connectedOut[kMostDescriptors];

void noteDescriptor(int fd, bool out) {
    if (fd >= 0 && fd < kMostDescriptors) connectedOut[fd].store(out, std::memory_order_relaxed);
}

bool isFinal(FaultEffect way) {
    return way == FaultEffect::timedOut || way == FaultEffect::noHost || way == FaultEffect::unreachable ||
           way == FaultEffect::inputOutput;
}

bool mayFail(int fd, FaultEffect way) {
    return !isFinal(way) ||
           (fd >= 0 && fd < kMostDescriptors && connectedOut[fd].load(std::memory_order_relaxed));
}

bool isSocket(int fd) {
    struct stat at {};
    return ::fstat(fd, &at) == 0 && S_ISSOCK(at.st_mode);
}

bool isFile(int fd) {
    struct stat at {};
    return ::fstat(fd, &at) == 0 && S_ISREG(at.st_mode);
}

std::size_t few(std::size_t wanted) { return std::min<std::size_t>(wanted, 1 + draw() % 7); }

void holdUp() {
    FaultPlan* const p = plan();
    if (!p) return;
    const std::uint32_t share = p->delayShare.load(std::memory_order_relaxed);
    const std::int64_t longest = p->maxDelay.load(std::memory_order_relaxed);
    if (share == 0 || longest <= 0 || draw() % kOne >= share) return;
    const std::int64_t ns =
        longest / 3 + static_cast<std::int64_t>(draw() % static_cast<std::uint64_t>(longest)) * 2 / 3;
    const timespec wait{ns / 1'000'000'000, ns % 1'000'000'000};
    ::syscall(SYS_nanosleep, &wait, nullptr);
    p->delays.fetch_add(1, std::memory_order_relaxed);
}

ssize_t readSome(int fd, const iovec* parts, int count) {
    const FaultEffect way = isSocket(fd) ? wayFor(SystemCall::read) : FaultEffect::none;
    if (mayFail(fd, way) && fails(way)) return -1;
    if (way == FaultEffect::partial && count > 0)
        return ::syscall(SYS_read, fd, parts[0].iov_base, few(parts[0].iov_len));
    return ::syscall(SYS_readv, fd, parts, count);
}

ssize_t writeSome(int fd, const iovec* parts, int count) {
    const bool file = isFile(fd);
    const FaultEffect way = file           ? wayFor(SystemCall::fileWrite)
                            : isSocket(fd) ? wayFor(SystemCall::write)
                                           : FaultEffect::none;
    if ((file || mayFail(fd, way)) && fails(way)) return -1;
    if (way == FaultEffect::partial && count > 0) {
        const std::size_t size =
            file ? std::max<std::size_t>(parts[0].iov_len / 2, 1) : few(parts[0].iov_len);
        return ::syscall(SYS_write, fd, parts[0].iov_base, std::min(size, parts[0].iov_len));
    }
    return ::syscall(SYS_writev, fd, parts, count);
}

int openIt(int folder, const char* path, int flags, mode_t mode) {
    const bool writes = (flags & O_ACCMODE) != O_RDONLY;
    if (writes && fails(wayFor(SystemCall::open))) return -1;
    return static_cast<int>(::syscall(SYS_openat, folder, path, flags, mode));
}

mode_t modeOf(int flags, va_list rest) { return flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0; }

int acceptIt(int fd, sockaddr* at, socklen_t* size, int flags) {
    if (fails(wayFor(SystemCall::accept))) return -1;
    const auto accepted = static_cast<int>(::syscall(SYS_accept4, fd, at, size, flags));
    noteDescriptor(accepted, false);
    return accepted;
}

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* at, socklen_t* size, int flags) { return acceptIt(fd, at, size, flags); }
int accept(int fd, sockaddr* at, socklen_t* size) { return acceptIt(fd, at, size, 0); }

int socket(int domain, int type, int protocol) noexcept {
    if (domain == AF_INET && fails(wayFor(SystemCall::socket))) return -1;
    return static_cast<int>(::syscall(SYS_socket, domain, type, protocol));
}

int connect(int fd, const sockaddr* at, socklen_t size) {
    if (at->sa_family == AF_INET && fails(wayFor(SystemCall::connect))) return -1;
    noteDescriptor(fd, at->sa_family == AF_INET);
    return static_cast<int>(::syscall(SYS_connect, fd, at, size));
}

int bind(int fd, const sockaddr* at, socklen_t size) noexcept {
    if (fails(wayFor(SystemCall::bind))) return -1;
    return static_cast<int>(::syscall(SYS_bind, fd, at, size));
}

int listen(int fd, int backlog) noexcept {
    if (fails(wayFor(SystemCall::listen))) return -1;
    return static_cast<int>(::syscall(SYS_listen, fd, backlog));
}

ssize_t read(int fd, void* to, size_t size) {
    const iovec part{to, size};
    return readSome(fd, &part, 1);
}
ssize_t readv(int fd, const iovec* parts, int count) { return readSome(fd, parts, count); }

ssize_t write(int fd, const void* from, size_t size) {
    const iovec part{const_cast<void*>(from), size};
    return writeSome(fd, &part, 1);
}
ssize_t writev(int fd, const iovec* parts, int count) { return writeSome(fd, parts, count); }

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
    // With a descriptor in it, a part of a message is not the same as the whole one.
    const FaultEffect way =
        message->msg_controllen == 0 && isSocket(fd) ? wayFor(SystemCall::write) : FaultEffect::none;
    if (mayFail(fd, way) && fails(way)) return -1;
    if (way == FaultEffect::partial && message->msg_iovlen > 0)
        return ::syscall(SYS_sendto, fd, message->msg_iov[0].iov_base, few(message->msg_iov[0].iov_len),
                         flags, nullptr, 0);
    return ::syscall(SYS_sendmsg, fd, message, flags);
}

int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
    holdUp();
    if (fails(wayFor(SystemCall::pollWait))) return -1;
    return static_cast<int>(::syscall(SYS_epoll_pwait, fd, events, most, timeout, nullptr, 8));
}
int epoll_pwait(int fd, epoll_event* events, int most, int timeout, const sigset_t* mask) {
    holdUp();
    if (fails(wayFor(SystemCall::pollWait))) return -1;
    return static_cast<int>(::syscall(SYS_epoll_pwait, fd, events, most, timeout, mask, 8));
}

int open(const char* path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    const mode_t mode = modeOf(flags, rest);
    va_end(rest);
    return openIt(AT_FDCWD, path, flags, mode);
}
int open64(const char* path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    const mode_t mode = modeOf(flags, rest);
    va_end(rest);
    return openIt(AT_FDCWD, path, flags, mode);
}

int fsync(int fd) {
    if (fails(wayFor(SystemCall::sync))) return -1;
    return static_cast<int>(::syscall(SYS_fsync, fd));
}
int fdatasync(int fd) {
    if (fails(wayFor(SystemCall::sync))) return -1;
    return static_cast<int>(::syscall(SYS_fdatasync, fd));
}

int rename(const char* from, const char* to) noexcept {
    if (fails(wayFor(SystemCall::rename))) return -1;
    return static_cast<int>(::syscall(SYS_rename, from, to));
}

ssize_t getrandom(void* to, size_t size, unsigned flags) {
    const FaultEffect way = wayFor(SystemCall::random);
    if (fails(way)) return -1;
    return ::syscall(SYS_getrandom, to, way == FaultEffect::partial ? few(size) : size, flags);
}

int clock_gettime(clockid_t id, timespec* at) noexcept {
    const long result = ::syscall(SYS_clock_gettime, id, at);
    const FaultPlan* const p = plan();
    if (result != 0 || !p || (id != CLOCK_REALTIME && id != CLOCK_REALTIME_COARSE))
        return static_cast<int>(result);
    const std::int64_t shown =
        at->tv_sec * 1'000'000'000L + at->tv_nsec + p->wallStep.load(std::memory_order_relaxed);
    at->tv_sec = shown / 1'000'000'000;
    at->tv_nsec = shown % 1'000'000'000;
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
