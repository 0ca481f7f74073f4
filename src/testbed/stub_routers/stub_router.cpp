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

std::size_t mostConnections(const protocol::Start& start) { return start.descriptors * 2 / 5; }

}  // namespace

ObservedCore::ObservedCore(transport::Loop& loop, transport::Pool& pool, const protocol::Start& start,
                           int loseEveryList, std::uint64_t listsBefore)
    : proxy::Core(loop, pool, start, mostConnections(start), ignoreLog),
      loseEveryList_(loseEveryList),
      lists_(listsBefore) {}

void ObservedCore::listed(NewsKind kind, const protocol::Roster& roster) {
    const bool hasChanges = kind == NewsKind::changes && !roster.places.empty();
    if (hasChanges) ++lists_;
    const bool isTurn = loseEveryList_ > 0 && lists_ % static_cast<std::uint64_t>(loseEveryList_) == 0;
    if (hasChanges && isTurn) return;
    Core::listed(kind, roster);
    image_.apply(kind, roster);
    version_ = roster.version;
}

HollowRouter::HollowRouter(transport::Loop& loop, transport::Pool& pool, std::uint32_t number,
                           protocol::Start start, const std::vector<std::string>& sources, int loseEveryList)
    : loop_(loop), pool_(pool), number_(number), start_(std::move(start)), loseEveryList_(loseEveryList) {
    for (const std::string& source : sources) {
        const auto address = transport::parseAddress(source);
        if (!address) throw std::runtime_error("not an address and port: " + source);
        sources_.push_back({*address, source});
    }
    this->start();
}

void HollowRouter::start() {
    core_ = std::make_unique<ObservedCore>(loop_, pool_, start_, loseEveryList_, number_);
    discovery::Watch::Settings settings;
    settings.sources = sources_;
    settings.sourceSeed = settings.seed = start_.terms.seed;
    settings.longestWait = std::clamp(start_.watchFor, kLeastWait, kMostWait);
    settings.routers = start_.terms.routers;
    settings.longestList = start_.memory / kListPart;
    watch_ = std::make_unique<discovery::Watch>(loop_, pool_, *core_, std::move(settings), ignoreLog);
    core_->askForList = [this] { watch_->want(); };
}

void HollowRouter::restart() {
    callsBefore_ += watch_->calls();
    watch_.reset();
    core_.reset();
    inForce_ = 0;
    start();
}

std::optional<scale::ForceRecord> HollowRouter::turn() {
    core_->turn();
    if (core_->version() == inForce_) return std::nullopt;
    inForce_ = core_->version();
    if (inForce_ < highest_) ++fallen_;
    highest_ = std::max(highest_, inForce_);
    return scale::ForceRecord{number_, 0, inForce_, core_->digest(), static_cast<std::int64_t>(uv_hrtime())};
}

}  // namespace poppyscale::testbed::stub_routers
