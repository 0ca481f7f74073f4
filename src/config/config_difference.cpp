#include <fmt/format.h>

#include <algorithm>

#include "config/operator_config.hpp"

namespace poppyscale::config {
namespace {

// Adds a line for each item that differs between two lists of named items.
template <class Items, class NameOf>
void compareNamed(const char* kind, const Items& current, const Items& fresh, NameOf nameOf,
                  std::vector<std::string>& differences) {
    const auto find = [&](const Items& items, const auto& item) {
        return std::find_if(items.begin(), items.end(),
                            [&](const auto& i) { return nameOf(i) == nameOf(item); });
    };
    for (const auto& item : current)
        if (find(fresh, item) == fresh.end())
            differences.push_back(fmt::format("{} {} is removed", kind, nameOf(item)));
    for (const auto& item : fresh) {
        const auto before = find(current, item);
        if (before == current.end())
            differences.push_back(fmt::format("{} {} is added", kind, nameOf(item)));
        else if (!(*before == item))
            differences.push_back(fmt::format("{} {} is changed", kind, nameOf(item)));
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
                fmt::format("{}: {} stays in effect, {} takes effect after a restart of the process", setting,
                            before, after));
    };
    appliesNow("discovery", current.discovery, fresh.discovery);
    appliesNow("routers", currentPolicy.routerCount, freshPolicy.routerCount);
    appliesNow("most attempts per request", currentPolicy.maxAttempts, freshPolicy.maxAttempts);
    appliesNow("own zone", currentPolicy.zone, freshPolicy.zone);
    appliesNow("cross-zone cost", currentPolicy.crossZoneCost, freshPolicy.crossZoneCost);
    appliesNow("longest Retry-After, ms", currentPolicy.maxRetryAfter / kMillisecond,
               freshPolicy.maxRetryAfter / kMillisecond);
    appliesNow("Retry-After allowed", currentPolicy.retryAfterAllowed, freshPolicy.retryAfterAllowed);
    appliesNow("slow start, initial fraction", currentPolicy.initialFraction, freshPolicy.initialFraction);
    appliesNow("slow start, ramp in ms", currentPolicy.rampDuration / kMillisecond,
               freshPolicy.rampDuration / kMillisecond);
    appliesNow("slow start, overload multiple", currentPolicy.overloadMultiple, freshPolicy.overloadMultiple);
    appliesNow("most open requests", current.maxOpenRequests, fresh.maxOpenRequests);
    appliesNow("idle timeout of cache servers, ms", current.serverIdleTimeout / kMillisecond,
               fresh.serverIdleTimeout / kMillisecond);
    appliesNow("connect timeout, ms", current.connectTimeout / kMillisecond,
               fresh.connectTimeout / kMillisecond);
    appliesNow("longest request timeout, ms", current.maxRequestTimeout / kMillisecond,
               fresh.maxRequestTimeout / kMillisecond);
    needsRestart("name", current.name, fresh.name);
    needsRestart("listen", current.listen, fresh.listen);
    needsRestart("console", current.console, fresh.console);
    needsRestart("memory, MB", current.memoryLimitBytes / 1'000'000, fresh.memoryLimitBytes / 1'000'000);
    needsRestart("descriptors", current.maxDescriptors, fresh.maxDescriptors);
    needsRestart("longest poll wait, ms", current.pollWait / kMillisecond, fresh.pollWait / kMillisecond);
    needsRestart("slow start, overload window in ms", currentPolicy.overloadWindow / kMillisecond,
                 freshPolicy.overloadWindow / kMillisecond);
    needsRestart("cache-aside", currentPolicy.cacheAside, freshPolicy.cacheAside);
    needsRestart("weights follow load", currentPolicy.weightsFollowLoad, freshPolicy.weightsFollowLoad);
    needsRestart("shape of the origin", currentPolicy.originShape, freshPolicy.originShape);
    needsRestart("endpoint lists are polled", currentPolicy.pollsEndpoints, freshPolicy.pollsEndpoints);
    return difference;
}

}  // namespace poppyscale::config
