#include "process/config_reloader.hpp"

#include <fmt/format.h>

#include <exception>
#include <utility>

#include "process/service_manager.hpp"

namespace poppyscale::process {
namespace {

using config::LogLevel;

std::string reloadMessage(const InstanceConfig& fresh, const config::ConfigDifference& difference) {
    std::string changes;
    for (const auto& line : difference.appliesNow) changes += "; " + line;
    for (const auto& line : difference.needsRestart) changes += "; " + line;
    return fmt::format(
        "reloaded the configuration, discovery at {}{}{}", fresh.startup.discovery, changes,
        difference.needsRestart.empty() ? "" : "; some changes take effect after a restart of the process");
}

}  // namespace

ConfigReloader::ConfigReloader(std::function<InstanceConfig()> readConfig, ActiveConfig& config,
                               DataPath& dataPath, ProcessLogger& logger)
    : readConfig_(std::move(readConfig)), config_(config), dataPath_(dataPath), logger_(logger) {}

ConfigReloader::Result ConfigReloader::reload(bool isHotRestartInProgress) {
    const Nanos startedAt = transport::EventLoop::now();
    Result result;
    if (isHotRestartInProgress) {
        result.error = "a hot restart is in progress";
        logger_.logLifecycle(
            LogLevel::warning,
            "reload rejected, the old configuration stays in effect: a hot restart is in progress");
    } else {
        result = reloadNow();
    }
    // A reload blocks the event loop, so it is recorded as an iteration.
    if (auto* const metrics = dataPath_.dispatcher().metrics())
        metrics->recordIteration(transport::EventLoop::now() - startedAt);
    return result;
}

ConfigReloader::Result ConfigReloader::reloadNow() {
    Result result;
    try {
        notifyServiceManager("RELOADING=1");
        InstanceConfig fresh = readConfig_();
        result.difference = config_.compareWith(fresh);
        logger_.logLifecycle(LogLevel::info, reloadMessage(fresh, result.difference));
        config_.replaceWith(std::move(fresh));
        logger_.configure(config_.operatorConfig().log);
        dataPath_.applyConfig();
    } catch (const std::exception& problem) {
        result.error = problem.what();
    }
    notifyServiceManager("READY=1");
    if (result.error)
        logger_.logLifecycle(
            LogLevel::error,
            fmt::format("reload failed, the old configuration stays in effect: {}", *result.error));
    return result;
}

}  // namespace poppyscale::process
