#include "policy/load_estimator.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy/concurrency_limiter.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/server.hpp"

namespace poppyscale::policy {
namespace {

// A weight above this multiple of the median, or a load from this value on, is ignored as
// implausible.
constexpr double kMaxPlausibleRatio = 100;
constexpr double kSmoothing = 0.5;

// The largest plausible listed weight of servers of one shape. Sorts `servers` by listed weight.
double fullWeightOf(std::vector<Server*>& servers) {
    std::sort(servers.begin(), servers.end(), [](const Server* a, const Server* b) {
        return a->loadReport.listedWeight() > b->loadReport.listedWeight();
    });
    const double median = servers[servers.size() / 2]->loadReport.listedWeight();
    const double maxPlausible = kMaxPlausibleRatio * median;
    auto largest = servers.begin();
    while ((*largest)->loadReport.listedWeight() > maxPlausible) ++largest;
    return (*largest)->loadReport.listedWeight();
}

}  // namespace

void LoadReport::setListedWeight(double weight) {
    if (weight > 0) listedWeight_ = weight;
}

void LoadReport::update(double fullWeight) {
    const double reported = std::max(fullWeight / listedWeight_ - 1, 0.0);
    if (reported < kMaxPlausibleRatio) load_ += kSmoothing * (reported - load_);
}

bool LoadEstimator::update() {
    if (!settings_.weightsFollowLoad) return false;
    std::unordered_map<std::string_view, std::vector<Server*>> serversByShape;
    for (Server* server : registry_.cacheServers())
        if (registry_.isUsable(*server)) serversByShape[server->endpoint().shape].push_back(server);
    bool hasChanged = false;
    double sum = 0;
    double count = 0;
    for (auto& [shape, servers] : serversByShape) {
        const double fullWeight = fullWeightOf(servers);
        for (Server* server : servers) {
            if (server->endpoint().weight < fullWeight) hasChanged = true;
            server->raiseWeightTo(fullWeight);
            server->loadReport.update(server->endpoint().weight);
            sum += server->loadReport.load();
            ++count;
        }
    }
    meanLoad_ = sum / std::max(count, 1.0);
    return hasChanged;
}

bool LoadEstimator::isBusyByLoadReport(const Server& server, double sample, Nanos latencyObjective,
                                       Nanos meanLatency) const {
    const double latencyWithoutLoad =
        static_cast<double>(std::max(meanLatency, kMillisecond)) / (1 + meanLoad_);
    const double limit =
        std::max(kTargetLatencyRatio * static_cast<double>(latencyObjective) / latencyWithoutLoad, meanLoad_);
    const double load = server.loadReport.load();
    return load > limit && sample > limit * limit / (load * load);
}

}  // namespace poppyscale::policy
