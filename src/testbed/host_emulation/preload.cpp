// Library that the testbed loads into the processes of an emulated machine (LD_PRELOAD), which then see the
// machine's emulated clock and disk. Waits last their true time whatever the clock's rate, and files that are
// open stay writable when the disk becomes read-only. System calls are made directly, so that nothing here
// depends on which other libraries are loaded and in which order.
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <climits>
#include <cstdlib>
#include <cstring>

#include "testbed/host_emulation/host_state.hpp"

namespace {

using poppyscale::testbed::HostState;

constexpr std::int64_t kSecond = 1'000'000'000;

HostState* hostState() {
    // No lock is needed: if two threads get here at once, the file is mapped twice, which is harmless.
    static std::atomic<HostState*> mappedState{nullptr};
    static std::atomic<bool> isLoaded{false};
    if (isLoaded.load(std::memory_order_acquire)) return mappedState.load(std::memory_order_acquire);
    const char* const path = std::getenv(poppyscale::testbed::kHostVariable);
    HostState* loaded = nullptr;
    if (path) {
        const long fd = ::syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC);
        void* const at = fd < 0 ? MAP_FAILED
                                : ::mmap(nullptr, sizeof(HostState), PROT_READ | PROT_WRITE, MAP_SHARED,
                                         static_cast<int>(fd), 0);
        if (fd >= 0) ::syscall(SYS_close, fd);
        if (at != MAP_FAILED) loaded = static_cast<HostState*>(at);
        if (loaded && loaded->format != poppyscale::testbed::kHostFormat) loaded = nullptr;
    }
    mappedState.store(loaded, std::memory_order_release);
    isLoaded.store(true, std::memory_order_release);
    return loaded;
}

std::int64_t trueTime(clockid_t id) {
    timespec at{};
    ::syscall(SYS_clock_gettime, id, &at);
    return at.tv_sec * kSecond + at.tv_nsec;
}

struct EmulatedClocks {
    std::int64_t monotonic, boot, wall;
};

EmulatedClocks emulatedClocks(const HostState& state) {
    for (;;) {
        const std::uint32_t sequence = state.sequence.load(std::memory_order_acquire);
        const std::int64_t now = trueTime(CLOCK_MONOTONIC);
        const auto passed = static_cast<double>(now - state.trueTime) * state.rate;
        EmulatedClocks emulated{state.shownTime + static_cast<std::int64_t>(passed), 0, 0};
        emulated.boot = emulated.monotonic + state.bootOffset;
        emulated.wall = trueTime(CLOCK_REALTIME) + (emulated.boot - now) + state.wallOffset;
        std::atomic_thread_fence(std::memory_order_acquire);
        if (sequence % 2 == 0 && state.sequence.load(std::memory_order_relaxed) == sequence) return emulated;
    }
}

bool isBelowFolder(const HostState& state, int directory, const char* path) {
    if (!path) return false;
    char fullPath[PATH_MAX];
    if (path[0] != '/') {
        char link[64];
        if (directory == AT_FDCWD)
            std::snprintf(link, sizeof link, "/proc/self/cwd");
        else
            std::snprintf(link, sizeof link, "/proc/self/fd/%d", directory);
        const long size = ::syscall(SYS_readlinkat, AT_FDCWD, link, fullPath, sizeof fullPath - 1);
        if (size < 0) return false;
        fullPath[size] = '\0';
        std::strncat(fullPath, "/", sizeof fullPath - std::strlen(fullPath) - 1);
        std::strncat(fullPath, path, sizeof fullPath - std::strlen(fullPath) - 1);
    } else {
        std::strncpy(fullPath, path, sizeof fullPath - 1);
        fullPath[sizeof fullPath - 1] = '\0';
    }
    return state.folder[0] && std::strncmp(fullPath, state.folder, std::strlen(state.folder)) == 0;
}

// Returns whether a write to `path` has to fail because the disk is read-only, and sets errno in that case.
bool failsReadOnly(int directory, const char* path) {
    const HostState* const state = hostState();
    if (!state || !state->readOnly || !isBelowFolder(*state, directory, path)) return false;
    errno = EROFS;
    return true;
}

int openOnHost(int directory, const char* path, int flags, mode_t mode) {
    const bool writes = (flags & O_ACCMODE) != O_RDONLY || (flags & (O_CREAT | O_TRUNC)) != 0;
    if (writes && failsReadOnly(directory, path)) return -1;
    return static_cast<int>(::syscall(SYS_openat, directory, path, flags, mode));
}

