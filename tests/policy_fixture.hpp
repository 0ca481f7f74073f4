// A policy with a few servers, and a host that records its actions.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "policy/routing_policy.hpp"

namespace poppyscale::test {

constexpr Nanos ms = 1'000'000;

enum class ActionKind { startAttempt, reject, fail };

struct RecordedAction {
    ActionKind kind;
    RequestId id;
    std::string server;  // server of an attempt, else empty
    Nanos time;          // deadline of an attempt, Retry-After of a rejection
    Nanos latestStart = kNever;
};

struct FakeHost : PolicyHost {
    void startAttempt(RequestId id, std::string_view server, Nanos deadline, Nanos latestStart) override {
        actions.push_back({ActionKind::startAttempt, id, std::string(server), deadline, latestStart});
    }
    void reject(RequestId id, Nanos retryAfter) override {
        actions.push_back({ActionKind::reject, id, "", retryAfter});
    }
    void fail(RequestId id) override { actions.push_back({ActionKind::fail, id, "", 0}); }
    void scheduleWakeup(Nanos at) override { wakeups.push_back(at); }
    void pollEndpoints() override { ++polls; }
    void log(std::string_view text) override { logs.emplace_back(text); }

    std::vector<RecordedAction> actions;
    std::vector<Nanos> wakeups;
    std::vector<std::string> logs;
    int polls = 0;
};

inline PolicySettings smallPolicySettings(bool cacheAside) {
    PolicySettings settings;
    settings.seed = 7;
    settings.cacheAside = cacheAside;
    settings.originShape = "store";
    settings.maxAttempts = 3;
    settings.initialFraction = 0.2;
    settings.rampDuration = 10'000 * ms;
    settings.overloadMultiple = 3;
    settings.overloadWindow = 1'000 * ms;
    settings.requestClasses = {
        {"read", Idempotency::safe, DeduplicationScope::all, 0, 500 * ms, 1},
        {"mark", Idempotency::idempotentWithKey, DeduplicationScope::zone, 2'000 * ms, 500 * ms, 1},
        {"pay", Idempotency::nonIdempotent, DeduplicationScope::all, 0, 500 * ms, 4}};
    return settings;
}

// A policy with servers a, b, c ... and, if they are cache-aside, the origin.
struct PolicyFixture {
    explicit PolicyFixture(bool cacheAside = false, int serverCount = 4)
        : PolicyFixture(smallPolicySettings(cacheAside), serverCount) {}
    PolicyFixture(const PolicySettings& settings, int serverCount = 4) : policy(settings, host, 0) {
        for (int i = 0; i < serverCount; ++i)
            endpoints.push_back({std::string(1, static_cast<char>('a' + i)), "z", "m"});
        if (settings.cacheAside) endpoints.push_back({"origin", "z", "store"});
        policy.onEndpointUpdate(0, EndpointUpdateKind::cached, endpoints);
        policy.reconcile(0);
    }
    // Sends a request and returns the first action that follows, as firstActionSince() does.
    std::string sendRequest(RequestId id, std::string_view key = "k", std::string_view requestClass = "read",
                            bool isWrite = false, std::string_view tenant = "") {
        const auto before = host.actions.size();
        policy.onRequest(now, {id, requestClass, tenant, key, now + 2'000 * ms, isWrite});
        policy.reconcile(now);
        return firstActionSince(before);
    }
    // Ends an attempt and returns the first action that follows, as firstActionSince() does. The
    // action may concern another request, which was waiting.
    std::string endAttempt(RequestId id, int attempt, AttemptOutcome outcome, bool requestCompleted = false,
                           Nanos duration = 20 * ms) {
        const auto before = host.actions.size();
        policy.onAttemptEnded(
            now, {id, attempt, outcome, requestCompleted || outcome == AttemptOutcome::succeeded, duration});
        policy.reconcile(now);
        return firstActionSince(before);
    }
    // The first action since the host had recorded `before` actions: the server of an attempt, "rejected",
    // "failed", or "" if there is none.
    std::string firstActionSince(std::size_t before) const {
        if (host.actions.size() <= before) return "";
        const RecordedAction& action = host.actions[before];
        if (action.kind == ActionKind::startAttempt) return action.server;
        return action.kind == ActionKind::reject ? "rejected" : "failed";
    }
    // Sends a request, lets its attempt succeed at once, and returns the server.
    std::string serveRequest(RequestId id, std::string_view key) {
        const std::string server = sendRequest(id, key);
        endAttempt(id, 0, AttemptOutcome::succeeded);
        return server;
    }
    std::size_t finalResponses(RequestId id) const {
        std::size_t count = 0;
        for (const RecordedAction& action : host.actions)
            if (action.id == id && action.kind != ActionKind::startAttempt) ++count;
        return count;
    }

    FakeHost host;
    RoutingPolicy policy;
    std::vector<Endpoint> endpoints;
    Nanos now = 1 * ms;
};

}  // namespace poppyscale::test
