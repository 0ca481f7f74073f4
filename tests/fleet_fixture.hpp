// Many routers before the same cache servers, in virtual time: policies without sockets, and servers with
// cores, queues and a slow start.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "policy/routing_policy.hpp"
#include "policy_fixture.hpp"

namespace poppyscale::test {

struct FleetShape {
    int routers = 48;
    int servers = 16;
    int cores = 3;          // of each server
    Nanos work = 112 * ms;  // of a request, on one core
    double rate = 240;      // requests per second, over all routers
    double initialFraction = 0.15;
    Nanos ramp = 23'000 * ms;
    double multiple = 3;
    Nanos window = 1'500 * ms;
    Nanos objective = 500 * ms;
    Nanos timeout = 1'000 * ms;
    bool isCacheAside = false;
    bool weightsFollowLoad = false;
    double writeFraction = 0;  // requests that are not idempotent
    std::vector<std::string> zones = {"z"};
    double crossZoneCost = 0;
};

// Clients send Poisson traffic for skewed keys to each router on its own. Everything depends only on the
// shape and the seed.
class Fleet {
  public:
    explicit Fleet(const FleetShape& shape, std::uint64_t seed = 1) : shape_(shape), random_(seed) {
        const int all = shape.servers + (shape.isCacheAside ? 1 : 0);
        servers_.resize(static_cast<std::size_t>(all));
        for (int i = 0; i < all; ++i) {
            ServerState& server = servers_[static_cast<std::size_t>(i)];
            server.isOrigin = i == shape.servers;
            server.endpoint = {server.isOrigin ? "origin" : "s" + std::to_string(i), zone(i),
                               server.isOrigin ? "store" : "m"};
            server.freeAt.assign(static_cast<std::size_t>(server.isOrigin ? 1'000 : shape.cores), 0);
        }
        for (int i = 0; i < shape.routers; ++i) addRouter(i);
    }

    // Lets `duration` pass.
    void run(Nanos duration) {
        const Nanos until = now + duration;
        while (!events_.empty() && events_.top().at <= until) {
            const Event event = events_.top();
            events_.pop();
            now = event.at;
            event.action();
        }
        now = until;
    }
    void at(Nanos when, std::function<void()> action) {
        events_.push({when, ++lastEvent_, std::move(action)});
    }

    void setTraffic(bool isOn) { hasTraffic_ = isOn; }
    void eject(int server) {
        for (std::size_t i = 0; i < routers_.size(); ++i) setEjected(i, server, true);
    }
    // The server starts anew and cold, which the list tells at once.
    void restart(int server) {
        ServerState& state = servers_[static_cast<std::size_t>(server)];
        std::fill(state.freeAt.begin(), state.freeAt.end(), now);
        state.keys.clear();
        state.arrivals.clear();
        state.startedAt = now;
        list(server, EndpointState::ready, now);
    }
    void list(int server, EndpointState state, Nanos startedAt) {
        Endpoint& endpoint = servers_[static_cast<std::size_t>(server)].endpoint;
        endpoint.state = state;
        endpoint.startedAt = startedAt;
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            routers_[i]->policy.onEndpointUpdate(now, EndpointUpdateKind::delta, {endpoint});
            reconcile(i);
        }
    }
    // The ejection is lifted at one router after the other, over `duration`.
    void readmit(int server, Nanos duration) {
        for (std::size_t i = 0; i < routers_.size(); ++i)
            at(now + duration * static_cast<Nanos>(i) / static_cast<Nanos>(routers_.size()),
               [this, i, server] { setEjected(i, server, false); });
    }
    // The router's process ends, with its open requests, and another one starts.
    void restartRouter(int router) { addRouter(router); }
    RoutingPolicy& policy(int router) { return routers_[static_cast<std::size_t>(router)]->policy; }

    struct Arrival {
        Nanos at;
        int router;
    };
    // Attempts that arrived at the server since its last start.
    const std::vector<Arrival>& arrivals(int server) const {
        return servers_[static_cast<std::size_t>(server)].arrivals;
    }
    // The most attempts in an overload window since the last start, as a fraction of the operators' limit: N
    // attempts and 2 * sqrt(N) + 2 for chance, below 30 3 * sqrt(N) + 3.
    double largestWindow(int server) const {
        const ServerState& state = servers_[static_cast<std::size_t>(server)];
        double largest = 0;
        std::size_t begin = 0;
        for (std::size_t end = 0; end < state.arrivals.size(); ++end) {
            while (state.arrivals[begin].at < state.arrivals[end].at - shape_.window) ++begin;
            const double n = allowed(state, state.arrivals[end].at);
            const double limit = n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
            largest = std::max(largest, static_cast<double>(end - begin + 1) / limit);
        }
        return largest;
    }
    // The routers that sent the server an attempt between its last start and `until`.
    int routersUsing(int server, Nanos until) const {
        std::set<int> used;
        for (const Arrival& arrival : arrivals(server))
            if (arrival.at <= until) used.insert(arrival.router);
        return static_cast<int>(used.size());
    }

    Nanos now = 1 * ms;
    int answered = 0, rejected = 0, failed = 0;

  private:
    struct Event {
        Nanos at;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event& other) const {
            return std::pair(other.at, other.number) < std::pair(at, number);
        }
    };
    struct ServerState {
        Endpoint endpoint;
        bool isOrigin = false;
        Nanos startedAt = 0;        // 0: warm since long ago
        std::vector<Nanos> freeAt;  // by core
        std::set<std::string> keys;
        std::vector<Arrival> arrivals;
    };
    struct Router {
        Router(const PolicySettings& settings, Nanos now) : policy(settings, host, now) {}
        FakeHost host;
        RoutingPolicy policy;
        std::size_t doneActions = 0;
        std::vector<std::string> keys;       // of its requests, by id
        std::vector<int> attempts;           // number of attempts, by id
        std::vector<ServerState*> missedAt;  // the last server that missed, by id
    };

