// Which system calls of a process fail, how often and how: what the testbed writes down for the preloaded
// library, and what that counts. Both sides map the same file; every field is an atomic, so neither waits for
// the other.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace poppyscale::testbed::fault_injection {

constexpr const char* kPlanVariable = "POPPYSCALE_FAULT_INJECTION";  // the file's path, to the process
constexpr std::uint32_t kFormat = 1;

enum class SystemCall : std::uint32_t {
    accept,
    socket,
    connect,
    bind,
    listen,
    read,      // read, readv, recv, recvmsg of sockets
    write,     // write, writev, send, sendmsg of sockets
    pollWait,  // epoll_wait, epoll_pwait
    open,      // for writing
    fileWrite,
    sync,
    rename,
    random,
    count,
};
constexpr std::size_t kSystemCalls = static_cast<std::size_t>(SystemCall::count);

// What becomes of a call that is drawn to fail.
enum class FaultEffect : std::uint32_t {
    none,
    interrupted,  // EINTR
    aborted,      // ECONNABORTED
    noFiles,      // ENFILE
    noBuffers,    // ENOBUFS
    noMemory,     // ENOMEM
    noAddress,    // EADDRNOTAVAIL
    unreachable,  // ENETUNREACH
    noHost,       // EHOSTUNREACH
    timedOut,     // ETIMEDOUT
    tryAgain,     // EAGAIN
    noSpace,      // ENOSPC
    inputOutput,  // EIO
    partial,      // a part of what was asked for: 1 to 7 bytes, of a file half
    count,
};
constexpr std::size_t kFaultEffects = static_cast<std::size_t>(FaultEffect::count);

// As scenarios and reports name them, in the order of the enumerations.
constexpr std::string_view kSystemCallNames[kSystemCalls]{"accept", "socket", "connect", "bind", "listen",
                                                          "read",   "write",  "poll",    "open", "file_write",
                                                          "sync",   "rename", "random"};
constexpr std::string_view kFaultEffectNames[kFaultEffects]{
    "none",        "EINTR",        "ECONNABORTED", "ENFILE", "ENOBUFS", "ENOMEM", "EADDRNOTAVAIL",
    "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT",    "EAGAIN", "ENOSPC",  "EIO",    "partial"};

constexpr std::optional<SystemCall> systemCallNamed(std::string_view name) {
    for (std::size_t i = 0; i < kSystemCalls; ++i)
        if (kSystemCallNames[i] == name) return static_cast<SystemCall>(i);
    return std::nullopt;
}
constexpr std::optional<FaultEffect> faultEffectNamed(std::string_view name) {
    for (std::size_t i = 1; i < kFaultEffects; ++i)
        if (kFaultEffectNames[i] == name) return static_cast<FaultEffect>(i);
    return std::nullopt;
}

constexpr std::uint32_t kOne = 1U << 20;  // a share of one

struct FaultPlan {
    std::uint32_t format = kFormat;
    std::atomic<std::uint32_t> seed{1};
    // Of the calls of each kind, the share that ends in each way, in parts of kOne.
    std::atomic<std::uint32_t> share[kSystemCalls][kFaultEffects]{};
    // How often each has happened: a fault that never happened proves nothing.
    std::atomic<std::uint64_t> occurrences[kSystemCalls][kFaultEffects]{};
    // The wall clock's step, in ns; monotonic clocks are left alone.
    std::atomic<std::int64_t> wallStep{0};
    // A turn of the loop is held up for up to so many ns before it polls, by a share of turns.
    std::atomic<std::uint32_t> delayShare{0};
    std::atomic<std::int64_t> maxDelay{0};
    std::atomic<std::uint64_t> delays{0};
};

}  // namespace poppyscale::testbed::fault_injection
