#include "process/resource_limits.hpp"

#include <algorithm>

#include "transport/buffer_pool.hpp"

namespace poppyscale::process {
namespace {

// For the standard streams, event loop, signals, client listener, discovery and the operator's
// socket.
constexpr std::size_t kReservedDescriptors = 32;
// Memory of one client, without its partial requests and unsent responses, which have their own limits.
constexpr std::size_t kBytesPerClient = 8 * 1024;
// A list may be as long as this part of the memory limit. While it is read, memory also holds the
// shorter buffer that it has outgrown, half of its length, and the entries parsed from it.
constexpr std::size_t kListMemoryDivisor = 32;
constexpr std::size_t kShownRequestsMemoryDivisor = 32;

}  // namespace

std::size_t maxConsoleConnections(const protocol::StartupConfig& startup) {
    return startup.console.empty() ? 0 : std::clamp<std::size_t>(startup.maxDescriptors / 16, 4, 16);
}

std::size_t maxServerConnections(const protocol::StartupConfig& startup) {
    return startup.maxDescriptors * 2 / 5;
}

std::size_t maxClients(const protocol::StartupConfig& startup) {
    const std::size_t descriptorsLeft = startup.maxDescriptors - maxServerConnections(startup) -
                                        kReservedDescriptors - maxConsoleConnections(startup);
    return std::max<std::size_t>(std::min(descriptorsLeft, startup.memoryLimitBytes / 8 / kBytesPerClient),
                                 1);
}

std::size_t maxBuffers(std::size_t memoryBytes) { return memoryBytes / 16 / transport::kBufferSize; }

std::size_t maxPartialRequestBytes(std::size_t memoryBytes) { return memoryBytes / 16; }

std::size_t maxEndpointListBytes(const protocol::StartupConfig& startup) {
    return startup.memoryLimitBytes / kListMemoryDivisor;
}

std::size_t maxShownRequestBytes(const protocol::StartupConfig& startup) {
    return startup.memoryLimitBytes / kShownRequestsMemoryDivisor;
}

}  // namespace poppyscale::process
