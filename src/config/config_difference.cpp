#include <fmt/format.h>

#include <algorithm>

#include "config/operator_config.hpp"

namespace poppyscale::config {
namespace {

// Adds what differs between two lists of named items.
template <class Items, class NameOf>
void compareNamed(const char* kind, const Items& current, const Items& fresh, NameOf nameOf,
                  std::vector<std::string>& differences) {
    const auto find = [&](const Items& items, const auto& item) {
        return std::find_if(items.begin(), items.end(),
                            [&](const auto& i) { return nameOf(i) == nameOf(item); });
    };
    for (const auto& item : current)
        if (find(fresh, item) == fresh.end())
            differences.push_back(fmt::format("{} {} is no more", kind, nameOf(item)));
    for (const auto& item : fresh) {
        const auto before = find(current, item);
        if (before == current.end())
            differences.push_back(fmt::format("{} {} is new", kind, nameOf(item)));
        else if (!(*before == item))
            differences.push_back(fmt::format("{} {} is another", kind, nameOf(item)));
    }
}

}  // namespace

ConfigDifference compareConfigs(const protocol::StartupConfig& current,
                                const protocol::StartupConfig& fresh) {
    ConfigDifference difference;
    const PolicySettings& currentPolicy = current.policy;
    const PolicySettings& freshPolicy = fresh.policy;
    compareNamed(
        "verb", currentPolicy.requestClasses, freshPolicy.requestClasses,
        [](const RequestClass& requestClass) { return requestClass.name; }, difference.appliesNow);
    compareNamed(
        "customer", currentPolicy.tenants, freshPolicy.tenants,
        [](const Tenant& tenant) { return tenant.name; }, difference.appliesNow);
    const auto appliesNow = [&](const char* setting, const auto& before, const auto& after) {
        if (!(before == after))
            difference.appliesNow.push_back(fmt::format("{}: {} before, {} now", setting, before, after));
    };
    const auto needsRestart = [&](const char* setting, const auto& before, const auto& after) {
        if (!(before == after))
            difference.needsRestart.push_back(
                fmt::format("{}: {} stays, {} waits for a start", setting, before, after));
    };
    appliesNow("discovery", current.discovery, fresh.discovery);
    appliesNow("routers", currentPolicy.routerCount, freshPolicy.routerCount);
    appliesNow("relays of a command", currentPolicy.maxAttempts, freshPolicy.maxAttempts);
    appliesNow("own zone", currentPolicy.zone, freshPolicy.zone);
    appliesNow("price of crossing zones", currentPolicy.crossZoneCost, freshPolicy.crossZoneCost);
    appliesNow("longest pause told, ms", currentPolicy.maxRetryAfter / kMillisecond,
               freshPolicy.maxRetryAfter / kMillisecond);
    appliesNow("pauses are told", currentPolicy.retryAfterAllowed, freshPolicy.retryAfterAllowed);
    appliesNow("a cold cache's share", currentPolicy.initialFraction, freshPolicy.initialFraction);
    appliesNow("its ramp, ms", currentPolicy.rampDuration / kMillisecond,
               freshPolicy.rampDuration / kMillisecond);
    appliesNow("its tip", currentPolicy.overloadMultiple, freshPolicy.overloadMultiple);
    appliesNow("commands open", current.maxOpenRequests, fresh.maxOpenRequests);
    appliesNow("connections idle, ms", current.serverIdleTimeout / kMillisecond,
               fresh.serverIdleTimeout / kMillisecond);
    appliesNow("connecting, ms", current.connectTimeout / kMillisecond, fresh.connectTimeout / kMillisecond);
    appliesNow("longest patience, ms", current.maxRequestTimeout / kMillisecond,
               fresh.maxRequestTimeout / kMillisecond);
    needsRestart("name", current.name, fresh.name);
    needsRestart("listen", current.listen, fresh.listen);
    needsRestart("console", current.console, fresh.console);
    needsRestart("memory, MB", current.memoryLimitBytes / 1'000'000, fresh.memoryLimitBytes / 1'000'000);
    needsRestart("descriptors", current.maxDescriptors, fresh.maxDescriptors);
    needsRestart("asking within, ms", current.pollWait / kMillisecond, fresh.pollWait / kMillisecond);
    needsRestart("a cold cache's span, ms", currentPolicy.overloadWindow / kMillisecond,
                 freshPolicy.overloadWindow / kMillisecond);
    needsRestart("aside", currentPolicy.cacheAside, freshPolicy.cacheAside);
    needsRestart("weights move with load", currentPolicy.weightsFollowLoad, freshPolicy.weightsFollowLoad);
    needsRestart("the origin's shape", currentPolicy.originShape, freshPolicy.originShape);
    needsRestart("a list is asked for", currentPolicy.pollsEndpoints, freshPolicy.pollsEndpoints);
    return difference;
}

}  // namespace poppyscale::config
