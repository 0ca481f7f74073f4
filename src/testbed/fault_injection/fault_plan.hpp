// The plan of injected system call failures of a process: which calls fail, how and how often. The testbed
// writes the plan and the preloaded library counts the failures in it. Both map the same file. Every field
// that changes is an atomic, so neither side waits for the other.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace poppyscale::testbed::fault_injection {

constexpr const char* kPlanVariable = "POPPYSCALE_FAULT_INJECTION";  // holds the path of the plan's file
constexpr std::uint32_t kFormat = 1;

enum class SystemCall : std::uint32_t {
    accept,
    socket,
    connect,
    bind,
    listen,
    read,      // read, readv of sockets
    write,     // write, writev, sendmsg of sockets
    pollWait,  // epoll_wait, epoll_pwait
    open,      // only calls that open a file for writing
    fileWrite,
    sync,
    rename,
    random,
    count,
};
constexpr std::size_t kSystemCalls = static_cast<std::size_t>(SystemCall::count);

// How a call fails.
enum class FaultEffect : std::uint32_t {
    none,
    interrupted,         // EINTR
    aborted,             // ECONNABORTED
    fileTableFull,       // ENFILE
    noBuffers,           // ENOBUFS
    noMemory,            // ENOMEM
    noAddress,           // EADDRNOTAVAIL
    networkUnreachable,  // ENETUNREACH
    hostUnreachable,     // EHOSTUNREACH
    timedOut,            // ETIMEDOUT
    tryAgain,            // EAGAIN
    noSpace,             // ENOSPC
    inputOutput,         // EIO
    partial,             // transfers less than asked for: 1 to 7 bytes, or half of a write to a file
    count,
};
constexpr std::size_t kFaultEffects = static_cast<std::size_t>(FaultEffect::count);

// Names in scenarios and reports, in the order of the enumerations.
constexpr std::string_view kSystemCallNames[kSystemCalls]{"accept", "socket", "connect", "bind", "listen",
                                                          "read",   "write",  "poll",    "open", "file_write",
                                                          "sync",   "rename", "random"};
constexpr std::string_view kFaultEffectNames[kFaultEffects]{
    "none",        "EINTR",        "ECONNABORTED", "ENFILE", "ENOBUFS", "ENOMEM", "EADDRNOTAVAIL",
    "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT",    "EAGAIN", "ENOSPC",  "EIO",    "partial"};

constexpr std::optional<SystemCall> parseSystemCall(std::string_view name) {
    for (std::size_t i = 0; i < kSystemCalls; ++i)
        if (kSystemCallNames[i] == name) return static_cast<SystemCall>(i);
    return std::nullopt;
}
constexpr std::optional<FaultEffect> parseFaultEffect(std::string_view name) {
    for (std::size_t i = 1; i < kFaultEffects; ++i)
        if (kFaultEffectNames[i] == name) return static_cast<FaultEffect>(i);
    return std::nullopt;
}

constexpr std::uint32_t kShareUnit = 1U << 20;  // stands for a share of 1

struct InjectionPlan {
    std::uint32_t format = kFormat;
    std::atomic<std::uint32_t> seed{1};
    // Share of the calls of each kind that end in each effect, in parts of kShareUnit.
    std::atomic<std::uint32_t> share[kSystemCalls][kFaultEffects]{};
    // How often each failure has happened: a test whose fault never happened proves nothing.
    std::atomic<std::uint64_t> occurrences[kSystemCalls][kFaultEffects]{};
    // Offset of the wall clock in ns. Monotonic clocks keep the true time.
    std::atomic<std::int64_t> wallOffset{0};
    // Share of event loop iterations, in parts of kShareUnit, that are delayed by up to `maxDelay`
    // ns before polling.
    std::atomic<std::uint32_t> delayShare{0};
    std::atomic<std::int64_t> maxDelay{0};
    std::atomic<std::uint64_t> delays{0};
};

}  // namespace poppyscale::testbed::fault_injection
