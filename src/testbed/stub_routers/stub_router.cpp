#include "testbed/stub_routers/stub_router.hpp"

#include <uv.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace poppyscale::testbed::stub_routers {
namespace {

// The limits of `poppyscale` for a poll's wait, the connections to servers and the longest list, as in
// src/process/data_path.cpp and src/process/resource_limits.cpp.
constexpr Nanos kMinPollWait = 1'000 * kMillisecond;
constexpr Nanos kMaxPollWait = 20'000 * kMillisecond;
constexpr std::size_t kListMemoryDivisor = 32;  // a list may take up to 1/32 of the router's memory

void ignoreLog(std::string_view /*text*/) {}

std::size_t maxServerConnections(const protocol::StartupConfig& config) {
    return config.maxDescriptors * 2 / 5;
}

}  // namespace

ObservedDispatcher::ObservedDispatcher(transport::EventLoop& loop, transport::BufferPool& pool,
                                       const protocol::StartupConfig& config, int dropEveryNthDelta,
                                       std::uint64_t initialDeltaCount)
    : proxy::RequestDispatcher(loop, pool, config, maxServerConnections(config), ignoreLog),
      dropEveryNthDelta_(dropEveryNthDelta),
      deltaCount_(initialDeltaCount) {}

void ObservedDispatcher::onEndpointList(EndpointUpdateKind kind, const protocol::EndpointList& list) {
    const bool hasChanges = kind == EndpointUpdateKind::delta && !list.entries.empty();
    if (hasChanges) ++deltaCount_;
    const bool isDropped =
        dropEveryNthDelta_ > 0 && deltaCount_ % static_cast<std::uint64_t>(dropEveryNthDelta_) == 0;
    if (hasChanges && isDropped) return;
    RequestDispatcher::onEndpointList(kind, list);
    image_.apply(kind, list);
    version_ = list.version;
}

StubRouter::StubRouter(transport::EventLoop& loop, transport::BufferPool& pool, std::uint32_t routerNumber,
                       protocol::StartupConfig config, const std::vector<std::string>& sources,
                       int dropEveryNthDelta)
    : loop_(loop),
      pool_(pool),
      routerNumber_(routerNumber),
      config_(std::move(config)),
      dropEveryNthDelta_(dropEveryNthDelta) {
    for (const std::string& source : sources) {
        const auto address = transport::parseAddress(source);
        if (!address) throw std::runtime_error("--upstream: expected ADDRESS:PORT, found '" + source + "'");
        sources_.push_back({*address, source});
    }
    connect();
}

void StubRouter::connect() {
    dispatcher_ =
        std::make_unique<ObservedDispatcher>(loop_, pool_, config_, dropEveryNthDelta_, routerNumber_);
    discovery::EndpointWatcher::Settings settings;
    settings.sources = sources_;
    settings.sourceSeed = settings.seed = config_.policy.seed;
    settings.maxPollWait = std::clamp(config_.pollWait, kMinPollWait, kMaxPollWait);
    settings.routerCount = config_.policy.routerCount;
    settings.maxListBytes = config_.memoryLimitBytes / kListMemoryDivisor;
    watcher_ = std::make_unique<discovery::EndpointWatcher>(loop_, pool_, *dispatcher_, std::move(settings),
                                                            ignoreLog);
    dispatcher_->onPollRequested = [this] { watcher_->pollNow(); };
}

void StubRouter::restart() {
    pollsBeforeRestart_ += watcher_->pollCount();
    watcher_.reset();
    dispatcher_.reset();
    currentVersion_ = 0;
    connect();
}

std::optional<scale::PropagationRecord> StubRouter::runIteration() {
    dispatcher_->runIteration();
    if (dispatcher_->version() == currentVersion_) return std::nullopt;
    currentVersion_ = dispatcher_->version();
    if (currentVersion_ < highestVersion_) ++versionDecreases_;
    highestVersion_ = std::max(highestVersion_, currentVersion_);
    return scale::PropagationRecord{routerNumber_, 0, currentVersion_, dispatcher_->digest(),
                                    static_cast<std::int64_t>(uv_hrtime())};
}

}  // namespace poppyscale::testbed::stub_routers
