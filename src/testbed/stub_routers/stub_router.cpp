#include "testbed/stub_routers/stub_router.hpp"

#include <uv.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace poppyscale::testbed::stub_routers {
namespace {

// As `poppyscale` bounds a call's wait, its connections and the longest list (src/program/program.cpp).
constexpr Nanos kLeastWait = 1'000 * kMillisecond;
constexpr Nanos kMostWait = 20'000 * kMillisecond;
constexpr std::size_t kListPart = 32;  // of the memory, for a list, as in a router

void ignoreLog(std::string_view /*text*/) {}

std::size_t mostConnections(const protocol::StartupConfig& start) { return start.maxDescriptors * 2 / 5; }

}  // namespace

ObservedDispatcher::ObservedDispatcher(transport::EventLoop& loop, transport::BufferPool& pool,
                                       const protocol::StartupConfig& start, int loseEveryList,
                                       std::uint64_t listsBefore)
    : proxy::RequestDispatcher(loop, pool, start, mostConnections(start), ignoreLog),
      loseEveryList_(loseEveryList),
      lists_(listsBefore) {}

void ObservedDispatcher::onEndpointList(EndpointUpdateKind kind, const protocol::EndpointList& roster) {
    const bool hasChanges = kind == EndpointUpdateKind::delta && !roster.entries.empty();
    if (hasChanges) ++lists_;
    const bool isTurn = loseEveryList_ > 0 && lists_ % static_cast<std::uint64_t>(loseEveryList_) == 0;
    if (hasChanges && isTurn) return;
    RequestDispatcher::onEndpointList(kind, roster);
    image_.apply(kind, roster);
    version_ = roster.version;
}

StubRouter::StubRouter(transport::EventLoop& loop, transport::BufferPool& pool, std::uint32_t number,
                       protocol::StartupConfig start, const std::vector<std::string>& sources,
                       int loseEveryList)
    : loop_(loop), pool_(pool), number_(number), start_(std::move(start)), loseEveryList_(loseEveryList) {
    for (const std::string& source : sources) {
        const auto address = transport::parseAddress(source);
        if (!address) throw std::runtime_error("not an address and port: " + source);
        sources_.push_back({*address, source});
    }
    this->start();
}

void StubRouter::start() {
    core_ = std::make_unique<ObservedDispatcher>(loop_, pool_, start_, loseEveryList_, number_);
    discovery::EndpointWatcher::Settings settings;
    settings.sources = sources_;
    settings.sourceSeed = settings.seed = start_.policy.seed;
    settings.maxPollWait = std::clamp(start_.pollWait, kLeastWait, kMostWait);
    settings.routerCount = start_.policy.routerCount;
    settings.maxListBytes = start_.memoryLimitBytes / kListPart;
    watch_ =
        std::make_unique<discovery::EndpointWatcher>(loop_, pool_, *core_, std::move(settings), ignoreLog);
    core_->onPollRequested = [this] { watch_->pollNow(); };
}

void StubRouter::restart() {
    callsBefore_ += watch_->pollCount();
    watch_.reset();
    core_.reset();
    inForce_ = 0;
    start();
}

std::optional<scale::PropagationRecord> StubRouter::turn() {
    core_->runIteration();
    if (core_->version() == inForce_) return std::nullopt;
    inForce_ = core_->version();
    if (inForce_ < highest_) ++fallen_;
    highest_ = std::max(highest_, inForce_);
    return scale::PropagationRecord{number_, 0, inForce_, core_->digest(),
                                    static_cast<std::int64_t>(uv_hrtime())};
}

}  // namespace poppyscale::testbed::stub_routers
