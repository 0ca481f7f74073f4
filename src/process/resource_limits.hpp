// How an instance's memory and descriptors are divided among its parts.
#pragma once

#include <cstddef>

#include "protocol/startup_config.hpp"

namespace poppyscale::process {

// Console connections of operators. These are reserved, so that clients can't use up the operators'
// connections.
std::size_t maxConsoleConnections(const protocol::StartupConfig& startup);
// Connections to cache servers and the origin.
std::size_t maxServerConnections(const protocol::StartupConfig& startup);
// Connections of clients.
std::size_t maxClients(const protocol::StartupConfig& startup);
// Connection buffers that a process with `memoryBytes` of memory may use.
std::size_t maxBuffers(std::size_t memoryBytes);
// Bytes of partial requests of all clients.
std::size_t maxPartialRequestBytes(std::size_t memoryBytes);
// Bytes of one endpoint list.
std::size_t maxEndpointListBytes(const protocol::StartupConfig& startup);
// Bytes of the open requests in one answer on the operator's socket.
std::size_t maxShownRequestBytes(const protocol::StartupConfig& startup);

// Clients that a process accepts however many clients another process of the same router has.
inline constexpr std::size_t kMinClients = 8;

}  // namespace poppyscale::process
