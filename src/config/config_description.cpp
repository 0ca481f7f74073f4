#include <fmt/format.h>
#include <fmt/ranges.h>

#include "config/operator_config.hpp"

namespace poppyscale::config {

// At a hot restart the new process compares the text of `describeConfig` with that of the old process, which
// may be of another version, and does not take over if they differ. So these texts must stay the same, letter
// for letter, from version to version.
namespace {

std::string describeRequestClass(const RequestClass& requestClass) {
    static constexpr const char* idempotencyNames[] = {"pure", "receipted", "effectful"};
    static constexpr const char* scopeNames[] = {"all", "zone", "cell"};
    std::string line =
        fmt::format("{} {} goal {} ms limit {} ms utility {} late {}", requestClass.name,
                    idempotencyNames[static_cast<int>(requestClass.idempotency)],
                    requestClass.latencyObjective / kMillisecond, requestClass.timeout / kMillisecond,
                    requestClass.priorityWeight, requestClass.lateWeight);
    if (requestClass.idempotency == Idempotency::idempotentWithKey)
        line += fmt::format(" group {} remembered {} ms",
                            scopeNames[static_cast<int>(requestClass.deduplicationScope)],
                            requestClass.idempotencyKeyTtl / kMillisecond);
    return line;
}

}  // namespace

std::string describeConfig(const protocol::StartupConfig& startup, const OperatorConfig& operatorConfig,
                           bool isFromPlatform) {
    std::string text = fmt::format("deployment: {}\n",
                                   isFromPlatform ? "the platform's configuration" : "the operator's file");
    const auto line = [&](const char* setting, const auto& value) {
        text += fmt::format("{:<22} {}\n", setting, value);
    };
    line("name", startup.name);
    line("listen", startup.listen);
    line("discovery", startup.discovery.empty() ? "none, the list is in the file" : startup.discovery);
    if (!operatorConfig.distributors.empty())
        line("distributors", fmt::format("{}", fmt::join(operatorConfig.distributors, " ")));
    line("console", startup.console.empty() ? "off" : startup.console);
    line("memory_mb", startup.memoryLimitBytes / 1'000'000);
    line("descriptors", startup.maxDescriptors);
    line("routers", startup.policy.routerCount);
    line("zone", startup.policy.zone.empty() ? "not told" : startup.policy.zone);
    line("cross_price", startup.policy.crossZoneCost);
    line("open", startup.maxOpenRequests);
    line("relays", startup.policy.maxAttempts);
    line("idle_ms", startup.serverIdleTimeout / kMillisecond);
    line("connect_ms", startup.connectTimeout / kMillisecond);
    line("come_back_ms", startup.policy.retryAfterAllowed ? startup.policy.maxRetryAfter / kMillisecond : 0);
    line("ask_within_ms", startup.pollWait / kMillisecond);
    line("caches.mode", startup.policy.cacheAside ? "aside" : "through");
    line("caches.weights", startup.policy.weightsFollowLoad ? "live" : "sizes");
    line("cold.share", startup.policy.initialFraction);
    line("cold.ramp_ms", startup.policy.rampDuration / kMillisecond);
    line("cold.tip", startup.policy.overloadMultiple);
    line("cold.fall_ms", startup.policy.overloadWindow / kMillisecond);
    for (const RequestClass& requestClass : startup.policy.requestClasses)
        line("verb", describeRequestClass(requestClass));
    for (const Tenant& tenant : startup.policy.tenants)
        line("customer", fmt::format("{} quota {}", tenant.name, tenant.quotaPerSecond));
    for (const auto& entry : startup.knownEndpoints.entries)
        line("server", fmt::format("{} {} {} zone {} size {}", entry.endpoint.name, entry.address,
                                   entry.endpoint.shape, entry.endpoint.zone, entry.endpoint.weight));
    line("admin.socket", operatorConfig.operatorSocket.empty() ? "off" : operatorConfig.operatorSocket);
    line("log.form", operatorConfig.log.isJson ? "json" : "text");
    line("log.level", nameOf(operatorConfig.log.level));
    for (const auto& [part, level] : operatorConfig.log.partLevels)
        line(("log.parts." + part).c_str(), nameOf(level));
    line("log.per_second", operatorConfig.log.maxLinesPerSecond);
    line("drain.within_ms",
         (operatorConfig.drainTimeout ? operatorConfig.drainTimeout : startup.maxRequestTimeout) /
             kMillisecond);
    return text;
}

}  // namespace poppyscale::config