int syncOnHost(long call, int fd) {
    if (HostState* const state = hostState()) {
        char link[64], path[PATH_MAX];
        std::snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
        const long size = ::syscall(SYS_readlinkat, AT_FDCWD, link, path, sizeof path - 1);
        path[size < 0 ? 0 : size] = '\0';
        if (isBelowFolder(*state, AT_FDCWD, path)) {
            if (state->syncDelayNs > 0) {
                timespec left{state->syncDelayNs / kSecond, state->syncDelayNs % kSecond};
                while (::syscall(SYS_nanosleep, &left, &left) != 0 && errno == EINTR) {
                }
            }
            std::uint32_t failures = state->failingSyncs.load();
            while (failures > 0 && !state->failingSyncs.compare_exchange_weak(failures, failures - 1)) {
            }
            if (failures > 0) {
                errno = EIO;
                return -1;
            }
        }
    }
    return static_cast<int>(::syscall(call, fd));
}

mode_t modeOf(int flags, va_list rest) { return flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0; }

template <class F>
F* nextSymbol(const char* name) {
    return reinterpret_cast<F*>(::dlsym(RTLD_NEXT, name));
}

FILE* openStreamOnHost(const char* name, const char* path, const char* mode) {
    if (std::strpbrk(mode, "wa+") && failsReadOnly(AT_FDCWD, path)) return nullptr;
    return nextSymbol<FILE*(const char*, const char*)>(name)(path, mode);
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t id, struct timespec* at) {
    const HostState* const state = hostState();
    std::int64_t emulated = 0;
    switch (state ? id : -1) {
        case CLOCK_MONOTONIC:
        case CLOCK_MONOTONIC_RAW:
        case CLOCK_MONOTONIC_COARSE:
            emulated = emulatedClocks(*state).monotonic;
            break;
        case CLOCK_BOOTTIME:
            emulated = emulatedClocks(*state).boot;
            break;
        case CLOCK_REALTIME:
        case CLOCK_REALTIME_COARSE:
            emulated = emulatedClocks(*state).wall;
            break;
        default:
            return static_cast<int>(::syscall(SYS_clock_gettime, id, at));
    }
    at->tv_sec = emulated / kSecond;
    at->tv_nsec = emulated % kSecond;
    return 0;
}

int gettimeofday(struct timeval* at, void*) {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    at->tv_sec = now.tv_sec;
    at->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t* at) {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    if (at) *at = now.tv_sec;
    return now.tv_sec;
}

int open(const char* path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    const mode_t mode = modeOf(flags, rest);
    va_end(rest);
    return openOnHost(AT_FDCWD, path, flags, mode);
}

int open64(const char* path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    const mode_t mode = modeOf(flags, rest);
    va_end(rest);
    return openOnHost(AT_FDCWD, path, flags, mode);
}

int openat(int directory, const char* path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    const mode_t mode = modeOf(flags, rest);
    va_end(rest);
    return openOnHost(directory, path, flags, mode);
}

int openat64(int directory, const char* path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    const mode_t mode = modeOf(flags, rest);
    va_end(rest);
    return openOnHost(directory, path, flags, mode);
}

FILE* fopen(const char* path, const char* mode) { return openStreamOnHost("fopen", path, mode); }
FILE* fopen64(const char* path, const char* mode) { return openStreamOnHost("fopen64", path, mode); }

int fsync(int fd) { return syncOnHost(SYS_fsync, fd); }
int fdatasync(int fd) { return syncOnHost(SYS_fdatasync, fd); }

int rename(const char* from, const char* to) noexcept {
    if (failsReadOnly(AT_FDCWD, from) || failsReadOnly(AT_FDCWD, to)) return -1;
    return static_cast<int>(::syscall(SYS_renameat, AT_FDCWD, from, AT_FDCWD, to));
}

int unlink(const char* path) noexcept {
    if (failsReadOnly(AT_FDCWD, path)) return -1;
    return static_cast<int>(::syscall(SYS_unlinkat, AT_FDCWD, path, 0));
}

int mkdir(const char* path, mode_t mode) noexcept {
    // For a path that exists the system call reports EEXIST, as on a real read-only disk.
    struct stat at {};
    if (::stat(path, &at) != 0 && failsReadOnly(AT_FDCWD, path)) return -1;
    return static_cast<int>(::syscall(SYS_mkdirat, AT_FDCWD, path, mode));
}

}  // extern "C"
