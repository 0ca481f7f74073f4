#include "proxy/upstream_registry.hpp"

#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <unordered_set>
#include <utility>

#include "transport/connection.hpp"
#include "transport/event_loop.hpp"

namespace poppyscale::proxy {
namespace {

constexpr Nanos kClockSamplingInterval = 100 * kMillisecond;

// The monotonic clock minus the machine's wall clock.
Nanos clockOffset() {
    const auto wall = std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return transport::EventLoop::now() - wall.count();
}

}  // namespace

UpstreamRegistry::UpstreamRegistry(ConnectionPool& pool, const PolicySettings& settings,
                                   std::size_t removedBytes, Log log)
    : pool_(pool),
      log_(std::move(log)),
      originShape_(settings.originShape),
      isCacheAside_(settings.cacheAside),
      removed_(removedBytes) {}

std::vector<Endpoint> UpstreamRegistry::update(EndpointUpdateKind kind, const protocol::EndpointList& list,
                                               Nanos now) {
    std::vector<Endpoint> endpoints;
    startTimes_.recordClockOffset(now, clockOffset());
    for (const protocol::EndpointEntry& entry : list.entries) {
        Endpoint endpoint = entry.endpoint;
        endpoint.startedAt = startTimes_.startTimeOf(endpoint.name, entry.startedMs, now);
        updateServer(endpoint, entry.address);
        endpoints.push_back(std::move(endpoint));
    }
    if (kind != EndpointUpdateKind::delta) removeUnlisted(list);
    eraseUnused();
    return endpoints;
}

UpstreamServer& UpstreamRegistry::findOrAdd(const Endpoint& endpoint) {
    auto& server = servers_[endpoint.name];
    if (server) return *server;
    const bool isOrigin = isCacheAside_ && endpoint.shape == originShape_;
    server = std::make_unique<UpstreamServer>(pool_, isOrigin);
    server->setEjected(ejected_.contains(endpoint.name));
    removed_.remove(endpoint.name);
    return *server;
}

void UpstreamRegistry::updateServer(const Endpoint& endpoint, const std::string& address) {
    UpstreamServer& server = findOrAdd(endpoint);
    const auto parsed = transport::parseAddress(address);
    if (!parsed && endpoint.state != EndpointState::removed)
        log_(fmt::format("endpoint list has no valid address for server {}; attempts to it fail",
                         endpoint.name));
    server.updateEndpoint(endpoint.state, parsed, address);
}

void UpstreamRegistry::removeUnlisted(const protocol::EndpointList& list) {
    std::unordered_set<std::string_view> listed;
    for (const protocol::EndpointEntry& entry : list.entries) listed.insert(entry.endpoint.name);
    for (auto& [name, server] : servers_)
        if (!listed.contains(name)) server->updateEndpoint(EndpointState::removed, std::nullopt, "");
}

void UpstreamRegistry::eraseUnused() {
    std::erase_if(servers_, [this](const auto& entry) {
        if (!entry.second->isUnused()) return false;
        removed_.add(entry.first);
        startTimes_.forget(entry.first);
        return true;
    });
}

void UpstreamRegistry::sampleClockOffset(Nanos now) {
    if (now - clockSampledAt_ < kClockSamplingInterval) return;
    clockSampledAt_ = now;
    startTimes_.recordClockOffset(now, clockOffset());
}

UpstreamServer* UpstreamRegistry::find(std::string_view name) const {
    const auto it = servers_.find(std::string(name));
    return it == servers_.end() ? nullptr : it->second.get();
}

std::unordered_map<const UpstreamServer*, std::string_view> UpstreamRegistry::names() const {
    std::unordered_map<const UpstreamServer*, std::string_view> names;
    for (const auto& [name, server] : servers_) names[server.get()] = name;
    return names;
}

std::map<std::string, ServerAttempts> UpstreamRegistry::attemptsByServer() const {
    std::map<std::string, ServerAttempts> attempts;
    for (const auto& [name, server] : servers_)
        if (!server->isOrigin()) attempts[name] = {server->attemptCount(), server->isDraining()};
    return attempts;
}

std::string UpstreamRegistry::ejectionProblem(const std::string& name) const {
    const UpstreamServer* const server = find(name);
    if (server)
        return server->isOrigin()
                   ? fmt::format("server {} is the origin; only cache servers can be ejected", name)
                   : "";
    const bool isKnown = ejected_.contains(name) || removed_.contains(name);
    return isKnown ? "" : fmt::format("no server {} was ever in the endpoint list of this router", name);
}

bool UpstreamRegistry::setEjected(const std::string& name, bool ejected) {
    if (ejected == ejected_.contains(name)) return false;
    if (ejected)
        ejected_.insert(name);
    else
        ejected_.erase(name);
    UpstreamServer* const server = find(name);
    if (server) server->setEjected(ejected);
    // The name stays known after it is readmitted, even if this process never had the server in its list
    // and took the ejection over from another process.
    if (!server && !ejected) removed_.add(name);
    return true;
}

}  // namespace poppyscale::proxy
