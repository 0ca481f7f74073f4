// The upstream servers that a router knows.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.hpp"
#include "discovery/removed_endpoints.hpp"
#include "discovery/server_start_times.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"
#include "protocol/endpoint_list.hpp"
#include "proxy/connection_pool.hpp"
#include "proxy/upstream_server.hpp"

namespace poppyscale::proxy {

// How many attempts a server was given, and whether it is listed as draining.
struct ServerAttempts {
    std::uint64_t attempts;
    bool isDraining;
};

// Keeps the servers in step with the endpoint list: creates one for each listed name, and destroys it
// when it has been removed from the list and is unused. Remembers which servers an operator has ejected,
// even while they are not listed, and which servers were removed. Owns the servers; a pointer to one is
// valid until the next `update`.
class UpstreamRegistry {
  public:
    using Log = std::function<void(std::string_view)>;

    // `removedBytes` bounds the memory for the names of removed servers.
    UpstreamRegistry(ConnectionPool& pool, const PolicySettings& settings, std::size_t removedBytes, Log log);

    // Applies a list. Returns its endpoints with their start times on this process's clock.
    std::vector<Endpoint> update(EndpointUpdateKind kind, const protocol::EndpointList& list, Nanos now);
    // Reads the wall clock, at most once in 100 ms, to detect when it is stepped.
    void sampleClockOffset(Nanos now);

    // Null without a server of that name.
    UpstreamServer* find(std::string_view name) const;
    std::unordered_map<const UpstreamServer*, std::string_view> names() const;
    // Cache servers only, by name.
    std::map<std::string, ServerAttempts> attemptsByServer() const;

    // Why the server can't be ejected or readmitted; empty if it can.
    std::string ejectionProblem(const std::string& name) const;
    // False when nothing changed.
    bool setEjected(const std::string& name, bool ejected);

  private:
    UpstreamServer& findOrAdd(const Endpoint& endpoint);
    void updateServer(const Endpoint& endpoint, const std::string& address);
    void removeUnlisted(const protocol::EndpointList& list);
    void eraseUnused();

    ConnectionPool& pool_;
    Log log_;
    const std::string originShape_;
    const bool isCacheAside_;
    discovery::ServerStartTimes startTimes_;
    Nanos clockSampledAt_ = 0;
    std::unordered_map<std::string, std::unique_ptr<UpstreamServer>> servers_;
    std::set<std::string> ejected_;
    discovery::RemovedEndpoints removed_;
};

}  // namespace poppyscale::proxy
