#include "policy/zone_affinity.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string_view>
#include <unordered_map>

#include "policy/endpoint_registry.hpp"
#include "policy/server.hpp"
#include "policy/slow_start.hpp"

namespace poppyscale::policy {
namespace {

constexpr double kMinRemoteWeight = 0.02;
// Cost of a zone's own copies of keys, as a fraction of the priority weight.
constexpr double kCopyCost = 0.01;
// Multiplies the excess loss rate of the own zone; from a product of 1 on, remote servers have full
// weight.
constexpr double kLossSensitivity = 4;
// Relative change of the remote weight from which a rebuild is due.
constexpr double kMinChange = 0.1;

}  // namespace

ZoneAffinity::ZoneAffinity(const PolicySettings& settings, const EndpointRegistry& registry,
                           const SlowStart& slowStart)
    : settings_(settings), registry_(registry), slowStart_(slowStart) {
    applySettings();
}

void ZoneAffinity::applySettings() { remoteWeight_ = minRemoteWeight(); }

void ZoneAffinity::rebuild(Nanos now) {
    rebuiltRemoteWeight_ = remoteWeight_;
    std::unordered_map<std::string_view, double> weightByZone;
    double total = 0;
    if (settings_.crossZoneCost > 0) {
        for (const Server* server : registry_.cacheServers()) {
            if (!registry_.isUsable(*server)) continue;
            const double weight = server->endpoint().weight * slowStart_.warmupFraction(*server, now);
            total += weight;
            weightByZone[server->endpoint().zone] += weight;
        }
    }
    const auto localZone = weightByZone.find(settings_.zone);
    const double local = localZone != weightByZone.end() ? localZone->second : 0;
    isActive_ = settings_.crossZoneCost > 0 && local > 0 && local < total;
    if (!isActive_) return;
    // The own zone's share of all traffic is not known. Assumes that all routers receive equal
    // traffic and that the other routers are spread evenly over the zones.
    const auto zoneCount = static_cast<double>(weightByZone.size());
    const double localTraffic = (1 + (settings_.routerCount - 1.0) / zoneCount) / settings_.routerCount;
    const double localFraction = std::min(1.0, local / total / localTraffic);
    effectiveRemoteWeight_ =
        std::max(remoteWeight_, (1 - localFraction) / localFraction * local / (total - local));
}

double ZoneAffinity::weightFactor(const Server& server, double warmupFraction) const {
    if (!isActive_) return 1;
    return std::pow(effectiveRemoteWeight_, isLocalZone(server) ? 1 - warmupFraction : 1);
}

bool ZoneAffinity::recordOutcome(const Server& server, bool isLost, Nanos now) {
    Outcomes& side = isLocalZone(server) ? local_ : remote_;
    side.requests.add(now, 1);
    side.lost.add(now, isLost ? 1 : 0);
    const double excess = local_.lossRate(now) - remote_.lossRate(now) - settings_.crossZoneCost;
    remoteWeight_ = std::pow(minRemoteWeight(), 1 - std::clamp(kLossSensitivity * excess, 0.0, 1.0));
    return std::abs(remoteWeight_ - rebuiltRemoteWeight_) > kMinChange * rebuiltRemoteWeight_;
}

bool ZoneAffinity::isLocalZone(const Server& server) const {
    return server.endpoint().zone == settings_.zone;
}

double ZoneAffinity::minRemoteWeight() const {
    return std::max(kMinRemoteWeight, std::exp(-settings_.crossZoneCost / kCopyCost));
}

}  // namespace poppyscale::policy