    std::string zone(int index) const {
        return shape_.zones[static_cast<std::size_t>(index) % shape_.zones.size()];
    }
    void addRouter(int index) {
        PolicySettings settings = smallPolicySettings(shape_.isCacheAside);
        settings.seed = random_();
        settings.routerCount = shape_.routers;
        settings.zone = zone(index);
        settings.crossZoneCost = shape_.crossZoneCost;
        settings.weightsFollowLoad = shape_.weightsFollowLoad;
        settings.initialFraction = shape_.initialFraction;
        settings.rampDuration = shape_.ramp;
        settings.overloadMultiple = shape_.multiple;
        settings.overloadWindow = shape_.window;
        for (RequestClass& requestClass : settings.requestClasses)
            requestClass.latencyObjective = shape_.objective;
        auto router = std::make_unique<Router>(settings, now);
        std::vector<Endpoint> endpoints;
        for (const ServerState& server : servers_) endpoints.push_back(server.endpoint);
        router->policy.onEndpointUpdate(now, EndpointUpdateKind::complete, endpoints);
        const auto place = static_cast<std::size_t>(index);
        if (place < routers_.size()) {
            ended_.push_back(std::exchange(routers_[place], std::move(router)));
            return;
        }
        routers_.push_back(std::move(router));
        scheduleRequest(place);
    }
    void scheduleRequest(std::size_t router) {
        std::exponential_distribution<double> gap(shape_.rate / shape_.routers);
        at(now + static_cast<Nanos>(gap(random_) * 1e9), [this, router] {
            if (hasTraffic_) sendRequest(router);
            scheduleRequest(router);
        });
    }
    void sendRequest(std::size_t index) {
        Router& router = *routers_[index];
        const auto id = static_cast<RequestId>(router.keys.size());
        router.keys.push_back(std::to_string(std::min(random_() % 4'000, random_() % 4'000)));
        router.attempts.push_back(0);
        router.missedAt.push_back(nullptr);
        const bool isWrite = std::uniform_real_distribution<double>()(random_) < shape_.writeFraction;
        router.policy.onRequest(
            now, {id, isWrite ? "pay" : "read", "", router.keys.back(), now + shape_.timeout, isWrite});
        reconcile(index);
    }
    void setEjected(std::size_t router, int server, bool isEjected) {
        routers_[router]->policy.onOperatorEjection(
            now, servers_[static_cast<std::size_t>(server)].endpoint.name, isEjected);
        reconcile(router);
    }
    void reconcile(std::size_t index) {
        Router& router = *routers_[index];
        router.policy.reconcile(now);
        for (; router.doneActions < router.host.actions.size(); ++router.doneActions) {
            const RecordedAction action = router.host.actions[router.doneActions];
            if (action.kind == ActionKind::reject) ++rejected;
            if (action.kind == ActionKind::fail) ++failed;
            if (action.kind == ActionKind::startAttempt) startAttempt(index, action);
        }
        const std::vector<Nanos> wakeups = std::exchange(router.host.wakeups, {});
        for (const Nanos wakeup : wakeups)
            at(wakeup, [this, index, process = &router] {
                if (routers_[index].get() == process) reconcile(index);
            });
    }
    // Servers do not notice that a router has given an attempt up.
    void startAttempt(std::size_t index, const RecordedAction& action) {
        Router& router = *routers_[index];
        const auto found = std::find_if(servers_.begin(), servers_.end(), [&](const ServerState& server) {
            return server.endpoint.name == action.server;
        });
        ServerState& server = *found;
        if (now >= server.startedAt) server.arrivals.push_back({now, static_cast<int>(index)});
        const std::string& key = router.keys[action.id];
        const bool isMiss = shape_.isCacheAside && !server.isOrigin && !server.keys.contains(key);
        const auto core = std::min_element(server.freeAt.begin(), server.freeAt.end());
        const Nanos begun = std::max(*core, now);
        *core = begun + static_cast<Nanos>(static_cast<double>(shape_.work) / fraction(server, begun));
        const Nanos respondsAt = *core;
        AttemptOutcome outcome = isMiss ? AttemptOutcome::cacheMiss : AttemptOutcome::succeeded;
        if (respondsAt > action.time) outcome = AttemptOutcome::timedOut;
        const int number = router.attempts[action.id]++;
        at(std::min(respondsAt, action.time),
           [this, index, process = &router, &server, action, number, outcome, startedAt = now] {
               if (routers_[index].get() != process) return;
               if (outcome == AttemptOutcome::cacheMiss) process->missedAt[action.id] = &server;
               if (outcome == AttemptOutcome::succeeded) {
                   ++answered;
                   server.keys.insert(process->keys[action.id]);
                   if (process->missedAt[action.id])
                       process->missedAt[action.id]->keys.insert(process->keys[action.id]);
               }
               process->policy.onAttemptEnded(
                   now, {action.id, number, outcome, outcome == AttemptOutcome::succeeded, now - startedAt});
               reconcile(index);
           });
    }
    double fraction(const ServerState& server, Nanos when) const {
        if (server.startedAt == 0) return 1;
        const double progress =
            static_cast<double>(when - server.startedAt) / static_cast<double>(shape_.ramp);
        return std::min(1.0, shape_.initialFraction + (1 - shape_.initialFraction) * std::max(progress, 0.0));
    }
    // What the settings allow all routers to send the server in the window that ends at `end`.
    double allowed(const ServerState& server, Nanos end) const {
        const Nanos begin = std::max(end - shape_.window, server.startedAt);
        const double mean = (fraction(server, begin) + fraction(server, begin + shape_.window)) / 2;
        return shape_.multiple * mean * shape_.cores * static_cast<double>(shape_.window) /
               static_cast<double>(shape_.work);
    }

    const FleetShape shape_;
    std::mt19937 random_;
    std::vector<ServerState> servers_;
    std::vector<std::unique_ptr<Router>> routers_;
    std::vector<std::unique_ptr<Router>> ended_;
    std::priority_queue<Event> events_;
    std::uint64_t lastEvent_ = 0;
    bool hasTraffic_ = true;
};

}  // namespace poppyscale::test
