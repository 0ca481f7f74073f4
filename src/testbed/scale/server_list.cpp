#include "testbed/scale/server_list.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "testbed/scale/record.hpp"

namespace poppyscale::testbed::scale {
namespace {

// Shares of all changes. The rest are drains and removals in about equal numbers, as drained
// servers are removed.
constexpr double kRestartShare = 0.4;
constexpr double kAdditionShare = 0.2;
// A poll that is further behind is answered with the complete list.
constexpr std::int64_t kMaxVersionsBehind = 5'000;

constexpr std::string_view stateName(EndpointState state) {
    switch (state) {
        case EndpointState::ready:
            return "Ready";
        case EndpointState::draining:
            return "Terminating";
        case EndpointState::removed:
            break;
    }
    return "Gone";
}

}  // namespace

ServerList::ServerList(int caches, int zones, std::uint64_t seed, std::int64_t startedMs)
    : caches_(caches), zones_(zones), random_(seed) {
    for (int i = 0; i < caches; ++i) add(startedMs - random_.integerBelow(1'000'000'000));
    version_ = 1;
    for (Server& server : servers_) server.lastChangedVersion = version_;
}

std::size_t ServerList::add(std::int64_t startedMs) {
    const std::size_t number = servers_.size();
    const auto zone = number % static_cast<std::size_t>(zones_);
    Server server;
    server.id = fmt::format("cache-{:08x}-{}", random_.uint64() >> 32, number);
    server.fixedJson = fmt::format(
        R"({{"id":"{}","addr":"10.{}.{}.{}:6379","zone":"zone-{}","kind":"cache","cell":{},"weight":1.0)",
        server.id, zone % 250, number / 250 % 250, number % 250 + 1, zone, number);
    server.state = EndpointState::removed;
    servers_.push_back(std::move(server));
    setState(number, EndpointState::ready, startedMs);
    return number;
}

void ServerList::setState(std::size_t index, EndpointState state, std::int64_t startedMs) {
    Server& server = servers_[index];
    digest_ -= entryDigest(server.id, server.state, server.startedMs);
    listedCount_ -= server.state != EndpointState::removed ? 1 : 0;
    server.state = state;
    server.startedMs = startedMs;
    digest_ += entryDigest(server.id, server.state, server.startedMs);
    listedCount_ += server.state != EndpointState::removed ? 1 : 0;
}

std::size_t ServerList::randomReadyServer() {
    std::size_t index = 0;
    do {
        index = static_cast<std::size_t>(random_.integerBelow(static_cast<int>(servers_.size())));
    } while (servers_[index].state != EndpointState::ready);
    return index;
}

std::string_view ServerList::change(std::int64_t nowMs) {
    std::size_t index = 0;
    std::string_view kind;
    const double drawn = random_.fraction();
    const bool isBelowInitialSize = listedCount_ < static_cast<std::size_t>(caches_);
    if (drawn < kRestartShare) {
        kind = "restart";
        index = randomReadyServer();
        setState(index, EndpointState::ready, std::max(nowMs, servers_[index].startedMs + 1));
    } else if (drawn < kRestartShare + kAdditionShare && isBelowInitialSize) {
        kind = "new";
        index = add(nowMs);
    } else if (!draining_.empty() &&
               (drawn > (1 + kRestartShare + kAdditionShare) / 2 || draining_.size() > 1)) {
        kind = "gone";
        index = draining_.front();
        draining_.erase(draining_.begin());
        setState(index, EndpointState::removed, servers_[index].startedMs);
    } else {
        kind = "drain";
        index = randomReadyServer();
        setState(index, EndpointState::draining, servers_[index].startedMs);
        draining_.push_back(index);
    }
    ++version_;
    servers_[index].lastChangedVersion = version_;
    changedServers_.push_back(index);
    return kind;
}

std::string ServerList::entryJson(const Server& server) const {
    return fmt::format(R"({},"state":"{}","started_ms":{}}})", server.fixedJson, stateName(server.state),
                       server.startedMs);
}

std::string ServerList::completeJson() const {
    std::string json = fmt::format(R"({{"version":{},"full":true,"servers":[)", version_);
    bool first = true;
    for (const Server& server : servers_) {
        if (server.state == EndpointState::removed) continue;
        if (!first) json += ',';
        first = false;
        json += entryJson(server);
    }
    json += "]}";
    return json;
}

std::string ServerList::changesSince(std::int64_t after) const {
    if (after < 1 || after > version_ || version_ - after > kMaxVersionsBehind) return completeJson();
    std::string json = fmt::format(R"({{"version":{},"full":false,"servers":[)", version_);
    bool first = true;
    for (std::int64_t version = after + 1; version <= version_; ++version) {
        const Server& server = servers_[changedServers_[static_cast<std::size_t>(version - 2)]];
        // Only the server's last change is sent.
        if (server.lastChangedVersion != version) continue;
        if (!first) json += ',';
        first = false;
        json += entryJson(server);
    }
    json += "]}";
    return json;
}

}  // namespace poppyscale::testbed::scale
