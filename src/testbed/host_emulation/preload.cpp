// Loaded into the processes of a machine of the testbed (LD_PRELOAD): they see its clock and its disk as the
// testbed says. Waits last their true time, whatever the clock's rate; what is open already stays open when
// the disk becomes one to be read only. System calls are made directly, so that nothing here depends on what
// else is loaded and in which order.
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

HostState* mapped() {
    // Without a guard: two threads at once map it twice, which does no harm.
    static std::atomic<HostState*> state{nullptr};
    static std::atomic<bool> looked{false};
    if (looked.load(std::memory_order_acquire)) return state.load(std::memory_order_acquire);
    const char* const path = std::getenv(poppyscale::testbed::kHostVariable);
    HostState* made = nullptr;
    if (path) {
        const long fd = ::syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC);
        void* const at = fd < 0 ? MAP_FAILED
                                : ::mmap(nullptr, sizeof(HostState), PROT_READ | PROT_WRITE, MAP_SHARED,
                                         static_cast<int>(fd), 0);
        if (fd >= 0) ::syscall(SYS_close, fd);
        if (at != MAP_FAILED) made = static_cast<HostState*>(at);
        if (made && made->format != poppyscale::testbed::kHostFormat) made = nullptr;
    }
    state.store(made, std::memory_order_release);
    looked.store(true, std::memory_order_release);
    return made;
}

std::int64_t trueTime(clockid_t id) {
    timespec at{};
    ::syscall(SYS_clock_gettime, id, &at);
    return at.tv_sec * kSecond + at.tv_nsec;
}

struct Shown {
    std::int64_t monotonic, boot, wall;
};

Shown shownBy(const HostState& s) {
    for (;;) {
        const std::uint32_t turn = s.turn.load(std::memory_order_acquire);
        const std::int64_t now = trueTime(CLOCK_MONOTONIC);
        const auto passed = static_cast<double>(now - s.trueAt) * s.rate;
        Shown shown{s.shownAt + static_cast<std::int64_t>(passed), 0, 0};
        shown.boot = shown.monotonic + s.slept;
        shown.wall = trueTime(CLOCK_REALTIME) + (shown.boot - now) + s.wallLead;
        std::atomic_thread_fence(std::memory_order_acquire);
        if (turn % 2 == 0 && s.turn.load(std::memory_order_relaxed) == turn) return shown;
    }
}

bool below(const HostState& s, int folder, const char* path) {
    if (!path) return false;
    char whole[PATH_MAX];
    if (path[0] != '/') {
        char link[64];
        if (folder == AT_FDCWD)
            std::snprintf(link, sizeof link, "/proc/self/cwd");
        else
            std::snprintf(link, sizeof link, "/proc/self/fd/%d", folder);
        const long size = ::syscall(SYS_readlinkat, AT_FDCWD, link, whole, sizeof whole - 1);
        if (size < 0) return false;
        whole[size] = '\0';
        std::strncat(whole, "/", sizeof whole - std::strlen(whole) - 1);
        std::strncat(whole, path, sizeof whole - std::strlen(whole) - 1);
    } else {
        std::strncpy(whole, path, sizeof whole - 1);
        whole[sizeof whole - 1] = '\0';
    }
    return s.folder[0] && std::strncmp(whole, s.folder, std::strlen(s.folder)) == 0;
}

// Whether that may not be written, with errno set.
bool denied(int folder, const char* path) {
    const HostState* const s = mapped();
    if (!s || !s->readOnly || !below(*s, folder, path)) return false;
    errno = EROFS;
    return true;
}

int openIt(int folder, const char* path, int flags, mode_t mode) {
    const bool writes = (flags & O_ACCMODE) != O_RDONLY || (flags & (O_CREAT | O_TRUNC)) != 0;
    if (writes && denied(folder, path)) return -1;
    return static_cast<int>(::syscall(SYS_openat, folder, path, flags, mode));
}

int syncIt(long call, int fd) {
    if (HostState* const s = mapped()) {
        char link[64], path[PATH_MAX];
        std::snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
        const long size = ::syscall(SYS_readlinkat, AT_FDCWD, link, path, sizeof path - 1);
        path[size < 0 ? 0 : size] = '\0';
        if (below(*s, AT_FDCWD, path)) {
            if (s->syncTakes > 0) {
                timespec left{s->syncTakes / kSecond, s->syncTakes % kSecond};
                while (::syscall(SYS_nanosleep, &left, &left) != 0 && errno == EINTR) {
                }
            }
            std::uint32_t fail = s->syncsFail.load();
            while (fail > 0 && !s->syncsFail.compare_exchange_weak(fail, fail - 1)) {
            }
            if (fail > 0) {
                errno = EIO;
                return -1;
            }
        }
    }
    return static_cast<int>(::syscall(call, fd));
}

mode_t modeOf(int flags, va_list rest) { return flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0; }

template <class F>
F* next(const char* name) {
    return reinterpret_cast<F*>(::dlsym(RTLD_NEXT, name));
}

FILE* openStream(const char* name, const char* path, const char* mode) {
    if (std::strpbrk(mode, "wa+") && denied(AT_FDCWD, path)) return nullptr;
    return next<FILE*(const char*, const char*)>(name)(path, mode);
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t id, struct timespec* at) {
    const HostState* const s = mapped();
    std::int64_t shown = 0;
    switch (s ? id : -1) {
        case CLOCK_MONOTONIC:
        case CLOCK_MONOTONIC_RAW:
        case CLOCK_MONOTONIC_COARSE:
            shown = shownBy(*s).monotonic;
            break;
        case CLOCK_BOOTTIME:
            shown = shownBy(*s).boot;
            break;
        case CLOCK_REALTIME:
        case CLOCK_REALTIME_COARSE:
            shown = shownBy(*s).wall;
            break;
        default:
            return static_cast<int>(::syscall(SYS_clock_gettime, id, at));
    }
    at->tv_sec = shown / kSecond;
    at->tv_nsec = shown % kSecond;
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
    return openIt(AT_FDCWD, path, flags, mode);
}

int open64(const char* path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    const mode_t mode = modeOf(flags, rest);
    va_end(rest);
    return openIt(AT_FDCWD, path, flags, mode);
}

int openat(int folder, const char* path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    const mode_t mode = modeOf(flags, rest);
    va_end(rest);
    return openIt(folder, path, flags, mode);
}

int openat64(int folder, const char* path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    const mode_t mode = modeOf(flags, rest);
    va_end(rest);
    return openIt(folder, path, flags, mode);
}

FILE* fopen(const char* path, const char* mode) { return openStream("fopen", path, mode); }
FILE* fopen64(const char* path, const char* mode) { return openStream("fopen64", path, mode); }

int fsync(int fd) { return syncIt(SYS_fsync, fd); }
int fdatasync(int fd) { return syncIt(SYS_fdatasync, fd); }

int rename(const char* from, const char* to) noexcept {
    if (denied(AT_FDCWD, from) || denied(AT_FDCWD, to)) return -1;
    return static_cast<int>(::syscall(SYS_rename, from, to));
}

int unlink(const char* path) noexcept {
    if (denied(AT_FDCWD, path)) return -1;
    return static_cast<int>(::syscall(SYS_unlink, path));
}

int mkdir(const char* path, mode_t mode) noexcept {
    // One that is there already is said to be there, as by a real disk that is only read.
    struct stat at {};
    if (::stat(path, &at) != 0 && denied(AT_FDCWD, path)) return -1;
    return static_cast<int>(::syscall(SYS_mkdir, path, mode));
}

}  // extern "C"
