// How an instance's memory and descriptors are divided among its parts.
#pragma once

#include <cstddef>

#include "protocol/startup_config.hpp"

namespace poppyscale::process {

// Connections of operators' consoles; reserved, so that no number of clients shuts operators out.
std::size_t maxConsoleConnections(const protocol::StartupConfig& startup);
// Connections to cache servers and the origin.
std::size_t maxServerConnections(const protocol::StartupConfig& startup);
// Connections of clients.
std::size_t maxClients(const protocol::StartupConfig& startup);
// Buffers of connections that fit into `memoryBytes`.
std::size_t maxBuffers(std::size_t memoryBytes);
// Bytes of partial requests, and again of unsent responses, of all clients.
std::size_t maxClientBytes(std::size_t memoryBytes);
// Bytes of one endpoint list.
std::size_t maxEndpointListBytes(const protocol::StartupConfig& startup);
// Bytes of the requests that one answer on the operator's socket shows.
std::size_t maxShownRequestBytes(const protocol::StartupConfig& startup);

// Clients that a process accepts whatever number another process of the same router has.
inline constexpr std::size_t kMinClients = 8;

}  // namespace poppyscale::process
