#include "process/data_path.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "process/resource_limits.hpp"

namespace poppyscale::process {
namespace {

using config::LogLevel;

// Bounds of the time for which discovery may hold a long poll. With a shorter time, an unresponsive
// discovery is detected sooner.
constexpr Nanos kMaxPollWait = 20'000 * kMillisecond;
constexpr Nanos kMinPollWait = 1'000 * kMillisecond;

proxy::Log logTo(ProcessLogger& logger, const char* part, LogLevel level) {
    return [&logger, part, level](std::string_view text) { logger.log(part, level, text); };
}

std::unique_ptr<proxy::RequestDispatcher> createDispatcher(transport::EventLoop& loop,
                                                           transport::BufferPool& pool,
                                                           const protocol::StartupConfig& startup,
                                                           const MakeDispatcher& makeDispatcher,
                                                           ProcessLogger& logger) {
    const std::size_t maxConnections = maxServerConnections(startup);
    const proxy::Log log = logTo(logger, kPolicyLog, LogLevel::info);
    if (makeDispatcher) return makeDispatcher(loop, pool, startup, maxConnections, log);
    return std::make_unique<proxy::RequestDispatcher>(loop, pool, startup, maxConnections, log);
}

}  // namespace

DataPath::DataPath(transport::EventLoop& loop, transport::BufferPool& pool, const ActiveConfig& config,
                   const MakeDispatcher& makeDispatcher, ProcessLogger& logger)
    : loop_(loop),
      pool_(pool),
      config_(config),
      dispatcher_(createDispatcher(loop, pool, config.startup(), makeDispatcher, logger)),
      clientListener_(loop, pool, *dispatcher_, maxClients(config.startup()),
                      maxPartialRequestBytes(config.startup().memoryLimitBytes),
                      2 * config.startup().serverIdleTimeout) {
    clientListener_.onExhausted = [&logger](std::string_view why) {
        logger.logLifecycle(LogLevel::warning, fmt::format("new connections wait in the backlog: {}", why));
    };
    startEndpointWatcher(logger);
}

void DataPath::startEndpointWatcher(ProcessLogger& logger) {
    auto sources = endpointSources(config_.instance());
    if (sources.empty()) return;
    const protocol::StartupConfig& startup = config_.startup();
    discovery::EndpointWatcher::Settings settings;
    settings.sources = std::move(sources);
    settings.maxPollWait = std::clamp(startup.pollWait, kMinPollWait, kMaxPollWait);
    // Routers may have the same seed when none is configured. The name is mixed in so that they
    // don't all choose the same source.
    settings.sourceSeed = startup.policy.seed ^ std::hash<std::string>{}(startup.name);
    settings.seed = startup.policy.seed;
    settings.version = startup.knownEndpoints.version;
    settings.routerCount = startup.policy.routerCount;
    settings.isPushed = startup.endpointsArePushed;
    settings.maxListBytes = maxEndpointListBytes(startup);
    endpointWatcher_.emplace(loop_, pool_, *dispatcher_, std::move(settings),
                             logTo(logger, kDiscoveryLog, LogLevel::warning));
    dispatcher_->onPollRequested = [this] { endpointWatcher_->pollNow(); };
}

void DataPath::applyConfig() {
    const protocol::StartupConfig& startup = config_.startup();
    dispatcher_->applyConfig(startup);
    clientListener_.setMaxUnreadDuration(2 * startup.serverIdleTimeout);
    if (!endpointWatcher_) {
        dispatcher_->onEndpointList(EndpointUpdateKind::complete, startup.knownEndpoints);
        return;
    }
    endpointWatcher_->setRouterCount(startup.policy.routerCount);
    endpointWatcher_->setSources(endpointSources(config_.instance()));
}

void DataPath::setLimits(bool isShared, std::size_t peerClients) {
    const protocol::StartupConfig& startup = config_.startup();
    const std::size_t memoryBytes = isShared ? startup.memoryLimitBytes / 2 : startup.memoryLimitBytes;
    const std::size_t maxConnections = maxServerConnections(startup);
    const std::size_t maxAllClients = maxClients(startup);
    pool_.setCapacity(maxBuffers(memoryBytes));
    dispatcher_->setLimits(memoryBytes, isShared ? maxConnections / 2 : maxConnections);
    clientListener_.setLimits(std::max(maxAllClients - std::min(maxAllClients, peerClients), kMinClients),
                              maxPartialRequestBytes(memoryBytes));
}

}  // namespace poppyscale::process
