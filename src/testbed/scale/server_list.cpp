#include "testbed/scale/server_list.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "testbed/scale/record.hpp"

namespace poppyscale::testbed::scale {
namespace {

// Of all changes: the part of each kind. Drains and ends take turns, so that as many end as are drained.
constexpr double kRestarts = 0.4;
constexpr double kNew = 0.2;
// A caller that is further behind is told the whole list.
constexpr std::int64_t kMostVersionsBehind = 5'000;

constexpr std::string_view stateOf(EndpointState presence) {
    switch (presence) {
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
    for (int i = 0; i < caches; ++i) add(startedMs - random_.below(1'000'000'000));
    version_ = 1;
    for (Server& server : servers_) server.changedIn = version_;
}

std::size_t ServerList::add(std::int64_t startedMs) {
    const std::size_t number = servers_.size();
    const auto zone = number % static_cast<std::size_t>(zones_);
    Server server;
    server.id = fmt::format("cache-{:08x}-{}", random_.randomWord() >> 32, number);
    server.fixed = fmt::format(
        R"({{"id":"{}","addr":"10.{}.{}.{}:6379","zone":"zone-{}","kind":"cache","cell":{},"weight":1.0)",
        server.id, zone % 250, number / 250 % 250, number % 250 + 1, zone, number);
    server.presence = EndpointState::removed;
    servers_.push_back(std::move(server));
    set(number, EndpointState::ready, startedMs);
    return number;
}

void ServerList::set(std::size_t index, EndpointState presence, std::int64_t startedMs) {
    Server& server = servers_[index];
    digest_ -= entryDigest(server.id, server.presence, server.startedMs);
    present_ -= server.presence != EndpointState::removed ? 1 : 0;
    server.presence = presence;
    server.startedMs = startedMs;
    digest_ += entryDigest(server.id, server.presence, server.startedMs);
    present_ += server.presence != EndpointState::removed ? 1 : 0;
}

std::size_t ServerList::anyReady() {
    std::size_t index = 0;
    do {
        index = static_cast<std::size_t>(random_.below(static_cast<int>(servers_.size())));
    } while (servers_[index].presence != EndpointState::ready);
    return index;
}

std::string_view ServerList::change(std::int64_t nowMs) {
    std::size_t index = 0;
    std::string_view kind;
    const double drawn = random_.fraction();
    const bool few = present_ < static_cast<std::size_t>(caches_);
    if (drawn < kRestarts) {
        kind = "restart";
        index = anyReady();
        set(index, EndpointState::ready, std::max(nowMs, servers_[index].startedMs + 1));
    } else if (drawn < kRestarts + kNew && few) {
        kind = "new";
        index = add(nowMs);
    } else if (!draining_.empty() && (drawn > (1 + kRestarts + kNew) / 2 || draining_.size() > 1)) {
        kind = "gone";
        index = draining_.front();
        draining_.erase(draining_.begin());
        set(index, EndpointState::removed, servers_[index].startedMs);
    } else {
        kind = "drain";
        index = anyReady();
        set(index, EndpointState::draining, servers_[index].startedMs);
        draining_.push_back(index);
    }
    ++version_;
    servers_[index].changedIn = version_;
    changed_.push_back(index);
    return kind;
}

std::string ServerList::entryJson(const Server& server) const {
    return fmt::format(R"({},"state":"{}","started_ms":{}}})", server.fixed, stateOf(server.presence),
                       server.startedMs);
}

std::string ServerList::whole() const {
    std::string json = fmt::format(R"({{"version":{},"full":true,"servers":[)", version_);
    bool first = true;
    for (const Server& server : servers_) {
        if (server.presence == EndpointState::removed) continue;
        if (!first) json += ',';
        first = false;
        json += entryJson(server);
    }
    json += "]}";
    return json;
}

std::string ServerList::changesSince(std::int64_t after) const {
    if (after < 1 || after > version_ || version_ - after > kMostVersionsBehind) return whole();
    std::string json = fmt::format(R"({{"version":{},"full":false,"servers":[)", version_);
    bool first = true;
    for (std::int64_t version = after + 1; version <= version_; ++version) {
        const Server& server = servers_[changed_[static_cast<std::size_t>(version - 2)]];
        if (server.changedIn != version) continue;  // a later change of it is told
        if (!first) json += ',';
        first = false;
        json += entryJson(server);
    }
    json += "]}";
    return json;
}

}  // namespace poppyscale::testbed::scale
