// Which system calls of a process fail, how often and how: what the lab writes down for the preloaded
// library, and what that counts. Both sides map the same file; every field is an atomic, so neither waits for
// the other.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace poppyscale::testbed::fault_injection {

constexpr const char* kVariable = "POPPYSCALE_FAULT_INJECTION";  // the file's path, to the process
constexpr std::uint32_t kFormat = 1;

enum class Call : std::uint32_t {
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
constexpr std::size_t kCalls = static_cast<std::size_t>(Call::count);

// What becomes of a call that is drawn to fail.
enum class Way : std::uint32_t {
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
constexpr std::size_t kWays = static_cast<std::size_t>(Way::count);

// As scenarios and reports name them, in the order of the enumerations.
constexpr std::string_view kCallNames[kCalls]{"accept", "socket", "connect", "bind", "listen",
                                              "read",   "write",  "poll",    "open", "file_write",
                                              "sync",   "rename", "random"};
constexpr std::string_view kWayNames[kWays]{
    "none",        "EINTR",        "ECONNABORTED", "ENFILE", "ENOBUFS", "ENOMEM", "EADDRNOTAVAIL",
    "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT",    "EAGAIN", "ENOSPC",  "EIO",    "partial"};

constexpr std::optional<Call> callNamed(std::string_view name) {
    for (std::size_t i = 0; i < kCalls; ++i)
        if (kCallNames[i] == name) return static_cast<Call>(i);
    return std::nullopt;
}
constexpr std::optional<Way> wayNamed(std::string_view name) {
    for (std::size_t i = 1; i < kWays; ++i)
        if (kWayNames[i] == name) return static_cast<Way>(i);
    return std::nullopt;
}

constexpr std::uint32_t kOne = 1U << 20;  // a share of one

struct Plan {
    std::uint32_t format = kFormat;
    std::atomic<std::uint32_t> seed{1};
    // Of the calls of each kind, the share that ends in each way, in parts of kOne.
    std::atomic<std::uint32_t> share[kCalls][kWays]{};
    // How often each has happened: a fault that never happened proves nothing.
    std::atomic<std::uint64_t> happened[kCalls][kWays]{};
    // The wall clock's step, in ns; monotonic clocks are left alone.
    std::atomic<std::int64_t> wallStep{0};
    // A turn of the loop is held up for up to so many ns before it polls, by a share of turns.
    std::atomic<std::uint32_t> holdUpShare{0};
    std::atomic<std::int64_t> holdUp{0};
    std::atomic<std::uint64_t> heldUp{0};
};

}  // namespace poppyscale::testbed::fault_injection
