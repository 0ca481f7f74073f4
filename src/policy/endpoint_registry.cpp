#include "policy/endpoint_registry.hpp"

#include <algorithm>

#include "policy/server.hpp"

namespace poppyscale::policy {
namespace {

constexpr Nanos kGenerationDuration = 10'000 * kMillisecond;
constexpr double kWarmingLimit = 2;  // concurrency limit of a server that was just started

}  // namespace

EndpointRegistry::EndpointRegistry(const PolicySettings& settings, Nanos now)
    : settings_(settings), generationEndsAt_(now + kGenerationDuration) {}

EndpointRegistry::~EndpointRegistry() = default;

bool EndpointRegistry::applyUpdate(Nanos now, EndpointUpdateKind kind,
                                   const std::vector<Endpoint>& endpoints) {
    const bool isDelta = kind == EndpointUpdateKind::delta;
    bool hasChanged = !settings_.weightsFollowLoad || !isDelta;
    if (!isDelta)
        for (const auto& [name, server] : servers_) server->markRemoved();
    for (const Endpoint& listed : endpoints) {
        const bool hasEntryChanged = applyEntry(now, listed);
        hasChanged = hasChanged || hasEntryChanged;
    }
    return hasChanged;
}

// Returns whether the server is new, or its start or its state has changed.
bool EndpointRegistry::applyEntry(Nanos now, const Endpoint& listed) {
    const auto known = servers_.find(listed.name);
    const bool isNew = known == servers_.end();
    const std::shared_ptr<Server> server = isNew ? addServer(now, listed) : known->second;
    const Nanos startedAt = server->startedAtOrAfterReadmission(listed.startedAt);
    if (!isNew && startedAt > server->endpoint().startedAt) server->restart();
    const bool hasStartChanged = startedAt != server->endpoint().startedAt;
    const bool hasStateChanged = listed.state != server->endpoint().state;
    if (hasStartChanged) server->warmupBudget.fillFrom(now);
    if (settings_.weightsFollowLoad) server->loadReport.setListedWeight(listed.weight);
    server->applyListing(listed, startedAt, weightOf(listed, *server), now);
    return isNew || hasStartChanged || hasStateChanged;
}

std::shared_ptr<Server> EndpointRegistry::addServer(Nanos now, const Endpoint& listed) {
    const bool isOrigin = settings_.cacheAside && listed.shape == settings_.originShape;
    const double retryCredit = kInitialAttemptsPerServer / settings_.routerCount;
    const auto server = std::make_shared<Server>(listed.name, isOrigin, retryCredit);
    const bool isWarmingUp = listed.startedAt > 0 && now - listed.startedAt < settings_.rampDuration;
    if (isWarmingUp) server->limiter.setLimit(kWarmingLimit);
    servers_.emplace(listed.name, server);
    (isOrigin ? origins_ : cacheServers_).push_back(server.get());
    return server;
}

// Where weights follow load, the weight stays as it is, because LoadEstimator sets it. Otherwise a
// server that is listed without a weight keeps its last known weight, or gets the minimum.
double EndpointRegistry::weightOf(const Endpoint& listed, const Server& server) const {
    const double known = server.endpoint().weight;
    if (settings_.weightsFollowLoad) return known;
    return listed.weight > 0 || known == 0 ? std::max(listed.weight, kMinServerWeight) : known;
}

bool EndpointRegistry::setOperatorEjection(Nanos now, const std::string& name, bool isEjected) {
    if (isEjected) return ejectedByOperator_.insert(name).second;
    if (ejectedByOperator_.erase(name) == 0) return false;
    const auto known = servers_.find(name);
    if (known != servers_.end()) known->second->readmit(now);
    return true;
}

void EndpointRegistry::endGenerations(Nanos now) {
    for (; now >= generationEndsAt_; generationEndsAt_ += kGenerationDuration) {
        forgetRemoved(cacheServers_);
        forgetRemoved(origins_);
        for (Server* server : cacheServers_) server->hints.startGeneration();
    }
}

// Frees servers that stay removed, so that memory does not grow with every new name. Requests share
// ownership of the servers of their attempts.
void EndpointRegistry::forgetRemoved(std::vector<Server*>& servers) {
    std::vector<Server*> remaining;
    for (Server* server : servers) {
        if (server->endGeneration())
            servers_.erase(std::string(server->name()));
        else
            remaining.push_back(server);
    }
    servers = std::move(remaining);
}

bool EndpointRegistry::isEjectedByOperator(const Server& server) const {
    return ejectedByOperator_.contains(server.name());
}

bool EndpointRegistry::isUsable(const Server& server) const {
    return server.endpoint().state == EndpointState::ready && !isEjectedByOperator(server);
}

}  // namespace poppyscale::policy
