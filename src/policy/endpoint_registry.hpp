// The servers that the policy knows.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/time.hpp"
#include "policy/settings.hpp"
#include "policy/types.hpp"

namespace poppyscale::policy {

class Server;

// Creates a Server for each name in the endpoint list, keeps its entry up to date, and drops it
// when it is in state `removed` at the end of two successive hint generations. Owns the servers,
// the ejections by operators and the hint generations. Only RoutingPolicy changes the registry; the
// other classes read it.
class EndpointRegistry {
  public:
    // `settings` is read at each call.
    EndpointRegistry(const PolicySettings& settings, Nanos now);
    ~EndpointRegistry();
    EndpointRegistry(const EndpointRegistry&) = delete;
    EndpointRegistry& operator=(const EndpointRegistry&) = delete;

    // Applies an update of any kind but `failed`. Returns whether the ranking of servers has to be
    // rebuilt.
    bool applyUpdate(Nanos now, EndpointUpdateKind kind, const std::vector<Endpoint>& endpoints);
    // Sets or lifts an operator's ejection, which applies to the name, listed or not. A server
    // whose ejection is lifted counts as just started. Returns whether the ejection has changed.
    bool setOperatorEjection(Nanos now, const std::string& name, bool isEjected);
    // Ends the hint generations that are over by `now`.
    void endGenerations(Nanos now);

    bool isEjectedByOperator(const Server& server) const;
    // Whether the endpoint list and the operators allow attempts at `server`.
    bool isUsable(const Server& server) const;
    // All known servers, unusable ones included, in the order in which they were first listed.
    // Valid until the next call of applyUpdate() or endGenerations().
    const std::vector<Server*>& cacheServers() const { return cacheServers_; }
    const std::vector<Server*>& origins() const { return origins_; }

  private:
    bool applyEntry(Nanos now, const Endpoint& listed);
    std::shared_ptr<Server> addServer(Nanos now, const Endpoint& listed);
    double weightOf(const Endpoint& listed, const Server& server) const;
    void forgetRemoved(std::vector<Server*>& servers);

    const PolicySettings& settings_;
    std::unordered_map<std::string, std::shared_ptr<Server>> servers_;
    std::vector<Server*> cacheServers_;
    std::vector<Server*> origins_;
    std::unordered_set<std::string> ejectedByOperator_;
    Nanos generationEndsAt_;
};

// Attempts per cache server that all routers together may start with: the routers' initial limits
// and initial retry credits are shares of it.
constexpr double kInitialAttemptsPerServer = 6;

}  // namespace poppyscale::policy
