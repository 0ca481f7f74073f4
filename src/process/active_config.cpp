#include "process/active_config.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace poppyscale::process {
namespace {

constexpr std::size_t kMinDescriptors = 64;

std::string describeInstance(const InstanceConfig& config) {
    return config::describeConfig(config.startup, config.operatorConfig, config.fromPlatform);
}

// Raises the process's descriptor limit to `startup.maxDescriptors` as far as the hard limit
// allows, and lowers `startup.maxDescriptors` to the result. With a larger setting, clients would
// be refused when descriptors run out.
void adjustDescriptorLimit(protocol::StartupConfig& startup) {
    rlimit descriptors{};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0) return;
    descriptors.rlim_cur = std::min<rlim_t>(std::max<rlim_t>(descriptors.rlim_cur, startup.maxDescriptors),
                                            descriptors.rlim_max);
    setrlimit(RLIMIT_NOFILE, &descriptors);
    startup.maxDescriptors = std::max<std::size_t>(
        std::min<std::size_t>(startup.maxDescriptors, descriptors.rlim_cur), kMinDescriptors);
}

// Copies the settings that only a restart may change from `current` to `fresh`.
void keepRestartOnlySettings(const InstanceConfig& current, InstanceConfig& fresh) {
    const protocol::StartupConfig& present = current.startup;
    protocol::StartupConfig& next = fresh.startup;
    next.name = present.name;
    next.listen = present.listen;
    next.console = present.console;
    next.memoryLimitBytes = present.memoryLimitBytes;
    next.maxDescriptors = present.maxDescriptors;
    next.policy.seed = present.policy.seed;  // the platform generates a new seed for each start
    next.pollWait = present.pollWait;
    next.policy.pollInterval = present.policy.pollInterval;
    next.policy.overloadWindow = present.policy.overloadWindow;
    next.policy.cacheAside = present.policy.cacheAside;
    next.policy.weightsFollowLoad = present.policy.weightsFollowLoad;
    next.policy.originShape = present.policy.originShape;
    next.policy.pollsEndpoints = present.policy.pollsEndpoints;
    // An open request may have a longer timeout than every request class in `fresh`.
    next.maxRequestTimeout = std::max(next.maxRequestTimeout, present.maxRequestTimeout);
    fresh.operatorConfig.operatorSocket = current.operatorConfig.operatorSocket;
}

}  // namespace

ActiveConfig::ActiveConfig(InstanceConfig initial)
    : config_(std::move(initial)), describedFiles_(describeInstance(config_)) {
    adjustDescriptorLimit(config_.startup);
}

std::string ActiveConfig::describe() const { return describeInstance(config_); }

config::ConfigDifference ActiveConfig::compareWith(const InstanceConfig& fresh) const {
    const bool pollsNow = !endpointSources(config_).empty();
    if (pollsNow == endpointSources(fresh).empty())
        throw protocol::ParseError(
            "turning endpoint polling on or off takes effect only after a restart of the process");
    auto difference = config::compareConfigs(config_.startup, fresh.startup);
    const auto& present = config_.operatorConfig.distributors;
    const auto& next = fresh.operatorConfig.distributors;
    if (present != next)
        difference.appliesNow.push_back(
            fmt::format("distributors: {} before, {} now", fmt::join(present, " "), fmt::join(next, " ")));
    return difference;
}

void ActiveConfig::replaceWith(InstanceConfig fresh) {
    ++reloadCount_;
    describedFiles_ = describeInstance(fresh);
    keepRestartOnlySettings(config_, fresh);
    config_ = std::move(fresh);
}

}  // namespace poppyscale::process
